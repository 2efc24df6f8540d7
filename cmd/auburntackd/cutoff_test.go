package main

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Symptom: during a partition a VM gets work from a VM of the system that
// cannot know whether it was drained, moved or rebooted.
// Sequence: brest is cut off, and its own backend server leaves; a request
// comes, and the backend server of the other data centre can be reached.
// Cause: a VM without a lease that sends work where another side may decide.
// Fails with HomeOnly never set in io/tackvm.
func TestCutOffPeerKeepsToItsDataCentre(t *testing.T) {
	s := newSite(t, 2)
	alone, home, far := s.daemons[1], s.servers[1], s.servers[0]
	s.wires.Cut(alone, true)
	s.await(t, "the lease to run out", func() bool {
		reply, err := alone.Ask("show config")
		return err == nil && !reply.Confirmed
	})
	served := far.Served()
	before := callOn(t, alone, http.MethodPost, "at-home", "")
	home.Leave()
	after := callOn(t, alone, http.MethodPost, "nobody-at-home", "")
	Convey("It sends nothing out of its own data centre", t, func() {
		So(before.outcome, ShouldEqual, "answered")
		So(before.body, ShouldContainSubstring, home.Name)
		So(after.status, ShouldEqual, http.StatusServiceUnavailable)
		So(after.outcome, ShouldEqual, "did_not_run")
		So(far.Served(), ShouldEqual, served)
	})
}

// Symptom: a request is cut by a reboot during a partition, or requests of two
// pools' services reach one VM.
// Sequence: a daemon has a request on a VM of its data centre when it is cut
// off; the VM is drained, or moved to another pool, on the other side.
// Cause: a daemon whose lease has run out was taken for one without work,
// though it goes on serving its own data centre. The drain fails with fenced
// and idleOn of io/tackvm passing over peers without a lease, the move with
// Fenced passing over them.
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
			early, got := s.whileCutOff(t, test.command, test.done)
			Convey("It is done only after the request has ended", t, func() {
				So(early, ShouldBeFalse)
				So(got.outcome, ShouldEqual, "answered")
			})
		})
	}
}

// whileCutOff has the command accepted while brest is cut off with a request
// on its VM. It reports whether the query had a row before the request ended,
// and what the request was answered with. After the cut the row must come.
func (s *site) whileCutOff(t *testing.T, command, done string) (early bool, got answer) {
	t.Helper()
	cut, server := s.daemons[1], s.servers[1]
	if leads, _ := s.leader(t); leads == cut {
		cut.Kill()
		must(t, cut.Start(startLimit))
	}
	server.Delay = 6 * time.Second
	answered := make(chan answer, 1)
	go func() { answered <- callOn(t, cut, http.MethodPost, "slow", "") }()
	s.await(t, "the request to run", func() bool { return server.Active() == 1 })
	s.wires.Cut(cut, true)
	s.acceptedBy(t, s.daemons[0], command, "while-cut-off")
	isDone := func() bool { return len(s.rows(t, done)) == 1 }
	s.await(t, "the request to end", func() bool {
		running := server.Active() == 1
		early = early || isDone() && running
		return !running
	})
	s.wires.Heal()
	s.await(t, command, isDone)
	return early, <-answered
}
