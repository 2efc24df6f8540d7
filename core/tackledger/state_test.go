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

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

func key(name string) ID {
	return ID{Service: "names", Team: "post", Key: tackid.Key(name)}
}

func begin(name, request string) Change {
	return Change{Begin: &Begin{ID: key(name), Request: tackid.RequestID(request), Peer: "a", Life: 1, Within: tackclock.Minute}}
}

func finish(name, request string, o Outcome, body string) Change {
	return Change{Finish: &Finish{ID: key(name), Request: tackid.RequestID(request), Outcome: o,
		Answer: Answer{Status: 200, Body: []byte(body)}}}
}

// log applies changes one after another.
type log struct {
	State
	rev tackid.Revision
	now tackclock.Time
}

func (l *log) do(c Change) Claim {
	l.rev++
	return l.Apply(l.rev, l.now, c)
}

func TestVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		changes []Change
		want    ClaimKind
	}{
		"free":                 {nil, Mine},
		"running":              {[]Change{begin("k", "r1")}, Running},
		"proposed twice":       {[]Change{begin("k", "r2")}, Mine},
		"proposed twice, late": {[]Change{begin("k", "r2"), finish("k", "r2", OutcomeUnknown, "")}, Unknown},
		"answered":             {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeAnswered, "x")}, Recorded},
		"unknown":              {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeUnknown, "")}, Unknown},
		"unknown, then known":  {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeUnknown, ""), finish("k", "r1", OutcomeAnswered, "x")}, Recorded},
		"did not run":          {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeDidNotRun, "")}, Mine},
		"another's finish":     {[]Change{begin("k", "r1"), finish("k", "r9", OutcomeDidNotRun, "")}, Running},
		"answered, then freed": {[]Change{begin("k", "r1"), finish("k", "r1", OutcomeAnswered, "x"), finish("k", "r1", OutcomeDidNotRun, "")}, Recorded},
	} {
		t.Run(name, func(t *testing.T) {
			var l log
			for _, c := range test.changes {
				l.do(c)
			}
			assertClaim(t, &l, begin("k", "r2"), test.want)
		})
	}
}

func assertClaim(t *testing.T, l *log, c Change, want ClaimKind) {
	t.Helper()
	if got := l.do(c).Kind; got != want {
		t.Errorf("claim is %v, want %v", got, want)
	}
}

// Symptom: a key can't be used for a day, though its caller was told that the
// request did not run.
// Sequence: an entry VM proposes a claim and gives up waiting; it answers
// did_not_run and proposes the release; the release is applied first.
// Cause: the late claim was recorded, and nobody was left to finish it.
func TestReleaseOvertakesClaim(t *testing.T) {
	convey.Convey("After a release that came before its claim", t, func() {
		var l log
		l.do(finish("k", "r1", OutcomeDidNotRun, ""))
		convey.So(l.do(begin("k", "r1")).Kind, convey.ShouldEqual, Released)
		convey.So(l.do(begin("k", "r2")).Kind, convey.ShouldEqual, Mine)
		convey.So(l.do(begin("k", "r1")).Kind, convey.ShouldEqual, Running)
		convey.Convey("the release itself is forgotten soon", func() {
			l.do(finish("other", "r3", OutcomeDidNotRun, ""))
			l.now = l.now.Add(10 * tackclock.Minute)
			l.do(finish("k", "r2", OutcomeAnswered, ""))
			convey.So(l.Len(), convey.ShouldEqual, 1)
		})
	})
}

// Symptom: repeats are told for ever that the key's work is running.
// Sequence: an entry VM claims a key, dispatches and dies; a caller repeats the
// request through another one.
// Cause: only the dead process could have finished the record.
func TestClaimOfDeadPeerIsUnknown(t *testing.T) {
	convey.Convey("With a claim whose peer died", t, func() {
		var l log
		l.do(begin("k", "r1"))
		convey.Convey("it is unknown once its time has run out", func() {
			l.now = l.now.Add(tackclock.Minute + 1)
			convey.So(l.do(begin("k", "r2")).Kind, convey.ShouldEqual, Unknown)
		})
		convey.Convey("it is unknown once the peer is seen with another life", func() {
			other := begin("other", "r2")
			other.Begin.Life = 2
			l.do(other)
			repeat := begin("k", "r3")
			repeat.Begin.Peer = "b"
			convey.So(l.do(repeat).Kind, convey.ShouldEqual, Unknown)
		})
	})
}

// Symptom: a repeat runs a second time.
// Sequence: more keys are claimed than there is room for; an old one is
// repeated within its age.
// Cause: the oldest record was forgotten to make room.
func TestFullLedgerForgetsNothing(t *testing.T) {
	convey.Convey("With room for 8 records", t, func() {
		l := log{State: State{Limits: Limits{Records: 8}}}
		for i := range 4 {
			convey.So(l.do(begin(fmt.Sprint(i), fmt.Sprint(i))).Kind, convey.ShouldEqual, Mine)
		}
		convey.Convey("a team gets half, and then no new key", func() {
			convey.So(l.do(begin("4", "4")).Kind, convey.ShouldEqual, Full)
			convey.So(l.do(begin("0", "r")).Kind, convey.ShouldEqual, Running)
		})
		convey.Convey("records end by age", func() {
			l.now = l.now.Add(tackclock.Day)
			convey.So(l.do(begin("0", "r")).Kind, convey.ShouldEqual, Mine)
			convey.So(l.Len(), convey.ShouldEqual, 1)
		})
	})
}

func TestOldestAnswersAreGivenUpFirst(t *testing.T) {
	convey.Convey("With room for 10 bytes of answers", t, func() {
		l := log{State: State{Limits: Limits{Bytes: 10}}}
		for _, k := range []string{"a", "b", "c"} {
			l.do(begin(k, k))
			l.do(finish(k, k, OutcomeAnswered, "12345"))
		}
		convey.So(l.Bytes(), convey.ShouldEqual, 10)
		old := l.do(begin("a", "r"))
		convey.So(old.Kind, convey.ShouldEqual, Recorded)
		convey.So(old.Answer.Truncated, convey.ShouldBeTrue)
		convey.So(string(l.do(begin("c", "r")).Answer.Body), convey.ShouldEqual, "12345")
	})
}

func TestRestoreRefusesLaterVersion(t *testing.T) {
	data, err := encoding.Marshal(snapshot{Version: snapshotVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	var version *VersionError
	if err := new(State).Restore(data); !errors.As(err, &version) {
		t.Errorf("restore gave %v, want a VersionError", err)
	}
}

// model is what the ledger must keep to, told without limits or snapshots: for
// each key the requests that were allowed to run and did not say that they
// didn't.
type model struct {
	log     log
	ran     map[string][]string       // key: requests that were told Mine and ran
	since   map[string]tackclock.Time // key: when the first of them did
	claimed map[string]string         // request: its key, while it may still finish
	lives   map[tackid.Peer]Life
	peers   map[string]tackid.Peer // of the requests
	next    int
}

// TestOneExecutionPerKey lets peers claim, finish, die and come back in any
// order, with proposals doubled, late or overtaken, and the state snapshotted
// in between. Within the age no key may run twice, and an answer never changes.
func TestOneExecutionPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model{ran: map[string][]string{}, since: map[string]tackclock.Time{}, claimed: map[string]string{},
			lives: map[tackid.Peer]Life{}, peers: map[string]tackid.Peer{}}
		m.log.Limits = Limits{Age: tackclock.Hour, ReleasedAge: tackclock.Minute, Records: 40, Bytes: 60}
		var late []Change
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				c := m.newBegin(t)
				if rapid.IntRange(0, 4).Draw(t, "fate") == 0 {
					late = append(late, c) // the peer gives up: it won't dispatch
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
				m.log.do(late[i])
				late = slices.Delete(late, i, i+1)
			},
			"finish": func(t *rapid.T) { m.finish(t) },
			"die": func(t *rapid.T) {
				m.lives[peerOf(t)]++
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
	c.Begin.Peer, c.Begin.Life = peer, m.lives[peer]
	c.Begin.ID.Team = tackid.Team(k)
	return c
}

func releaseOf(c Change) Change {
	return Change{Finish: &Finish{ID: c.Begin.ID, Request: c.Begin.Request, Outcome: OutcomeDidNotRun}}
}

// claim applies a Begin, sometimes twice, and runs it if it is told Mine.
func (m *model) claim(t *rapid.T, c Change) {
	request := string(c.Begin.Request)
	k := m.claimed[request]
	before := m.log.Lookup(m.log.now, c.Begin.ID, c.Begin.Fingerprint)
	got := m.log.do(c)
	if rapid.Bool().Draw(t, "twice") {
		if again := m.log.do(c); got.Kind == Mine && again.Kind != Mine {
			t.Fatalf("proposed twice, the claim is %v", again.Kind)
		}
	}
	if before.Kind == Recorded && (got.Kind != Recorded || string(got.Answer.Body) != string(before.Answer.Body)) {
		t.Fatalf("a recorded answer became %v %q", got.Kind, got.Answer.Body)
	}
	if got.Kind != Mine {
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
		t.Fatalf("key %s runs for %v", k, m.ran[k])
	}
}

// finish ends a claimed request in one of the ways that a handler does.
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
	m.log.do(f)
	if f.Finish.Outcome == OutcomeDidNotRun {
		m.ran[k] = slices.DeleteFunc(m.ran[k], func(r string) bool { return r == request })
		delete(m.claimed, request)
	}
}

// snapshot restores the state from its own snapshot, and compares.
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
		t.Fatalf("a restored state differs")
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
	l := log{State: State{Limits: Limits{Records: 1 << 20, Age: 11 * tackclock.Hour}}}
	b.ReportAllocs()
	for i := range b.N {
		name := fmt.Sprint(i)
		l.now = l.now.Add(100)
		c := begin(name, name)
		c.Begin.ID.Team = tackid.Team(fmt.Sprint("team", i%45))
		l.do(c)
		l.do(finish(name, name, OutcomeAnswered, "{}"))
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
