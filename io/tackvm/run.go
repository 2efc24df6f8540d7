package tackvm

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"auburntack/core/tackclock"
	"auburntack/io/tackhttp"
	"auburntack/io/tackloop"
	"auburntack/io/tackoperator"
	"auburntack/io/tackprofile"
	"auburntack/io/tacksettings"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

const (
	// startLimit is how long a VM that has state from its disk waits for a
	// leader before it serves what it can without a lease.
	startLimit = 5 * tackclock.Second
	// handOverLimit is how long a stopping leader waits for its successor.
	handOverLimit = 2 * tackclock.Second
	// brokenLimit is how long a VM that cannot go on lets requests finish.
	brokenLimit = 2 * tackclock.Second
	readyEvery  = 50 * time.Millisecond
)

// listeners are the ports, taken before anything else so that a port in use
// is told at once.
type listeners struct {
	caller   net.Listener
	operator net.Listener
}

// Run makes a VM and serves until ctx ends, then stops it in order. The error
// is a *StoppedError where the VM could not start or go on.
func Run(ctx context.Context, cfg tacksettings.Settings, logger *logrus.Logger) error {
	v, err := New(cfg, new(tackclock.Clock), logger)
	if err != nil {
		return err
	}
	return v.Run(ctx)
}

// Run serves until ctx ends and then stops in order: not ready first, then
// what runs is finished, leadership handed over, the disk synced and closed.
func (v *VM) Run(ctx context.Context) error {
	if v.disk != nil {
		defer v.disk.Close()
	}
	caller := tackhttp.NewServer(v.caller)
	ports, err := v.listen(ctx, caller)
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	operator := tackoperator.NewServer(v, v.registry, v.log)
	if v.cfg.Log.Profiling {
		operator.Handler = tackprofile.Beside(operator.Handler)
	}
	supervisor := v.supervise(ports, caller, operator)
	ended := supervisor.ServeBackground(serving)
	go v.watchReady(serving)
	select {
	case err := <-ended:
		v.stopBroken(caller)
		return v.whyEnded(err)
	case <-v.broken:
		v.stopBroken(caller)
	case <-ctx.Done():
		v.stopInOrder(caller)
	}
	stop()
	err = v.whyEnded(<-ended)
	v.log.Info("stopped")
	return err
}

func (v *VM) listen(ctx context.Context, caller *tackhttp.Server) (listeners, error) {
	var ports listeners
	err := tryPeerPort(v.cfg.Listen.Peer)
	if err != nil {
		return ports, err
	}
	if ports.caller, err = caller.Listen(ctx, v.cfg.Listen.Caller); err != nil {
		return ports, portError("caller", err)
	}
	if ports.operator, err = net.Listen("tcp", v.cfg.Listen.Operator); err != nil {
		ports.caller.Close()
		return ports, portError("operator", err)
	}
	return ports, nil
}

// tryPeerPort finds out whether the links will be able to listen. They would
// try again for ever, and the VM would take part in nothing meanwhile.
func tryPeerPort(address string) error {
	port, err := net.Listen("tcp", address)
	if err != nil {
		return portError("peer", err)
	}
	return port.Close()
}

func portError(name string, err error) error {
	return &StoppedError{
		What:   "listen on the " + name + " port",
		Advice: "free the port or change listen." + name + " in the settings",
		Err:    err,
	}
}

func (v *VM) supervise(ports listeners, caller *tackhttp.Server, operator *http.Server) *suture.Supervisor {
	supervisor := suture.New(string(v.cfg.VM.ID), suture.Spec{
		EventHook: v.logEvent,
		Timeout:   5 * time.Second,
	})
	supervisor.Add(tackloop.Service{Name: "log", Run: v.serveLoop})
	supervisor.Add(tackloop.Service{Name: "links", Run: v.links.Serve})
	supervisor.Add(tackloop.Service{Name: "caller", Run: serveCallers(caller, ports.caller)})
	supervisor.Add(tackloop.Service{Name: "operator", Run: serveHTTP(operator, ports.operator)})
	supervisor.Add(tackloop.Service{Name: "burn", Run: v.serveBurn})
	return supervisor
}

// serveLoop runs the loop. Its state cannot be rebuilt without a restart, so
// a failure or panic ends the process rather than the loop alone.
func (v *VM) serveLoop(ctx context.Context) error {
	defer func() {
		if r := recover(); r != nil {
			v.fail(&StoppedError{What: "run the log", Advice: "report this as a fault", Err: fmt.Errorf("panic: %v", r)})
		}
	}()
	if err := v.runLoop(ctx); err != nil {
		v.fail(err)
	}
	return suture.ErrDoNotRestart
}

func (v *VM) fail(err error) {
	var stopped *StoppedError
	if !errors.As(err, &stopped) {
		stopped = &StoppedError{What: "run", Advice: "see the log", Err: err}
	}
	if v.failed.CompareAndSwap(nil, stopped) {
		close(v.broken)
	}
}

func (v *VM) whyEnded(err error) error {
	if stopped := v.failed.Load(); stopped != nil {
		return stopped
	}
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("vm: %w", err)
}

// serveCallers serves the callers' port. Shutdown ends it, which lets requests
// finish; the end of ctx does not.
func serveCallers(server *tackhttp.Server, port net.Listener) func(context.Context) error {
	return func(context.Context) error {
		if err := server.Serve(port); err != nil {
			return err
		}
		return suture.ErrDoNotRestart
	}
}

// serveHTTP serves on a port that stays taken when the server is restarted.
func serveHTTP(server *http.Server, port net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(port) }()
		select {
		case err := <-ended:
			if errors.Is(err, http.ErrServerClosed) {
				return suture.ErrDoNotRestart
			}
			return err
		case <-ctx.Done():
			server.Close()
			<-ended
			return ctx.Err()
		}
	}
}

func (v *VM) logEvent(e suture.Event) {
	v.log.WithField("service", e.Map()["service_name"]).Warn(e.String())
}

// watchReady turns the VM ready once it knows what to serve by: it holds a
// lease and knows the backend servers, or it has waited for that in vain and
// goes on by what its disk held.
func (v *VM) watchReady(ctx context.Context) {
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	began := v.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if v.mayServe(began) {
			v.serves.Store(true)
			v.ready.Store(true)
			v.log.WithField("revision", v.status.Load().Applied).Info("ready")
			return
		}
	}
}

func (v *VM) mayServe(began tackclock.Time) bool {
	s := v.status.Load()
	if s.Leased && v.directoryCaughtUp() {
		return true
	}
	return s.Applied > 0 && v.clock.Now().Sub(began) > startLimit
}

func (v *VM) directoryCaughtUp() bool {
	v.directoryMu.Lock()
	defer v.directoryMu.Unlock()
	return v.directory.CaughtUp()
}

// stopBroken ends a VM that cannot go on. Requests under way get a moment to
// finish; nothing else is worth waiting for.
func (v *VM) stopBroken(caller *tackhttp.Server) {
	v.ready.Store(false)
	v.serves.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), brokenLimit.Std())
	defer cancel()
	if err := caller.Shutdown(ctx); err != nil {
		v.log.WithError(err).Warn("requests cut")
	}
}

// stopInOrder ends a VM so that nobody notices: the balancer sees that it is
// not ready and has time to follow, requests that came are answered, another
// replica leads, and the leader knows that nothing is left here.
func (v *VM) stopInOrder(caller *tackhttp.Server) {
	v.ready.Store(false)
	v.log.Info("stopping")
	limit := v.cfg.Stop.Deadline.Std()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	v.caller.Leave()
	tackloop.Sleep(ctx, v.cfg.Stop.Linger.Std())
	if err := caller.Shutdown(ctx); err != nil {
		v.fail(&StoppedError{
			What:   "finish what runs",
			Advice: "raise stop.deadline_ms if requests take longer",
			Err:    err,
		})
	}
	v.flushBurn(ctx, true)
	v.sayStopped(ctx)
	v.handOver(ctx)
}

func (v *VM) sayStopped(ctx context.Context) {
	v.duties.stopped.Store(true)
	v.loop.Post(ctx, func() {
		for _, m := range v.status.Load().Members {
			if m.Peer != v.cfg.VM.ID {
				v.send(m.Peer, kindReport, v.report())
			}
		}
	})
}

// handOver gives leadership to another replica, so that commands do not wait
// for an election.
func (v *VM) handOver(ctx context.Context) {
	if len(v.status.Load().Members) == 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverLimit.Std())
	defer cancel()
	for v.status.Load().Leader == v.cfg.VM.ID {
		v.loop.Post(ctx, func() { v.node.Transfer(v.clock.Now(), "") })
		tackloop.Sleep(ctx, readyEvery)
		if ctx.Err() != nil {
			return
		}
	}
	tackloop.Sleep(ctx, 2*readyEvery)
}
