package tackhttp

import "github.com/rcrowley/go-metrics"

// sampleSize is the number of values from which a histogram is computed.
const sampleSize = 1028

// meters holds the metrics of the caller port, which are documented in
// docs/metrics/caller.md.
type meters struct {
	registry metrics.Registry

	requests      metrics.Counter
	answered      metrics.Counter
	refused       metrics.Counter
	unknown       metrics.Counter
	queued        metrics.Counter
	dispatches    metrics.Counter
	retries       metrics.Counter
	cut           metrics.Counter
	callersGone   metrics.Counter
	slowCallers   metrics.Counter
	silent        metrics.Counter
	unsolicited   metrics.Counter
	secondSends   metrics.Counter
	opened        metrics.Counter
	dialFailures  metrics.Counter
	repeats       metrics.Counter
	setAside      metrics.Counter
	finishRetries metrics.Counter
	finishLost    metrics.Counter
	latency       metrics.Histogram
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return meters{
		registry:      r,
		requests:      counter("caller_requests"),
		answered:      counter("caller_answered"),
		refused:       counter("caller_refused"),
		unknown:       counter("caller_unknown"),
		queued:        counter("caller_queued"),
		dispatches:    counter("dispatches"),
		retries:       counter("dispatch_retries"),
		cut:           counter("answers_cut"),
		callersGone:   counter("callers_gone"),
		slowCallers:   counter("callers_slow"),
		silent:        counter("connections_silent"),
		unsolicited:   counter("connections_unsolicited"),
		secondSends:   counter("second_sends_prevented"),
		opened:        counter("connections_opened"),
		dialFailures:  counter("connections_failed"),
		repeats:       counter("key_repeats"),
		setAside:      counter("jobs_set_aside"),
		finishRetries: counter("key_finish_retries"),
		finishLost:    counter("key_finish_lost"),
		latency:       metrics.GetOrRegisterHistogram("caller_request_ms", r, metrics.NewUniformSample(sampleSize)),
	}
}

// failed counts a failure by its outcome and code.
func (m *meters) failed(f *failure) {
	if f.didNotRun {
		m.refused.Inc(1)
	} else {
		m.unknown.Inc(1)
	}
	metrics.GetOrRegisterCounter("caller_failed_"+string(f.code), m.registry).Inc(1)
}
