// Package tackreplica keeps one log the same on every VM of the system.
//
// A Node is one VM's share of it: elections, replication, leases, membership
// and snapshots. It decides only. Its owner hands it messages and the time,
// makes durable and sends what Ready returns, and applies what is committed;
// so every failure can be played through in steps.
//
// The time that is handed in must be read after the message it comes with
// was received, and must never run backwards during one process's life.
package tackreplica

import (
	"math/rand/v2"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	defaultHeartbeat = 200 * tackclock.Millisecond
	defaultElection  = 1000 * tackclock.Millisecond
	defaultLease     = 900 * tackclock.Millisecond

	// commitNote is the least time between two notes of what is committed.
	commitNote   = 200 * tackclock.Millisecond
	defaultBatch = 64 << 10
	// windowBatches bounds how many full batches may be under way to one
	// member, so that a slow member does not fill the leader's memory.
	windowBatches = 16
	// driftParts is the share of a lease by which two VMs' clocks may drift
	// apart during it: one part in sixteen, far above what machines show.
	driftParts  = 16
	defaultKeep = 1000
)

const (
	// Follower takes entries from a leader.
	Follower Role = iota
	// PreCandidate asks whether it would be elected.
	PreCandidate
	// Candidate stands for election.
	Candidate
	// Leader appends to the log.
	Leader
)

type (
	// Role is what a node is doing in its term.
	Role uint8

	// Config is what a node is started with. Members are those of the very
	// first start; once the log holds a membership, that one counts. Zero
	// durations and sizes take their defaults. Seed must differ from process
	// to process, because it also tells one life of a VM from the next.
	// KeepEntries is how many entries stay in memory behind a compaction, so
	// that a slow member need not be sent the whole snapshot.
	Config struct {
		Self          tackid.Peer
		Members       []Member
		Heartbeat     tackclock.Duration
		Election      tackclock.Duration
		Lease         tackclock.Duration
		Seed          uint64
		MaxBatchBytes int
		KeepEntries   int
		// LearnerEvery spaces out what is sent to a member that does not vote; with zero
		// each entry is sent there at once, as to those that vote.
		LearnerEvery tackclock.Duration
	}

	// Node is one VM's share of the replicated log. It is not safe for
	// concurrent use, and questions count as use, since they note the time.
	Node struct {
		cfg     Config
		rand    *rand.Rand
		now     tackclock.Time
		started tackclock.Time
		salt    uint64
		life    Life
		failed  bool

		role      Role
		leader    tackid.Peer
		hard      HardState
		savedHard HardState

		log      entryLog
		snapshot Snapshot
		commit   tackid.Revision
		handed   tackid.Revision // committed entries up to here were handed out
		applied  tackid.Revision
		verified tackid.Revision // equal to the leader's log up to here

		configs []config
		removed []removal

		electionAt tackclock.Time
		votes      map[tackid.Peer]bool
		transfer   transfer
		voteFrom   tackclock.Time // votes for nobody before

		progress    map[tackid.Peer]*progress
		electedAt   tackclock.Time
		termStart   tackid.Revision
		heartbeatAt tackclock.Time

		grants    []grant
		echo      Stamp
		answerDue bool
		incoming  incomingSnapshot
		install   *Snapshot

		probeAt      tackclock.Time
		commitNoteAt tackclock.Time
		reports      map[tackid.Peer]*report

		messages []Message
	}
)

// New returns a node that goes on from what its folder held.
func New(cfg Config, stored Stored, now tackclock.Time) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg:       cfg,
		rand:      rand.New(rand.NewPCG(cfg.Seed, uint64(now))),
		now:       now,
		started:   now,
		hard:      stored.Hard,
		savedHard: stored.Hard,
		snapshot:  stored.Snapshot,
		reports:   make(map[tackid.Peer]*report),
	}
	n.salt = n.rand.Uint64N(1 << 47)
	n.life = Life(n.rand.Uint64N(1<<47) + 1)
	n.restore(stored)
	// A voter that restarted has forgotten when it last heard a leader. If it
	// voted at once, that leader could still be answering by its lease.
	n.voteFrom = now.Add(n.promise())
	// It has also forgotten which members were removed just now.
	n.noteRemoval("")
	n.resetElection()
	return n
}

func (c Config) withDefaults() Config {
	if c.Heartbeat == 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.Election == 0 {
		c.Election = defaultElection
	}
	if c.Lease == 0 {
		c.Lease = defaultLease
	}
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = defaultBatch
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = defaultKeep
	}
	return c
}

func (n *Node) restore(stored Stored) {
	s := &stored.Snapshot
	n.log.reset(s)
	base := n.cfg.Members
	if s.Index > 0 && len(s.Members) > 0 {
		base = s.Members
	}
	n.configs = []config{{index: s.Index, members: base}}
	n.commit, n.handed, n.applied, n.verified = s.Index, s.Index, s.Index, s.Index
	for _, e := range stored.Entries {
		if e.Index != n.log.last()+1 {
			continue
		}
		n.log.append(e)
		n.noteMembership(e)
	}
	n.log.stable = n.log.last()
	n.commit = max(n.commit, min(stored.Hard.Commit, n.log.last()))
}

// noteCommit has the newest committed revision written to the folder, at most
// once in commitNote. A VM that restarts while it is cut off would otherwise
// go by its snapshot and take back what it had shown.
func (n *Node) noteCommit() {
	if n.commit <= n.hard.Commit || n.now < n.commitNoteAt {
		return
	}
	n.commitNoteAt = n.now.Add(commitNote)
	n.hard.Commit = min(n.commit, n.log.stable)
}

// Tick moves the node's time to now: heartbeats, elections, step-down.
func (n *Node) Tick(now tackclock.Time) {
	n.see(now)
	if n.failed {
		return
	}
	n.noteCommit()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.tickBootstrap()
	if n.now >= n.electionAt {
		n.leader = ""
		n.retryElection()
		n.preCampaign()
	}
}

func (n *Node) tickLeader() {
	if n.quorumLost() {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	n.stepAside()
	n.tickTransfer()
	if n.now < n.heartbeatAt {
		return
	}
	n.heartbeatAt = n.now.Add(n.cfg.Heartbeat)
	for _, p := range n.others() {
		n.rewindSilent(p)
		n.sendHeartbeat(p, true)
	}
}

// Step takes in a message from another node.
func (n *Node) Step(now tackclock.Time, m Message) {
	n.see(now)
	if n.failed || m.To != n.cfg.Self || m.From == n.cfg.Self || !m.Kind.known() {
		return
	}
	switch m.Kind {
	case MessageProbe:
		n.onProbe(m)
	case MessageProbeAnswer:
		n.onProbeAnswer(m)
	case MessagePreVote:
		n.onPreVote(m)
	case MessageVote:
		n.onVote(m)
	default:
		n.stepInTerm(m)
	}
}

func (n *Node) stepInTerm(m Message) {
	if m.Term < n.hard.Term {
		n.refuseOldTerm(m)
		return
	}
	if m.Kind == MessagePreVoteAnswer && !m.Reject {
		n.onPreVoteAnswer(m)
		return
	}
	if m.Term > n.hard.Term {
		if m.Kind == MessageAnswer && n.member(m.From) == nil {
			return
		}
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case MessageAppend:
		n.onAppend(m)
	case MessageHeartbeat:
		n.onHeartbeat(m)
	case MessageChunk:
		n.onChunk(m)
	case MessageAnswer:
		n.onAnswer(m)
	case MessageVoteAnswer:
		n.onVoteAnswer(m)
	case MessageTransfer:
		n.onTransfer(m)
	}
}

// refuseOldTerm tells a leader that was deposed without noticing.
func (n *Node) refuseOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageChunk:
		n.send(Message{Kind: MessageAnswer, To: m.From, Term: n.hard.Term, Reject: true})
	}
}

// Propose appends data to the log and returns where it stands if it gets
// committed. The error is a *NotLeaderError.
func (n *Node) Propose(now tackclock.Time, data []byte) (tackid.Revision, Term, error) {
	n.see(now)
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	return n.appendEntry(EntryNormal, data), n.hard.Term, nil
}

// mayPropose also looks at the clock: a leader that was frozen would otherwise
// take a proposal that it can never commit, before its next Tick tells it.
func (n *Node) mayPropose() error {
	if n.role == Leader && n.quorumLost() {
		n.becomeFollower(n.hard.Term, "")
	}
	if n.failed || n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.transfer.to != "" {
		return &NotLeaderError{}
	}
	return nil
}

func (n *Node) appendEntry(kind EntryKind, data []byte) tackid.Revision {
	e := Entry{
		Index: n.log.last() + 1,
		Term:  n.hard.Term,
		Kind:  kind,
		Time:  max(n.now, n.log.lastTime()),
		Data:  data,
	}
	n.log.append(e)
	n.noteMembership(e)
	return e.Index
}

func (n *Node) see(now tackclock.Time) {
	n.now = max(n.now, now)
}

func (n *Node) send(m Message) {
	m.From = n.cfg.Self
	n.messages = append(n.messages, m)
}
