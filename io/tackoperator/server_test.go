package tackoperator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"auburntack/core/tackburn"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
	"auburntack/core/tackmember"
	"auburntack/core/tackquery"
	"auburntack/io/tackport"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
)

// fakeSystem returns err for every command, or accepts it if err is nil.
type fakeSystem struct {
	err   error
	got   Command
	ready bool
}

func (s *fakeSystem) Do(_ context.Context, c Command) (CommandResult, error) {
	s.got = c
	return CommandResult{Revision: 7, NotInForce: []tackid.Peer{"brest-1"}}, s.err
}

func (s *fakeSystem) Ask(_ context.Context, text string) (Answer, error) {
	_, err := tackquery.Parse(text)
	return Answer{Confirmed: true, Revision: 7, Table: tackquery.Table{Columns: []string{"vm"}}}, err
}

func (s *fakeSystem) Announce(a tackmember.Announcement) (tackmember.Reply, error) {
	return tackmember.Reply{Accepted: true, NextWithin: 2000}, a.Validate()
}

func (s *fakeSystem) Withdraw(tackid.BackendServer, tackid.Incarnation) bool { return true }

func (s *fakeSystem) Health() Health { return Health{Ready: s.ready} }

func (s *fakeSystem) Burn() tackburn.Report { return tackburn.Report{} }

func serve(s *fakeSystem, r *http.Request) (*http.Response, errorDetail) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	w := httptest.NewRecorder()
	NewServer(s, tackport.New(tackport.Config{}).Port("operator", tackport.Share{}), metrics.NewRegistry(), logrus.NewEntry(logger)).Handler.ServeHTTP(w, r)
	var body errorBody
	json.Unmarshal(w.Body.Bytes(), &body)
	return w.Result(), body.Error
}

func post(path, body string) *http.Request {
	return httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
}

// Each way in which a command can fail must have its own status and code. If an error is
// reported with the status of another, operators repeat a command that was refused
// permanently, or give up on one that may have been executed.
func TestDoTellsFailuresApart(t *testing.T) {
	_, syntax := tackcommand.Parse("crate pool p")
	tests := []struct {
		name      string
		err       error
		status    int
		code      string
		didNotRun bool
	}{
		{"accepted", nil, 200, "", false},
		{"syntax", syntax, 400, "syntax", true},
		{"refused", &tackfleet.RefusedError{Code: tackfleet.CodeBudget}, 409, "budget", true},
		{"no majority", &NotRunError{Reason: "no leader", RetryAfter: 1}, 503, "did_not_run", true},
		{"no answer", &UnknownError{Err: context.DeadlineExceeded}, 504, "unknown", false},
		{"anything else", errors.New("what"), 504, "unknown", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, detail := serve(&fakeSystem{err: test.err}, post("/do", "create pool p"))
			Convey("status, code and did_not_run", t, func() {
				So(r.StatusCode, ShouldEqual, test.status)
				So(detail.Code, ShouldEqual, test.code)
				So(detail.DidNotRun, ShouldEqual, test.didNotRun)
				So(r.Header.Get("Retry-After") != "", ShouldEqual, test.status == 503)
			})
		})
	}
}

func TestBadInput(t *testing.T) {
	tests := []struct {
		name   string
		r      *http.Request
		status int
		field  string
	}{
		{"announcement with a number for a name", post("/announce", `{"backend_server":"b","vm":7}`), 400, "vm"},
		{"announcement with a host name", post("/announce", `{"backend_server":"b","vm":"w","service":"s","data_centre":"d","address":"host:1","slots":8,"connections":64,"incarnation":1,"state":"serving"}`), 400, "address"},
		{"announcement that ends early", post("/announce", `{"backend_server":`), 400, ""},
		{"text too large", post("/do", strings.Repeat("x", bodyLimit+1)), 413, ""},
		{"query that can't be read", post("/ask", "shew vms"), 400, ""},
		{"wrong method", httptest.NewRequest(http.MethodGet, "/do", nil), 405, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, detail := serve(&fakeSystem{}, test.r)
			Convey("status and field", t, func() {
				So(r.StatusCode, ShouldEqual, test.status)
				So(detail.Field, ShouldEqual, test.field)
			})
		})
	}
}

func TestHeadersReachTheCommand(t *testing.T) {
	s := &fakeSystem{}
	r := post("/do", "create pool p")
	r.Header.Set("Auburntack-Command-Id", "id-1")
	r.Header.Set("Auburntack-Expect-Revision", "41")
	serve(s, r)
	wrong := post("/do", "create pool p")
	wrong.Header.Set("Auburntack-Expect-Revision", "newest")
	refused, _ := serve(&fakeSystem{}, wrong)
	Convey("The command has id and revision, and a wrong one is refused", t, func() {
		So(s.got, ShouldResemble, Command{Text: "create pool p", ID: "id-1", Expect: 41})
		So(refused.StatusCode, ShouldEqual, 400)
	})
}
