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

// fakeControl is a control VM that is the leader or not.
type fakeControl struct {
	leads  bool
	asked  int
	leader tackid.Peer
}

func (f *fakeControl) Do(context.Context, *tackwork.Request) tackwork.Answer {
	f.asked++
	return f.LeaderStatus()
}

func (f *fakeControl) LeaderStatus() tackwork.Answer {
	if f.leads {
		return tackwork.Answer{}
	}
	return tackwork.Answer{Verdict: tackwork.Unavailable, NotLeader: true, Leader: f.leader}
}

func (f *fakeControl) Join(tackid.Peer, tackid.DataCentre) {}
func (f *fakeControl) Peers() []tackid.Peer                { return nil }
func (f *fakeControl) Leader() tackid.Peer                 { return f.leader }

const controlPeer = "127.0.0.1"

// newWatchedClient returns a client of one control VM and the clock that it uses.
func newWatchedClient(t *testing.T, control *fakeControl) (*Client, *tackclock.Clock) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", net.JoinHostPort(controlPeer, "0"))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: NewHandler(control, nil, log)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	clock := new(tackclock.Clock)
	clock.Set(1)
	seeds := func() []tackid.Peer { return []tackid.Peer{controlPeer} }
	c := NewClient(listener.Addr().(*net.TCPAddr).Port, seeds, clock, log)
	c.lastHeard = clock.Now()
	return c, clock
}

func assertCutOff(t *testing.T, c *Client, want bool) {
	t.Helper()
	if got := c.CutOff(); got != want {
		t.Errorf("cut off: %v, want %v", got, want)
	}
}

// Guards against a VM that has just started in a partitioned data centre and attracts its
// callers there, because it does not know of the partition yet.
func TestReady(t *testing.T) {
	assertReady := func(t *testing.T, c *Client, want bool) {
		t.Helper()
		if got := c.Ready(); got != want {
			t.Errorf("ready: %v, want %v", got, want)
		}
	}
	ctx := context.Background()
	t.Run("not before a control VM was reached", func(t *testing.T) {
		c, _ := newWatchedClient(t, &fakeControl{leads: true})
		assertReady(t, c, false)
		c.probe(ctx, 0)
		assertReady(t, c, true)
	})
	t.Run("also while there is no leader", func(t *testing.T) {
		c, _ := newWatchedClient(t, &fakeControl{})
		c.probe(ctx, 0)
		assertReady(t, c, true)
	})
	t.Run("not with a minority", func(t *testing.T) {
		c, _ := newWatchedClient(t, &fakeControl{})
		c.known = []tackid.Peer{"127.0.0.2", "127.0.0.3"} // nothing listens there
		c.probe(ctx, 0)
		assertReady(t, c, false)
	})
	t.Run("not without control VMs", func(t *testing.T) {
		c, _ := newWatchedClient(t, &fakeControl{})
		c.seeds = func() []tackid.Peer { return nil }
		c.probe(ctx, 0)
		assertReady(t, c, false)
	})
	t.Run("no longer once it is cut off", func(t *testing.T) {
		control := &fakeControl{}
		c, clock := newWatchedClient(t, control)
		c.probe(ctx, 0)
		clock.Advance(2 * cutOffAfter)
		c.probe(ctx, c.sinceHeard())
		assertReady(t, c, false)
	})
}

// Guards against callers in a partitioned data centre that were told after 0.85 s to retry,
// and reached the same VM again, while VMs elsewhere could serve them. The path from the
// entry VM to the leader was cut. The fault was that an entry VM did not notice that it
// reached no leader, and remained ready.
func TestCutOff(t *testing.T) {
	ctx := context.Background()
	probe := func(c *Client, clock *tackclock.Clock) {
		clock.Advance(probeAfter)
		c.probe(ctx, c.sinceHeard())
	}
	t.Run("a VM that reaches a leader is not cut off", func(t *testing.T) {
		c, clock := newWatchedClient(t, &fakeControl{leads: true})
		clock.Advance(10 * cutOffAfter)
		probe(c, clock)
		assertCutOff(t, c, false)
	})
	t.Run("a VM waits for the end of an election", func(t *testing.T) {
		c, clock := newWatchedClient(t, &fakeControl{})
		clock.Advance(cutOffAfter / 2)
		probe(c, clock)
		assertCutOff(t, c, false)
	})
	t.Run("a VM without a leader for long is cut off and refuses without a call", func(t *testing.T) {
		control := &fakeControl{}
		c, clock := newWatchedClient(t, control)
		clock.Advance(2 * cutOffAfter)
		probe(c, clock)
		assertCutOff(t, c, true)
		a := c.Do(ctx, &tackwork.Request{Operation: tackwork.Submit})
		if a.Verdict != tackwork.Unavailable || a.RetryAfter == 0 || control.asked != 0 {
			t.Errorf("answer %+v after %d calls, want an immediate refusal with a retry delay", a, control.asked)
		}
	})
	t.Run("the return of the leader ends it", func(t *testing.T) {
		control := &fakeControl{}
		c, clock := newWatchedClient(t, control)
		clock.Advance(2 * cutOffAfter)
		probe(c, clock)
		control.leads = true
		probe(c, clock)
		assertCutOff(t, c, false)
	})
	// Guards against a partitioned VM that keeps callers waiting for seconds: the control VMs
	// that it reaches cannot elect a leader.
	t.Run("a VM that reaches a minority is cut off soon", func(t *testing.T) {
		c, clock := newWatchedClient(t, &fakeControl{})
		c.known = []tackid.Peer{"127.0.0.2", "127.0.0.3"} // nothing listens there
		probe(c, clock)
		assertCutOff(t, c, false)
		probe(c, clock)
		assertCutOff(t, c, true)
	})
	t.Run("a VM that reaches half waits for the election", func(t *testing.T) {
		c, clock := newWatchedClient(t, &fakeControl{})
		c.known = []tackid.Peer{"127.0.0.2"}
		for range 3 {
			probe(c, clock)
		}
		assertCutOff(t, c, false)
	})
	// Guards against a VM that refuses requests after its process was paused although the
	// leader is reachable. The process is paused for seconds during a probe, and the probe
	// fails. The fault was that the time of the pause counted as silence.
	t.Run("time for which the process was paused during a probe does not count", func(t *testing.T) {
		c, clock := newWatchedClient(t, &fakeControl{})
		silence := c.sinceHeard()
		clock.Advance(3 * cutOffAfter)
		c.probe(ctx, silence)
		assertCutOff(t, c, false)
	})
}
