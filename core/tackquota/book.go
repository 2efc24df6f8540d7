// Package tackquota keeps account of what each workspace has running, and says
// what it may start.
//
// A workspace's cap holds over all workers at any moment, whichever leader ordered
// the runs. A leader counts each run from the order until its worker has listed the
// end, or its lease is over. What an earlier leader started and no worker has listed
// yet it cannot count. It knows a bound: before a leader lets a workspace run more
// than any leader has, it has the log hold that amount, the grant. So what runs never
// exceeds the newest grant, and a new leader starts beside the grant it finds until
// the leases of its predecessors are over.
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
	// stepParts is the part of its cap by which a workspace's grant is to exceed what
	// runs, so that starts need not wait for the log.
	stepParts = 8
	// slackParts is how many such parts it may exceed it. What a grant exceeds is kept
	// from starting for a while under the next leader.
	slackParts = 3
	// lowerEvery spaces out the looks for grants that are too high.
	lowerEvery = tackclock.Second
	// unknown is beyond the room of all workers together.
	unknown = math.MaxInt32
)

type (
	// Grant is what a workspace may have running at most, as the log holds it.
	Grant struct {
		Workspace tackid.Workspace `cbor:"1,keyasint"`
		Room      tackroom.Room    `cbor:"2,keyasint"`
	}

	// Grants are those that the log holds.
	Grants map[tackid.Workspace]tackroom.Room

	// Book is one leader's accounts. Its zero value has none. It is not safe for
	// concurrent use.
	Book struct {
		accounts map[tackid.Workspace]*Account
		// sure is when nothing runs any more that an earlier leader started and no
		// worker has listed.
		sure    tackclock.Time
		asking  []*Account // whose grants the log is to change
		all     tackroom.Room
		weights float64 // of all workspaces together
		lowerAt tackclock.Time
	}

	// Account is what one workspace has running.
	Account struct {
		book *Book
		name tackid.Workspace
		cap  tackroom.Room // a part that is zero is no bound
		// weight is its share of all, against that of the others; zero if it has none.
		weight float64
		// used is what is known to run, and earlier the part of it that earlier leaders
		// started.
		used    tackroom.Room
		earlier tackroom.Room
		// inherited is what earlier leaders may have had running.
		inherited tackroom.Room
		// asked is the newest grant that was asked for, and onTheirWay those of which it is
		// not known yet that the log holds them. granted is the least of those and of the
		// one that it holds: any of them may be what the next leader finds.
		asked      tackroom.Room
		onTheirWay []tackroom.Room
		granted    tackroom.Room
		asking     bool // in Book.asking
	}
)

// Begin begins the accounts of a leader, which finds these grants in its log. Until
// sure, things may run that an earlier leader started and no worker has listed.
func (b *Book) Begin(sure tackclock.Time, workspaces []tackworkspace.Workspace, grants Grants) {
	*b = Book{accounts: make(map[tackid.Workspace]*Account), sure: sure}
	for name, room := range grants {
		a := b.Account(name)
		a.inherited, a.granted, a.asked = room, room, room
	}
	b.SetCaps(workspaces)
}

// BeginAgain begins the accounts anew for the same leader, some of whose proposals may
// be on their way into the log.
func (b *Book) BeginAgain(sure tackclock.Time, workspaces []tackworkspace.Workspace, grants Grants) {
	before := b.accounts
	b.Begin(sure, nil, grants)
	for name, a := range before {
		if len(a.onTheirWay) > 0 {
			next := b.Account(name)
			next.onTheirWay = a.onTheirWay
			next.grant(next.granted)
			next.asked = next.granted // others may be lost
		}
	}
	b.SetCaps(workspaces)
}

// SetCaps takes in the workspaces of a catalog. One that it does not name has no cap.
func (b *Book) SetCaps(workspaces []tackworkspace.Workspace) {
	for _, a := range b.accounts {
		a.cap, a.weight = tackroom.Room{}, 0
	}
	b.weights = 0
	for i := range workspaces {
		a := b.Account(workspaces[i].Name)
		a.cap, a.weight = workspaces[i].Cap, workspaces[i].Weight
		b.weights += a.weight
		a.prefetch()
	}
}

// Account returns the account of a workspace. That of the empty name, of jobs that
// belong to none, is nil: nothing bounds them. What is not granted in the log may
// have been running without a cap, so until sure nobody knows how much it is.
func (b *Book) Account(name tackid.Workspace) *Account {
	if name == "" {
		return nil
	}
	a := b.accounts[name]
	if a == nil {
		a = &Account{book: b, name: name, inherited: tackroom.Room{MilliCores: unknown, MemoryMB: unknown, GPUs: unknown}}
		b.accounts[name] = a
	}
	return a
}

// Wanted returns the grants that the log is to hold, since the last call.
func (b *Book) Wanted(now tackclock.Time) []Grant {
	b.lower(now)
	var list []Grant
	for _, a := range b.asking {
		a.asking = false
		a.onTheirWay = append(a.onTheirWay, a.asked)
		a.granted = a.granted.Min(a.asked) // another one may have come meanwhile
		list = append(list, Grant{Workspace: a.name, Room: a.asked})
	}
	b.asking = nil
	return list
}

// Granted takes in that the log holds these grants.
func (b *Book) Granted(list []Grant) {
	for _, g := range list {
		a := b.Account(g.Workspace)
		if at := slices.Index(a.onTheirWay, g.Room); at >= 0 {
			a.onTheirWay = a.onTheirWay[at+1:]
		}
		a.grant(g.Room)
	}
}

// grant takes in what the log holds.
func (a *Account) grant(held tackroom.Room) {
	a.granted = held
	for _, room := range a.onTheirWay {
		a.granted = a.granted.Min(room)
	}
}

// lower asks for lower grants where far less runs.
func (b *Book) lower(now tackclock.Time) {
	if now < b.sure || now < b.lowerAt {
		return
	}
	b.lowerAt = now.Add(lowerEvery)
	for _, name := range b.names() {
		a := b.accounts[name]
		next := a.ahead(a.used)
		if a.asked != a.granted || !a.capped() || next.Plus(a.cap.Over(stepParts).Times(slackParts-1)).Fits(a.granted) {
			continue
		}
		// It may be in the log as soon as it is asked for.
		a.asked, a.granted = next, a.granted.Min(next)
		a.want()
	}
}

// names are those of all accounts, in order, so that the same events have the log hold
// the same.
func (b *Book) names() []tackid.Workspace {
	names := make([]tackid.Workspace, 0, len(b.accounts))
	for name := range b.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Allows reports whether the workspace may start so much more at now. If only the
// grant is too low, it asks for a higher one. An item that is larger than the cap
// runs by itself.
func (a *Account) Allows(now tackclock.Time, need tackroom.Room) bool {
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
	a.ask(total)
	return false
}

// Expect asks for the grant that lets so much start soon, as far as the cap allows it,
// so that it need not wait for the log when there is a worker for it.
func (a *Account) Expect(now tackclock.Time, need tackroom.Room) {
	if a != nil && a.capped() {
		a.ask(a.running(now).Plus(need).Within(a.cap))
	}
}

// Keeps reports whether a start that was taken in earlier, and not ordered yet, is still
// within the cap.
func (a *Account) Keeps(now tackclock.Time, room tackroom.Room) bool {
	if a == nil {
		return true
	}
	total := a.running(now)
	return a.within(total.Minus(room), total)
}

// within reports whether what runs may rise to total.
func (a *Account) within(runs, total tackroom.Room) bool {
	return withinPart(runs.MilliCores, total.MilliCores, a.cap.MilliCores) &&
		withinPart(runs.MemoryMB, total.MemoryMB, a.cap.MemoryMB) && withinPart(runs.GPUs, total.GPUs, a.cap.GPUs)
}

func withinPart(runs, total, limit int) bool {
	return limit == 0 || total <= limit || runs == 0
}

// Holds reports whether the cap has room for so much at once, whatever runs.
func (a *Account) Holds(need tackroom.Room) bool {
	return a == nil || a.cap.Bounds(need)
}

// Start takes in that so much is ordered to start, or was by an earlier leader.
func (a *Account) Start(room tackroom.Room, earlier bool) {
	if a == nil {
		return
	}
	a.used = a.used.Plus(room)
	if earlier {
		a.earlier = a.earlier.Plus(room)
	}
	a.prefetch()
}

// prefetch asks for a higher grant before starts have to wait for it.
func (a *Account) prefetch() {
	if soon := a.used.Plus(a.cap.Over(2 * stepParts)); a.capped() && !a.covers(a.asked, soon.Min(a.ahead(a.used))) {
		a.asked = a.asked.Max(a.ahead(a.used))
		a.want()
	}
}

// covers reports whether a grant is enough for so much. Of what has no cap it is.
func (a *Account) covers(grant, total tackroom.Room) bool {
	part := func(granted, total, limit int) bool { return limit == 0 || total <= granted }
	return part(grant.MilliCores, total.MilliCores, a.cap.MilliCores) &&
		part(grant.MemoryMB, total.MemoryMB, a.cap.MemoryMB) && part(grant.GPUs, total.GPUs, a.cap.GPUs)
}

// End takes in that so much of what was started runs no more.
func (a *Account) End(room tackroom.Room, earlier bool) {
	if a == nil {
		return
	}
	a.used = a.used.Minus(room)
	if earlier {
		a.earlier = a.earlier.Minus(room)
	}
}

// Used is what is known to run.
func (a *Account) Used() tackroom.Room { return a.used }

// Granted is what may run until the log grants more. Of what has no cap it is beyond all
// that there is.
func (a *Account) Granted() tackroom.Room { return a.granted }

// Cap is what may run; a part that is zero is no bound.
func (a *Account) Cap() tackroom.Room {
	if a == nil {
		return tackroom.Room{}
	}
	return a.cap
}

// String says what runs and what may, for logs.
func (a *Account) String() string {
	if a == nil {
		return "no workspace"
	}
	return fmt.Sprintf("%s runs %v of %v, granted %v", a.name, a.used, a.cap, a.granted)
}

// running is what may be running at now. Until sure, earlier leaders may have started
// all that was granted, whatever of it is listed by now.
func (a *Account) running(now tackclock.Time) tackroom.Room {
	if now >= a.book.sure {
		return a.used
	}
	return a.used.Minus(a.earlier).Plus(a.earlier.Max(a.inherited))
}

func (a *Account) capped() bool {
	return a.cap != tackroom.Room{}
}

// ask has the log grant what lets so much run.
func (a *Account) ask(total tackroom.Room) {
	if !a.capped() || a.covers(a.asked, total) {
		return
	}
	a.asked = a.asked.Max(a.ahead(total))
	a.want()
}

// ahead is the grant for so much: a step more, but no more than the cap if less runs.
// Of what has no cap all is granted.
func (a *Account) ahead(total tackroom.Room) tackroom.Room {
	part := func(total, limit int) int {
		if limit == 0 {
			return unknown
		}
		return max(total, min(limit, total+limit/stepParts))
	}
	return tackroom.Room{
		MilliCores: part(total.MilliCores, a.cap.MilliCores), MemoryMB: part(total.MemoryMB, a.cap.MemoryMB),
		GPUs: part(total.GPUs, a.cap.GPUs),
	}
}

func (a *Account) want() {
	if !a.asking {
		a.asking = true
		a.book.asking = append(a.book.asking, a)
	}
}
