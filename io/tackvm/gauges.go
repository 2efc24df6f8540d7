package tackvm

import (
	"auburntack/core/tackreplica"

	"github.com/rcrowley/go-metrics"
)

// gauges are the metrics for this VM's part in the replicated log. The zero value is not
// registered and must not be updated.
type gauges struct {
	revision metrics.Gauge
	term     metrics.Gauge
	leads    metrics.Gauge
	leased   metrics.Gauge
	syncs    metrics.Gauge
	written  metrics.Gauge
}

func newGauges(r metrics.Registry) gauges {
	return gauges{
		revision: metrics.GetOrRegisterGauge("replica_revision", r),
		term:     metrics.GetOrRegisterGauge("replica_term", r),
		leads:    metrics.GetOrRegisterGauge("replica_leads", r),
		leased:   metrics.GetOrRegisterGauge("replica_leased", r),
		syncs:    metrics.GetOrRegisterGauge("disk_syncs", r),
		written:  metrics.GetOrRegisterGauge("disk_written_bytes", r),
	}
}

func (v *VM) updateGauges(s *tackreplica.Status) {
	v.gauges.revision.Update(int64(s.Applied))
	v.gauges.term.Update(int64(s.Term))
	v.gauges.leads.Update(oneIf(s.LeaderLease))
	v.gauges.leased.Update(oneIf(s.Leased))
	if v.disk != nil {
		v.gauges.syncs.Update(int64(v.disk.Syncs()))
		v.gauges.written.Update(int64(v.disk.Bytes()))
	}
}

func oneIf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
