package tackpeer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	peerPath = "/peer"
	// minBackoff is the first wait between two tries to connect.
	minBackoff = 50 * tackclock.Millisecond
	// batchBytes is how much is put into one WebSocket message where several
	// wait, unless a single one is larger.
	batchBytes = 64 << 10
	// helloBytes bounds a hello.
	helloBytes = 4 << 10
)

// link is one peer and the connections with it.
type link struct {
	owner     *Links
	peer      Peer
	counters  *counters
	lastHeard atomic.Int64
	wake      chan struct{}
	kick      chan struct{}

	mu     sync.Mutex
	cancel context.CancelFunc
	up     bool
	// nonce is that of the life which answered at the peer's address, while
	// up.
	nonce    uint64
	queue    [][]byte
	queued   int
	accepted *accepted
}

func newLink(owner *Links, peer Peer) *link {
	prefix := fmt.Sprintf("peer.%s.", peer.ID)
	return &link{
		owner:    owner,
		peer:     peer,
		counters: newCounters(owner.cfg.Registry, prefix, owner.total),
		wake:     make(chan struct{}, 1),
		kick:     make(chan struct{}, 1),
		cancel:   func() {},
	}
}

// run keeps a connection to the peer until ctx ends.
func (k *link) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := k.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errSilent) {
			k.counters.add(foundSilent, 1)
		}
		k.log().WithError(err).Debug("link to peer is down")
		if time.Since(began) > k.owner.cfg.MaxBackoff.Std() {
			backoff = minBackoff
		}
		k.pause(ctx, backoff)
		backoff = min(2*backoff, k.owner.cfg.MaxBackoff)
	}
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

// connect dials the peer and carries messages until the connection ends.
func (k *link) connect(ctx context.Context) error {
	ws, conn, err := k.dial(ctx)
	if err != nil {
		return err
	}
	defer ws.CloseNow()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k.setUp(true)
	defer k.setUp(false)
	k.log().Info("link to peer is up")

	var group sync.WaitGroup
	written := make(chan struct{})
	group.Go(func() { cancel(k.read(ws)) })
	group.Go(func() {
		cancel(conn.watch(ctx, k.owner.cfg.Heartbeat, func() { k.ping(ctx, ws) }))
		k.closeAfter(ctx, ws, written)
	})
	cancel(k.write(ctx, ws, conn))
	close(written)
	ws.CloseNow()
	group.Wait()
	return context.Cause(ctx)
}

// closeAfter closes a connection that ctx ended, one that was stopped only
// once the writer is through or a heartbeat has passed.
func (k *link) closeAfter(ctx context.Context, ws *websocket.Conn, written <-chan struct{}) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		timer := time.NewTimer(k.owner.cfg.Heartbeat.Std())
		defer timer.Stop()
		select {
		case <-written:
		case <-timer.C:
		}
	}
	ws.CloseNow()
}

// dial connects to the peer and exchanges hellos with it.
func (k *link) dial(ctx context.Context) (*websocket.Conn, *countedConn, error) {
	ctx, cancel := context.WithTimeout(ctx, k.owner.cfg.DialTimeout.Std())
	defer cancel()
	var conn *countedConn
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var err error
			conn, err = k.dialCounted(ctx, network, address)
			return conn, err
		},
	}
	ws, _, err := websocket.Dial(ctx, "ws://"+k.peer.Address+peerPath,
		&websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}})
	if err != nil {
		return nil, nil, fmt.Errorf("tackpeer: dial %s: %w", k.peer.ID, err)
	}
	if err := k.greet(ctx, ws); err != nil {
		ws.CloseNow()
		return nil, nil, err
	}
	conn.heardBy(k)
	return ws, conn, nil
}

func (k *link) dialCounted(ctx context.Context, network, address string) (*countedConn, error) {
	var dialer net.Dialer
	plain, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := k.owner.counted(plain)
	conn.belongsTo(k)
	return conn, nil
}

// greet says who this VM is and checks that the peer is the one wanted.
func (k *link) greet(ctx context.Context, ws *websocket.Conn) error {
	ws.SetReadLimit(helloBytes)
	if err := writeHello(ctx, ws, k.owner.hello(k.peer.ID)); err != nil {
		return err
	}
	answer, err := readHello(ctx, ws)
	if err != nil {
		return err
	}
	if answer.From != k.peer.ID {
		return &IdentityError{Want: k.peer.ID, Got: answer.From, Reason: "answered at " + k.peer.Address}
	}
	k.mu.Lock()
	k.nonce = answer.Nonce
	stale := k.accepted
	k.mu.Unlock()
	if stale != nil && stale.nonce != answer.Nonce {
		stale.end(errReplaced)
	}
	return nil
}

// read answers pings and waits for the connection to end; the peer sends no
// messages on it.
func (k *link) read(ws *websocket.Conn) error {
	_, _, err := ws.Read(context.Background())
	if err == nil {
		err = &MalformedError{Peer: k.peer.ID, Err: errors.New("message on the sender's connection")}
	}
	return err
}

func (k *link) ping(ctx context.Context, ws *websocket.Conn) {
	ctx, cancel := context.WithTimeout(ctx, k.owner.cfg.Heartbeat.Std()/2)
	defer cancel()
	_ = ws.Ping(ctx) // watch sees whether the answer came
}

// write sends what is queued, as long as ctx lasts. What waits when it ends
// is still sent, with a bounded time, so that a planned stop does not lose
// its last messages.
func (k *link) write(ctx context.Context, ws *websocket.Conn, conn *countedConn) error {
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.Background(), k.owner.cfg.Heartbeat.Std())
			defer cancel()
			_ = k.flush(last, ws, conn)
			return context.Cause(ctx)
		case <-k.wake:
		}
		if err := k.flush(context.Background(), ws, conn); err != nil {
			return err
		}
	}
}

func (k *link) flush(ctx context.Context, ws *websocket.Conn, conn *countedConn) error {
	for {
		batch, n := k.take()
		if n == 0 {
			return nil
		}
		conn.sendingLarge.Store(len(batch) > batchBytes)
		err := ws.Write(ctx, websocket.MessageBinary, batch)
		conn.sendingLarge.Store(false)
		if err != nil {
			k.counters.add(dropped, n)
			return err
		}
		k.counters.add(sentMessages, n)
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
	batch := make([]byte, 0, size)
	for _, data := range k.queue[:n] {
		batch = append(batch, data...)
	}
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

func writeHello(ctx context.Context, ws *websocket.Conn, h hello) error {
	data, err := cbor.Marshal(h)
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, data)
}

func readHello(ctx context.Context, ws *websocket.Conn) (hello, error) {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return hello{}, fmt.Errorf("tackpeer: read hello: %w", err)
	}
	return decodeHello(data)
}

func (l *Links) hello(to tackid.Peer) hello {
	return hello{
		Version:     Version,
		From:        l.cfg.Self,
		To:          to,
		Nonce:       l.nonce,
		Oldest:      1,
		HeartbeatMS: int64(l.cfg.Heartbeat),
	}
}
