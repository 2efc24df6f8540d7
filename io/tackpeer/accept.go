package tackpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
)

const (
	// minHeartbeat and maxHeartbeat bound what a peer may say of its own
	// heartbeat.
	minHeartbeat = 10 * tackclock.Millisecond
	maxHeartbeat = 30 * tackclock.Second
	// userTimeoutHeartbeats is when the kernel gives a connection up, in
	// heartbeats: after they would have found it, should they not run.
	userTimeoutHeartbeats = 4
	// warnEvery spaces out the log lines about refused connections.
	warnEvery = tackclock.Second
)

type (
	// accepted is a connection on which a peer sends.
	accepted struct {
		nonce uint64
		end   context.CancelCauseFunc
	}

	// countedListener wraps what it accepts.
	countedListener struct {
		net.Listener
		owner *Links
	}

	connKey struct{}
)

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.counted(conn), nil
}

// counted wraps a new connection and sets its socket up.
func (l *Links) counted(conn net.Conn) *countedConn {
	if raw, ok := conn.(syscall.Conn); ok {
		l.setOptions(raw)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // smaller delays only
	}
	return &countedConn{Conn: conn, clock: l.cfg.Clock}
}

func (l *Links) setOptions(conn syscall.Conn) {
	raw, err := conn.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, userTimeoutHeartbeats*l.cfg.Heartbeat)
	}
	if err != nil {
		l.cfg.Logger.WithError(err).Debug("socket option refused, heartbeats alone find silent links")
	}
}

func (l *Links) listen(ctx context.Context) (net.Listener, error) {
	if l.cfg.Listener != nil {
		return l.cfg.Listener, nil
	}
	var cfg net.ListenConfig
	listener, err := cfg.Listen(ctx, "tcp", l.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("tackpeer: listen: %w", err)
	}
	return listener, nil
}

// accept serves the peers' connections until ctx ends.
func (l *Links) accept(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc(peerPath, func(w http.ResponseWriter, r *http.Request) {
		if l.enter(ctx) {
			defer l.running.Done()
			l.receive(ctx, w, r)
		}
	})
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: l.cfg.DialTimeout.Std(),
		IdleTimeout:       l.cfg.DialTimeout.Std(),
		MaxHeaderBytes:    helloBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(&countedListener{Listener: listener, owner: l})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("tackpeer: accept: %w", err)
}

// enter counts a connection as running, unless Serve is ending.
func (l *Links) enter(ctx context.Context) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	l.running.Add(1)
	return true
}

// receive handles one connection of a peer.
func (l *Links) receive(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*countedConn)
	if !ok {
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer ws.CloseNow()
	k, h, err := l.admit(ctx, ws, conn)
	if err != nil {
		l.refuse(ctx, ws, conn, err)
		return
	}
	err = l.carry(ctx, ws, conn, k, h)
	if isSilent(err) {
		k.counters.add(foundSilent, 1)
	}
	k.log().WithError(err).Debug("connection from peer ended")
}

// admit reads the hello, checks it and answers it.
func (l *Links) admit(ctx context.Context, ws *websocket.Conn, conn *countedConn) (*link, hello, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.DialTimeout.Std())
	defer cancel()
	ws.SetReadLimit(helloBytes)
	h, err := readHello(ctx, ws)
	if err != nil {
		return nil, h, err
	}
	k := l.link(h.From)
	if k == nil {
		return nil, h, &UnknownPeerError{Peer: h.From}
	}
	if h.To != l.cfg.Self {
		return nil, h, &IdentityError{Want: h.To, Got: l.cfg.Self, Reason: "meant for another VM"}
	}
	if err := k.verify(h, conn.RemoteAddr()); err != nil {
		return nil, h, err
	}
	return k, h, writeHello(ctx, ws, l.hello(h.From))
}

// verify checks that the sender of h is the peer it claims to be. The process
// that answers at the peer's configured address is the peer; its nonce is
// known while the link to it stands. Where it does not, the sender's IP number
// must be the configured one.
func (k *link) verify(h hello, remote net.Addr) error {
	k.mu.Lock()
	up, nonce := k.up, k.nonce
	k.mu.Unlock()
	if up && nonce != h.Nonce {
		return &IdentityError{Want: k.peer.ID, Got: h.From, Reason: "another life answers at " + k.peer.Address}
	}
	if !up && !sameHost(k.peer.Address, remote.String()) {
		return &IdentityError{Want: k.peer.ID, Got: h.From, Reason: "comes from " + remote.String()}
	}
	return nil
}

func sameHost(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	return errA == nil && errB == nil && net.ParseIP(hostA).Equal(net.ParseIP(hostB))
}

// refuse tells the sender why, so that its operators find the reason in its
// own log.
func (l *Links) refuse(ctx context.Context, ws *websocket.Conn, conn *countedConn, err error) {
	l.total.add(refused, 1)
	log := l.cfg.Logger.WithError(err).WithField("remote", conn.RemoteAddr().String())
	if l.mayWarn() {
		log.Warn("peer connection refused")
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.DialTimeout.Std())
	defer cancel()
	answer := l.hello("")
	answer.Refused = err.Error()
	_ = writeHello(ctx, ws, answer) // the connection is closed next
}

// mayWarn reports whether a refusal may be logged. Whoever can connect could
// fill the disk with log lines otherwise.
func (l *Links) mayWarn() bool {
	now := int64(l.cfg.Clock.Now())
	last := l.warned.Load()
	return now-last >= int64(warnEvery) && l.warned.CompareAndSwap(last, now)
}

// carry hands the connection's messages over until it ends. It takes the
// place of an earlier connection of the same peer.
func (l *Links) carry(ctx context.Context, ws *websocket.Conn, conn *countedConn, k *link, h hello) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &accepted{nonce: h.Nonce, end: cancel}
	conn.belongsTo(k)
	conn.heardBy(k)
	if !k.replaceAccepted(a) {
		return &UnknownPeerError{Peer: k.peer.ID}
	}
	defer k.dropAccepted(a)
	notify(k.kick)

	ws.SetReadLimit(int64(max(l.cfg.MaxMessageBytes, batchBytes)))
	// A handler that panics ends the process, as on any other goroutine. On
	// this one net/http would recover it, and the VM would go on with a state
	// that is half changed.
	var group sync.WaitGroup
	group.Go(func() { cancel(l.deliver(ws, k)) })
	heartbeat := min(max(tackclock.Duration(h.HeartbeatMS), minHeartbeat), maxHeartbeat)
	cancel(conn.watch(ctx, heartbeat, func() {}))
	ws.CloseNow()
	group.Wait()
	return context.Cause(ctx)
}

func (l *Links) deliver(ws *websocket.Conn, k *link) error {
	for {
		_, batch, err := ws.Read(context.Background())
		if err != nil {
			return err
		}
		err = decode(batch, k.peer.ID, func(e Envelope) { l.dispatch(k, e) })
		if err != nil {
			return err
		}
	}
}

func (l *Links) dispatch(k *link, e Envelope) {
	k.counters.add(receivedMessages, 1)
	f := l.handler(e.Kind)
	if f == nil {
		k.counters.add(unknownKinds, 1)
		return
	}
	f(e.From, e.Body)
}

// replaceAccepted ends the connection that a takes the place of. It reports
// false where the peer is no longer one.
func (k *link) replaceAccepted(a *accepted) bool {
	k.mu.Lock()
	old := k.accepted
	if !k.gone {
		k.accepted = a
	}
	gone := k.gone
	k.mu.Unlock()
	if old != nil {
		old.end(errReplaced)
	}
	return !gone
}

func (k *link) dropAccepted(a *accepted) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.accepted == a {
		k.accepted = nil
	}
}

func (k *link) log() logrus.FieldLogger {
	return k.owner.cfg.Logger.WithField("peer", string(k.peer.ID))
}
