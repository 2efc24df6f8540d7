package tackvm

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"auburntack/core/tackclock"
	"auburntack/io/tackhttp"
	"auburntack/io/tackloop"
	"auburntack/io/tackoperator"
	"auburntack/io/tackport"
	"auburntack/io/tackprofile"
	"auburntack/io/tacksettings"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
)

const (
	// startTimeout is how long a VM that has state on its disk waits for a leader before
	// it starts to serve without a lease.
	startTimeout = 5 * tackclock.Second
	// transferTimeout is how long a stopping leader waits for its successor.
	transferTimeout = 2 * tackclock.Second
	// failedStopTimeout is how long a VM that cannot continue lets requests finish.
	failedStopTimeout = 2 * tackclock.Second
	readyPollInterval = 50 * time.Millisecond
)

// listeners holds the open ports. They are opened before anything else, so that a port
// in use is reported at once.
type listeners struct {
	caller   net.Listener
	operator net.Listener
}

// Run creates a VM and serves until ctx is done, then stops it gracefully. The error is
// a *StoppedError if the VM could not start or continue.
func Run(ctx context.Context, cfg tacksettings.Settings, logger *logrus.Logger) error {
	tackport.ThisMachine().LimitMemory()
	v, err := New(cfg, new(tackclock.Clock), logger)
	if err != nil {
		return err
	}
	return v.Run(ctx)
}

// Run serves until ctx is done and then stops gracefully: the VM reports not ready,
// finishes the requests in flight, transfers leadership, and closes the disk.
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
	operator := tackoperator.NewServer(v, v.operatorPort, v.registry, v.log)
	if v.cfg.Log.Profiling {
		operator.Handler = tackprofile.Handler(operator.Handler)
	}
	supervisor := v.supervise(ports, caller, operator)
	ended := supervisor.ServeBackground(serving)
	go v.watchReady(serving)
	select {
	case err := <-ended:
		v.stopFailed(caller)
		return v.endError(err)
	case <-v.failedSignal:
		v.stopFailed(caller)
	case <-ctx.Done():
		v.stopGracefully(caller)
	}
	stop()
	err = v.endError(<-ended)
	v.log.Info("stopped")
	return err
}

func (v *VM) listen(ctx context.Context, caller *tackhttp.Server) (listeners, error) {
	var ports listeners
	err := checkPeerPort(v.cfg.Listen.Peer)
	if err != nil {
		return ports, err
	}
	if ports.caller, err = caller.Listen(ctx, v.cfg.Listen.Caller); err != nil {
		return ports, portError("caller", err)
	}
	if ports.operator, err = v.operatorPort.Listen(ctx, v.cfg.Listen.Operator); err != nil {
		ports.caller.Close()
		return ports, portError("operator", err)
	}
	return ports, nil
}

// checkPeerPort checks that the peer port can be opened. The links would otherwise retry
// for ever without the VM taking part in the system.
func checkPeerPort(address string) error {
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
	add := func(name string, run func(context.Context) error) {
		supervisor.Add(tackloop.Service{Name: name, Run: run, Log: v.log})
	}
	add("log", v.serveLoop)
	add("links", v.links.Serve)
	add("caller", serveCallers(caller, ports.caller))
	add("operator", serveHTTP(operator, ports.operator))
	add("burn", v.serveBurn)
	return supervisor
}

// serveLoop runs the loop. Its state cannot be rebuilt without a restart, so a failure
// or panic ends the whole process. A panic with mu held ends it at once.
func (v *VM) serveLoop(ctx context.Context) error {
	defer func() {
		if r := recover(); r != nil {
			v.log.WithField("stack", string(debug.Stack())).Errorf("panic: %v", r)
			v.fail(&StoppedError{What: "run the log", Advice: "report this as a bug", Err: fmt.Errorf("panic: %v", r)})
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
		close(v.failedSignal)
	}
}

func (v *VM) endError(err error) error {
	if stopped := v.failed.Load(); stopped != nil {
		return stopped
	}
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return fmt.Errorf("vm: %w", err)
}

// serveCallers serves the callers' port. Only Shutdown ends it, which lets requests
// finish; it ignores the end of ctx.
func serveCallers(server *tackhttp.Server, port net.Listener) func(context.Context) error {
	return func(context.Context) error {
		if err := server.Serve(port); err != nil {
			return err
		}
		return suture.ErrDoNotRestart
	}
}

// serveHTTP serves on a listener that stays open when the server is restarted.
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

// watchReady marks the VM ready once it holds a lease and knows the backend servers, or,
// after startTimeout, if it has any applied state.
func (v *VM) watchReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	began := v.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if v.mayServe(began) {
			v.serving.Store(true)
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
	return s.Applied > 0 && v.clock.Now().Sub(began) > startTimeout
}

func (v *VM) directoryCaughtUp() bool {
	v.directoryMu.Lock()
	defer v.directoryMu.Unlock()
	return v.directory.CaughtUp()
}

// stopFailed stops a VM that cannot continue. It waits only for requests in flight, up
// to failedStopTimeout.
func (v *VM) stopFailed(caller *tackhttp.Server) {
	v.ready.Store(false)
	v.serving.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), failedStopTimeout.Std())
	defer cancel()
	if err := caller.Shutdown(ctx); err != nil {
		v.log.WithError(err).Warn("requests in flight were aborted")
	}
}

// stopGracefully stops a VM without interrupting service: the load balancer sees that it
// is not ready and has time to react, accepted requests are answered, another replica
// becomes leader, and the leader learns that this VM has no work left.
func (v *VM) stopGracefully(caller *tackhttp.Server) {
	v.ready.Store(false)
	v.log.Info("stopping")
	limit := v.cfg.Stop.Deadline.Std()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	v.caller.DisableKeepAlives()
	tackloop.Sleep(ctx, v.cfg.Stop.Linger.Std())
	if err := caller.Shutdown(ctx); err != nil {
		v.fail(&StoppedError{
			What:   "finish the requests in flight",
			Advice: "raise stop.deadline_ms if requests take longer",
			Err:    err,
		})
	}
	v.flushBurn(ctx, true)
	v.reportStopped(ctx)
	v.transferLeadership(ctx)
}

func (v *VM) reportStopped(ctx context.Context) {
	v.reconciler.stopped.Store(true)
	v.loop.Post(ctx, func() {
		for _, m := range v.status.Load().Members {
			if m.Peer != v.cfg.VM.ID {
				v.send(m.Peer, kindReport, v.report())
			}
		}
	})
}

// transferLeadership transfers leadership to another replica, so that commands need not
// wait for an election.
func (v *VM) transferLeadership(ctx context.Context) {
	if len(v.status.Load().Members) == 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout.Std())
	defer cancel()
	for v.status.Load().Leader == v.cfg.VM.ID {
		v.loop.Post(ctx, func() { v.node.Transfer(v.clock.Now(), "") })
		tackloop.Sleep(ctx, readyPollInterval)
		if ctx.Err() != nil {
			return
		}
	}
	tackloop.Sleep(ctx, 2*readyPollInterval)
}
