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
	// minBackoff is the first wait between two tries to connect.
	minBackoff = 50 * tackclock.Millisecond
	// batchBytes is how much is put into one WebSocket message where several
	// wait, unless a single one is larger.
	batchBytes = 64 << 10
)

// link is one peer and the connections with it.
type link struct {
	owner     *Links
	peer      Peer
	counters  *counters
	lastHeard atomic.Int64
	// problem is what the link was last down for; run alone uses it.
	problem string
	wake    chan struct{}
	kick    chan struct{}

	mu     sync.Mutex
	cancel context.CancelFunc
	up     bool
	// nonce is that of the life which answered at the peer's address, while
	// up.
	nonce    uint64
	queue    [][]byte
	queued   int
	accepted *accepted
	// gone says that the peer was taken out of the set.
	gone bool
}

func newLink(owner *Links, peer Peer) *link {
	return &link{
		owner:    owner,
		peer:     peer,
		counters: newCounters(owner.cfg.Registry, metricPrefix(peer.ID), owner.total),
		wake:     make(chan struct{}, 1),
		kick:     make(chan struct{}, 1),
		cancel:   func() {},
	}
}

// run keeps a connection to the peer until ctx ends.
func (k *link) run(ctx context.Context) {
	backoff := minBackoff
	for k.awaitPeer(ctx) {
		began := time.Now()
		err := k.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		k.report(err)
		if time.Since(began) > k.owner.cfg.MaxBackoff.Std() {
			backoff = minBackoff
		}
		k.pause(ctx, backoff)
		backoff = min(2*backoff, k.owner.cfg.MaxBackoff)
	}
}

// awaitPeer waits until there is reason to connect to the peer; false once ctx has ended.
func (k *link) awaitPeer(ctx context.Context) bool {
	for k.peer.Answering && !k.isAccepted() {
		select {
		case <-ctx.Done():
			return false
		case <-k.kick:
		}
	}
	return ctx.Err() == nil
}

// isAccepted reports whether the peer is connected to this VM.
func (k *link) isAccepted() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.accepted != nil
}

// report logs why the link is down, aloud where it is for another reason than
// the time before.
func (k *link) report(err error) {
	log := k.log().WithError(err)
	if problem := err.Error(); problem != k.problem {
		k.problem = problem
		log.Warn("link to peer is down")
		return
	}
	log.Debug("link to peer is still down")
}

// pause waits for about d, less by up to a half, so that peers that lost each
// other together do not try again together. It ends early once the peer is
// heard to be back.
func (k *link) pause(ctx context.Context, d tackclock.Duration) {
	wait := d/2 + tackclock.Duration(rand.Int64N(int64(d/2)+1))
	timer := time.NewTimer(wait.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.kick:
	}
}

// enqueue adds a message to the queue. Where the queue is full the oldest go,
// since a newer message of the protocols above makes up for an older one and
// never the other way round.
func (k *link) enqueue(data []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		return &DownError{Peer: k.peer.ID}
	}
	k.queue = append(k.queue, data)
	k.queued += len(data)
	for len(k.queue) > k.owner.cfg.MaxQueue || (k.queued > k.owner.cfg.MaxQueueBytes && len(k.queue) > 1) {
		k.queued -= len(k.queue[0])
		k.queue[0] = nil
		k.queue = k.queue[1:]
		k.counters.add(dropped, 1)
	}
	notify(k.wake)
	return nil
}

// take removes the messages of one batch from the queue and returns them
// joined, with their number.
func (k *link) take() ([]byte, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n, size := 0, 0
	for n < len(k.queue) && (n == 0 || size+len(k.queue[n]) <= batchBytes) {
		size += len(k.queue[n])
		n++
	}
	batch := slices.Concat(k.queue[:n]...)
	k.queue = k.queue[n:]
	k.queued -= size
	if len(k.queue) == 0 {
		k.queue = nil
	}
	return batch, n
}

// setUp marks the connection as standing or not. What is queued when it ends
// is dropped: the peer must not get it later, after it was given up.
func (k *link) setUp(up bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.up = up
	if up {
		return
	}
	k.counters.add(dropped, len(k.queue))
	k.queue, k.queued = nil, 0
}

// stop ends the link for good.
func (k *link) stop() {
	k.mu.Lock()
	accepted := k.accepted
	k.gone = true
	k.mu.Unlock()
	k.cancel()
	if accepted != nil {
		accepted.end(errReplaced)
	}
	k.owner.forget(k)
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
