// Package tackcontrol runs one control VM: it keeps the replicated log with
// its peers, and while it leads it accepts jobs and catalogs, answers workers'
// heartbeats with orders, and carries out waves of upkeep.
package tackcontrol

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackpool"
	"auburntack/core/tackquota"
	"auburntack/core/tackrelay"
	"auburntack/core/tackreplica"
	"auburntack/core/tackwork"
	"auburntack/io/tackdisk"
	"auburntack/io/tackloop"
	"auburntack/io/tackpeer"
)

const (
	kindReplica tackpeer.Kind = "replica"
	// Without a leader nothing is accepted and no item starts, so a lost one is
	// replaced within about a second. The times leave room for a disk that
	// takes 25 times its 6 ms a sync, and for a machine six times as slow.
	logHeartbeat = 120 * tackclock.Millisecond
	logLease     = 600 * tackclock.Millisecond
	logElection  = 700 * tackclock.Millisecond
	// eventQueue bounds what waits for the loop.
	eventQueue = 4096
	// maxBackoff bounds the wait between two tries to reach a peer. Half a second
	// finds one that came back within the span of a lease.
	maxBackoff = 500 * tackclock.Millisecond
)

type (
	// Config says who this VM is and how it finds the others. Peers are named
	// by their IP numbers, since a process is told nothing else of them.
	Config struct {
		Self       tackid.Peer
		DataCentre tackid.DataCentre
		// Links and Inner are the ports of the links between control VMs and
		// of the calls from entry VMs; the same on every VM.
		Links int
		Inner int
		// Seeds are control VMs that were there when the settings were
		// written. With Bootstrap they are those of the very first start.
		Seeds     func() []tackid.Peer
		Bootstrap bool
		// Voters is how many control VMs vote.
		Voters int
		Folder string
		// Upkeep is how long a VM of a worker is down for its upkeep, Handover
		// how long a leader waits before it orders VMs about after another
		// may have.
		Handover tackclock.Duration
		// KeepClosed is how long a closed job can still be asked for.
		KeepClosed tackclock.Duration
		// CallsPerSecond is how many orders the platform takes, for VMs of all
		// pools together; zero is no bound.
		CallsPerSecond float64
		// RelayFrom is from how many workers on they report to control VMs that do not
		// lead; zero is a thousand.
		RelayFrom int
		// Files is where the data folder lies; nil is the operating system.
		Files    tackdisk.Files
		Dispatch tackdispatch.Config
		Moves    tackpool.Planner
		Cloud    Cloud
		// Advisor may be nil.
		Advisor Advisor

		Clock    *tackclock.Clock
		Logger   logrus.FieldLogger
		Registry metrics.Registry
	}

	// Control is one control VM.
	Control struct {
		cfg    Config
		clock  *tackclock.Clock
		log    logrus.FieldLogger
		meters *meters
		links  *tackpeer.Links
		disk   *tackdisk.Disk

		// loop is the only goroutine that touches node, waiters and members.
		loop       *tackloop.Loop
		node       *tackreplica.Node
		waiters    map[tackid.Revision]waiter
		snapshotAt tackid.Revision
		members    members
		// reopenAt is when the data folder is opened again after it failed; zero
		// while it is good.
		reopenAt tackclock.Time

		submissions submissions

		status atomic.Pointer[tackreplica.Status]
		// moving has a place for each move that the platform is called for at once.
		moving chan struct{}

		// mu guards what follows. Only the loop writes state.
		mu         sync.Mutex
		state      tackwork.State
		dispatch   *tackdispatch.Dispatcher
		dispatched tackreplica.Term // the term that dispatch was reset for
		ends       []workerEnd
		found      tackjob.Findings  // that wait for the log beside ends
		grants     []tackquota.Grant // that wait for it as well
		upkeep     upkeep
		orders     orders
		// roster has the VMs that pass reports on to this one while it leads.
		roster tackrelay.Roster

		// relay is for while it does not.
		relay relay
	}

	// StoppedError says why a control VM cannot go on.
	StoppedError struct {
		What string
		Err  error
	}
)

// Error implements error.
func (e *StoppedError) Error() string {
	return e.What + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error {
	return e.Err
}

// New opens the data folder and makes a control VM. Nothing runs until Serve.
func New(cfg Config) (*Control, error) {
	c := &Control{
		cfg: cfg, clock: cfg.Clock, log: cfg.Logger, meters: newMeters(cfg.Registry),
		loop:     tackloop.New(eventQueue),
		waiters:  make(map[tackid.Revision]waiter),
		dispatch: tackdispatch.New(cfg.Dispatch),
		moving:   make(chan struct{}, movesInFlight),
	}
	c.cfg.RelayFrom = cmp.Or(cfg.RelayFrom, defaultRelayFrom)
	c.state.ClosedRetention = cfg.KeepClosed
	c.orders.perSecond = cfg.CallsPerSecond
	stored, err := c.openDisk()
	if err != nil {
		return nil, &StoppedError{What: "open the data folder", Err: err}
	}
	if err := c.restore(stored); err != nil {
		return nil, err
	}
	c.links = tackpeer.New(tackpeer.Config{
		Self: cfg.Self, Listen: c.linkAddress(cfg.Self), Clock: cfg.Clock, Logger: cfg.Logger, Registry: cfg.Registry,
		MaxBackoff: maxBackoff,
	})
	c.links.Handle(kindReplica, c.onReplica)
	c.links.Handle(kindReports, c.onReports)
	c.links.Handle(kindAnswers, c.onAnswers)
	c.relink()
	return c, nil
}

func (c *Control) restore(stored tackreplica.Stored) error {
	if len(stored.Snapshot.Data) > 0 {
		if err := c.state.Restore(stored.Snapshot.Data); err != nil {
			return &StoppedError{What: "read the snapshot", Err: err}
		}
		c.snapshotAt = stored.Snapshot.Index
	}
	c.orders.reset(c.clock.Now())
	c.node = tackreplica.New(tackreplica.Config{
		Self: c.cfg.Self, Members: c.firstMembers(), Seed: rand.Uint64(),
		Heartbeat: logHeartbeat, Lease: logLease, Election: logElection, LearnerInterval: logHeartbeat,
	}, stored, c.clock.Now())
	c.refreshStatus(c.clock.Now())
	return nil
}

// firstMembers are the voters of the very first start. A VM whose folder is
// empty at any other start counts only the others: it forgot what it voted
// for, and must wait until a leader has made it a member again.
func (c *Control) firstMembers() []tackreplica.Member {
	var list []tackreplica.Member
	for _, p := range c.cfg.Seeds() {
		if len(list) == c.cfg.Voters {
			break
		}
		if p == c.cfg.Self && !c.cfg.Bootstrap {
			continue
		}
		list = append(list, tackreplica.Member{Peer: p, Voter: true, Address: c.linkAddress(p)})
	}
	return list
}

// leads reports whether this VM may decide at now, and in which term.
func (c *Control) leads(now tackclock.Time) (tackreplica.Term, bool) {
	s := c.status.Load()
	return s.Term, s.LeaderLease && now < s.LeaderLeaseUntil
}

// Leader is whom this VM takes for the leader; empty if it knows none.
func (c *Control) Leader() tackid.Peer {
	return c.status.Load().Leader
}

// Peers are all control VMs that this one knows.
func (c *Control) Peers() []tackid.Peer {
	var list []tackid.Peer
	for _, m := range c.status.Load().Members {
		list = append(list, m.Peer)
	}
	return list
}
