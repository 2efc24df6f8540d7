package main

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against work sent to a VM that the other side of a partition may have
// drained, moved or rebooted. The brest daemon is partitioned and its own
// backend server leaves; then a request arrives while the backend server of the
// other data centre can be reached. A daemon without a lease must not send work
// out of its data centre. Fails if routing in io/tackvm is never restricted to
// the daemon's own data centre.
func TestCutOffPeerKeepsToItsDataCentre(t *testing.T) {
	s := newSite(t, 2)
	partitioned, local, remote := s.daemons[1], s.servers[1], s.servers[0]
	s.network.Cut(partitioned, true)
	s.await(t, "the lease to expire", func() bool {
		reply, err := partitioned.Ask("show config")
		return err == nil && !reply.Confirmed
	})
	served := remote.Served()
	before := callOn(t, partitioned, http.MethodPost, "at-home", "")
	local.Leave()
	after := callOn(t, partitioned, http.MethodPost, "nobody-at-home", "")
	Convey("It sends nothing out of its own data centre", t, func() {
		So(before.outcome, ShouldEqual, "answered")
		So(before.body, ShouldContainSubstring, local.Name)
		So(after.status, ShouldEqual, http.StatusServiceUnavailable)
		So(after.outcome, ShouldEqual, "did_not_run")
		So(remote.Served(), ShouldEqual, served)
	})
}

// Guards against a request that is cut by a reboot during a partition, and
// against requests of two pools' services that reach one VM. A daemon has a
// request on a VM of its data centre when it is partitioned; the VM is drained,
// or moved to another pool, on the other side. A daemon whose lease has expired
// still serves its own data centre and must not count as idle. The drain fails
// if the checks in io/tackvm for older revisions (fenced) and for idle VMs
// (idleOn) skip peers without a lease, the move if the check for older
// revisions skips them.
func TestFleetWaitsForCutOffPeer(t *testing.T) {
	tests := []struct {
		command string
		done    string
	}{
		{"drain vm w-2", "show vms where state = drained"},
		{"move vm w-2 to pool back", "show vms where pool = back"},
	}
	for _, test := range tests {
		t.Run(test.command, func(t *testing.T) {
			s := newSite(t, 2)
			s.do(t, "create pool back")
			early, got := s.duringPartition(t, test.command, test.done)
			Convey("It is done only after the request has ended", t, func() {
				So(early, ShouldBeFalse)
				So(got.outcome, ShouldEqual, "answered")
			})
		})
	}
}

// duringPartition sends the command while brest is partitioned and has a request on
// its VM. It reports whether the query done had a row before the request ended,
// and returns the answer to the request. After the partition the row must
// appear.
func (s *site) duringPartition(t *testing.T, command, done string) (early bool, got answer) {
	t.Helper()
	partitioned, server := s.daemons[1], s.servers[1]
	if leader, _ := s.leader(t); leader == partitioned {
		partitioned.Kill()
		must(t, partitioned.Start(waitTimeout))
	}
	server.Delay = 6 * time.Second
	answered := make(chan answer, 1)
	go func() { answered <- callOn(t, partitioned, http.MethodPost, "slow", "") }()
	s.await(t, "the request to run", func() bool { return server.Active() == 1 })
	s.network.Cut(partitioned, true)
	s.acceptedBy(t, s.daemons[0], command, "while-cut-off")
	isDone := func() bool { return len(s.rows(t, done)) == 1 }
	s.await(t, "the request to end", func() bool {
		running := server.Active() == 1
		early = early || isDone() && running
		return !running
	})
	s.network.Heal()
	s.await(t, command, isDone)
	return early, <-answered
}
