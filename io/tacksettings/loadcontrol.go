package tacksettings

import "auburntack/core/tackclock"

const (
	// PartAuto switches a part of load control on where the deployment calls for it. See
	// LoadControl.InForce.
	PartAuto Part = "auto"
	// PartOn switches a part on, and PartOff switches it off.
	PartOn  Part = "on"
	PartOff Part = "off"
)

type (
	// Part says whether a part of load control is in force.
	Part string

	// LoadControl holds the settings of load control.
	LoadControl struct {
		// InterruptLimit is the longest interruption of an item with which parts that say
		// PartAuto are in force.
		InterruptLimit tackclock.Duration
		JointPlanning  Part
		Forecast       Part
		Admission      Part
		Confinement    Part
	}
)

// InForce reports whether a part is in force on a platform that takes the given time to
// stop an item and to resume it from its checkpoint; zero means that the time is not
// known. Load control moves VMs and restarts work more often, which serves callers only
// where an interrupted item is soon at work again.
func (l *LoadControl) InForce(p Part, interruption tackclock.Duration) bool {
	if p == PartAuto {
		return interruption > 0 && interruption <= l.InterruptLimit
	}
	return p == PartOn
}
