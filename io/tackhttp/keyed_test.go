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

var errNoMajority = errors.New("no majority")

// fakeLedger stands in for the replicated ledger; the entry VMs of a test share
// it.
type fakeLedger struct {
	mu    sync.Mutex
	state tackledger.State
	rev   tackid.Revision
	now   tackclock.Time
	drop  func(c tackledger.Change) (late bool, err error)
	late  []tackledger.Change
}

func (m *fakeLedger) Claim(_ context.Context, b tackledger.Begin) (tackledger.Claim, error) {
	return m.propose(tackledger.Change{Begin: &b})
}

func (m *fakeLedger) Finish(_ context.Context, f tackledger.Finish) error {
	_, err := m.propose(tackledger.Change{Finish: &f})
	return err
}

func (m *fakeLedger) propose(c tackledger.Change) (tackledger.Claim, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.drop != nil {
		if late, err := m.drop(c); err != nil {
			if late {
				m.late = append(m.late, c)
			}
			return tackledger.Claim{}, err
		}
	}
	return m.apply(c), nil
}

func (m *fakeLedger) apply(c tackledger.Change) tackledger.Claim {
	m.rev++
	return m.state.Apply(m.rev, m.now, c)
}

func (m *fakeLedger) advance(d tackclock.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

func keyed(method, key, body string) string {
	return request(method, "/names/x", "Idempotency-Key: "+key, fmt.Sprintf("Content-Length: %d", len(body))) + body
}

// A request with a key must run once, even if the caller repeats it through
// several entry VMs, concurrently and later.
func TestKeyRunsOnce(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	ledger := new(fakeLedger)
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
	if n := backend.executions(); n != 5 {
		t.Errorf("%d executions of 5 keys", n)
	}
	if got := exchange(t, entries[2].address, keyed("POST", "first", "{}")); got != want {
		t.Errorf("the repeat got %q, want %q", got, want)
	}
	got := exchange(t, entries[1].address, keyed("POST", "first", "{other}"))
	assertOwn(t, got, http.StatusUnprocessableEntity, codeKeyMismatch, tackledger.OutcomeDidNotRun)
}

// A repeated answer must have the Date of the first one, which is when the
// answer was generated, even if the backend server sent none. Each answer got
// its own when the record lacked the Date that the first caller received.
func TestRepeatKeepsTheDate(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	ledger := new(fakeLedger)
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

// If an entry VM dies after claiming a key, before or after the dispatch,
// repeats through another one must not run the request again, neither at once
// nor later: a claim without an outcome may have run.
func TestKeyOfDeadEntryIsUnknown(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	ledger := new(fakeLedger)
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
	if n := backend.executions(); n != 0 {
		t.Errorf("%d executions", n)
	}
}

// After a failed dispatch the key must be released if the request did not run,
// and kept if it may have run. Otherwise the request runs twice, or is refused
// for a day although it never ran.
func TestKeyAfterFailedDispatch(t *testing.T) {
	for name, test := range map[string]struct {
		handle func(*scriptedBackend, int, net.Conn, *bufio.Reader)
		again  func(t *testing.T, got string)
		runs   int
	}{
		"hangs up, then well": {firstThen(answerWith("")), func(t *testing.T, got string) {
			assertOwn(t, got, http.StatusGatewayTimeout, codeKeyUnknown, tackledger.OutcomeUnknown)
		}, 1},
		"short, then well": {firstThen(answerWith(okAnswer[:len(okAnswer)-1])), func(t *testing.T, got string) {
			assertOwn(t, got, http.StatusGatewayTimeout, codeKeyUnknown, tackledger.OutcomeUnknown)
		}, 1},
		"refuses, then well": {firstThen(answerWith("HTTP/1.1 503 Busy\r\nAuburntack-Outcome: did_not_run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")), func(t *testing.T, got string) {
			assertContains(t, got, "HTTP/1.1 200 OK\r\n")
		}, 2},
	} {
		for _, method := range []string{"POST", "GET", "PUT"} {
			t.Run(name+" "+method, func(t *testing.T) {
				backend := newScriptedBackend(t, test.handle)
				e := newEntry(t, Config{Ledger: new(fakeLedger)}, backend.address, backend.address)
				e.fillBudget()
				exchange(t, e.address, keyed(method, "k", "{}"))
				test.again(t, exchange(t, e.address, keyed(method, "k", "{}")))
				if n := backend.executions(); n != test.runs {
					t.Errorf("%d executions, want %d", n, test.runs)
				}
			})
		}
	}
}

// firstThen returns a handler that uses handle for the first connection and
// echo for the others.
func firstThen(handle func(*scriptedBackend, int, net.Conn, *bufio.Reader)) func(*scriptedBackend, int, net.Conn, *bufio.Reader) {
	return func(s *scriptedBackend, n int, c net.Conn, r *bufio.Reader) {
		if n == 0 {
			handle(s, n, c, r)
			return
		}
		echo(s, n, c, r)
	}
}

// A request whose claim could not be recorded in time must not be dispatched,
// and the claim must be released even if it is recorded later. Otherwise the
// key stays blocked although the caller was told did_not_run.
func TestLostClaim(t *testing.T) {
	convey.Convey("With a claim that is lost and applied later", t, func() {
		backend := newScriptedBackend(t, echo)
		ledger := new(fakeLedger)
		first := true
		ledger.drop = func(c tackledger.Change) (bool, error) {
			if c.Begin != nil && first {
				first = false
				return true, errNoMajority
			}
			return false, nil
		}
		e := newEntry(t, Config{Ledger: ledger}, backend.address)
		assertOwn(t, exchange(t, e.address, keyed("POST", "k", "{}")), http.StatusServiceUnavailable, codeNoLedger, tackledger.OutcomeDidNotRun)
		convey.So(backend.executions(), convey.ShouldEqual, 0)
		convey.So(e.Handler.Shutdown(t.Context()), convey.ShouldBeNil) // the release is recorded
		ledger.mu.Lock()
		ledger.apply(ledger.late[0])
		ledger.mu.Unlock()
		assertContains(t, exchange(t, e.address, keyed("POST", "k", "{}")), "HTTP/1.1 200 OK\r\n")
		convey.So(backend.executions(), convey.ShouldEqual, 1)
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	body := strings.Repeat("x", 100)
	backend := newScriptedBackend(t, answerWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n%s", body)))
	e := newEntry(t, Config{Ledger: new(fakeLedger), Limits: Limits{RecordBody: 99}}, backend.address)
	assertContains(t, exchange(t, e.address, keyed("POST", "k", "{}")), body)
	got := exchange(t, e.address, keyed("POST", "k", "{}"))
	assertOwn(t, got, http.StatusGone, codeAnswerNotKept, tackledger.OutcomeUnknown)
	got = exchange(t, e.address, request("POST", "/names/x", "Idempotency-Key: l", "Content-Length: 1048577"))
	assertOwn(t, got, http.StatusRequestEntityTooLarge, codeTooLarge, tackledger.OutcomeDidNotRun)
}

// If the outcome of a request can't be recorded at first, it must be retried.
// Otherwise a caller that has its answer and repeats the request is told that
// it is still running.
func TestFinishIsTriedAgain(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	ledger := new(fakeLedger)
	lost := 0
	ledger.drop = func(c tackledger.Change) (bool, error) {
		if c.Finish != nil && lost < 3 {
			lost++
			return false, errNoMajority
		}
		return false, nil
	}
	e := newEntry(t, Config{Ledger: ledger}, backend.address)
	assertContains(t, exchange(t, e.address, keyed("POST", "k", "{}")), "HTTP/1.1 200 OK\r\n")
	e.running.Wait()
	assertContains(t, exchange(t, e.address, keyed("POST", "k", "{}")), "HTTP/1.1 200 OK\r\n")
	if n := backend.executions(); n != 1 {
		t.Errorf("%d executions", n)
	}
}
