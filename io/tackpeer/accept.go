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
	"auburntack/io/tackport"
)

const (
	// minHeartbeat and maxHeartbeat bound the heartbeat interval that a peer announces for
	// itself.
	minHeartbeat = 10 * tackclock.Millisecond
	maxHeartbeat = 30 * tackclock.Second
	// userTimeoutHeartbeats is the time, in heartbeat intervals, after which the kernel closes
	// a connection whose data is not acknowledged. It is longer than the time in which
	// heartbeats detect a silent connection, and takes effect if they do not run.
	userTimeoutHeartbeats = 4
	// warnInterval is the minimum interval between log lines about refused connections.
	warnInterval = tackclock.Second
)

type (
	// incoming is an accepted connection, on which a peer sends messages.
	incoming struct {
		instance uint64
		cancel   context.CancelCauseFunc
	}

	// countedListener wraps the connections that it accepts in countedConn.
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
	return l.owner.wrapConn(conn), nil
}

// wrapConn sets the socket options of a new connection and wraps it.
func (l *Links) wrapConn(conn net.Conn) *countedConn {
	raw := tackport.Unwrap(conn)
	if options, ok := raw.(syscall.Conn); ok {
		l.setOptions(options)
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // only reduces delays
	}
	return &countedConn{Conn: conn, clock: l.cfg.Clock}
}

func (l *Links) setOptions(conn syscall.Conn) {
	raw, err := conn.SyscallConn()
	if err == nil {
		err = setUserTimeout(raw, userTimeoutHeartbeats*l.cfg.Heartbeat)
	}
	if err != nil {
		l.cfg.Logger.WithError(err).Debug("cannot set the TCP user timeout; only heartbeats detect silent connections")
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

// accept serves the connections of peers until ctx ends.
func (l *Links) accept(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc(peerPath, func(w http.ResponseWriter, r *http.Request) {
		if l.addRunning(ctx) {
			defer l.running.Done()
			l.serveConn(ctx, w, r)
		}
	})
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: l.cfg.DialTimeout.Std(),
		IdleTimeout:       l.cfg.DialTimeout.Std(),
		MaxHeaderBytes:    helloBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnState:         tackport.ConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(tackport.ConnContext(ctx, conn), connKey{}, conn)
		},
	}
	if l.cfg.Port != nil {
		listener, server.Handler = l.cfg.Port.Bound(listener), l.cfg.Port.Handler(mux)
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

// addRunning adds a connection to l.running. It returns false if Serve is ending.
func (l *Links) addRunning(ctx context.Context) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	l.running.Add(1)
	return true
}

// serveConn handles one incoming connection.
func (l *Links) serveConn(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*countedConn)
	if !ok {
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer ws.CloseNow()
	k, h, err := l.acceptHandshake(ctx, ws, conn)
	if err != nil {
		l.refuse(ctx, ws, conn, err)
		return
	}
	err = l.serveIncoming(ctx, ws, conn, k, h)
	if isSilent(err) {
		k.counters.add(foundSilent, 1)
	}
	k.log().WithError(err).Debug("connection from peer ended")
}

// acceptHandshake reads and verifies the hello of an incoming connection and answers it.
func (l *Links) acceptHandshake(ctx context.Context, ws *websocket.Conn, conn *countedConn) (*link, hello, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.DialTimeout.Std())
	defer cancel()
	ws.SetReadLimit(helloBytes)
	h, err := readHello(ctx, ws)
	if err != nil {
		return nil, h, err
	}
	if h.To != l.cfg.Self {
		return nil, h, &IdentityError{Want: h.To, Got: l.cfg.Self, Reason: "meant for another VM"}
	}
	k := l.link(h.From)
	if k == nil {
		if l.cfg.OnUnknown != nil {
			l.cfg.OnUnknown(h.From, conn.RemoteAddr())
		}
		return nil, h, &UnknownPeerError{Peer: h.From}
	}
	if err := k.verify(h, conn.RemoteAddr()); err != nil {
		return nil, h, err
	}
	return k, h, writeHello(ctx, ws, l.hello(h.From))
}

// verify checks that the sender of h is the peer that it claims to be. The process that
// answers at the configured address of the peer is the peer, and its instance ID is known
// while the link to it is up. While the link is down, the IP address of the sender must be the
// configured one.
func (k *link) verify(h hello, remote net.Addr) error {
	k.mu.Lock()
	up, instance := k.up, k.peerInstance
	k.mu.Unlock()
	if up && instance != h.Instance {
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

// refuse sends the reason to the peer, so that operators find it in the log of that VM too.
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
	_ = writeHello(ctx, ws, answer) // the connection is closed anyway
}

// mayWarn reports whether a refusal may be logged. Without this limit anyone who can connect
// could fill the disk with log lines.
func (l *Links) mayWarn() bool {
	now := int64(l.cfg.Clock.Now())
	last := l.lastWarning.Load()
	return now-last >= int64(warnInterval) && l.lastWarning.CompareAndSwap(last, now)
}

// serveIncoming passes the messages of an incoming connection to their handlers until it ends.
// The connection replaces an earlier one of the same peer.
func (l *Links) serveIncoming(ctx context.Context, ws *websocket.Conn, conn *countedConn, k *link, h hello) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &incoming{instance: h.Instance, cancel: cancel}
	conn.countFor(k)
	conn.trackLastHeard(k)
	if !k.replaceIncoming(a) {
		return &UnknownPeerError{Peer: k.peer.ID}
	}
	defer k.removeIncoming(a)
	notify(k.peerConnected)

	ws.SetReadLimit(int64(max(l.cfg.MaxMessageBytes, batchBytes)))
	// Handlers run on a separate goroutine so that a panic in one ends the process. On this
	// goroutine net/http would recover it, and the VM would continue with a partly changed
	// state.
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

// replaceIncoming makes a the incoming connection and ends the previous one. It returns false
// if the peer was removed.
func (k *link) replaceIncoming(a *incoming) bool {
	k.mu.Lock()
	old := k.incoming
	if !k.removed {
		k.incoming = a
	}
	removed := k.removed
	k.mu.Unlock()
	if old != nil {
		old.cancel(errReplaced)
	}
	return !removed
}

func (k *link) removeIncoming(a *incoming) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.incoming == a {
		k.incoming = nil
	}
}

func (k *link) log() logrus.FieldLogger {
	return k.owner.cfg.Logger.WithField("peer", string(k.peer.ID))
}
