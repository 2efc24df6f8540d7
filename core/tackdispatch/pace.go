package tackdispatch

import "auburntack/core/tackclock"

const (
	// fullPace is the pace at which a run starts, in percent.
	fullPace = 100
	// tailMargin is the share of a latency target, in percent, above which
	// items that fill are slowed: beside it they are let go faster again.
	tailMargin = 80
	// paceStep is by how many points pace rises with each heartbeat.
	paceStep = 10
)

// pace slows items that fill beside one that serves and is near its latency
// target, and lets them go again when it is well below.
//
// Load pattern: fillers disturb what serves by amounts that change within
// seconds. Halving at once and rising slowly keeps the tail under its target
// while it is only known twice a second.
func (d *Dispatcher) pace(_ tackclock.Time, w *worker) []Pace {
	worst := 0
	for _, r := range w.runs {
		if target := int(r.step.LatencyTarget); target > 0 && r.percent >= 100 {
			worst = max(worst, 100*r.tail/target)
		}
	}
	var out []Pace
	for _, r := range w.runs {
		if !r.step.Fills || !r.listed {
			continue
		}
		pace := nextPace(r.pace, worst)
		if pace == r.pace {
			continue
		}
		r.pace = pace
		out = append(out, Pace{Item: r.item, Run: r.number, Percent: pace})
	}
	return out
}

// nextPace is the pace that follows when the worst tail beside is at the given
// percentage of its target.
func nextPace(pace, worst int) int {
	switch {
	case worst > 100:
		return 0
	case worst > tailMargin:
		return pace / 2
	default:
		return min(fullPace, pace+paceStep)
	}
}
