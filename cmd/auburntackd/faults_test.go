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
	faultsPerSeed    = 20
	maxFaultDuration = 4 * time.Second
)

// faults injects faults into one daemon at a time, in an order that depends on
// the seed.
type faults struct {
	*site
	rand *rand.Rand
}

// inject injects a random fault into a random daemon, ends it after a random
// time and describes it.
func (f *faults) inject(b *testing.B) string {
	d := f.daemons[f.rand.IntN(len(f.daemons))]
	duration := time.Duration(f.rand.Int64N(int64(maxFaultDuration)))
	kinds := []string{"kill", "freeze", "cut", "cut one way", "stop"}
	kind := kinds[f.rand.IntN(len(kinds))]
	switch kind {
	case "kill":
		d.Kill()
		time.Sleep(duration)
		must(b, d.Start(waitTimeout))
	case "freeze":
		must(b, d.Pause())
		time.Sleep(duration)
		must(b, d.Signal(syscall.SIGCONT))
	case "cut", "cut one way":
		f.network.Cut(d, kind == "cut")
		time.Sleep(duration)
		f.network.Heal()
	case "stop":
		d.Stop()
		time.Sleep(duration)
		must(b, d.Start(waitTimeout))
	}
	return fmt.Sprintf("%s %s for %v", kind, d.ID, duration)
}

// operator increments a setting and reads it, through all daemons.
type operator struct {
	*site
	accepted atomic.Int64
	stale    atomic.Int64
	reads    atomic.Int64
}

// write increments the setting until stop is closed. It repeats a command with
// the same id until it is accepted, so that no value is skipped.
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

// read queries d until stop is closed, and counts the confirmed answers that
// lack a change accepted before the query.
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

// BenchmarkRandomFaults injects faults into one daemon after the other under
// load and reports violated guarantees. doubled_keys, mixed_answers,
// false_did_not_run and stale_reads must be 0; the other figures are totals. It
// is a benchmark because it takes minutes: -benchtime 5x runs five seeds.
func BenchmarkRandomFaults(b *testing.B) {
	var repeatedKeys, mismatched, falseRefusals, stale, sent, answered, reads int64
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
		for range faultsPerSeed {
			b.Log(seed, f.inject(b))
			time.Sleep(time.Duration(f.rand.Int64N(int64(time.Second))))
		}
		s.leader(b)
		close(stop)
		running.Wait()
		counts := callers.Stop()
		for _, body := range counts.DidNotRun {
			if s.tally.OfBody(body) > 0 {
				falseRefusals++
				b.Log("answered did_not_run but ran:", body)
			}
		}
		repeatedKeys += int64(s.tally.RepeatedKeys())
		mismatched += int64(counts.Mismatched)
		stale += o.stale.Load()
		reads += o.reads.Load()
		sent += int64(counts.Sent)
		answered += int64(counts.Answered)
	}
	b.ReportMetric(float64(repeatedKeys), "doubled_keys")
	b.ReportMetric(float64(mismatched), "mixed_answers")
	b.ReportMetric(float64(falseRefusals), "false_did_not_run")
	b.ReportMetric(float64(stale), "stale_reads")
	b.ReportMetric(float64(reads), "confirmed_reads")
	b.ReportMetric(float64(sent), "requests")
	b.ReportMetric(float64(answered), "answered")
}
