package tackmember

import (
	"cmp"

	"auburntack/core/tackid"
)

// key identifies the subject of a record. Backend servers and workers may have the same
// name.
type key struct {
	id     tackid.BackendServer
	worker tackid.VM
}

// newRecord returns the record of a valid announcement.
func newRecord(a Announcement) Record {
	if w := a.Worker; w != nil {
		return Record{
			Worker: w.ID, Incarnation: w.Incarnation, Stage: w.State.stage(),
			DataCentre: w.DataCentre, Rack: w.Rack, VM: w.ID,
			Cores: w.Cores, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators,
		}
	}
	b := a.BackendServer
	return Record{
		ID: b.ID, Incarnation: b.Incarnation, Stage: b.State.stage(),
		DataCentre: b.DataCentre, Rack: b.Rack, VM: b.VM,
		Service: b.Service, Address: b.Address, Slots: b.Slots, Connections: b.Connections,
	}
}

func (s State) stage() Stage {
	if s == StateLeaving {
		return StageLeaving
	}
	return StageServing
}

func (s Stage) state() State {
	if s == StageServing {
		return StateServing
	}
	return StateLeaving
}

func (r *Record) key() key {
	return key{id: r.ID, worker: r.Worker}
}

// held reports whether the sender announces itself to the peer that owns the record.
func (r *Record) held() bool {
	return r.DataCentre != ""
}

// compare orders records by the state of the sender: by incarnation, then by stage.
func (r *Record) compare(o *Record) int {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Stage, o.Stage))
}

// same reports whether two records have the same contents, regardless of who published them
// and when.
func (r Record) same(o Record) bool {
	r.Version, o.Version = 0, 0
	r.HolderSeq, o.HolderSeq = 0, 0
	return r == o
}

// ended returns a tombstone of the record: without the fields that only a held record
// needs.
func (r *Record) ended(stage Stage) Record {
	return Record{ID: r.ID, Worker: r.Worker, Incarnation: r.Incarnation, Stage: stage, HolderSeq: r.HolderSeq}
}

func (r *Record) backendServer() BackendServer {
	return BackendServer{
		ID: r.ID, VM: r.VM, Service: r.Service, DataCentre: r.DataCentre, Rack: r.Rack,
		Address: r.Address, Slots: r.Slots, Connections: r.Connections,
		Incarnation: r.Incarnation, State: r.Stage.state(),
	}
}

func (r *Record) workerAnnounced() Worker {
	return Worker{
		ID: r.Worker, DataCentre: r.DataCentre, Rack: r.Rack,
		Cores: r.Cores, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators,
		Incarnation: r.Incarnation, State: r.Stage.state(),
	}
}
