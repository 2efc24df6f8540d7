package tackvm

import (
	"context"
	"slices"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackreplica"
)

const (
	// confirmResendInterval is how long to wait for the answer to a confirm before it is
	// sent again, possibly to another leader.
	confirmResendInterval = 250 * time.Millisecond
	// maxPendingConfirms bounds the confirms that a leader keeps. Further ones are
	// dropped; their senders send them again.
	maxPendingConfirms = 4096
)

// pendingConfirm is a confirm that this VM, as the leader, has yet to answer.
type pendingConfirm struct {
	confirm
	from       tackid.Peer
	receivedAt tackclock.Time
}

// awaitInForce waits until the revision is in force: each member has either applied it,
// or has lost its lease and so no longer relies on an older revision. It returns the
// members that lost their lease.
func (v *VM) awaitInForce(ctx context.Context, index tackid.Revision) ([]tackid.Peer, error) {
	answer, err := v.askLeader(ctx, confirm{Index: index})
	return answer.Missing, err
}

// readIndex returns the revision that a read must have applied to reflect every command
// acknowledged before the read began, and the status of the members.
func (v *VM) readIndex(ctx context.Context) (tackid.Revision, []memberStatus, error) {
	answer, err := v.askLeader(ctx, confirm{})
	return answer.Index, answer.Members, err
}

func (v *VM) askLeader(ctx context.Context, ask confirm) (confirmed, error) {
	serial, answers := v.confirms.Add()
	defer v.confirms.Remove(serial)
	ticker := time.NewTicker(confirmResendInterval)
	defer ticker.Stop()
	ask.Serial = serial
	for {
		v.loop.Post(ctx, func() { v.sendConfirm(ask) })
		select {
		case answer := <-answers:
			return answer, nil
		case <-ticker.C:
		case <-ctx.Done():
			return confirmed{}, &UnknownOutcomeError{Err: ctx.Err()}
		}
	}
}

func (v *VM) sendConfirm(ask confirm) {
	leader := v.node.Status(v.clock.Now()).Leader
	switch leader {
	case "":
	case v.cfg.VM.ID:
		v.addPendingConfirm(v.cfg.VM.ID, ask)
	default:
		v.send(leader, kindConfirm, ask)
	}
}

func (v *VM) onConfirm(from tackid.Peer, body []byte) {
	var ask confirm
	if !v.decode(from, body, &ask) {
		return
	}
	v.loop.Post(context.Background(), func() { v.addPendingConfirm(from, ask) })
}

func (v *VM) addPendingConfirm(from tackid.Peer, ask confirm) {
	if len(v.pendingConfirms) >= maxPendingConfirms {
		return
	}
	for _, a := range v.pendingConfirms {
		if a.from == from && a.Serial == ask.Serial {
			return
		}
	}
	v.pendingConfirms = append(v.pendingConfirms, pendingConfirm{confirm: ask, from: from, receivedAt: v.clock.Now()})
}

// answerConfirms answers, on the leader, the confirms that can be answered now. It does
// so only while a majority confirms this VM as the leader: a leader that is cut off
// could otherwise answer with a revision that is already out of date.
func (v *VM) answerConfirms(now tackclock.Time) {
	if len(v.pendingConfirms) == 0 {
		return
	}
	if v.status.Load().Leader != v.cfg.VM.ID {
		v.pendingConfirms = nil
		return
	}
	if !v.node.LeaderLease(now) {
		return
	}
	var kept []pendingConfirm
	for _, a := range v.pendingConfirms {
		if !v.answerConfirm(now, a) && now.Sub(a.receivedAt) < 10*tackclock.Second {
			kept = append(kept, a)
		}
	}
	v.pendingConfirms = kept
}

func (v *VM) answerConfirm(now tackclock.Time, a pendingConfirm) bool {
	answer := confirmed{Serial: a.Serial, Index: a.Index}
	switch {
	case a.Change != nil:
		answer.Index, answer.Refused = v.setMembers(now, membersAfter(v.node.Members(), a.Change))
	case a.Index == 0:
		answer.Index = v.status.Load().Commit
		answer.Members = memberStatuses(now, v.status.Load())
	default:
		done, missing := v.node.InForce(now, a.Index)
		if !done {
			return false
		}
		answer.Missing = missing
	}
	if a.from == v.cfg.VM.ID {
		v.confirms.Deliver(answer.Serial, answer)
		return true
	}
	v.send(a.from, kindConfirmed, answer)
	return true
}

// setMembers proposes a change of the system's members. If the members are already as
// requested, it reports success again, since the first answer may have been lost.
func (v *VM) setMembers(now tackclock.Time, members []tackreplica.Member) (tackid.Revision, string) {
	if slices.Equal(v.node.Members(), members) {
		return v.status.Load().Commit, ""
	}
	rev, _, err := v.node.ProposeMembership(now, members)
	if err != nil {
		return 0, err.Error()
	}
	return rev, ""
}

func memberStatuses(now tackclock.Time, s *tackreplica.Status) []memberStatus {
	list := make([]memberStatus, 0, len(s.Members))
	for _, m := range s.Members {
		list = append(list, memberStatus{Peer: m.Peer, Applied: m.Applied, Leased: m.LeaseUntil.After(now)})
	}
	return list
}

func (v *VM) onConfirmed(from tackid.Peer, body []byte) {
	var answer confirmed
	if !v.decode(from, body, &answer) {
		return
	}
	v.confirms.Deliver(answer.Serial, answer)
}
