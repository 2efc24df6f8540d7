package tackdispatch

import (
	"fmt"
	"slices"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
	"auburntack/core/tackworkspace"
)

// backlogCrowd is a crowd with a backlog of jobs of one workspace.
type backlogCrowd struct {
	*crowd
}

// newBacklog returns a crowd whose workers have started as much as they have room for, and
// have not listed it.
func newBacklog(cfg Config, workers, jobs int) backlogCrowd {
	b := backlogCrowd{newCrowdOf(cfg, workers, "names-api")}
	b.now = b.d.earlierLeasesEnd
	for n := range jobs {
		spec := tackjob.Spec{ID: job(n), Queue: testQueue.QueueKey, Steps: []tackjob.Step{batch(4, 2, tackclock.Hour)}}
		j := &tackjob.Job{Spec: spec, Service: "names-api", Workspace: "mairies", Attempts: 2, Stretch: 1.6, Objective: tackclock.Hour}
		b.d.Accepted(b.now, b.jobs.Accept(j, 1, b.now))
	}
	b.playRound()
	return b
}

func (b *backlogCrowd) playRound() {
	b.d.GrantsLogged(b.d.Grants(b.now))
	b.round()
	b.d.Events()
}

// setCap sets the workspace's cap.
func (b *backlogCrowd) setCap(cores int) {
	b.d.Rebind(b.now, []tackworkspace.Workspace{{Name: "mairies", Cap: tackroom.Resources{MilliCores: 1000 * cores}}})
	b.d.GrantsLogged(b.d.Grants(b.now))
}

// restrained returns how many waiting items have a restraint.
func (b *backlogCrowd) restrained() int {
	n := 0
	for s := range b.d.pools["names-api"].steps.All() {
		n += len(s.restraints)
	}
	return n
}

// BenchmarkRoundAfterCrashes has every worker of a pool with a backlog send one heartbeat
// in each of the rounds after some of them have crashed at the start of their items, with
// and without a cap that was lowered at that moment.
func BenchmarkRoundAfterCrashes(b *testing.B) {
	const workers, jobs, crashes, rounds = 349, 2500, 100, 6
	for _, test := range []struct {
		name     string
		crashes  int
		capCores int
	}{
		{"no crashes", 0, 0},
		{"crashes", crashes, 0},
		{"crashes and a cap", crashes, 8 * workers},
	} {
		for _, cfg := range []Config{{}, loadControl} {
			b.Run(fmt.Sprintf("%s/on=%t", test.name, cfg.Confine), func(b *testing.B) {
				var examined, restrained float64
				for b.Loop() {
					b.StopTimer()
					c := newBacklog(cfg, workers, jobs)
					for n := range test.crashes {
						c.crash(n)
					}
					if test.capCores > 0 {
						c.setCap(test.capCores)
					}
					before := c.d.Examined()
					b.StartTimer()
					for range rounds {
						c.playRound()
						restrained += float64(c.restrained()) / rounds
					}
					examined += float64(c.d.Examined()-before) / (rounds * workers)
				}
				b.ReportMetric(examined/float64(b.N), "examined/heartbeat")
				b.ReportMetric(restrained/float64(b.N), "restrained")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*rounds*workers), "us/heartbeat")
			})
		}
	}
}

// BenchmarkNextAdviceRequest looks for a call to make while no queue has advice.
func BenchmarkNextAdviceRequest(b *testing.B) {
	for _, jobs := range []int{250, 2500} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			c := newBacklog(Config{}, 4, jobs)
			b.ReportAllocs()
			for b.Loop() {
				if _, wanted := c.d.NextAdviceRequest(c.now); wanted {
					b.Fatal("a call is wanted")
				}
			}
		})
	}
}

// assertRestrained fails the test if the index of a pool's steps with restraints, which is
// updated with each change, differs from what its queue holds, or has another order. Guards
// against items that wait for an isolated start and are not found, or start out of turn.
func assertRestrained(t failer, d *Dispatcher) {
	t.Helper()
	for _, p := range d.pools {
		var want []*openStep
		for s := range p.steps.All() {
			if len(s.restraints) > 0 {
				want = append(want, s)
			}
		}
		if got := slices.Collect(p.restrained.All()); !slices.Equal(got, want) {
			t.Fatalf("the index has %d steps with restraints, the queue %d, or the order differs", len(got), len(want))
		}
	}
}

// assertHeld fails the test if steps that their workspaces' caps held back are passed over
// although the cap lets an item start. Guards against items that wait with room for them.
func assertHeld(t failer, d *Dispatcher, now tackclock.Time) {
	t.Helper()
	for _, p := range d.pools {
		mayStart := p.held.mayStart(now)
		for s := range p.steps.All() {
			if s.partition&partitionHeld != 0 && !mayStart && !s.job.account.CapReached(now, s.Resources) {
				t.Fatalf("%v is passed over, but its cap allows %v: %v", s.key(), s.Resources, s.job.account)
			}
		}
	}
}

// Guards against heartbeats whose cost grows with the number of steps that the cap of their
// workspace holds back while workers have room: with a lowered cap and thousands of waiting
// steps, the leader would have no time for anything else.
func TestHeartbeatCostBoundAtCap(t *testing.T) {
	const workers = 349
	examined := func(jobs, crashes int) float64 {
		c := newBacklog(Config{}, workers, jobs)
		for n := range crashes {
			c.crash(n)
		}
		for n := crashes; n < workers; n++ {
			if n%2 == 0 {
				c.reports[n].Capacity.MilliCores += 8000 // room that the cap leaves unused
			}
		}
		c.setCap(8 * workers)
		for range 2 {
			c.playRound()
		}
		before := c.d.Examined()
		// All at one time, so that at most the first of them reviews the queue.
		for _, r := range c.reports {
			r.Sequence++
			if o, _, _ := c.d.Heartbeat(c.now, r); len(o.Start) > 0 {
				t.Fatal("an item starts although the cap is reached")
			}
		}
		return float64(c.d.Examined()-before) / workers
	}
	for _, crashes := range []int{0, 100} {
		assertFlat(t, fmt.Sprintf("examined for a heartbeat after %d crashes", crashes), examined(800, crashes), examined(8000, crashes))
	}
}
