// Package tackbudget decides whether availability budgets allow VMs to be taken
// out of service. It works on counts alone, so that the state machine, the
// planner and the explanations to operators use the same rule.
package tackbudget

import "strconv"

type (
	// Budget is a minimum number of available VMs, either absolute or as a
	// percentage of the pool, rounded up. The zero value requires none.
	Budget struct {
		MinAvailable int  `cbor:"1,keyasint,omitempty"`
		Percent      bool `cbor:"2,keyasint,omitempty"`
	}

	// VMStatus is the state of one VM with regard to the budgets of its pool.
	VMStatus struct {
		// Available reports whether the VM may get work and is known to
		// serve requests.
		Available bool
		// Settling reports whether the VM returned from maintenance only a
		// short while ago. It serves requests, but doesn't count as a
		// replacement for another VM yet.
		Settling bool
		// Taken reports whether the VM is to be taken out of service.
		Taken bool
	}

	// Count is the number of VMs of a pool, the number that would be available
	// without the taken ones, and the number of those that would not be
	// settling. Down, draining, moving, lost and unknown VMs count in Total
	// only.
	Count struct {
		Total     int
		Available int
		Proven    int
	}
)

// String returns the budget as written in settings, such as 3 or 80%.
func (b Budget) String() string {
	if b.Percent {
		return strconv.Itoa(b.MinAvailable) + "%"
	}
	return strconv.Itoa(b.MinAvailable)
}

// Add adds a VM of the pool to the count.
func (c *Count) Add(s VMStatus) {
	c.Total++
	if !s.Available || s.Taken {
		return
	}
	c.Available++
	if !s.Settling {
		c.Proven++
	}
}

// Required returns how many of total VMs the budget requires to be available. The
// result may exceed total: such a budget can't be met, and allows no VM to be
// taken out.
func Required(b Budget, total int) int {
	if !b.Percent {
		return b.MinAvailable
	}
	return (b.MinAvailable*total + 99) / 100
}

// Shortfall returns how many proven VMs are missing to meet the budget without the
// taken VMs; 0 means that those may be taken out.
func Shortfall(b Budget, c Count) int {
	return max(0, Required(b, c.Total)-c.Proven)
}

// Free returns how many more VMs the budget allows to be taken out at once.
func Free(b Budget, c Count) int {
	return max(0, c.Proven-Required(b, c.Total))
}
