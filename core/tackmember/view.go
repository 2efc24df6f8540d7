package tackmember

import (
	"cmp"
	"maps"
	"slices"

	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// BackendServerRecord is what the directory knows of a backend server.
	// Health is serving, or unknown while no peer that hears it can be heard.
	// Holder is the peer that its announcements come to.
	BackendServerRecord struct {
		BackendServer
		Health tackfleet.Health
		Holder tackid.Peer
	}

	// WorkerRecord is what the directory knows of a worker.
	WorkerRecord struct {
		Worker
		Health tackfleet.Health
		Holder tackid.Peer
	}

	// entry is what all spaces together say of one backend server or worker.
	entry struct {
		top    Record // the latest incarnation and stage
		turn   uint64 // the highest
		shown  Record // the last that was held
		holder *space // of shown; nil when lost
		health tackfleet.Health
	}

	// listing keeps the sorted lists until something changes.
	listing struct {
		valid   bool
		servers []BackendServerRecord
		workers []WorkerRecord
	}
)

// Version returns a number that rises whenever something that routing
// depends on has changed.
func (d *Directory) Version() uint64 {
	return d.version
}

// BackendServers returns the backend servers that are neither lost nor
// withdrawn, by id. The slice must not be changed and is replaced, not
// altered, when something changes.
func (d *Directory) BackendServers() []BackendServerRecord {
	d.list()
	return d.cache.servers
}

// Workers returns the workers that are not lost, by id. The slice must not be
// changed.
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

// settle works out anew what is known under k. An own record that others have
// overtaken is left to end by silence.
func (d *Directory) settle(k key) {
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
	if !next.alike(e) {
		d.version++
		d.cache.valid = false
	}
	d.index(k, e, &next)
	*e = next
}

// settleAll works out everything anew.
func (d *Directory) settleAll() {
	for _, k := range sortedKeys(d.entries) {
		d.settle(k)
	}
}

// merge returns what all spaces together say under k.
func (d *Directory) merge(k key) (entry, bool) {
	var e entry
	found := false
	for _, s := range d.spaces {
		r := s.records[k]
		if r == nil {
			continue
		}
		if !found || r.compare(&e.top) > 0 {
			e.top = r.ended(r.Stage)
		}
		e.turn = max(e.turn, r.Turn)
		found = true
	}
	if found && e.top.Stage != StageWithdrawn {
		d.mergeHeld(k, &e)
	}
	return e, found
}

// mergeHeld sets the holder and the health of e. A peer that holds an earlier
// stage of the latest incarnation shows that its sender is alive.
func (d *Directory) mergeHeld(k key, e *entry) {
	standing := standingEnded
	for _, s := range d.spaces {
		r := s.records[k]
		if r == nil || !r.held() || r.Incarnation != e.top.Incarnation || s.standing == standingEnded {
			continue
		}
		standing = min(standing, s.standing)
		if e.holder == nil || better(s, r, e) {
			e.holder, e.shown = s, r.Record
		}
	}
	if e.holder == nil {
		return
	}
	e.shown.Stage = e.top.Stage
	e.health = tackfleet.HealthServing
	if standing == standingUnknown {
		e.health = tackfleet.HealthUnknown
	}
}

// better reports whether the record r in s goes before the one that e shows:
// the later stage, then the later turn, then any order that all peers share.
func better(s *space, r *stored, e *entry) bool {
	c := cmp.Or(
		cmp.Compare(r.Stage, e.shown.Stage),
		cmp.Compare(r.Turn, e.shown.Turn),
		cmp.Compare(s.peer, e.holder.peer),
		cmp.Compare(s.epoch, e.holder.epoch),
	)
	return c > 0
}

// alike reports whether routing sees no difference between e and o.
func (e *entry) alike(o *entry) bool {
	if e.holder == nil || o.holder == nil {
		return e.holder == nil && o.holder == nil
	}
	return e.health == o.health && e.holder.peer == o.holder.peer && e.shown.same(o.shown)
}

// drop forgets what was known under k.
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

// index keeps the entries of each VM.
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

// sorted returns the spaces by id, for a fixed order of what follows.
func (d *Directory) sorted() []*space {
	list := slices.Collect(maps.Values(d.spaces))
	slices.SortFunc(list, func(a, b *space) int { return cmp.Compare(a.id, b.id) })
	return list
}

// sortedKeys returns the keys of m in their order.
func sortedKeys[V any](m map[key]V) []key {
	keys := slices.Collect(maps.Keys(m))
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.worker, b.worker))
	})
	return keys
}
