package tackpeer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"auburntack/core/tackclock"
)

const (
	// maxIdleHeartbeats is the number of consecutive heartbeat intervals without progress after
	// which a connection counts as silent. The last byte may have arrived up to one interval
	// before the first of them, so a silent connection is detected within three.
	maxIdleHeartbeats = 2
	// sendBufferBytes limits the kernel's send buffer of one connection, so that a heartbeat
	// does not wait behind megabytes of data on a slow line.
	sendBufferBytes = 256 << 10
)

type (
	// countedConn counts the bytes sent and received on a connection.
	countedConn struct {
		net.Conn
		clock         *tackclock.Clock
		counters      atomic.Pointer[counters]
		sent          atomic.Int64
		received      atomic.Int64
		lastHeard     atomic.Pointer[atomic.Int64]
		sendingLarge  atomic.Bool
		largeProgress atomic.Int64
	}

	// silenceDetector counts the consecutive heartbeat intervals without progress.
	silenceDetector struct {
		last int64
		idle int
	}
)

// NetConn returns the connection without the counters.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Add(int64(n))
		if k := c.counters.Load(); k != nil {
			k.add(receivedBytes, n)
		}
		if heard := c.lastHeard.Load(); heard != nil {
			heard.Store(int64(c.clock.Now()))
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.sent.Add(int64(n))
		if k := c.counters.Load(); k != nil {
			k.add(sentBytes, n)
		}
		if c.sendingLarge.Load() {
			c.largeProgress.Add(int64(n))
		}
	}
	return n, err
}

// countFor adds the bytes of the connection, including those transferred so far, to the
// counters of the link.
func (c *countedConn) countFor(k *link) {
	k.counters.add(sentBytes, int(c.sent.Load()))
	k.counters.add(receivedBytes, int(c.received.Load()))
	c.counters.Store(k.counters)
}

// trackLastHeard sets the link's time of the last received byte to now, and has every later read
// update it.
func (c *countedConn) trackLastHeard(k *link) {
	c.lastHeard.Store(&k.lastHeard)
	k.lastHeard.Store(int64(c.clock.Now()))
}

// progress returns the number of bytes that prove that the other end is alive: those received,
// and those sent of large messages, which the kernel accepts only as the other end
// acknowledges earlier ones.
func (c *countedConn) progress() int64 {
	return c.received.Load() + c.largeProgress.Load()
}

// watch calls heartbeat at every interval. It returns errSilent when the connection has become
// silent, or the error of ctx when ctx ends.
func (c *countedConn) watch(ctx context.Context, interval tackclock.Duration, heartbeat func()) error {
	ticker := time.NewTicker(interval.Std())
	defer ticker.Stop()
	s := silenceDetector{last: c.progress()}
	for {
		heartbeat()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if s.observe(c.progress()) {
			return errSilent
		}
	}
}

// observe is called at every heartbeat with the progress of the connection so far, and reports
// whether the connection is silent.
//
// A connection can stay open indefinitely without transferring anything if a device between
// the two ends has dropped its state: writes succeed but nothing is delivered, and the peer
// seems to be lost although a new connection would work. Heartbeats are counted instead of
// elapsed time, so that a process that was suspended does not mistake its own pause for
// silence of the peer.
func (s *silenceDetector) observe(progress int64) bool {
	s.idle++
	if progress != s.last {
		s.idle = 0
	}
	s.last = progress
	return s.idle >= maxIdleHeartbeats
}
