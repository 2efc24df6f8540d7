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
	// proposalResendInterval is how long to wait for a proposal to be applied before it
	// is sent again, possibly to another leader.
	proposalResendInterval = 400 * time.Millisecond
	// noLeaderTimeout is how long a proposal waits for a leader that accepts it. An
	// election takes up to 3 s; after that this VM is cut off or there is no majority,
	// and it is better to fail at once.
	noLeaderTimeout = 3 * tackclock.Second

	noLeader = "no leader with a majority could be reached"
)

type (
	// proposalResult is the answer to a proposal: its outcome, or rejected if a leader
	// reports that it definitely did not append it.
	proposalResult struct {
		outcome  tackstate.Outcome
		rejected bool
	}

	// NotRunError reports that nothing was done because no leader accepted the proposal.
	NotRunError struct {
		Reason string
	}

	// UnknownOutcomeError reports that the proposal was sent to a leader and no outcome
	// arrived in time.
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

// Unwrap returns the underlying error.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// propose appends p to the log through the current leader and returns the outcome of
// applying it on this VM. The proposal must be idempotent, since it is sent again if no
// outcome arrives. The error is a *NotRunError if p was definitely not appended, and an
// *UnknownOutcomeError otherwise.
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

func (v *VM) awaitOutcome(ctx context.Context, serial uint64, data []byte, answers <-chan proposalResult) (tackstate.Outcome, error) {
	var sent, rejected int
	began := v.clock.Now()
	ticker := time.NewTicker(proposalResendInterval)
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
			} else if sent <= rejected && v.leaderlessTooLong(began) {
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

// leaderlessTooLong reports whether this VM has had neither a lease nor a leader that
// accepts its proposals for so long that waiting further is pointless.
func (v *VM) leaderlessTooLong(began tackclock.Time) bool {
	now := v.clock.Now()
	if now.Sub(began) >= noLeaderTimeout {
		return true
	}
	return !v.status.Load().Leased && now.Sub(v.status.Load().LeaseUntil) >= noLeaderTimeout
}

// submit appends the proposal to the log if this VM leads, and sends it to the leader
// otherwise. It reports whether the proposal may have left this VM or been appended.
func (v *VM) submit(ctx context.Context, serial uint64, data []byte) bool {
	submitted := make(chan bool, 1)
	ok := v.loop.Post(ctx, func() { submitted <- v.forwardOrAppend(serial, data) })
	if !ok {
		return false
	}
	select {
	case ok := <-submitted:
		return ok
	case <-ctx.Done():
		// The loop has the proposal and may still append it.
		return true
	case <-v.loop.Ended():
		return true
	}
}

func (v *VM) forwardOrAppend(serial uint64, data []byte) bool {
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

// append appends data to the log if this VM leads with a majority that confirms it. A
// leader that is cut off would append entries that may later be lost.
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
	v.proposals.Deliver(r.Serial, proposalResult{rejected: true})
}
