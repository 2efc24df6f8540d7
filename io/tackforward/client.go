package tackforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackwork"
)

const (
	// dialLimit bounds connecting. Control VMs are a few milliseconds away; a
	// VM that is cut off answers nothing.
	dialLimit = 250 * time.Millisecond
	// callLimit bounds one call. A commit takes some 15 ms, with a slow disk
	// a few hundred; a leader that was cut off is given up after this time.
	callLimit = 600 * time.Millisecond
	// askLimit bounds all tries for one request of which nothing was sent. It
	// stays below a quarter of the 3.6 s in which callers want an answer, so
	// that they can try again.
	askLimit = 850 * time.Millisecond
	// sentLimit bounds them once a try may have been carried out. An answer of
	// the next leader, who knows, is worth more to the caller than "unknown";
	// an election takes about a second, and callers wait for three.
	sentLimit = 2200 * time.Millisecond
	// againAfter is the wait between two rounds over all control VMs.
	againAfter = 60 * time.Millisecond
	// comeBack is when callers are asked to come back if no leader is found.
	comeBack = tackclock.Second
	// idleConnections to one control VM are kept; more calls at once open
	// connections of their own.
	idleConnections = 16
	idleLimit       = 30 * time.Second
	// userTimeout is when the kernel gives up a connection on which nothing
	// is acknowledged.
	userTimeoutMS = 1000
	keepAlive     = time.Second
)

type (
	// Client sends requests to the leader. It follows the leader by the
	// answers, and remembers every control VM that it ever heard of.
	Client struct {
		port  int
		seeds func() []tackid.Peer
		log   logrus.FieldLogger
		http  *http.Client

		mu     sync.Mutex
		leader tackid.Peer
		known  []tackid.Peer
		heard  tackclock.Time // when a leader last answered
		cutOff bool           // see CutOff
		ready  bool           // see Ready
		// minority counts the looks in a row that found most control VMs out of reach.
		minority int
		clock    *tackclock.Clock
	}

	// unsentError says that no byte of the request left this VM.
	unsentError struct {
		err error
	}
)

// Error implements error.
func (e *unsentError) Error() string { return "not sent: " + e.err.Error() }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.err }

// NewClient returns a client that calls control VMs on the given port.
func NewClient(port int, seeds func() []tackid.Peer, clock *tackclock.Clock, log logrus.FieldLogger) *Client {
	dialer := &net.Dialer{
		Timeout:         dialLimit,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
		Control:         setUserTimeout,
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,
	}
	return &Client{port: port, seeds: seeds, clock: clock, log: log, http: &http.Client{Transport: transport}}
}

// Do asks the leader. If none can be found the verdict is Unavailable, or
// Unknown if the request may have been carried out.
func (c *Client) Do(ctx context.Context, r *tackwork.Request) tackwork.Answer {
	if c.CutOff() {
		return tackwork.Answer{Verdict: tackwork.Unavailable, RetryAfter: comeBack, Reason: "no leader within reach"}
	}
	ctx, cancel := context.WithTimeout(ctx, sentLimit)
	defer cancel()
	began := time.Now()
	data, err := cbor.Marshal(r)
	if err != nil {
		return tackwork.Answer{Verdict: tackwork.Invalid, Reason: err.Error()}
	}
	sent := false
	reason := "no control VM is known"
	for ctx.Err() == nil && (sent || time.Since(began) < askLimit) {
		for _, p := range c.order() {
			a, err := c.call(ctx, p, data)
			if err == nil && !a.NotLeader {
				c.follow(p, a)
				if !sent || a.Verdict != tackwork.Unavailable || r.Operation == tackwork.Lookup {
					return a
				}
				// That this try changed nothing says nothing about an earlier one.
				reason = a.Reason
				break
			}
			if err == nil {
				c.follow(a.Leader, a)
				reason = "no leader"
				if a.Leader != "" && a.Leader != p {
					break // the order has changed
				}
				continue
			}
			c.unfollow(p)
			reason = err.Error()
			var unsent *unsentError
			if !errors.As(err, &unsent) {
				sent = true
			}
			if ctx.Err() != nil || !sent && time.Since(began) >= askLimit {
				break
			}
		}
		c.pause(ctx)
	}
	c.log.WithField("request_id", r.ID).WithField("reason", reason).WithField("sent", sent).Warn("no leader answered")
	if sent && r.Operation != tackwork.Lookup {
		return tackwork.Answer{Verdict: tackwork.Unknown, Reason: reason}
	}
	return tackwork.Answer{Verdict: tackwork.Unavailable, RetryAfter: comeBack, Reason: reason}
}

func (c *Client) pause(ctx context.Context) {
	timer := time.NewTimer(againAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// order is in which order control VMs are asked: the leader first.
func (c *Client) order() []tackid.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []tackid.Peer
	add := func(p tackid.Peer) {
		if p != "" && !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	add(c.leader)
	for _, p := range c.known {
		add(p)
	}
	for _, p := range c.seeds() {
		add(p)
	}
	return list
}

func (c *Client) follow(leader tackid.Peer, a tackwork.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader != "" && leader != c.leader {
		c.leader = leader
		c.log.WithField("leader", leader).Info("leader found")
	}
	if !a.NotLeader {
		c.heard = c.clock.Now()
		c.markReady()
		c.setCutOff(false)
	}
	if !a.NotLeader && len(a.Control) > 0 {
		c.known = nil // the leader knows all, and which are none any more
	}
	for _, p := range a.Control {
		if !slices.Contains(c.known, p) {
			c.known = append(c.known, p)
		}
	}
}

func (c *Client) unfollow(p tackid.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == p {
		c.leader = ""
		c.log.WithField("leader", p).Warn("leader lost")
	}
}

func (c *Client) call(ctx context.Context, p tackid.Peer, data []byte) (tackwork.Answer, error) {
	var a tackwork.Answer
	err := c.post(ctx, p, requestPath, data, &a)
	return a, err
}

// Join asks a control VM to make self a member, and returns those it knows.
func (c *Client) Join(ctx context.Context, p, self tackid.Peer, dc tackid.DataCentre) ([]tackid.Peer, error) {
	data, err := cbor.Marshal(join{Peer: self, DataCentre: dc})
	if err != nil {
		return nil, err
	}
	var j joined
	if err := c.post(ctx, p, joinPath, data, &j); err != nil {
		return nil, err
	}
	return j.Control, nil
}

func (c *Client) post(ctx context.Context, p tackid.Peer, path string, data []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	url := "http://" + net.JoinHostPort(string(p), strconv.Itoa(c.port)) + path
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return &unsentError{err: err}
	}
	req.Header.Set("Content-Type", contentType)
	// The transport sends a request again by itself only if nothing of it was
	// written. It must not do so otherwise, though every request may be sent
	// again: its error would be that of the second try and say that nothing was
	// sent.
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return &unsentError{err: err}
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("tackforward: %s answered %d", p, resp.StatusCode)
	}
	return cbor.Unmarshal(body, into)
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) { setTimeoutOption(int(fd), userTimeoutMS) })
}
