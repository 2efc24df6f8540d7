package tackvm

import (
	"context"
	"fmt"
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
	// proposed is what comes back for a proposal: its outcome, or the word of a
	// leader that it surely did not append it.
	proposed struct {
		outcome  tackstate.Outcome
		rejected bool
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
	serial, answers := v.proposals.Add()
	defer v.proposals.Remove(serial)
	p.Serial = serial
	data, err := p.Encode()
	if err != nil {
		return tackstate.Outcome{}, &NotRunError{Reason: err.Error()}
	}
	return v.awaitOutcome(ctx, serial, data, answers)
}

func (v *VM) awaitOutcome(ctx context.Context, serial uint64, data []byte, answers <-chan proposed) (tackstate.Outcome, error) {
	var sent, rejected int
	began := v.clock.Now()
	ticker := time.NewTicker(resendEvery)
	defer ticker.Stop()
	if v.submit(ctx, serial, data) {
		sent++
	}
	for {
		select {
		case answer := <-answers:
			if !answer.rejected {
				return answer.outcome, nil
			}
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
	ok := v.loop.Post(ctx, func() { left <- v.submitOnLoop(serial, data) })
	if !ok {
		return false
	}
	select {
	case taken := <-left:
		return taken
	case <-ctx.Done():
		// The loop has the proposal and may yet append it.
		return true
	case <-v.loop.Ended():
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
	v.loop.Post(context.Background(), func() {
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
	v.proposals.Deliver(r.Serial, proposed{rejected: true})
}
