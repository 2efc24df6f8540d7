// Package tackburn keeps account of service levels: how many requests were
// answered whole and on time, and how fast the error budget of each service
// is used up. It is a state machine that the replicated log drives.
//
// Counts are kept in rings of buckets, the finer the shorter the window, so
// the state's size depends on the number of services, teams and labels only.
package tackburn

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// MaxNames is how many services, how many teams and how many labels are
	// accounted for by name.
	MaxNames = 256

	// Other takes the counts of further names. A caller chooses its team's
	// name, and could fill the memory of every peer with new ones.
	Other = "(other)"
)

type (
	// State is the account. Its zero value is empty. It is not safe for
	// concurrent use.
	State struct {
		services table[tackid.Service]
		teams    table[tackid.Team]
		labels   table[Label]
		peers    map[tackid.Peer]uint64 // the newest sequence of each
		day      int64                  // the last on which idle series were dropped
	}

	// table holds the series of one kind of name.
	table[N ~string] map[N]*series
)

// Apply takes in a sample at the time of its log entry, unless it or a later
// one of the same peer has been.
func (s *State) Apply(now tackclock.Time, sample Sample) {
	s.dropIdle(now)
	if s.repeated(sample) {
		return
	}
	for _, c := range sample.Services {
		s.services.add(now, c.Service, c.Counts)
	}
	for _, c := range sample.Teams {
		s.teams.add(now, c.Team, c.Counts)
	}
	for _, c := range sample.Labels {
		s.labels.add(now, c.Label, c.Counts)
	}
}

// repeated notes the sample's sequence and reports whether it has passed.
func (s *State) repeated(sample Sample) bool {
	if sample.Sequence == 0 {
		return false
	}
	last, known := s.peers[sample.Peer]
	if known && sample.Sequence <= last {
		return true
	}
	if s.peers == nil {
		s.peers = make(map[tackid.Peer]uint64)
	}
	if known || len(s.peers) < MaxNames {
		s.peers[sample.Peer] = sample.Sequence
	}
	return false
}

// dropIdle drops, once a day, what had no sample for a whole period.
func (s *State) dropIdle(now tackclock.Time) {
	day := int64(now) / int64(tackclock.Day)
	if day == s.day {
		return
	}
	s.day = day
	s.services.dropIdle(now)
	s.teams.dropIdle(now)
	s.labels.dropIdle(now)
}

func (t *table[N]) add(now tackclock.Time, name N, c Counts) {
	if c == (Counts{}) {
		return
	}
	if *t == nil {
		*t = make(table[N])
	}
	s := (*t)[name]
	if s == nil {
		if len(*t) >= MaxNames {
			name = Other
		}
		if s = (*t)[name]; s == nil {
			s = new(series)
			(*t)[name] = s
		}
	}
	s.add(now, c)
}

func (t table[N]) dropIdle(now tackclock.Time) {
	for name, s := range t {
		if now.Sub(s.last) > Period {
			delete(t, name)
		}
	}
}
