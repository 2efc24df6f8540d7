package tackpeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"auburntack/core/tackclock"
)

const (
	// minBackoff is the initial delay between two attempts to connect.
	minBackoff = 50 * tackclock.Millisecond
	// batchBytes is the maximum size of a WebSocket message that combines several queued
	// messages. A single larger message is sent on its own.
	batchBytes = 64 << 10
)

// link is the outgoing and the incoming connection of one peer.
type link struct {
	owner     *Links
	peer      Peer
	counters  *counters
	lastHeard atomic.Int64
	// problem is the last logged reason why the link is down. It is used by run only.
	problem       string
	wake          chan struct{} // signalled when a message is queued
	peerConnected chan struct{} // signalled when the peer has connected

	mu     sync.Mutex
	cancel context.CancelFunc
	up     bool
	// peerInstance identifies the process that answered at the address of the peer. It is valid
	// while up is set.
	peerInstance uint64
	queue        [][]byte
	queuedBytes  int
	incoming     *incoming
	// removed reports whether the peer was removed by SetPeers.
	removed bool
}

func newLink(owner *Links, peer Peer) *link {
	return &link{
		owner:         owner,
		peer:          peer,
		counters:      newCounters(owner.cfg.Registry, metricPrefix(peer.ID), owner.total),
		wake:          make(chan struct{}, 1),
		peerConnected: make(chan struct{}, 1),
		cancel:        func() {},
	}
}

// run maintains a connection to the peer until ctx ends.
func (k *link) run(ctx context.Context) {
	backoff := minBackoff
	for k.awaitPeer(ctx) {
		began := time.Now()
		err := k.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		k.logDown(err)
		if time.Since(began) > k.owner.cfg.MaxBackoff.Std() {
			backoff = minBackoff
		}
		k.waitBackoff(ctx, backoff)
		backoff = min(2*backoff, k.owner.cfg.MaxBackoff)
	}
}

// awaitPeer waits until this VM must connect to the peer. It returns false if ctx has ended.
func (k *link) awaitPeer(ctx context.Context) bool {
	for k.peer.DialBack && !k.hasIncoming() {
		select {
		case <-ctx.Done():
			return false
		case <-k.peerConnected:
		}
	}
	return ctx.Err() == nil
}

// hasIncoming reports whether the peer is connected to this VM.
func (k *link) hasIncoming() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.incoming != nil
}

// logDown logs why the link is down, as a warning if the reason differs from the previous one.
func (k *link) logDown(err error) {
	log := k.log().WithError(err)
	if problem := err.Error(); problem != k.problem {
		k.problem = problem
		log.Warn("link to peer is down")
		return
	}
	log.Debug("link to peer is still down")
}

// waitBackoff waits for a random time between d/2 and d, so that peers that lost each other at
// the same time do not reconnect at the same time. It ends early when the peer connects.
func (k *link) waitBackoff(ctx context.Context, d tackclock.Duration) {
	wait := d/2 + tackclock.Duration(rand.Int64N(int64(d/2)+1))
	timer := time.NewTimer(wait.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.peerConnected:
	}
}

// enqueue adds a message to the queue. If the queue is full, the oldest messages are dropped:
// in the protocols that use this package a newer message makes up for the loss of an older one,
// but not the reverse.
func (k *link) enqueue(data []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		return &DownError{Peer: k.peer.ID}
	}
	k.queue = append(k.queue, data)
	k.queuedBytes += len(data)
	for len(k.queue) > k.owner.cfg.MaxQueue || (k.queuedBytes > k.owner.cfg.MaxQueueBytes && len(k.queue) > 1) {
		k.queuedBytes -= len(k.queue[0])
		k.queue[0] = nil
		k.queue = k.queue[1:]
		k.counters.add(dropped, 1)
	}
	notify(k.wake)
	return nil
}

// dequeueBatch removes the messages of one batch from the queue and returns them concatenated,
// with their number.
func (k *link) dequeueBatch() ([]byte, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n, size := 0, 0
	for n < len(k.queue) && (n == 0 || size+len(k.queue[n]) <= batchBytes) {
		size += len(k.queue[n])
		n++
	}
	batch := slices.Concat(k.queue[:n]...)
	k.queue = k.queue[n:]
	k.queuedBytes -= size
	if len(k.queue) == 0 {
		k.queue = nil
	}
	return batch, n
}

// setUp records whether the outgoing connection is up. When it goes down, queued messages are
// dropped: the peer must not receive them later, after their sender has given them up.
func (k *link) setUp(up bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.up = up
	if up {
		return
	}
	k.counters.add(dropped, len(k.queue))
	k.queue, k.queuedBytes = nil, 0
}

// stop ends the link permanently.
func (k *link) stop() {
	k.mu.Lock()
	conn := k.incoming
	k.removed = true
	k.mu.Unlock()
	k.cancel()
	if conn != nil {
		conn.cancel(errReplaced)
	}
	k.owner.unregister(k)
}

func (k *link) status() LinkStatus {
	k.mu.Lock()
	up := k.up
	k.mu.Unlock()
	return LinkStatus{
		Peer:             k.peer.ID,
		Up:               up,
		LastHeard:        tackclock.Time(k.lastHeard.Load()),
		SentBytes:        uint64(k.counters.sentBytes.Count()),
		ReceivedBytes:    uint64(k.counters.receivedBytes.Count()),
		SentMessages:     uint64(k.counters.sentMessages.Count()),
		ReceivedMessages: uint64(k.counters.receivedMessages.Count()),
		Dropped:          uint64(k.counters.dropped.Count()),
		FoundSilent:      uint64(k.counters.foundSilent.Count()),
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
