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

	"github.com/sirupsen/logrus"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackwork"
)

const (
	// dialTimeout bounds connecting. Control VMs are a few milliseconds away, and one that is
	// partitioned does not respond at all.
	dialTimeout = 250 * time.Millisecond
	// callTimeout bounds one call. A commit takes about 15 ms, and a few hundred with a slow
	// disk. A leader that was partitioned is given up after this time.
	callTimeout = 600 * time.Millisecond
	// unsentTimeout bounds all attempts of a request as long as nothing of it was sent. It is
	// less than a quarter of the 3.6 s within which callers expect an answer, so that they
	// can retry.
	unsentTimeout = 850 * time.Millisecond
	// sentTimeout bounds them once an attempt may have been carried out. The answer of the
	// next leader, which knows the result, is worth more to the caller than "unknown"; an
	// election takes about a second, and callers wait for three.
	sentTimeout = 2200 * time.Millisecond
	// retryInterval is the delay between two rounds of calls to all control VMs.
	retryInterval = 60 * time.Millisecond
	// retryAfter is the delay after which callers may retry if no leader is found.
	retryAfter = tackclock.Second
	// maxIdleConnections is the number of idle connections kept per control VM. More
	// concurrent calls open additional connections.
	maxIdleConnections = 16
	idleTimeout        = 30 * time.Second
	// userTimeoutMS is the time after which the kernel closes a connection without
	// acknowledgements.
	userTimeoutMS = 1000
	keepAlive     = time.Second
)

type (
	// Client sends requests to the leader. It learns the leader from the answers, and
	// remembers all control VMs that it has learned of.
	Client struct {
		port  int
		seeds func() []tackid.Peer
		log   logrus.FieldLogger
		http  *http.Client

		mu        sync.Mutex
		leader    tackid.Peer
		known     []tackid.Peer
		lastHeard tackclock.Time // when a leader answered last
		cutOff    bool           // see CutOff
		ready     bool           // see Ready
		// minority counts the consecutive probes in which most control VMs were unreachable.
		minority int
		clock    *tackclock.Clock
	}

	// unsentError reports that no byte of the request was sent.
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
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
		Control:         setUserTimeout,
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{port: port, seeds: seeds, clock: clock, log: log, http: &http.Client{Transport: transport}}
}

// SetMaxConnections bounds the connections to each control VM; zero means that there is no bound.
// Requests wait for one as they wait for a connection to be made. It must be called before the
// client is used.
func (c *Client) SetMaxConnections(n int) {
	if t, ok := c.http.Transport.(*http.Transport); ok {
		t.MaxConnsPerHost = n
	}
}

// Do sends the request to the leader. If no leader can be found the verdict is Unavailable,
// or Unknown if the request may have been carried out.
func (c *Client) Do(ctx context.Context, r *tackwork.Request) tackwork.Answer {
	if c.CutOff() {
		return tackwork.Answer{Verdict: tackwork.Unavailable, RetryAfter: retryAfter, Reason: "no leader within reach"}
	}
	ctx, cancel := context.WithTimeout(ctx, sentTimeout)
	defer cancel()
	began := time.Now()
	data, err := tackcbor.Marshal(r)
	if err != nil {
		return tackwork.Answer{Verdict: tackwork.Invalid, Reason: err.Error()}
	}
	sent := false
	reason := "no control VM is known"
	for ctx.Err() == nil && (sent || time.Since(began) < unsentTimeout) {
		for _, p := range c.callOrder() {
			a, err := c.call(ctx, p, data)
			if err == nil && !a.NotLeader {
				c.recordAnswer(p, a)
				switch {
				case !sent || r.Operation == tackwork.Lookup || a.Verdict.DecidesJob():
					return a
				case a.Verdict != tackwork.Unavailable:
					// No later attempt will tell more about the first one.
					return tackwork.Answer{Verdict: tackwork.Unknown, Reason: a.Reason}
				}
				// That this attempt changed nothing does not mean that an earlier one did
				// not.
				reason = a.Reason
				break
			}
			if err == nil {
				c.recordAnswer(a.Leader, a)
				reason = "no leader"
				if a.Leader != "" && a.Leader != p {
					break // the order has changed
				}
				continue
			}
			c.forgetLeader(p)
			reason = err.Error()
			var unsent *unsentError
			if !errors.As(err, &unsent) {
				sent = true
			}
			if ctx.Err() != nil || !sent && time.Since(began) >= unsentTimeout {
				break
			}
		}
		c.pause(ctx)
	}
	c.log.WithField("request_id", r.ID).WithField("reason", reason).WithField("sent", sent).Warn("no leader answered")
	if sent && r.Operation != tackwork.Lookup {
		return tackwork.Answer{Verdict: tackwork.Unknown, Reason: reason}
	}
	return tackwork.Answer{Verdict: tackwork.Unavailable, RetryAfter: retryAfter, Reason: reason}
}

func (c *Client) pause(ctx context.Context) {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// callOrder returns the control VMs in the order in which they are called, the leader first.
func (c *Client) callOrder() []tackid.Peer {
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

func (c *Client) recordAnswer(leader tackid.Peer, a tackwork.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader != "" && leader != c.leader {
		c.leader = leader
		c.log.WithField("leader", leader).Info("leader found")
	}
	if !a.NotLeader {
		c.lastHeard = c.clock.Now()
		c.markReady()
		c.setCutOff(false)
	}
	if !a.NotLeader && len(a.Control) > 0 {
		c.known = nil // the leader's list is complete, and without former members
	}
	for _, p := range a.Control {
		if !slices.Contains(c.known, p) {
			c.known = append(c.known, p)
		}
	}
}

func (c *Client) forgetLeader(p tackid.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == p {
		c.leader = ""
		c.log.WithField("leader", p).Warn("leader unreachable")
	}
}

func (c *Client) call(ctx context.Context, p tackid.Peer, data []byte) (tackwork.Answer, error) {
	var a tackwork.Answer
	err := c.post(ctx, p, requestPath, data, &a)
	return a, err
}

// join asks a control VM to add self as a member. The answer names the leader, if the VM knows
// one, and the control VMs that it knows.
func (c *Client) join(ctx context.Context, p, self tackid.Peer, dc tackid.DataCentre) (joined, error) {
	var j joined
	data, err := tackcbor.Marshal(join{Peer: self, DataCentre: dc})
	if err != nil {
		return j, err
	}
	err = c.post(ctx, p, joinPath, data, &j)
	return j, err
}

func (c *Client) post(ctx context.Context, p tackid.Peer, path string, data []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + net.JoinHostPort(string(p), strconv.Itoa(c.port)) + path
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return &unsentError{err: err}
	}
	req.Header.Set("Content-Type", contentType)
	// The transport resends a request by itself only if nothing of it was written. Although
	// every request may be sent again, the transport must not do so otherwise: it would
	// return the error of the second attempt, which could say that nothing was sent.
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
	if resp.StatusCode == http.StatusServiceUnavailable { // the control VM did not read the request
		return &unsentError{err: fmt.Errorf("tackforward: %s has no room for the request", p)}
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("tackforward: %s answered %d", p, resp.StatusCode)
	}
	return tackcbor.Unmarshal(body, into)
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) { setTimeoutOption(int(fd), userTimeoutMS) })
}
