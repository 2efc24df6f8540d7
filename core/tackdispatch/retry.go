package tackdispatch

import "auburntack/core/tackclock"

const (
	// roomyPollInterval is the interval at which a pool should receive a heartbeat from
	// some worker with room. A new item waits for the next of them, about as long as for
	// its commit.
	roomyPollInterval = 20 * tackclock.Millisecond
	// idlePollInterval is the interval at which a pool should receive a heartbeat from
	// some idle worker, and maxIdleWait the longest wait of each of them: with the jitter
	// of a quarter it stays below silentAfter.
	idlePollInterval = tackclock.Millisecond
	maxIdleWait      = 1200 * tackclock.Millisecond
	// roomyParts is the divisor of a worker's cores that gives the part that must be free
	// for it to count as a worker with room.
	roomyParts = 8
)

// retry returns the delay until the worker should send its next heartbeat.
//
// Load pattern: a pool of hundreds of VMs whose burst is over, or of a thousand of which
// a burst occupies a part. If all workers with room sent heartbeats as often as in a
// small pool, the leader would be busy with answers that order nothing. What matters to a
// new item is how soon any of them asks.
func (d *Dispatcher) retry(now tackclock.Time, w *worker) tackclock.Duration {
	if len(w.planned) > 0 || d.asksSoon(w) || d.awaitsListing(now, w) {
		return min(limitedPollInterval, d.cfg.Retry)
	}
	if len(w.ends.pending) > 0 {
		return d.cfg.Retry
	}
	if w.draining || !w.roomy() {
		return d.cfg.RetryBusy
	}
	p := d.pools[w.service]
	if p.hasWaiting() {
		return d.cfg.Retry // something waits
	}
	others := tackclock.Duration(max(p.totals.roomyWorkers, 0))
	wait := min(d.cfg.RetryBusy, roomyPollInterval*others)
	if w.idle() {
		wait = max(wait, min(maxIdleWait, idlePollInterval*others))
	}
	return max(d.cfg.Retry, w.jitter(wait))
}

// jitter changes a wait by up to a quarter, by a different amount each time. Otherwise
// workers that learned of a leader at the same moment would keep asking at the same
// moments, with none in between.
func (w *worker) jitter(wait tackclock.Duration) tackclock.Duration {
	const (
		parts = 64
		step  = 37 // coprime to parts, so that all values occur
	)
	part := tackclock.Duration((w.jitterPhase + w.sequence*step) % parts)
	return wait*3/4 + wait/2*part/parts
}

// roomy reports whether the worker has room for more than a small item.
func (w *worker) roomy() bool {
	return w.room().MilliCores >= w.capacity.MilliCores/roomyParts
}
