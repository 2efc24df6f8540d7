package tackrelay

import (
	"cmp"
	"hash/fnv"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// HelloEvery is how often a relay without reports says that it can take some.
	HelloEvery = 500 * tackclock.Millisecond
	// heardWithin is within which time a relay must have been heard to be given workers:
	// three hellos.
	heardWithin = 3 * HelloEvery
	// keepPercent is the part of the workers that have relays used, below which they
	// are not any more. Between both figures all stays as it is.
	keepPercent = 80
)

type (
	// Roster is the relays that a leader can use. Its zero value knows none. It is not
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

// Heard takes in that a relay was heard.
func (r *Roster) Heard(now tackclock.Time, p tackid.Peer, dc tackid.DataCentre) {
	if r.relays == nil {
		r.relays = make(map[tackid.Peer]relay)
	}
	r.relays[p] = relay{heard: now, dataCentre: dc}
}

// Inherit takes in that workers reported to relays under the leader before. They go on to:
// a leader that knew none of them yet would else have all of them ask itself.
func (r *Roster) Inherit() {
	r.on = true
}

// Judge decides whether workers report to relays, now that so many are known, or all of
// them if all is set. A small fleet's workers report to the leader itself, which is one hop
// less.
func (r *Roster) Judge(workers, from int, all bool) {
	if r.on && all {
		r.on = workers*100 >= from*keepPercent
		return
	}
	r.on = r.on || workers >= from
}

// On reports whether workers report to relays.
func (r *Roster) On() bool {
	return r.on
}

// Choose returns the control VM that a worker is to ask next: the relay that its report
// came by, if that is one in its data centre, or one of those there, or of any; empty for
// the leader itself. Workers are spread evenly, and a relay that is lost moves its own
// workers alone.
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

// Live returns the relays that were heard lately.
func (r *Roster) Live(now tackclock.Time) []tackid.Peer {
	return r.live(now, func(relay) bool { return true })
}

func (r *Roster) live(now tackclock.Time, suits func(relay) bool) []tackid.Peer {
	var list []tackid.Peer
	for p, x := range r.relays {
		if now.Sub(x.heard) <= heardWithin && suits(x) {
			list = append(list, p)
		}
	}
	return list
}

// weight is how much a relay suits a worker, as a hash of both.
func weight(worker string, p tackid.Peer) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(worker)) // never fails
	_, _ = h.Write([]byte(p))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash, so that names that differ in their ends alone differ in
// the highest bits as well.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
