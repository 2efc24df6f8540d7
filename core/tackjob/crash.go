package tackjob

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackcrash"
)

type (
	// Crash is the crash of a worker while it ran an item.
	Crash struct {
		Item            Item `cbor:"1,keyasint"`
		tackcrash.Crash `cbor:"2,keyasint"`
	}

	// Doubt is a possible crash: a worker stopped reporting while it ran an item.
	Doubt struct {
		Item            Item `cbor:"1,keyasint"`
		tackcrash.Doubt `cbor:"2,keyasint"`
	}

	// Dismissal resolves a Doubt: the worker did not crash, or its end has a known cause
	// outside the worker.
	Dismissal struct {
		Item Item   `cbor:"1,keyasint"`
		Run  uint64 `cbor:"2,keyasint"`
	}

	// Findings are what a leader has learned about items under which workers crashed or
	// may have crashed.
	Findings struct {
		Crashes   []Crash     `cbor:"1,keyasint,omitempty"`
		Doubts    []Doubt     `cbor:"2,keyasint,omitempty"`
		Dismissed []Dismissal `cbor:"3,keyasint,omitempty"`
		// Cleared are items whose earlier crashes no longer count.
		Cleared []Item `cbor:"4,keyasint,omitempty"`
	}
)

// Empty reports whether there are no findings.
func (f *Findings) Empty() bool {
	return len(f.Crashes)+len(f.Doubts)+len(f.Dismissed)+len(f.Cleared) == 0
}

// Add appends the findings in o.
func (f *Findings) Add(o Findings) {
	f.Crashes = append(f.Crashes, o.Crashes...)
	f.Doubts = append(f.Doubts, o.Doubts...)
	f.Dismissed = append(f.Dismissed, o.Dismissed...)
	f.Cleared = append(f.Cleared, o.Cleared...)
}

// ApplyFindings applies findings at log time now and fails the jobs that have an item at
// fault. This includes long-running items: they are restarted without limit, so a faulty
// one would keep crashing workers.
func (t *Table) ApplyFindings(f *Findings, now tackclock.Time) {
	for _, d := range f.Doubts {
		t.updateCrashes(d.Item, now, func(r tackcrash.Record) tackcrash.Record { return r.WithDoubt(d.Doubt) })
	}
	for _, c := range f.Crashes {
		t.updateCrashes(c.Item, now, func(r tackcrash.Record) tackcrash.Record { return r.WithCrash(c.Crash) })
	}
	for _, d := range f.Dismissed {
		t.updateCrashes(d.Item, now, func(r tackcrash.Record) tackcrash.Record { return r.WithoutDoubt(d.Run) })
	}
	for _, i := range f.Cleared {
		t.updateCrashes(i, now, func(tackcrash.Record) tackcrash.Record { return tackcrash.Record{} })
	}
}

// updateCrashes replaces the crash record of an item, if its job is open and the item is not
// done.
func (t *Table) updateCrashes(i Item, now tackclock.Time, next func(tackcrash.Record) tackcrash.Record) {
	j := t.jobs[i.Job]
	if j == nil || j.Phase != Open || !j.Has(i) || j.Done(i) {
		return
	}
	i = j.recordItem(i)
	record := next(j.CrashesUnder(i))
	s := &j.progress(i.Occurrence).Steps[i.Step]
	if record.Empty() {
		delete(s.Crashes, i.Index)
		return
	}
	if s.Crashes == nil {
		s.Crashes = make(map[int32]tackcrash.Record)
	}
	s.Crashes[i.Index] = record
	if record.AtFault() {
		j.close(Failed, now)
	}
}

// recordItem returns the item that carries the crash record of i. A gang starts and fails as
// a unit, so the record of all its items is kept under index 0.
func (j *Job) recordItem(i Item) Item {
	if j.Steps[i.Step].Gang {
		i.Index = 0
	}
	return i
}

// CrashesUnder returns the crash record of an item.
func (j *Job) CrashesUnder(i Item) tackcrash.Record {
	i = j.recordItem(i)
	p, ok := j.Progress[i.Occurrence]
	if !ok {
		return tackcrash.Record{}
	}
	return p.Steps[i.Step].Crashes[i.Index]
}

// EachDoubt calls f for every unresolved doubt, in no particular order.
func (j *Job) EachDoubt(f func(Doubt)) {
	for occurrence, p := range j.Progress {
		for step := range p.Steps {
			for index, record := range p.Steps[step].Crashes {
				item := Item{Job: j.ID, Occurrence: occurrence, Step: int32(step), Index: index}
				for _, d := range record.Doubts {
					f(Doubt{Item: item, Doubt: d})
				}
			}
		}
	}
}
