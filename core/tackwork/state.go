// Package tackwork is the state that the replicated log of a control VM
// drives: the catalog of queues, the jobs, and the waves of upkeep.
package tackwork

import (
	"cmp"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackquota"
	"auburntack/core/tackreplica"
	"auburntack/core/tackupkeep"
	"auburntack/core/tackworkspace"
)

const (
	// defaultKeepClosed is two minutes and a rest that covers a caller that is
	// late.
	defaultKeepClosed = 150 * tackclock.Second
	// expireEvery spaces out the passes that forget closed jobs.
	expireEvery = 10 * tackclock.Second
)

type (
	// State is what the log has brought about. Its zero value is empty.
	State struct {
		// KeepClosed is how long a closed job can still be asked for, the same on
		// all replicas; zero is two and a half minutes.
		KeepClosed tackclock.Duration

		Catalog tackcatalog.Catalog
		Jobs    tackjob.Table
		Waves   tackupkeep.Table
		// Grants are what workspaces may have running, as the leaders asked for it.
		Grants tackquota.Grants

		// holders follows from Catalog.
		holders tackworkspace.Holders
		expired tackclock.Time
	}

	// Change is one entry of the log. One field is set; Findings may stand beside Ends,
	// Key beside Submit.
	Change struct {
		Submit  *tackjob.Spec        `cbor:"1,keyasint,omitempty"`
		Cancel  tackjob.ID           `cbor:"2,keyasint,omitempty"`
		Ends    []tackjob.End        `cbor:"3,keyasint,omitempty"`
		Catalog *tackcatalog.Catalog `cbor:"4,keyasint,omitempty"`
		Wave    *tackupkeep.Wave     `cbor:"5,keyasint,omitempty"`
		Upkeep  *UpkeepBegun         `cbor:"6,keyasint,omitempty"`
		// Orders are VMs that the leader is about to order about. They change
		// nothing; whoever leads next knows of them.
		Orders   []tackid.VM       `cbor:"7,keyasint,omitempty"`
		Findings *tackjob.Findings `cbor:"8,keyasint,omitempty"`
		// Key is what a job is handed in with, beside Submit; empty if its queue
		// needs none.
		Key tackworkspace.Fingerprint `cbor:"9,keyasint,omitempty"`
		// Grants may stand beside Ends as well.
		Grants []tackquota.Grant `cbor:"10,keyasint,omitempty"`
	}

	// UpkeepBegun notes that the platform has taken a VM down for a wave.
	UpkeepBegun struct {
		Wave tackupkeep.Number `cbor:"1,keyasint"`
		VM   tackid.VM         `cbor:"2,keyasint"`
	}

	// Outcome is what a change did. Job is the one that was submitted or
	// cancelled, nil if there is none of that id.
	Outcome struct {
		Job *tackjob.Job
		// Conflict says that the catalog's version is held with other
		// content, so that nothing was changed.
		Conflict bool
		// NoQueue says that no queue of that key is in the catalog.
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
	}
)

// Encode returns the change as it stands in the log.
func (c *Change) Encode() []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic("tackwork: change cannot be encoded: " + err.Error())
	}
	return data
}

// Apply carries out an entry of the log. Entries without a change do nothing.
func (s *State) Apply(e tackreplica.Entry) (Change, Outcome, error) {
	var c Change
	if e.Kind != tackreplica.EntryNormal {
		return c, Outcome{}, nil
	}
	if err := cbor.Unmarshal(e.Data, &c); err != nil {
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
			j.Take(end, e.Time)
		}
	}
	if c.Findings != nil {
		s.Jobs.Find(c.Findings, e.Time)
	}
	s.grant(c.Grants)
	return Outcome{}
}

// submit accepts a job. The queue and the holder of the key are looked up here and
// not where the job came in: a change of the catalog may stand in the log between
// the two, and a key that it takes away must not be used after it.
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
	return Outcome{Job: s.Jobs.Accept(j, e.Term, e.Time)}
}

// replaceCatalog puts a catalog in force if its version is the highest. A
// version that is held with other content is refused: two operators that race
// would otherwise both be told that theirs counts.
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
		s.Grants[g.Workspace] = g.Room
	}
}

func (s *State) expire(now tackclock.Time) {
	if now.Sub(s.expired) < expireEvery {
		return
	}
	s.expired = now
	s.Jobs.Expire(now.Add(-cmp.Or(s.KeepClosed, defaultKeepClosed)))
}

// Snapshot returns the state in the form that Restore reads.
func (s *State) Snapshot() ([]byte, error) {
	return cbor.Marshal(snapshot{Catalog: s.Catalog, Jobs: s.Jobs.All(), Waves: s.Waves.All(), Expired: s.expired, Grants: s.Grants})
}

// Restore replaces the state by that of a snapshot.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("tackwork: snapshot: %w", err)
	}
	s.Catalog, s.holders = snap.Catalog, tackworkspace.HoldersOf(snap.Catalog.Workspaces)
	s.Jobs.Restore(snap.Jobs)
	s.Waves.Restore(snap.Waves)
	s.expired, s.Grants = snap.Expired, snap.Grants
	return nil
}
