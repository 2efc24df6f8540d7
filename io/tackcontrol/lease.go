package tackcontrol

import (
	"context"
	"time"

	"auburntack/core/tackreplica"
	"auburntack/io/tackloop"
)

// leaseWait is how long a heartbeat waits for the leader lease to be renewed. A lease that
// is renewed late is out for some tens of milliseconds, and workers wait for a second. If
// they were all refused at once, they would all come back at the same time.
const leaseWait = 400 * time.Millisecond

// renewal notifies those that wait for the leader lease. Its zero value is ready.
type renewal struct {
	mu      tackloop.Mutex
	changed chan struct{} // nil if nobody waits
}

// next returns a channel that is closed at the next call of notify.
func (r *renewal) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

func (r *renewal) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// awaitLease waits until this VM holds the leader lease, no longer is the leader, or
// leaseWait has passed.
func (c *Control) awaitLease(ctx context.Context) {
	if c.status.Load().Role != tackreplica.Leader {
		return
	}
	timer := time.NewTimer(leaseWait)
	defer timer.Stop()
	for {
		changed := c.renewal.next()
		if _, leads := c.leads(c.clock.Now()); leads || c.status.Load().Role != tackreplica.Leader {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
