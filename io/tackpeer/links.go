// Package tackpeer carries messages between the VMs of the system: WebSocket
// connections with CBOR inside, one outgoing connection to each peer, on
// which this VM sends, and the accepted ones, on which it receives.
//
// Messages may be lost, and those to one peer arrive in the order in which
// they were sent. Who needs an answer asks again.
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
)

const (
	// DefaultHeartbeat is the span between two heartbeats of a connection.
	DefaultHeartbeat = 500 * tackclock.Millisecond
	// DefaultDialTimeout bounds connecting and the exchange of hellos.
	DefaultDialTimeout = tackclock.Second
	// DefaultMaxBackoff bounds the wait between two tries to connect.
	DefaultMaxBackoff = tackclock.Second
	// DefaultMaxMessageBytes bounds one message, a snapshot among them.
	DefaultMaxMessageBytes = 64 << 20
	// DefaultMaxQueueBytes bounds what waits for one peer.
	DefaultMaxQueueBytes = 96 << 20
	// DefaultMaxQueue bounds the number of messages that wait for one peer.
	DefaultMaxQueue = 4096
)

type (
	// Peer is another VM of the system and where it listens.
	Peer struct {
		ID         tackid.Peer
		DataCentre tackid.DataCentre
		// Address is an IP number with a port.
		Address string
		// Answering says that this VM connects to the peer only while the peer is
		// connected to this VM.
		Answering bool
	}

	// Config says who this VM is and whom it talks to. Zero durations and
	// bounds take the defaults.
	Config struct {
		Self tackid.Peer
		// Listen is an IP number with a port. A Listener, if one is given, is
		// used in its place, for one call of Serve.
		Listen   string
		Listener net.Listener
		Peers    []Peer
		// Clock stamps LastHeard; nil is the machine's.
		Clock *tackclock.Clock
		// Logger is told of links that come and go; nil discards it.
		Logger logrus.FieldLogger
		// Registry gets the counters; nil keeps them to Status.
		Registry metrics.Registry

		Heartbeat       tackclock.Duration
		DialTimeout     tackclock.Duration
		MaxBackoff      tackclock.Duration
		MaxMessageBytes int
		MaxQueueBytes   int
		MaxQueue        int
	}

	// LinkStatus is what is known of the link to one peer.
	LinkStatus struct {
		Peer tackid.Peer
		// Up says that the outgoing connection stands.
		Up bool
		// LastHeard is when the last byte came from the peer, zero if none
		// ever did.
		LastHeard tackclock.Time
		// Bytes are counted at the socket, in both directions of both
		// connections, handshakes and heartbeats included.
		SentBytes, ReceivedBytes       uint64
		SentMessages, ReceivedMessages uint64
		// Dropped counts messages that were queued and not sent.
		Dropped uint64
		// FoundSilent counts connections that stayed open with nothing
		// moving and were closed for it.
		FoundSilent uint64
	}

	// Links holds the connections to all peers.
	Links struct {
		cfg   Config
		nonce uint64
		total *counters
		// warned is when a refused connection was last logged.
		warned atomic.Int64

		mu       sync.Mutex
		handlers map[Kind]func(tackid.Peer, []byte)
		links    map[tackid.Peer]*link
		// serving is the context of the running Serve, nil outside of it.
		serving context.Context
		running sync.WaitGroup
	}
)

// New returns links that carry nothing until Serve runs.
func New(cfg Config) *Links {
	l := &Links{
		cfg:      cfg.withDefaults(),
		nonce:    newNonce(),
		handlers: make(map[Kind]func(tackid.Peer, []byte)),
		links:    make(map[tackid.Peer]*link),
	}
	l.total = newCounters(l.cfg.Registry, "peer_", nil)
	l.SetPeers(cfg.Peers)
	return l
}

// Handle has f called for each message of the kind that arrives. It is to be
// called before Serve. Messages of one peer come one after the other on the
// goroutine that reads its connection, so f must not block: while it does,
// heartbeats go unanswered.
func (l *Links) Handle(kind Kind, f func(from tackid.Peer, body []byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[kind] = f
}

// Send queues body, which must encode as CBOR, for the peer. It never blocks.
// An error says that the message surely does not arrive: an
// *UnknownPeerError, a *DownError while no connection stands, a
// *TooLargeError. Without one it may still be lost.
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

// SetPeers replaces the set of peers. Links to peers that stay, under the same
// address, go on undisturbed.
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

// Status returns the state of every link, by peer.
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

// Serve listens for the peers and keeps a connection to each until ctx ends.
// It is a suture service, and returns ctx's error or that of the listener.
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

// start runs the link's outgoing side if Serve runs. The caller holds mu.
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

func newNonce() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	return binary.LittleEndian.Uint64(random[:])
}
