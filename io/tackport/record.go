package tackport

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburntack/core/tackintake"
)

// Reasons are parts of the names of counters.
const (
	reasonConnections = "connections"
	reasonMemory      = "memory"
	reasonTooLarge    = "too_large"
	reasonSlowBody    = "slow_body"
	reasonSlowAnswer  = "slow_answer"
)

// register registers the gauges of what clients hold.
func (s *Ports) register() {
	gauge := func(name string, value func(tackintake.Share) int64) {
		metrics.NewRegisteredFunctionalGauge(name, s.registry, func() int64 { return value(s.budget.Used()) })
	}
	gauge("clients_connections", func(u tackintake.Share) int64 { return int64(u.Connections) })
	gauge("clients_bytes", func(u tackintake.Share) int64 { return u.Bytes })
	limit := s.budget.Limit
	gauge("clients_connections_limit", func(tackintake.Share) int64 { return int64(limit.Connections) })
	gauge("clients_bytes_limit", func(tackintake.Share) int64 { return limit.Bytes })
}

// refuse records that a client was refused.
func (p *Port) refuse(c *conn, reason string, held int64) {
	p.record(c, "client refused", reason, held)
}

// record counts and logs what happened to a client. c may be nil.
func (p *Port) record(c *conn, what, reason string, held int64) {
	if p == nil {
		return
	}
	p.count("refused_" + reason)
	if line, ok := p.line(c); ok {
		line.WithField("reason", reason).WithField("bytes", held).Warn(what)
	}
}

// recordEviction records that a client had to make room.
func (p *Port) recordEviction(c *conn, e tackintake.Eviction) {
	p.count("evicted_" + e.Stage.String())
	if line, ok := p.line(c); ok {
		line.WithField("stage", e.Stage.String()).WithField("bytes", e.Bytes).WithField("age_ms", int64(e.Age)).
			Warn("client made room for others")
	}
}

func (p *Port) count(what string) {
	metrics.GetOrRegisterCounter("clients_"+p.name+"_"+what, p.owner.registry).Inc(1)
}

// line returns the start of a log line unless there were too many.
func (p *Port) line(c *conn) (*logrus.Entry, bool) {
	write, leftOut := p.owner.lines.Allow(p.owner.clock.Now())
	if !write {
		return nil, false
	}
	line := p.owner.log.WithField("port", p.name)
	if c != nil {
		line = line.WithField("remote", c.RemoteAddr().String())
	}
	if leftOut > 0 {
		line = line.WithField("left_out", leftOut)
	}
	return line, true
}
