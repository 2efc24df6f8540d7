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

// answer is the response that a caller received.
type answer struct {
	status  int
	outcome string
	body    string
}

// callOn sends one request through d.
func callOn(t *testing.T, d *tackstandin.Daemon, method, body, key string) answer {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+d.Caller+"/names-api/"+body, strings.NewReader(body))
	must(t, err)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	caller := http.Client{Timeout: waitTimeout}
	got, err := caller.Do(r)
	must(t, err)
	defer got.Body.Close()
	read, err := io.ReadAll(got.Body)
	must(t, err)
	return answer{got.StatusCode, got.Header.Get("Auburntack-Outcome"), string(read)}
}

// Guards against a partitioned data centre that gives stale answers as
// confirmed, runs work twice or serves nothing. The brest daemon loses contact
// with both others, though no connection closes; the others accept a change;
// then the partition heals. It may neither serve without checking its lease,
// nor refuse everything because the lease has expired.
func TestDataCentreCutOff(t *testing.T) {
	s := newSite(t, 4)
	s.do(t, "set config colour red")
	brest := s.daemons[1]
	s.network.Cut(brest, true)
	s.await(t, "brest to detect the partition", func() bool {
		reply, err := brest.Ask("show pools")
		return err == nil && !reply.Confirmed
	})
	began := time.Now()
	reply := s.acceptedBy(t, s.daemons[0], "set config colour blue", "blue-1")
	t.Logf("a change was answered in %v while brest was partitioned", time.Since(began))
	read, readErr := brest.Ask("show config where key = colour")
	refused, doErr := brest.Do("set config colour green", "green-1")
	plain := callOn(t, brest, http.MethodPost, "while-cut-off", "")
	keyed := callOn(t, brest, http.MethodPost, "keyed-while-cut-off", "key-1")
	Convey("During the partition", t, func() {
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
	s.network.Heal()
	seen := read.Revision
	regressions := 0
	s.await(t, "brest to apply the latest change", func() bool {
		now, err := brest.Ask("show config where key = colour")
		if err != nil {
			return false
		}
		if now.Revision < seen {
			regressions++
		}
		seen = max(seen, now.Revision)
		return now.Confirmed && len(now.Rows) == 1 && now.Rows[0][1] == "blue"
	})
	again := callOn(t, brest, http.MethodPost, "keyed-while-cut-off", "key-1")
	Convey("After the partition", t, func() {
		So(regressions, ShouldEqual, 0)
		So(again.outcome, ShouldEqual, "answered")
		So(s.tally.OfKey("key-1"), ShouldEqual, 1)
	})
}

// Guards against a cluster that makes no progress although a majority works.
// The connections that the leader opened carry nothing any more, while the
// others still reach it, and no connection closes. A leader that works in one
// direction only must be replaced.
func TestLeaderCutOneWay(t *testing.T) {
	s := newSite(t, 2)
	leader, others := s.leader(t)
	s.network.Cut(leader, false)
	began := time.Now()
	s.acceptedBy(t, others[0], "set config one way", "one-way-1")
	t.Logf("a command was accepted %v after the leader's connections were blocked in one direction", time.Since(began))
	s.network.Heal()
	Convey("All daemons agree after the partition", t, func() {
		s.await(t, "the former leader to catch up", func() bool {
			value, confirmed := valueOn(leader, "one")
			return confirmed && value == "way"
		})
	})
}

// Guards against a partitioned data centre that serves an old configuration, or
// nothing, after its daemon has restarted. Changes are accepted, brest is
// partitioned, and its daemon is killed and started again while no other can be
// reached. Followers learn from the leader which changes are committed; without
// the commit index on disk a restart goes back to the last snapshot, here to
// none.
func TestRestartWhileCutOff(t *testing.T) {
	s := newSite(t, 4)
	s.do(t, "set config colour red")
	s.do(t, "set config colour blue")
	brest := s.daemons[1]
	s.await(t, "brest to apply the accepted changes", func() bool {
		value, _ := valueOn(brest, "colour")
		return value == "blue"
	})
	time.Sleep(time.Second)
	s.network.Cut(brest, true)
	brest.Kill()
	must(t, brest.Start(waitTimeout))
	s.await(t, "backend servers to announce themselves", func() bool {
		reply, err := brest.Ask("show backend_servers")
		return err == nil && len(reply.Rows) == 2
	})
	value, confirmed := valueOn(brest, "colour")
	plain := callOn(t, brest, http.MethodPost, "restarted-while-cut-off", "")
	Convey("It serves the accepted configuration and answers as unconfirmed", t, func() {
		So(value, ShouldEqual, "blue")
		So(confirmed, ShouldBeFalse)
		So(plain.outcome, ShouldEqual, "answered")
		So(plain.body, ShouldContainSubstring, "restarted-while-cut-off")
	})
}
