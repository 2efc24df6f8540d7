// Package tackcrash evaluates the crashes of workers under an item: whether the item may
// start beside others, and when it is given up.
//
// A worker that crashes takes all of its runs with it, and nothing tells which of them
// was at fault, if any: the VM may have failed, or its rack may have lost power. Giving
// up every item that was lost a few times would also give up the neighbours of an item
// that crashes workers, since they were lost as often while they ran beside it.
//
// An item that was lost at its start together with others is started again where no other
// start is under way, so that the next crash tells which of them is at fault. An item that
// is likely at fault runs alone until it has survived the time at which its workers
// crashed, and crashes while it ran alone count most against it.
package tackcrash

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// aloneLimit is the number of VMs on which a worker must have crashed while it ran
	// nothing but the item. One coincidental crash within the fraction of a second of a
	// trial does happen to sound items, on days on which VMs come and go; two on
	// different VMs do not.
	aloneLimit = 2
	// maxCrashes limits the crashes of all kinds, and maxEarly those before the worker
	// had reported the item. Where no worker can be kept free for an item, it never runs
	// alone and would be retried forever. While every VM crashes six times a minute, 5 of
	// 180,000 sound items are lost that often (200 storms of the dispatcher's tests).
	maxCrashes = 5
	maxEarly   = 4
	// maxWithAlone is the limit for an item that was alone at least once, and was lost at
	// its start at least once. Where only one VM can be kept free for trials, that VM may
	// be at fault as well.
	maxWithAlone = 4
	// SettledAfter is how long a worker must have reported a run for its crash not to
	// count against the item, and for earlier crashes to be forgotten. Items that crash
	// workers do so when they start; one that ran for seconds was there by chance.
	SettledAfter = 5 * tackclock.Second
	// shortTrial is the trial period of an item that was lost before its worker reported
	// it: two heartbeats of a worker with free capacity. Without it, each sound item that
	// was ordered just before a crash would hold a VM for its whole run.
	shortTrial = 300 * tackclock.Millisecond
	// maxDoubts is the number of workers at once of which it may be unresolved whether
	// they crashed under the item. If their VMs were away for longer than a lease, the
	// item would otherwise go through a whole pool before the first of them is back.
	maxDoubts = 2
	// listedLimit is the number of crashes that require a trial if the worker had
	// reported the item each time, so that the item had survived its start. earlyLimit is
	// the number of those that require one although other starts were under way.
	listedLimit = 2
	earlyLimit  = 2
)

type (
	// Crash is the crash of a worker during a run of an item.
	Crash struct {
		// Run is the number of the run.
		Run uint64 `cbor:"1,keyasint"`
		// VM is the VM of the worker.
		VM tackid.VM `cbor:"2,keyasint,omitempty"`
		// BeforeReport says that the worker had not reported the run yet.
		BeforeReport bool `cbor:"3,keyasint,omitempty"`
		// Alone says that the worker ran nothing else, or beside a member of a gang
		// nothing but other members, and that the run had not survived its start or its
		// trial.
		Alone bool `cbor:"4,keyasint,omitempty"`
		// Excused says that an order may have ended the worker. Such a crash does not
		// count as one that the item ran alone in, but as a start that may have ended in
		// a crash.
		Excused bool `cbor:"5,keyasint,omitempty"`
		// Isolated says that the worker had reported all its other runs, so that no other
		// start can have been the cause.
		Isolated bool `cbor:"6,keyasint,omitempty"`
		// Explained says that the worker had reported this run but not another one, which
		// is the more likely cause. Such a crash does not count against the item.
		Explained bool `cbor:"7,keyasint,omitempty"`
		// Outage says that the workers of a whole rack fell silent together, so that the
		// run is most likely not the cause. It counts, but puts no restraint on the item.
		Outage bool `cbor:"8,keyasint,omitempty"`
	}

	// Doubt is a run of which it is unresolved whether its worker crashed: the worker
	// stopped reporting during the run, or the run is a trial that begins. The next
	// report from the VM resolves it: it comes either from the same worker process or
	// from a new one. Doubts are stored in the log. Otherwise a leader that is lost
	// before the VM is back would take the knowledge of the crash with it, and the next
	// leader would start the item as if nothing had happened.
	Doubt struct {
		Crash `cbor:"1,keyasint"`
		// WorkerID identifies the worker process.
		WorkerID string `cbor:"2,keyasint"`
	}

	// Record holds the crashes under an item so far. Its zero value is that of an item
	// without any. Its methods do not modify a record but return a new one.
	Record struct {
		Crashes []Crash `cbor:"1,keyasint,omitempty"`
		Doubts  []Doubt `cbor:"2,keyasint,omitempty"`
	}
)

// Empty reports whether the record holds neither crashes nor doubts.
func (r Record) Empty() bool {
	return len(r.Crashes)+len(r.Doubts) == 0
}

// WithCrash returns the record with a crash added, which replaces a doubt about the same
// run. A run counts once.
func (r Record) WithCrash(c Crash) Record {
	r = r.WithoutDoubt(c.Run)
	if r.has(c.Run) {
		return r
	}
	r.Crashes = append(slices.Clone(r.Crashes), c)
	return r
}

// WithDoubt returns the record with a doubt added.
func (r Record) WithDoubt(d Doubt) Record {
	if r.has(d.Run) || slices.ContainsFunc(r.Doubts, func(known Doubt) bool { return known.Run == d.Run }) {
		return r
	}
	r.Doubts = append(slices.Clone(r.Doubts), d)
	return r
}

// WithoutDoubt returns the record without the doubt about the run.
func (r Record) WithoutDoubt(run uint64) Record {
	r.Doubts = slices.DeleteFunc(slices.Clone(r.Doubts), func(d Doubt) bool { return d.Run == run })
	return r
}

func (r Record) has(run uint64) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Run == run })
}

// OnHold reports whether so many workers are silent under the item that it must not be
// started again before one of them is heard from.
func (r Record) OnHold() bool {
	return len(r.Doubts) >= maxDoubts
}

// Exhausted reports whether the item would be at fault if all workers that are silent
// under it have crashed. It must not start again before one of them is heard from.
func (r Record) Exhausted() bool {
	n := 0
	for _, d := range r.Doubts {
		r = r.WithCrash(d.Crash)
	}
	for _, c := range r.Crashes {
		if c.BeforeReport {
			n++
		}
	}
	return n >= maxEarly
}

// AtFault reports whether the item is to be given up.
func (r Record) AtFault() bool {
	early, listed := 0, 0
	alone := make(map[tackid.VM]bool)
	for _, c := range r.Crashes {
		switch {
		case c.BeforeReport:
			early++
		case !c.Explained:
			listed++
		}
		if c.Alone {
			alone[c.VM] = true
		}
	}
	n := early + listed
	return n >= maxCrashes || early >= maxEarly || n >= maxWithAlone && len(alone) > 0 && early > 0 || len(alone) >= aloneLimit
}

// Trial returns how long a worker must have reported the item before anything else may
// start there; zero if the item may start beside others. That includes an item that was
// lost once at its start, together with others that had just been started, and one that
// was lost once after its worker had reported it: most likely it is a neighbour of the one
// at fault.
func (r Record) Trial() tackclock.Duration {
	early, listed := 0, 0
	isolated := false
	for _, c := range r.Crashes {
		switch {
		case c.Outage:
		case c.BeforeReport:
			early++
			isolated = isolated || c.Isolated || c.Alone
		case !c.Explained:
			listed++
		}
	}
	for _, d := range r.Doubts {
		if !d.BeforeReport && !d.Explained && !d.Outage {
			listed++
		}
	}
	switch {
	case listed >= listedLimit, listed > 0 && early > 0:
		return SettledAfter
	case isolated, early >= earlyLimit:
		return shortTrial
	}
	return 0
}

// StartsIsolated reports whether the item may start only on a worker that has reported all
// its other runs, and must be reported before anything else starts there.
func (r Record) StartsIsolated() bool {
	suspect := func(c Crash) bool { return c.BeforeReport && !c.Outage }
	return slices.ContainsFunc(r.Crashes, suspect) ||
		slices.ContainsFunc(r.Doubts, func(d Doubt) bool { return suspect(d.Crash) }) || r.Trial() > 0
}

// CrashedOn reports whether a worker on the VM crashed under the item. A crash on a
// different VM tells more about the item than another one on the same VM.
func (r Record) CrashedOn(vm tackid.VM) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.VM == vm })
}
