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
	upkeepInterval = 150 * time.Millisecond
	// cloudTimeout bounds one call to the platform.
	cloudTimeout = time.Second
	// maxPendingCalls bounds the calls to the platform that wait for an answer.
	maxPendingCalls = 8
	// maxMovesInFlight bounds the concurrent move calls to the platform. Otherwise parking
	// hundreds of VMs would open as many connections at once.
	maxMovesInFlight = 64
)

type (
	// Cloud gives the platform orders for the VMs of workers. The Order says on whose behalf.
	// A call may have been carried out even if it returns an error other than a *CloudError.
	Cloud interface {
		Upkeep(ctx context.Context, o Order, vm tackid.VM, wave tackupkeep.Number) error
		Move(ctx context.Context, o Order, vm tackid.VM, to tackid.Service) error
		Machines(ctx context.Context) ([]tackdispatch.Machine, error)
	}

	// Order identifies the leader on whose behalf an order is given. Fence is a fencing token
	// that increases from leader to leader.
	Order struct {
		Holder tackid.Peer
		Fence  uint64
	}

	// CloudError reports a call that the platform certainly did not carry out. NotFound says
	// that there is no such VM, or that it is not part of the wave.
	CloudError struct {
		Reason   string
		NotFound bool
	}

	upkeep struct {
		leadingSince tackclock.Time     // when this VM became the leader
		pendingCalls map[tackid.VM]bool // VMs with a pending call to the platform
		// inventoryAt is when to read the platform's list of VMs next.
		inventoryAt tackclock.Time
		// poolStatusAt is when the pool statuses were last logged.
		poolStatusAt tackclock.Time
		// parkDelay determines the idle time after which VMs move to the standby pool.
		parkDelay tackpool.ParkDelay
		// parkAfter is the idle time that parkDelay returned last.
		parkAfter tackclock.Duration
		// reserve determines the reserve of each pool; reserveMilliCores is the last value.
		reserve           tackpool.Reserve
		reserveMilliCores int
	}
)

// Error implements error.
func (e *CloudError) Error() string {
	return "platform refused: " + e.Reason
}

func (u *upkeep) reset(now tackclock.Time) {
	u.leadingSince, u.inventoryAt = now, now
	u.pendingCalls = make(map[tackid.VM]bool)
	u.parkDelay, u.parkAfter = tackpool.ParkDelay{}, 0
	u.reserve, u.reserveMilliCores = tackpool.Reserve{}, 0
}

// StartWave starts an upkeep wave.
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

// Wave reports whether a wave is complete. The verdict is Done, NoJob if there is no such
// wave, or Unavailable.
func (c *Control) Wave(n tackupkeep.Number) (tackwork.Answer, bool) {
	known, complete := c.waveProgress(n)
	if _, leads := c.leads(c.clock.Now()); !leads {
		return c.notLeader(), false
	}
	if !known {
		return tackwork.Answer{Verdict: tackwork.NoJob}, false
	}
	return tackwork.Answer{}, complete
}

func (c *Control) waveProgress(n tackupkeep.Number) (known, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.state.Waves.Get(n)
	return w != nil, w != nil && w.Complete()
}

// serveUpkeep carries out upkeep waves and moves while this VM is the leader, until ctx ends.
func (c *Control) serveUpkeep(ctx context.Context) error {
	for ctx.Err() == nil {
		tackloop.Sleep(ctx, upkeepInterval)
		c.refreshInventory(ctx)
		c.upkeepRound(ctx)
	}
	return ctx.Err()
}

func (c *Control) upkeepRound(ctx context.Context) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatchTerm != term {
		return
	}
	order := Order{Holder: c.cfg.Self, Fence: uint64(term)}
	c.waveRound(ctx, now, order)
	c.moveRound(ctx, now, order)
}

// waveRound takes VMs down for their upkeep. VMs that the previous leader took down may still
// be down and count towards the number that may be down at once, so a new leader waits until
// they are back. The caller holds mu.
func (c *Control) waveRound(ctx context.Context, now tackclock.Time, order Order) {
	if now.Sub(c.upkeep.leadingSince) < c.cfg.Handover {
		return
	}
	for _, w := range c.state.Waves.All() {
		for _, vm := range c.dispatch.NextUpkeep(now, w) {
			if c.upkeep.pendingCalls[vm] || len(c.upkeep.pendingCalls) >= maxPendingCalls || c.orders.allowance(now, 1) <= 0 {
				continue
			}
			c.orders.recordCalls(now, 1)
			c.upkeep.pendingCalls[vm] = true
			go c.callUpkeep(ctx, order, w.Number, vm)
		}
	}
}

func (c *Control) callUpkeep(ctx context.Context, order Order, wave tackupkeep.Number, vm tackid.VM) {
	var err error = &CloudError{Reason: "not announced"}
	if c.announce(ctx, vm) {
		err = c.stillLeads(order)
	}
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	c.meters.upkeeps.Inc(1)
	if err == nil {
		err = c.cfg.Cloud.Upkeep(ctx, order, vm, wave)
	}
	now := c.clock.Now()
	c.log.WithFields(logrus.Fields{"vm": string(vm), "wave": int64(wave), "fence": order.Fence}).WithError(err).Info("upkeep ordered")
	var refused *CloudError
	started := err == nil || errors.As(err, &refused) && refused.NotFound
	c.recordUpkeepCall(now, order, vm, wave, err == nil, refused != nil)
	if started {
		// The call may have used up the time of ctx.
		p := c.propose(context.WithoutCancel(ctx), tackwork.Change{Upkeep: &tackwork.UpkeepBegun{Wave: wave, VM: vm}})
		if p.status != committed {
			c.log.WithField("vm", string(vm)).WithField("wave", int64(wave)).Warn("start of upkeep not committed; the platform will be called again")
		}
	}
	c.endUpkeepCall(vm)
}

// recordUpkeepCall records the result of a call to the platform, unless another leader has
// followed since.
func (c *Control) recordUpkeepCall(now tackclock.Time, order Order, vm tackid.VM, wave tackupkeep.Number, done, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if uint64(c.dispatchTerm) == order.Fence {
		c.dispatch.UpkeepCalled(now, vm, wave, done, refused)
	}
}

func (c *Control) endUpkeepCall(vm tackid.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upkeep.pendingCalls, vm)
}

// stillLeads returns a *CloudError if this VM lost its lease since the order was decided, for
// example because its process was paused in between. Another leader may already be giving
// orders.
func (c *Control) stillLeads(o Order) error {
	if term, leads := c.leads(c.clock.Now()); !leads || uint64(term) != o.Fence {
		return &CloudError{Reason: "leadership was lost"}
	}
	return nil
}
