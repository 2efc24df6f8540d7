package tackreplica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	historySeeds = 100
	historySteps = 60

	clientTimeout = 2 * second
)

type (
	// registerInput is a write of value, or a read if value is empty.
	registerInput struct{ value string }

	// pendingWrite is a proposed write that has not been applied anywhere yet.
	pendingWrite struct {
		op    porcupine.Operation
		at    tackclock.Time
		index tackid.Revision
		term  Term
	}

	// history records the operations of concurrent clients. Its clock counts calls and
	// returns, which the simulation runs one after the other.
	history struct {
		*cluster
		clock   int64
		pending []*pendingWrite
		done    []porcupine.Operation
	}
)

// register is the model of a single register.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(registerInput); in.value != "" {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
}

// Guards against stale reads: several clients write and read while VMs are killed, frozen,
// cut off or given leadership. A leader must not serve reads before it has applied what
// earlier leaders committed, or after its lease. Fails if LeaderLease does not compare
// applied with termStart.
func TestHistoryIsLinearizable(t *testing.T) {
	convey.Convey("Writes and lease-confirmed reads are linearizable", t, func() {
		reads := 0
		for seed := range uint64(historySeeds) {
			h := &history{cluster: newCluster(t, seed, "a", "b", "c")}
			h.play()
			for _, op := range h.done {
				if op.Output != nil {
					reads++
				}
			}
			result := porcupine.CheckOperationsTimeout(register, h.done, 10*time.Second)
			convey.So(result, convey.ShouldEqual, porcupine.Ok)
		}
		convey.So(reads, convey.ShouldBeGreaterThan, 20*historySeeds)
	})
}

func (h *history) play() {
	for _, v := range h.vms {
		v.onApply = h.onApply
	}
	h.run(2500)
	for range historySteps {
		h.fault()
		for client := range 4 {
			h.write(client)
			h.run(tackclock.Duration(h.rand.IntN(8)))
			h.read(client)
		}
		h.run(tackclock.Duration(h.rand.IntN(300)))
	}
}

func (h *history) fault() {
	v := h.vms[h.rand.IntN(len(h.vms))]
	switch h.rand.IntN(12) {
	case 0:
		v.kill()
	case 1, 2:
		if v.node == nil {
			v.start()
		}
	case 3:
		h.cutOff(v, true)
	case 4, 5:
		clear(h.cut)
	case 6:
		if v.awake() {
			v.freeze(1200)
		}
	case 7:
		if v.awake() {
			v.node.Transfer(v.now(), "")
			v.work()
		}
	case 8:
		h.cutLink(v.peer, h.vms[h.rand.IntN(len(h.vms))].peer, true)
	case 9:
		h.loss = h.rand.IntN(150)
	}
}

func (h *history) tick() int64 {
	h.clock++
	return h.clock
}

// waits reports whether the client still waits for a write. It gives up after
// clientTimeout, without knowing the outcome.
func (h *history) waits(client int) bool {
	return slices.ContainsFunc(h.pending, func(w *pendingWrite) bool {
		return w.op.ClientId == client && h.now.Sub(w.at) < clientTimeout
	})
}

func (h *history) write(client int) {
	for _, v := range h.vms {
		if !v.awake() || v.node.role != Leader || h.waits(client) {
			continue
		}
		call := h.tick()
		value := fmt.Sprint(call)
		i, term, err := v.node.Propose(v.now(), []byte(value))
		if err != nil {
			continue
		}
		op := porcupine.Operation{ClientId: client, Input: registerInput{value}, Call: call}
		h.pending = append(h.pending, &pendingWrite{op: op, at: h.now, index: i, term: term})
		v.work()
	}
}

func (h *history) read(client int) {
	for _, v := range h.vms {
		if v.awake() && v.node.LeaderLease(v.now()) {
			op := porcupine.Operation{ClientId: client, Input: registerInput{}, Call: h.tick(), Output: string(v.value)}
			op.Return = h.tick()
			h.done = append(h.done, op)
		}
	}
}

// onApply completes the writes proposed at the entry's index when any VM first applies it,
// which is the earliest that a client could learn the outcome: the write with the entry's
// term took effect, the others never will.
func (h *history) onApply(_ *fakeVM, e Entry) {
	var left []*pendingWrite
	for _, w := range h.pending {
		switch {
		case w.index != e.Index:
			left = append(left, w)
		case w.term == e.Term:
			w.op.Return = h.tick()
			h.done = append(h.done, w.op)
		}
	}
	h.pending = left
}
