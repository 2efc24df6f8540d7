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

// Symptom: a request is cut by a reboot during a partition.
// Sequence: a daemon has a request on a VM of its data centre when it is cut
// off; the VM is drained on the other side.
// Cause: a daemon whose lease has run out was taken for one without work,
// though it goes on serving its own data centre. Fails with fenced and idleOn
// of io/tackvm passing over peers without a lease.
func TestDrainWaitsForCutOffPeer(t *testing.T) {
	s := newSite(t, 2)
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
	s.acceptedBy(t, s.daemons[0], "drain vm w-2", "drain-2")
	drained := func() bool { return len(s.rows(t, "show vms where state = drained")) == 1 }
	early := false
	s.await(t, "the request to end", func() bool {
		running := server.Active() == 1
		early = early || drained() && running
		return !running
	})
	s.wires.Heal()
	s.await(t, "the VM to be drained", drained)
	got := <-answered
	Convey("The VM counts as drained only after the request has ended", t, func() {
		So(early, ShouldBeFalse)
		So(got.outcome, ShouldEqual, "answered")
	})
}
