package tackcontrol

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackpool"
)

const (
	// lookEvery spaces out the readings of the platform's list of VMs, which
	// has a price. Only VMs in the standby pool are learnt from it.
	lookEvery = 4 * tackclock.Second
	// lookAgain is after which time a reading that failed is tried again.
	lookAgain = tackclock.Second
	// movesAtOnce bounds the moves of one round, so that the pools are looked
	// at again before more are sent.
	movesAtOnce = 12
)

// lookAtMachines reads the platform's list of VMs when it is due.
func (c *Control) lookAtMachines(ctx context.Context) {
	now := c.clock.Now()
	c.mu.Lock()
	term, leads := c.leads(now)
	due := leads && c.dispatched == term && now >= c.upkeep.lookAt
	if due {
		c.upkeep.lookAt = now.Add(lookEvery)
	}
	c.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cloudLimit)
	defer cancel()
	machines, err := c.cfg.Cloud.Machines(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.upkeep.lookAt = now.Add(lookAgain)
		c.log.WithError(err).Warn("list of VMs not read")
		return
	}
	if c.dispatched == term {
		c.dispatch.Inventory(machines)
	}
}

// moveRound sends VMs to the pools that need them. The caller holds mu.
func (c *Control) moveRound(ctx context.Context, now tackclock.Time, order Order) {
	if !c.dispatch.Sure(now) {
		return
	}
	for _, m := range tackpool.Plan(c.dispatch.Pools(now, &c.state.Catalog), movesAtOnce) {
		if c.upkeep.calls[m.VM] {
			continue
		}
		c.upkeep.calls[m.VM] = true
		c.dispatch.Moving(now, m)
		go c.callMove(ctx, order, m)
	}
}

func (c *Control) callMove(ctx context.Context, order Order, m tackpool.Move) {
	ctx, cancel := context.WithTimeout(ctx, cloudLimit)
	defer cancel()
	c.meters.moves.Inc(1)
	err := c.stillLeads(order)
	if err == nil {
		err = c.cfg.Cloud.Move(ctx, order, m.VM, m.To)
	}
	var refused *CloudError
	isRefused := errors.As(err, &refused)
	c.log.WithFields(logrus.Fields{
		"worker_vm": string(m.VM), "from": string(m.From), "to": string(m.To), "fence": order.Fence,
	}).WithError(err).Info("move ordered")
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upkeep.calls, m.VM)
	if uint64(c.dispatched) == order.Fence {
		c.dispatch.Moved(c.clock.Now(), m.VM, err == nil, isRefused)
	}
}
