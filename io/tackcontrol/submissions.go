package tackcontrol

import (
	"sync"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

const (
	// refusalKept is for how long a refused request stays refused: longer than an entry VM
	// tries to have one carried out.
	refusalKept = 5 * tackclock.Second
	// refusalsEvery spaces out the walks that drop older ones.
	refusalsEvery = tackclock.Second
)

type (
	// submissions keep callers from being told that a job never runs while it may.
	//
	// An entry VM that has no answer in time asks again. What it asked first may then be
	// in the log and not be decided, so the job is not refused. Or the leader may come to
	// it later than to what was asked again, so a request that was refused once is not
	// accepted any more. The zero value knows of none. It is safe for concurrent use.
	submissions struct {
		mu sync.Mutex
		// undecided counts the proposals of each job whose fate is open.
		undecided map[tackjob.ID]int
		refused   map[tackid.RequestID]refusal
		expireAt  tackclock.Time
	}

	// refusal is why a request was refused, and when.
	refusal struct {
		at        tackclock.Time
		admission tackdispatch.Admission
	}
)

// begin takes in that a job is being proposed.
func (s *submissions) begin(id tackjob.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.undecided == nil {
		s.undecided = make(map[tackjob.ID]int)
	}
	s.undecided[id]++
}

// end takes in that a proposal is decided, and reports whether it was the last of its job.
func (s *submissions) end(id tackjob.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.undecided[id]--; s.undecided[id] > 0 {
		return false
	}
	delete(s.undecided, id)
	return true
}

// open reports whether a proposal of the job may yet be committed.
func (s *submissions) open(id tackjob.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.undecided[id] > 0
}

// refuse remembers that a request was refused. One without an id is not sent again.
func (s *submissions) refuse(now tackclock.Time, id tackid.RequestID, a tackdispatch.Admission) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now >= s.expireAt {
		s.expireAt = now.Add(refusalsEvery)
		for id, r := range s.refused {
			if now.Sub(r.at) > refusalKept {
				delete(s.refused, id)
			}
		}
	}
	if s.refused == nil {
		s.refused = make(map[tackid.RequestID]refusal)
	}
	s.refused[id] = refusal{at: now, admission: a}
}

// refusedBefore returns the refusal of a request, if there was one.
func (s *submissions) refusedBefore(now tackclock.Time, id tackid.RequestID) (tackdispatch.Admission, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.refused[id]
	return r.admission, known && now.Sub(r.at) <= refusalKept
}
