package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"auburntack/io/tackstandin"

	. "github.com/smartystreets/goconvey/convey"
)

// leader returns the leader and the other daemons.
func (s *site) leader(t testing.TB) (*tackstandin.Daemon, []*tackstandin.Daemon) {
	t.Helper()
	var leader *tackstandin.Daemon
	s.await(t, "a leader", func() bool {
		for _, d := range s.daemons {
			reply, err := d.Ask("show peers where role = leader")
			if err == nil && reply.Confirmed && len(reply.Rows) == 1 {
				leader = s.named(fmt.Sprint(reply.Rows[0][0]))
				return true
			}
		}
		return false
	})
	var others []*tackstandin.Daemon
	for _, d := range s.daemons {
		if d != leader {
			others = append(others, d)
		}
	}
	return leader, others
}

func (s *site) named(id string) *tackstandin.Daemon {
	for _, d := range s.daemons {
		if d.ID == id {
			return d
		}
	}
	return nil
}

// acceptedBy sends the command to d, with the same id, until it is accepted.
func (s *site) acceptedBy(t testing.TB, d *tackstandin.Daemon, command, id string) tackstandin.Reply {
	t.Helper()
	var reply tackstandin.Reply
	s.await(t, command, func() bool {
		var err error
		reply, err = d.Do(command, id)
		return err == nil && reply.Status == http.StatusOK
	})
	return reply
}

// valueOn returns the value of a key on d, and whether d confirms it as the
// latest.
func valueOn(d *tackstandin.Daemon, key string) (value string, confirmed bool) {
	reply, err := d.Ask("show config where key = " + key)
	if err != nil || len(reply.Rows) != 1 {
		return "", false
	}
	return fmt.Sprint(reply.Rows[0][1]), reply.Confirmed
}

// Guards against accepted changes that are lost with the leader, and against a
// cluster that accepts no more after it. Changes are accepted through every
// daemon, the leader is killed, the same command is sent again through another
// daemon, and the former leader starts again with its data folder. A change
// must be on the disks of a majority before it is answered, and command ids
// must be replicated.
func TestKillLeader(t *testing.T) {
	s := newSite(t, 2)
	first := s.acceptedBy(t, s.daemons[1], "set config greeting demat", "greeting-1")
	dead, others := s.leader(t)
	dead.Kill()
	killed := time.Now()
	s.acceptedBy(t, others[0], "set config after kill", "after-1")
	t.Logf("a command was accepted %v after the leader was killed", time.Since(killed))
	again := s.acceptedBy(t, others[1], "set config greeting demat", "greeting-1")
	must(t, dead.Start(waitTimeout))
	Convey("Every daemon has each accepted change, once", t, func() {
		So(again.Revision, ShouldEqual, first.Revision)
		for _, d := range s.daemons {
			for key, want := range map[string]string{"greeting": "demat", "after": "kill"} {
				value, _ := valueOn(d, key)
				So(value, ShouldEqual, want)
			}
		}
	})
}

// Guards against a process that restarts with an older configuration than it
// served before. 1,100 changes are made, so that a snapshot is taken; all
// daemons are killed at the same time and start again. The changes after the
// snapshot must be applied, and none of them twice.
func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 1100
	s := newSite(t, 2)
	// This key is only in the snapshot; the others are set again after it.
	s.do(t, "set config earliest once")
	var senders sync.WaitGroup
	for i := range changes {
		senders.Add(1)
		go func() {
			defer senders.Done()
			s.acceptedBy(t, s.daemons[i%3], fmt.Sprintf("set config key-%d value-%d", i%50, i), fmt.Sprintf("change-%d", i))
		}()
		if i%50 == 49 {
			senders.Wait()
		}
	}
	before := s.rows(t, "show config")
	for _, d := range s.daemons {
		d.Signal(syscall.SIGKILL)
	}
	for _, d := range s.daemons {
		d.Wait()
	}
	s.startDaemons(t)
	s.leader(t)
	after := s.rows(t, "show config")
	Convey("Every value and revision is as before", t, func() {
		So(after, ShouldHaveLength, 51)
		for i := range before {
			So(after[i][:3], ShouldResemble, before[i][:3])
		}
	})
}

// Guards against a stale read that is answered as confirmed. The leader is
// frozen for longer than its lease, another daemon becomes the leader and
// accepts a change, and the frozen one is resumed and queried at once. It must
// check its lease, not its role.
func TestFrozenLeader(t *testing.T) {
	s := newSite(t, 2)
	s.do(t, "set config colour red")
	frozen, others := s.leader(t)
	must(t, frozen.Pause())
	reply := s.acceptedBy(t, others[0], "set config colour blue", "colour-1")
	must(t, frozen.Signal(syscall.SIGCONT))
	Convey("The resumed leader never confirms the old value", t, func() {
		So(reply.NotInForce, ShouldResemble, []string{frozen.ID})
		sawNew := false
		for end := time.Now().Add(waitTimeout); !sawNew && time.Now().Before(end); {
			value, confirmed := valueOn(frozen, "colour")
			if confirmed {
				So(value, ShouldEqual, "blue")
			}
			sawNew = confirmed && value == "blue"
		}
		So(sawNew, ShouldBeTrue)
	})
}

// Guards against requests that fail whenever a daemon is upgraded. Each daemon
// in turn, the leader among them, is shut down gracefully under load and
// started again, while the balancer checks readiness. A port must not close
// before the balancer has stopped using it, nor a process exit with requests in
// flight.
func TestPlannedStopUnderLoad(t *testing.T) {
	s := newSite(t, 4)
	callers := s.startCallers(8)
	codes := make([]int, 0, len(s.daemons))
	for _, d := range s.daemons {
		codes = append(codes, d.Stop())
		must(t, d.Start(waitTimeout))
		s.await(t, "the balancer to use "+d.ID, func() bool { return len(s.balancer.Ready()) == len(s.daemons) })
	}
	counts := callers.Stop()
	Convey("No request fails and every daemon exits with code 0", t, func() {
		So(codes, ShouldResemble, []int{0, 0, 0})
		s.assertAllAnswered(counts)
	})
}

// Guards against accepted changes that are lost after one disk is replaced and
// another VM fails. A replica is killed and its data folder removed, it restarts
// empty and catches up; then another replica is killed permanently. An emptied
// replica must not vote as if it had never stored anything, and the leader must
// not count it before it has caught up.
func TestLostDiskThenLostVM(t *testing.T) {
	s := newSite(t, 2)
	for i := range 20 {
		s.do(t, fmt.Sprintf("set config key-%d value-%d", i, i))
	}
	emptied := s.daemons[1]
	emptied.Kill()
	must(t, os.RemoveAll(emptied.DataFolder()))
	must(t, emptied.Start(waitTimeout))
	s.await(t, "the emptied replica to catch up", func() bool {
		value, confirmed := valueOn(emptied, "key-19")
		return confirmed && value == "value-19"
	})
	s.daemons[0].Kill()
	last := s.acceptedBy(t, emptied, "set config after loss", "after-1")
	Convey("The two remaining daemons have every change", t, func() {
		So(last.Accepted, ShouldBeTrue)
		for _, d := range s.daemons[1:] {
			for i := range 20 {
				value, _ := valueOn(d, fmt.Sprintf("key-%d", i))
				So(value, ShouldEqual, fmt.Sprintf("value-%d", i))
			}
		}
	})
	must(t, s.daemons[0].Start(waitTimeout))
}
