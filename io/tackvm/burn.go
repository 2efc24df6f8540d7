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

// burnEvery is how often this VM adds what it counted to the replicated
// account of service levels.
const burnEvery = time.Minute

// meter counts requests until they are added to the replicated account.
type meter struct {
	clock *tackclock.Clock

	mu       sync.Mutex
	counted  tackburn.Meter
	settings tackburn.Settings
	inWave   map[tackid.Service]bool
	pending  *tackburn.Sample // proposed, and no answer came
	sequence uint64
	warned   tackid.Revision
}

// Count counts the end of one request.
func (m *meter) Count(r tackhttp.Result) {
	if r.Gone {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	labels := m.settings.LabelsAt(m.clock.Now(), r.Service)
	m.counted.Count(tackburn.Request{
		Service: r.Service,
		Team:    r.Team,
		Outcome: m.outcome(r),
		Latency: r.Took,
	}, labels...)
}

// outcome tells what came of a request. What goes wrong while a wave has VMs
// of the service's pool out is put down to the wave.
func (m *meter) outcome(r tackhttp.Result) tackburn.Outcome {
	o := tackburn.OutcomeGood
	switch {
	case r.Outcome == tackledger.OutcomeUnknown:
		o = tackburn.OutcomeLost
	case r.Outcome == tackledger.OutcomeDidNotRun:
		o = tackburn.OutcomeRefused
	case r.Late || m.settings.IsLate(r.Service, r.Took):
		o = tackburn.OutcomeLate
	}
	if o != tackburn.OutcomeGood && m.inWave[r.Service] {
		return tackburn.OutcomeWave
	}
	return o
}

// current returns the settings that requests are counted by.
func (m *meter) current() tackburn.Settings {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settings
}

// unanswered returns the sample that was proposed and got no answer, or nil.
func (m *meter) unanswered() *tackburn.Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pending
}

// take returns what was counted since the last sample, or nil.
func (m *meter) take(self tackid.Peer, all bool) *tackburn.Sample {
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

// taken notes that the sample that take returned is in the account.
func (m *meter) taken() {
	m.mu.Lock()
	m.pending = nil
	m.mu.Unlock()
}

// serveBurn adds what this VM counted to the account, once a minute.
func (v *VM) serveBurn(ctx context.Context) error {
	ticker := time.NewTicker(burnEvery)
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

// flushBurn proposes what was counted, with all also what could wait. Where no
// answer comes, the same sample is proposed again the next time; its sequence
// keeps it from counting twice.
func (v *VM) flushBurn(ctx context.Context, all bool) {
	if v.proposeBurn(ctx, v.meter.unanswered()) {
		v.proposeBurn(ctx, v.meter.take(v.cfg.VM.ID, all))
	}
}

// proposeBurn adds a sample to the account and reports whether none is left
// unanswered.
func (v *VM) proposeBurn(ctx context.Context, sample *tackburn.Sample) bool {
	if sample == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, resendEvery*3/4)
	defer cancel()
	if _, err := v.propose(ctx, tackstate.Proposal{Burn: sample}); err != nil {
		v.log.WithError(err).Warn("service-level counts not recorded yet")
		return false
	}
	v.meter.taken()
	return true
}

// refreshMeter takes over the settings of the account and the services whose
// pools a wave is in. The lock on the state is held.
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

// burnSettings returns the settings file's part, overridden by the replicated
// configuration. A value that cannot be read is logged once and passed over.
func (v *VM) burnSettings() tackburn.Settings {
	s := tackburn.Settings{Default: v.cfg.Burn.Objective, Labels: burnLabels(v.cfg.Burn.Windows)}
	for _, c := range v.state.Fleet.Settings() {
		if !strings.HasPrefix(c.Key, "burn.") {
			continue
		}
		err := s.Set(c.Key, c.Value)
		if err != nil && c.Revision > v.meter.warned {
			v.meter.warned = c.Revision
			v.log.WithError(err).Warn("setting passed over; set it anew")
		}
	}
	return s
}

// burnLabels returns the windows of the settings file. Times of day are since
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
