package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"auburntack/io/tackstandin"

	. "github.com/smartystreets/goconvey/convey"
)

// waitTimeout limits how long a test waits for a start, an election or a wave.
// It is not a performance requirement.
const waitTimeout = 60 * time.Second

// slowRequest is a duration of requests that is longer than a step of a wave: a
// wave that does not wait for a request reboots its VM before the request ends.
const slowRequest = 1200 * time.Millisecond

var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "auburntackd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "auburntackd")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// site is a cluster of daemons with backend servers, a platform and a balancer.
type site struct {
	daemons  []*tackstandin.Daemon
	servers  []*tackstandin.BackendServer
	platform tackstandin.Platform
	balancer tackstandin.Balancer
	tally    tackstandin.Tally
	network  *tackstandin.Network
}

// newSite starts three replicas in two data centres and n VMs with a backend
// server of names-api each.
func newSite(t testing.TB, n int) *site {
	t.Helper()
	s := &site{platform: tackstandin.Platform{Reboot: 200 * time.Millisecond}}
	must(t, s.platform.Start())
	t.Cleanup(s.platform.Stop)
	settings := fmt.Sprintf("[platform]\naddress = %s\n[wave]\nsettle_ms = 300\nreboot_ms = 1000\nprefer = time\n[stop]\nlinger_ms = 500\n[log]\nlevel = info\n", s.platform.Address())
	var err error
	s.daemons, err = tackstandin.NewCluster(binary, t.TempDir(), settings, []tackstandin.DaemonSpec{
		{DataCentre: "rennes-a", Replica: true},
		{DataCentre: "brest", Replica: true},
		{DataCentre: "rennes-a", Replica: true},
	})
	must(t, err)
	s.network, err = tackstandin.UseProxies(s.daemons, settings)
	must(t, err)
	t.Cleanup(s.network.Close)
	s.startDaemons(t)
	for _, d := range s.daemons {
		s.balancer.Entries = append(s.balancer.Entries, tackstandin.Entry{Caller: d.Caller, Operator: d.Operator})
	}
	s.balancer.Start()
	t.Cleanup(s.balancer.Stop)
	s.startServers(t, n)
	return s
}

func (s *site) startDaemons(t testing.TB) {
	t.Helper()
	t.Cleanup(func() {
		for _, d := range s.daemons {
			d.Kill()
			if t.Failed() {
				t.Logf("%s:\n%s", d.ID, d.Logs())
			}
		}
	})
	var started sync.WaitGroup
	for _, d := range s.daemons {
		started.Add(1)
		go func() {
			defer started.Done()
			if err := d.Start(waitTimeout); err != nil {
				t.Error(err)
			}
		}()
	}
	started.Wait()
	if t.Failed() {
		t.FailNow()
	}
}

func (s *site) startServers(t testing.TB, n int) {
	t.Helper()
	s.do(t, "create pool front")
	s.do(t, "create service names-api on pool front")
	for i := range n {
		d := s.daemons[i%2]
		b := &tackstandin.BackendServer{
			Name:       fmt.Sprintf("names-api-%d", i+1),
			VM:         fmt.Sprintf("w-%d", i+1),
			Service:    "names-api",
			DataCentre: d.DataCentre,
			Rack:       fmt.Sprintf("%s-r%d", d.DataCentre, i/4),
			Slots:      8,
			Operators:  []string{d.Operator, s.daemons[2].Operator},
			Delay:      5 * time.Millisecond,
			Tally:      &s.tally,
		}
		s.platform.Add(b)
		must(t, b.Start())
		t.Cleanup(b.Stop)
		s.servers = append(s.servers, b)
		s.do(t, fmt.Sprintf("add vm %s to pool front", b.VM))
	}
	s.await(t, fmt.Sprintf("%d VMs to serve", n), func() bool {
		return len(s.rows(t, "show vms where health = serving")) == n
	})
}

// do sends the command to the first daemon, which must accept it.
func (s *site) do(t testing.TB, command string) tackstandin.Reply {
	t.Helper()
	reply, err := s.daemons[0].Do(command, "")
	must(t, err)
	if reply.Status != http.StatusOK {
		t.Fatalf("%s: %d %s", command, reply.Status, reply.Error.Message)
	}
	return reply
}

// rows returns the rows of a query to the last daemon.
func (s *site) rows(t testing.TB, query string) [][]any {
	t.Helper()
	reply, err := s.daemons[2].Ask(query)
	must(t, err)
	if reply.Status != http.StatusOK {
		t.Fatalf("%s: %d %s", query, reply.Status, reply.Error.Message)
	}
	return reply.Rows
}

func (s *site) await(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (s *site) startCallers(n int) *tackstandin.Callers {
	c := &tackstandin.Callers{Balancer: &s.balancer, Service: "names-api", Number: n}
	c.Start()
	return c
}

// assertAllAnswered asserts that every request was answered completely, that no
// idempotency key ran twice and that no request was cut.
func (s *site) assertAllAnswered(c tackstandin.CallerCounts) {
	So(c.Notes, ShouldBeEmpty)
	So(c.Sent, ShouldBeGreaterThan, 100)
	So(c.Answered, ShouldEqual, c.Sent)
	So(s.tally.Cut(), ShouldEqual, 0)
	So(s.tally.RepeatedKeys(), ShouldEqual, 0)
}

// Guards against requests that fail or are cut during a maintenance wave. A wave
// over the pool drains, reboots and returns every VM while callers send requests
// of each kind through every daemon. A VM must not be stopped while it runs
// requests or a peer still sends it some, so the leader waits for the reports of
// all peers. Fails if the check for idle VMs in io/tackvm always returns true.
func TestWaveUnderLoad(t *testing.T) {
	s := newSite(t, 6)
	for _, b := range s.servers {
		b.Delay = slowRequest
	}
	s.do(t, "set budget names-api min_available 4")
	callers := s.startCallers(8)
	s.do(t, "create wave night over pool front action reboot")
	s.do(t, "start wave night")
	s.await(t, "the wave to finish", func() bool {
		return len(s.rows(t, "show waves where state = finished")) == 1
	})
	counts := callers.Stop()
	Convey("Every request is answered and every VM rebooted once", t, func() {
		s.assertAllAnswered(counts)
		for _, b := range s.servers {
			So(s.platform.Restarts(b.VM), ShouldEqual, 1)
		}
		So(s.rows(t, "show vms where state = in_service"), ShouldHaveLength, 6)
	})
}
