package tackplatform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"
)

// fakePlatform is a fake platform that carries out requests and then corrupts the answers
// according to faults, one entry for each request.
type fakePlatform struct {
	mu         sync.Mutex
	faults     []string
	requests   []string
	operations map[tackid.Operation]int
	started    map[tackid.Task]int
	release    chan struct{}
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation tackid.Operation `json:"operation"`
		Task      tackid.Task      `json:"task"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	p.mu.Lock()
	fault := ""
	if len(p.faults) > 0 {
		fault, p.faults = p.faults[0], p.faults[1:]
	}
	p.requests = append(p.requests, r.Method+" "+r.URL.EscapedPath())
	if fault != "refuse" && fault != "fail" {
		p.operations[body.Operation]++
		p.started[body.Task]++
	}
	p.mu.Unlock()
	p.answer(w, r, fault)
}

func (p *fakePlatform) startCount(task tackid.Task) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started[task]
}

func (p *fakePlatform) requestList() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

func (p *fakePlatform) operationCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.operations)
}

func (p *fakePlatform) answer(w http.ResponseWriter, r *http.Request, fault string) {
	switch fault {
	case "refuse":
		http.Error(w, "no such VM", http.StatusNotFound)
	case "fail":
		http.Error(w, "try later", http.StatusBadGateway)
	case "lose":
		panic(http.ErrAbortHandler)
	case "late":
		<-p.release
	case "wrong":
		_, _ = w.Write([]byte(`{"vm":"w-2","state":"serving"}`))
	default:
		p.answerOK(w, r)
	}
}

func (p *fakePlatform) answerOK(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost:
		w.WriteHeader(http.StatusAccepted)
	case strings.HasSuffix(r.URL.Path, "/tasks"):
		_, _ = w.Write([]byte(`[{"task":"t-1","token":4,"cores":1.5,"new_field":1}]`))
	default:
		_, _ = w.Write([]byte(`{"vm":"w-1","state":"rebooting","operation":"op-1"}`))
	}
}

func start(t *testing.T, faults ...string) (*fakePlatform, *Client) {
	p := &fakePlatform{
		faults: faults, release: make(chan struct{}),
		operations: map[tackid.Operation]int{}, started: map[tackid.Task]int{},
	}
	server := httptest.NewServer(p)
	t.Cleanup(func() {
		close(p.release)
		server.Close()
	})
	return p, &Client{
		Address:    server.Listener.Addr().String(),
		HTTP:       server.Client(),
		TryTimeout: 100 * tackclock.Millisecond,
		Backoff:    2 * tackclock.Millisecond,
	}
}

func assertUnavailable(err error) {
	var unavailable *UnavailableError
	So(errors.As(err, &unavailable), ShouldBeTrue)
}

// Guards against a VM that is rebooted twice in one wave, or never: the platform accepts the
// operation, its answer is lost, fails or is late, and the leader retries. A retry with
// another operation id is another reboot, and without a retry the wave waits for an operation
// that was never started.
func TestStartIsRepeatedUnderTheSameOperation(t *testing.T) {
	for _, fault := range []string{"fail", "lose", "late"} {
		t.Run(fault, func(t *testing.T) {
			Convey("The second attempt succeeds", t, func() {
				p, c := start(t, fault)
				So(c.Start(context.Background(), "w-1", tackfleet.ActionReboot, "op-1"), ShouldBeNil)
				So(p.requestList(), ShouldResemble, []string{"POST /vms/w-1/reboot", "POST /vms/w-1/reboot"})
				So(p.operationCount(), ShouldEqual, 1)
			})
		})
	}
	Convey("It ends after a bounded number of attempts", t, func() {
		p, c := start(t, "fail", "fail", "fail", "fail")
		assertUnavailable(c.Start(context.Background(), "w-1", tackfleet.ActionReboot, "op-1"))
		So(len(p.requestList()), ShouldEqual, DefaultTries)
	})
}

// Guards against a task that runs twice on one worker: the worker starts it, the answer is
// lost, and the order is sent again. The API does not define this call as idempotent.
func TestStartTaskIsSentOnce(t *testing.T) {
	Convey("A lost answer is reported and the call not retried", t, func() {
		p, c := start(t, "lose")
		err := c.StartTask(context.Background(), "w-1", TaskOrder{Task: "t-1", Lease: 5000, Token: 1})
		assertUnavailable(err)
		So(p.startCount("t-1"), ShouldEqual, 1)
	})
}

func TestAnswers(t *testing.T) {
	Convey("A refusal is final and keeps its status", t, func() {
		p, c := start(t, "refuse")
		err := c.Start(context.Background(), "../x/y", tackfleet.ActionUpgrade, "op-2")
		var refused *RefusedError
		So(errors.As(err, &refused), ShouldBeTrue)
		So(refused.Status, ShouldEqual, http.StatusNotFound)
		So(p.requestList(), ShouldResemble, []string{"POST /vms/..%2Fx%2Fy/upgrade"})
	})
	Convey("A name that would lead to another path is not sent", t, func() {
		p, c := start(t)
		var name *NameError
		So(errors.As(c.Start(context.Background(), "..", tackfleet.ActionReboot, "op-3"), &name), ShouldBeTrue)
		So(p.requestList(), ShouldBeEmpty)
	})
	Convey("The state of a VM, and never that of another", t, func() {
		_, c := start(t, "", "wrong")
		status, err := c.State(context.Background(), "w-1")
		So(err, ShouldBeNil)
		So(status, ShouldResemble, VMStatus{VM: "w-1", State: StateRebooting, Operation: "op-1"})
		_, err = c.State(context.Background(), "w-1")
		var broken *AnswerError
		So(errors.As(err, &broken), ShouldBeTrue)
	})
	Convey("Tasks with their usage", t, func() {
		_, c := start(t)
		tasks, err := c.Tasks(context.Background(), "w-1")
		So(err, ShouldBeNil)
		So(tasks, ShouldResemble, []TaskUsage{{Task: "t-1", Token: 4, Cores: 1.5}})
	})
	Convey("A call to a platform that does not listen was never sent", t, func() {
		c := &Client{Address: "127.0.0.1:1", Backoff: 1}
		var unavailable *UnavailableError
		So(errors.As(c.StartTask(context.Background(), "w-1", TaskOrder{}), &unavailable), ShouldBeTrue)
		So(unavailable.NotSent, ShouldBeTrue)
	})
}
