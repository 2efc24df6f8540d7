package tackvm

import (
	"context"
	"fmt"
	"sync"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackstate"
)

const (
	// resendEvery is how long a proposal waits to be applied before it is sent
	// once more, perhaps to another leader.
	resendEvery = 400 * time.Millisecond
	// noLeaderLimit is how long a proposal waits while no leader takes it.
	// An election takes up to 3 s; beyond that the VM is cut off or there is
	// no majority, and whoever waits is better told at once.
	noLeaderLimit = 3 * tackclock.Second

	noLeader = "no leader with a majority could be reached"
)

type (
	// waiters are the callers on this VM that wait for something to come
	// back through the log or from the leader.
	waiters struct {
		mu        sync.Mutex
		next      uint64
		proposals map[uint64]*proposalWaiter
		confirms  map[uint64]chan confirmed
		asked     []askedConfirm
	}

	// proposalWaiter waits for one proposal. Rejected gets a value each time
	// a leader says that it did not append it.
	proposalWaiter struct {
		outcome  chan tackstate.Outcome
		rejected chan struct{}
	}

	// NotRunError says that nothing was done: no leader took the proposal.
	NotRunError struct {
		Reason string
	}

	// UnknownOutcomeError says that a leader was sent the proposal and that
	// no outcome came back in time.
	UnknownOutcomeError struct {
		Err error
	}
)

// Error implements error.
func (e *NotRunError) Error() string {
	return "vm: not done: " + e.Reason
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("vm: outcome unknown: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// propose puts p into the log through whichever peer leads and returns what
// applying it on this VM came to. The proposal must be idempotent, since it
// is sent again when no outcome comes. The error is a *NotRunError when
// surely nothing was appended and an *UnknownOutcomeError otherwise.
func (v *VM) propose(ctx context.Context, p tackstate.Proposal) (tackstate.Outcome, error) {
	p.Origin = v.cfg.VM.ID
	serial, waiter := v.waiting.add()
	defer v.waiting.remove(serial)
	p.Serial = serial
	data, err := p.Encode()
	if err != nil {
		return tackstate.Outcome{}, &NotRunError{Reason: err.Error()}
	}
	return v.awaitOutcome(ctx, serial, data, waiter)
}

func (v *VM) awaitOutcome(ctx context.Context, serial uint64, data []byte, waiter *proposalWaiter) (tackstate.Outcome, error) {
	var sent, rejected int
	began := v.clock.Now()
	ticker := time.NewTicker(resendEvery)
	defer ticker.Stop()
	if v.submit(ctx, serial, data) {
		sent++
	}
	for {
		select {
		case out := <-waiter.outcome:
			return out, nil
		case <-waiter.rejected:
			rejected++
		case <-ticker.C:
			if v.submit(ctx, serial, data) {
				sent++
			} else if sent <= rejected && v.withoutLeader(began) {
				return tackstate.Outcome{}, &NotRunError{Reason: noLeader}
			}
		case <-ctx.Done():
			if sent <= rejected {
				return tackstate.Outcome{}, &NotRunError{Reason: noLeader}
			}
			return tackstate.Outcome{}, &UnknownOutcomeError{Err: ctx.Err()}
		}
	}
}

// withoutLeader reports whether this VM has had neither a lease nor a leader
// that takes its proposals for so long that waiting on has no point.
func (v *VM) withoutLeader(began tackclock.Time) bool {
	now := v.clock.Now()
	if now.Sub(began) >= noLeaderLimit {
		return true
	}
	return !v.status.Load().Leased && now.Sub(v.status.Load().LeaseUntil) >= noLeaderLimit
}

// submit gives the proposal to the log here, or sends it to the leader. It
// reports whether the proposal may have left this VM or been appended.
func (v *VM) submit(ctx context.Context, serial uint64, data []byte) bool {
	left := make(chan bool, 1)
	ok := v.post(ctx, func() { left <- v.submitOnLoop(serial, data) })
	if !ok {
		return false
	}
	select {
	case taken := <-left:
		return taken
	case <-ctx.Done():
		// The loop has the proposal and may yet append it.
		return true
	case <-v.ended:
		return true
	}
}

func (v *VM) submitOnLoop(serial uint64, data []byte) bool {
	now := v.clock.Now()
	leader := v.node.Status(now).Leader
	switch leader {
	case "":
		return false
	case v.cfg.VM.ID:
		return v.append(data)
	}
	return v.links.Send(leader, kindForward, forward{Serial: serial, Data: data}) == nil
}

// append puts data into the log of this VM if it leads with a majority that
// answers. A leader that was cut off would append what may be lost later.
func (v *VM) append(data []byte) bool {
	now := v.clock.Now()
	if !v.node.LeaderLease(now) {
		return false
	}
	_, _, err := v.node.Propose(now, data)
	return err == nil
}

func (v *VM) onForward(from tackid.Peer, body []byte) {
	var f forward
	if !v.decode(from, body, &f) {
		return
	}
	v.post(context.Background(), func() {
		if !v.append(f.Data) {
			v.send(from, kindReject, reject{Serial: f.Serial})
		}
	})
}

func (v *VM) onReject(from tackid.Peer, body []byte) {
	var r reject
	if !v.decode(from, body, &r) {
		return
	}
	v.waiting.reject(r.Serial)
}

func (w *waiters) add() (uint64, *proposalWaiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.proposals == nil {
		w.proposals = make(map[uint64]*proposalWaiter)
	}
	w.next++
	waiter := &proposalWaiter{
		outcome:  make(chan tackstate.Outcome, 1),
		rejected: make(chan struct{}, 16),
	}
	w.proposals[w.next] = waiter
	return w.next, waiter
}

func (w *waiters) remove(serial uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.proposals, serial)
}

// finish hands the outcome to its waiter. A proposal that was sent twice is
// applied twice; the first outcome is the one that counts.
func (w *waiters) finish(serial uint64, out tackstate.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiter, ok := w.proposals[serial]
	if !ok {
		return
	}
	select {
	case waiter.outcome <- out:
	default:
	}
}

func (w *waiters) reject(serial uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiter, ok := w.proposals[serial]
	if !ok {
		return
	}
	select {
	case waiter.rejected <- struct{}{}:
	default:
	}
}
