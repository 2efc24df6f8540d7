package tackdispatch

import (
	"testing"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackid"
	"auburntack/core/tackpool"
)

var withStandby = tackcatalog.Catalog{
	Version: 1, Services: []tackcatalog.Service{{Name: "names-api", EnforcesCapacity: true}, {Name: "backoffice", Standby: true}},
}

// vmsIn counts a pool's VMs and those on their way there.
func (w *world) vmsIn(name tackid.Service) (vms, coming int) {
	for _, p := range w.d.Pools(w.now, &withStandby, func(tackid.VM) bool { return true }) {
		if p.Service == name {
			return len(p.VMs), len(p.Incoming)
		}
	}
	return 0, 0
}

// Guards against a pool that is short of VMs and cannot get those that were sent to the
// standby pool two seconds before: nothing reports from there, so their moves seemed to
// last until they had certainly failed.
func TestStandbyVMCanBeCalledBack(t *testing.T) {
	w := newWorld(t, 2)
	w.run(300)
	m := w.workers[0]
	w.d.Moving(w.now, tackpool.Move{VM: m.vm, From: "names-api", To: "backoffice"})
	m.dead = true
	assert := func(vms, coming int) {
		t.Helper()
		if v, c := w.vmsIn("backoffice"); v != vms || c != coming {
			t.Errorf("%d VMs are in standby and %d are on their way, want %d and %d", v, c, vms, coming)
		}
	}
	w.run(200)
	w.d.Moved(w.now, m.vm, true, false)
	w.run(defaultMove)
	assert(0, 1)
	w.run(standbySlack + 50)
	assert(1, 0)
}
