package tackpeer

import (
	"github.com/rcrowley/go-metrics"

	"auburntack/core/tackid"
)

// counters are the metrics of one peer, or the totals of all peers.
type counters struct {
	sentBytes, receivedBytes       metrics.Counter
	sentMessages, receivedMessages metrics.Counter
	dropped, foundSilent           metrics.Counter
	refused, unknownKinds          metrics.Counter
	total                          *counters
}

func newCounters(r metrics.Registry, prefix string, total *counters) *counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(prefix+name, r)
	}
	return &counters{
		sentBytes:        counter("sent_bytes"),
		receivedBytes:    counter("received_bytes"),
		sentMessages:     counter("sent_messages"),
		receivedMessages: counter("received_messages"),
		dropped:          counter("dropped_messages"),
		foundSilent:      counter("found_silent"),
		refused:          counter("refused_connections"),
		unknownKinds:     counter("unknown_kinds"),
		total:            total,
	}
}

// metricPrefix returns the prefix of the names of a peer's metrics.
func metricPrefix(id tackid.Peer) string {
	return "peer_" + string(id) + "_"
}

// unregister unregisters the metrics of a link that was removed.
func (l *Links) unregister(k *link) {
	for _, name := range []string{
		"sent_bytes", "received_bytes", "sent_messages", "received_messages",
		"dropped_messages", "found_silent", "refused_connections", "unknown_kinds",
	} {
		l.cfg.Registry.Unregister(metricPrefix(k.peer.ID) + name)
	}
}

// add adds n to the counter that which selects, in c and in its total.
func (c *counters) add(which func(*counters) metrics.Counter, n int) {
	which(c).Inc(int64(n))
	if c.total != nil {
		which(c.total).Inc(int64(n))
	}
}

func sentBytes(c *counters) metrics.Counter        { return c.sentBytes }
func receivedBytes(c *counters) metrics.Counter    { return c.receivedBytes }
func sentMessages(c *counters) metrics.Counter     { return c.sentMessages }
func receivedMessages(c *counters) metrics.Counter { return c.receivedMessages }
func dropped(c *counters) metrics.Counter          { return c.dropped }
func foundSilent(c *counters) metrics.Counter      { return c.foundSilent }
func refused(c *counters) metrics.Counter          { return c.refused }
func unknownKinds(c *counters) metrics.Counter     { return c.unknownKinds }
