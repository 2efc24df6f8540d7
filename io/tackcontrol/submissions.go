package tackcontrol

import (
	"sync"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
)

const (
	// refusalRetention is how long a refused request stays refused: longer than an entry VM
	// retries it.
	refusalRetention = 5 * tackclock.Second
	// refusalExpiryInterval is the interval between two scans that remove expired refusals.
	refusalExpiryInterval = tackclock.Second
)

type (
	// submissions prevents a caller from being told that a job will never run when it still
	// may.
	//
	// An entry VM that gets no answer in time retries. Its first request may then be in the
	// log and undecided, so the job must not be refused. Or the leader may handle the first
	// request after the retry, so a request that was refused once must not be accepted later.
	// The zero value is empty. It is safe for concurrent use.
	submissions struct {
		mu sync.Mutex
		// undecided counts the undecided proposals of each job.
		undecided map[tackjob.ID]int
		refused   map[tackid.RequestID]refusal
		expireAt  tackclock.Time
	}

	// refusal is why and when a request was refused.
	refusal struct {
		at        tackclock.Time
		admission tackdispatch.Admission
	}
)

// begin records that a job is being proposed.
func (s *submissions) begin(id tackjob.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.undecided == nil {
		s.undecided = make(map[tackjob.ID]int)
	}
	s.undecided[id]++
}

// end records that a proposal is decided, and reports whether it was the last one of its job.
func (s *submissions) end(id tackjob.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.undecided[id]--; s.undecided[id] > 0 {
		return false
	}
	delete(s.undecided, id)
	return true
}

// open reports whether a proposal of the job may still be committed.
func (s *submissions) open(id tackjob.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.undecided[id] > 0
}

// refuse records that a request was refused. A request without an id is never retried.
func (s *submissions) refuse(now tackclock.Time, id tackid.RequestID, a tackdispatch.Admission) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now >= s.expireAt {
		s.expireAt = now.Add(refusalExpiryInterval)
		for id, r := range s.refused {
			if now.Sub(r.at) > refusalRetention {
				delete(s.refused, id)
			}
		}
	}
	if s.refused == nil {
		s.refused = make(map[tackid.RequestID]refusal)
	}
	s.refused[id] = refusal{at: now, admission: a}
}

// refusedBefore returns the refusal of a request, if there is one.
func (s *submissions) refusedBefore(now tackclock.Time, id tackid.RequestID) (tackdispatch.Admission, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.refused[id]
	return r.admission, known && now.Sub(r.at) <= refusalRetention
}
