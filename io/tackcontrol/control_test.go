package tackcontrol_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackroom"
	"auburntack/core/tackupkeep"
	"auburntack/core/tackwork"
	"auburntack/io/tackcontrol"
	"auburntack/io/tackdisk"
	"auburntack/io/tackforward"
)

// eventually is the timeout for conditions that take seconds to become true.
const eventually = 30 * time.Second

// linksPort is outside the range of ports that the system assigns to connections.
const linksPort = 17260

var clusters atomic.Int32

type (
	// cluster is a set of control VMs on loopback addresses of their own, and the client of
	// an entry VM.
	cluster struct {
		t      *testing.T
		links  int
		number int
		folder string
		seeds  []tackid.Peer
		// seedsOf contains the seeds of VMs that have others.
		seedsOf map[tackid.Peer][]tackid.Peer
		// relayThreshold is the number of workers at and above which they report to relays;
		// zero is the default.
		relayThreshold int
		dispatch       tackdispatch.Config
		client         *tackforward.Client
		log            *logrus.Logger

		running map[tackid.Peer]*runningVM
		disks   map[tackid.Peer]*fillingDisk
	}

	// fillingDisk rejects every write while it is full, and blocks writes while it is
	// stalled.
	fillingDisk struct {
		tackdisk.OSFiles
		full, stalled atomic.Bool
	}

	fillingFile struct {
		tackdisk.File
		disk *fillingDisk
	}

	runningVM struct {
		control *tackcontrol.Control
		stop    func()
	}

	// noCloud rejects every call.
	noCloud struct{}
)

func (noCloud) Upkeep(context.Context, tackcontrol.Order, tackid.VM, tackupkeep.Number) error {
	return &tackcontrol.CloudError{Reason: "busy"}
}

func (noCloud) Move(context.Context, tackcontrol.Order, tackid.VM, tackid.Service) error {
	return &tackcontrol.CloudError{Reason: "busy"}
}

func (noCloud) Machines(context.Context) ([]tackdispatch.Machine, error) { return nil, nil }

func (d *fillingDisk) Create(name string) (tackdisk.File, error) {
	f, err := d.OSFiles.Create(name)
	return &fillingFile{File: f, disk: d}, err
}

func (f *fillingFile) Write(data []byte) (int, error) {
	for f.disk.stalled.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, links: linksPort, number: int(clusters.Add(1)), folder: t.TempDir(),
		running: make(map[tackid.Peer]*runningVM), seedsOf: make(map[tackid.Peer][]tackid.Peer), disks: make(map[tackid.Peer]*fillingDisk), log: logrus.New(),
	}
	c.seeds = []tackid.Peer{c.peer(1), c.peer(2), c.peer(3)}
	c.log.SetOutput(io.Discard)
	c.client = tackforward.NewClient(linksPort+1, c.seedPeers, new(tackclock.Clock), c.log)
	t.Cleanup(func() {
		for p := range c.running {
			c.stop(p)
		}
	})
	return c
}

// peer returns an address that is used by no other cluster, and by no concurrent run of the
// test. A free port of 127.0.0.1 would not do: another process might take the port after it
// before the VM listens there.
func (c *cluster) peer(n int) tackid.Peer {
	return tackid.Peer(fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, c.number, n))
}

func (c *cluster) seedPeers() []tackid.Peer { return append([]tackid.Peer(nil), c.seeds...) }

// seedsFor returns the seeds of a VM.
func (c *cluster) seedsFor(p tackid.Peer) []tackid.Peer {
	if own, ok := c.seedsOf[p]; ok {
		return append([]tackid.Peer(nil), own...)
	}
	return c.seedPeers()
}

func (c *cluster) start(p tackid.Peer, bootstrap bool) {
	c.t.Helper()
	c.disks[p] = new(fillingDisk)
	control, err := tackcontrol.New(tackcontrol.Config{
		Files: c.disks[p], RelayThreshold: c.relayThreshold, Dispatch: c.dispatch,
		Self: p, LinkPort: c.links, ForwardPort: c.links + 1, Seeds: func() []tackid.Peer { return c.seedsFor(p) }, Bootstrap: bootstrap, Voters: 3,
		Folder: filepath.Join(c.folder, string(p)), Cloud: noCloud{}, Clock: new(tackclock.Clock), Logger: c.log,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(string(p), strconv.Itoa(c.links+1)))
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: tackforward.NewHandler(control, nil, c.log)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() { _ = control.Serve(ctx) })
	group.Go(func() { _ = c.client.KeepMember(ctx, control, p, "") })
	c.running[p] = &runningVM{control: control, stop: func() {
		cancel()
		_ = server.Close()
		group.Wait()
	}}
}

func (c *cluster) stop(p tackid.Peer) {
	c.running[p].stop()
	delete(c.running, p)
}

// await fails the test if f does not return true in time.
func (c *cluster) await(what string, f func() bool) {
	c.t.Helper()
	for until := time.Now().Add(eventually); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.t.Fatalf("never: %s", what)
}

// leader waits until a VM is the leader and returns it.
func (c *cluster) leader() tackid.Peer {
	c.t.Helper()
	var found tackid.Peer
	c.await("a leader", func() bool {
		for p, vm := range c.running {
			if _, sure := vm.control.Catalog(); sure {
				found = p
				return true
			}
		}
		return false
	})
	return found
}

var catalog = tackcatalog.Catalog{
	Version: 3, Source: []byte("three"),
	Queues: []tackcatalog.Queue{{
		QueueKey: tackcatalog.QueueKey{Host: "a.example", Prefix: "/q/"}, Service: "names-api",
		Timeout: 3000, Objective: 3600, Stretch: 1.6, Attempts: 2,
	}},
	Services: []tackcatalog.Service{{Name: "names-api"}},
}

func (c *cluster) putCatalog() {
	c.t.Helper()
	c.await("a catalog accepted", func() bool {
		for _, vm := range c.running {
			if vm.control.PutCatalog(context.Background(), &catalog).Verdict == tackwork.Done {
				return true
			}
		}
		return false
	})
}

func (c *cluster) request(op tackwork.Operation, id string) tackwork.Answer {
	r := &tackwork.Request{Operation: op, Host: "a.example", Path: "/q/" + id}
	if op == tackwork.Submit {
		r.Spec = &tackjob.Spec{Steps: []tackjob.Step{{Count: 2, Estimate: 100, Resources: tackroom.Resources{MilliCores: 500}}}}
	}
	return c.client.Do(context.Background(), r)
}

func (c *cluster) assertVerdict(op tackwork.Operation, id string, want tackwork.Verdict) {
	c.t.Helper()
	var got tackwork.Answer
	for range 20 {
		if got = c.request(op, id); got.Verdict != tackwork.Unavailable && got.Verdict != tackwork.Unknown {
			break
		}
	}
	if got.Verdict != want {
		c.t.Errorf("%v of %q: %v (%s), want %v", op, id, got.Verdict, got.Reason, want)
	}
}

const (
	jobA = "00000000000000aa"
	jobB = "00000000000000bb"
)

func newRunningCluster(t *testing.T) *cluster {
	return newConfiguredCluster(t, tackdispatch.Config{})
}

func newConfiguredCluster(t *testing.T, dispatch tackdispatch.Config) *cluster {
	c := newCluster(t)
	c.dispatch = dispatch
	for _, p := range c.seeds {
		c.start(p, true)
	}
	c.putCatalog()
	return c
}

func TestJobThroughTheLog(t *testing.T) {
	c := newRunningCluster(t)
	c.assertVerdict(tackwork.Lookup, jobA, tackwork.NoJob)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	if a := c.request(tackwork.Lookup, ""); !a.Queue || a.Pending != 1 {
		t.Errorf("pending %+v, want one job", a)
	}
	w := &worker{id: "i-1", control: c.running[c.leader()].control}
	c.await("the job complete", func() bool {
		w.heartbeat()
		return c.request(tackwork.Lookup, jobA).Progress == tackwork.Complete
	})
	c.assertVerdict(tackwork.Submit, jobB, tackwork.Done)
	c.assertVerdict(tackwork.Cancel, jobB, tackwork.Done)
	if a := c.request(tackwork.Lookup, jobB); a.Progress != tackwork.Cancelled {
		t.Errorf("progress %v, want cancelled", a.Progress)
	}
}

// Guards against the loss of something that was acknowledged: the leader is lost right after
// it accepted a job, the two others continue, it restarts with an empty folder, and another
// VM is lost.
func TestAcceptedJobSurvivesLossOfLeaderAndFolder(t *testing.T) {
	c := newRunningCluster(t)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	lost := c.leader()
	c.stop(lost)
	c.assertVerdict(tackwork.Lookup, jobA, tackwork.Done)
	c.assertVerdict(tackwork.Submit, jobB, tackwork.Done)
	if err := os.RemoveAll(filepath.Join(c.folder, string(lost))); err != nil {
		t.Fatal(err)
	}
	c.start(lost, false)
	c.await("the VM with the new folder a member", func() bool { return c.running[lost].control.Member() })
	c.await("it takes part in decisions", func() bool {
		second := c.leader()
		return second != lost && c.votes(lost)
	})
	c.stop(c.leader())
	c.assertVerdict(tackwork.Lookup, jobA, tackwork.Done)
	c.assertVerdict(tackwork.Lookup, jobB, tackwork.Done)
}

// votes reports whether the leader counts p among the up-to-date voters.
func (c *cluster) votes(p tackid.Peer) bool {
	for _, m := range c.running[c.leader()].control.MemberStatuses() {
		if m.Peer == p {
			return m.Voter && m.Eligible
		}
	}
	return false
}

// voters returns the number of voters.
func (c *cluster) voters() int {
	n := 0
	for _, m := range c.running[c.leader()].control.MemberStatuses() {
		if m.Voter {
			n++
		}
	}
	return n
}

// Guards against a system that stops with the next loss after a VM was lost permanently. An
// empty VM at a new address asks to become a member, a voter is lost permanently, then
// another one.
func TestNewVMReplacesLostVoter(t *testing.T) {
	c := newRunningCluster(t)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	added := c.peer(4)
	c.start(added, false)
	c.await("the new VM a member", func() bool { return c.running[added].control.Member() })
	c.stop(c.leader())
	c.await("the new VM a voter", func() bool { return c.votes(added) })
	c.await("three voters", func() bool { return c.voters() == 3 })
	c.stop(c.leader())
	c.assertVerdict(tackwork.Lookup, jobA, tackwork.Done)
}

// Guards against a control VM that exits at each start, with its ports closed, while its disk
// is full. The disk of the leader is full, and later has space again. The fault was that a
// failed write stopped the process.
func TestFullDisk(t *testing.T) {
	c := newRunningCluster(t)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	full := c.leader()
	c.disks[full].full.Store(true)
	// The first of these writes to the full disk. Its result is unknown, so it is sent again.
	c.assertVerdict(tackwork.Submit, jobB, tackwork.Done)
	if second := c.leader(); second == full {
		t.Error("the VM whose disk is full leads")
	}
	if a := c.running[full].control.Do(context.Background(), &tackwork.Request{Host: "a.example", Path: "/q/" + jobA}); !a.NotLeader {
		t.Errorf("it answers %v, want callers redirected", a.Verdict)
	}
	c.disks[full].full.Store(false)
	c.await("it takes part in decisions again", func() bool { return c.votes(full) })
	for p := range c.running {
		if p != full && p != c.leader() {
			c.stop(p) // so that the next decision depends on the VM that was full
			break
		}
	}
	c.assertVerdict(tackwork.Lookup, jobA, tackwork.Done)
	c.assertVerdict(tackwork.Lookup, jobB, tackwork.Done)
	c.assertVerdict(tackwork.Cancel, jobA, tackwork.Done)
}

// A minority gives no answer that could be outdated, and reports this at once.
func TestMinorityAnswersUnavailable(t *testing.T) {
	c := newRunningCluster(t)
	c.assertVerdict(tackwork.Submit, jobA, tackwork.Done)
	leader := c.leader()
	for _, p := range c.seeds {
		if p != leader {
			c.stop(p)
		}
	}
	c.await("the leader loses its lease", func() bool {
		_, sure := c.running[leader].control.Catalog()
		return !sure
	})
	if a := c.request(tackwork.Lookup, jobA); a.Verdict != tackwork.Unavailable || a.RetryAfter == 0 {
		t.Errorf("a minority answers %v with retry after %v", a.Verdict, a.RetryAfter)
	}
}

// Guards against a second start of what already runs on a worker. Another program sends a
// heartbeat with the worker's VM, a new id and a pool that no catalog names. The fault was
// that it was mistaken for the VM's next worker, so the current one was considered ended.
func TestHeartbeatFromUnknownPoolEndsNoWorker(t *testing.T) {
	c := newRunningCluster(t)
	leader := c.running[c.leader()].control
	registered := &worker{id: "i-1", control: leader}
	registered.heartbeat()
	foreign := &tackdispatch.Report{
		Worker: "i-9", VM: "m-i-1", Service: "elsewhere", Sequence: 1, Capacity: tackroom.Resources{MilliCores: 4000, MemoryMB: 4000},
	}
	if _, err := leader.Heartbeat(t.Context(), foreign); !errors.As(err, new(*tackdispatch.ForeignError)) {
		t.Errorf("error %v, want a *ForeignError", err)
	}
	registered.sequence++
	reply, err := leader.Heartbeat(t.Context(), &tackdispatch.Report{
		Worker: registered.id, VM: "m-i-1", Service: "names-api", Sequence: registered.sequence, Capacity: foreign.Capacity,
	})
	if err != nil || reply.Orders.Hold == 0 {
		t.Errorf("the worker's own heartbeat gets %+v, %v, want a lease", reply, err)
	}
}
