// Package tackbudget decides whether availability budgets leave room to take
// VMs out of service. It works on counts alone, so that the state machine,
// the planner and an explanation to an operator all use the same rule.
package tackbudget

import "strconv"

type (
	// Budget is a minimum of available VMs, as a number or as a percentage of
	// the pool rounded up. The zero value asks for nothing.
	Budget struct {
		MinAvailable int  `cbor:"1,keyasint,omitempty"`
		Percent      bool `cbor:"2,keyasint,omitempty"`
	}

	// Standing is how one VM of a pool stands towards the pool's budgets.
	Standing struct {
		// Available says that the VM may get work and is known to serve.
		Available bool
		// Settling says that the VM came back from maintenance a short while
		// ago: it serves, but nothing may be stopped on the strength of it.
		Settling bool
		// Taken says that the VM is to be taken out of service.
		Taken bool
	}

	// Count is how many VMs a pool has, how many of them would be available,
	// and how many of those would be proven, once the taken ones are out.
	// Down, draining, moving, lost and unknown VMs are in Total only.
	Count struct {
		Total     int
		Available int
		Proven    int
	}
)

// String returns the budget as it is set, such as 3 or 80%.
func (b Budget) String() string {
	if b.Percent {
		return strconv.Itoa(b.MinAvailable) + "%"
	}
	return strconv.Itoa(b.MinAvailable)
}

// Add counts one more VM of the pool.
func (c *Count) Add(s Standing) {
	c.Total++
	if !s.Available || s.Taken {
		return
	}
	c.Available++
	if !s.Settling {
		c.Proven++
	}
}

// Required returns how many of total VMs the budget wants available. A number
// above total is returned as it stands: such a budget can't be met, and
// nothing may be taken out under it.
func Required(b Budget, total int) int {
	if !b.Percent {
		return b.MinAvailable
	}
	return (b.MinAvailable*total + 99) / 100
}

// Short returns how many proven VMs are missing for the budget to hold once
// the taken VMs are out; 0 means that they may be taken.
func Short(b Budget, c Count) int {
	return max(0, Required(b, c.Total)-c.Proven)
}

// Free returns how many more VMs may be taken out at once under the budget.
func Free(b Budget, c Count) int {
	return max(0, c.Proven-Required(b, c.Total))
}
