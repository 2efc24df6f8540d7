package tackvm

import (
	"context"

	"auburntack/core/tackledger"
	"auburntack/core/tacklimit"
	"auburntack/core/tackroute"
	"auburntack/core/tackstate"
	"auburntack/io/tackhttp"

	"github.com/sirupsen/logrus"
)

<<<<<<< HEAD
// burnEvery is how often this VM adds what it counted to the replicated
// account of service levels.
const burnEvery = time.Minute

type (
	// ledger claims and finishes idempotency keys through the log.
	ledger struct {
		v *VM
	}

	// meter counts requests until they are added to the replicated account.
	meter struct {
		mu       sync.Mutex
		services map[tackid.Service]*tackburn.Counts
		teams    map[tackid.Team]*tackburn.Counts
		labels   map[tackburn.Label]*tackburn.Counts
		// label returns the label of the window that holds for a service
		// now, empty where none does; nil means that there are no windows.
		label func(tackid.Service) tackburn.Label
	}
)
=======
// ledger claims and finishes idempotency keys through the log.
type ledger struct {
	v *VM
}
>>>>>>> member

func (v *VM) newCaller(logger *logrus.Logger) *tackhttp.Handler {
	c := v.cfg.Caller
	v.meter.label = func(s tackid.Service) tackburn.Label {
		return tackburn.Label(v.cfg.Burn.Label(s, v.clock.Now()))
	}
	return tackhttp.New(tackhttp.Config{
		Self:  v.cfg.VM.ID,
		Home:  v.cfg.VM.DataCentre,
		Clock: v.clock,
		Limits: tackhttp.Limits{
			MaxBody:     c.BodyLimit,
			BufferTotal: c.BufferLimit,
			HeaderBytes: int(c.HeaderLimit),
			Timeout:     c.DefaultTimeout,
			HeaderWait:  c.HeaderTimeout,
			BodyWait:    c.BodyTimeout,
		},
		Admit:    tacklimit.Settings{Queue: c.QueueLimit},
		Logger:   logger,
		Registry: v.registry,
		Ledger:   ledger{v: v},
		Routes:   func() *tackroute.Table { return v.routes.Load() },
		Ready:    func() bool { return v.serves.Load() },
		Meter:    &v.meter,
	})
}

// Claim records the key in the log, and returns once a majority has it.
func (l ledger) Claim(ctx context.Context, b tackledger.Begin) (tackledger.Claim, error) {
	out, err := l.v.propose(ctx, tackstate.Proposal{Ledger: &tackledger.Change{Begin: &b}})
	return out.Claim, err
}

// Finish records what became of the work of a key.
func (l ledger) Finish(ctx context.Context, f tackledger.Finish) error {
	_, err := l.v.propose(ctx, tackstate.Proposal{Ledger: &tackledger.Change{Finish: &f}})
	return err
}

// Lookup returns what this VM knows of a key.
func (l ledger) Lookup(id tackledger.ID, print tackledger.Fingerprint) tackledger.Claim {
	l.v.mu.RLock()
	defer l.v.mu.RUnlock()
	return l.v.state.Ledger.Lookup(l.v.clock.Now(), id, print)
}
<<<<<<< HEAD

// Count counts the end of one request.
func (m *meter) Count(r tackhttp.Result) {
	var c tackburn.Counts
	switch {
	case r.Gone:
		return
	case r.Outcome == tackledger.OutcomeUnknown:
		c.Lost = 1
	case r.Outcome == tackledger.OutcomeDidNotRun:
		c.Refused = 1
	case r.Late:
		c.Late = 1
	default:
		c.Good = 1
	}
	c.LatencyMS = uint64(max(r.Took, 0))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.services == nil {
		m.services = make(map[tackid.Service]*tackburn.Counts)
		m.teams = make(map[tackid.Team]*tackburn.Counts)
		m.labels = make(map[tackburn.Label]*tackburn.Counts)
	}
	addCounts(m.services, r.Service, c)
	if r.Team != "" {
		addCounts(m.teams, r.Team, c)
	}
	if m.label == nil {
		return
	}
	if label := m.label(r.Service); label != "" {
		addCounts(m.labels, label, c)
	}
}

func addCounts[K comparable](counts map[K]*tackburn.Counts, key K, c tackburn.Counts) {
	sum, ok := counts[key]
	if !ok {
		sum = new(tackburn.Counts)
		counts[key] = sum
	}
	sum.Add(c)
}

// take returns what was counted since the last call and starts anew.
func (m *meter) take(self tackid.Peer) (tackburn.Sample, bool) {
	m.mu.Lock()
	services, teams, labels := m.services, m.teams, m.labels
	m.services, m.teams, m.labels = nil, nil, nil
	m.mu.Unlock()
	sample := tackburn.Sample{Peer: self}
	for id, c := range services {
		sample.Services = append(sample.Services, tackburn.ServiceCounts{Service: id, Counts: *c})
	}
	for id, c := range teams {
		sample.Teams = append(sample.Teams, tackburn.TeamCounts{Team: id, Counts: *c})
	}
	for label, c := range labels {
		sample.Labels = append(sample.Labels, tackburn.LabelCounts{Label: label, Counts: *c})
	}
	return sample, len(sample.Services) > 0
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
			v.flushBurn(ctx)
		}
	}
}

// flushBurn proposes what was counted. A sample is not idempotent, so it is
// proposed once: what gets lost with a leader is missing from the account
// rather than counted twice.
func (v *VM) flushBurn(ctx context.Context) {
	sample, some := v.meter.take(v.cfg.VM.ID)
	if !some {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resendEvery*3/4)
	defer cancel()
	if _, err := v.propose(ctx, tackstate.Proposal{Burn: &sample}); err != nil {
		v.log.WithError(err).Warn("service-level counts not recorded")
	}
}
=======
>>>>>>> member
