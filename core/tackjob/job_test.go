package tackjob

import (
	"errors"
	"github.com/fxamacker/cbor/v2"
	"strings"
	"testing"
)

func validSpec() *Spec {
	return &Spec{ID: "00000000000000aa", Steps: []Step{{Count: 2, Estimate: 100}, {Count: 1, Estimate: 50, After: []int{0}}}}
}

func TestValidate(t *testing.T) {
	if err := validSpec().Validate(); err != nil {
		t.Fatalf("valid job: %v", err)
	}
	for name, test := range map[string]struct {
		field   string
		corrupt func(*Spec)
	}{
		"id":                      {"id", func(s *Spec) { s.ID = "xyz" }},
		"text of 4,001 bytes":     {"spec", func(s *Spec) { s.Text = strings.Repeat("x", MaxSpecBytes+1) }},
		"no steps":                {"steps", func(s *Spec) { s.Steps = nil }},
		"no items":                {"steps[0].count", func(s *Spec) { s.Steps[0].Count = 0 }},
		"huge count":              {"steps[0].count", func(s *Spec) { s.Steps[0].Count = 1 << 40 }},
		"huge in total":           {"steps", func(s *Spec) { s.Steps[0].Count, s.Repeats = maxItems, 2 }},
		"depends on itself":       {"steps[1].after", func(s *Spec) { s.Steps[1].After = []int{1} }},
		"depends on a later step": {"steps[0].after", func(s *Spec) { s.Steps[0].After = []int{1} }},
		"negative amount":         {"steps[0]", func(s *Spec) { s.Steps[0].MilliCores = -1 }},
		"negative repeats":        {"repeats", func(s *Spec) { s.Repeats = -1 }},
	} {
		t.Run(name, func(t *testing.T) {
			s := validSpec()
			test.corrupt(s)
			var invalid *InvalidError
			if err := s.Validate(); !errors.As(err, &invalid) || invalid.Field != test.field {
				t.Errorf("error %v, want one for field %s", err, test.field)
			}
		})
	}
}

func TestCriticalPathIsLongestPath(t *testing.T) {
	s := validSpec()
	s.Steps = append(s.Steps, Step{Count: 1, Estimate: 400})
	if got := s.CriticalPath(); got != 400 {
		t.Errorf("chain %v, want 400", got)
	}
	s.Steps[2].After = []int{1}
	if got := s.CriticalPath(); got != 550 {
		t.Errorf("chain %v, want 550", got)
	}
}

func TestGangEndsAsUnit(t *testing.T) {
	j := &Job{Spec: *validSpec(), Attempts: 2}
	j.Steps[0].Gang = true
	if !j.RecordEnd(End{Item: Item{Job: j.ID, Index: 1}, Gang: true, Run: 1}, 5) || !j.StepDone(0, 0) {
		t.Error("the end of the gang did not complete the step")
	}
	if !j.Ready(0, 1) {
		t.Error("the next step is not ready")
	}
}

// After an upgrade, failures that are counted in a snapshot of the previous release must
// still count. They were lost when the fields of the previous release were not read, so
// that an item ran more often than its attempts allow.
func TestFailuresCountedByPreviousRelease(t *testing.T) {
	type oldFailures struct {
		Count int    `cbor:"1,keyasint"`
		Run   uint64 `cbor:"2,keyasint"`
	}
	data, err := cbor.Marshal(oldFailures{Count: 1, Run: 7})
	if err != nil {
		t.Fatal(err)
	}
	var f Failures
	if err := cbor.Unmarshal(data, &f); err != nil {
		t.Fatal(err)
	}
	j := &Job{Spec: *validSpec(), Attempts: 2}
	item := Item{Job: j.ID}
	j.progress(0).Steps[0].Failures = map[int32]Failures{0: f}
	if got := j.Failures(item); got != 1 {
		t.Errorf("%d failures, want 1", got)
	}
	if j.RecordEnd(End{Item: item, Failed: true, Run: 7}, 5) {
		t.Error("a run that was counted before is counted again")
	}
	if !j.RecordEnd(End{Item: item, Failed: true, Run: 9}, 5) || j.Phase != Failed {
		t.Errorf("the job is %v after its second failure, want failed", j.Phase)
	}
}
