package tackdispatch

import "auburntack/core/tackclock"

const (
	// fullPace is the pace at which a run starts, in percent.
	fullPace = 100
	// tailMargin is the share of a latency target, in percent, above which backfill items
	// beside are slowed down.
	tailMargin = 80
	// paceStep is the number of points by which the pace rises with each heartbeat.
	paceStep = 10
)

// pace slows backfill items beside a serving item that is near its latency target, and
// speeds them up again when it is well below.
//
// Load pattern: backfill items disturb serving items to a degree that changes within
// seconds. Halving at once and rising slowly keeps the tail latency under its target
// although it is reported only twice a second.
func (d *Dispatcher) pace(_ tackclock.Time, w *worker) []Pace {
	worst := 0
	for _, r := range w.runs {
		if target := int(r.step.LatencyTarget); target > 0 && r.percent >= 100 {
			worst = max(worst, 100*r.tailLatency/target)
		}
	}
	var out []Pace
	for _, r := range w.runs {
		if !r.step.BestEffort || !r.listed {
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

// nextPace returns the pace that follows when the worst tail latency on the worker is at
// the given percentage of its target.
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
