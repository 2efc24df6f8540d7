package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburntack/io/tackstandin"

	. "github.com/smartystreets/goconvey/convey"
)

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	body    string
}

// callOn sends one request through a given daemon.
func callOn(t *testing.T, d *tackstandin.Daemon, method, body, key string) answer {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+d.Caller+"/names-api/"+body, strings.NewReader(body))
	must(t, err)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	caller := http.Client{Timeout: startLimit}
	got, err := caller.Do(r)
	must(t, err)
	defer got.Body.Close()
	read, err := io.ReadAll(got.Body)
	must(t, err)
	return answer{got.StatusCode, got.Header.Get("Auburntack-Outcome"), string(read)}
}

// Symptom: operators and callers of a data centre that is cut off get stale
// answers as if they were the newest, work runs twice, or nothing is served.
// Sequence: brest is cut off from both others, though no connection closes;
// the others accept a change; then the cut heals.
// Cause: serving by what is there without asking whether a lease still holds,
// or refusing everything because it does not.
func TestDataCentreCutOff(t *testing.T) {
	s := newSite(t, 4)
	s.do(t, "set config colour red")
	brest := s.daemons[1]
	s.wires.Cut(brest, true)
	s.await(t, "brest to know that it is cut off", func() bool {
		reply, err := brest.Ask("show pools")
		return err == nil && !reply.Confirmed
	})
	began := time.Now()
	reply := s.acceptedBy(t, s.daemons[0], "set config colour blue", "blue-1")
	t.Logf("a change was answered in %v with brest cut off", time.Since(began))
	read, readErr := brest.Ask("show config where key = colour")
	refused, doErr := brest.Do("set config colour green", "green-1")
	plain := callOn(t, brest, http.MethodPost, "while-cut-off", "")
	keyed := callOn(t, brest, http.MethodPost, "keyed-while-cut-off", "key-1")
	Convey("While cut off", t, func() {
		So(reply.NotInForce, ShouldResemble, []string{brest.ID})
		So(readErr, ShouldBeNil)
		So(read.Confirmed, ShouldBeFalse)
		So(doErr, ShouldBeNil)
		So(refused.Status, ShouldEqual, http.StatusServiceUnavailable)
		So(plain.status, ShouldEqual, http.StatusOK)
		So(plain.outcome, ShouldEqual, "answered")
		So(plain.body, ShouldContainSubstring, "while-cut-off")
		So(keyed.outcome, ShouldEqual, "did_not_run")
		So(s.tally.OfKey("key-1"), ShouldEqual, 0)
	})
	s.wires.Heal()
	seen := read.Revision
	falls := 0
	s.await(t, "brest to take up the newest", func() bool {
		now, err := brest.Ask("show config where key = colour")
		if err != nil {
			return false
		}
		if now.Revision < seen {
			falls++
		}
		seen = max(seen, now.Revision)
		return now.Confirmed && len(now.Rows) == 1 && now.Rows[0][1] == "blue"
	})
	again := callOn(t, brest, http.MethodPost, "keyed-while-cut-off", "key-1")
	Convey("After the cut", t, func() {
		So(falls, ShouldEqual, 0)
		So(again.outcome, ShouldEqual, "answered")
		So(s.tally.OfKey("key-1"), ShouldEqual, 1)
	})
}

// Symptom: the system stands still although a majority is well.
// Sequence: the leader's own connections carry nothing any more, while the
// others still reach it, and none of them closes.
// Cause: a leader that is kept because it can be heard, though its own word
// reaches nobody, or the other way round.
func TestLeaderCutOneWay(t *testing.T) {
	s := newSite(t, 2)
	leads, others := s.leader(t)
	s.wires.Cut(leads, false)
	began := time.Now()
	s.acceptedBy(t, others[0], "set config one way", "one-way-1")
	t.Logf("a command was accepted %v after the leader was cut one way", time.Since(began))
	s.wires.Heal()
	Convey("All agree after the cut", t, func() {
		s.await(t, "the cut one to follow", func() bool {
			value, confirmed := valueOn(leads, "one")
			return confirmed && value == "way"
		})
	})
}

// Symptom: a data centre that is cut off serves by an old configuration, or
// nothing, once its VM of the system has restarted.
// Sequence: changes are accepted, brest is cut off, its daemon is killed and
// starts again while nobody else can be reached.
// Cause: which changes were accepted is the leader's word; without a note of
// it on the disk a restart goes back to the last snapshot, here to none.
func TestRestartWhileCutOff(t *testing.T) {
	s := newSite(t, 4)
	s.do(t, "set config colour red")
	s.do(t, "set config colour blue")
	brest := s.daemons[1]
	s.await(t, "brest to note what was accepted", func() bool {
		value, _ := valueOn(brest, "colour")
		return value == "blue"
	})
	time.Sleep(time.Second)
	s.wires.Cut(brest, true)
	brest.Kill()
	must(t, brest.Start(startLimit))
	s.await(t, "backend servers to announce themselves", func() bool {
		reply, err := brest.Ask("show backend_servers")
		return err == nil && len(reply.Rows) == 2
	})
	value, confirmed := valueOn(brest, "colour")
	plain := callOn(t, brest, http.MethodPost, "restarted-while-cut-off", "")
	Convey("It goes on by what it had accepted, and says that it is not sure", t, func() {
		So(value, ShouldEqual, "blue")
		So(confirmed, ShouldBeFalse)
		So(plain.outcome, ShouldEqual, "answered")
		So(plain.body, ShouldContainSubstring, "restarted-while-cut-off")
	})
}
