package tackvm

import (
	"context"
	"strings"
	"sync"
	"time"

	"auburntack/core/tackburn"
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tackstate"
	"auburntack/io/tackhttp"
	"auburntack/io/tacksettings"
)

// burnInterval is how often this VM adds its request counts to the replicated
// service-level counts.
const burnInterval = time.Minute

// meter counts requests until the counts are added to the replicated service-level
// counts.
type meter struct {
	clock *tackclock.Clock

	mu             sync.Mutex
	counted        tackburn.Meter
	settings       tackburn.Settings
	inWave         map[tackid.Service]bool
	pending        *tackburn.Sample // proposed but not yet acknowledged
	sequence       uint64
	warnedRevision tackid.Revision
}

// Count records a finished request.
func (m *meter) Count(r tackhttp.Result) {
	if r.CallerGone {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	labels := m.settings.LabelsAt(m.clock.Now(), r.Service)
	m.counted.Count(tackburn.Request{
		Service: r.Service,
		Team:    r.Team,
		Outcome: m.outcome(r),
		Latency: r.Latency,
	}, labels...)
}

// outcome classifies a request. A failure is attributed to maintenance while a wave is
// running on the pool of the service.
func (m *meter) outcome(r tackhttp.Result) tackburn.Outcome {
	o := tackburn.OutcomeGood
	switch {
	case r.Outcome == tackledger.OutcomeUnknown:
		o = tackburn.OutcomeLost
	case r.Outcome == tackledger.OutcomeDidNotRun:
		o = tackburn.OutcomeRefused
	case r.Late || m.settings.IsLate(r.Service, r.Latency):
		o = tackburn.OutcomeLate
	}
	if o != tackburn.OutcomeGood && m.inWave[r.Service] {
		return tackburn.OutcomeWave
	}
	return o
}

// current returns the settings by which requests are counted.
func (m *meter) current() tackburn.Settings {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settings
}

// unanswered returns the sample that was proposed and not acknowledged, or nil.
func (m *meter) unanswered() *tackburn.Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pending
}

// takeSample returns a sample of the counts since the last one, or nil if there are
// none. If all is set, it includes counts that could wait.
func (m *meter) takeSample(self tackid.Peer, all bool) *tackburn.Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	take := m.counted.Take
	if all {
		take = m.counted.TakeAll
	}
	m.sequence = max(m.sequence+1, uint64(m.clock.Now()))
	if sample, some := take(self, m.sequence); some {
		m.pending = &sample
	}
	return m.pending
}

// acknowledge records that the sample returned by takeSample has been applied.
func (m *meter) acknowledge() {
	m.mu.Lock()
	m.pending = nil
	m.mu.Unlock()
}

// serveBurn adds the counts of this VM to the replicated counts once a minute.
func (v *VM) serveBurn(ctx context.Context) error {
	ticker := time.NewTicker(burnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			v.flushBurn(ctx, false)
		}
	}
}

// flushBurn proposes the counts, including those that could wait if all is set. If no
// answer arrives, the same sample is proposed again the next time; its sequence number
// keeps it from being counted twice.
func (v *VM) flushBurn(ctx context.Context, all bool) {
	if v.proposeBurn(ctx, v.meter.unanswered()) {
		v.proposeBurn(ctx, v.meter.takeSample(v.cfg.VM.ID, all))
	}
}

// proposeBurn proposes a sample and reports whether none is left unacknowledged.
func (v *VM) proposeBurn(ctx context.Context, sample *tackburn.Sample) bool {
	if sample == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proposalResendInterval*3/4)
	defer cancel()
	if _, err := v.propose(ctx, tackstate.Proposal{Burn: sample}); err != nil {
		v.log.WithError(err).Warn("service-level counts not recorded yet")
		return false
	}
	v.meter.acknowledge()
	return true
}

// refreshMeter updates the meter's settings and its set of services whose pool has a
// running wave. The caller must hold the lock on the state.
func (v *VM) refreshMeter() {
	settings := v.burnSettings()
	inWave := make(map[tackid.Service]bool)
	for _, w := range v.state.Fleet.Waves() {
		if w.Status != tackfleet.WaveRunning {
			continue
		}
		for _, s := range v.state.Fleet.ServicesOn(w.Pool) {
			inWave[s.ID] = true
		}
	}
	v.meter.mu.Lock()
	v.meter.settings, v.meter.inWave = settings, inWave
	v.meter.mu.Unlock()
}

// burnSettings returns the settings from the settings file, overridden by the replicated
// configuration. An invalid value is logged once and ignored.
func (v *VM) burnSettings() tackburn.Settings {
	s := tackburn.Settings{Default: v.cfg.Burn.Objective, Labels: burnLabels(v.cfg.Burn.Windows)}
	for _, c := range v.state.Fleet.Settings() {
		if !strings.HasPrefix(c.Key, "burn.") {
			continue
		}
		err := s.Set(c.Key, c.Value)
		if err != nil && c.Revision > v.meter.warnedRevision {
			v.meter.warnedRevision = c.Revision
			v.log.WithError(err).Warn("ignoring an invalid service-level setting; set it again")
		}
	}
	return s
}

// burnLabels returns the windows of the settings file. Times of day are relative to
// midnight UTC; a window that ends before it starts ends the next day.
func burnLabels(windows []tacksettings.Window) []tackburn.LabelWindow {
	var list []tackburn.LabelWindow
	for _, w := range windows {
		from := tackclock.Duration(w.From.After(-1))
		to := tackclock.Duration(w.To.After(-1))
		if to <= from {
			to += tackclock.Day
		}
		list = append(list, tackburn.LabelWindow{Label: tackburn.Label(w.Label), Service: w.Service, From: from, To: to})
	}
	return list
}
