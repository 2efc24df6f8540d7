package tackhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"auburntack/core/tackclock"
)

// nonRetryableIdle is how long a connection may have been idle before it
// carries a request that must not run twice.
const nonRetryableIdle = tackclock.Second

// closeIdleInterval is the minimum time between two closings of all idle
// connections.
const closeIdleInterval = tackclock.Second

// sender sends requests to backend servers.
type sender struct {
	dialer net.Dialer
	meters *meters

	// retryable carries requests that may be sent again. nonRetryable carries
	// the others: it closes idle connections sooner, since a request that is
	// sent on a dead connection ends with an unknown outcome. noReuse opens a
	// connection for each request and carries the retries: an event that kills
	// one connection, such as the restart of a firewall, often kills all open
	// ones.
	retryable, nonRetryable, noReuse http.Transport

	idleClosed atomic.Int64 // time at which the idle connections were last closed
}

func (s *sender) init(limits Limits, m *meters) {
	s.meters = m
	s.dialer = net.Dialer{
		Timeout: limits.DialTimeout.Std(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     limits.TCPUserTimeout.Std(),
			Interval: limits.TCPUserTimeout.Std() / 3,
			Count:    3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, limits.TCPUserTimeout.Std())
		},
	}
	s.initTransport(&s.retryable, limits, limits.IdleConnTimeout)
	s.initTransport(&s.nonRetryable, limits, min(nonRetryableIdle, limits.IdleConnTimeout))
	s.initTransport(&s.noReuse, limits, limits.IdleConnTimeout)
	// Together the transports keep no more idle connections than the limit;
	// otherwise the entry VMs would hold more connections than a backend server
	// accepts.
	s.retryable.MaxIdleConnsPerHost = (limits.MaxIdleConns + 1) / 2
	s.nonRetryable.MaxIdleConnsPerHost = max(1, limits.MaxIdleConns/2)
	s.noReuse.DisableKeepAlives = true
}

func (s *sender) initTransport(t *http.Transport, limits Limits, idle tackclock.Duration) {
	t.DialContext = s.dial
	t.DisableCompression = true
	t.MaxIdleConns = 0
	t.IdleConnTimeout = idle.Std()
	t.MaxResponseHeaderBytes = int64(limits.HeaderBytes)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
}

// dial opens a connection to a backend server.
func (s *sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := s.dialer.DialContext(ctx, network, address)
	if err != nil {
		s.meters.dialFailures.Inc(1)
		return nil, err
	}
	s.meters.opened.Inc(1)
	return newBackendConn(conn), nil
}

// transport returns the transport for the next dispatch of a call.
func (s *sender) transport(c *call) *http.Transport {
	switch {
	case c.tries > 1:
		return &s.noReuse
	case c.idempotent():
		return &s.retryable
	}
	return &s.nonRetryable
}

// closeIdle closes all idle connections after one did not respond, since each
// of them might be dead too and cost a request its timeout. It does so at most
// once per closeIdleInterval, so that a single backend server that hangs
// doesn't keep closing the connections to all others.
func (s *sender) closeIdle(now tackclock.Time) {
	last := s.idleClosed.Load()
	if now.Sub(tackclock.Time(last)) < closeIdleInterval || !s.idleClosed.CompareAndSwap(last, int64(now)) {
		return
	}
	s.close()
}

func (s *sender) close() {
	s.retryable.CloseIdleConnections()
	s.nonRetryable.CloseIdleConnections()
}
