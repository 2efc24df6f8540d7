package tackdispatch

import (
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroom"
	"auburntack/core/tackworkspace"
)

// pool is a service's workers and the steps that wait for them.
type pool struct {
	service tackid.Service
	workers []*worker
	// steps are sorted by rank. Those with nothing waiting are dropped when
	// they are next passed.
	steps []*openStep
	// labelled says that some of them require a label.
	labelled bool
	// trials says that some of their items are to start by themselves, and clear
	// keeps workers free for them.
	trials bool
	clear  clearing
	// mostOver is how far the workspaces of waiting steps are over their shares at most.
	mostOver int
	// arrivals are the jobs that were handed in lately.
	arrivals []arrival
	reserved reservation
	// roomy is how many workers had room when they were last counted; they are
	// counted again at countAt.
	roomy   int
	countAt tackclock.Time
	// gangsAt is when room is looked for again for gangs.
	gangsAt tackclock.Time
}

func (p *pool) add(w *worker) {
	p.workers = append(p.workers, w)
}

func (p *pool) remove(w *worker) {
	p.workers = slices.DeleteFunc(p.workers, func(o *worker) bool { return o == w })
}

// open puts a step in its place.
func (p *pool) open(s *openStep) {
	if s.pooled {
		return
	}
	s.pooled = true
	at, _ := slices.BinarySearchFunc(p.steps, s, func(a, b *openStep) int { return a.rank.compare(b.rank) })
	p.steps = slices.Insert(p.steps, at, s)
}

func (p *pool) closeStep(s *openStep) {
	if !s.pooled {
		return
	}
	s.pooled = false
	p.steps = slices.DeleteFunc(p.steps, func(o *openStep) bool { return o == s })
}

// tidy drops the steps with nothing waiting.
func (p *pool) tidy() {
	p.labelled, p.trials, p.mostOver = false, false, 0
	p.steps = slices.DeleteFunc(p.steps, func(s *openStep) bool {
		if len(s.waiting) > 0 {
			p.labelled = p.labelled || s.Requires != ""
			p.trials = p.trials || len(s.restraints) > 0
			p.mostOver = max(p.mostOver, s.job.account.Over())
			return false
		}
		s.pooled = false
		return true
	})
}

// capacity is what the pool's workers have that take new work.
func (p *pool) capacity() tackroom.Room {
	var sum tackroom.Room
	for _, w := range p.workers {
		if !w.draining {
			sum = sum.Plus(w.capacity)
		}
	}
	return sum
}

// Rebind takes in a catalog: steps move whose jobs' queue goes to another service now,
// and the workspaces' caps are those that it gives.
func (d *Dispatcher) Rebind(workspaces []tackworkspace.Workspace) {
	d.quota.SetCaps(workspaces)
	for _, p := range d.pools {
		var moved []*openStep
		for _, s := range p.steps {
			if s.job.Service != p.service {
				moved = append(moved, s)
			}
		}
		for _, s := range moved {
			p.closeStep(s)
			d.pool(s.job.Service).open(s)
		}
	}
}
