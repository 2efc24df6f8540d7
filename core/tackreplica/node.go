// Package tackreplica implements a replicated log based on the Raft consensus algorithm.
//
// A Node is one VM's replica: elections, replication, leases, membership and snapshots. It
// performs no I/O. Its owner passes in messages and the time, stores and sends what Ready
// returns, and applies committed entries, so tests can step through any failure.
//
// The time passed in must be read after the accompanying message was received, and must
// never decrease while the process runs.
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

	// commitSaveInterval is the minimum time between two writes of the commit index to
	// disk.
	commitSaveInterval = 200 * tackclock.Millisecond
	defaultBatchBytes  = 64 << 10
	// maxInflightBatches is the maximum number of full batches in flight to one member,
	// so that a slow member does not use up the leader's memory.
	maxInflightBatches = 16
	// driftDivisor bounds clock drift: during a lease, the clocks of two VMs may drift
	// apart by at most lease/driftDivisor. One sixteenth is far above what machines show.
	driftDivisor       = 16
	defaultKeepEntries = 1000
)

const (
	// Follower receives entries from a leader.
	Follower Role = iota
	// PreCandidate checks whether it could win an election.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader appends entries to the log.
	Leader
)

type (
	// Role is the role of a node in its term.
	Role uint8

	// Config configures a node. Members is used only until the log contains a membership.
	// Zero durations and sizes select defaults. Seed must differ between processes, because
	// instance IDs are derived from it. KeepEntries is the number of entries kept in memory
	// after a compaction, so that a slow member need not be sent the whole snapshot.
	Config struct {
		Self          tackid.Peer
		Members       []Member
		Heartbeat     tackclock.Duration
		Election      tackclock.Duration
		Lease         tackclock.Duration
		Seed          uint64
		MaxBatchBytes int
		KeepEntries   int
		// LearnerInterval is the interval at which entries are sent to learners. If it is
		// zero, entries are sent to them at once, as to voters.
		LearnerInterval tackclock.Duration
	}

	// Node is one replica of the log. It is not safe for concurrent use; this includes
	// methods that only return information, since they advance the node's clock.
	Node struct {
		cfg      Config
		rand     *rand.Rand
		now      tackclock.Time
		started  tackclock.Time
		salt     uint64
		instance InstanceID
		failed   bool

		role      Role
		leader    tackid.Peer
		hard      HardState
		savedHard HardState

		log       entryLog
		snapshot  Snapshot
		commit    tackid.Revision
		delivered tackid.Revision // committed entries up to here were returned by Ready
		applied   tackid.Revision
		verified  tackid.Revision // the log matches the leader's up to here

		configs []config
		removed []removal

		electionAt tackclock.Time
		votes      map[tackid.Peer]bool
		transfer   transfer
		voteFrom   tackclock.Time // grants no votes before
		resigned   Resignation

		progress    map[tackid.Peer]*progress
		electedAt   tackclock.Time
		termStart   tackid.Revision
		heartbeatAt tackclock.Time

		grants      []grant
		echo        Stamp
		responseDue bool
		incoming    incomingSnapshot
		install     *Snapshot

		probeAt       tackclock.Time
		commitSaveDue tackclock.Time
		probeResults  map[tackid.Peer]*probeResult

		messages []Message
	}
)

// New returns a node that continues from its stored state.
func New(cfg Config, stored Stored, now tackclock.Time) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg:          cfg,
		rand:         rand.New(rand.NewPCG(cfg.Seed, uint64(now))),
		now:          now,
		started:      now,
		hard:         stored.Hard,
		savedHard:    stored.Hard,
		snapshot:     stored.Snapshot,
		probeResults: make(map[tackid.Peer]*probeResult),
	}
	n.salt = n.rand.Uint64N(1 << 47)
	n.instance = InstanceID(n.rand.Uint64N(1<<47) + 1)
	n.restore(stored)
	// A voter that restarted has forgotten when it last heard from a leader. If it voted at
	// once, that leader could still be serving under its lease.
	n.voteFrom = now.Add(n.voteHoldoff())
	// It has also forgotten which members were removed recently.
	n.recordRemoval("")
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
		c.MaxBatchBytes = defaultBatchBytes
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = defaultKeepEntries
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
	n.commit, n.delivered, n.applied, n.verified = s.Index, s.Index, s.Index, s.Index
	for _, e := range stored.Entries {
		if e.Index != n.log.last()+1 {
			continue
		}
		n.log.append(e)
		n.applyMembership(e)
	}
	n.log.stable = n.log.last()
	n.commit = max(n.commit, min(stored.Hard.Commit, n.log.last()))
}

// saveCommit stores the newest committed revision in HardState, at most once per
// commitSaveInterval. A node that restarts while it is partitioned would otherwise continue
// from its snapshot and serve an older state than before.
func (n *Node) saveCommit() {
	if n.commit <= n.hard.Commit || n.now < n.commitSaveDue {
		return
	}
	n.commitSaveDue = n.now.Add(commitSaveInterval)
	n.hard.Commit = min(n.commit, n.log.stable)
}

// Tick advances the node's clock to now and handles timeouts: heartbeats, elections and
// loss of quorum.
func (n *Node) Tick(now tackclock.Time) {
	n.advanceClock(now)
	if n.failed {
		return
	}
	n.saveCommit()
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
		n.resign(ResignedNoQuorum, "")
		return
	}
	n.transferIfRemoved()
	n.tickTransfer()
	if n.now < n.heartbeatAt {
		return
	}
	n.heartbeatAt = n.now.Add(n.cfg.Heartbeat)
	for _, p := range n.others() {
		n.rewindStalled(p)
		n.sendHeartbeat(p, true)
	}
}

// Step handles a message from another node.
func (n *Node) Step(now tackclock.Time, m Message) {
	n.advanceClock(now)
	if n.failed || m.To != n.cfg.Self || m.From == n.cfg.Self || !m.Kind.known() {
		return
	}
	switch m.Kind {
	case MessageProbe:
		n.onProbe(m)
	case MessageProbeResponse:
		n.onProbeResponse(m)
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
	if m.Kind == MessagePreVoteResponse && !m.Reject {
		n.onPreVoteResponse(m)
		return
	}
	if m.Term > n.hard.Term {
		if m.Kind == MessageResponse && n.member(m.From) == nil {
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
	case MessageResponse:
		n.onResponse(m)
	case MessageVoteResponse:
		n.onVoteResponse(m)
	case MessageTransfer:
		n.onTransfer(m)
	}
}

// refuseOldTerm notifies a leader of an earlier term that it was deposed.
func (n *Node) refuseOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageChunk:
		n.send(Message{Kind: MessageResponse, To: m.From, Term: n.hard.Term, Reject: true})
	}
}

// Propose appends data to the log and returns the index and term of the entry, which may or
// may not be committed later. The error is a *NotLeaderError.
func (n *Node) Propose(now tackclock.Time, data []byte) (tackid.Revision, Term, error) {
	n.advanceClock(now)
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	return n.appendEntry(EntryNormal, data), n.hard.Term, nil
}

// mayPropose returns an error if this node cannot accept proposals. It checks the quorum
// against the clock: a leader that was suspended would otherwise accept a proposal that it
// can never commit before its next Tick notices.
func (n *Node) mayPropose() error {
	if n.role == Leader && n.quorumLost() {
		n.resign(ResignedNoQuorum, "")
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
	n.applyMembership(e)
	return e.Index
}

func (n *Node) advanceClock(now tackclock.Time) {
	n.now = max(n.now, now)
}

func (n *Node) send(m Message) {
	m.From = n.cfg.Self
	n.messages = append(n.messages, m)
}
