package tackdispatch

import "auburntack/core/tackclock"

const (
	// roomEvery is how often a pool should hear of a worker with room. An item that
	// comes waits for the next one to ask, about as long as for its commit.
	roomEvery = 20 * tackclock.Millisecond
	// idleEvery is how often a pool should hear of a worker that runs nothing, and
	// idleMost how long each of them waits at most: with the quarter by which waits are
	// changed it stays below silentAfter.
	idleEvery = tackclock.Millisecond
	idleMost  = 1200 * tackclock.Millisecond
	// roomParts is the part of a worker's cores that must be free for it to count as
	// one with room.
	roomParts = 8
)

// retry is when the worker should ask again.
//
// Load pattern: a pool of hundreds of VMs whose turn is over, or of a thousand of which a
// turn takes a part. Were all that have room to ask as often as those of a small pool, the
// leader would be busy with answers that order nothing. What matters to an item that comes
// is how soon any of them asks.
func (d *Dispatcher) retry(now tackclock.Time, w *worker) tackclock.Duration {
	if len(w.ends.pending) > 0 {
		return d.cfg.Retry
	}
	if w.draining || !w.roomy() {
		return d.cfg.RetryBusy
	}
	p := d.pools[w.service]
	if p.some() {
		return d.cfg.Retry // something waits
	}
	others := tackclock.Duration(max(p.sums.roomy, 0))
	wait := min(d.cfg.RetryBusy, roomEvery*others)
	if w.runsNothing() {
		wait = max(wait, min(idleMost, idleEvery*others))
	}
	return max(d.cfg.Retry, w.dither(wait))
}

// dither changes a wait by up to a quarter, each time by another part. Workers that
// heard of a leader at the same moment would otherwise go on to ask in step, with
// nobody between.
func (w *worker) dither(wait tackclock.Duration) tackclock.Duration {
	const (
		parts = 64
		step  = 37 // no divisor of parts in common, so that all parts come
	)
	part := tackclock.Duration((w.phase + w.sequence*step) % parts)
	return wait*3/4 + wait/2*part/parts
}

// roomy reports whether the worker has room for more than a small item.
func (w *worker) roomy() bool {
	return w.room().MilliCores >= w.capacity.MilliCores/roomParts
}
