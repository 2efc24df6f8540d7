package tackburn

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// OutcomeGood is a complete answer in time.
	OutcomeGood Outcome = iota
	// OutcomeLate is a complete answer after the time that was allowed.
	OutcomeLate
	// OutcomeRefused is a refusal by auburntack.
	OutcomeRefused
	// OutcomeLost is no answer or an incomplete one.
	OutcomeLost
	// OutcomeWave is a bad outcome caused by a maintenance wave.
	OutcomeWave
)

// goodInterval is the interval, in samples, at which names without a bad request
// are reported.
const goodInterval = 5

type (
	// Outcome is the outcome of a request.
	Outcome uint8

	// Request is a request that has ended. Latency is used for answered
	// requests only.
	Request struct {
		Service tackid.Service
		Team    tackid.Team
		Outcome Outcome
		Latency tackclock.Duration
	}

	// Meter collects the outcomes of requests until the next sample. Its zero
	// value is empty. It is not safe for concurrent use.
	Meter struct {
		samples  int
		services map[tackid.Service]*pendingCounts
		teams    map[tackid.Team]*pendingCounts
		labels   map[Label]*pendingCounts
	}

	// pendingCounts holds the counts of a name since it was last reported.
	pendingCounts struct {
		Counts
		reported bool
	}
)

// Count counts a request for its service, its team and the given labels.
func (m *Meter) Count(r Request, labels ...Label) {
	c := r.counts()
	if m.services == nil {
		m.services = make(map[tackid.Service]*pendingCounts)
		m.teams = make(map[tackid.Team]*pendingCounts)
		m.labels = make(map[Label]*pendingCounts)
	}
	collect(m.services, r.Service, c)
	collect(m.teams, r.Team, c)
	for _, l := range labels {
		collect(m.labels, l, c)
	}
}

// Take moves the counts that are due into a sample. Names that are new or had a
// bad request are due each time, the others every fifth time. The reason is that
// the log carries every sample to every peer: with 12 peers, a row for each name
// every minute would take a third of the bytes that the leader may send. Take
// returns false if nothing is due.
func (m *Meter) Take(peer tackid.Peer, sequence uint64) (Sample, bool) {
	m.samples++
	return m.take(peer, sequence, m.samples%goodInterval == 0)
}

// TakeAll moves all counts into a sample. It is used when a process ends. It
// returns false if there are no counts.
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

// counts returns the counts of this one request.
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

// collect adds c under name, or under Other if there are MaxNames names already.
func collect[N ~string](t map[N]*pendingCounts, name N, c Counts) {
	if name == "" {
		return
	}
	if t[name] == nil && len(t) >= MaxNames {
		name = Other
	}
	if t[name] == nil {
		t[name] = new(pendingCounts)
	}
	t[name].Add(c)
}

// due returns the sorted names of t that are new or had a bad request. If all is
// set, it returns every name that had a request, and deletes the others.
func due[N cmp.Ordered](t map[N]*pendingCounts, all bool) []N {
	var names []N
	for n, g := range t {
		switch {
		case g.Counts == (Counts{}):
			if all {
				delete(t, n)
			}
		case all || !g.reported || g.Bad() > 0:
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// take returns the counts of name and resets them.
func take[N ~string](t map[N]*pendingCounts, name N) Counts {
	c := t[name].Counts
	*t[name] = pendingCounts{reported: true}
	return c
}
