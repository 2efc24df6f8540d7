package tackhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
)

var errLost = errors.New("no majority")

// majority is the replicated ledger, shared by the entry VMs of a test.
type majority struct {
	mu    sync.Mutex
	state tackledger.State
	rev   tackid.Revision
	now   tackclock.Time
	lose  func(c tackledger.Change) (late bool, err error)
	late  []tackledger.Change
}

func (m *majority) Claim(_ context.Context, b tackledger.Begin) (tackledger.Claim, error) {
	return m.propose(tackledger.Change{Begin: &b})
}

func (m *majority) Finish(_ context.Context, f tackledger.Finish) error {
	_, err := m.propose(tackledger.Change{Finish: &f})
	return err
}

func (m *majority) propose(c tackledger.Change) (tackledger.Claim, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lose != nil {
		if late, err := m.lose(c); err != nil {
			if late {
				m.late = append(m.late, c)
			}
			return tackledger.Claim{}, err
		}
	}
	return m.apply(c), nil
}

func (m *majority) apply(c tackledger.Change) tackledger.Claim {
	m.rev++
	return m.state.Apply(m.rev, m.now, c)
}

func (m *majority) advance(d tackclock.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

func keyed(method, key, body string) string {
	return request(method, "/names/x", "Idempotency-Key: "+key, fmt.Sprintf("Content-Length: %d", len(body))) + body
}

// Symptom: a Notice is sent twice.
// Sequence: a caller repeats a request through several entry VMs at the same
// moment and later.
// Cause: each of them dispatched it.
func TestKeyRunsOnce(t *testing.T) {
	backend := newScript(t, echo)
	ledger := new(majority)
	var entries []*entry
	for range 3 {
		entries = append(entries, newEntry(t, Config{Ledger: ledger}, backend.address))
	}
	want := exchange(t, entries[0].address, keyed("POST", "first", "{}"))
	var running sync.WaitGroup
	for i := range 48 {
		running.Go(func() {
			got := exchange(t, entries[i%3].address, keyed("POST", fmt.Sprint("key ", i%4), "{}"))
			if !strings.Contains(got, "POST /names/x {}") {
				assertOwn(t, got, http.StatusConflict, codeKeyRunning, tackledger.OutcomeUnknown)
			}
		})
	}
	running.Wait()
	if n := backend.runs(); n != 5 {
		t.Errorf("%d executions of 5 keys", n)
	}
	if got := exchange(t, entries[2].address, keyed("POST", "first", "{}")); got != want {
		t.Errorf("the repeat got %q, want %q", got, want)
	}
	got := exchange(t, entries[1].address, keyed("POST", "first", "{other}"))
	assertOwn(t, got, http.StatusUnprocessableEntity, codeKeyMismatch, tackledger.OutcomeDidNotRun)
}

// Symptom: the repeat of an answer differs from it in one line, its Date.
// Sequence: a backend server answers without a Date; the caller repeats the request
// after the clock's second has changed.
// Cause: the record lacked the Date that the first caller was sent, so each answer
// got its own. An answer's Date is when it was made, and a repeat makes none.
func TestRepeatKeepsTheDate(t *testing.T) {
	backend := newScript(t, echo)
	ledger := new(majority)
	e := newEntry(t, Config{Ledger: ledger}, backend.address)
	first := exchange(t, e.address, keyed("POST", "dated", "{}"))
	id := tackledger.ID{Service: "names", Key: "dated"}
	claim, err := ledger.Claim(t.Context(), tackledger.Begin{ID: id, Fingerprint: tackledger.NewFingerprint("POST", "/names/x", []byte("{}"))})
	if err != nil || claim.Kind != tackledger.Recorded {
		t.Fatalf("the key's record is %+v, %v", claim, err)
	}
	at := slices.IndexFunc(claim.Answer.Header, func(f tackledger.Field) bool { return f.Name == "Date" })
	if at < 0 || len(claim.Answer.Header[at].Values) != 1 {
		t.Fatalf("the record has the header %v, want one Date", claim.Answer.Header)
	}
	if date := "\r\nDate: " + claim.Answer.Header[at].Values[0] + "\r\n"; !strings.Contains(first, date) {
		t.Errorf("the first answer was %q, and its record has %q", first, date)
	}
	claim.Answer.Header[at].Values[0] = "Wed, 02 Dec 2026 18:00:00 GMT"
	if got := exchange(t, e.address, keyed("POST", "dated", "{}")); !strings.Contains(got, "\r\nDate: Wed, 02 Dec 2026 18:00:00 GMT\r\n") {
		t.Errorf("the repeat got %q, want the recorded Date", got)
	}
}

// Symptom: after an entry VM died, a repeat of what it was running runs again.
// Sequence: it claims the key and dies, before or after the dispatch; the
// caller repeats the request through another one, at once and later.
// Cause: a claim without an end was taken for one that did not run.
func TestKeyOfDeadEntryIsUnknown(t *testing.T) {
	backend := newScript(t, echo)
	ledger := new(majority)
	e := newEntry(t, Config{Ledger: ledger}, backend.address)
	ledger.Claim(t.Context(), tackledger.Begin{
		ID:          tackledger.ID{Service: "names", Key: "k"},
		Fingerprint: tackledger.NewFingerprint("POST", "/names/x", []byte("{}")),
		Request:     "of-the-dead", Peer: "rennes-b-1", Timeout: tackclock.Minute,
	})
	got := exchange(t, e.address, keyed("POST", "k", "{}"))
	assertOwn(t, got, http.StatusConflict, codeKeyRunning, tackledger.OutcomeUnknown)
	ledger.advance(2 * tackclock.Minute)
	got = exchange(t, e.address, keyed("POST", "k", "{}"))
	assertOwn(t, got, http.StatusGatewayTimeout, codeKeyUnknown, tackledger.OutcomeUnknown)
	if n := backend.runs(); n != 0 {
		t.Errorf("%d executions", n)
	}
}

// Symptom: a request with a key runs twice, or is refused for a day though it
// never ran.
// Sequence: the dispatch breaks off, is refused, or never gets a connection.
// Cause: the claim was released, or kept, against what is known of the run.
func TestKeyAfterFailedDispatch(t *testing.T) {
	for name, test := range map[string]struct {
		play  func(*script, int, net.Conn, *bufio.Reader)
		again func(t *testing.T, got string)
		runs  int
	}{
		"hangs up, then well": {firstThen(say("")), func(t *testing.T, got string) {
			assertOwn(t, got, http.StatusGatewayTimeout, codeKeyUnknown, tackledger.OutcomeUnknown)
		}, 1},
		"short, then well": {firstThen(say(ok[:len(ok)-1])), func(t *testing.T, got string) {
			assertOwn(t, got, http.StatusGatewayTimeout, codeKeyUnknown, tackledger.OutcomeUnknown)
		}, 1},
		"refuses, then well": {firstThen(say("HTTP/1.1 503 Busy\r\nAuburntack-Outcome: did_not_run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")), func(t *testing.T, got string) {
			assertContains(t, got, "HTTP/1.1 200 OK\r\n")
		}, 2},
	} {
		for _, method := range []string{"POST", "GET", "PUT"} {
			t.Run(name+" "+method, func(t *testing.T) {
				backend := newScript(t, test.play)
				e := newEntry(t, Config{Ledger: new(majority)}, backend.address, backend.address)
				e.fillBudget()
				exchange(t, e.address, keyed(method, "k", "{}"))
				test.again(t, exchange(t, e.address, keyed(method, "k", "{}")))
				if n := backend.runs(); n != test.runs {
					t.Errorf("%d executions, want %d", n, test.runs)
				}
			})
		}
	}
}

// firstThen plays the first connection by play and the others by echo.
func firstThen(play func(*script, int, net.Conn, *bufio.Reader)) func(*script, int, net.Conn, *bufio.Reader) {
	return func(s *script, n int, c net.Conn, r *bufio.Reader) {
		if n == 0 {
			play(s, n, c, r)
			return
		}
		echo(s, n, c, r)
	}
}

// Symptom: a request is dispatched without a durable record, or its key is
// stuck though its caller was told did_not_run.
// Sequence: the claim finds no majority in time and is applied later.
// Cause: an error of the ledger was taken for a yes, or the late claim had
// nobody to end it.
func TestLostClaim(t *testing.T) {
	convey.Convey("With a claim that is lost and applied later", t, func() {
		backend := newScript(t, echo)
		ledger := new(majority)
		first := true
		ledger.lose = func(c tackledger.Change) (bool, error) {
			if c.Begin != nil && first {
				first = false
				return true, errLost
			}
			return false, nil
		}
		e := newEntry(t, Config{Ledger: ledger}, backend.address)
		assertOwn(t, exchange(t, e.address, keyed("POST", "k", "{}")), http.StatusServiceUnavailable, codeNoLedger, tackledger.OutcomeDidNotRun)
		convey.So(backend.runs(), convey.ShouldEqual, 0)
		convey.So(e.Handler.Shutdown(t.Context()), convey.ShouldBeNil) // the release is recorded
		ledger.mu.Lock()
		ledger.apply(ledger.late[0])
		ledger.mu.Unlock()
		assertContains(t, exchange(t, e.address, keyed("POST", "k", "{}")), "HTTP/1.1 200 OK\r\n")
		convey.So(backend.runs(), convey.ShouldEqual, 1)
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	body := strings.Repeat("x", 100)
	backend := newScript(t, say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n%s", body)))
	e := newEntry(t, Config{Ledger: new(majority), Limits: Limits{RecordBody: 99}}, backend.address)
	assertContains(t, exchange(t, e.address, keyed("POST", "k", "{}")), body)
	got := exchange(t, e.address, keyed("POST", "k", "{}"))
	assertOwn(t, got, http.StatusGone, codeAnswerNotKept, tackledger.OutcomeUnknown)
	got = exchange(t, e.address, request("POST", "/names/x", "Idempotency-Key: l", "Content-Length: 1048577"))
	assertOwn(t, got, http.StatusRequestEntityTooLarge, codeTooLarge, tackledger.OutcomeDidNotRun)
}

// Symptom: a caller that has its answer repeats the request and is told that
// it is still running.
// Sequence: no majority is found for the record of the answer; it is later.
// Cause: the record was tried once only.
func TestFinishIsTriedAgain(t *testing.T) {
	backend := newScript(t, echo)
	ledger := new(majority)
	lost := 0
	ledger.lose = func(c tackledger.Change) (bool, error) {
		if c.Finish != nil && lost < 3 {
			lost++
			return false, errLost
		}
		return false, nil
	}
	e := newEntry(t, Config{Ledger: ledger}, backend.address)
	assertContains(t, exchange(t, e.address, keyed("POST", "k", "{}")), "HTTP/1.1 200 OK\r\n")
	e.running.Wait()
	assertContains(t, exchange(t, e.address, keyed("POST", "k", "{}")), "HTTP/1.1 200 OK\r\n")
	if n := backend.runs(); n != 1 {
		t.Errorf("%d executions", n)
	}
}
