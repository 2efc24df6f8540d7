// Package tackmember keeps the directory of backend servers and workers: who
// has announced itself, where, and whether it still does. The directory is
// soft state that the peers spread among themselves; nothing of it is stored.
package tackmember

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

type (
	// Directory is one peer's view of who announces. Its zero value, once
	// configured, is an empty directory. It is not safe for concurrent use.
	Directory struct {
		self    tackid.Peer
		dc      tackid.DataCentre
		version uint64
		servers map[tackid.BackendServer]*BackendServer
		workers map[tackid.VM]*Worker
	}

	// BackendServerRecord is what the directory knows of a backend server.
	// Health is serving, or unknown while no peer that hears it can be heard.
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

	// Message is what peers send each other about the directory.
	Message struct{}

	// Outgoing is a message and the peer that it is for.
	Outgoing struct {
		To      tackid.Peer
		Message Message
	}
)

// Configure names the peer whose directory this is, and its data centre.
func (d *Directory) Configure(self tackid.Peer, dc tackid.DataCentre) {
	d.self, d.dc = self, dc
}

// SetPeers gives the peers of the system; the peer itself may be among them.
func (d *Directory) SetPeers(peers []tackid.Peer) {}

// Announce takes in an announcement that came straight from its sender. The
// error is a *FieldError.
func (d *Directory) Announce(now tackclock.Time, a Announcement) (Reply, error) {
	if err := a.Validate(); err != nil {
		return Reply{}, err
	}
	if d.servers == nil {
		d.servers, d.workers = map[tackid.BackendServer]*BackendServer{}, map[tackid.VM]*Worker{}
	}
	if a.Worker != nil {
		w := *a.Worker
		d.workers[w.ID] = &w
	} else {
		b := *a.BackendServer
		d.servers[b.ID] = &b
	}
	d.version++
	return Reply{Accepted: true, NextWithin: 2 * tackclock.Second}, nil
}

// Withdraw ends the incarnation of a backend server, and reports whether
// there was something to end.
func (d *Directory) Withdraw(now tackclock.Time, id tackid.BackendServer, inc tackid.Incarnation) bool {
	_, ok := d.servers[id]
	delete(d.servers, id)
	d.version++
	return ok
}

// Tick does what is due and returns the messages to send. It wants to be
// called every 50 to 200 ms.
func (d *Directory) Tick(now tackclock.Time) []Outgoing { return nil }

// Receive takes in a message from another peer and returns the answers.
func (d *Directory) Receive(now tackclock.Time, from tackid.Peer, m Message) []Outgoing { return nil }

// Version returns a number that rises whenever something that routing
// depends on has changed.
func (d *Directory) Version() uint64 { return d.version }

// BackendServers returns the backend servers that are not lost, by id.
func (d *Directory) BackendServers() []BackendServerRecord {
	var list []BackendServerRecord
	for _, b := range d.servers {
		list = append(list, BackendServerRecord{BackendServer: *b, Health: tackfleet.HealthServing, Holder: d.self})
	}
	slices.SortFunc(list, func(a, b BackendServerRecord) int { return compare(a.ID, b.ID) })
	return list
}

// Workers returns the workers that are not lost, by id.
func (d *Directory) Workers() []WorkerRecord {
	var list []WorkerRecord
	for _, w := range d.workers {
		list = append(list, WorkerRecord{Worker: *w, Health: tackfleet.HealthServing, Holder: d.self})
	}
	slices.SortFunc(list, func(a, b WorkerRecord) int { return compare(a.ID, b.ID) })
	return list
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// VM returns what the announcements say of a VM.
func (d *Directory) VM(id tackid.VM) tackfleet.Observation {
	o := tackfleet.Observation{VM: id}
	if w := d.workers[id]; w != nil {
		o.DataCentre, o.Rack, o.Cores, o.MemoryMB = w.DataCentre, w.Rack, w.Cores, w.MemoryMB
		o.Accelerators, o.Health = w.Accelerators, tackfleet.HealthServing
		return o
	}
	for _, b := range d.servers {
		if b.VM == id {
			o.DataCentre, o.Rack, o.Health = b.DataCentre, b.Rack, tackfleet.HealthServing
		}
	}
	return o
}

// Observations returns what the announcements say of those of the known VMs
// of which the fleet's state says otherwise, for the leader to propose.
func (d *Directory) Observations(now tackclock.Time, known []tackfleet.VM) []tackfleet.Observation {
	var changes []tackfleet.Observation
	for _, v := range known {
		if o := d.VM(v.ID); o.Health != v.Health {
			changes = append(changes, o)
		}
	}
	return changes
}
