package tackdemo

import (
	"fmt"
	"slices"
	"time"
)

// invariant is the result of checking one guarantee.
type invariant struct {
	name    string
	counted string // the counts that were checked
	held    bool
}

// report writes the measurements and the invariants. It returns a *BrokenError
// if one was violated.
func (d *demo) report() error {
	m, mon := &d.measures, &d.monitor
	fmt.Fprintf(d.out, "\nmeasures\n")
	fmt.Fprintf(d.out, "  buffer cost     %d VMs out at most, %.1f on average\n", mon.maxOut, float64(mon.totalOut)/float64(max(mon.samples, 1)))
	fmt.Fprintf(d.out, "  roll-out time   %.1f s for %d VMs\n", m.rollOut.Seconds(), poolVMs)
	fmt.Fprintf(d.out, "  moves           %d VMs, 0 tasks\n", m.moves)
	fmt.Fprintf(d.out, "  requests        p50 %v, p99 %v\n\ninvariants\n", d.callers.Latency(0.5).Round(time.Millisecond/10), d.callers.Latency(0.99).Round(time.Millisecond/10))
	var broken []string
	for _, i := range d.invariants() {
		state := "held"
		if !i.held {
			state = "BROKE"
			broken = append(broken, i.name)
		}
		fmt.Fprintf(d.out, "  %-5s  %-52s %s\n", state, i.name, i.counted)
	}
	if len(broken) > 0 {
		for _, note := range d.callers.Counts().Notes {
			fmt.Fprintf(d.out, "  %s\n", note)
		}
		return &BrokenError{Invariants: broken}
	}
	return nil
}

func (d *demo) invariants() []invariant {
	m, mon := &d.measures, &d.monitor
	c := d.callers.Counts()
	falseRefusals := 0
	for _, body := range c.DidNotRun {
		if d.tally.OfBody(body) > 0 {
			falseRefusals++
		}
	}
	planned := d.tally.Cut() - m.lostCut
	slices.Sort(c.OutcomeUnknown)
	unknown := len(slices.Compact(c.OutcomeUnknown))
	notOnce := 0
	for _, b := range d.servers {
		if d.platform.Restarts(b.VM) != 1 {
			notOnce++
		}
	}
	return []invariant{
		{"availability budget", fmt.Sprintf("%d samples, %d below %d", mon.samples, mon.breaches, minAvailable), mon.breaches == 0 && mon.samples > 0},
		{"a VM is in exactly one pool", fmt.Sprintf("%d otherwise", mon.poolErrors), mon.poolErrors == 0},
		{"one whole answer for each request", fmt.Sprintf("%d sent, %d answered, %d refused, %d unknown, %d broken", c.Sent, c.Answered, c.Refused, c.Unknown, c.Broken), c.Broken == 0 && unknown <= m.lostCut && c.Sent > 0},
		{"never part of another's answer", fmt.Sprintf("%d mismatched", c.Mismatched), c.Mismatched == 0},
		{"did_not_run did not run", fmt.Sprintf("%d refused, %d ran", c.Refused, falseRefusals), falseRefusals == 0},
		{"work with a key runs at most once", fmt.Sprintf("%d repeated", d.tally.RepeatedKeys()), d.tally.RepeatedKeys() == 0},
		{"no work for a VM that left, after 2 s", fmt.Sprintf("%d requests", m.leavingWork), m.leavingWork == 0},
		{"a planned stop cuts nothing", fmt.Sprintf("%d cut, and %d by the VM that was lost", planned, m.lostCut), planned == 0},
		{"every VM maintained once", fmt.Sprintf("%d otherwise", notOnce), notOnce == 0},
		{"an accepted change is in force everywhere", fmt.Sprintf("%d changes, %d stale, slowest %v", m.changes, m.stale, m.slowestChange.Round(time.Millisecond)), m.stale == 0 && m.changes > 0},
	}
}
