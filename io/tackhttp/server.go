package tackhttp

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
)

// writeSlack is added to the longest timeout that a caller may ask for. It
// bounds an answer as a whole only where nothing else does.
const writeSlack = tackclock.Hour

type (
	// Server serves a Handler on the caller port.
	Server struct {
		h    *Handler
		http http.Server
	}

	// callerKey is the context key of a caller's connection.
	callerKey struct{}
)

// NewServer returns a Server for h. Close it by Shutdown.
func NewServer(h *Handler) *Server {
	s := &Server{h: h}
	s.http = http.Server{
		Handler:           h,
		ReadHeaderTimeout: h.limits.HeaderWait.Std(),
		IdleTimeout:       h.limits.CallerIdle.Std(),
		WriteTimeout:      (maxTimeout + writeSlack).Std(),
		MaxHeaderBytes:    h.limits.HeaderBytes,
		ErrorLog:          log.New(quoted{h.log}, "", 0),
		ConnState:         connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, c)
		},
	}
	return s
}

// Listen listens on an address of the caller port.
func (s *Server) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     15 * time.Second,
			Interval: 5 * time.Second,
			Count:    3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, s.h.limits.CallerWait.Std())
		},
	}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("tackhttp: listen for callers: %w", err)
	}
	return l, nil
}

// Serve takes connections from l until Shutdown, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(callerListener{l})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("tackhttp: serve callers: %w", err)
}

// Shutdown stops taking connections and waits for the requests under way.
// What still runs when the context ends is cut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.h.Leave()
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.http.Close()
		err = fmt.Errorf("tackhttp: stop serving callers: %w", err)
	}
	return errors.Join(err, s.h.Shutdown(ctx))
}

// quoted writes the HTTP server's own complaints to the log. They may hold
// what a caller sent, so they are escaped and of a level that is off by
// default.
type quoted struct {
	log logrus.FieldLogger
}

// Write implements io.Writer.
func (q quoted) Write(p []byte) (int, error) {
	q.log.Debugf("caller port: %q", strings.TrimSpace(string(p)))
	return len(p), nil
}
