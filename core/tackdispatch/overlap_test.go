package tackdispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
)

type (
	// overlap is a model of callers whose queues' bursts overlap on one pool: short jobs
	// of small items and long ones of large items, together twice what the pool can run.
	// Refused callers retry when they are told to.
	overlap struct {
		w       *world
		draw    *rand.Rand
		pool    int // workers
		jobs    map[tackjob.ID]*offered
		refused []*offered // were refused
		open    []*offered // were accepted, and are not done
		// retries counts the attempts of callers that had been refused, and refusedAgain
		// those that were refused again.
		retries, refusedAgain int
	}

	// offered is a job that a caller submits until it is accepted.
	offered struct {
		spec       *tackjob.Spec
		tries      int
		at         tackclock.Time // of the next try
		acceptedAt tackclock.Time
		doneAt     tackclock.Time
	}
)

func newOverlap(t failer, workers int, seed uint64) *overlap {
	o := &overlap{w: newWorld(t, workers), draw: rand.New(rand.NewPCG(seed, 0)), pool: workers, jobs: make(map[tackjob.ID]*offered)}
	o.w.run(500)
	return o
}

// arrive submits the jobs of one step of the world: load times what the pool can run
// meanwhile, half of it small items and half large ones.
func (o *overlap) arrive(load float64) {
	const small, large = 8 * 0.8 * 3.2, 2 * 8 * 1.3 * 6.9 // core-seconds of a job
	asked := load * float64(o.pool*16) * 0.025
	for range o.count(asked / 2 / small) {
		o.offer(batch(8, 3.2, 800))
	}
	for range o.count(asked / 2 / large) {
		o.offer(batch(8, 6.9, 1300), batch(8, 6.9, 1300, 0))
	}
}

// count draws a number of jobs with the given mean.
func (o *overlap) count(mean float64) int {
	n := int(mean)
	if o.draw.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (o *overlap) offer(steps ...tackjob.Step) {
	id := job(len(o.jobs) + 1)
	x := &offered{spec: &tackjob.Spec{ID: id, Queue: testQueue.QueueKey, Text: textOf(id), Steps: steps}}
	o.jobs[id] = x
	o.try(x)
}

func (o *overlap) try(x *offered) {
	x.tries++
	if x.tries > 1 {
		o.retries++
	}
	a := o.w.d.Admit(o.w.now, &testQueue, x.spec, "")
	if a.Accepted {
		x.acceptedAt = o.w.now
		o.open = append(o.open, x)
		o.w.submit(x.spec.ID, x.spec.Steps...)
		return
	}
	if x.tries > 1 {
		o.refusedAgain++
	}
	x.at = o.w.now.Add(a.RetryAfter)
	o.refused = append(o.refused, x)
}

// run advances time under a load; refused callers retry when they are due.
func (o *overlap) run(d tackclock.Duration, load float64) {
	for until := o.w.now.Add(d); o.w.now < until; {
		o.arrive(load)
		due := o.refused
		o.refused = nil
		for _, x := range due {
			if x.at > o.w.now {
				o.refused = append(o.refused, x)
				continue
			}
			o.try(x)
		}
		o.w.step()
		o.open = slices.DeleteFunc(o.open, func(x *offered) bool {
			done := o.w.phase(x.spec.ID) == tackjob.Complete
			if done {
				x.doneAt = o.w.now
			}
			return done
		})
	}
}

// busy returns the part of the pool's cores that are in use, in percent.
func (o *overlap) busy() int {
	var used tackroom.Resources
	for _, m := range o.w.workers {
		for _, r := range m.runs {
			used = used.Plus(r.step.Resources)
		}
	}
	return used.MilliCores * 100 / (o.pool * 16_000)
}

// burst runs eight seconds of a load and returns the part of the cores that were in use
// after the first two, in percent. Then no jobs are added until all are done, or for a
// minute.
func (o *overlap) burst(load float64) int {
	const looks = 24
	o.run(2*tackclock.Second, load)
	busy := 0
	for range looks {
		o.run(250, load)
		busy += o.busy()
	}
	for until := o.w.now.Add(tackclock.Minute); o.w.now < until && len(o.open)+len(o.refused) > 0; {
		o.run(tackclock.Second, 0)
	}
	return busy / looks
}

// eachOverlap runs a test for pools of two sizes, the given loads and some seeds.
func eachOverlap(t *testing.T, loads []float64, test func(t *testing.T, o *overlap, load float64)) {
	for _, load := range loads {
		for _, workers := range []int{12, 32} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("load %.0f, %d workers, seed %d", load, workers, seed), func(t *testing.T) {
					test(t, newOverlap(t, workers, seed), load)
				})
			}
		}
	}
}

// Load pattern: bursts of several queues overlap on one pool. For eight seconds they
// submit several times what it can run, and refused callers retry when they are told to.
// The test guards against jobs that are accepted and late, against a pool that does less
// the more is asked of it, and against refusals after the load.
func TestOverlappingBursts(t *testing.T) {
	eachOverlap(t, []float64{2, 4}, func(t *testing.T, o *overlap, load float64) {
		o.w.d.cfg.AdmitPercent = 100 // no VMs arrive from other pools
		busy := o.burst(load)
		o.assertServed(t)
		if busy < 75 { // two large items leave a seventh of a worker free
			t.Errorf("%d %% of the cores are in use while twice as much waits", busy)
		}
	})
}

// Load pattern: the same. The test guards against callers that are told a time at which
// most of them are refused again, because all were told the same.
func TestRetryTimesHold(t *testing.T) {
	eachOverlap(t, []float64{2, 4}, func(t *testing.T, o *overlap, load float64) {
		o.burst(load)
		if o.refusedAgain*2 > o.retries {
			t.Errorf("%d of %d callers that retried when told to were refused again", o.refusedAgain, o.retries)
		}
	})
}

// assertServed fails the test unless all jobs were accepted in the end, all accepted ones
// are done, and nine of ten are in time.
func (o *overlap) assertServed(t *testing.T) {
	t.Helper()
	late := 0
	for _, x := range o.jobs {
		switch allowed := testQueue.Stretch*float64(x.spec.CriticalPath()) + float64(testQueue.Objective); {
		case x.acceptedAt == 0:
			t.Errorf("%s is refused %d times, the last time after the load", x.spec.ID, x.tries)
		case x.doneAt == 0:
			t.Errorf("%s was accepted and is not done", x.spec.ID)
		case float64(x.doneAt.Sub(x.acceptedAt)) > allowed:
			late++
		}
	}
	if late*10 > len(o.jobs) {
		t.Errorf("%d of %d jobs are late", late, len(o.jobs))
	}
}
