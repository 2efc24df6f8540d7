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

// goodEvery is how many samples apart names without a bad request are told.
const goodEvery = 5

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
		takes    int
		services map[tackid.Service]*gathered
		teams    map[tackid.Team]*gathered
		labels   map[Label]*gathered
	}

	// gathered is what was counted under a name since it was last told.
	gathered struct {
		Counts
		told bool
	}
)

// Count counts one request, also under the labels given.
func (m *Meter) Count(r Request, labels ...Label) {
	c := r.counts()
	if m.services == nil {
		m.services = make(map[tackid.Service]*gathered)
		m.teams = make(map[tackid.Team]*gathered)
		m.labels = make(map[Label]*gathered)
	}
	gather(m.services, r.Service, c)
	gather(m.teams, r.Team, c)
	for _, l := range labels {
		gather(m.labels, l, c)
	}
}

// Take moves what is due into a sample. Names that are new or had a bad request
// are due each time, the others each fifth time: the log carries every sample to every
// peer, and at 12 peers a row of each name a minute would take a third of the
// bytes that the leader may send. It returns false when nothing is due.
func (m *Meter) Take(peer tackid.Peer, sequence uint64) (Sample, bool) {
	m.takes++
	return m.take(peer, sequence, m.takes%goodEvery == 0)
}

// TakeAll moves everything into a sample, for the end of a process. It returns
// false when there is nothing.
func (m *Meter) TakeAll(peer tackid.Peer, sequence uint64) (Sample, bool) {
	return m.take(peer, sequence, true)
}

func (m *Meter) take(peer tackid.Peer, sequence uint64, all bool) (Sample, bool) {
	s := Sample{Peer: peer, Sequence: sequence}
	for _, n := range due(m.services, all) {
		s.Services = append(s.Services, ServiceCounts{Service: n, Counts: take(m.services, n)})
	}
	for _, n := range due(m.teams, all) {
		s.Teams = append(s.Teams, TeamCounts{Team: n, Counts: take(m.teams, n)})
	}
	for _, n := range due(m.labels, all) {
		s.Labels = append(s.Labels, LabelCounts{Label: n, Counts: take(m.labels, n)})
	}
	return s, len(s.Services)+len(s.Teams)+len(s.Labels) > 0
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
func gather[N ~string](t map[N]*gathered, name N, c Counts) {
	if name == "" {
		return
	}
	if t[name] == nil && len(t) >= MaxNames {
		name = Other
	}
	if t[name] == nil {
		t[name] = new(gathered)
	}
	t[name].Add(c)
}

// due returns, sorted, the names of t that are new or had a bad request, or
// all that had any. With all, names that had none are forgotten.
func due[N cmp.Ordered](t map[N]*gathered, all bool) []N {
	var names []N
	for n, g := range t {
		switch {
		case g.Counts == (Counts{}):
			if all {
				delete(t, n)
			}
		case all || !g.told || g.Bad() > 0:
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// take returns what is counted under name and begins anew.
func take[N ~string](t map[N]*gathered, name N) Counts {
	c := t[name].Counts
	*t[name] = gathered{told: true}
	return c
}
