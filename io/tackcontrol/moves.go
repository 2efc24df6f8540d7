package tackcontrol

import (
	"context"
	"errors"
	"slices"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackpool"
	"auburntack/core/tackreplica"
)

const (
	// inventoryInterval is the interval between two reads of the platform's list of VMs. Each
	// read has a cost, and only VMs in the standby pool are learnt from it.
	inventoryInterval = 4 * tackclock.Second
	// inventoryRetryDelay is the delay before a failed read is retried.
	inventoryRetryDelay = tackclock.Second
	// A round makes at most minMoveLimit moves or 1/moveLimitDivisor of the fleet's VMs,
	// whichever is more, so that the pools are evaluated again before more VMs are moved.
	// When a queue needs half of the fleet for a burst, all these VMs are under way within a
	// second. With a limit of 12 it took seven seconds for 542 VMs, while 110 to 240 of them
	// were idle.
	minMoveLimit     = 12
	moveLimitDivisor = 8
	// moveDelay is how long a new leader waits before it moves VMs: by then each worker has
	// reported twice.
	moveDelay = 1200 * tackclock.Millisecond
	// poolStatusInterval is the minimum interval between two logs of the pool statuses. A log
	// of all pools writes five lines on current deployments.
	poolStatusInterval = tackclock.Second
)

// refreshInventory reads the platform's list of VMs when that is due.
func (c *Control) refreshInventory(ctx context.Context) {
	now := c.clock.Now()
	term, due := c.inventoryDue(now)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	machines, err := c.cfg.Cloud.Machines(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.upkeep.inventoryAt = now.Add(inventoryRetryDelay)
		c.log.WithError(err).Warn("reading the platform's list of VMs failed")
		return
	}
	if c.dispatchTerm == term {
		c.dispatch.Inventory(machines)
	}
}

// inventoryDue reports whether the list of VMs is to be read now, and in which term.
func (c *Control) inventoryDue(now tackclock.Time) (tackreplica.Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(now)
	if !leads || c.dispatchTerm != term || now < c.upkeep.inventoryAt {
		return 0, false
	}
	c.upkeep.inventoryAt = now.Add(inventoryInterval)
	return term, true
}

// moveRound moves VMs to the pools that need them. The caller holds mu.
func (c *Control) moveRound(ctx context.Context, now tackclock.Time, order Order) {
	if now.Sub(c.upkeep.leadingSince) < moveDelay {
		return
	}
	free := func(vm tackid.VM) bool { return c.mayOrder(now, order, vm) }
	pools := c.dispatch.Pools(now, &c.state.Catalog, free)
	limit := c.orders.allowance(now, moveLimit(pools))
	if limit <= 0 {
		return
	}
	var moves []tackpool.Move
	c.logPoolStatuses(now, pools)
	plan := c.planner(now, pools).Plan(pools, limit)
	c.dispatch.WithholdWork(now, plan.Emptied)
	for _, m := range plan.Moves {
		c.upkeep.pendingCalls[m.VM] = true
		c.dispatch.Moving(now, m)
		moves = append(moves, m)
	}
	c.orders.recordCalls(now, len(moves))
	if len(moves) > 0 {
		go c.carryOutMoves(ctx, order, moves)
	}
}

// moveLimit returns the maximum number of VMs that one round may move.
func moveLimit(pools []tackpool.Pool) int {
	vms := 0
	for i := range pools {
		vms += len(pools[i].VMs) + len(pools[i].Incoming)
	}
	return max(minMoveLimit, vms/moveLimitDivisor)
}

// basePlanner returns the move planner as configured. Pools are planned together only while a
// queue calls for it. The caller holds mu.
func (c *Control) basePlanner() tackpool.Planner {
	p := c.cfg.Moves.WithDefaults()
	p.Joint = p.Joint && c.state.Catalog.HasObjectiveWithin(c.cfg.JointWithin)
	return p
}

// planner returns the move planner with the park delay and the reserve adapted to the load.
// The caller holds mu.
func (c *Control) planner(now tackclock.Time, pools []tackpool.Pool) tackpool.Planner {
	p := c.basePlanner()
	u := &c.upkeep
	u.parkDelay.Observe(now, pools)
	u.reserve.Observe(now, p, pools)
	p.ParkAfter = u.parkDelay.After(now, p.ParkAfter)
	p.Reserve, p.SinceFirstWork = u.reserve.MilliCores(now), u.reserve.SinceFirstWork(now)
	if p.ParkAfter != u.parkAfter || p.Reserve != u.reserveMilliCores {
		c.log.WithFields(logrus.Fields{
			"after_ms": int64(p.ParkAfter), "before_ms": int64(u.parkAfter), "idle_times": u.parkDelay.Known(),
			"reserve_millicores": p.Reserve, "reserve_before": u.reserveMilliCores,
		}).Info("rest judged")
		u.parkAfter, u.reserveMilliCores = p.ParkAfter, p.Reserve
		c.meters.parkAfter.Update(int64(p.ParkAfter))
		c.meters.reserve.Update(int64(p.Reserve))
	}
	return p
}

// logPoolStatuses logs the status of each pool, at most once per poolStatusInterval and only
// while a pool lacks VMs. The caller holds mu.
func (c *Control) logPoolStatuses(now tackclock.Time, pools []tackpool.Pool) {
	if now.Sub(c.upkeep.poolStatusAt) < poolStatusInterval {
		return
	}
	base := c.basePlanner()
	statuses := base.Statuses(pools)
	if !slices.ContainsFunc(statuses, func(s tackpool.PoolStatus) bool { return s.Lacks() }) {
		return
	}
	c.upkeep.poolStatusAt = now
	for _, s := range statuses {
		c.log.WithFields(logrus.Fields{
			"service": string(s.Service), "vms": s.VMs, "idle": s.Idle, "fixed": s.Fixed, "millicores": s.Cores,
			"coming": s.Coming, "wanted": s.Wanted, "backlog_ms": s.BacklogMS, "late_ms": s.LateMS, "arriving": s.Arriving, "expected": s.Expected,
		}).Info("pool stands")
	}
}

// mayOrder reports whether an order for the VM may be given now. The caller holds mu.
func (c *Control) mayOrder(now tackclock.Time, order Order, vm tackid.VM) bool {
	return !c.upkeep.pendingCalls[vm] && c.orders.free(now, tackreplica.Term(order.Fence), vm, c.cfg.Handover)
}

func (c *Control) carryOutMoves(ctx context.Context, order Order, moves []tackpool.Move) {
	vms := make([]tackid.VM, len(moves))
	for i, m := range moves {
		vms[i] = m.VM
	}
	announced := c.announce(ctx, vms...)
	for _, m := range moves {
		if !announced {
			c.moved(order, m, &CloudError{Reason: "not announced"})
			continue
		}
		c.moveSlots <- struct{}{}
		go func() {
			defer func() { <-c.moveSlots }()
			c.callMove(ctx, order, m)
		}()
	}
}

func (c *Control) callMove(ctx context.Context, order Order, m tackpool.Move) {
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	c.meters.moves.Inc(1)
	err := c.stillLeads(order)
	if err == nil {
		err = c.cfg.Cloud.Move(ctx, order, m.VM, m.To)
	}
	c.moved(order, m, err)
}

// moved records the result of a move.
func (c *Control) moved(order Order, m tackpool.Move, err error) {
	var refused *CloudError
	wasRefused := errors.As(err, &refused)
	c.log.WithFields(logrus.Fields{
		"worker_vm": string(m.VM), "from": string(m.From), "to": string(m.To), "fence": order.Fence,
	}).WithError(err).Info("move ordered")
	c.mu.Lock()
	defer c.mu.Unlock()
	if uint64(c.dispatchTerm) != order.Fence {
		return
	}
	delete(c.upkeep.pendingCalls, m.VM)
	c.dispatch.Moved(c.clock.Now(), m.VM, err == nil, wasRefused)
}
