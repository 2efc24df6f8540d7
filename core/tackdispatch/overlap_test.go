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
	// overlap is callers whose queues' turns come at the same time on one pool: short jobs
	// of small items and long ones of large items, together twice what the pool does.
	// Callers that are refused come back when they are told to.
	overlap struct {
		w    *world
		draw *rand.Rand
		pool int // workers
		jobs map[tackjob.ID]*offered
		back []*offered // that were refused
		open []*offered // that were accepted, and are not done
		// cameBack counts the tries of callers who had been refused, refusedAgain those
		// that were in vain.
		cameBack, refusedAgain int
	}

	// offered is a job that a caller hands in until it is accepted.
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

// arrive hands in what comes in one step of the world: load times what the pool does
// meanwhile, one half of it small items, one half large ones.
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

// count draws how many come where so many do on the mean.
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
		o.cameBack++
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
	x.at = o.w.now.Add(a.ComeBack)
	o.back = append(o.back, x)
}

// run moves time on with a load; refused callers come back if they are due.
func (o *overlap) run(d tackclock.Duration, load float64) {
	for until := o.w.now.Add(d); o.w.now < until; {
		o.arrive(load)
		due := o.back
		o.back = nil
		for _, x := range due {
			if x.at > o.w.now {
				o.back = append(o.back, x)
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

// busy is the part of the pool's cores that run something, in percent.
func (o *overlap) busy() int {
	var used tackroom.Room
	for _, m := range o.w.workers {
		for _, r := range m.runs {
			used = used.Plus(r.step.Room)
		}
	}
	return used.MilliCores * 100 / (o.pool * 16_000)
}

// turn plays eight seconds of a load, and returns what part of the cores ran something
// after the first two, in percent. Then nothing new comes until all is done, or for a
// minute.
func (o *overlap) turn(load float64) int {
	const looks = 24
	o.run(2*tackclock.Second, load)
	busy := 0
	for range looks {
		o.run(250, load)
		busy += o.busy()
	}
	for until := o.w.now.Add(tackclock.Minute); o.w.now < until && len(o.open)+len(o.back) > 0; {
		o.run(tackclock.Second, 0)
	}
	return busy / looks
}

// eachOverlap runs a test for pools of two sizes, loads and some seeds.
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

// Load pattern: turns of several queues overlap on one pool, of which they ask several
// times what it does for eight seconds, and callers come back when they are told to. It
// guards against jobs that are accepted and late, against a pool that does less the more is
// asked of it, and against callers who are turned away after the load.
func TestOverlappingTurns(t *testing.T) {
	eachOverlap(t, []float64{2, 4}, func(t *testing.T, o *overlap, load float64) {
		o.w.d.cfg.AdmitPercent = 100 // no VMs come from other pools
		busy := o.turn(load)
		o.assertServed(t)
		if busy < 75 { // two large items leave a seventh of a worker free
			t.Errorf("%d %% of the cores run something while twice as much waits", busy)
		}
	})
}

// Load pattern: the same. It guards against callers who are told a time at which most of
// them are refused again, since all the others were told the same.
func TestComeBackTimesHold(t *testing.T) {
	eachOverlap(t, []float64{2, 4}, func(t *testing.T, o *overlap, load float64) {
		o.turn(load)
		if o.refusedAgain*2 > o.cameBack {
			t.Errorf("%d of %d callers who came back when told to were refused again", o.refusedAgain, o.cameBack)
		}
	})
}

// assertServed fails the test unless all jobs were accepted in the end, all that were are
// done, and nine of ten in time.
func (o *overlap) assertServed(t *testing.T) {
	t.Helper()
	late := 0
	for _, x := range o.jobs {
		switch allowed := testQueue.Stretch*float64(x.spec.Chain()) + float64(testQueue.Objective); {
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
