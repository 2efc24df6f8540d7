package tackburn

import "auburntack/core/tackid"

type (
	// Label is the name of a daily window that an operator has configured,
	// such as a prayer or a batch run, and for which requests are counted.
	Label string

	// Counts holds numbers of requests by outcome. Each request counts once:
	// Good was answered completely and in time, Late completely but too late,
	// Refused was refused, Lost got no complete answer, and Wave had one of
	// these bad outcomes because of a maintenance wave. LatencyMS is the sum
	// of the latencies of the answered requests in milliseconds.
	Counts struct {
		Good      uint64 `cbor:"1,keyasint,omitempty" json:"good"`
		Late      uint64 `cbor:"2,keyasint,omitempty" json:"late"`
		Refused   uint64 `cbor:"3,keyasint,omitempty" json:"refused"`
		Lost      uint64 `cbor:"4,keyasint,omitempty" json:"lost"`
		Wave      uint64 `cbor:"5,keyasint,omitempty" json:"wave"`
		LatencyMS uint64 `cbor:"6,keyasint,omitempty" json:"latency_ms"`
	}

	// Sample holds what one peer counted since its last sample. The same
	// requests are counted by service, by team and by label. Sequence increases
	// with each sample of a peer, also across restarts, since it is taken from
	// the clock. So a sample that is proposed again after a lost answer counts
	// only once. A sample with sequence 0 always counts.
	Sample struct {
		Peer     tackid.Peer     `cbor:"1,keyasint,omitempty"`
		Services []ServiceCounts `cbor:"2,keyasint,omitempty"`
		Teams    []TeamCounts    `cbor:"3,keyasint,omitempty"`
		Labels   []LabelCounts   `cbor:"4,keyasint,omitempty"`
		Sequence uint64          `cbor:"5,keyasint,omitempty"`
	}

	// ServiceCounts holds the counts of one service.
	ServiceCounts struct {
		Service tackid.Service `cbor:"1,keyasint"`
		Counts  Counts         `cbor:"2,keyasint"`
	}

	// TeamCounts holds the counts of one team.
	TeamCounts struct {
		Team   tackid.Team `cbor:"1,keyasint"`
		Counts Counts      `cbor:"2,keyasint"`
	}

	// LabelCounts holds the counts of one label.
	LabelCounts struct {
		Label  Label  `cbor:"1,keyasint"`
		Counts Counts `cbor:"2,keyasint"`
	}
)

// Add adds further counts.
func (c *Counts) Add(o Counts) {
	c.Good += o.Good
	c.Late += o.Late
	c.Refused += o.Refused
	c.Lost += o.Lost
	c.Wave += o.Wave
	c.LatencyMS += o.LatencyMS
}

// Bad returns the number of requests that were not answered completely and in
// time.
func (c Counts) Bad() uint64 {
	return c.Late + c.Refused + c.Lost + c.Wave
}

// Total returns the number of requests counted.
func (c Counts) Total() uint64 {
	return c.Good + c.Bad()
}
