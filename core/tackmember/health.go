package tackmember

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// flapWindow is how long a loss counts against a VM.
	flapWindow = 10 * tackclock.Minute
	// riseFirst is how long a VM that was lost twice within flapWindow must
	// serve before it is said to; each further loss doubles it.
	riseFirst = 10 * tackclock.Second
	// riseLimit bounds that time.
	riseLimit = 5 * tackclock.Minute
	// warmUp is how long a directory gathers before it says that it knows
	// nothing of a VM.
	warmUp = 3 * maxWithin
)

// damper holds back the news that a VM serves again while it flaps. Bad news
// is passed on at once. Without it a VM whose network comes and goes would
// put two entries into the log each time, on every peer.
type damper struct {
	losses   int
	lastLoss tackclock.Time
	since    tackclock.Time // when it was seen to serve
	serving  bool

	says    tackfleet.Observation // as of version
	known   bool                  // whether anything is
	version uint64
}

// VM returns what the announcements say of a VM: it serves when its worker or
// one of its backend servers announces itself, it is lost when none does any
// more, and unknown when none is known or none can be heard of.
func (d *Directory) VM(id tackid.VM) tackfleet.Observation {
	o := tackfleet.Observation{VM: id}
	lost := false
	for _, k := range sortedKeys(d.vms[id]) {
		e := d.vms[id][k]
		describe(&o, k, &e.shown)
		if e.holder == nil {
			lost = true
			continue
		}
		if e.health == tackfleet.HealthServing {
			o.Health = tackfleet.HealthServing
		}
	}
	if o.Health != tackfleet.HealthServing && lost && !d.anyUnknown(id) {
		o.Health = tackfleet.HealthLost
	}
	return o
}

// anyUnknown reports whether something on the VM may yet announce itself to a
// peer that cannot be heard.
func (d *Directory) anyUnknown(id tackid.VM) bool {
	for _, e := range d.vms[id] {
		if e.holder != nil {
			return true
		}
	}
	return false
}

// describe takes over what r says of its VM; a worker's word goes first.
func describe(o *tackfleet.Observation, k key, r *Record) {
	if k.worker != "" {
		o.DataCentre, o.Rack = r.DataCentre, r.Rack
		o.Cores, o.MemoryMB, o.Accelerators = r.Cores, r.MemoryMB, r.Accelerators
		return
	}
	if o.Cores == 0 {
		o.DataCentre, o.Rack = r.DataCentre, r.Rack
	}
}

// Observations returns what the announcements say of those of the known VMs
// of which the fleet's state says otherwise, in the order of known, for the
// leader to propose. A VM that flaps is said to serve only once it has served
// for a while.
func (d *Directory) Observations(now tackclock.Time, known []tackfleet.VM) []tackfleet.Observation {
	d.start(now)
	if d.health == nil {
		d.health = make(map[tackid.VM]*damper)
	}
	seen := make(map[tackid.VM]*damper, len(known))
	var changes []tackfleet.Observation
	for i := range known {
		id := known[i].ID
		h := d.health[id]
		if h == nil || h.version != d.version {
			h = d.look(id, h)
		}
		seen[id] = h
		if h.observe(now) && d.tell(now, &known[i], h) {
			changes = append(changes, h.says)
		}
	}
	d.health = seen
	return changes
}

// look notes what the announcements say of a VM now.
func (d *Directory) look(id tackid.VM, h *damper) *damper {
	if h == nil {
		h = new(damper)
	}
	h.says = d.VM(id)
	h.known = len(d.vms[id]) > 0
	h.version = d.version
	return h
}

// observe notes the health of a VM and reports whether it may be passed on.
func (h *damper) observe(now tackclock.Time) bool {
	serving := h.says.Health == tackfleet.HealthServing
	if h.losses > 0 && now.Sub(h.lastLoss) > flapWindow {
		h.losses = 0
	}
	switch {
	case h.serving && !serving:
		h.losses++
		h.lastLoss = now
	case !h.serving && serving:
		h.since = now
	}
	h.serving = serving
	return !serving || now.Sub(h.since) >= h.rise()
}

// rise returns how long the VM must have served before it is said to.
func (h *damper) rise() tackclock.Duration {
	if h.losses < 2 {
		return 0
	}
	return min(riseFirst<<min(h.losses-2, 10), riseLimit)
}

// tell reports whether what h says is news about v.
func (d *Directory) tell(now tackclock.Time, v *tackfleet.VM, h *damper) bool {
	o := &h.says
	if !h.known {
		return v.Health == tackfleet.HealthServing && now.Sub(d.since) >= warmUp
	}
	if o.Health != v.Health {
		return true
	}
	moved := o.DataCentre != v.DataCentre || o.Rack != v.Rack
	grown := o.Cores != 0 && (o.Cores != v.Cores || o.MemoryMB != v.MemoryMB || o.Accelerators != v.Accelerators)
	return o.Health == tackfleet.HealthServing && (moved || grown)
}
