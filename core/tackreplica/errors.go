package tackreplica

import (
	"fmt"

	"auburntack/core/tackid"
)

const (
	// ProblemPending means that an earlier change is not committed yet.
	ProblemPending MembershipProblem = "a change is still pending"
	// ProblemSeveral means that more than one member would change.
	ProblemSeveral MembershipProblem = "more than one member would change"
	// ProblemName means that a member has no name or one that stands twice.
	ProblemName MembershipProblem = "a name is empty or stands twice"
	// ProblemBehind means that a voter was to be made of a VM that is not a
	// learner with the whole log.
	ProblemBehind MembershipProblem = "only a learner that has caught up can become a voter"
	// ProblemQuorum means that too few of the voters that would be left were
	// heard of within the lease and hold the log.
	ProblemQuorum MembershipProblem = "no quorum of the voters that would be left is at hand"
	// ProblemNoVoter means that no voter would be left.
	ProblemNoVoter MembershipProblem = "no voter would be left"
)

type (
	// MembershipProblem says why a membership was refused.
	MembershipProblem string

	// NotLeaderError reports that this VM does not lead. Leader is empty if
	// it knows of none.
	NotLeaderError struct {
		Leader tackid.Peer
	}

	// MembershipError reports a membership that was refused; Peer is the
	// member at fault, if there is one.
	MembershipError struct {
		Peer    tackid.Peer
		Problem MembershipProblem
	}
)

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "tackreplica: not the leader, and none is known"
	}
	return fmt.Sprintf("tackreplica: not the leader, %s is", e.Leader)
}

// Error implements error.
func (e *MembershipError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("tackreplica: membership refused: %s", e.Problem)
	}
	return fmt.Sprintf("tackreplica: membership refused: %s: %s", e.Peer, e.Problem)
}
