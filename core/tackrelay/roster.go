package tackrelay

import (
	"cmp"
	"hash/fnv"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// HelloInterval is the interval at which a relay without reports says that it is
	// available.
	HelloInterval = 500 * tackclock.Millisecond
	// liveTimeout is how long a relay stays eligible for workers after it was last heard
	// from: three hellos.
	liveTimeout = 3 * HelloInterval
	// disablePercent is the percentage of the threshold for enabling relays below which
	// they are disabled. Between the two the state does not change.
	disablePercent = 80
)

type (
	// Roster is the set of relays that a leader can use. Its zero value is empty. It is not
	// safe for concurrent use.
	Roster struct {
		relays map[tackid.Peer]relay
		on     bool
	}

	relay struct {
		heard      tackclock.Time
		dataCentre tackid.DataCentre
	}
)

// Heard records a message from a relay.
func (r *Roster) Heard(now tackclock.Time, p tackid.Peer, dc tackid.DataCentre) {
	if r.relays == nil {
		r.relays = make(map[tackid.Peer]relay)
	}
	r.relays[p] = relay{heard: now, dataCentre: dc}
}

// Inherit records that workers reported to relays under the previous leader. They continue
// to do so: otherwise a new leader, which knows no workers yet, would have all of them
// report to itself.
func (r *Roster) Inherit() {
	r.on = true
}

// Update decides whether workers report to relays, given the number of workers known so far;
// all says that no more are expected. The workers of a small fleet report to the leader
// directly, which saves a hop.
func (r *Roster) Update(workers, from int, all bool) {
	if r.on && all {
		r.on = workers*100 >= from*disablePercent
		return
	}
	r.on = r.on || workers >= from
}

// Enabled reports whether workers report to relays.
func (r *Roster) Enabled() bool {
	return r.on
}

// Choose returns the control VM that a worker must report to next: the relay that forwarded
// its report, if that is in the worker's data centre, otherwise another relay there,
// otherwise any relay; empty for the leader itself. Workers are spread evenly, and the loss
// of a relay moves only its own workers.
func (r *Roster) Choose(now tackclock.Time, worker string, dc tackid.DataCentre, by tackid.Peer) tackid.Peer {
	if !r.on {
		return ""
	}
	near := r.live(now, func(x relay) bool { return x.dataCentre == dc })
	if len(near) == 0 {
		near = r.Live(now)
	}
	if len(near) == 0 || slices.Contains(near, by) {
		return by
	}
	return slices.MaxFunc(near, func(a, b tackid.Peer) int {
		return cmp.Or(cmp.Compare(weight(worker, a), weight(worker, b)), cmp.Compare(a, b))
	})
}

// Live returns the relays that were heard from within liveTimeout.
func (r *Roster) Live(now tackclock.Time) []tackid.Peer {
	return r.live(now, func(relay) bool { return true })
}

func (r *Roster) live(now tackclock.Time, match func(relay) bool) []tackid.Peer {
	var list []tackid.Peer
	for p, x := range r.relays {
		if now.Sub(x.heard) <= liveTimeout && match(x) {
			list = append(list, p)
		}
	}
	return list
}

// weight returns the rendezvous hash of a worker and a relay.
func weight(worker string, p tackid.Peer) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(worker)) // never fails
	_, _ = h.Write([]byte(p))
	return mix(h.Sum64())
}

// mix distributes the bits of a hash, so that names that differ only at the end also differ
// in the highest bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
