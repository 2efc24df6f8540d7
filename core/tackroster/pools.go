package tackroster

import (
	"auburntack/core/tackcommand"
	"auburntack/core/tackentry"
	"auburntack/core/tackid"
)

// maxPercent is the largest percentage a budget may ask for.
const maxPercent = 100

// CreatePool creates an empty pool.
func (r *Roster) CreatePool(at tackentry.At, c *tackcommand.CreatePool) *tackentry.RefusedError {
	if r.pools.Get(c.Pool) != nil {
		return tackentry.Refuse(tackentry.CodeExists, "pool %q exists", c.Pool)
	}
	r.pools.Put(c.Pool, Pool{ID: c.Pool, Touched: at.Revision})
	return nil
}

// DeletePool deletes a pool that has no VMs and no services.
func (r *Roster) DeletePool(c *tackcommand.DeletePool) *tackentry.RefusedError {
	if refused := r.CheckPool(c.Pool); refused != nil {
		return refused
	}
	if vms := r.members[c.Pool]; len(vms) > 0 {
		return tackentry.Refuse(tackentry.CodeInUse, "pool %q has %d VMs", c.Pool, len(vms))
	}
	for id, v := range r.vms.All() {
		if v.MovingTo == c.Pool {
			return tackentry.Refuse(tackentry.CodeInUse, "vm %q is moving to pool %q", id, c.Pool)
		}
	}
	if services := r.ServicesOn(c.Pool); len(services) > 0 {
		return tackentry.Refuse(tackentry.CodeInUse, "service %q is on pool %q", services[0].ID, c.Pool)
	}
	r.pools.Delete(c.Pool)
	delete(r.members, c.Pool)
	return nil
}

// CreateService places a service without a budget on a pool.
func (r *Roster) CreateService(at tackentry.At, c *tackcommand.CreateService) *tackentry.RefusedError {
	if r.services.Get(c.Service) != nil {
		return tackentry.Refuse(tackentry.CodeExists, "service %q exists", c.Service)
	}
	if refused := r.CheckPool(c.Pool); refused != nil {
		return refused
	}
	r.services.Put(c.Service, Service{ID: c.Service, Pool: c.Pool, Touched: at.Revision})
	return nil
}

// SetBudget accepts any budget in range, even if fewer VMs are available at the
// moment. CheckTake then refuses to take out more VMs until enough VMs serve.
func (r *Roster) SetBudget(at tackentry.At, c *tackcommand.SetBudget) *tackentry.RefusedError {
	v := r.services.Get(c.Service)
	if v == nil {
		return tackentry.Refuse(tackentry.CodeMissing, "no service %q", c.Service)
	}
	if c.MinAvailable < 0 || c.Percent && c.MinAvailable > maxPercent {
		return tackentry.Refuse(tackentry.CodeInvalid, "min_available is a number from 0, or a percentage from 0%% to 100%%")
	}
	v.Budget = Budget{MinAvailable: c.MinAvailable, Percent: c.Percent}
	v.Touched = at.Revision
	return nil
}

// CheckPool returns a refusal if the pool does not exist.
func (r *Roster) CheckPool(pool tackid.Pool) *tackentry.RefusedError {
	if r.pools.Get(pool) == nil {
		return tackentry.Refuse(tackentry.CodeMissing, "no pool %q", pool)
	}
	return nil
}
