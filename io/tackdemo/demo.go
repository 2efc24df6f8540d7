// Package tackdemo demonstrates the whole system in one process on loopback:
// three data centres, stand-in backend servers, callers and a platform, a
// maintenance wave over a pool, and a VM that is lost during the wave.
package tackdemo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/io/tacksettings"
	"auburntack/io/tackstandin"
	"auburntack/io/tackvm"

	"github.com/sirupsen/logrus"
)

const (
	poolVMs      = 12
	minAvailable = 8
	vmsPerRack   = 2
	callers      = 12
	callerPause  = 15 * time.Millisecond
	rebootTime   = 600 * time.Millisecond
	requestTime  = 8 * time.Millisecond
	outageTime   = 4 * time.Second
	waveTimeout  = 45 * time.Second
	startTimeout = 15 * time.Second
	service      = "names-api"
	pool         = "front"
)

var dataCentres = [...]string{"rennes-a", "quimper", "brest"}

type (
	// demo is the running system with its measurements.
	demo struct {
		out     io.Writer
		began   time.Time
		folder  string
		daemons []*tackstandin.Daemon // addresses and clients only: the daemons run in this process
		ended   []chan error
		stop    context.CancelFunc

		servers  []*tackstandin.BackendServer
		platform tackstandin.Platform
		balancer tackstandin.Balancer
		callers  tackstandin.Callers
		tally    tackstandin.Tally
		monitor  monitor
		measures measures
	}

	// BrokenError reports the invariants that were violated.
	BrokenError struct {
		Invariants []string
	}
)

func (e *BrokenError) Error() string {
	return fmt.Sprintf("tackdemo: %d invariants broke: %q", len(e.Invariants), e.Invariants)
}

// Run runs the demonstration, writes its progress and its measurements to w, and
// returns a *BrokenError if an invariant was violated.
func Run(ctx context.Context, w io.Writer) error {
	folder, err := os.MkdirTemp("", "auburntack-demo")
	if err != nil {
		return fmt.Errorf("tackdemo: %w", err)
	}
	defer os.RemoveAll(folder)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d := &demo{out: w, began: time.Now(), folder: folder, stop: stop}
	d.platform.Reboot = rebootTime
	if err := d.platform.Start(); err != nil {
		return fmt.Errorf("tackdemo: %w", err)
	}
	defer d.platform.Stop()
	defer d.stopAll()
	if err := d.startSystem(ctx); err != nil {
		return err
	}
	if err := d.startServers(); err != nil {
		return err
	}
	if err := d.runScenario(ctx); err != nil {
		return err
	}
	return d.report()
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  ", time.Since(d.began).Seconds())
	fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *demo) startSystem(ctx context.Context) error {
	ports, err := tackstandin.FreePorts(3 * len(dataCentres))
	if err != nil {
		return err
	}
	for i, dc := range dataCentres {
		d.daemons = append(d.daemons, &tackstandin.Daemon{
			ID:         dc + "-1",
			DataCentre: dc,
			Replica:    true,
			Caller:     ports[3*i],
			Operator:   ports[3*i+1],
			Peer:       ports[3*i+2],
		})
	}
	logger := logrus.New()
	logger.SetOutput(d.out)
	logger.SetLevel(logrus.ErrorLevel)
	for _, daemon := range d.daemons {
		d.run(ctx, d.settingsOf(daemon), logger)
	}
	for _, daemon := range d.daemons {
		d.balancer.Entries = append(d.balancer.Entries, tackstandin.Entry{Caller: daemon.Caller, Operator: daemon.Operator})
	}
	d.balancer.Start()
	return d.await(ctx, startTimeout, "every VM of the system to be ready", func() bool {
		return len(d.balancer.Ready()) == len(d.daemons)
	})
}

func (d *demo) run(ctx context.Context, cfg tacksettings.Settings, logger *logrus.Logger) {
	ended := make(chan error, 1)
	d.ended = append(d.ended, ended)
	go func() { ended <- tackvm.Run(ctx, cfg, logger) }()
}

func (d *demo) settingsOf(daemon *tackstandin.Daemon) tacksettings.Settings {
	cfg := tacksettings.Default()
	cfg.VM.ID = tackid.Peer(daemon.ID)
	cfg.VM.DataCentre = tackid.DataCentre(daemon.DataCentre)
	cfg.Listen = tacksettings.Listen{Caller: daemon.Caller, Operator: daemon.Operator, Peer: daemon.Peer}
	cfg.State = tacksettings.State{Folder: filepath.Join(d.folder, daemon.ID), Replica: true}
	cfg.Platform.Address = d.platform.Address()
	cfg.Wave.Settle = 500 * tackclock.Millisecond
	cfg.Wave.Reboot = tackclock.Second
	cfg.Wave.Prefer = tacksettings.PreferTime
	cfg.Stop.Linger = 300 * tackclock.Millisecond
	for _, other := range d.daemons {
		if other != daemon {
			cfg.Peers = append(cfg.Peers, tacksettings.Peer{
				ID:         tackid.Peer(other.ID),
				DataCentre: tackid.DataCentre(other.DataCentre),
				Address:    other.Peer,
				Replica:    true,
			})
		}
	}
	return cfg
}

func (d *demo) startServers() error {
	commands := []string{"create pool " + pool, "create pool spare", "create service " + service + " on pool " + pool}
	for i := range poolVMs {
		daemon := d.daemons[i%len(d.daemons)]
		b := &tackstandin.BackendServer{
			Name:       fmt.Sprintf("%s-%d", service, i+1),
			VM:         fmt.Sprintf("w-%d", i+1),
			Service:    service,
			DataCentre: daemon.DataCentre,
			Rack:       fmt.Sprintf("%s-r%d", daemon.DataCentre, i/len(d.daemons)/vmsPerRack+1),
			Slots:      8,
			Operators:  []string{daemon.Operator},
			Delay:      requestTime,
			Tally:      &d.tally,
		}
		d.platform.Add(b)
		d.servers = append(d.servers, b)
		if err := b.Start(); err != nil {
			return err
		}
		commands = append(commands, "add vm "+b.VM+" to pool "+pool)
	}
	for _, c := range commands {
		if _, err := d.do(c); err != nil {
			return err
		}
	}
	d.printf("%d data centres, %d backend servers, %d callers", len(dataCentres), poolVMs, callers)
	return nil
}

// do sends a command to the first daemon and returns an error unless it is
// accepted.
func (d *demo) do(command string) (tackstandin.Reply, error) {
	reply, err := d.daemons[0].Do(command, "")
	if err == nil && !reply.Accepted {
		err = fmt.Errorf("tackdemo: %s: %s: %s", command, reply.Error.Code, reply.Error.Message)
	}
	return reply, err
}

// count returns the number of rows of a query, or -1 if it is not answered.
func (d *demo) count(query string) int {
	reply, err := d.daemons[1].Ask(query)
	if err != nil || reply.Rows == nil {
		return -1
	}
	return len(reply.Rows)
}

func (d *demo) await(ctx context.Context, timeout time.Duration, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("tackdemo: timed out waiting for %s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// stopAll shuts the daemons down gracefully, then stops the balancer and the
// backend servers.
func (d *demo) stopAll() {
	d.stop()
	for _, ended := range d.ended {
		<-ended
	}
	if len(d.balancer.Entries) > 0 {
		d.balancer.Stop()
	}
	var stopped sync.WaitGroup
	for _, b := range d.servers {
		stopped.Add(1)
		go func() {
			defer stopped.Done()
			b.Stop()
		}()
	}
	stopped.Wait()
}
