package tackburn

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// OutcomeGood is a whole answer on time.
	OutcomeGood Outcome = iota
	// OutcomeLate is a whole answer after the time that was allowed.
	OutcomeLate
	// OutcomeRefused is a refusal by auburntack.
	OutcomeRefused
	// OutcomeLost is no answer, or a part of one.
	OutcomeLost
	// OutcomeWave is any but a good one that a maintenance wave caused.
	OutcomeWave
)

type (
	// Outcome is what came of one request.
	Outcome uint8

	// Request is a request that has come to its end. Latency counts for
	// answered ones only.
	Request struct {
		Service tackid.Service
		Team    tackid.Team
		Outcome Outcome
		Latency tackclock.Duration
	}

	// Meter gathers what came of requests until the next sample. Its zero
	// value is empty. It is not safe for concurrent use.
	Meter struct {
		services map[tackid.Service]*Counts
		teams    map[tackid.Team]*Counts
		labels   map[Label]*Counts
	}
)

// Count counts one request, also under the labels given.
func (m *Meter) Count(r Request, labels ...Label) {
	c := r.counts()
	if m.services == nil {
		m.services = make(map[tackid.Service]*Counts)
		m.teams = make(map[tackid.Team]*Counts)
		m.labels = make(map[Label]*Counts)
	}
	gather(m.services, r.Service, c)
	gather(m.teams, r.Team, c)
	for _, l := range labels {
		gather(m.labels, l, c)
	}
}

// Take returns what was gathered as a sample and empties the meter. It
// returns false when there was nothing.
func (m *Meter) Take(peer tackid.Peer, sequence uint64) (Sample, bool) {
	if len(m.services) == 0 {
		return Sample{}, false
	}
	s := Sample{Peer: peer, Sequence: sequence}
	for _, n := range sortedNames(m.services) {
		s.Services = append(s.Services, ServiceCounts{Service: n, Counts: *m.services[n]})
	}
	for _, n := range sortedNames(m.teams) {
		s.Teams = append(s.Teams, TeamCounts{Team: n, Counts: *m.teams[n]})
	}
	for _, n := range sortedNames(m.labels) {
		s.Labels = append(s.Labels, LabelCounts{Label: n, Counts: *m.labels[n]})
	}
	*m = Meter{}
	return s, true
}

// counts returns the request as counts of one.
func (r Request) counts() Counts {
	var c Counts
	switch r.Outcome {
	case OutcomeGood:
		c.Good = 1
	case OutcomeLate:
		c.Late = 1
	case OutcomeRefused:
		c.Refused = 1
	case OutcomeWave:
		c.Wave = 1
	default:
		c.Lost = 1
	}
	if r.Outcome == OutcomeGood || r.Outcome == OutcomeLate {
		c.LatencyMS = uint64(max(r.Latency, 0))
	}
	return c
}

// gather adds c under name, or under Other when there are names enough.
func gather[N ~string](t map[N]*Counts, name N, c Counts) {
	if name == "" {
		return
	}
	if t[name] == nil && len(t) >= MaxNames {
		name = Other
	}
	if t[name] == nil {
		t[name] = new(Counts)
	}
	t[name].Add(c)
}

func sortedNames[N cmp.Ordered, V any](m map[N]V) []N {
	names := make([]N, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
