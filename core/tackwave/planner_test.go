package tackwave

import (
	"strings"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackcommand"
	"auburntack/core/tackfleet"
	"auburntack/core/tackid"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const longest = 48 * tackclock.Hour

func percent(n int) tackfleet.Budget {
	return tackfleet.Budget{MinAvailable: n, Percent: true}
}

func assertSound(t interface{ Fatalf(string, ...any) }, w *world) {
	if w.breaches > 0 || len(w.wrong) > 0 {
		t.Fatalf("%d breaches of our own, wrong: %v", w.breaches, w.wrong)
	}
}

// assertNoneLeft fails if a wave left a VM out of service.
func assertNoneLeft(t interface{ Fatalf(string, ...any) }, w *world) {
	if w.moving() {
		t.Fatalf("still moving: %+v", w.f.Waves())
	}
	for vm := range w.f.EachVM() {
		if vm.Wave != "" || vm.State != tackfleet.VMInService && vm.State != tackfleet.VMFailed {
			t.Fatalf("left behind: %+v", *vm)
		}
	}
}

func assertWave(t *testing.T, w *world, id tackid.Wave, status tackfleet.WaveStatus, reason string) {
	t.Helper()
	wave, _ := w.f.Wave(id)
	if wave.Status != status || !strings.Contains(wave.Reason, reason) {
		t.Fatalf("wave is %v because %q, want %v because %q", wave.Status, wave.Reason, status, reason)
	}
}

func TestWaveEndsWithEveryVMMaintained(t *testing.T) {
	convey.Convey("Given a pool over three data centres and a wave", t, func() {
		w := newWorld(1)
		w.addPool("p", 12, 3, percent(75), true)
		w.startWave("n", "p", tackfleet.ActionReboot, 0)
		convey.Convey("it finishes, and each VM was operated once", func() {
			w.run(longest)
			assertSound(t, w)
			assertNoneLeft(t, w)
			assertWave(t, w, "n", tackfleet.WaveFinished, "")
			for _, m := range w.machines {
				convey.So(m.runs["n"], convey.ShouldEqual, 1)
			}
		})
		convey.Convey("without a platform maintenance is recorded only", func() {
			w.record = true
			w.run(longest)
			assertWave(t, w, "n", tackfleet.WaveFinished, "")
			convey.So(w.machines["p-000"].op, convey.ShouldBeEmpty)
		})
	})
}

// Symptom: an upgrade that breaks every VM it touches takes the pool down.
// Sequence: the first VMs do not come back, and the wave goes on to the next.
// Cause: without the canary and the bound on losses nothing ties the losses
// to the wave.
func TestWaveStopsWhenTheUpgradeBreaks(t *testing.T) {
	w := newWorld(2)
	w.breaks = 1
	w.addPool("p", 40, 4, percent(50), true)
	w.startWave("n", "p", tackfleet.ActionUpgrade, 0)
	w.run(longest)
	assertSound(t, w)
	assertNoneLeft(t, w)
	assertWave(t, w, "n", tackfleet.WaveStopped, "broke among the first VMs")
	if w.drains != 1 {
		t.Fatalf("%d VMs were broken, want the canary only", w.drains)
	}
	w.breaks = 0
	w.lose(w.machines["p-000"], 0, 0)
	for _, id := range w.ids {
		w.machines[id].to = 0
		w.do(tackcommand.Command{UndrainVM: &tackcommand.UndrainVM{VM: id}})
	}
	w.change("n", tackcommand.WaveResume)
	w.run(longest)
	assertWave(t, w, "n", tackfleet.WaveFinished, "")
}

// Symptom: a wave is stopped, and blamed, when a rack fails under it.
// Sequence: a rack is lost while some of its VMs are being rebooted.
// Cause: losses are counted without looking at VMs the wave never touched.
func TestLostRackDoesNotStopTheWave(t *testing.T) {
	w := newWorld(3)
	w.cfg.Prefer = PreferTime
	w.addPool("p", 40, 1, percent(60), true)
	w.startWave("n", "p", tackfleet.ActionReboot, 0)
	for range 60 {
		w.tick()
	}
	w.loseWhere(90*tackclock.Minute, func(m *machine) bool { return m.rack == "p-r1" })
	w.run(longest)
	assertSound(t, w)
	assertNoneLeft(t, w)
	assertWave(t, w, "n", tackfleet.WaveFinished, "")
}

// Symptom: the night is over and VMs are still being stopped.
// Sequence: the wave is longer than the night.
// Cause: VMs are taken without asking whether they will be back in time.
func TestWaveStopsCleanlyWhenTheNightEnds(t *testing.T) {
	w := newWorld(4)
	w.addPool("p", 12, 3, tackfleet.Budget{MinAvailable: 11}, true)
	w.cfg = Settings{Prefer: PreferTime, NightEnds: w.now.Add(30 * tackclock.Minute)}
	plan := w.planner.Cost(w, "p", tackfleet.ActionReboot, 0, w.cfg)
	if !strings.Contains(plan.Problem, "the night ends") {
		t.Fatalf("the plan does not say so before the start: %+v", plan)
	}
	w.startWave("n", "p", tackfleet.ActionReboot, 0)
	if took := w.run(longest); took > 30*tackclock.Minute {
		t.Fatalf("the last VM came back after %v", took)
	}
	assertSound(t, w)
	assertNoneLeft(t, w)
	assertWave(t, w, "n", tackfleet.WaveStopped, "the night ends")
}

// Symptom: budgets break, VMs stay drained, are rebooted twice or with work
// in flight.
// Sequence: any mix of lost VMs, second losses, operations that break or
// fail, lost answers, leaders that change between two changes, and operators
// who pause, resume, cancel, drain and move.
// Cause: a decision that rests on memory instead of the replicated state, or
// a budget checked by the proposer only.
func TestNothingIsLeftBehindOrBroken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		chance := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, name) }
		w.faults = faults{
			loss: chance("loss", 0.001), second: chance("second", 0.3), breaks: chance("breaks", 0.1),
			refused: chance("refused", 0.1), mute: chance("mute", 0.5), restart: chance("restart", 0.5),
			busy: chance("busy", 0.2),
		}
		w.cfg.Prefer = Prefer(rapid.IntRange(0, 1).Draw(t, "prefer"))
		dcs := rapid.IntRange(1, 4).Draw(t, "dcs")
		for _, pool := range []string{"a", "b"} {
			n := rapid.IntRange(1, 20).Draw(t, "vms")
			w.addPool(pool, n, dcs, percent(rapid.IntRange(0, 100).Draw(t, "budget")), true)
			w.startWave("w"+pool, pool, tackfleet.ActionUpgrade, rapid.IntRange(0, 3).Draw(t, "parallel"))
		}
		w.startWave("second", "a", tackfleet.ActionReboot, 0)
		for range rapid.IntRange(0, 12).Draw(t, "commands") {
			for range rapid.IntRange(1, 80).Draw(t, "ticks") {
				w.tick()
			}
			w.do(command(t, w))
		}
		w.settleDown()
		assertSound(t, w)
		assertNoneLeft(t, w)
	})
}

// command draws what an operator does next.
func command(t *rapid.T, w *world) tackcommand.Command {
	wave := tackid.Wave(rapid.SampledFrom([]string{"wa", "wb", "second"}).Draw(t, "wave"))
	vm := rapid.SampledFrom(w.ids).Draw(t, "vm")
	changes := []tackcommand.WaveChange{tackcommand.WavePause, tackcommand.WaveResume, tackcommand.WaveCancel}
	return rapid.SampledFrom([]tackcommand.Command{
		{ChangeWave: &tackcommand.ChangeWave{Wave: wave, Change: rapid.SampledFrom(changes).Draw(t, "change")}},
		{DrainVM: &tackcommand.DrainVM{VM: vm}},
		{UndrainVM: &tackcommand.UndrainVM{VM: vm}},
		{MoveVM: &tackcommand.MoveVM{VM: vm, Pool: "b"}},
	}).Draw(t, "command")
}

// settleDown lets the faults end, undoes the operators' drains and cancels
// the waves: what is out must come back by itself.
func (w *world) settleDown() {
	w.faults = faults{restart: w.restart}
	for _, wave := range []string{"wa", "wb", "second"} {
		w.change(wave, tackcommand.WaveCancel)
	}
	for range 400 {
		w.tick()
	}
	for vm := range w.f.EachVM() {
		if vm.State == tackfleet.VMDrained && vm.Wave == "" {
			w.do(tackcommand.Command{UndrainVM: &tackcommand.UndrainVM{VM: vm.ID}})
		}
	}
}
