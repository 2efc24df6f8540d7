// Package tackpeer sends messages between the VMs of the system, as CBOR over WebSocket
// connections. Each VM sends on one outgoing connection to each peer and receives on the
// connections that it accepts.
//
// Messages to one peer arrive in the order in which they were sent, but may be lost. Senders
// that need an answer must retry.
package tackpeer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/io/tackport"
)

const (
	// DefaultHeartbeat is the interval between two heartbeats of a connection.
	DefaultHeartbeat = 500 * tackclock.Millisecond
	// DefaultDialTimeout is the timeout for connecting, including the exchange of hellos.
	DefaultDialTimeout = tackclock.Second
	// DefaultMaxBackoff is the maximum delay between two attempts to connect.
	DefaultMaxBackoff = tackclock.Second
	// DefaultMaxMessageBytes is the maximum size of a message. Messages include snapshots.
	DefaultMaxMessageBytes = 64 << 20
	// DefaultMaxQueueBytes is the maximum total size of the messages queued for one peer.
	DefaultMaxQueueBytes = 96 << 20
	// DefaultMaxQueue is the maximum number of messages queued for one peer.
	DefaultMaxQueue = 4096
)

type (
	// Peer is another VM of the system and the address on which it listens.
	Peer struct {
		ID         tackid.Peer
		DataCentre tackid.DataCentre
		// Address is an IP address with a port.
		Address string
		// DialBack reports whether this VM connects to the peer only while the peer is
		// connected to this VM.
		DialBack bool
	}

	// Config configures the links of a VM. Durations and limits that are zero are replaced
	// by the defaults.
	Config struct {
		Self tackid.Peer
		// Listen is an IP address with a port. If Listener is set, it is used instead, for one
		// call of Serve.
		Listen   string
		Listener net.Listener
		Peers    []Peer
		// OnUnknown, unless it is nil, is called when a VM connects that is not among the
		// peers. That connection is refused.
		OnUnknown func(from tackid.Peer, remote net.Addr)
		// Port bounds the connections that are accepted, also from others than peers. If nil,
		// there are no bounds.
		Port *tackport.Port
		// Clock provides the times of LastHeard. If nil, a new clock is used.
		Clock *tackclock.Clock
		// Logger logs changes of links. If nil, nothing is logged.
		Logger logrus.FieldLogger
		// Registry registers the counters. If nil, they are available through Status only.
		Registry metrics.Registry

		Heartbeat       tackclock.Duration
		DialTimeout     tackclock.Duration
		MaxBackoff      tackclock.Duration
		MaxMessageBytes int
		MaxQueueBytes   int
		MaxQueue        int
	}

	// LinkStatus is the status of the link to one peer.
	LinkStatus struct {
		Peer tackid.Peer
		// Up reports whether the outgoing connection is established.
		Up bool
		// LastHeard is when the last byte was received from the peer, or zero if none was.
		LastHeard tackclock.Time
		// SentBytes and ReceivedBytes are counted at the sockets of both connections,
		// including handshakes and heartbeats.
		SentBytes, ReceivedBytes       uint64
		SentMessages, ReceivedMessages uint64
		// Dropped is the number of messages that were queued but not sent.
		Dropped uint64
		// FoundSilent is the number of connections that were closed because nothing was
		// transferred on them.
		FoundSilent uint64
	}

	// Links manages the connections to all peers.
	Links struct {
		cfg      Config
		instance uint64
		total    *counters
		// lastWarning is when a refused connection was last logged.
		lastWarning atomic.Int64

		mu       sync.Mutex
		handlers map[Kind]func(tackid.Peer, []byte)
		links    map[tackid.Peer]*link
		// serving is the context of the running call of Serve, or nil if there is none.
		serving context.Context
		running sync.WaitGroup
	}
)

// New returns links that connect to the peers when Serve is called.
func New(cfg Config) *Links {
	l := &Links{
		cfg:      cfg.withDefaults(),
		instance: newInstanceID(),
		handlers: make(map[Kind]func(tackid.Peer, []byte)),
		links:    make(map[tackid.Peer]*link),
	}
	l.total = newCounters(l.cfg.Registry, "peer_", nil)
	l.SetPeers(cfg.Peers)
	return l
}

// Handle registers f as the handler of received messages of the kind. It must be called before
// Serve. The messages of one peer are handled one at a time on the goroutine that reads its
// connection, so f must not block: until it returns, heartbeats are not answered.
func (l *Links) Handle(kind Kind, f func(from tackid.Peer, body []byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[kind] = f
}

// Send queues body, which is encoded as CBOR, for the peer. It never blocks. If it returns an
// error, the message is not sent: an *UnknownPeerError, a *DownError if there is no connection,
// a *TooLargeError, or an error of the encoding. If it returns nil, the message may still be
// lost.
func (l *Links) Send(to tackid.Peer, kind Kind, body any) error {
	l.mu.Lock()
	k := l.links[to]
	l.mu.Unlock()
	if k == nil {
		return &UnknownPeerError{Peer: to}
	}
	data, err := encode(kind, body)
	if err != nil {
		return err
	}
	if len(data) > l.cfg.MaxMessageBytes {
		return &TooLargeError{Bytes: len(data), Limit: l.cfg.MaxMessageBytes}
	}
	return k.enqueue(data)
}

// SetPeers replaces the set of peers. Links to peers that are unchanged are not interrupted.
func (l *Links) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := make(map[tackid.Peer]Peer, len(peers))
	for _, p := range peers {
		if p.ID != l.cfg.Self {
			wanted[p.ID] = p
		}
	}
	for id, k := range l.links {
		if wanted[id] != k.peer {
			k.stop()
			delete(l.links, id)
		}
	}
	for id, p := range wanted {
		if l.links[id] == nil {
			l.links[id] = newLink(l, p)
			l.start(l.links[id])
		}
	}
}

// Status returns the status of every link, sorted by peer.
func (l *Links) Status() []LinkStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]LinkStatus, 0, len(l.links))
	for _, k := range l.links {
		list = append(list, k.status())
	}
	slices.SortFunc(list, func(a, b LinkStatus) int {
		return strings.Compare(string(a.Peer), string(b.Peer))
	})
	return list
}

// Serve accepts connections of peers and maintains a connection to each of them until ctx ends.
// It implements suture.Service, and returns the error of ctx or of the listener.
func (l *Links) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := l.listen(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.serving = ctx
	for _, k := range l.links {
		l.start(k)
	}
	l.mu.Unlock()

	err = l.accept(ctx, listener)

	cancel()
	l.mu.Lock()
	l.serving = nil
	l.mu.Unlock()
	l.running.Wait()
	if err == nil {
		err = ctx.Err()
	}
	return err
}

// start maintains the outgoing connection of the link if Serve runs. The caller must hold l.mu.
func (l *Links) start(k *link) {
	if l.serving == nil {
		return
	}
	ctx, cancel := context.WithCancel(l.serving)
	k.cancel = cancel
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		k.run(ctx)
	}()
}

func (l *Links) link(id tackid.Peer) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[id]
}

func (l *Links) handler(kind Kind) func(tackid.Peer, []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[kind]
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = new(tackclock.Clock)
	}
	if c.Logger == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		c.Logger = silent
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	c.Heartbeat = defaulted(c.Heartbeat, DefaultHeartbeat)
	c.DialTimeout = defaulted(c.DialTimeout, DefaultDialTimeout)
	c.MaxBackoff = defaulted(c.MaxBackoff, DefaultMaxBackoff)
	c.MaxMessageBytes = defaulted(c.MaxMessageBytes, DefaultMaxMessageBytes)
	c.MaxQueueBytes = defaulted(c.MaxQueueBytes, DefaultMaxQueueBytes)
	c.MaxQueue = defaulted(c.MaxQueue, DefaultMaxQueue)
	return c
}

func defaulted[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func newInstanceID() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	return binary.LittleEndian.Uint64(random[:])
}
