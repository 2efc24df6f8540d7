package tackclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// fakeSystem stands in for the VMs of the system behind several entries. Like
// the replicated log, it remembers the ids of commands.
type fakeSystem struct {
	mu      sync.Mutex
	effects map[string]int
	ids     []string
}

// If the connection breaks after the first VM has run the command, but before
// its answer, the command must be sent to the next VM with the same id. With a
// new id for each try the command would take effect twice, and a lost answer
// must not be reported as a failure.
func TestDoSendsTheSameIDThroughTheNextEntry(t *testing.T) {
	Convey("Given an entry that loses its answer and one that keeps it", t, func() {
		s := &fakeSystem{effects: make(map[string]int)}
		lost := s.entry(t, func(w http.ResponseWriter) { panic(http.ErrAbortHandler) })
		kept := s.entry(t, func(w http.ResponseWriter) {
			fmt.Fprint(w, `{"accepted":true,"revision":7,"not_in_force":["brest-1"]}`)
		})
		c := newClient(t, lost, kept)
		done, err := c.Do(t.Context(), Command{Text: "drain vm w-17"})
		So(err, ShouldBeNil)
		So(done.Revision, ShouldEqual, 7)
		So(done.NotInForce, ShouldResemble, []tackid.Peer{"brest-1"})
		Convey("Then both got one id, and it took effect once", func() {
			So(s.ids, ShouldHaveLength, 2)
			So(s.ids[0], ShouldEqual, s.ids[1])
			So(s.ids[0], ShouldNotBeEmpty)
			So(s.effects, ShouldResemble, map[string]int{s.ids[0]: 1})
		})
	})
}

// If one answer is lost, the outcome must be reported as unknown even if all
// later entries answer did_not_run. When only the last answer was reported, a
// script was told that nothing was done, sent the command under a new id, and a
// wave started twice.
func TestDoKeepsAnUnknownOutcomeUnknown(t *testing.T) {
	s := &fakeSystem{effects: make(map[string]int)}
	lost := s.entry(t, func(w http.ResponseWriter) { panic(http.ErrAbortHandler) })
	none := answering(t, http.StatusServiceUnavailable, `{"error":{"code":"no_leader","message":"no majority","did_not_run":true}}`)
	c := newClient(t, lost, none)
	_, err := c.Do(t.Context(), Command{Text: "start wave tuesday", ID: "mine"})
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) || unknown.ID != "mine" {
		t.Fatalf("error %v, want an *UnknownOutcomeError with id mine", err)
	}
}

// An unconfirmed answer from a VM that has lost contact must not be returned if
// another entry has a confirmed one.
func TestAskPrefersAConfirmedAnswer(t *testing.T) {
	Convey("Given a cut-off entry and one with a lease", t, func() {
		old := answering(t, http.StatusOK, `{"confirmed":false,"revision":3,"columns":["vm"],"rows":[["w-1"]]}`)
		newest := answering(t, http.StatusOK, `{"confirmed":true,"revision":18446744073709551615,"columns":["vm"],"rows":[["w-2"]]}`)
		a, err := newClient(t, old, newest).Ask(t.Context(), "show vms")
		So(err, ShouldBeNil)
		So(a.Revision, ShouldEqual, uint64(18446744073709551615))
		a, err = newClient(t, old).Ask(t.Context(), "show vms")
		So(err, ShouldBeNil)
		So(a.Confirmed, ShouldBeFalse)
	})
}

// entry starts an entry that records the command and then calls answer.
func (s *fakeSystem) entry(t *testing.T, answer func(w http.ResponseWriter)) string {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Auburntack-Command-Id")
		s.mu.Lock()
		s.ids = append(s.ids, id)
		if s.effects[id] == 0 {
			s.effects[id]++
		}
		s.mu.Unlock()
		answer(w)
	})
}

func answering(t *testing.T, status int, body string) string {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	})
}

func serve(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newClient(t *testing.T, entries ...string) *Client {
	return &Client{
		Entries: entries,
		pause:   func(context.Context, tackclock.Duration) error { return t.Context().Err() },
	}
}
