package tacksettings

import (
	"testing"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

func TestLabelFollowsTheWindows(t *testing.T) {
	b := Burn{Windows: []Window{
		{Label: "fajr", Service: "dawn-svc", From: "20:30", To: "04:45"},
		{Label: "batch", From: "01:00", To: "02:00"},
	}}
	tests := []struct {
		at      string
		service tackid.Service
		want    string
	}{
		{"20:29", "dawn-svc", ""},
		{"20:30", "dawn-svc", "fajr"},
		{"00:00", "dawn-svc", "fajr"},
		{"04:44", "dawn-svc", "fajr"},
		{"04:45", "dawn-svc", ""},
		{"01:30", "dawn-svc", "fajr"},
		{"01:30", "eid-svc", "batch"},
		{"02:00", "eid-svc", ""},
	}
	for _, test := range tests {
		t.Run(test.at+" "+string(test.service), func(t *testing.T) {
			if got := b.Label(test.service, at(t, test.at)); got != test.want {
				t.Errorf("label %q, want %q", got, test.want)
			}
		})
	}
}

func TestTimeOfDayAfter(t *testing.T) {
	now := at(t, "04:30")
	if got := TimeOfDay("04:30").After(now); got != now.Add(tackclock.Day) {
		t.Errorf("04:30 after itself is %s", got)
	}
	if got := TimeOfDay("04:31").After(now); got != now.Add(tackclock.Minute) {
		t.Errorf("04:31 after 04:30 is %s", got)
	}
	if got := TimeOfDay("").After(now); got != 0 {
		t.Errorf("no time after 04:30 is %s", got)
	}
}

// at returns the moment with the given time of day on a fixed day in 2026.
func at(t *testing.T, clock string) tackclock.Time {
	t.Helper()
	moment, err := time.Parse("2006-01-02 15:04", "2026-12-02 "+clock)
	if err != nil {
		t.Fatal(err)
	}
	return tackclock.Time(moment.UnixMilli())
}
