package tackpeer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"auburntack/core/tackclock"
)

const (
	// silentAfter is how many heartbeats in a row nothing may arrive in. The
	// last byte came up to one heartbeat before the first of them, so that a
	// silent connection is found within three.
	silentAfter = 2
	// sendBufferBytes bounds what the kernel holds back for one connection,
	// so that a heartbeat does not wait behind megabytes on a slow line.
	sendBufferBytes = 256 << 10
)

type (
	// countedConn counts the bytes that cross a connection.
	countedConn struct {
		net.Conn
		clock         *tackclock.Clock
		counters      atomic.Pointer[counters]
		sent          atomic.Int64
		received      atomic.Int64
		onHeard       atomic.Pointer[atomic.Int64]
		sendingLarge  atomic.Bool
		largeProgress atomic.Int64
	}

	// silence counts the heartbeats in a row in which nothing moved.
	silence struct {
		last   int64
		missed int
	}
)

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Add(int64(n))
		if k := c.counters.Load(); k != nil {
			k.add(receivedBytes, n)
		}
		if heard := c.onHeard.Load(); heard != nil {
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

// belongsTo counts the connection's bytes, those so far among them, for the
// link's peer.
func (c *countedConn) belongsTo(k *link) {
	k.counters.add(sentBytes, int(c.sent.Load()))
	k.counters.add(receivedBytes, int(c.received.Load()))
	c.counters.Store(k.counters)
}

// heardBy has what arrives from now on stamp the link's peer as heard.
func (c *countedConn) heardBy(k *link) {
	c.onHeard.Store(&k.lastHeard)
	k.lastHeard.Store(int64(c.clock.Now()))
}

// moved counts the bytes that show that the other end is there: those
// received, and those of a large message, which the kernel takes only as the
// other end takes them.
func (c *countedConn) moved() int64 {
	return c.received.Load() + c.largeProgress.Load()
}

// watch calls beat at every heartbeat and returns errSilent once nothing has
// moved on the connection, ctx's error once that ends.
func (c *countedConn) watch(ctx context.Context, every tackclock.Duration, beat func()) error {
	ticker := time.NewTicker(every.Std())
	defer ticker.Stop()
	s := silence{last: c.moved()}
	for {
		beat()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if s.beat(c.moved()) {
			return errSilent
		}
	}
}

// beat is told at every heartbeat how much has moved, and reports whether the
// connection is silent.
//
// A connection can stay open for good with nothing arriving, when a device
// between the two ends has forgotten it: writes go on succeeding, nobody
// reads them, and the peer looks lost although a new connection would work.
// Heartbeats are counted rather than time, so that a process that was itself
// stopped for a while does not take its own pause for the other's silence.
func (s *silence) beat(moved int64) bool {
	s.missed++
	if moved != s.last {
		s.missed = 0
	}
	s.last = moved
	return s.missed >= silentAfter
}
