package tackburn

import "auburntack/core/tackid"

type (
	// Label names a window that an operator has configured, such as a prayer
	// or a batch run, so that service can be counted for it.
	Label string

	// Counts is what came of a number of requests. Each request counts once:
	// Good was answered whole and on time, Late whole and too late, Refused
	// got a refusal, Lost got no whole answer, and Wave went wrong in one of
	// these ways because of a maintenance wave. LatencyMS is the sum of the
	// answered requests' times in milliseconds.
	Counts struct {
		Good      uint64 `cbor:"1,keyasint,omitempty" json:"good"`
		Late      uint64 `cbor:"2,keyasint,omitempty" json:"late"`
		Refused   uint64 `cbor:"3,keyasint,omitempty" json:"refused"`
		Lost      uint64 `cbor:"4,keyasint,omitempty" json:"lost"`
		Wave      uint64 `cbor:"5,keyasint,omitempty" json:"wave"`
		LatencyMS uint64 `cbor:"6,keyasint,omitempty" json:"latency_ms"`
	}

	// Sample is what one peer counted since its last sample. The same
	// requests are counted by service, by team and by label. Sequence rises
	// with each sample of a peer, also through restarts (its clock does), so
	// that a sample that was proposed again after a lost answer counts once;
	// 0 counts always.
	Sample struct {
		Peer     tackid.Peer     `cbor:"1,keyasint,omitempty"`
		Services []ServiceCounts `cbor:"2,keyasint,omitempty"`
		Teams    []TeamCounts    `cbor:"3,keyasint,omitempty"`
		Labels   []LabelCounts   `cbor:"4,keyasint,omitempty"`
		Sequence uint64          `cbor:"5,keyasint,omitempty"`
	}

	// ServiceCounts is what came of one service's requests.
	ServiceCounts struct {
		Service tackid.Service `cbor:"1,keyasint"`
		Counts  Counts         `cbor:"2,keyasint"`
	}

	// TeamCounts is what came of one team's requests.
	TeamCounts struct {
		Team   tackid.Team `cbor:"1,keyasint"`
		Counts Counts      `cbor:"2,keyasint"`
	}

	// LabelCounts is what came of the requests of one labelled window.
	LabelCounts struct {
		Label  Label  `cbor:"1,keyasint"`
		Counts Counts `cbor:"2,keyasint"`
	}
)

// Add adds what came of further requests.
func (c *Counts) Add(o Counts) {
	c.Good += o.Good
	c.Late += o.Late
	c.Refused += o.Refused
	c.Lost += o.Lost
	c.Wave += o.Wave
	c.LatencyMS += o.LatencyMS
}

// Bad returns how many requests were not answered whole and on time.
func (c Counts) Bad() uint64 {
	return c.Late + c.Refused + c.Lost + c.Wave
}

// Total returns how many requests were counted.
func (c Counts) Total() uint64 {
	return c.Good + c.Bad()
}
