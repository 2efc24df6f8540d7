// Package tackwork is the state machine of a control VM's replicated log: the catalog of
// queues, the jobs, the maintenance waves, the quota grants and the promises to callers.
package tackwork

import (
	"cmp"
	"fmt"

	"auburntack/core/tackadmit"
	"auburntack/core/tackcatalog"
	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackquota"
	"auburntack/core/tackreplica"
	"auburntack/core/tackupkeep"
	"auburntack/core/tackworkspace"
)

const (
	// defaultClosedRetention is two minutes, plus 30 seconds for callers that are late.
	defaultClosedRetention = 150 * tackclock.Second
	// expireInterval is the interval between the passes that remove closed jobs.
	expireInterval = 10 * tackclock.Second
)

type (
	// State is the result of applying the log. Its zero value is empty.
	State struct {
		// ClosedRetention is how long a closed job can still be looked up. It must be the
		// same on all replicas; zero means two and a half minutes.
		ClosedRetention tackclock.Duration

		Catalog tackcatalog.Catalog
		Jobs    tackjob.Table
		Waves   tackupkeep.Table
		// Grants are the limits, requested by the leaders, on what each workspace may
		// have running.
		Grants tackquota.Grants
		// Promises are the times at which there is room for refused callers.
		Promises tackadmit.Promises

		// holders is derived from Catalog.
		holders tackworkspace.Holders
		expired tackclock.Time
	}

	// Change is one entry of the log. Exactly one field is set, except that Findings may
	// accompany Ends, and Key accompanies Submit.
	Change struct {
		Submit  *tackjob.Spec        `cbor:"1,keyasint,omitempty"`
		Cancel  tackjob.ID           `cbor:"2,keyasint,omitempty"`
		Ends    []tackjob.End        `cbor:"3,keyasint,omitempty"`
		Catalog *tackcatalog.Catalog `cbor:"4,keyasint,omitempty"`
		Wave    *tackupkeep.Wave     `cbor:"5,keyasint,omitempty"`
		Upkeep  *UpkeepBegun         `cbor:"6,keyasint,omitempty"`
		// PendingVMOrders are VMs to which the leader is about to give orders. They change
		// nothing; they tell the next leader that such orders may have been given.
		PendingVMOrders []tackid.VM       `cbor:"7,keyasint,omitempty"`
		Findings        *tackjob.Findings `cbor:"8,keyasint,omitempty"`
		// Key is the key that a job is submitted with; empty if its queue requires none.
		Key tackworkspace.Fingerprint `cbor:"9,keyasint,omitempty"`
		// Grants may accompany Ends as well.
		Grants []tackquota.Grant `cbor:"10,keyasint,omitempty"`
		// Promises may accompany Ends as well.
		Promises []tackadmit.Promise `cbor:"11,keyasint,omitempty"`
	}

	// UpkeepBegun records that the platform has taken a VM down for a wave.
	UpkeepBegun struct {
		Wave tackupkeep.Number `cbor:"1,keyasint"`
		VM   tackid.VM         `cbor:"2,keyasint"`
	}

	// Outcome is the effect of a change. Job is the job that was submitted or cancelled,
	// nil if there is none with that ID.
	Outcome struct {
		Job *tackjob.Job
		// Conflict says that the version of the catalog is stored with different content,
		// so that nothing was changed.
		Conflict bool
		// NoQueue says that the catalog has no queue with that key.
		NoQueue bool
		// NoKey says that no workspace holds the key any more.
		NoKey bool
	}

	snapshot struct {
		Catalog tackcatalog.Catalog `cbor:"1,keyasint"`
		Jobs    []*tackjob.Job      `cbor:"2,keyasint"`
		Waves   []*tackupkeep.Wave  `cbor:"3,keyasint"`
		Expired tackclock.Time      `cbor:"4,keyasint"`
		Grants  tackquota.Grants    `cbor:"5,keyasint,omitempty"`

		Promises []tackadmit.Promise `cbor:"6,keyasint,omitempty"`
	}
)

// Encode returns the log encoding of the change.
func (c *Change) Encode() []byte {
	data, err := tackcbor.Marshal(c)
	if err != nil {
		panic("tackwork: change cannot be encoded: " + err.Error())
	}
	return data
}

// Apply applies an entry of the log. Entries of other kinds than EntryNormal have no
// effect.
func (s *State) Apply(e tackreplica.Entry) (Change, Outcome, error) {
	var c Change
	if e.Kind != tackreplica.EntryNormal {
		return c, Outcome{}, nil
	}
	if err := tackcbor.Unmarshal(e.Data, &c); err != nil {
		return c, Outcome{}, fmt.Errorf("tackwork: entry %d: %w", e.Index, err)
	}
	s.expire(e.Time)
	return c, s.apply(&c, e), nil
}

func (s *State) apply(c *Change, e tackreplica.Entry) Outcome {
	switch {
	case c.Submit != nil:
		return s.submit(c, e)
	case c.Cancel != "":
		return Outcome{Job: s.Jobs.Cancel(c.Cancel, e.Time)}
	case c.Catalog != nil:
		return s.replaceCatalog(c.Catalog)
	case c.Wave != nil:
		c.Wave.Accepted, c.Wave.Term = e.Time, e.Term
		s.Waves.Add(c.Wave)
	case c.Upkeep != nil:
		if w := s.Waves.Get(c.Upkeep.Wave); w != nil {
			w.Begin(c.Upkeep.VM)
		}
	}
	for _, end := range c.Ends {
		if j := s.Jobs.Get(end.Item.Job); j != nil {
			j.RecordEnd(end, e.Time)
		}
	}
	if c.Findings != nil {
		s.Jobs.ApplyFindings(c.Findings, e.Time)
	}
	s.grant(c.Grants)
	if len(c.Promises) > 0 {
		s.Promises.Apply(c.Promises, e.Time)
	}
	return Outcome{}
}

// submit accepts a job. The queue and the holder of the key are looked up here and not
// when the request arrives: a change of the catalog may come between the two in the log,
// and a key that it removes must not be used after it.
func (s *State) submit(c *Change, e tackreplica.Entry) Outcome {
	spec := c.Submit
	if known := s.Jobs.Get(spec.ID); known != nil {
		return Outcome{Job: known}
	}
	q := s.Catalog.Queue(spec.Queue)
	if q == nil {
		return Outcome{NoQueue: true}
	}
	workspace, held := s.holders.Of(c.Key)
	if c.Key != "" && !held {
		return Outcome{NoKey: true}
	}
	j := &tackjob.Job{
		Spec: *spec, Service: q.Service, Attempts: q.Attempts, Priority: q.Priority,
		Objective: q.Objective, Stretch: q.Stretch, Advised: q.Advised,
		Workspace: workspace,
	}
	s.Promises.Drop(spec.ID)
	return Outcome{Job: s.Jobs.Accept(j, e.Term, e.Time)}
}

// replaceCatalog puts a catalog in force if its version is the highest. It refuses a
// version that is stored with different content: otherwise two operators that race would
// both be told that their catalog is in force.
func (s *State) replaceCatalog(c *tackcatalog.Catalog) Outcome {
	if c.Version == s.Catalog.Version && !c.Same(&s.Catalog) {
		return Outcome{Conflict: true}
	}
	if c.Version <= s.Catalog.Version {
		return Outcome{}
	}
	s.Catalog, s.holders = *c, tackworkspace.HoldersOf(c.Workspaces)
	s.Jobs.Each(func(j *tackjob.Job) {
		if q := c.Queue(j.Queue); q != nil {
			j.Service = q.Service
		}
	})
	return Outcome{}
}

// Holder returns the workspace that holds the key.
func (s *State) Holder(key tackworkspace.Fingerprint) (tackid.Workspace, bool) {
	return s.holders.Of(key)
}

func (s *State) grant(list []tackquota.Grant) {
	if s.Grants == nil && len(list) > 0 {
		s.Grants = make(tackquota.Grants)
	}
	for _, g := range list {
		s.Grants[g.Workspace] = g.Resources
	}
}

func (s *State) expire(now tackclock.Time) {
	if now.Sub(s.expired) < expireInterval {
		return
	}
	s.expired = now
	s.Promises.Expire(now)
	s.Jobs.Expire(now.Add(-cmp.Or(s.ClosedRetention, defaultClosedRetention)))
}

// Snapshot returns the encoded state, which Restore reads.
func (s *State) Snapshot() ([]byte, error) {
	return tackcbor.Marshal(snapshot{
		Catalog: s.Catalog, Jobs: s.Jobs.All(), Waves: s.Waves.All(), Expired: s.expired, Grants: s.Grants, Promises: s.Promises.All(),
	})
}

// Restore replaces the state by that of a snapshot.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := tackcbor.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("tackwork: snapshot: %w", err)
	}
	s.Catalog, s.holders = snap.Catalog, tackworkspace.HoldersOf(snap.Catalog.Workspaces)
	s.Jobs.Restore(snap.Jobs)
	s.Waves.Restore(snap.Waves)
	s.expired, s.Grants = snap.Expired, snap.Grants
	s.Promises.Restore(snap.Promises)
	return nil
}
