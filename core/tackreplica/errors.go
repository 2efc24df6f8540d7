package tackreplica

import (
	"fmt"

	"auburntack/core/tackid"
)

const (
	// ProblemPending means that an earlier membership change is not committed yet.
	ProblemPending MembershipProblem = "a change is still pending"
	// ProblemSeveral means that the change affects more than one member.
	ProblemSeveral MembershipProblem = "more than one member would change"
	// ProblemName means that a member has an empty or duplicate name.
	ProblemName MembershipProblem = "a name is empty or stands twice"
	// ProblemBehind means that the change promotes a VM to voter that is not a learner with
	// the whole log.
	ProblemBehind MembershipProblem = "only a learner that has caught up can become a voter"
	// ProblemQuorum means that too few of the remaining voters responded within the lease
	// and have the log.
	ProblemQuorum MembershipProblem = "no quorum of the voters that would be left is at hand"
	// ProblemNoVoter means that no voter would remain.
	ProblemNoVoter MembershipProblem = "no voter would be left"
)

type (
	// MembershipProblem is the reason why a membership change was refused.
	MembershipProblem string

	// NotLeaderError reports that this node is not the leader. Leader is empty if the
	// leader is unknown.
	NotLeaderError struct {
		Leader tackid.Peer
	}

	// MembershipError reports a refused membership change. Peer is the member that caused
	// the refusal, if any.
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
