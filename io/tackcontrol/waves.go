package tackcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackpool"
	"auburntack/core/tackupkeep"
	"auburntack/core/tackwork"
	"auburntack/io/tackloop"
)

const (
	upkeepEvery = 150 * time.Millisecond
	// cloudLimit bounds one call to the platform.
	cloudLimit = time.Second
	// callsAtOnce bounds the calls to the platform that wait for an answer.
	callsAtOnce = 8
	// movesInFlight bounds the moves that the platform is called for at once. A rest of
	// hundreds of VMs would else open as many connections in one instant.
	movesInFlight = 64
)

type (
	// Cloud orders VMs of workers about. Order says who orders; a call may
	// have been carried out even if it returns an error other than a
	// *CloudError.
	Cloud interface {
		Upkeep(ctx context.Context, o Order, vm tackid.VM, wave tackupkeep.Number) error
		Move(ctx context.Context, o Order, vm tackid.VM, to tackid.Service) error
		Machines(ctx context.Context) ([]tackdispatch.Machine, error)
	}

	// Order is on whose behalf a VM is ordered about. Fence rises from leader
	// to leader.
	Order struct {
		Holder tackid.Peer
		Fence  uint64
	}

	// CloudError reports a call that the platform surely did not carry out.
	// Gone says that there is no such VM, or that it is not in the wave.
	CloudError struct {
		Reason string
		Gone   bool
	}

	upkeep struct {
		from  tackclock.Time // when this VM began to lead
		calls map[tackid.VM]bool
		// lookAt is when the platform's list of VMs is read next.
		lookAt tackclock.Time
		// standingsAt is when the log last said how the pools stand.
		standingsAt tackclock.Time
		// rest judges after which idle time VMs go to the standby pool.
		rest tackpool.ParkDelay
		// restAfter is what it judged last.
		restAfter tackclock.Duration
		// reserve judges how much each pool has at hand, reserved is what it judged last,
		// in thousandths of a core.
		reserve  tackpool.Reserve
		reserved int
	}
)

// Error implements error.
func (e *CloudError) Error() string {
	return "platform refused: " + e.Reason
}

func (u *upkeep) reset(now tackclock.Time) {
	u.from, u.lookAt = now, now
	u.calls = make(map[tackid.VM]bool)
	u.rest, u.restAfter = tackpool.ParkDelay{}, 0
	u.reserve, u.reserved = tackpool.Reserve{}, 0
}

// StartWave accepts a wave of upkeep.
func (c *Control) StartWave(ctx context.Context, w tackupkeep.Wave) tackwork.Answer {
	if _, leads := c.leads(c.clock.Now()); !leads {
		return c.notLeader()
	}
	a := c.answerProposal(c.propose(ctx, tackwork.Change{Wave: &w}))
	c.log.WithFields(logrus.Fields{
		"wave": int64(w.Number), "vms": len(w.VMs), "at_once": w.MaxDown, "within_ms": int64(w.Within), "outcome": a.Verdict.String(),
	}).Info("wave decided")
	return a
}

// Wave reports whether a wave is complete. The verdict is Done, NoJob if there
// is no such wave, or Unavailable.
func (c *Control) Wave(n tackupkeep.Number) (tackwork.Answer, bool) {
	c.mu.Lock()
	w := c.state.Waves.Get(n)
	complete := w != nil && w.Complete()
	c.mu.Unlock()
	if _, leads := c.leads(c.clock.Now()); !leads {
		return c.notLeader(), false
	}
	if w == nil {
		return tackwork.Answer{Verdict: tackwork.NoJob}, false
	}
	return tackwork.Answer{}, complete
}

// serveUpkeep carries out waves while this VM leads, until ctx ends.
func (c *Control) serveUpkeep(ctx context.Context) error {
	for ctx.Err() == nil {
		tackloop.Sleep(ctx, upkeepEvery)
		c.lookAtMachines(ctx)
		c.upkeepRound(ctx)
	}
	return ctx.Err()
}

func (c *Control) upkeepRound(ctx context.Context) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatched != term {
		return
	}
	order := Order{Holder: c.cfg.Self, Fence: uint64(term)}
	c.waveRound(ctx, now, order)
	c.moveRound(ctx, now, order)
}

// waveRound takes VMs down for their upkeep. VMs that an earlier leader took
// down may still be, and count against what may be down at once, so a new one
// waits until they are back. The caller holds mu.
func (c *Control) waveRound(ctx context.Context, now tackclock.Time, order Order) {
	if now.Sub(c.upkeep.from) < c.cfg.Handover {
		return
	}
	for _, w := range c.state.Waves.All() {
		for _, vm := range c.dispatch.NextUpkeep(now, w) {
			if c.upkeep.calls[vm] || len(c.upkeep.calls) >= callsAtOnce || c.orders.allowance(now, 1) <= 0 {
				continue
			}
			c.orders.spend(now, 1)
			c.upkeep.calls[vm] = true
			go c.callUpkeep(ctx, order, w.Number, vm)
		}
	}
}

func (c *Control) callUpkeep(ctx context.Context, order Order, wave tackupkeep.Number, vm tackid.VM) {
	var err error = &CloudError{Reason: "not announced"}
	if c.announce(ctx, vm) {
		err = c.stillLeads(order)
	}
	ctx, cancel := context.WithTimeout(ctx, cloudLimit)
	defer cancel()
	c.meters.upkeeps.Inc(1)
	if err == nil {
		err = c.cfg.Cloud.Upkeep(ctx, order, vm, wave)
	}
	now := c.clock.Now()
	c.log.WithFields(logrus.Fields{"vm": string(vm), "wave": int64(wave), "fence": order.Fence}).WithError(err).Info("upkeep ordered")
	var refused *CloudError
	begun := err == nil || errors.As(err, &refused) && refused.Gone
	c.mu.Lock()
	if uint64(c.dispatched) == order.Fence {
		c.dispatch.UpkeepCalled(now, vm, err == nil, refused != nil)
	}
	c.mu.Unlock()
	if begun {
		// The call may have used up its own time.
		p := c.propose(context.WithoutCancel(ctx), tackwork.Change{Upkeep: &tackwork.UpkeepBegun{Wave: wave, VM: vm}})
		if p.fate != committed {
			c.log.WithField("vm", string(vm)).WithField("wave", int64(wave)).Warn("begun upkeep not in the log, called again")
		}
	}
	c.mu.Lock()
	delete(c.upkeep.calls, vm)
	c.mu.Unlock()
}

// stillLeads returns a *CloudError if this VM lost its lease since the order was
// decided, perhaps because it was frozen in between. Another leader may be
// ordering VMs about by now.
func (c *Control) stillLeads(o Order) error {
	if term, leads := c.leads(c.clock.Now()); !leads || uint64(term) != o.Fence {
		return &CloudError{Reason: "leadership was lost"}
	}
	return nil
}
