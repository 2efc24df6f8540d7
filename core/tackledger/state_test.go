package tackledger

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

func key(name string) ID {
	return ID{Service: "names", Team: "post", Key: tackid.Key(name)}
}

func begin(name, request string) Change {
	return Change{Begin: &Begin{ID: key(name), Request: tackid.RequestID(request), Peer: "a", Instance: 1, Timeout: tackclock.Minute}}
}

func finish(name, request string, o Outcome, body string) Change {
	return Change{Finish: &Finish{ID: key(name), Request: tackid.RequestID(request), Outcome: o,
		Answer: Answer{Status: 200, Body: []byte(body)}}}
}

// testLog applies changes one after another.
type testLog struct {
	State
	rev tackid.Revision
	now tackclock.Time
}

func (l *testLog) apply(c Change) Claim {
	l.rev++
	return l.Apply(l.rev, l.now, c)
}

func TestVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		changes []Change
		want    ClaimKind
	}{
		"free":                 {nil, Claimed},
		"running":              {[]Change{begin("k", "r1")}, Running},
		"proposed twice":       {[]Change{begin("k", "r2")}, Claimed},
		"proposed twice, late": {[]Change{begin("k", "r2"), finish("k", "r2", OutcomeUnknown, "")}, Unknown},
		"answered":             {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeAnswered, "x")}, Recorded},
		"unknown":              {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeUnknown, "")}, Unknown},
		"unknown, then known":  {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeUnknown, ""), finish("k", "r1", OutcomeAnswered, "x")}, Recorded},
		"did not run":          {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeDidNotRun, "")}, Claimed},
		"another's finish":     {[]Change{begin("k", "r1"), finish("k", "r9", OutcomeDidNotRun, "")}, Running},
		"answered, then freed": {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeAnswered, "x"), finish("k", "r1", OutcomeDidNotRun, "")}, Recorded},
	} {
		t.Run(name, func(t *testing.T) {
			var l testLog
			for _, c := range test.changes {
				l.apply(c)
			}
			assertClaim(t, &l, begin("k", "r2"), test.want)
		})
	}
}

func assertClaim(t *testing.T, l *testLog, c Change, want ClaimKind) {
	t.Helper()
	if got := l.apply(c).Kind; got != want {
		t.Errorf("claim is %v, want %v", got, want)
	}
}

// A release that is applied before its claim must cancel the claim. An entry VM
// proposes a claim, stops waiting for it, answers did_not_run and proposes the
// release. When the late claim was recorded, no peer finished it, and the key
// could not be used for a day.
func TestReleaseOvertakesClaim(t *testing.T) {
	convey.Convey("After a release that came before its claim", t, func() {
		var l testLog
		l.apply(finish("k", "r1", OutcomeDidNotRun, ""))
		convey.So(l.apply(begin("k", "r1")).Kind, convey.ShouldEqual, Released)
		convey.So(l.apply(begin("k", "r2")).Kind, convey.ShouldEqual, Claimed)
		convey.So(l.apply(begin("k", "r1")).Kind, convey.ShouldEqual, Running)
		convey.Convey("the release itself expires early", func() {
			l.apply(finish("other", "r3", OutcomeDidNotRun, ""))
			l.now = l.now.Add(10 * tackclock.Minute)
			l.apply(finish("k", "r2", OutcomeAnswered, ""))
			convey.So(l.Len(), convey.ShouldEqual, 1)
		})
	})
}

// A claim must become unknown when its peer dies after the dispatch, since only
// that process could have finished the record. Otherwise a caller that repeats
// the request through another peer is told for ever that it is running.
func TestClaimOfDeadPeerIsUnknown(t *testing.T) {
	convey.Convey("With a claim whose peer died", t, func() {
		var l testLog
		l.apply(begin("k", "r1"))
		convey.Convey("it is unknown once its time has passed", func() {
			l.now = l.now.Add(tackclock.Minute + 1)
			convey.So(l.apply(begin("k", "r2")).Kind, convey.ShouldEqual, Unknown)
		})
		convey.Convey("it is unknown once the peer is known to have restarted", func() {
			other := begin("other", "r2")
			other.Begin.Instance = 2
			l.apply(other)
			repeat := begin("k", "r3")
			repeat.Begin.Peer = "b"
			convey.So(l.apply(repeat).Kind, convey.ShouldEqual, Unknown)
		})
	})
}

// A full ledger must refuse new keys. If it dropped the oldest record to make
// room, a repeat of that request within its age would run a second time.
func TestFullLedgerForgetsNothing(t *testing.T) {
	convey.Convey("With room for 8 records", t, func() {
		l := testLog{State: State{Limits: Limits{Records: 8}}}
		for i := range 4 {
			convey.So(l.apply(begin(fmt.Sprint(i), fmt.Sprint(i))).Kind, convey.ShouldEqual, Claimed)
		}
		convey.Convey("a team gets half of it, and no new key after that", func() {
			convey.So(l.apply(begin("4", "4")).Kind, convey.ShouldEqual, Full)
			convey.So(l.apply(begin("0", "r")).Kind, convey.ShouldEqual, Running)
		})
		convey.Convey("records expire by age", func() {
			l.now = l.now.Add(tackclock.Day)
			convey.So(l.apply(begin("0", "r")).Kind, convey.ShouldEqual, Claimed)
			convey.So(l.Len(), convey.ShouldEqual, 1)
		})
	})
}

func TestOldestAnswersAreDroppedFirst(t *testing.T) {
	convey.Convey("With room for 10 bytes of answers", t, func() {
		l := testLog{State: State{Limits: Limits{Bytes: 10}}}
		for _, k := range []string{"a", "b", "c"} {
			l.apply(begin(k, k))
			l.apply(finish(k, k, OutcomeAnswered, "12345"))
		}
		convey.So(l.Bytes(), convey.ShouldEqual, 10)
		old := l.apply(begin("a", "r"))
		convey.So(old.Kind, convey.ShouldEqual, Recorded)
		convey.So(old.Answer.Truncated, convey.ShouldBeTrue)
		convey.So(string(l.apply(begin("c", "r")).Answer.Body), convey.ShouldEqual, "12345")
	})
}

func TestRestoreRefusesLaterVersion(t *testing.T) {
	data, err := tackcbor.MarshalDeterministic(snapshot{Version: snapshotVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	var version *VersionError
	if err := new(State).Restore(data); !errors.As(err, &version) {
		t.Errorf("restore gave %v, want a VersionError", err)
	}
}

// model is a model of the ledger without limits or snapshots. For each key it
// holds the requests that were allowed to run and not reported as not run.
type model struct {
	log       testLog
	ran       map[string][]string       // key: requests that got Claimed and ran
	since     map[string]tackclock.Time // key: when the first of them ran
	claimed   map[string]string         // request: its key, while it may still finish
	instances map[tackid.Peer]InstanceID
	peers     map[string]tackid.Peer // of the requests
	next      int
}

// TestOneExecutionPerKey lets peers claim, finish and restart in any order, with
// duplicated, late and reordered proposals and with snapshots in between. Within
// the age no key may run twice, and a recorded answer must not change.
func TestOneExecutionPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model{ran: map[string][]string{}, since: map[string]tackclock.Time{}, claimed: map[string]string{},
			instances: map[tackid.Peer]InstanceID{}, peers: map[string]tackid.Peer{}}
		m.log.Limits = Limits{Age: tackclock.Hour, ReleasedAge: tackclock.Minute, Records: 40, Bytes: 60}
		var late []Change
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				c := m.newBegin(t)
				if rapid.IntRange(0, 4).Draw(t, "fate") == 0 {
					late = append(late, c) // the peer stops waiting and won't dispatch
					late = append(late, releaseOf(c))
					delete(m.claimed, string(c.Begin.Request))
					return
				}
				m.claim(t, c)
			},
			"late": func(t *rapid.T) {
				if len(late) == 0 {
					return
				}
				i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				m.log.apply(late[i])
				late = slices.Delete(late, i, i+1)
			},
			"finish": func(t *rapid.T) { m.finish(t) },
			"die": func(t *rapid.T) {
				m.instances[peerOf(t)]++
			},
			"wait": func(t *rapid.T) {
				m.log.now = m.log.now.Add(tackclock.Duration(rapid.IntRange(-1000, 90_000).Draw(t, "ms")))
			},
			"snapshot": func(t *rapid.T) { m.snapshot(t) },
		})
	})
}

func peerOf(t *rapid.T) tackid.Peer {
	return tackid.Peer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer"))
}

func (m *model) newBegin(t *rapid.T) Change {
	m.next++
	peer := peerOf(t)
	request := fmt.Sprint("r", m.next)
	k := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
	m.peers[request] = peer
	m.claimed[request] = k
	c := begin(k, request)
	c.Begin.Peer, c.Begin.Instance = peer, m.instances[peer]
	c.Begin.ID.Team = tackid.Team(k)
	return c
}

func releaseOf(c Change) Change {
	return Change{Finish: &Finish{ID: c.Begin.ID, Request: c.Begin.Request, Outcome: OutcomeDidNotRun}}
}

// claim applies a Begin, sometimes twice, and records a run if it gets Claimed.
func (m *model) claim(t *rapid.T, c Change) {
	request := string(c.Begin.Request)
	k := m.claimed[request]
	before := m.log.Lookup(m.log.now, c.Begin.ID, c.Begin.Fingerprint)
	got := m.log.apply(c)
	if rapid.Bool().Draw(t, "twice") {
		if again := m.log.apply(c); got.Kind == Claimed && again.Kind != Claimed {
			t.Fatalf("the second proposal of a claim that got Mine returned %v", again.Kind)
		}
	}
	if before.Kind == Recorded && (got.Kind != Recorded || string(got.Answer.Body) != string(before.Answer.Body)) {
		t.Fatalf("a recorded answer changed to %v %q", got.Kind, got.Answer.Body)
	}
	if got.Kind != Claimed {
		delete(m.claimed, request)
		return
	}
	if m.log.now.Sub(m.since[k]) >= m.log.Limits.Age {
		m.ran[k] = nil
	}
	if len(m.ran[k]) == 0 {
		m.since[k] = m.log.now
	}
	m.ran[k] = append(m.ran[k], request)
	if len(m.ran[k]) > 1 {
		t.Fatalf("key %s ran more than once, for requests %v", k, m.ran[k])
	}
}

// finish finishes a claimed request with one of the outcomes.
func (m *model) finish(t *rapid.T) {
	requests := make([]string, 0, len(m.claimed))
	for request := range m.claimed {
		requests = append(requests, request)
	}
	if len(requests) == 0 {
		return
	}
	slices.Sort(requests)
	request := rapid.SampledFrom(requests).Draw(t, "request")
	k := m.claimed[request]
	f := finish(k, request, Outcome(rapid.IntRange(1, 3).Draw(t, "outcome")), "answer of "+request)
	f.Finish.ID.Team = tackid.Team(k)
	m.log.apply(f)
	if f.Finish.Outcome == OutcomeDidNotRun {
		m.ran[k] = slices.DeleteFunc(m.ran[k], func(r string) bool { return r == request })
		delete(m.claimed, request)
	}
}

// snapshot restores the state from its own snapshot and compares the two.
func (m *model) snapshot(t *rapid.T) {
	before, err := m.log.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := State{Limits: m.log.Limits}
	if err := restored.Restore(before); err != nil {
		t.Fatal(err)
	}
	after, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(before, after) {
		t.Fatalf("the restored state has a different snapshot")
	}
	m.log.State = restored
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkClaimAndFinish(b *testing.B) {
	before := heapBytes()
	l := testLog{State: State{Limits: Limits{Records: 1 << 20, Age: 11 * tackclock.Hour}}}
	b.ReportAllocs()
	for i := range b.N {
		name := fmt.Sprint(i)
		l.now = l.now.Add(100)
		c := begin(name, name)
		c.Begin.ID.Team = tackid.Team(fmt.Sprint("team", i%45))
		l.apply(c)
		l.apply(finish(name, name, OutcomeAnswered, "{}"))
	}
	data, err := l.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data))/float64(l.Len()), "snapshot_bytes/record")
	data = nil
	b.ReportMetric(float64(heapBytes()-before)/float64(l.Len()), "heap_bytes/record")
	runtime.KeepAlive(&l)
}
