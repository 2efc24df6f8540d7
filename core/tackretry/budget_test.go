package tackretry_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackretry"
)

func TestDecide(t *testing.T) {
	good := tackretry.Attempt{Idempotent: true, Tries: 1, TimeLeft: tackclock.Second}
	tests := []struct {
		name   string
		change func(*tackretry.Attempt)
		want   tackretry.Reason
	}{
		{"idempotent", func(*tackretry.Attempt) {}, tackretry.ReasonNone},
		{"may have run", func(a *tackretry.Attempt) { a.Idempotent = false }, tackretry.ReasonUnsafe},
		{"certainly not run", func(a *tackretry.Attempt) { a.Idempotent, a.NotRun = false, true }, tackretry.ReasonNone},
		{"tried often", func(a *tackretry.Attempt) { a.Tries = 3 }, tackretry.ReasonTries},
		{"no time left", func(a *tackretry.Attempt) { a.TimeLeft = 1 }, tackretry.ReasonTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			convey.Convey(tt.name, t, func() {
				b := budgetAfter(20)
				a := good
				tt.change(&a)
				got := b.Decide(0, a)
				convey.So(got, convey.ShouldResemble, tackretry.Decision{Retry: tt.want == tackretry.ReasonNone, Reason: tt.want})
			})
		})
	}
}

func budgetAfter(requests int) *tackretry.Budget {
	b := new(tackretry.Budget)
	for range requests {
		b.Record(0)
	}
	return b
}
