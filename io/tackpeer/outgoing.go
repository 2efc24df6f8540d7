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

	"auburntack/core/tackcbor"
	"auburntack/core/tackid"
)

const (
	peerPath = "/peer"
	// helloBytes is the maximum size of a hello.
	helloBytes = 4 << 10
	// writeBufferBytes is the maximum number of bytes of a message in one write to the socket.
	writeBufferBytes = 32 << 10
)

// outgoing is a connection on which this VM sends to a peer.
type outgoing struct {
	*link
	ws   *websocket.Conn
	conn *countedConn
	// pinging is set while a heartbeat is unanswered.
	pinging atomic.Bool
	group   sync.WaitGroup
}

// connect dials the peer and sends messages until the connection ends.
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
	err = o.serve(ctx)
	if isSilent(err) {
		k.counters.add(foundSilent, 1)
	}
	return err
}

// serve sends messages and heartbeats until the connection ends.
func (o *outgoing) serve(ctx context.Context) error {
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

// isSilent reports whether a connection ended because nothing was transferred on it, as
// detected by heartbeats or by the kernel.
func isSilent(err error) bool {
	return errors.Is(err, errSilent) || errors.Is(err, syscall.ETIMEDOUT)
}

// closeAfter closes the connection after ctx has ended. If the connection was stopped rather
// than failed, it first waits until the writer has finished, for at most one heartbeat interval.
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
	if err := k.dialHandshake(ctx, ws); err != nil {
		ws.CloseNow()
		return nil, nil, err
	}
	conn.trackLastHeard(k)
	return ws, conn, nil
}

func (k *link) dialCounted(ctx context.Context, network, address string) (*countedConn, error) {
	dialer := net.Dialer{LocalAddr: k.owner.localAddr()}
	plain, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := k.owner.wrapConn(plain)
	conn.countFor(k)
	return conn, nil
}

// localAddr returns the IP address that this VM listens on, which it also connects from, or nil
// if it listens on all its addresses. A VM with several addresses could otherwise connect from
// one that its peers do not know, and two such VMs would refuse each other permanently.
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

// dialHandshake exchanges hellos with the peer and verifies its identity.
func (k *link) dialHandshake(ctx context.Context, ws *websocket.Conn) error {
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
	k.peerInstance = answer.Instance
	stale := k.incoming
	k.mu.Unlock()
	if stale != nil && stale.instance != answer.Instance {
		stale.cancel(errReplaced)
	}
	return nil
}

// read processes the answers to heartbeats until the connection ends. It returns an error if
// the peer sends a message, since peers send on connections of their own.
func (o *outgoing) read() error {
	_, _, err := o.ws.Read(context.Background())
	if err == nil {
		err = &MalformedError{Peer: o.peer.ID, Err: errUnexpectedMessage}
	}
	return err
}

// ping sends a heartbeat, unless the last one is still unanswered. The heartbeat has no
// deadline, because the library would close the connection in the middle of a large message on
// a slow line. A missing answer is detected by watch.
func (o *outgoing) ping() {
	if !o.pinging.CompareAndSwap(false, true) {
		return
	}
	o.group.Go(func() {
		defer o.pinging.Store(false)
		_ = o.ws.Ping(context.Background())
	})
}

// write sends queued messages until ctx ends. Messages that are queued at that time are still
// sent, for at most one heartbeat interval, so that a planned stop does not lose the last
// messages.
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

// flush sends messages until the queue is empty.
func (o *outgoing) flush(ctx context.Context) error {
	for {
		batch, n := o.dequeueBatch()
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
	data, err := tackcbor.Marshal(h)
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
		Instance:    l.instance,
		Oldest:      1,
		HeartbeatMS: int64(l.cfg.Heartbeat),
	}
}
