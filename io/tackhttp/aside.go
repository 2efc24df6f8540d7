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

// asides keeps the jobs that bring down each backend server that they are
// given to.
type asides struct {
	seed maphash.Seed
	any  atomic.Bool // a job has failed: before, no request is looked up

	mu    sync.Mutex
	aside tackretry.FailingJobs
}

// SetAside returns the jobs that are refused for now, since each backend
// server that ran them broke off.
func (h *Handler) SetAside() []tackretry.SetAsideJob {
	h.asides.mu.Lock()
	defer h.asides.mu.Unlock()
	return h.asides.aside.List(h.clock.Now())
}

// checkAside refuses a request for a job that is set aside.
func (c *call) checkAside() *failure {
	a := &c.h.asides
	if !a.any.Load() {
		return nil
	}
	job := c.job()
	a.mu.Lock()
	wait := a.aside.Check(c.h.clock.Now(), job)
	a.mu.Unlock()
	if wait == 0 {
		return nil
	}
	return refusal(http.StatusServiceUnavailable, codeSetAside, "this request broke several backend servers and is set aside", max(wait, tackclock.Second))
}

// failedOn notes that a backend server broke off while it ran the request.
func (c *call) failedOn(candidate tackroute.Candidate) {
	a := &c.h.asides
	job := c.job()
	healthy := c.service.healthy(candidate)
	a.any.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aside.RecordFailure(c.h.clock.Now(), tackretry.Failure{Job: job, BackendServer: candidate.BackendServer, Healthy: healthy}) {
		c.h.meters.setAside.Inc(1)
	}
}

// ran notes that the request can run.
func (c *call) ran() {
	a := &c.h.asides
	if !a.any.Load() {
		return
	}
	job := c.job()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aside.RecordSuccess(job)
}

// job returns what the request is known by.
func (c *call) job() tackretry.Job {
	job := tackretry.Job{Service: c.service.name, Team: c.team, Key: c.key}
	if c.streamed {
		return job
	}
	var h maphash.Hash
	h.SetSeed(c.h.asides.seed)
	h.WriteString(c.r.Method)
	h.WriteByte(' ')
	h.WriteString(c.r.RequestURI)
	h.WriteByte(' ')
	h.Write(c.body)
	job.Fingerprint = h.Sum64()
	return job
}
