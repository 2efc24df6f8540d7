package tackcontrol

import (
	"context"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackwork"
	"auburntack/core/tackworkspace"
)

// retryAfter is the delay after which callers may retry when there is no leader: an election
// takes one to two seconds.
const retryAfter = tackclock.Second

// idTaken is the reason for rejecting a job whose id is used by another caller's job.
const idTaken = "the id is that of a job in another queue or workspace"

// Do executes a caller's request to a queue, if this VM is the leader.
func (c *Control) Do(ctx context.Context, r *tackwork.Request) tackwork.Answer {
	now := c.clock.Now()
	if _, leads := c.leads(now); !leads {
		return c.notLeader()
	}
	a := c.do(ctx, r)
	took := c.clock.Now().Sub(now)
	c.meters.countAnswer(r, &a, took)
	c.logAnswer(r, &a, took)
	return a
}

// LeaderStatus reports whether this VM is the leader, and otherwise which one is.
func (c *Control) LeaderStatus() tackwork.Answer {
	if _, leads := c.leads(c.clock.Now()); !leads {
		return c.notLeader()
	}
	return tackwork.Answer{Control: c.Peers()}
}

func (c *Control) notLeader() tackwork.Answer {
	a := tackwork.Answer{
		Verdict: tackwork.Unavailable, RetryAfter: retryAfter, Reason: "not the leader",
		NotLeader: true, Control: c.Peers(),
	}
	if leader := c.Leader(); leader != c.cfg.Self {
		a.Leader = leader
	}
	return a
}

func (c *Control) logAnswer(r *tackwork.Request, a *tackwork.Answer, took tackclock.Duration) {
	if r.Operation == tackwork.Lookup && a.Verdict == tackwork.Done {
		return // neither a change nor a decision
	}
	c.log.WithFields(logrus.Fields{
		"request_id": r.ID, "operation": r.Operation.String(), "path": r.Path,
		"outcome": a.Verdict.String(), "reason": a.Reason, "took_ms": int64(took),
		"term": uint64(c.status.Load().Term), "retry_after_ms": int64(a.RetryAfter),
	}).Info("request decided")
}

// call is a caller's request whose queue was found and which the caller may make.
type call struct {
	queue tackcatalog.Queue
	id    tackjob.ID // empty for a request about the queue itself
	// workspace is that of the caller's key; workspace and key are empty if the queue
	// requires no key.
	workspace tackid.Workspace
	key       tackworkspace.Fingerprint
	spec      *tackjob.Spec
	request   tackid.RequestID
}

func (c *Control) do(ctx context.Context, r *tackwork.Request) tackwork.Answer {
	call, refusal := c.resolve(r)
	if refusal != nil {
		return *refusal
	}
	switch {
	case call.id == "":
		return c.pending(call)
	case r.Operation == tackwork.Lookup:
		return c.lookup(call)
	case r.Operation == tackwork.Cancel:
		return c.cancel(ctx, call)
	default:
		return c.submit(ctx, call)
	}
}

// resolve finds the queue and the workspace of a request, or returns the answer that rejects
// it. The key is checked before anything else that depends on the queue, so that a caller
// without one learns nothing about the jobs.
func (c *Control) resolve(r *tackwork.Request) (*call, *tackwork.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Catalog.Version == 0 {
		return nil, &tackwork.Answer{Verdict: tackwork.Unavailable, RetryAfter: retryAfter, Reason: "no catalog yet"}
	}
	q, rest := c.state.Catalog.Match(r.Host, r.Path)
	if q == nil {
		return nil, &tackwork.Answer{Verdict: tackwork.NoQueue}
	}
	found := &call{queue: *q, id: tackjob.ID(rest), spec: r.Spec, request: r.ID}
	if c.state.Catalog.RequiresKeys && !q.Public {
		held := false
		if found.workspace, held = c.state.Holder(r.Key); !held {
			return nil, &tackwork.Answer{Verdict: tackwork.NoKey, Reason: noKeyReason(r.Key)}
		}
		found.key = r.Key
	}
	if !found.id.Valid() && (rest != "" || r.Operation != tackwork.Lookup) {
		return nil, &tackwork.Answer{Verdict: tackwork.NoQueue, Reason: "no job id in the path"}
	}
	return found, nil
}

// noKeyReason distinguishes a key that belongs to no workspace from a missing one.
func noKeyReason(key tackworkspace.Fingerprint) string {
	if key == "" {
		return "no key"
	}
	return "unknown key " + key.Short()
}

// mayAccess reports whether the caller may access the job: the job must belong to the queue
// that the request names, and to the caller's workspace if it has one.
func (k *call) mayAccess(j *tackjob.Job) bool {
	if j == nil || j.Queue != k.queue.QueueKey {
		return false
	}
	return k.key == "" || j.Workspace == "" || j.Workspace == k.workspace
}

func (c *Control) pending(k *call) tackwork.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return tackwork.Answer{Queue: true, Pending: c.dispatch.UnstartedJobs(k.queue.QueueKey)}
}

func (c *Control) lookup(k *call) tackwork.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.state.Jobs.Get(k.id)
	if !k.mayAccess(j) {
		return tackwork.Answer{Verdict: tackwork.NoJob}
	}
	return tackwork.Answer{Progress: tackwork.ProgressOf(j, c.dispatch.Started(k.id))}
}

// phase reports whether the caller may access the job, and whether it is open.
func (c *Control) phase(k *call) (known, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.state.Jobs.Get(k.id)
	known = k.mayAccess(j)
	return known, known && j.Phase == tackjob.Open
}

func (c *Control) cancel(ctx context.Context, k *call) tackwork.Answer {
	known, open := c.phase(k)
	if !known {
		return tackwork.Answer{Verdict: tackwork.NoJob}
	}
	if !open {
		return tackwork.Answer{}
	}
	return c.answerProposal(c.propose(ctx, tackwork.Change{Cancel: k.id}))
}

func (c *Control) submit(ctx context.Context, k *call) tackwork.Answer {
	if k.spec == nil {
		return tackwork.Answer{Verdict: tackwork.Invalid, Reason: "no job in the body"}
	}
	spec := *k.spec
	spec.ID, spec.Queue = k.id, k.queue.QueueKey
	if err := spec.Validate(); err != nil {
		return tackwork.Answer{Verdict: tackwork.Invalid, Reason: err.Error()}
	}
	known, admission := c.admit(k, &spec)
	switch {
	case known != nil && !k.mayAccess(known):
		return tackwork.Answer{Verdict: tackwork.Invalid, Reason: idTaken}
	case known != nil:
		return tackwork.Answer{Reason: "known"}
	case !admission.Accepted:
		return tackwork.Answer{Verdict: tackwork.Refused, RetryAfter: admission.RetryAfter, Reason: admission.Reason}
	}
	p := c.proposeNotify(ctx, tackwork.Change{Submit: &spec, Key: k.key}, func() { c.decided(spec.ID) })
	switch {
	case p.status != committed:
		return c.answerProposal(p)
	case p.outcome.NoQueue:
		return tackwork.Answer{Verdict: tackwork.NoQueue, Reason: "the queue was dropped meanwhile"}
	case p.outcome.NoKey:
		return tackwork.Answer{Verdict: tackwork.NoKey, Reason: "the key was taken away meanwhile"}
	case !k.mayAccess(p.outcome.Job):
		return tackwork.Answer{Verdict: tackwork.Invalid, Reason: idTaken}
	}
	return tackwork.Answer{}
}

// admit returns the job if the log contains it, and otherwise whether it is accepted. A job
// that is accepted must be proposed.
func (c *Control) admit(k *call, spec *tackjob.Spec) (known *tackjob.Job, a tackdispatch.Admission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known = c.state.Jobs.Get(spec.ID); known != nil {
		return known, a
	}
	now := c.clock.Now()
	before, refused := c.submissions.refusedBefore(now, k.request)
	switch {
	case c.submissions.open(spec.ID):
		a.Accepted = true
	case refused:
		return nil, before
	default:
		a = c.dispatch.Admit(now, &k.queue, spec, k.workspace)
	}
	if a.Accepted {
		c.submissions.begin(spec.ID)
		c.dispatch.Proposed(&k.queue, spec, k.workspace)
	} else {
		c.submissions.refuse(now, k.request, a)
	}
	return nil, a
}

// decided records that a proposal of a job was committed, or never will be.
func (c *Control) decided(id tackjob.ID) {
	if !c.submissions.end(id) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch.Decided(id)
}

func (c *Control) answerProposal(p proposalResult) tackwork.Answer {
	switch p.status {
	case committed:
		return tackwork.Answer{}
	case rejected:
		return tackwork.Answer{Verdict: tackwork.Unavailable, RetryAfter: retryAfter, Reason: "leadership was lost"}
	default:
		return tackwork.Answer{Verdict: tackwork.Unknown, Reason: "no majority in time"}
	}
}

// PutCatalog activates a catalog. The verdict is Done, Conflict, Invalid, Unavailable or
// Unknown.
func (c *Control) PutCatalog(ctx context.Context, catalog *tackcatalog.Catalog) tackwork.Answer {
	if _, leads := c.leads(c.clock.Now()); !leads {
		return c.notLeader()
	}
	if err := catalog.Validate(); err != nil {
		c.log.WithField("version", uint64(catalog.Version)).WithError(err).Warn("catalog refused")
		return tackwork.Answer{Verdict: tackwork.Invalid, Reason: err.Error()}
	}
	a := c.putValid(ctx, catalog)
	c.log.WithFields(logrus.Fields{
		"version": uint64(catalog.Version), "queues": len(catalog.Queues), "advised": advisedQueues(catalog),
		"workspaces": len(catalog.Workspaces), "keys": keyCount(catalog), "outcome": a.Verdict.String(), "reason": a.Reason,
	}).Info("catalog decided")
	return a
}

// advisedQueues counts the queues whose steps may run only on workers that the advisor names.
func advisedQueues(catalog *tackcatalog.Catalog) int {
	n := 0
	for i := range catalog.Queues {
		if catalog.Queues[i].Advised {
			n++
		}
	}
	return n
}

// keyCount counts the keys of all workspaces.
func keyCount(catalog *tackcatalog.Catalog) int {
	n := 0
	for i := range catalog.Workspaces {
		n += len(catalog.Workspaces[i].Keys)
	}
	return n
}

func (c *Control) putValid(ctx context.Context, catalog *tackcatalog.Catalog) tackwork.Answer {
	p := c.propose(ctx, tackwork.Change{Catalog: catalog})
	if p.status == committed && p.outcome.Conflict {
		return tackwork.Answer{Verdict: tackwork.Conflict, Reason: "the version is held with other content"}
	}
	return c.answerProposal(p)
}

func (c *Control) catalog() tackcatalog.Catalog {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state.Catalog
}

// Catalog returns the current catalog, or false if this VM cannot be sure that it is current.
func (c *Control) Catalog() (tackcatalog.Catalog, bool) {
	catalog := c.catalog()
	// The lease is checked after the catalog was read: had it expired in between, another
	// leader could already have activated a newer catalog.
	_, leads := c.leads(c.clock.Now())
	return catalog, leads && catalog.Version > 0
}
