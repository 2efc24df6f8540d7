package tackhttp

import (
	"hash/maphash"
	"net/http"
	"sync"
	"sync/atomic"

	"auburntack/core/tackclock"
	"auburntack/core/tackretry"
	"auburntack/core/tackroute"
)

// failingJobs holds the jobs that fail on every backend server that runs them.
type failingJobs struct {
	seed maphash.Seed
	any  atomic.Bool // set by the first failure; while unset, requests skip the lookup

	mu   sync.Mutex
	jobs tackretry.FailingJobs
}

// SetAsideJobs returns the jobs that are currently refused because every
// backend server that ran them failed.
func (h *Handler) SetAsideJobs() []tackretry.SetAsideJob {
	h.failing.mu.Lock()
	defer h.failing.mu.Unlock()
	return h.failing.jobs.List(h.clock.Now())
}

// checkSetAside refuses a request for a job that is set aside.
func (c *call) checkSetAside() *failure {
	a := &c.h.failing
	if !a.any.Load() {
		return nil
	}
	job := c.job()
	a.mu.Lock()
	wait := a.jobs.Check(c.h.clock.Now(), job)
	a.mu.Unlock()
	if wait == 0 {
		return nil
	}
	return refusal(http.StatusServiceUnavailable, codeSetAside, "this request broke several backend servers and is set aside", max(wait, tackclock.Second))
}

// recordFailure records that a backend server failed while it ran the request.
func (c *call) recordFailure(candidate tackroute.Candidate) {
	a := &c.h.failing
	job := c.job()
	healthy := c.service.healthy(candidate)
	a.any.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.jobs.RecordFailure(c.h.clock.Now(), tackretry.Failure{Job: job, BackendServer: candidate.BackendServer, Healthy: healthy}) {
		c.h.meters.setAside.Inc(1)
	}
}

// recordSuccess records that a backend server answered the request.
func (c *call) recordSuccess() {
	a := &c.h.failing
	if !a.any.Load() {
		return
	}
	job := c.job()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.jobs.RecordSuccess(job)
}

// job returns what identifies the request among repetitions of it. A streamed
// body is not hashed.
func (c *call) job() tackretry.Job {
	job := tackretry.Job{Service: c.service.name, Team: c.team, Key: c.key}
	if c.streamed {
		return job
	}
	var h maphash.Hash
	h.SetSeed(c.h.failing.seed)
	h.WriteString(c.r.Method)
	h.WriteByte(' ')
	h.WriteString(c.r.RequestURI)
	h.WriteByte(' ')
	h.Write(c.body)
	job.Fingerprint = h.Sum64()
	return job
}
