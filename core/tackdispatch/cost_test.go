package tackdispatch

import (
	"fmt"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
)

// crowd is a pool of workers that start what they are told to and never end anything,
// without the checks of a world.
type crowd struct {
	now     tackclock.Time
	d       *Dispatcher
	jobs    tackjob.Table
	reports []*Report
}

func newCrowd(workers int) *crowd {
	c := &crowd{now: 1_000_000, d: New(Config{})}
	c.d.Reset(c.now, 1, Inherited{Jobs: &c.jobs})
	for n := range workers {
		c.reports = append(c.reports, &Report{
			Worker: WorkerID(fmt.Sprintf("i-%d", n)), VM: tackid.VM(fmt.Sprintf("m-%d", n)), Service: "names-api",
			Labels: []string{"a", fmt.Sprintf("r-%d", n/12)}, Capacity: tackroom.Resources{MilliCores: 16_000, MemoryMB: 32_768},
		})
	}
	return c
}

func (c *crowd) submit(n int, steps ...tackjob.Step) {
	spec := tackjob.Spec{ID: job(n), Queue: testQueue.QueueKey, Steps: steps}
	j := &tackjob.Job{Spec: spec, Service: "names-api", Attempts: 2, Stretch: 1.6, Objective: tackclock.Hour}
	c.d.Accepted(c.now, c.jobs.Accept(j, 1, c.now))
}

// round has every worker send one heartbeat, within the interval of busy workers. It
// returns the mean number of examined objects for a heartbeat, and how many items were
// started.
func (c *crowd) round() (examined float64, started int) {
	const tick = 25
	before := c.d.Examined()
	for i, r := range c.reports {
		if i%max(1, len(c.reports)*tick/int(defaultRetryBusy)) == 0 {
			c.now = c.now.Add(tick)
			c.d.Tick(c.now)
		}
		r.Sequence++
		o, _, _ := c.d.Heartbeat(c.now, r)
		started += len(o.Start)
		for _, s := range o.Start {
			r.Running = append(r.Running, Running{Item: s.Item, Run: s.Run, Percent: 1})
		}
	}
	return float64(c.d.Examined()-before) / float64(len(c.reports)), started
}

// assertFlat fails the test if the value at the large size is over twice that at the
// small one.
func assertFlat(t *testing.T, what string, small, large float64) {
	t.Helper()
	t.Logf("%s: %.2f and %.2f", what, small, large)
	if large > 2*max(small, 1) {
		t.Errorf("%s: %.2f at the large size for %.2f at the small one", what, large, small)
	}
}

// Guards against heartbeats whose cost grows with the number of workers in the pool and
// with its queue: a fleet of twice the size would cost its leader four times as much.
func TestHeartbeatCostBound(t *testing.T) {
	const small, large = 349, 6000
	long := func(count int, cores float64) tackjob.Step { return batch(count, cores, tackclock.Hour) }
	for _, test := range []struct {
		name string
		fill func(c *crowd, workers int)
	}{
		{"idle workers", func(*crowd, int) {}},
		{"full workers, and as many jobs that wait", func(c *crowd, workers int) {
			for n := range 2 * workers {
				c.submit(n, long(8, 2))
			}
		}},
		{"workers with room too small for the jobs that wait", func(c *crowd, workers int) {
			for n := range workers {
				c.submit(n, long(1, 13))
			}
			for n := range workers {
				c.submit(workers+n, long(4, 5))
			}
		}},
		{"idle workers beside some that do", func(c *crowd, workers int) {
			for n := range workers / 8 {
				c.submit(n, long(4, 1))
			}
		}},
		{"gangs that wait", func(c *crowd, workers int) {
			for n := range workers {
				c.submit(n, long(8, 2))
			}
			gang := long(8, 4)
			gang.Gang = true
			for n := range workers / 4 {
				c.submit(workers+n, gang)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var examined [2]float64
			for i, workers := range []int{small, large} {
				c := newCrowd(workers)
				test.fill(c, workers)
				for range 3 {
					c.round()
				}
				examined[i], _ = c.round()
			}
			assertFlat(t, "examined for a heartbeat", examined[0], examined[1])
		})
	}
}

// Guards against requests whose cost grows with the number of open jobs.
func TestAdmissionCostBound(t *testing.T) {
	examined := func(jobs int) float64 {
		c := newCrowd(4)
		c.round()
		for n := range jobs {
			c.submit(n, batch(8, 2, tackclock.Second))
		}
		spec := &tackjob.Spec{ID: job(jobs), Queue: testQueue.QueueKey, Steps: []tackjob.Step{batch(8, 2, tackclock.Second)}}
		before := c.d.Examined()
		c.d.Admit(c.now, &testQueue, spec, "")
		c.d.UnstartedJobs(testQueue.QueueKey)
		return float64(c.d.Examined() - before)
	}
	assertFlat(t, "examined for a request", examined(100), examined(10_000))
}

// assertSums fails the test if the totals of a pool, which are updated with each change,
// differ from those of its workers.
func assertSums(t failer, d *Dispatcher, now tackclock.Time) {
	t.Helper()
	for _, p := range d.pools {
		var want totals
		for at, w := range p.workers {
			if w.index != at {
				t.Fatalf("worker %s is at index %d, and has index %d", w.id, at, w.index)
			}
			want.add(&w.countedTotals)
			if !w.draining && w.countedTotals.capacity != w.capacity {
				t.Fatalf("worker %s is counted with %v of %v", w.id, w.countedTotals.capacity, w.capacity)
			}
			if x := w.freePosition; !x.indexed || p.free.bySize[x.size][x.at] != w {
				t.Fatalf("worker %s is not at its position in the index of free cores", w.id)
			}
		}
		if want != p.totals {
			t.Fatalf("the pool's totals are %+v, those of its workers %+v", p.totals, want)
		}
	}
	var work outstandingWork
	for _, o := range d.jobs {
		if o.isBatch() {
			work.adjust(owner{service: o.Service, workspace: o.Workspace}, o.workLeft())
		}
	}
	for service, left := range d.outstanding.services {
		if work.services[service] != left {
			t.Fatalf("%s has %d outstanding work, its jobs %d", service, left, work.services[service])
		}
	}
	for queue, n := range d.unstarted {
		for _, o := range d.jobs {
			if o.Queue == queue && !o.started {
				n--
			}
		}
		if n != 0 {
			t.Fatalf("the count of unstarted jobs of %v is off by %d", queue, n)
		}
	}
}
