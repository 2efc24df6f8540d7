package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"auburntack/io/tackstandin"
)

const (
	faultsEach = 20
	faultMost  = 4 * time.Second
)

// faults breaks one daemon at a time, in an order that the seed gives.
type faults struct {
	*site
	rand *rand.Rand
}

// strike breaks a daemon in some way and mends it again.
func (f *faults) strike(b *testing.B) string {
	d := f.daemons[f.rand.IntN(len(f.daemons))]
	away := time.Duration(f.rand.Int64N(int64(faultMost)))
	kinds := []string{"kill", "freeze", "cut", "cut one way", "stop"}
	kind := kinds[f.rand.IntN(len(kinds))]
	switch kind {
	case "kill":
		d.Kill()
		time.Sleep(away)
		must(b, d.Start(startLimit))
	case "freeze":
		must(b, d.Signal(syscall.SIGSTOP))
		time.Sleep(away)
		must(b, d.Signal(syscall.SIGCONT))
	case "cut", "cut one way":
		f.wires.Cut(d, kind == "cut")
		time.Sleep(away)
		f.wires.Heal()
	case "stop":
		d.Stop()
		time.Sleep(away)
		must(b, d.Start(startLimit))
	}
	return fmt.Sprintf("%s %s for %v", kind, d.ID, away)
}

// operator counts a setting up and reads it, through any daemon.
type operator struct {
	*site
	accepted atomic.Int64
	stale    atomic.Int64
	reads    atomic.Int64
}

// write counts up until stop. A command is sent with the same id until it is
// accepted, so that no count is left out.
func (o *operator) write(stop <-chan struct{}) {
	for n := int64(1); ; n++ {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			reply, err := o.daemons[i%len(o.daemons)].Do(fmt.Sprintf("set config count %d", n), fmt.Sprintf("count-%d", n))
			if err == nil && reply.Accepted {
				break
			}
		}
		o.accepted.Store(n)
	}
}

// read asks d again and again, and counts the answers that claim to be the
// newest and miss what had been accepted before the question.
func (o *operator) read(d *tackstandin.Daemon, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		before := o.accepted.Load()
		value, confirmed := valueOn(d, "count")
		if !confirmed {
			continue
		}
		o.reads.Add(1)
		if n, _ := strconv.ParseInt(value, 10, 64); n < before {
			o.stale.Add(1)
		}
	}
}

// BenchmarkRandomFaults breaks daemons one after the other under load and
// reports what was promised and did not hold; each figure but the counts must
// be 0. It is a benchmark because it takes minutes: -benchtime 5x takes five
// seeds.
func BenchmarkRandomFaults(b *testing.B) {
	var doubled, mixed, falsely, stale, sent, answered, reads int64
	for seed := range b.N {
		s := newSite(b, 6)
		f := faults{site: s, rand: rand.New(rand.NewPCG(uint64(seed), 1))}
		o := operator{site: s}
		callers := s.startCallers(8)
		stop := make(chan struct{})
		var running sync.WaitGroup
		running.Go(func() { o.write(stop) })
		for _, d := range s.daemons {
			running.Go(func() { o.read(d, stop) })
		}
		for range faultsEach {
			b.Log(seed, f.strike(b))
			time.Sleep(time.Duration(f.rand.Int64N(int64(time.Second))))
		}
		s.leader(b)
		close(stop)
		running.Wait()
		counts := callers.Stop()
		for _, body := range counts.DidNotRun {
			if s.tally.OfBody(body) > 0 {
				falsely++
				b.Log("said did_not_run and ran:", body)
			}
		}
		doubled += int64(s.tally.DoubledKeys())
		mixed += int64(counts.Mixed)
		stale += o.stale.Load()
		reads += o.reads.Load()
		sent += int64(counts.Sent)
		answered += int64(counts.Answered)
	}
	b.ReportMetric(float64(doubled), "doubled_keys")
	b.ReportMetric(float64(mixed), "mixed_answers")
	b.ReportMetric(float64(falsely), "false_did_not_run")
	b.ReportMetric(float64(stale), "stale_reads")
	b.ReportMetric(float64(reads), "confirmed_reads")
	b.ReportMetric(float64(sent), "requests")
	b.ReportMetric(float64(answered), "answered")
}
