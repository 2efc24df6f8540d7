package tackcontrol

import (
	"github.com/rcrowley/go-metrics"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackwork"
)

// sampleSize is how many recent values a histogram is computed from.
const sampleSize = 1028

// meters are the metrics of a control VM, as docs/METRICS.md lists them.
type meters struct {
	accepted   metrics.Counter
	refused    metrics.Counter
	unsure     metrics.Counter
	noKey      metrics.Counter
	heartbeats metrics.Counter
	starts     metrics.Counter
	stops      metrics.Counter
	ends       metrics.Counter
	runsLost   metrics.Counter
	lost       metrics.Counter
	suspected  metrics.Counter
	held       metrics.Counter
	givenUp    metrics.Counter
	moves      metrics.Counter
	upkeeps    metrics.Counter
	leads      metrics.Gauge
	restAfter  metrics.Gauge
	reserve    metrics.Gauge
	jobs       metrics.Gauge
	looked     metrics.Gauge
	decided    metrics.Histogram
	committed  metrics.Histogram

	relayWaiting metrics.Gauge
	relayShed    metrics.Counter
	relayGivenUp metrics.Counter
	relayed      metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(name, r) }
	sample := func() metrics.Sample { return metrics.NewUniformSample(sampleSize) }
	return &meters{
		accepted:   counter("jobs_accepted"),
		refused:    counter("jobs_refused"),
		unsure:     counter("job_requests_unsure"),
		noKey:      counter("job_requests_without_key"),
		heartbeats: counter("worker_heartbeats"),
		starts:     counter("runs_ordered"),
		stops:      counter("runs_stopped"),
		ends:       counter("run_ends_logged"),
		runsLost:   counter("runs_lost"),
		lost:       counter("workers_lost"),
		suspected:  counter("items_suspected"),
		held:       counter("steps_held_by_cap"),
		givenUp:    counter("items_given_up"),
		moves:      counter("vm_moves"),
		upkeeps:    counter("vm_upkeeps"),
		leads:      gauge("control_leads"),
		restAfter:  gauge("vm_rest_after_ms"),
		reserve:    gauge("vm_reserve_millicores"),
		jobs:       gauge("jobs_known"),
		looked:     gauge("dispatch_looked"),
		decided:    metrics.GetOrRegisterHistogram("job_request_ms", r, sample()),
		committed:  metrics.GetOrRegisterHistogram("log_commit_ms", r, sample()),

		relayWaiting: gauge("relay_waiting"),
		relayShed:    counter("relay_shed"),
		relayGivenUp: counter("relay_given_up"),
		relayed:      metrics.GetOrRegisterHistogram("relay_ms", r, sample()),
	}
}

// happened counts decisions of dispatch that are looked at over time.
func (m *meters) happened(k tackdispatch.EventKind) {
	switch k {
	case tackdispatch.EventLost:
		m.lost.Inc(1)
	case tackdispatch.EventRunLost:
		m.runsLost.Inc(1)
	case tackdispatch.EventItemSuspected:
		m.suspected.Inc(1)
	case tackdispatch.EventItemsHeld:
		m.held.Inc(1)
	case tackdispatch.EventItemGivenUp:
		m.givenUp.Inc(1)
	}
}

// answered counts what became of a caller's request.
func (m *meters) answered(r *tackwork.Request, a *tackwork.Answer, took tackclock.Duration) {
	m.decided.Update(int64(took))
	switch {
	case a.Verdict == tackwork.Refused:
		m.refused.Inc(1)
	case a.Verdict == tackwork.Unknown || a.Verdict == tackwork.Unavailable:
		m.unsure.Inc(1)
	case a.Verdict == tackwork.NoKey:
		m.noKey.Inc(1)
	case a.Verdict == tackwork.Done && r.Operation == tackwork.Submit:
		m.accepted.Inc(1)
	}
}
