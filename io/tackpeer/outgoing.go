package tackpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackid"
)

const (
	peerPath = "/peer"
	// helloBytes bounds a hello.
	helloBytes = 4 << 10
	// writeBufferBytes is how much of a message goes to the kernel at once.
	writeBufferBytes = 32 << 10
)

// outgoing is a connection on which this VM sends to a peer.
type outgoing struct {
	*link
	ws   *websocket.Conn
	conn *countedConn
	// pinging is set while the answer to a heartbeat is awaited.
	pinging atomic.Bool
	group   sync.WaitGroup
}

// connect dials the peer and carries messages until the connection ends.
func (k *link) connect(ctx context.Context) error {
	ws, conn, err := k.dial(ctx)
	if err != nil {
		return err
	}
	o := &outgoing{link: k, ws: ws, conn: conn}
	k.problem = ""
	k.setUp(true)
	defer k.setUp(false)
	k.log().Info("link to peer is up")
	err = o.carry(ctx)
	if isSilent(err) {
		k.counters.add(foundSilent, 1)
	}
	return err
}

// carry sends messages and heartbeats until the connection ends.
func (o *outgoing) carry(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	written := make(chan struct{})
	o.group.Go(func() { cancel(o.read()) })
	o.group.Go(func() {
		cancel(o.conn.watch(ctx, o.owner.cfg.Heartbeat, o.ping))
		o.closeAfter(ctx, written)
	})
	cancel(o.write(ctx))
	close(written)
	o.ws.CloseNow()
	o.group.Wait()
	return context.Cause(ctx)
}

// isSilent reports whether a connection ended because nothing moved on it,
// found by heartbeats or by the kernel.
func isSilent(err error) bool {
	return errors.Is(err, errSilent) || errors.Is(err, syscall.ETIMEDOUT)
}

// closeAfter closes a connection that ctx ended, one that was stopped only
// once the writer is through or a heartbeat has passed.
func (o *outgoing) closeAfter(ctx context.Context, written <-chan struct{}) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		timer := time.NewTimer(o.owner.cfg.Heartbeat.Std())
		defer timer.Stop()
		select {
		case <-written:
		case <-timer.C:
		}
	}
	o.ws.CloseNow()
}

// dial connects to the peer and exchanges hellos with it.
func (k *link) dial(ctx context.Context) (*websocket.Conn, *countedConn, error) {
	ctx, cancel := context.WithTimeout(ctx, k.owner.cfg.DialTimeout.Std())
	defer cancel()
	var conn *countedConn
	transport := &http.Transport{
		DisableKeepAlives: true,
		WriteBufferSize:   writeBufferBytes,
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
	dialer := net.Dialer{LocalAddr: k.owner.localAddr()}
	plain, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := k.owner.counted(plain)
	conn.belongsTo(k)
	return conn, nil
}

// localAddr returns the IP number that this VM listens on, for connecting
// from there too, or nil where it listens on all that it has. A VM with
// several numbers would else come from one that its peers don't know it by,
// and two such VMs would refuse each other for good.
func (l *Links) localAddr() net.Addr {
	address := l.cfg.Listen
	if l.cfg.Listener != nil {
		address = l.cfg.Listener.Addr().String()
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
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

// read takes the answers to heartbeats and waits for the connection to end;
// the peer sends no messages on it.
func (o *outgoing) read() error {
	_, _, err := o.ws.Read(context.Background())
	if err == nil {
		err = &MalformedError{Peer: o.peer.ID, Err: errBackwards}
	}
	return err
}

// ping sends a heartbeat, unless the last one is still unanswered. It gets no
// deadline of its own: the library would close the connection in the middle
// of a large message on a slow line. That an answer stays out, watch sees.
func (o *outgoing) ping() {
	if !o.pinging.CompareAndSwap(false, true) {
		return
	}
	o.group.Go(func() {
		defer o.pinging.Store(false)
		_ = o.ws.Ping(context.Background())
	})
}

// write sends what is queued, as long as ctx lasts. What waits when it ends
// is still sent, with a bounded time, so that a planned stop does not lose
// its last messages.
func (o *outgoing) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.Background(), o.owner.cfg.Heartbeat.Std())
			defer cancel()
			_ = o.flush(last)
			return context.Cause(ctx)
		case <-o.wake:
		}
		if err := o.flush(context.Background()); err != nil {
			return err
		}
	}
}

// flush sends until the queue is empty.
func (o *outgoing) flush(ctx context.Context) error {
	for {
		batch, n := o.take()
		if n == 0 {
			return nil
		}
		o.conn.sendingLarge.Store(len(batch) > batchBytes)
		err := o.ws.Write(ctx, websocket.MessageBinary, batch)
		o.conn.sendingLarge.Store(false)
		if err != nil {
			o.counters.add(dropped, n)
			return err
		}
		o.counters.add(sentMessages, n)
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
