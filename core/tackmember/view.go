package tackmember

import (
	"cmp"
	"maps"
	"slices"

	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// BackendServerRecord is the directory's record of a backend server. Health is serving,
	// or unknown while no peer that receives its announcements can be reached. Holder is
	// the peer that receives them.
	BackendServerRecord struct {
		BackendServer
		Health tackfleet.Health
		Holder tackid.Peer
	}

	// WorkerRecord is the directory's record of a worker.
	WorkerRecord struct {
		Worker
		Health tackfleet.Health
		Holder tackid.Peer
	}

	// entry is the combined state of one backend server or worker over all spaces.
	entry struct {
		latest    Record // the latest incarnation and stage
		holderSeq uint64 // the highest
		shown     Record // the last held one
		holder    *space // of shown; nil if lost
		health    tackfleet.Health
	}

	// listing caches the sorted lists until something changes.
	listing struct {
		valid   bool
		servers []BackendServerRecord
		workers []WorkerRecord
	}
)

// Version returns a number that increases whenever a change affects routing.
func (d *Directory) Version() uint64 {
	return d.version
}

// BackendServers returns the backend servers that are neither lost nor withdrawn, sorted by
// ID. The slice must not be modified; a change of the directory replaces it.
func (d *Directory) BackendServers() []BackendServerRecord {
	d.list()
	return d.cache.servers
}

// Workers returns the workers that are not lost, sorted by ID. The slice must not be
// modified.
func (d *Directory) Workers() []WorkerRecord {
	d.list()
	return d.cache.workers
}

// list rebuilds the sorted lists if something has changed.
func (d *Directory) list() {
	if d.cache.valid {
		return
	}
	d.cache = listing{valid: true, servers: make([]BackendServerRecord, 0, len(d.cache.servers)+1)}
	for _, k := range sortedKeys(d.entries) {
		e := d.entries[k]
		switch {
		case e.holder == nil:
		case k.worker != "":
			w := WorkerRecord{Worker: e.shown.workerAnnounced(), Health: e.health, Holder: e.holder.peer}
			d.cache.workers = append(d.cache.workers, w)
		default:
			b := BackendServerRecord{BackendServer: e.shown.backendServer(), Health: e.health, Holder: e.holder.peer}
			d.cache.servers = append(d.cache.servers, b)
		}
	}
}

// recompute updates the entry under k from all spaces. An own record that is outdated is
// left to expire.
func (d *Directory) recompute(k key) {
	e := d.entries[k]
	next, found := d.merge(k)
	if !found {
		d.drop(k, e)
		return
	}
	if e == nil {
		e = new(entry)
		d.entries[k] = e
	}
	if next.holder == nil {
		next.shown = e.shown
	}
	if !next.sameRouting(e) {
		d.version++
		d.cache.valid = false
	}
	d.index(k, e, &next)
	*e = next
}

// recomputeAll updates all entries.
func (d *Directory) recomputeAll() {
	for _, k := range sortedKeys(d.entries) {
		d.recompute(k)
	}
}

// merge returns the combined entry under k, and false if no space has a record of it.
func (d *Directory) merge(k key) (entry, bool) {
	var e entry
	found := false
	for _, s := range d.spaces {
		r := s.records[k]
		if r == nil {
			continue
		}
		if !found || r.compare(&e.latest) > 0 {
			e.latest = r.ended(r.Stage)
		}
		e.holderSeq = max(e.holderSeq, r.HolderSeq)
		found = true
	}
	if found && e.latest.Stage != StageWithdrawn {
		d.mergeHeld(k, &e)
	}
	return e, found
}

// mergeHeld sets the holder and the health of e. A peer that holds an earlier stage of the
// latest incarnation shows that its sender is alive.
func (d *Directory) mergeHeld(k key, e *entry) {
	status := statusExpired
	for _, s := range d.spaces {
		r := s.records[k]
		if r == nil || !r.held() || r.Incarnation != e.latest.Incarnation || s.status == statusExpired {
			continue
		}
		status = min(status, s.status)
		if e.holder == nil || better(s, r, e) {
			e.holder, e.shown = s, r.Record
		}
	}
	if e.holder == nil {
		return
	}
	e.shown.Stage = e.latest.Stage
	e.health = tackfleet.HealthServing
	if status == statusUnknown {
		e.health = tackfleet.HealthUnknown
	}
}

// better reports whether the record r in s takes precedence over the one that e shows: the
// later stage, then the higher holder sequence number, then an arbitrary order that all
// peers agree on.
func better(s *space, r *stored, e *entry) bool {
	c := cmp.Or(
		cmp.Compare(r.Stage, e.shown.Stage),
		cmp.Compare(r.HolderSeq, e.shown.HolderSeq),
		cmp.Compare(s.peer, e.holder.peer),
		cmp.Compare(s.epoch, e.holder.epoch),
	)
	return c > 0
}

// sameRouting reports whether e and o are equivalent for routing.
func (e *entry) sameRouting(o *entry) bool {
	if e.holder == nil || o.holder == nil {
		return e.holder == nil && o.holder == nil
	}
	return e.health == o.health && e.holder.peer == o.holder.peer && e.shown.same(o.shown)
}

// drop removes the entry under k.
func (d *Directory) drop(k key, e *entry) {
	if e == nil {
		return
	}
	d.index(k, e, &entry{})
	delete(d.entries, k)
	if e.holder != nil {
		d.version++
		d.cache.valid = false
	}
}

// index updates the index of entries by VM.
func (d *Directory) index(k key, was, is *entry) {
	if was.shown.VM != "" && was.shown.VM != is.shown.VM {
		delete(d.vms[was.shown.VM], k)
		if len(d.vms[was.shown.VM]) == 0 {
			delete(d.vms, was.shown.VM)
		}
	}
	if is.shown.VM == "" {
		return
	}
	if d.vms[is.shown.VM] == nil {
		d.vms[is.shown.VM] = make(map[key]*entry)
	}
	d.vms[is.shown.VM][k] = d.entries[k]
}

// sorted returns the spaces by ID, for a deterministic order of processing.
func (d *Directory) sorted() []*space {
	list := slices.Collect(maps.Values(d.spaces))
	slices.SortFunc(list, func(a, b *space) int { return cmp.Compare(a.id, b.id) })
	return list
}

// sortedKeys returns the keys of m in sorted order.
func sortedKeys[V any](m map[key]V) []key {
	keys := slices.Collect(maps.Keys(m))
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.worker, b.worker))
	})
	return keys
}
