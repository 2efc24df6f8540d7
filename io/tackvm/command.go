package tackvm

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackquery"
	"auburntack/core/tackreplica"
	"auburntack/core/tackstate"
	"auburntack/io/tackloop"
	"auburntack/io/tackoperator"
)

const (
	// commandTimeout bounds how long a command may take. After it the operator is told
	// that the outcome is unknown.
	commandTimeout = 6 * tackclock.Second
	// readTimeout bounds how long a query waits for the leader's confirmation.
	readTimeout = 1500 * tackclock.Millisecond
)

// Do executes a command and returns once it is in force.
func (v *VM) Do(ctx context.Context, r tackoperator.Command) (tackoperator.CommandResult, error) {
	command, err := tackcommand.Parse(r.Text)
	if err != nil {
		return tackoperator.CommandResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout.Std())
	defer cancel()
	if command.AddPeer != nil || command.RemovePeer != nil {
		return v.changeMembers(ctx, command)
	}
	id := r.ID
	if id == "" {
		id = randomID()
	}
	change := tackfleet.Change{ID: id, Expect: r.Expect, Command: &command}
	out, err := v.propose(ctx, tackstate.Proposal{Fleet: &change})
	if err != nil {
		return tackoperator.CommandResult{}, asOperatorError(err)
	}
	if out.Fleet.Refused != nil {
		return tackoperator.CommandResult{}, out.Fleet.Refused
	}
	return v.awaitDone(ctx, out.Fleet.Revision)
}

// awaitDone waits until the revision is in force. The result lists the peers whose lease
// expired before they applied it.
func (v *VM) awaitDone(ctx context.Context, rev tackid.Revision) (tackoperator.CommandResult, error) {
	missing, err := v.awaitInForce(ctx, rev)
	if err != nil {
		return tackoperator.CommandResult{}, asOperatorError(err)
	}
	return tackoperator.CommandResult{Revision: rev, NotInForce: missing}, nil
}

func asOperatorError(err error) error {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return &tackoperator.NotRunError{Reason: notRun.Reason, RetryAfter: tackclock.Second}
	}
	return &tackoperator.UnknownError{Err: err}
}

func randomID() tackid.CommandID {
	var b [12]byte
	rand.Read(b[:])
	return tackid.CommandID(hex.EncodeToString(b[:]))
}

// changeMembers adds or removes a VM of the system.
func (v *VM) changeMembers(ctx context.Context, c tackcommand.Command) (tackoperator.CommandResult, error) {
	answer, err := v.askLeader(ctx, confirm{Change: &c})
	if err != nil {
		return tackoperator.CommandResult{}, asOperatorError(err)
	}
	if answer.Refused != "" {
		return tackoperator.CommandResult{}, &tackfleet.RefusedError{Code: tackfleet.CodeState, Reason: answer.Refused}
	}
	return v.awaitDone(ctx, answer.Index)
}

// membersAfter returns the list of members as it is after command c.
func membersAfter(members []tackreplica.Member, c *tackcommand.Command) []tackreplica.Member {
	if r := c.RemovePeer; r != nil {
		return without(members, r.Peer)
	}
	a := c.AddPeer
	if a == nil {
		return members
	}
	added := tackreplica.Member{Peer: a.Peer, DataCentre: a.DataCentre, Voter: a.Replica, Address: a.Address}
	if slices.Contains(members, added) {
		return members
	}
	return append(without(members, a.Peer), added)
}

func without(members []tackreplica.Member, p tackid.Peer) []tackreplica.Member {
	kept := slices.Clone(members)
	return slices.DeleteFunc(kept, func(m tackreplica.Member) bool { return m.Peer == p })
}

// Ask answers a query from the state applied on this VM, which is up to date if the
// answer is marked as confirmed.
func (v *VM) Ask(ctx context.Context, text string) (tackoperator.Answer, error) {
	q, err := tackquery.Parse(text)
	if err != nil {
		return tackoperator.Answer{}, err
	}
	confirmed, members := v.catchUp(ctx)
	v.mu.RLock()
	defer v.mu.RUnlock()
	table, err := tackquery.Run(q, source{v: v, now: v.clock.Now(), members: members})
	if err != nil {
		return tackoperator.Answer{}, err
	}
	return tackoperator.Answer{Confirmed: confirmed, Revision: v.applied.Index, Table: table}, nil
}

// catchUp waits until this VM has applied everything that was acknowledged before the
// call. It returns the status of the members as reported by the leader, or false if no
// leader confirms in time.
func (v *VM) catchUp(ctx context.Context) (bool, []memberStatus) {
	if !v.status.Load().Leased {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Std())
	defer cancel()
	index, members, err := v.readIndex(ctx)
	if err != nil {
		return false, nil
	}
	for v.status.Load().Applied < index {
		tackloop.Sleep(ctx, readyPollInterval/25)
		if ctx.Err() != nil {
			return false, nil
		}
	}
	return true, members
}
