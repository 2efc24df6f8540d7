package tackmember

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

const (
	// flapWindow is how long a loss counts towards flapping.
	flapWindow = 10 * tackclock.Minute
	// initialUptime is how long a VM that was lost twice within flapWindow must serve
	// before it is reported as serving; each further loss doubles it.
	initialUptime = 10 * tackclock.Second
	// maxUptime bounds that time.
	maxUptime = 5 * tackclock.Minute
	// warmUp is how long a directory collects announcements before it reports a VM as
	// unknown.
	warmUp = 3 * maxAnnounceInterval
)

// damper delays the report that a VM serves again while it flaps. Losses are reported at
// once. Without it, a VM with an unstable network would add two log entries each time, on
// every peer.
type damper struct {
	losses   int
	lastLoss tackclock.Time
	since    tackclock.Time // when it started to serve
	serving  bool

	observation tackfleet.Observation // as of version
	known       bool                  // whether the VM has any entry
	version     uint64
}

// VM returns the state of a VM according to the announcements: it is serving if its worker
// or one of its backend servers announces itself, lost if none does any more, and unknown
// if it has no entries or none of them can be heard from.
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

// anyUnknown reports whether something on the VM may still announce itself to a peer that
// cannot be reached.
func (d *Directory) anyUnknown(id tackid.VM) bool {
	for _, e := range d.vms[id] {
		if e.holder != nil {
			return true
		}
	}
	return false
}

// describe copies the description of the VM from r to o. The announcement of a worker takes
// precedence.
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

// Observations returns, in the order of known, the observations of those VMs whose state in
// the fleet differs, for the leader to propose. A flapping VM is reported as serving only
// once it has served for a while.
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
			h = d.updateDamper(id, h)
		}
		seen[id] = h
		if h.observe(now) && d.shouldReport(now, &known[i], h) {
			changes = append(changes, h.observation)
		}
	}
	d.health = seen
	return changes
}

// updateDamper updates h with the current announcements of a VM.
func (d *Directory) updateDamper(id tackid.VM, h *damper) *damper {
	if h == nil {
		h = new(damper)
	}
	h.observation = d.VM(id)
	h.known = len(d.vms[id]) > 0
	h.version = d.version
	return h
}

// observe updates the flap state from the health of the VM and reports whether the health
// may be reported.
func (h *damper) observe(now tackclock.Time) bool {
	serving := h.observation.Health == tackfleet.HealthServing
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
	return !serving || now.Sub(h.since) >= h.requiredUptime()
}

// requiredUptime returns how long the VM must have served before it is reported as serving.
func (h *damper) requiredUptime() tackclock.Duration {
	if h.losses < 2 {
		return 0
	}
	return min(initialUptime<<min(h.losses-2, 10), maxUptime)
}

// shouldReport reports whether the observation in h differs from the state v of the fleet.
func (d *Directory) shouldReport(now tackclock.Time, v *tackfleet.VM, h *damper) bool {
	o := &h.observation
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
