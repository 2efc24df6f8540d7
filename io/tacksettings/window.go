package tacksettings

import (
	"strconv"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// TimeOfDay is a time of day in UTC as HH:MM. An empty string means that no time is
	// set.
	TimeOfDay string

	// Window is a daily time window whose requests are counted under a label, such as
	// the time of a prayer or a batch run. An empty Service stands for all services.
	Window struct {
		Label   string
		Service tackid.Service
		From    TimeOfDay
		To      TimeOfDay
	}
)

// Label returns the label of the first window that applies to service at now, or an
// empty string if there is none.
func (b Burn) Label(service tackid.Service, now tackclock.Time) string {
	for _, w := range b.Windows {
		if (w.Service == "" || w.Service == service) && w.contains(now) {
			return w.Label
		}
	}
	return ""
}

// contains reports whether now is in the window, which is the case if the window closes
// before it next opens.
func (w Window) contains(now tackclock.Time) bool {
	return w.To.After(now) < w.From.After(now)
}

// After returns the first moment later than t at which the time of day is d, or 0 if d
// is no valid time.
func (d TimeOfDay) After(t tackclock.Time) tackclock.Time {
	of, ok := d.sinceMidnight()
	if !ok {
		return 0
	}
	day := tackclock.Time(tackclock.Day)
	next := t - t%day + tackclock.Time(of)
	if next <= t {
		next += day
	}
	return next
}

func (d TimeOfDay) sinceMidnight() (tackclock.Duration, bool) {
	if len(d) != len("HH:MM") || d[2] != ':' {
		return 0, false
	}
	hours, errH := strconv.ParseUint(string(d[:2]), 10, 8)
	minutes, errM := strconv.ParseUint(string(d[3:]), 10, 8)
	if errH != nil || errM != nil || hours > 23 || minutes > 59 {
		return 0, false
	}
	return tackclock.Duration(hours)*tackclock.Hour + tackclock.Duration(minutes)*tackclock.Minute, true
}
