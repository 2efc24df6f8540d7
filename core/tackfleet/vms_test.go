package tackfleet

import (
	"testing"

	"auburntack/core/tackid"

	. "github.com/smartystreets/goconvey/convey"
)

// Symptom: a service has fewer VMs than its budget asks for, although each
// operator saw room for one.
// Sequence: two operators look at three serving VMs and a budget of two; both
// drain one, and the commands are applied one after the other.
// Cause: the budget was checked when the commands were given, and not against
// the state in which they are applied.
func TestRacingOperators(t *testing.T) {
	for _, second := range []string{"drain vm w-2", "move vm w-2 to pool b", "remove vm w-2"} {
		t.Run(second, func(t *testing.T) {
			f := newFleet(t)
			f.pool("a", "w", 3)
			f.must("create pool b", "create service api on pool a", "set budget api min_available 2")
			if refused := f.CanTake([]tackid.VM{"w-2"}); refused != nil {
				t.Fatal(refused)
			}
			assertAccepted(t, f.do("drain vm w-1"))
			assertRefused(t, f.do(second), CodeBudget)
			assertState(t, &f.State, "w-2", "a", VMInService)
		})
	}
}

// Symptom: a pool got two VMs more, although both operators wanted one more
// than the ten they saw.
// Sequence: both look at revision R, add one VM each, and give R as what they
// expect.
// Cause: a conditional command was not compared with the revision at which
// what it names was changed last.
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
	Convey("The refusal names the revision, and what was not named or only observed refuses nothing", t, func() {
		So(r.Refused.At, ShouldEqual, seen+1)
		So(f.apply(other).Refused, ShouldBeNil)
	})
}

// Symptom: a service loses its last proven VM right after a reboot, as the
// second loss often follows.
// Sequence: one of three VMs comes back from maintenance, serves and settles;
// the next one is stopped on the strength of it, and the first one fails.
// Cause: a settling VM was counted like one that has proved itself.
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

// Symptom: a service stops answering while its budget is said to hold.
// Sequence: VMs were added or fell silent, or the budget is above what there
// is; an operator drains one that serves.
// Cause: VMs of which nothing is known were counted as available, or only the
// first service of the pool was asked.
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
		{"a budget above what there is", func(f *fleet) { f.must("set budget api min_available 9") }, CodeBudget},
		{"a second service asks for more", func(f *fleet) { f.must("create service zeta on pool a", "set budget zeta min_available 76%") }, CodeBudget},
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

// Symptom: requests of two pools' services reach one VM.
// Sequence: a VM is moved, or removed and added to another pool at once,
// while a peer still routes by the older state.
// Cause: the VM became routable in the new pool before every peer had left
// the old one.
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

// TestRefusals goes through the refusals of the commands about pools and VMs.
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
