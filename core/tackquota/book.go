// Package tackquota tracks what each workspace has running and decides what it may start.
//
// The cap of a workspace holds over all workers at any moment, whichever leader ordered
// the runs. A leader counts each run from the order to start it until its worker has
// reported its end, or the lease of the run has expired. It cannot count runs that an
// earlier leader started and that no worker has reported yet, but it knows an upper bound
// for them: before a leader lets a workspace run more than any leader has, it commits
// that amount, the grant, to the log. So what runs never exceeds the newest grant, and a
// new leader counts the whole grant that it finds as running until the leases of its
// predecessors have expired.
package tackquota

import (
	"fmt"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackroom"
	"auburntack/core/tackworkspace"
)

const (
	// grantStepDivisor divides the cap into steps. A grant is requested one step above
	// what runs, so that starts need not wait for the log.
	grantStepDivisor = 8
	// maxSlackSteps is the number of steps by which a grant may exceed what runs before
	// it is lowered. Under the next leader, the excess cannot be used until the leases of
	// its predecessors have expired.
	maxSlackSteps = 3
	// lowerInterval is the interval between the searches for grants that are too high.
	lowerInterval = tackclock.Second
	// unlimited exceeds the resources of all workers together.
	unlimited = math.MaxInt32
)

type (
	// Grant is the limit on what a workspace may have running, as committed to the log.
	Grant struct {
		Workspace tackid.Workspace   `cbor:"1,keyasint"`
		Resources tackroom.Resources `cbor:"2,keyasint"`
	}

	// Grants are the grants committed to the log.
	Grants map[tackid.Workspace]tackroom.Resources

	// Book holds the accounts of one leader. Its zero value has none. It is not safe for
	// concurrent use.
	Book struct {
		accounts map[tackid.Workspace]*Account
		// earlierLeasesEnd is the time from which on nothing runs that an earlier leader
		// started and that no worker has reported.
		earlierLeasesEnd tackclock.Time
		requesting       []*Account // accounts with a grant to propose
		all              tackroom.Resources
		weights          float64 // sum over all workspaces
		lowerAt          tackclock.Time
	}

	// Account tracks what one workspace has running.
	Account struct {
		book *Book
		name tackid.Workspace
		cap  tackroom.Resources // a zero field means no limit
		// weight is its share relative to the weights of the others; zero if it has none.
		weight float64
		// used is what is known to run, and earlier the part of it that earlier leaders
		// started.
		used    tackroom.Resources
		earlier tackroom.Resources
		// inherited is the limit on what earlier leaders may have had running.
		inherited tackroom.Resources
		// requested is the newest grant that was requested, and proposed are the proposed
		// grants that are not known to be committed. granted is the minimum of those and
		// of the committed one: the next leader may find any of them.
		requested  tackroom.Resources
		proposed   []tackroom.Resources
		granted    tackroom.Resources
		requesting bool // is in Book.requesting
	}
)

// Begin resets the accounts for a new leader that finds the given grants in its log.
// Until earlierLeasesEnd, there may be running items that an earlier leader started and
// that no worker has reported.
func (b *Book) Begin(earlierLeasesEnd tackclock.Time, workspaces []tackworkspace.Workspace, grants Grants) {
	*b = Book{accounts: make(map[tackid.Workspace]*Account), earlierLeasesEnd: earlierLeasesEnd}
	for name, resources := range grants {
		a := b.Account(name)
		a.inherited, a.granted, a.requested = resources, resources, resources
	}
	b.SetCaps(workspaces)
}

// Restart resets the accounts for the same leader, some of whose proposals may not be
// committed yet.
func (b *Book) Restart(earlierLeasesEnd tackclock.Time, workspaces []tackworkspace.Workspace, grants Grants) {
	before := b.accounts
	b.Begin(earlierLeasesEnd, nil, grants)
	for name, a := range before {
		if len(a.proposed) > 0 {
			next := b.Account(name)
			next.proposed = a.proposed
			next.grant(next.granted)
			next.requested = next.granted // requests that were not proposed may be lost
		}
	}
	b.SetCaps(workspaces)
}

// SetCaps sets the caps and weights from the workspaces of a catalog. A workspace that is
// not listed has no cap.
func (b *Book) SetCaps(workspaces []tackworkspace.Workspace) {
	for _, a := range b.accounts {
		a.cap, a.weight = tackroom.Resources{}, 0
	}
	b.weights = 0
	for i := range workspaces {
		a := b.Account(workspaces[i].Name)
		a.cap, a.weight = workspaces[i].Cap, workspaces[i].Weight
		b.weights += a.weight
		a.prefetch()
	}
}

// Account returns the account of a workspace. For the empty name, that of jobs without a
// workspace, it is nil, which imposes no limit. A workspace without a grant in the log
// may have been running without a cap, so until the leases of earlier leaders have
// expired the amount is unknown.
func (b *Book) Account(name tackid.Workspace) *Account {
	if name == "" {
		return nil
	}
	a := b.accounts[name]
	if a == nil {
		a = &Account{book: b, name: name, inherited: tackroom.Resources{MilliCores: unlimited, MemoryMB: unlimited, GPUs: unlimited}}
		b.accounts[name] = a
	}
	return a
}

// TakeRequested returns the grants to propose to the log that were requested since the last
// call.
func (b *Book) TakeRequested(now tackclock.Time) []Grant {
	b.lower(now)
	var list []Grant
	for _, a := range b.requesting {
		a.requesting = false
		a.proposed = append(a.proposed, a.requested)
		a.granted = a.granted.Min(a.requested) // another grant may have been committed meanwhile
		list = append(list, Grant{Workspace: a.name, Resources: a.requested})
	}
	b.requesting = nil
	return list
}

// Committed records that the grants have been committed to the log.
func (b *Book) Committed(list []Grant) {
	for _, g := range list {
		a := b.Account(g.Workspace)
		if at := slices.Index(a.proposed, g.Resources); at >= 0 {
			a.proposed = a.proposed[at+1:]
		}
		a.grant(g.Resources)
	}
}

// grant records the committed grant.
func (a *Account) grant(held tackroom.Resources) {
	a.granted = held
	for _, resources := range a.proposed {
		a.granted = a.granted.Min(resources)
	}
}

// lower requests lower grants for the accounts whose grant far exceeds what runs.
func (b *Book) lower(now tackclock.Time) {
	if now < b.earlierLeasesEnd || now < b.lowerAt {
		return
	}
	b.lowerAt = now.Add(lowerInterval)
	for _, name := range b.names() {
		a := b.accounts[name]
		next := a.grantFor(a.used)
		if a.requested != a.granted || !a.capped() || next.Plus(a.cap.DividedBy(grantStepDivisor).Times(maxSlackSteps-1)).Fits(a.granted) {
			continue
		}
		// The lower grant may be committed as soon as it is proposed, so it applies from
		// now on.
		a.requested, a.granted = next, a.granted.Min(next)
		a.enqueue()
	}
}

// names returns the names of all accounts in order, so that the same events lead to the
// same log entries.
func (b *Book) names() []tackid.Workspace {
	names := make([]tackid.Workspace, 0, len(b.accounts))
	for name := range b.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Allows reports whether the workspace may start need at now. If only the grant is too
// low for it, Allows requests a higher one. An item that is larger than the cap may run
// if nothing else does.
func (a *Account) Allows(now tackclock.Time, need tackroom.Resources) bool {
	if a == nil || !a.capped() {
		return true
	}
	runs := a.running(now)
	total := runs.Plus(need)
	if !a.within(runs, total) {
		return false
	}
	if a.covers(a.granted, total) {
		return true
	}
	a.request(total)
	return false
}

// CapReached reports whether the cap keeps the workspace from starting need at now.
func (a *Account) CapReached(now tackclock.Time, need tackroom.Resources) bool {
	if a == nil || !a.capped() {
		return false
	}
	runs := a.running(now)
	return !a.within(runs, runs.Plus(need))
}

// RequestAhead requests, within the cap, the grant that allows need to start soon, so
// that the start need not wait for the log once there is a worker for it.
func (a *Account) RequestAhead(now tackclock.Time, need tackroom.Resources) {
	if a != nil && a.capped() {
		a.request(a.running(now).Plus(need).CappedBy(a.cap))
	}
}

// WithinCap reports whether a start that was counted already, but has not been ordered yet,
// is still within the cap.
func (a *Account) WithinCap(now tackclock.Time, resources tackroom.Resources) bool {
	if a == nil {
		return true
	}
	total := a.running(now)
	return a.within(total.Minus(resources), total)
}

// within reports whether what runs may grow from runs to total.
func (a *Account) within(runs, total tackroom.Resources) bool {
	return withinPart(runs.MilliCores, total.MilliCores, a.cap.MilliCores) &&
		withinPart(runs.MemoryMB, total.MemoryMB, a.cap.MemoryMB) && withinPart(runs.GPUs, total.GPUs, a.cap.GPUs)
}

func withinPart(runs, total, limit int) bool {
	return limit == 0 || total <= limit || runs == 0
}

// CapAllows reports whether the cap allows need to run at once if nothing else runs.
func (a *Account) CapAllows(need tackroom.Resources) bool {
	return a == nil || a.cap.Allows(need)
}

// Start records that a run with these resources was ordered to start, now or by an
// earlier leader.
func (a *Account) Start(resources tackroom.Resources, earlier bool) {
	if a == nil {
		return
	}
	a.used = a.used.Plus(resources)
	if earlier {
		a.earlier = a.earlier.Plus(resources)
	}
	a.prefetch()
}

// prefetch requests a higher grant before starts have to wait for it.
func (a *Account) prefetch() {
	if soon := a.used.Plus(a.cap.DividedBy(2 * grantStepDivisor)); a.capped() && !a.covers(a.requested, soon.Min(a.grantFor(a.used))) {
		a.requested = a.requested.Max(a.grantFor(a.used))
		a.enqueue()
	}
}

// covers reports whether a grant suffices for total. Resources without a cap are always
// covered.
func (a *Account) covers(grant, total tackroom.Resources) bool {
	part := func(granted, total, limit int) bool { return limit == 0 || total <= granted }
	return part(grant.MilliCores, total.MilliCores, a.cap.MilliCores) &&
		part(grant.MemoryMB, total.MemoryMB, a.cap.MemoryMB) && part(grant.GPUs, total.GPUs, a.cap.GPUs)
}

// End records that a run with these resources, for which Start was called, has ended.
func (a *Account) End(resources tackroom.Resources, earlier bool) {
	if a == nil {
		return
	}
	a.used = a.used.Minus(resources)
	if earlier {
		a.earlier = a.earlier.Minus(resources)
	}
}

// Used returns what is known to run.
func (a *Account) Used() tackroom.Resources { return a.used }

// Granted returns what may run until the log grants more. For resources without a cap it
// exceeds all that exists.
func (a *Account) Granted() tackroom.Resources { return a.granted }

// Cap returns the cap; a zero field means no limit.
func (a *Account) Cap() tackroom.Resources {
	if a == nil {
		return tackroom.Resources{}
	}
	return a.cap
}

// String describes what runs and what may run, for logs.
func (a *Account) String() string {
	if a == nil {
		return "no workspace"
	}
	return fmt.Sprintf("%s runs %v of %v, granted %v", a.name, a.used, a.cap, a.granted)
}

// running returns what may be running at now. Until the leases of earlier leaders have
// expired, they may have started everything that was granted, no matter how much of it
// has been reported.
func (a *Account) running(now tackclock.Time) tackroom.Resources {
	if now >= a.book.earlierLeasesEnd {
		return a.used
	}
	return a.used.Minus(a.earlier).Plus(a.earlier.Max(a.inherited))
}

func (a *Account) capped() bool {
	return a.cap != tackroom.Resources{}
}

// request requests a grant that allows total to run.
func (a *Account) request(total tackroom.Resources) {
	if !a.capped() || a.covers(a.requested, total) {
		return
	}
	a.requested = a.requested.Max(a.grantFor(total))
	a.enqueue()
}

// grantFor returns the grant to request for total: one step more, but no more than the
// cap unless more runs already. Resources without a cap are granted without limit.
func (a *Account) grantFor(total tackroom.Resources) tackroom.Resources {
	part := func(total, limit int) int {
		if limit == 0 {
			return unlimited
		}
		return max(total, min(limit, total+limit/grantStepDivisor))
	}
	return tackroom.Resources{
		MilliCores: part(total.MilliCores, a.cap.MilliCores), MemoryMB: part(total.MemoryMB, a.cap.MemoryMB),
		GPUs: part(total.GPUs, a.cap.GPUs),
	}
}

func (a *Account) enqueue() {
	if !a.requesting {
		a.requesting = true
		a.book.requesting = append(a.book.requesting, a)
	}
}
