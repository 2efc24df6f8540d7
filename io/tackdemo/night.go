package tackdemo

import (
	"context"
	"fmt"
	"time"
)

const (
	watchEvery = 50 * time.Millisecond
	// leavingLimit is how long a leaving backend server may still get work.
	leavingLimit = 2 * time.Second
)

type (
	// watch looks at the pool from outside, apart from the planner's own
	// counting, until it is stopped.
	watch struct {
		stop     chan struct{}
		done     chan struct{}
		looks    int
		outMost  int
		outSum   int
		breaches int
		pools    int // VMs seen in other than one pool
	}

	// measures is what the demo ends with.
	measures struct {
		rollOut       time.Duration
		moves         int
		lostCut       int
		plannedCut    int
		stale         int
		changes       int
		changeSlowest time.Duration
		leavingWork   int
	}
)

// night runs a wave over the pool under load, loses a VM in its middle, then
// moves a VM to another pool.
func (d *demo) night(ctx context.Context) error {
	err := d.await(ctx, startLimit, "every backend server to serve", func() bool {
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
	d.startWatch()
	if err := d.wave(ctx); err != nil {
		return err
	}
	if err := d.move(ctx); err != nil {
		return err
	}
	d.stopWatch()
	d.callers.Stop()
	return nil
}

func (d *demo) wave(ctx context.Context) error {
	for _, c := range []string{"create wave night over pool " + pool + " action reboot", "start wave night"} {
		if _, err := d.do(c); err != nil {
			return err
		}
	}
	d.say("wave night started over %d VMs, budget %d", poolVMs, minAvailable)
	began := time.Now()
	lost := false
	told := 0
	err := d.await(ctx, waveLimit, "the wave to finish", func() bool {
		done := d.rebooted()
		if done/3 > told/3 {
			d.say("%d of %d VMs rebooted, %d requests answered", done, poolVMs, d.callers.Counts().Answered)
			told = done
		}
		d.configure()
		if !lost && done >= poolVMs/3 {
			lost = true
			d.lose()
		}
		return d.count("show waves where state = finished") == 1
	})
	d.measures.rollOut = time.Since(began)
	d.say("wave ended after %.1f s", d.measures.rollOut.Seconds())
	return err
}

func (d *demo) rebooted() int {
	n := 0
	for _, b := range d.servers {
		n += min(d.platform.Times(b.VM), 1)
	}
	return n
}

// lose ends a backend server that the wave has not reached, without a word,
// and starts it again later.
func (d *demo) lose() {
	for _, b := range d.servers {
		if d.platform.Times(b.VM) > 0 || d.count("show vms where vm = "+b.VM+" and state = in_service") != 1 {
			continue
		}
		d.measures.plannedCut = d.tally.Cut()
		b.Stop()
		d.measures.lostCut = d.tally.Cut() - d.measures.plannedCut
		d.say("VM %s lost, %d requests cut", b.VM, d.measures.lostCut)
		time.AfterFunc(lostFor, func() {
			if b.Start() == nil {
				d.say("VM %s is back", b.VM)
			}
		})
		return
	}
}

// configure changes a setting and looks at every VM of the system right after
// the answer.
func (d *demo) configure() {
	d.measures.changes++
	value := fmt.Sprintf("v%d", d.measures.changes)
	began := time.Now()
	reply, err := d.do("set config greeting " + value)
	if err != nil {
		d.measures.stale++
		return
	}
	d.measures.changeSlowest = max(d.measures.changeSlowest, time.Since(began))
	for _, daemon := range d.daemons {
		got, err := daemon.Ask("show config where key = greeting")
		excused := false
		for _, p := range reply.NotInForce {
			excused = excused || p == daemon.ID
		}
		if !excused && (err != nil || len(got.Rows) != 1 || fmt.Sprint(got.Rows[0][1]) != value) {
			d.measures.stale++
		}
	}
}

// move gives a VM to another pool and counts the work that it still gets once
// two seconds have passed.
func (d *demo) move(ctx context.Context) error {
	b := d.servers[len(d.servers)-1]
	if _, err := d.do("move vm " + b.VM + " to pool spare"); err != nil {
		return err
	}
	d.measures.moves++
	err := d.await(ctx, startLimit, "the move", func() bool {
		return d.count("show vms where vm = "+b.VM+" and pool = spare and state = in_service") == 1
	})
	if err != nil {
		return err
	}
	time.Sleep(leavingLimit)
	before := b.Served()
	time.Sleep(leavingLimit / 2)
	d.measures.leavingWork = b.Served() - before
	d.say("VM %s moved to pool spare", b.VM)
	return nil
}

func (d *demo) startWatch() {
	d.watch.stop = make(chan struct{})
	d.watch.done = make(chan struct{})
	go func() {
		defer close(d.watch.done)
		for {
			select {
			case <-d.watch.stop:
				return
			case <-time.After(watchEvery):
				d.look()
			}
		}
	}()
}

func (d *demo) stopWatch() {
	close(d.watch.stop)
	<-d.watch.done
}

// look counts, by the backend servers themselves, how many VMs can take work.
func (d *demo) look() {
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
	w := &d.watch
	w.looks++
	w.outMost = max(w.outMost, out)
	w.outSum += out
	if available < minAvailable {
		w.breaches++
	}
	for _, n := range pools {
		if n != 1 {
			w.pools++
		}
	}
}
