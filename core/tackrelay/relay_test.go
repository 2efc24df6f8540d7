package tackrelay

import (
	"errors"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackroom"
)

const (
	first  tackid.Peer = "10.0.0.1"
	second tackid.Peer = "10.0.0.2"
)

func add(t *testing.T, o *Outbox, sequence uint64, deliver func(Answer)) uint64 {
	t.Helper()
	number, err := o.Add(&tackdispatch.Report{Worker: "i-1", Sequence: sequence}, deliver)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

func assertSent(t *testing.T, got []NumberedReport, want ...uint64) {
	t.Helper()
	sent := make(map[uint64]bool)
	for _, n := range got {
		sent[n.Number] = true
	}
	for _, n := range want {
		if !sent[n] {
			t.Errorf("report %d is not sent", n)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d reports are sent, want %d", len(got), len(want))
	}
}

func TestOutbox(t *testing.T) {
	none := func(Answer) {}
	t.Run("each is sent once", func(t *testing.T) {
		var o Outbox
		a, b := add(t, &o, 1, none), add(t, &o, 2, none)
		assertSent(t, o.Next(0, first), a, b)
		assertSent(t, o.Next(0, first))
	})
	t.Run("pending reports are sent to the next leader", func(t *testing.T) {
		var o Outbox
		a, b := add(t, &o, 1, none), add(t, &o, 2, none)
		o.Next(0, first)
		o.Deliver(0, first, []Answer{{Number: a}})
		assertSent(t, o.Next(0, ""))
		assertSent(t, o.Next(0, second), b)
	})
	t.Run("an answer is delivered once", func(t *testing.T) {
		var o Outbox
		delivered := 0
		a := add(t, &o, 1, func(Answer) { delivered++ })
		o.Next(0, first)
		o.Deliver(0, first, []Answer{{Number: a}, {Number: a}})
		o.Deliver(0, second, []Answer{{Number: a}})
		if delivered != 1 || o.Len() != 0 {
			t.Errorf("delivered %d times, %d pending", delivered, o.Len())
		}
	})
	t.Run("a leader that is not ready is asked again after a delay", func(t *testing.T) {
		var o Outbox
		a := add(t, &o, 1, none)
		o.Next(0, first)
		o.Deliver(0, first, []Answer{{Number: a, NotLeader: true}})
		assertSent(t, o.Next(tackclock.Time(retryAfter)-1, first))
		assertSent(t, o.Next(tackclock.Time(retryAfter), first), a)
	})
	t.Run("a dropped report is not sent", func(t *testing.T) {
		var o Outbox
		o.Drop(add(t, &o, 1, none))
		assertSent(t, o.Next(0, first))
	})
	t.Run("pending reports are bounded", func(t *testing.T) {
		var o Outbox
		for range maxPending {
			add(t, &o, 1, none)
		}
		var full *FullError
		if _, err := o.Add(&tackdispatch.Report{}, none); !errors.As(err, &full) || full.Waiting != maxPending {
			t.Errorf("error %v, want a *FullError", err)
		}
		if got := len(o.Next(0, first)); got != maxBatch {
			t.Errorf("%d in one message, want %d", got, maxBatch)
		}
	})
}

// roster returns a roster of relays 0 to n-1, those with even numbers in rennes, the others
// in brest.
func roster(n int) *Roster {
	r := &Roster{}
	for i := range n {
		r.Heard(0, relayOf(i), []tackid.DataCentre{"rennes", "brest"}[i%2])
	}
	r.Update(1000, 1000, true)
	return r
}

func relayOf(n int) tackid.Peer {
	return tackid.Peer(fmt.Sprintf("10.0.%d.7", n))
}

func TestRoster(t *testing.T) {
	t.Run("a small fleet reports to the leader", func(t *testing.T) {
		r := roster(4)
		for _, test := range []struct {
			workers int
			on      bool
		}{{799, false}, {999, false}, {1000, true}, {800, true}, {799, false}} {
			if r.Update(test.workers, 1000, true); r.Enabled() != test.on {
				t.Errorf("with %d workers: relays enabled %v", test.workers, r.Enabled())
			}
		}
		if got := r.Choose(0, "i-1", "rennes", relayOf(0)); got != "" {
			t.Errorf("sent to %s", got)
		}
	})
	t.Run("a new leader keeps the state of the previous one", func(t *testing.T) {
		r := &Roster{}
		r.Inherit()
		if r.Update(3, 1000, false); !r.Enabled() {
			t.Error("relays are disabled before the workers are known")
		}
		if r.Update(3, 1000, true); r.Enabled() {
			t.Error("relays are enabled for three workers")
		}
	})
	t.Run("a relay in the worker's data centre is preferred", func(t *testing.T) {
		r := roster(4)
		if got := r.Choose(0, "i-1", "brest", relayOf(0)); got != relayOf(1) && got != relayOf(3) {
			t.Errorf("sent to %s", got)
		}
		if got := r.Choose(0, "i-1", "rennes", relayOf(2)); got != relayOf(2) {
			t.Errorf("sent to %s from a relay in the same data centre", got)
		}
		if got := r.Choose(0, "i-1", "quimper", ""); got == "" {
			t.Error("sent to the leader although there are relays elsewhere")
		}
	})
	t.Run("a silent relay is not chosen", func(t *testing.T) {
		r := roster(4)
		later := tackclock.Time(0).Add(liveTimeout + 1)
		if got := r.Choose(later, "i-1", "rennes", ""); got != "" {
			t.Errorf("sent to %s, want to the leader", got)
		}
		r.Heard(later, relayOf(2), "rennes")
		if got := r.Choose(later, "i-1", "rennes", relayOf(0)); got != relayOf(2) {
			t.Errorf("sent to %s", got)
		}
	})
}

// Guards against relays of which one has most of the workers, and against the loss of a
// relay moving workers of other relays.
func TestWorkersAreSpreadBound(t *testing.T) {
	const workers, relays = 6000, 24
	choose := func(r *Roster) map[string]tackid.Peer {
		chosen := make(map[string]tackid.Peer)
		for n := range workers {
			w := fmt.Sprintf("i-%06x", n)
			chosen[w] = r.Choose(0, w, "none", "")
		}
		return chosen
	}
	all := choose(roster(relays))
	load := make(map[tackid.Peer]int)
	for _, p := range all {
		load[p]++
	}
	for p, n := range load {
		if n > 2*workers/relays {
			t.Errorf("%s has %d of %d workers", p, n, workers)
		}
	}
	lost := relayOf(relays - 1)
	moved := 0
	for w, p := range choose(roster(relays - 1)) {
		if all[w] != lost && all[w] != p {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d workers of other relays move when one is lost", moved)
	}
}

// Guards against reports and orders that lose a field when they are encoded.
func TestMessagesKeepAll(t *testing.T) {
	report := tackdispatch.Report{
		Worker: "i-1@5", VM: "m-1", Fixed: true, Service: "names-api", Zone: "rennes", Labels: []string{"a", "r-1"},
		Capacity: tackroom.Resources{MilliCores: 16_000, MemoryMB: 32_768, GPUs: 1}, Sequence: 7, Draining: true, Remaining: 9,
		Running: []tackdispatch.Running{{Run: 3, Checkpoint: "c", Percent: 40, Tail: 500}},
		Ended:   []tackdispatch.Ended{{Number: 2, Run: 1, Kind: tackdispatch.EndFailed, Checkpoint: "d"}},
	}
	orders := tackdispatch.Orders{
		Hold: 3500, Noted: 2, Fence: 4, Retry: 150, Start: []tackdispatch.Start{{Run: 5, Text: "t", Checkpoint: "c", Ticket: "x"}},
		Stop: []tackdispatch.Stop{{Run: 3}}, Pace: []tackdispatch.Pace{{Run: 3, Percent: 50}},
	}
	sent := Answers{On: true, List: []Answer{{Number: 1, Orders: orders, NextPeer: second, Problem: "p", NotLeader: true}}}
	assertSame(t, &Reports{DataCentre: "rennes", List: []NumberedReport{{Number: 1, Report: report}}}, new(Reports))
	assertSame(t, &sent, new(Answers))
}

func assertSame(t *testing.T, sent, into any) {
	t.Helper()
	data, err := cbor.Marshal(sent)
	if err == nil {
		err = cbor.Unmarshal(data, into)
	}
	if err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprintf("%+v", into), fmt.Sprintf("%+v", sent); got != want {
		t.Errorf("read as %s, want %s", got, want)
	}
}

// TestRandomRelays loses, delays and duplicates messages in both directions and changes the
// leader. Each report must be answered at most once, never with the answer to another, and
// lost messages must leave nothing pending.
func TestRandomRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Outbox
		var now tackclock.Time
		leader := first
		delivered := make(map[uint64]int)
		var sent []NumberedReport
		var open []uint64
		for range rapid.IntRange(1, 60).Draw(t, "acts") {
			now = now.Add(tackclock.Duration(rapid.IntRange(0, 100).Draw(t, "wait")))
			switch rapid.SampledFrom([]string{"report", "report", "send", "answer", "answer", "refuse", "leader", "none", "drop"}).Draw(t, "act") {
			case "report":
				var number uint64
				number, err := o.Add(&tackdispatch.Report{}, func(a Answer) {
					if a.Number != number {
						t.Fatalf("the answer to report %d has number %d", number, a.Number)
					}
					delivered[number]++
				})
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, number)
			case "send":
				sent = append(sent, o.Next(now, leader)...)
			case "answer", "refuse":
				if len(sent) > 0 {
					n := rapid.SampledFrom(sent).Draw(t, "answered")
					refuse := rapid.Bool().Draw(t, "refused")
					o.Deliver(now, rapid.SampledFrom([]tackid.Peer{first, second}).Draw(t, "from"), []Answer{{Number: n.Number, NotLeader: refuse}})
				}
			case "leader":
				leader = rapid.SampledFrom([]tackid.Peer{first, second}).Draw(t, "leader")
			case "none":
				leader = ""
			case "drop":
				if len(open) > 0 {
					o.Drop(rapid.SampledFrom(open).Draw(t, "dropped"))
				}
			}
		}
		for number, n := range delivered {
			if n > 1 {
				t.Fatalf("report %d is answered %d times", number, n)
			}
		}
		// Pending reports reach a leader that answers.
		now = now.Add(retryAfter)
		for _, n := range append(o.Next(now, "10.0.0.9"), o.Next(now, "10.0.0.9")...) {
			o.Deliver(now, "10.0.0.9", []Answer{{Number: n.Number}})
		}
		if o.Len() != 0 {
			t.Fatalf("%d reports are never answered", o.Len())
		}
	})
}
