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

// ledger claims and finishes idempotency keys through the replicated log.
type ledger struct {
	v *VM
}

func (v *VM) newCaller(logger *logrus.Logger) *tackhttp.Handler {
	c := v.cfg.Caller
	tackhttp.DivertStandardLog(logger)
	return tackhttp.New(tackhttp.Config{
		Self:  v.cfg.VM.ID,
		Home:  v.cfg.VM.DataCentre,
		Clock: v.clock,
		Limits: tackhttp.Limits{
			MaxBody:       c.BodyLimit,
			BufferTotal:   c.BufferLimit,
			HeaderBytes:   int(c.HeaderLimit),
			Timeout:       c.DefaultTimeout,
			HeaderTimeout: c.HeaderTimeout,
			BodyTimeout:   c.BodyTimeout,
		},
		Admission: tacklimit.Settings{Queue: c.QueueLimit},
		Logger:    logger,
		Registry:  v.registry,
		Ledger:    ledger{v: v},
		Routes:    func() *tackroute.Table { return v.routes.Load() },
		Ready:     func() bool { return v.serving.Load() },
		Meter:     &v.meter,
		Ports:     v.ports,
	})
}

// Claim claims the key in the log and returns once a majority has stored it.
func (l ledger) Claim(ctx context.Context, b tackledger.Begin) (tackledger.Claim, error) {
	out, err := l.v.propose(ctx, tackstate.Proposal{Ledger: &tackledger.Change{Begin: &b}})
	return out.Claim, err
}

// Finish records the outcome of the request with a key.
func (l ledger) Finish(ctx context.Context, f tackledger.Finish) error {
	_, err := l.v.propose(ctx, tackstate.Proposal{Ledger: &tackledger.Change{Finish: &f}})
	return err
}

// Lookup returns the claim on a key as known to this VM.
func (l ledger) Lookup(id tackledger.ID, print tackledger.Fingerprint) tackledger.Claim {
	l.v.mu.RLock()
	defer l.v.mu.RUnlock()
	return l.v.state.Ledger.Lookup(l.v.clock.Now(), id, print)
}
