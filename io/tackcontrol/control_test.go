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

// eventually is how long the tests wait for something that takes seconds.
const eventually = 30 * time.Second

// linksPort is below the ports that the system hands out to connections.
const linksPort = 17260

var clusters atomic.Int32

type (
	// cluster is some control VMs on loopback addresses of their own, with an
	// entry VM's client.
	cluster struct {
		t      *testing.T
		links  int
		number int
		folder string
		seeds  []tackid.Peer
		// relayFrom is from how many workers on they report to relays; zero is the default.
		relayFrom int
		client    *tackforward.Client
		log       *logrus.Logger

		running map[tackid.Peer]*runningVM
		disks   map[tackid.Peer]*fillingDisk
	}

	// fillingDisk refuses every write while it is full, and has them wait while it stalls.
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

	// noCloud refuses every call.
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
		running: make(map[tackid.Peer]*runningVM), disks: make(map[tackid.Peer]*fillingDisk), log: logrus.New(),
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

// peer is an address that no other cluster has, and no other run of the test
// beside this one. A free port of 127.0.0.1 would not do: the one after it may
// be taken by anybody before the VM listens.
func (c *cluster) peer(n int) tackid.Peer {
	return tackid.Peer(fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, c.number, n))
}

func (c *cluster) seedPeers() []tackid.Peer { return append([]tackid.Peer(nil), c.seeds...) }

func (c *cluster) start(p tackid.Peer, bootstrap bool) {
	c.t.Helper()
	c.disks[p] = new(fillingDisk)
	control, err := tackcontrol.New(tackcontrol.Config{
		Files: c.disks[p], RelayFrom: c.relayFrom,
		Self: p, Links: c.links, Inner: c.links + 1, Seeds: c.seedPeers, Bootstrap: bootstrap, Voters: 3,
		Folder: filepath.Join(c.folder, string(p)), Cloud: noCloud{}, Clock: new(tackclock.Clock), Logger: c.log,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(string(p), strconv.Itoa(c.links+1)))
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: tackforward.NewHandler(control, c.log)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() { _ = control.Serve(ctx) })
	group.Go(func() { c.join(ctx, p, control) })
	c.running[p] = &runningVM{control: control, stop: func() {
		cancel()
		_ = server.Close()
		group.Wait()
	}}
}

// join asks the seeds to take a VM in while it has no leader.
func (c *cluster) join(ctx context.Context, p tackid.Peer, control *tackcontrol.Control) {
	for ctx.Err() == nil {
		if !control.Member() {
			for _, o := range control.Others() {
				if known, err := c.client.Join(ctx, o, p, ""); err == nil {
					control.Meet(known)
				}
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (c *cluster) stop(p tackid.Peer) {
	c.running[p].stop()
	delete(c.running, p)
}

// await fails the test if f does not become true.
func (c *cluster) await(what string, f func() bool) {
	c.t.Helper()
	for until := time.Now().Add(eventually); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.t.Fatalf("never: %s", what)
}

// leader waits for a VM that leads and returns it.
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

func (c *cluster) ask(op tackwork.Operation, id string) tackwork.Answer {
	r := &tackwork.Request{Operation: op, Host: "a.example", Path: "/q/" + id}
	if op == tackwork.Submit {
		r.Spec = &tackjob.Spec{Steps: []tackjob.Step{{Count: 2, Estimate: 100, Resources: tackroom.Resources{MilliCores: 500}}}}
	}
	return c.client.Do(context.Background(), r)
}

func (c *cluster) assertAsk(op tackwork.Operation, id string, want tackwork.Verdict) {
	c.t.Helper()
	var got tackwork.Answer
	for range 20 {
		if got = c.ask(op, id); got.Verdict != tackwork.Unavailable && got.Verdict != tackwork.Unknown {
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

func newRunning(t *testing.T) *cluster {
	c := newCluster(t)
	for _, p := range c.seeds {
		c.start(p, true)
	}
	c.putCatalog()
	return c
}

func TestJobThroughTheLog(t *testing.T) {
	c := newRunning(t)
	c.assertAsk(tackwork.Lookup, jobA, tackwork.NoJob)
	c.assertAsk(tackwork.Submit, jobA, tackwork.Done)
	c.assertAsk(tackwork.Submit, jobA, tackwork.Done)
	if a := c.ask(tackwork.Lookup, ""); !a.Queue || a.Pending != 1 {
		t.Errorf("pending %+v, want one job", a)
	}
	w := &worker{id: "i-1", control: c.running[c.leader()].control}
	c.await("the job complete", func() bool {
		w.beat()
		return c.ask(tackwork.Lookup, jobA).Progress == tackwork.Complete
	})
	c.assertAsk(tackwork.Submit, jobB, tackwork.Done)
	c.assertAsk(tackwork.Cancel, jobB, tackwork.Done)
	if a := c.ask(tackwork.Lookup, jobB); a.Progress != tackwork.Cancelled {
		t.Errorf("progress %v, want cancelled", a.Progress)
	}
}

// Symptom: something acknowledged is gone. Sequence: the leader is lost right
// after it accepted a job; the two others go on; it comes back with an empty
// folder, and another is lost.
func TestAcceptedJobOutlivesLeaderAndFolder(t *testing.T) {
	c := newRunning(t)
	c.assertAsk(tackwork.Submit, jobA, tackwork.Done)
	lost := c.leader()
	c.stop(lost)
	c.assertAsk(tackwork.Lookup, jobA, tackwork.Done)
	c.assertAsk(tackwork.Submit, jobB, tackwork.Done)
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
	c.assertAsk(tackwork.Lookup, jobA, tackwork.Done)
	c.assertAsk(tackwork.Lookup, jobB, tackwork.Done)
}

// votes reports whether the leader counts p among the voters that are up to
// date.
func (c *cluster) votes(p tackid.Peer) bool {
	for _, m := range c.running[c.leader()].control.Standing() {
		if m.Peer == p {
			return m.Voter && m.Eligible
		}
	}
	return false
}

// Symptom: after a VM is gone for good the next loss stops everything.
// Sequence: an empty VM at a new address asks to be taken in; a voter is lost
// for good; then another voter is.
func TestNewVMTakesOverForOneThatIsGone(t *testing.T) {
	c := newRunning(t)
	c.assertAsk(tackwork.Submit, jobA, tackwork.Done)
	added := c.peer(4)
	c.start(added, false)
	c.await("the new VM a member", func() bool { return c.running[added].control.Member() })
	c.stop(c.leader())
	c.await("the new VM a voter", func() bool { return c.votes(added) })
	c.await("three voters", func() bool {
		n := 0
		for _, m := range c.running[c.leader()].control.Standing() {
			if m.Voter {
				n++
			}
		}
		return n == 3
	})
	c.stop(c.leader())
	c.assertAsk(tackwork.Lookup, jobA, tackwork.Done)
}

// Symptom: a control VM ends each time that it starts, and its ports are closed.
// Sequence: the disk of the VM that leads is full; later it has room again. Cause:
// a write that failed ended the process.
func TestFullDisk(t *testing.T) {
	c := newRunning(t)
	c.assertAsk(tackwork.Submit, jobA, tackwork.Done)
	full := c.leader()
	c.disks[full].full.Store(true)
	// The first of these meets the disk that is full. Its fate is unknown, and is
	// told by asking again.
	c.assertAsk(tackwork.Submit, jobB, tackwork.Done)
	if second := c.leader(); second == full {
		t.Error("the VM whose disk is full leads")
	}
	if a := c.running[full].control.Do(context.Background(), &tackwork.Request{Host: "a.example", Path: "/q/" + jobA}); !a.NotLeader {
		t.Errorf("it answers %v, want callers sent on", a.Verdict)
	}
	c.disks[full].full.Store(false)
	c.await("it takes part in decisions again", func() bool { return c.votes(full) })
	for p := range c.running {
		if p != full && p != c.leader() {
			c.stop(p) // so that the next decision needs it
			break
		}
	}
	c.assertAsk(tackwork.Lookup, jobA, tackwork.Done)
	c.assertAsk(tackwork.Lookup, jobB, tackwork.Done)
	c.assertAsk(tackwork.Cancel, jobA, tackwork.Done)
}

// A minority answers nothing that could be stale, and says so at once.
func TestMinorityIsNotSure(t *testing.T) {
	c := newRunning(t)
	c.assertAsk(tackwork.Submit, jobA, tackwork.Done)
	leader := c.leader()
	for _, p := range c.seeds {
		if p != leader {
			c.stop(p)
		}
	}
	c.await("the leader gives up", func() bool {
		_, sure := c.running[leader].control.Catalog()
		return !sure
	})
	if a := c.ask(tackwork.Lookup, jobA); a.Verdict != tackwork.Unavailable || a.RetryAfter == 0 {
		t.Errorf("a minority answers %v with %v to come back", a.Verdict, a.RetryAfter)
	}
}

// Symptom: what runs on a worker starts a second time elsewhere. Sequence: another
// program sends a heartbeat with the worker's VM, a new id and a pool that no catalog
// names. Cause: it was taken for the VM's next life, so the worker's was taken for
// over.
func TestHeartbeatOfAnUnknownPoolEndsNothing(t *testing.T) {
	c := newRunning(t)
	leader := c.running[c.leader()].control
	sound := &worker{id: "i-1", control: leader}
	sound.beat()
	foreign := &tackdispatch.Report{
		Worker: "i-9", VM: "m-i-1", Service: "elsewhere", Sequence: 1, Capacity: tackroom.Resources{MilliCores: 4000, MemoryMB: 4000},
	}
	if _, err := leader.Heartbeat(t.Context(), foreign); !errors.As(err, new(*tackdispatch.ForeignError)) {
		t.Errorf("error %v, want a *ForeignError", err)
	}
	sound.sequence++
	reply, err := leader.Heartbeat(t.Context(), &tackdispatch.Report{
		Worker: sound.id, VM: "m-i-1", Service: "names-api", Sequence: sound.sequence, Capacity: foreign.Capacity,
	})
	if err != nil || reply.Orders.Hold == 0 {
		t.Errorf("the worker's own heartbeat gets %+v, %v, want a lease", reply, err)
	}
}
