package tackdispatch

import (
	"auburntack/core/tackclock"
)

const (
	// maxGangTurns is the number of gangs that are tried in turn per gangsEvery, whatever
	// their rank, and maxMissedTurns the number of such intervals that one attempt makes up
	// for: attempts are made with heartbeats, which are few in a small pool.
	maxGangTurns   = 4
	maxMissedTurns = 8
	// maxGangChecks is the number of gangs that no workers of the pool can hold that an
	// attempt looks at again.
	maxGangChecks = 32
)

type (
	// gangTurns holds the gangs of a pool that wait. Its zero value is empty. Gangs that wait
	// no longer are removed when they come first.
	gangTurns struct {
		// waiting are those to try, the one that was tried longest ago first.
		waiting []*gangTurn
		// tooLarge are those that the pool's workers could not hold even if all were idle,
		// the one that was looked at longest ago first.
		tooLarge []*gangTurn
		// changes counts the changes of what the pool's workers can hold.
		changes uint64
	}

	// gangTurn is the place of a gang. It is void if the gang has another.
	gangTurn struct {
		gang *openStep
	}
)

// add adds a gang that has no place yet.
func (x *gangTurns) add(s *openStep) {
	if s.turn != nil {
		return
	}
	s.turn = &gangTurn{gang: s}
	if s.tooLarge {
		x.tooLarge = append(x.tooLarge, s.turn)
	} else {
		x.waiting = append(x.waiting, s.turn)
	}
}

// takeTurn removes the first place of a list, and returns its gang, or nil if it does not wait.
func takeTurn(list *[]*gangTurn) *openStep {
	t := (*list)[0]
	*list = (*list)[1:]
	s := t.gang
	if s.turn != t {
		return nil
	}
	s.turn = nil
	if !s.queued || len(s.waiting) == 0 {
		return nil
	}
	return s
}

// turnsDue returns how many gangs are to be tried in turn now.
func (p *pool) turnsDue(now tackclock.Time) int {
	missed := min(max(now.Sub(p.gangsAt)/gangsEvery, 0)+1, maxMissedTurns)
	return min(maxGangTurns*int(missed), len(p.turns.waiting))
}

// nextTurn returns the next gang to try in turn, or nil if none of the next n waits. It
// reduces n by the number of gangs that it has looked at.
func (p *pool) nextTurn(n *int) *openStep {
	x := &p.turns
	for *n > 0 {
		*n--
		s := takeTurn(&x.waiting)
		if s == nil {
			continue
		}
		x.add(s)
		if !s.tooLarge {
			return s
		}
	}
	return nil
}

// couldHold reports whether the pool's workers could hold the gang if they were idle.
func (d *Dispatcher) couldHold(p *pool, s *openStep) bool {
	need := s.Reserved()
	left := s.Count
	for _, w := range p.workers {
		if w.draining || !w.hasLabel(s.Requires) {
			continue
		}
		d.examined++
		room := w.capacity
		for here := 0; left > 0 && room.Fits(need) && (s.MaxPerWorker == 0 || here < s.MaxPerWorker); here++ {
			room = room.Minus(need)
			left--
		}
		if left == 0 {
			return true
		}
	}
	return false
}

// checkSize determines whether the gang is too large for its pool, if that may have changed.
func (d *Dispatcher) checkSize(now tackclock.Time, p *pool, s *openStep) {
	if s.sizeChecked == p.turns.changes+1 {
		return
	}
	s.sizeChecked = p.turns.changes + 1
	if tooLarge := !d.couldHold(p, s); tooLarge != s.tooLarge {
		s.tooLarge, s.turn = tooLarge, nil
		p.dequeue(s)
		d.enqueue(now, p, s)
	}
}

// checkTooLarge looks at gangs that were too large, in turn, and checks those again since
// whose last check the pool's workers have changed.
func (d *Dispatcher) checkTooLarge(now tackclock.Time, p *pool) {
	x := &p.turns
	for range min(maxGangChecks, len(x.tooLarge)) {
		if s := takeTurn(&x.tooLarge); s != nil {
			d.checkSize(now, p, s)
			x.add(s)
		}
	}
}
