package tackhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"auburntack/core/tackclock"
)

// freshIdle is how long a connection may have been idle to carry a request
// that must not run twice.
const freshIdle = tackclock.Second

// forgetEvery is how often idle connections are given up at most.
const forgetEvery = tackclock.Second

// sender sends requests to backend servers.
type sender struct {
	dialer net.Dialer
	meters *meters

	// often carries requests that may be sent again. Once carries the others:
	// its idle connections are given up sooner, since a request that meets a
	// connection that has gone silent ends with an unknown outcome. Fresh
	// opens a connection for each request, and carries the second tries: what
	// has lost track of one connection has often lost all that were open.
	often, once, fresh http.Transport

	forgot atomic.Int64 // when the idle connections were last given up
}

func (s *sender) init(limits Limits, m *meters) {
	s.meters = m
	s.dialer = net.Dialer{
		Timeout: limits.DialWait.Std(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     limits.UserTimeout.Std(),
			Interval: limits.UserTimeout.Std() / 3,
			Count:    3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, limits.UserTimeout.Std())
		},
	}
	s.prepare(&s.often, limits, limits.IdleWait)
	s.prepare(&s.once, limits, min(freshIdle, limits.IdleWait))
	s.prepare(&s.fresh, limits, limits.IdleWait)
	// Together they keep no more than the limit, or the entry VMs would hold
	// more connections than a backend server accepts.
	s.often.MaxIdleConnsPerHost = (limits.Idle + 1) / 2
	s.once.MaxIdleConnsPerHost = max(1, limits.Idle/2)
	s.fresh.DisableKeepAlives = true
}

func (s *sender) prepare(t *http.Transport, limits Limits, idle tackclock.Duration) {
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

// transport returns the transport for a call.
func (s *sender) transport(c *call) *http.Transport {
	switch {
	case c.tries > 1:
		return &s.fresh
	case c.repeatable():
		return &s.often
	}
	return &s.once
}

// forgetIdle gives up all idle connections after one was found silent. Each of
// them could otherwise cost a request its wait. It does so once a second at
// most: one backend server that hangs must not cost all others their
// connections again and again.
func (s *sender) forgetIdle(now tackclock.Time) {
	last := s.forgot.Load()
	if now.Sub(tackclock.Time(last)) < forgetEvery || !s.forgot.CompareAndSwap(last, int64(now)) {
		return
	}
	s.close()
}

func (s *sender) close() {
	s.often.CloseIdleConnections()
	s.once.CloseIdleConnections()
}
