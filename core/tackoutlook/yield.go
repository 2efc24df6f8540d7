package tackoutlook

import "auburntack/core/tackclock"

const (
	// assumedYield is the yield in percent that is assumed until enough is known: items do
	// not fill each worker, and a worker has room for a moment before it is given the next
	// one.
	assumedYield = 85
	// minYield and maxYield bound the yield in percent. Estimates are off by up to a factor
	// of two.
	minYield, maxYield = 50, 150
	// yieldWindow is the time over which the yield is averaged, long enough for some items
	// of several seconds.
	yieldWindow = 5 * tackclock.Second
	// assumedFor is the time of observation that the assumption weighs as much as: some
	// items must end before the first observations count.
	assumedFor = 2 * tackclock.Second
)

// Yield is the estimated work that a pool's cores get done per time while work waits for
// them, as a percentage of their capacity. Its zero value has observed nothing.
//
// Load pattern: the items of a queue take longer than their estimates, or two of them fill
// only most of a worker. Judged by its cores the pool seems to finish its work in time, and
// all that is accepted comes late.
type Yield struct {
	at   tackclock.Time
	work int64 // done since at
	// offered is the capacity of the time observed, and done the work that was done in it,
	// in millicore-milliseconds, with less weight the longer ago.
	offered, done float64
}

// Done records work that has ended.
func (y *Yield) Done(work int64) {
	y.work += work
}

// Observe ends an interval, in which work was waiting for all of the given cores or not.
func (y *Yield) Observe(now tackclock.Time, milliCores int, full bool) {
	took := now.Sub(y.at)
	if full && y.at != 0 && took > 0 && milliCores > 0 {
		if y.offered == 0 {
			y.offered = float64(milliCores) * float64(assumedFor)
			y.done = y.offered * assumedYield / 100
		}
		kept := float64(yieldWindow) / float64(yieldWindow+took)
		y.offered = y.offered*kept + float64(milliCores)*float64(took)
		y.done = y.done*kept + float64(y.work)
	}
	y.at, y.work = now, 0
}

// Percent returns the yield.
func (y *Yield) Percent() int {
	if y.offered == 0 {
		return assumedYield
	}
	return max(minYield, min(maxYield, int(100*y.done/y.offered)))
}
