package main

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"auburntack/io/tackstandin"

	. "github.com/smartystreets/goconvey/convey"
)

// send sends a request for names-api through d, with a key if one is given,
// and returns the status, the outcome and the backend server that answered.
func send(t *testing.T, d *tackstandin.Daemon, key string) (status int, outcome, server string) {
	t.Helper()
	r, err := http.NewRequest("GET", "http://"+d.Caller+"/names-api/names", nil)
	must(t, err)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	reply, err := http.DefaultClient.Do(r)
	must(t, err)
	defer reply.Body.Close()
	var answer tackstandin.Answer
	must(t, json.NewDecoder(reply.Body).Decode(&answer))
	return reply.StatusCode, reply.Header.Get("Auburntack-Outcome"), answer.BackendServer
}

// Symptom: on the two sides of a partition work with one key runs twice, or a
// command is accepted that the other side never hears of; or the callers of a
// data centre get no answers while it is cut off.
// Sequence: a daemon loses the two others, and with them the majority; later
// its own backend server leaves; then the others come back.
// Cause: a VM without a lease that goes on as if it had one, or that stops
// altogether. Fails with HomeOnly never set in io/tackvm.
func TestCutOffDaemonServesItsDataCentre(t *testing.T) {
	s := newSite(t, 2)
	alone, home, far := s.daemons[1], s.servers[1], s.servers[0]
	must(t, s.daemons[0].Signal(syscall.SIGSTOP))
	must(t, s.daemons[2].Signal(syscall.SIGSTOP))
	s.await(t, "the lease to run out", func() bool {
		reply, err := alone.Ask("show config")
		return err == nil && !reply.Confirmed
	})
	status, _, server := send(t, alone, "")
	keyed, keyedOutcome, _ := send(t, alone, "notice-1")
	command, err := alone.Do("set config colour blue", "")
	must(t, err)
	served := far.Served()
	home.Leave()
	empty, emptyOutcome, _ := send(t, alone, "")
	must(t, s.daemons[0].Signal(syscall.SIGCONT))
	must(t, s.daemons[2].Signal(syscall.SIGCONT))
	s.acceptedBy(t, alone, "set config colour red", "colour-red")
	value, _ := valueOn(alone, "colour")
	Convey("It serves its own data centre, refuses the rest and comes back", t, func() {
		So(status, ShouldEqual, http.StatusOK)
		So(server, ShouldEqual, home.Name)
		So(keyed, ShouldEqual, http.StatusServiceUnavailable)
		So(keyedOutcome, ShouldEqual, "did_not_run")
		So(s.tally.OfKey("notice-1"), ShouldEqual, 0)
		So(command.Status, ShouldEqual, http.StatusServiceUnavailable)
		So(command.Error.Code, ShouldEqual, "did_not_run")
		So(empty, ShouldEqual, http.StatusServiceUnavailable)
		So(emptyOutcome, ShouldEqual, "did_not_run")
		So(far.Served(), ShouldEqual, served)
		So(value, ShouldEqual, "red")
	})
}

// Symptom: a request is cut by a reboot during a partition.
// Sequence: a daemon has a request on a VM of its data centre when it loses
// the others; the VM is drained on their side.
// Cause: a daemon whose lease has run out was taken for one without work,
// though it goes on serving its own data centre. Fails with idleOn of
// io/tackvm answering yes for a peer without a lease.
func TestDrainWaitsForCutOffPeer(t *testing.T) {
	s := newSite(t, 2)
	cut, server := s.daemons[1], s.servers[1]
	if leads, _ := s.leader(t); leads == cut {
		cut.Kill()
		must(t, cut.Start(startLimit))
	}
	server.Delay = 6 * time.Second
	go http.Get("http://" + cut.Caller + "/names-api/slow")
	s.await(t, "the request to run", func() bool { return server.Active() == 1 })
	must(t, cut.Signal(syscall.SIGSTOP))
	s.acceptedBy(t, s.daemons[0], "drain vm w-2", "drain-2")
	drained := func() bool { return len(s.rows(t, "show vms where state = drained")) == 1 }
	early := false
	s.await(t, "the request to end", func() bool {
		running := server.Active() == 1
		early = early || drained() && running
		return !running
	})
	must(t, cut.Signal(syscall.SIGCONT))
	s.await(t, "the VM to be drained", drained)
	Convey("The VM counts as drained only after the request has ended", t, func() {
		So(early, ShouldBeFalse)
	})
}
