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
	// lookEvery spaces out the readings of the platform's list of VMs, which
	// has a price. Only VMs in the standby pool are learnt from it.
	lookEvery = 4 * tackclock.Second
	// lookAgain is after which time a reading that failed is tried again.
	lookAgain = tackclock.Second
	// movesAtOnce and the part movesPart of the fleet's VMs, whichever is more, bound
	// the moves of one round, so that the pools are looked at again before more are
	// sent. A turn that takes half of the fleet has it under way within a second. With
	// 12 at once it took seven seconds of 542 VMs, while 110 to 240 of them were idle.
	movesAtOnce = 12
	movesPart   = 8
	// movesAfter is how long a new leader waits before it moves VMs: by then
	// workers have reported twice.
	movesAfter = 1200 * tackclock.Millisecond
	// standingsEvery spaces out the lines on how the pools stand: five a second on
	// the deployments of today.
	standingsEvery = tackclock.Second
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
	if now.Sub(c.upkeep.from) < movesAfter {
		return
	}
	free := func(vm tackid.VM) bool { return c.mayOrder(now, order, vm) }
	pools := c.dispatch.Pools(now, &c.state.Catalog, free)
	most := c.orders.allowance(now, mostMoves(pools))
	if most <= 0 {
		return
	}
	var moves []tackpool.Move
	c.logStandings(now, pools)
	plan := c.planner(now, pools).Plan(pools, most)
	c.dispatch.WithholdWork(now, plan.Emptied)
	for _, m := range plan.Moves {
		c.upkeep.calls[m.VM] = true
		c.dispatch.Moving(now, m)
		moves = append(moves, m)
	}
	c.orders.spend(now, len(moves))
	if len(moves) > 0 {
		go c.carryOutMoves(ctx, order, moves)
	}
}

// mostMoves is how many VMs one round may move.
func mostMoves(pools []tackpool.Pool) int {
	vms := 0
	for i := range pools {
		vms += len(pools[i].VMs) + len(pools[i].Incoming)
	}
	return max(movesAtOnce, vms/movesPart)
}

// planner is the planner of moves with the time before rest and the reserve that the load
// calls for.
// The caller holds mu.
func (c *Control) planner(now tackclock.Time, pools []tackpool.Pool) tackpool.Planner {
	p := c.cfg.Moves.WithDefaults()
	u := &c.upkeep
	u.rest.Observe(now, pools)
	u.reserve.Observe(now, p, pools)
	p.ParkAfter = u.rest.After(now, p.ParkAfter)
	p.Reserve, p.SinceFirstWork = u.reserve.MilliCores(now), u.reserve.SinceFirstWork(now)
	if p.ParkAfter != u.restAfter || p.Reserve != u.reserved {
		c.log.WithFields(logrus.Fields{
			"after_ms": int64(p.ParkAfter), "before_ms": int64(u.restAfter), "idle_times": u.rest.Known(),
			"reserve_millicores": p.Reserve, "reserve_before": u.reserved,
		}).Info("rest judged")
		u.restAfter, u.reserved = p.ParkAfter, p.Reserve
		c.meters.restAfter.Update(int64(p.ParkAfter))
		c.meters.reserve.Update(int64(p.Reserve))
	}
	return p
}

// logStandings writes how the pools stand, at most every standingsEvery and only
// while one lacks VMs. The caller holds mu.
func (c *Control) logStandings(now tackclock.Time, pools []tackpool.Pool) {
	if now.Sub(c.upkeep.standingsAt) < standingsEvery {
		return
	}
	standings := c.cfg.Moves.Statuses(pools)
	if !slices.ContainsFunc(standings, func(s tackpool.PoolStatus) bool { return s.Lacks() }) {
		return
	}
	c.upkeep.standingsAt = now
	for _, s := range standings {
		c.log.WithFields(logrus.Fields{
			"service": string(s.Service), "vms": s.VMs, "idle": s.Idle, "fixed": s.Fixed, "millicores": s.Cores,
			"coming": s.Coming, "wanted": s.Wanted, "backlog_ms": s.BacklogMS, "late_ms": s.LateMS, "arriving": s.Arriving,
		}).Info("pool stands")
	}
}

// mayOrder reports whether the VM may be ordered about now. The caller holds mu.
func (c *Control) mayOrder(now tackclock.Time, order Order, vm tackid.VM) bool {
	return !c.upkeep.calls[vm] && c.orders.free(now, tackreplica.Term(order.Fence), vm, c.cfg.Handover)
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
		c.moving <- struct{}{}
		go func() {
			defer func() { <-c.moving }()
			c.callMove(ctx, order, m)
		}()
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
	c.moved(order, m, err)
}

// moved takes in what became of a move.
func (c *Control) moved(order Order, m tackpool.Move, err error) {
	var refused *CloudError
	isRefused := errors.As(err, &refused)
	c.log.WithFields(logrus.Fields{
		"worker_vm": string(m.VM), "from": string(m.From), "to": string(m.To), "fence": order.Fence,
	}).WithError(err).Info("move ordered")
	c.mu.Lock()
	defer c.mu.Unlock()
	if uint64(c.dispatched) != order.Fence {
		return
	}
	delete(c.upkeep.calls, m.VM)
	c.dispatch.Moved(c.clock.Now(), m.VM, err == nil, isRefused)
}
