package tackcontrol

import (
	"github.com/rcrowley/go-metrics"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackwork"
)

// sampleSize is the number of values that a histogram samples.
const sampleSize = 1028

// meters are the metrics of a control VM. docs/METRICS.md describes them.
type meters struct {
	accepted   metrics.Counter
	refused    metrics.Counter
	unsure     metrics.Counter
	noKey      metrics.Counter
	heartbeats metrics.Counter
	unanswered metrics.Counter
	starts     metrics.Counter
	stops      metrics.Counter
	ends       metrics.Counter
	runsLost   metrics.Counter
	endedLate  metrics.Counter
	runBeside  metrics.Counter
	lost       metrics.Counter
	returned   metrics.Counter
	suspected  metrics.Counter
	excused    metrics.Counter
	held       metrics.Counter
	givenUp    metrics.Counter
	hits       metrics.Counter
	misses     metrics.Counter
	confined   metrics.Counter
	exposed    metrics.Counter
	canaries   metrics.Counter
	moves      metrics.Counter
	upkeeps    metrics.Counter
	leading    metrics.Gauge
	// voters is the number of voters, currentVoters that of those that hold the log and respond.
	voters, currentVoters metrics.Gauge

	parkAfter metrics.Gauge
	reserve   metrics.Gauge
	jobs      metrics.Gauge
	examined  metrics.Gauge
	decided   metrics.Histogram
	committed metrics.Histogram
	leaseGap  metrics.Histogram

	tickInterval metrics.Histogram

	promised        metrics.Counter
	promiseKept     metrics.Counter
	promiseBroken   metrics.Counter
	promisesExpired metrics.Counter

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
		unanswered: counter("worker_heartbeats_without_lease"),
		starts:     counter("runs_ordered"),
		stops:      counter("runs_stopped"),
		ends:       counter("run_ends_logged"),
		runsLost:   counter("runs_lost"),
		endedLate:  counter("runs_ended_late"),
		runBeside:  counter("runs_beside_another"),
		lost:       counter("workers_lost"),
		returned:   counter("workers_returned"),
		suspected:  counter("items_suspected"),
		excused:    counter("crashes_excused"),
		held:       counter("steps_held_by_cap"),
		givenUp:    counter("items_given_up"),
		hits:       counter("forecast_hits"),
		misses:     counter("forecast_misses"),
		confined:   counter("queues_confined"),
		exposed:    counter("workers_exposed"),
		canaries:   counter("canaries_survived"),
		moves:      counter("vm_moves"),
		upkeeps:    counter("vm_upkeeps"),
		leading:    gauge("control_leads"),
		voters:     gauge("control_voters"),

		currentVoters: gauge("control_voters_current"),

		parkAfter: gauge("vm_rest_after_ms"),
		reserve:   gauge("vm_reserve_millicores"),
		jobs:      gauge("jobs_known"),
		examined:  gauge("dispatch_looked"),
		decided:   metrics.GetOrRegisterHistogram("job_request_ms", r, sample()),
		committed: metrics.GetOrRegisterHistogram("log_commit_ms", r, sample()),
		leaseGap:  metrics.GetOrRegisterHistogram("leader_lease_gap_ms", r, sample()),

		tickInterval: metrics.GetOrRegisterHistogram("control_tick_ms", r, sample()),

		promised:        counter("returns_promised"),
		promiseKept:     counter("promises_kept"),
		promiseBroken:   counter("promises_broken"),
		promisesExpired: counter("promises_expired"),

		relayWaiting: gauge("relay_waiting"),
		relayShed:    counter("relay_shed"),
		relayGivenUp: counter("relay_given_up"),
		relayed:      metrics.GetOrRegisterHistogram("relay_ms", r, sample()),
	}
}

// countEvent counts the dispatch decisions that have a metric.
func (m *meters) countEvent(e *tackdispatch.Event) {
	switch e.Kind {
	case tackdispatch.EventLost:
		m.lost.Inc(1)
	case tackdispatch.EventReturned:
		m.returned.Inc(1)
	case tackdispatch.EventRunLost:
		m.runsLost.Inc(1)
	case tackdispatch.EventEndedLate:
		m.endedLate.Inc(1)
	case tackdispatch.EventOrphaned:
		if e.Other.Run != 0 {
			m.runBeside.Inc(1)
		}
	case tackdispatch.EventItemSuspected:
		m.suspected.Inc(1)
	case tackdispatch.EventCrashExcused:
		m.excused.Inc(1)
	case tackdispatch.EventItemsHeld:
		m.held.Inc(1)
	case tackdispatch.EventItemGivenUp:
		m.givenUp.Inc(1)
	case tackdispatch.EventForecastHit:
		m.hits.Inc(1)
	case tackdispatch.EventForecastMiss:
		m.misses.Inc(1)
	case tackdispatch.EventQueueConfined:
		m.confined.Inc(1)
	case tackdispatch.EventWorkerExposed:
		m.exposed.Inc(1)
	case tackdispatch.EventCanarySurvived:
		m.canaries.Inc(1)
	case tackdispatch.EventPromised:
		m.promised.Inc(1)
	case tackdispatch.EventPromiseKept:
		m.promiseKept.Inc(1)
	case tackdispatch.EventPromiseBroken:
		m.promiseBroken.Inc(1)
	case tackdispatch.EventPromisesExpired:
		m.promisesExpired.Inc(int64(e.Beside))
	}
}

// countAnswer counts a caller's request by its result.
func (m *meters) countAnswer(r *tackwork.Request, a *tackwork.Answer, took tackclock.Duration) {
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
