package tackfleet

import (
	"testing"

	"auburntack/core/tackid"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a budget that is checked only when a command is given, and
// not again when it is applied: two operators look at three serving VMs and a
// budget of two, and both drain one.
func TestRacingOperators(t *testing.T) {
	for _, second := range []string{"drain vm w-2", "move vm w-2 to pool b", "remove vm w-2"} {
		t.Run(second, func(t *testing.T) {
			f := newFleet(t)
			f.pool("a", "w", 3)
			f.must("create pool b", "create service api on pool a", "set budget api min_available 2")
			if refused := f.CheckTake([]tackid.VM{"w-2"}); refused != nil {
				t.Fatal(refused)
			}
			assertAccepted(t, f.do("drain vm w-1"))
			assertRefused(t, f.do(second), CodeBudget)
			assertState(t, &f.State, "w-2", "a", VMInService)
		})
	}
}

// Guards against a conditional command that is applied although what it names
// was changed after the expected revision: two operators look at the same
// revision, expect it, and add one VM each to the same pool.
func TestRacingConditionalCommands(t *testing.T) {
	f := newFleet(t)
	f.pool("a", "w", 2)
	seen := f.revision
	one := Change{Expect: seen, Command: f.parse("add vm w-8 to pool a")}
	two := Change{Expect: seen, Command: f.parse("add vm w-9 to pool a")}
	assertAccepted(t, f.apply(one))
	r := f.apply(two)
	assertRefused(t, r, CodeStale)
	other := Change{Expect: seen, Command: f.parse("drain vm w-1")}
	f.observe(HealthLost, "w-1")
	Convey("The refusal names the revision; observations and changes of other VMs don't cause one", t, func() {
		So(r.Refused.At, ShouldEqual, seen+1)
		So(f.apply(other).Refused, ShouldBeNil)
	})
}

// Guards against counting a settling VM like a proven one. A VM is often lost
// again soon after maintenance: if the next VM is stopped while the first one
// settles, and the first one fails, the service falls below its budget.
func TestSettlingIsNotReliedOn(t *testing.T) {
	f := newFleet(t)
	f.pool("a", "w", 3)
	f.must("create service api on pool a", "set budget api min_available 2", "create wave m over pool a action reboot", "start wave m")
	assertAccepted(t, f.step("m", "w-1"))
	for _, phase := range []Phase{PhaseOperating, PhaseReturning, PhaseSettling} {
		assertAccepted(t, f.phase("m", "w-1", phase))
	}
	if n := f.Count("a").Available; n != 3 {
		t.Fatalf("%d available, want the settling VM to count", n)
	}
	assertRefused(t, f.step("m", "w-2"), CodeBudget)
	assertRefused(t, f.do("drain vm w-3"), CodeBudget)
	assertAccepted(t, f.phase("m", "w-1", PhaseDone))
	assertAccepted(t, f.step("m", "w-2"))
}

// Guards against counting VMs with unknown health as available, and against
// checking only the first service of a pool, when an operator drains a serving
// VM.
func TestDownVMsDoNotCount(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(f *fleet)
		code    Code
	}{
		{"all serve", func(f *fleet) {}, ""},
		{"one unknown", func(f *fleet) { f.observe(HealthUnknown, "w-4") }, CodeBudget},
		{"one lost", func(f *fleet) { f.observe(HealthLost, "w-4") }, CodeBudget},
		{"one drained", func(f *fleet) { f.must("drain vm w-4") }, CodeBudget},
		{"one moving", func(f *fleet) { f.must("move vm w-4 to pool b") }, CodeBudget},
		{"a budget above the number of VMs", func(f *fleet) { f.must("set budget api min_available 9") }, CodeBudget},
		{"a second service with a higher budget", func(f *fleet) { f.must("create service zeta on pool a", "set budget zeta min_available 76%") }, CodeBudget},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			f.pool("a", "w", 4)
			f.must("create pool b", "create service api on pool a", "set budget api min_available 3")
			test.prepare(f)
			r := f.do("drain vm w-1")
			if test.code == "" {
				assertAccepted(t, r)
				return
			}
			assertRefused(t, r, test.code)
		})
	}
	t.Run("a lost VM may always be removed, an unknown one only with room", func(t *testing.T) {
		f := newFleet(t)
		f.pool("a", "w", 2)
		f.must("create service api on pool a", "set budget api min_available 2")
		f.observe(HealthUnknown, "w-1")
		assertRefused(t, f.do("remove vm w-1"), CodeBudget)
		f.observe(HealthLost, "w-1")
		assertAccepted(t, f.do("remove vm w-1"))
	})
}

// Guards against a VM that gets requests of two pools' services: it is moved,
// or removed and added to another pool at once, and becomes routable in the
// new pool while a peer still routes by an older state.
func TestMoveIsFenced(t *testing.T) {
	tests := []struct{ name, leave, enter string }{
		{"move", "move vm w-1 to pool b", ""},
		{"remove and add", "remove vm w-1", "add vm w-1 to pool b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			f.pool("a", "w", 2)
			f.must("create pool b", test.leave)
			if test.enter != "" {
				f.restart()
				f.must(test.enter)
			}
			v, _ := f.VM("w-1")
			if v.Routable() || v.MovingTo != "b" || v.Fence != f.revision {
				t.Fatalf("got %+v, want it fenced at revision %d", v, f.revision)
			}
			assertRefused(t, f.do("delete pool b"), CodeInUse)
			assertAccepted(t, f.apply(Change{Joined: []tackid.VM{"w-1"}}))
			assertState(t, &f.State, "w-1", "b", VMInService)
			assertRefused(t, f.apply(Change{Joined: []tackid.VM{"w-1"}}), CodeState)
		})
	}
}

// TestRefusals checks the codes with which invalid commands are refused.
func TestRefusals(t *testing.T) {
	tests := []struct {
		text string
		code Code
	}{
		{"create pool a", CodeExists},
		{"delete pool none", CodeMissing},
		{"delete pool a", CodeInUse},
		{"create service api on pool b", CodeExists},
		{"create service new on pool none", CodeMissing},
		{"set budget none min_available 1", CodeMissing},
		{"set budget api min_available 101%", CodeInvalid},
		{"add vm w-1 to pool b", CodeExists},
		{"add vm new to pool none", CodeMissing},
		{"move vm w-1 to pool a", CodeState},
		{"move vm none to pool a", CodeMissing},
		{"drain vm w-2", CodeState},
		{"undrain vm w-1", CodeState},
		{"drain vm w-3", CodeInUse},
		{"remove vm w-3", CodeInUse},
		{"create wave m over pool a action reboot", CodeExists},
		{"start wave m", CodeState},
		{"resume wave m", CodeState},
		{"pause wave none", CodeMissing},
		{"create task t for x on pool a cores 0 memory_mb 1", CodeInvalid},
		{"cancel task none", CodeMissing},
		{"add peer p address 10.0.0.1:1 data_centre d", CodeInvalid},
	}
	f := newFleet(t)
	f.pool("a", "w", 3)
	f.must("create pool b", "create service api on pool a", "drain vm w-2",
		"create wave m over pool a action reboot max_parallel 1", "start wave m")
	assertAccepted(t, f.step("m", "w-3"))
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			assertRefused(t, f.do(test.text), test.code)
		})
	}
	t.Run("max_parallel", func(t *testing.T) { assertRefused(t, f.step("m", "w-1"), CodeInvalid) })
	if n := len(f.History(Filter{VM: "w-2"})); n != 3 {
		t.Fatalf("%d events of w-2, want those of add, health and drain", n)
	}
}
