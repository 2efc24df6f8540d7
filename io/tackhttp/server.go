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
	"auburntack/io/tackport"
)

// writeMargin is added to maxTimeout for the server's write timeout, which
// limits the total time of an answer and is only a last resort.
const writeMargin = tackclock.Hour

type (
	// Server serves a Handler on the caller port.
	Server struct {
		h    *Handler
		http http.Server
	}

	// callerKey is the context key of the caller's connection.
	callerKey struct{}
)

// NewServer returns a Server for h. Call Shutdown to stop it.
func NewServer(h *Handler) *Server {
	s := &Server{h: h}
	s.http = http.Server{
		Handler:           h.port.Handler(h),
		ReadHeaderTimeout: h.limits.HeaderTimeout.Std(),
		IdleTimeout:       h.limits.CallerIdleTimeout.Std(),
		WriteTimeout:      (maxTimeout + writeMargin).Std(),
		MaxHeaderBytes:    h.limits.HeaderBytes,
		ErrorLog:          log.New(errorLogWriter{h.log}, "", 0),
		ConnState:         connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(tackport.ConnContext(ctx, c), callerKey{}, c)
		},
	}
	return s
}

// Listen listens on an address for callers.
func (s *Server) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     15 * time.Second,
			Interval: 5 * time.Second,
			Count:    3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			if err := s.h.port.SetBuffers(raw); err != nil {
				return err
			}
			return setUserTimeout(raw, s.h.limits.CallerWriteTimeout.Std())
		},
	}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("tackhttp: listen for callers: %w", err)
	}
	return l, nil
}

// Serve accepts connections from l until Shutdown is called, and then returns
// nil.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(callerListener{s.h.port.Bound(l)})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("tackhttp: serve callers: %w", err)
}

// Shutdown stops accepting connections and waits for the requests in progress.
// Those that are not done when ctx ends are aborted.
func (s *Server) Shutdown(ctx context.Context) error {
	s.h.DisableKeepAlives()
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.http.Close()
		err = fmt.Errorf("tackhttp: stop serving callers: %w", err)
	}
	return errors.Join(err, s.h.Shutdown(ctx))
}

// errorLogWriter writes the error log of the HTTP server. The messages may
// contain data that a caller sent, so they are quoted and logged at debug
// level, which is off by default.
type errorLogWriter struct {
	log logrus.FieldLogger
}

// Write implements io.Writer.
func (q errorLogWriter) Write(p []byte) (int, error) {
	q.log.Debugf("caller port: %q", strings.TrimSpace(string(p)))
	return len(p), nil
}
