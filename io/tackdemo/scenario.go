package tackdemo

import (
	"context"
	"fmt"
	"time"
)

const (
	sampleInterval = 50 * time.Millisecond
	// leavingGrace is how long a leaving backend server may still receive
	// requests.
	leavingGrace = 2 * time.Second
)

type (
	// monitor samples the availability of the pool, independently of the
	// planner's own counts.
	monitor struct {
		stop       chan struct{}
		done       chan struct{}
		samples    int
		maxOut     int // VMs out of service at the same time
		totalOut   int // sum over all samples
		breaches   int // samples below the budget
		poolErrors int // VMs not in exactly one pool, summed over all samples
	}

	// measures holds the results of the demonstration that are not sampled by monitor.
	measures struct {
		rollOut       time.Duration
		moves         int
		lostCut       int // requests cut by the loss of a VM
		plannedCut    int // requests cut before that
		stale         int // failed changes, and daemons not up to date after the answer
		changes       int
		slowestChange time.Duration
		leavingWork   int // requests to a moved VM after leavingGrace
	}
)

// runScenario runs a wave over the pool under load, during which it stops a VM,
// then moves a VM to another pool.
func (d *demo) runScenario(ctx context.Context) error {
	err := d.await(ctx, startTimeout, "every backend server to serve", func() bool {
		return d.count("show vms where health = serving") == poolVMs
	})
	if err != nil {
		return err
	}
	if _, err := d.do(fmt.Sprintf("set budget %s min_available %d", service, minAvailable)); err != nil {
		return err
	}
	d.callers.Balancer = &d.balancer
	d.callers.Service = service
	d.callers.Number = callers
	d.callers.Pause = callerPause
	d.callers.Start()
	d.startMonitor()
	if err := d.wave(ctx); err != nil {
		return err
	}
	if err := d.move(ctx); err != nil {
		return err
	}
	d.stopMonitor()
	d.callers.Stop()
	return nil
}

func (d *demo) wave(ctx context.Context) error {
	for _, c := range []string{"create wave night over pool " + pool + " action reboot", "start wave night"} {
		if _, err := d.do(c); err != nil {
			return err
		}
	}
	d.printf("wave night started over %d VMs, budget %d", poolVMs, minAvailable)
	start := time.Now()
	lost := false
	reported := 0
	err := d.await(ctx, waveTimeout, "the wave to finish", func() bool {
		done := d.rebooted()
		if done/3 > reported/3 {
			d.printf("%d of %d VMs rebooted, %d requests answered", done, poolVMs, d.callers.Counts().Answered)
			reported = done
		}
		d.configure()
		if !lost && done >= poolVMs/3 {
			lost = true
			d.loseVM()
		}
		return d.count("show waves where state = finished") == 1
	})
	d.measures.rollOut = time.Since(start)
	d.printf("wave ended after %.1f s", d.measures.rollOut.Seconds())
	return err
}

func (d *demo) rebooted() int {
	n := 0
	for _, b := range d.servers {
		n += min(d.platform.Restarts(b.VM), 1)
	}
	return n
}

// loseVM stops a backend server that the wave has not reached, without an
// announcement, and restarts it later.
func (d *demo) loseVM() {
	for _, b := range d.servers {
		if d.platform.Restarts(b.VM) > 0 || d.count("show vms where vm = "+b.VM+" and state = in_service") != 1 {
			continue
		}
		d.measures.plannedCut = d.tally.Cut()
		b.Stop()
		d.measures.lostCut = d.tally.Cut() - d.measures.plannedCut
		d.printf("VM %s lost, %d requests cut", b.VM, d.measures.lostCut)
		time.AfterFunc(outageTime, func() {
			if b.Start() == nil {
				d.printf("VM %s is back", b.VM)
			}
		})
		return
	}
}

// configure changes a setting and, right after the answer, checks that it is in
// force on every daemon that the answer does not exclude.
func (d *demo) configure() {
	d.measures.changes++
	value := fmt.Sprintf("v%d", d.measures.changes)
	start := time.Now()
	reply, err := d.do("set config greeting " + value)
	if err != nil {
		d.measures.stale++
		return
	}
	d.measures.slowestChange = max(d.measures.slowestChange, time.Since(start))
	for _, daemon := range d.daemons {
		got, err := daemon.Ask("show config where key = greeting")
		excluded := false
		for _, p := range reply.NotInForce {
			excluded = excluded || p == daemon.ID
		}
		if !excluded && (err != nil || len(got.Rows) != 1 || fmt.Sprint(got.Rows[0][1]) != value) {
			d.measures.stale++
		}
	}
}

// move moves a VM to another pool and counts the requests that it still receives
// after leavingGrace.
func (d *demo) move(ctx context.Context) error {
	b := d.servers[len(d.servers)-1]
	if _, err := d.do("move vm " + b.VM + " to pool spare"); err != nil {
		return err
	}
	d.measures.moves++
	err := d.await(ctx, startTimeout, "the move", func() bool {
		return d.count("show vms where vm = "+b.VM+" and pool = spare and state = in_service") == 1
	})
	if err != nil {
		return err
	}
	time.Sleep(leavingGrace)
	before := b.Served()
	time.Sleep(leavingGrace / 2)
	d.measures.leavingWork = b.Served() - before
	d.printf("VM %s moved to pool spare", b.VM)
	return nil
}

func (d *demo) startMonitor() {
	d.monitor.stop = make(chan struct{})
	d.monitor.done = make(chan struct{})
	go func() {
		defer close(d.monitor.done)
		for {
			select {
			case <-d.monitor.stop:
				return
			case <-time.After(sampleInterval):
				d.sample()
			}
		}
	}()
}

func (d *demo) stopMonitor() {
	close(d.monitor.stop)
	<-d.monitor.done
}

// sample counts the VMs that can receive requests, by the state of the stand-in
// backend servers instead of the health that the system reports.
func (d *demo) sample() {
	reply, err := d.daemons[2].Ask("show vms")
	if err != nil {
		return
	}
	up := make(map[string]bool)
	for _, b := range d.servers {
		up[b.VM] = b.Up()
	}
	pools := make(map[string]int)
	out, available := 0, 0
	for _, row := range reply.Rows {
		vm, state := fmt.Sprint(row[0]), fmt.Sprint(row[2])
		pools[vm]++
		inService := state == "in_service" || state == "settling"
		if !inService {
			out++
		}
		if inService && up[vm] {
			available++
		}
	}
	m := &d.monitor
	m.samples++
	m.maxOut = max(m.maxOut, out)
	m.totalOut += out
	if available < minAvailable {
		m.breaches++
	}
	for _, n := range pools {
		if n != 1 {
			m.poolErrors++
		}
	}
}
