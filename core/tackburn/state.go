// Package tackburn tracks service levels: how many requests were answered
// completely and in time, and how fast the error budget of each service is used
// up. It is a state machine that is driven by the replicated log.
//
// Counts are kept in rings of buckets, with finer buckets for shorter windows, so
// the size of the state depends only on the number of services, teams and labels.
package tackburn

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// MaxNames is the maximum number of services, of teams and of labels that
	// are counted by name.
	MaxNames = 256

	// Other is the name under which all further names are counted. Callers
	// choose the names of their teams, so without a limit a caller could fill
	// the memory of every peer with new names.
	Other = "(other)"
)

type (
	// State holds the counts of all services, teams and labels. Its zero value
	// is empty. It is not safe for concurrent use.
	State struct {
		services table[tackid.Service]
		teams    table[tackid.Team]
		labels   table[Label]
		peers    map[tackid.Peer]uint64 // highest sequence by peer
		day      int64                  // last day on which idle series were dropped
	}

	// table holds the series of one kind of name.
	table[N ~string] map[N]*series
)

// Apply adds a sample at the time of its log entry, unless the same or a later
// sample of the peer was already applied.
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

// repeated records the sequence of the sample and reports whether the sample was
// already applied.
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

// dropIdle drops, once a day, the series that had no sample for a whole period.
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
