package tackforward

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackwork"
)

// fakeControl is a control VM that leads or not.
type fakeControl struct {
	leads  bool
	asked  int
	leader tackid.Peer
}

func (f *fakeControl) Do(context.Context, *tackwork.Request) tackwork.Answer {
	f.asked++
	return f.Lead()
}

func (f *fakeControl) Lead() tackwork.Answer {
	if f.leads {
		return tackwork.Answer{}
	}
	return tackwork.Answer{Verdict: tackwork.Unavailable, NotLeader: true, Leader: f.leader}
}

func (f *fakeControl) Join(tackid.Peer, tackid.DataCentre) {}
func (f *fakeControl) Peers() []tackid.Peer                { return nil }
func (f *fakeControl) Leader() tackid.Peer                 { return f.leader }

const controlPeer = "127.0.0.1"

// newWatched returns a client of one control VM, by a clock that the test moves.
func newWatched(t *testing.T, control *fakeControl) (*Client, *tackclock.Clock) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", net.JoinHostPort(controlPeer, "0"))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: NewHandler(control, log)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	clock := new(tackclock.Clock)
	clock.Set(1)
	seeds := func() []tackid.Peer { return []tackid.Peer{controlPeer} }
	c := NewClient(listener.Addr().(*net.TCPAddr).Port, seeds, clock, log)
	c.heard = clock.Now()
	return c, clock
}

func assertCutOff(t *testing.T, c *Client, want bool) {
	t.Helper()
	if got := c.CutOff(); got != want {
		t.Errorf("cut off: %v, want %v", got, want)
	}
}

// Guards against callers who are drawn to a data centre that is cut off by the one VM
// there that has just started and knows nothing of the cut.
func TestReady(t *testing.T) {
	assertReady := func(t *testing.T, c *Client, want bool) {
		t.Helper()
		if got := c.Ready(); got != want {
			t.Errorf("ready: %v, want %v", got, want)
		}
	}
	ctx := context.Background()
	t.Run("not before anything was reached", func(t *testing.T) {
		c, _ := newWatched(t, &fakeControl{leads: true})
		assertReady(t, c, false)
		c.look(ctx, 0)
		assertReady(t, c, true)
	})
	t.Run("also while none leads", func(t *testing.T) {
		c, _ := newWatched(t, &fakeControl{})
		c.look(ctx, 0)
		assertReady(t, c, true)
	})
	t.Run("not with a minority", func(t *testing.T) {
		c, _ := newWatched(t, &fakeControl{})
		c.known = []tackid.Peer{"127.0.0.2", "127.0.0.3"} // nobody listens there
		c.look(ctx, 0)
		assertReady(t, c, false)
	})
	t.Run("not without control VMs", func(t *testing.T) {
		c, _ := newWatched(t, &fakeControl{})
		c.seeds = func() []tackid.Peer { return nil }
		c.look(ctx, 0)
		assertReady(t, c, false)
	})
	t.Run("no more once it is cut off", func(t *testing.T) {
		control := &fakeControl{}
		c, clock := newWatched(t, control)
		c.look(ctx, 0)
		clock.Advance(2 * cutOffAfter)
		c.look(ctx, c.quiet())
		assertReady(t, c, false)
	})
}

// Symptom: callers of a data centre that was cut off were told after 0.85 s to
// come back, and came back to the same VM, while VMs elsewhere served. Sequence:
// the path from the entry VM to the leader is cut; its readiness stays good.
// Cause: an entry VM did not know that it reaches no leader.
func TestCutOff(t *testing.T) {
	ctx := context.Background()
	look := func(c *Client, clock *tackclock.Clock) {
		clock.Advance(quietAfter)
		c.look(ctx, c.quiet())
	}
	t.Run("a VM that hears a leader is not", func(t *testing.T) {
		c, clock := newWatched(t, &fakeControl{leads: true})
		clock.Advance(10 * cutOffAfter)
		look(c, clock)
		assertCutOff(t, c, false)
	})
	t.Run("an election is waited for", func(t *testing.T) {
		c, clock := newWatched(t, &fakeControl{})
		clock.Advance(cutOffAfter / 2)
		look(c, clock)
		assertCutOff(t, c, false)
	})
	t.Run("a VM without a leader for long is, and refuses without a call", func(t *testing.T) {
		control := &fakeControl{}
		c, clock := newWatched(t, control)
		clock.Advance(2 * cutOffAfter)
		look(c, clock)
		assertCutOff(t, c, true)
		a := c.Do(ctx, &tackwork.Request{Operation: tackwork.Submit})
		if a.Verdict != tackwork.Unavailable || a.RetryAfter == 0 || control.asked != 0 {
			t.Errorf("answer %+v after %d calls, want an immediate refusal with a time to come back", a, control.asked)
		}
	})
	t.Run("the leader's return ends it", func(t *testing.T) {
		control := &fakeControl{}
		c, clock := newWatched(t, control)
		clock.Advance(2 * cutOffAfter)
		look(c, clock)
		control.leads = true
		look(c, clock)
		assertCutOff(t, c, false)
	})
	// Guards against callers who are kept for seconds by a VM that is cut off: no election
	// among the control VMs within its reach brings a leader.
	t.Run("a VM that reaches a minority is cut off soon", func(t *testing.T) {
		c, clock := newWatched(t, &fakeControl{})
		c.known = []tackid.Peer{"127.0.0.2", "127.0.0.3"} // nobody listens there
		look(c, clock)
		assertCutOff(t, c, false)
		look(c, clock)
		assertCutOff(t, c, true)
	})
	t.Run("one that reaches half waits for the election", func(t *testing.T) {
		c, clock := newWatched(t, &fakeControl{})
		c.known = []tackid.Peer{"127.0.0.2"}
		for range 3 {
			look(c, clock)
		}
		assertCutOff(t, c, false)
	})
	// Symptom: a VM that woke from a freeze refused requests though the leader
	// was within reach. Sequence: a look is under way, the VM freezes for
	// seconds, the look fails. Cause: the frozen time counted as silence.
	t.Run("time for which the VM was frozen in a look does not count", func(t *testing.T) {
		c, clock := newWatched(t, &fakeControl{})
		quiet := c.quiet()
		clock.Advance(3 * cutOffAfter)
		c.look(ctx, quiet)
		assertCutOff(t, c, false)
	})
}
