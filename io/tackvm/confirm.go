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
	// askAgainEvery is how long a confirm waits for its answer before it is
	// sent again, perhaps to another leader.
	askAgainEvery = 250 * time.Millisecond
	// askedLimit bounds the confirms that a leader keeps. Those beyond it
	// are dropped and asked again.
	askedLimit = 4096
)

// askedConfirm is a confirm that this VM, as the leader, has yet to answer.
type askedConfirm struct {
	confirm
	from tackid.Peer
	at   tackclock.Time
}

// awaitInForce waits until the revision is in force: every member has applied
// it, or has lost its lease and no longer relies on an older one. It returns
// the members of the second kind.
func (v *VM) awaitInForce(ctx context.Context, index tackid.Revision) ([]tackid.Peer, error) {
	answer, err := v.askLeader(ctx, confirm{Index: index})
	return answer.Missing, err
}

// readIndex returns the revision that a read must have seen to show every
// command that was answered before the read began, and how the members stand.
func (v *VM) readIndex(ctx context.Context) (tackid.Revision, []standing, error) {
	answer, err := v.askLeader(ctx, confirm{})
	return answer.Index, answer.Standings, err
}

func (v *VM) askLeader(ctx context.Context, ask confirm) (confirmed, error) {
	serial, answers := v.confirms.Add()
	defer v.confirms.Remove(serial)
	ticker := time.NewTicker(askAgainEvery)
	defer ticker.Stop()
	ask.Serial = serial
	for {
		v.loop.Post(ctx, func() { v.askOnLoop(ask) })
		select {
		case answer := <-answers:
			return answer, nil
		case <-ticker.C:
		case <-ctx.Done():
			return confirmed{}, &UnknownOutcomeError{Err: ctx.Err()}
		}
	}
}

func (v *VM) askOnLoop(ask confirm) {
	leader := v.node.Status(v.clock.Now()).Leader
	switch leader {
	case "":
	case v.cfg.VM.ID:
		v.keepAsked(v.cfg.VM.ID, ask)
	default:
		v.send(leader, kindConfirm, ask)
	}
}

func (v *VM) onConfirm(from tackid.Peer, body []byte) {
	var ask confirm
	if !v.decode(from, body, &ask) {
		return
	}
	v.loop.Post(context.Background(), func() { v.keepAsked(from, ask) })
}

func (v *VM) keepAsked(from tackid.Peer, ask confirm) {
	if len(v.asked) >= askedLimit {
		return
	}
	for _, a := range v.asked {
		if a.from == from && a.Serial == ask.Serial {
			return
		}
	}
	v.asked = append(v.asked, askedConfirm{confirm: ask, from: from, at: v.clock.Now()})
}

// answerConfirms answers, on the leader, what can be answered now. It does so
// only while a majority confirms that this VM leads: a leader that was cut
// off could otherwise answer with a revision that others have passed.
func (v *VM) answerConfirms(now tackclock.Time) {
	if len(v.asked) == 0 {
		return
	}
	if v.status.Load().Leader != v.cfg.VM.ID {
		v.asked = nil
		return
	}
	if !v.node.LeaderLease(now) {
		return
	}
	var kept []askedConfirm
	for _, a := range v.asked {
		if !v.answerConfirm(now, a) && now.Sub(a.at) < 10*tackclock.Second {
			kept = append(kept, a)
		}
	}
	v.asked = kept
}

func (v *VM) answerConfirm(now tackclock.Time, a askedConfirm) bool {
	answer := confirmed{Serial: a.Serial, Index: a.Index}
	switch {
	case a.Change != nil:
		answer.Index, answer.Refused = v.changeTo(now, membersAfter(v.node.Members(), a.Change))
	case a.Index == 0:
		answer.Index = v.status.Load().Commit
		answer.Standings = standings(now, v.status.Load())
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

// changeTo makes the members those of the system. Asked again for members that
// stand already, it answers as it did before: the first answer may be lost.
func (v *VM) changeTo(now tackclock.Time, members []tackreplica.Member) (tackid.Revision, string) {
	if slices.Equal(v.node.Members(), members) {
		return v.status.Load().Commit, ""
	}
	rev, _, err := v.node.ProposeMembership(now, members)
	if err != nil {
		return 0, err.Error()
	}
	return rev, ""
}

func standings(now tackclock.Time, s *tackreplica.Status) []standing {
	list := make([]standing, 0, len(s.Members))
	for _, m := range s.Members {
		list = append(list, standing{Peer: m.Peer, Applied: m.Applied, Leased: m.LeaseUntil.After(now)})
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
