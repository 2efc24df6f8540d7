package tacksettings

import (
	"strconv"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// TimeOfDay is a time of day in UTC as HH:MM. The empty text is no time.
	TimeOfDay string

	// Window is a part of each day for which a label is counted, such as a
	// prayer or a batch run. An empty Service stands for all.
	Window struct {
		Label   string
		Service tackid.Service
		From    TimeOfDay
		To      TimeOfDay
	}
)

// Label returns the label of the first window that holds now for service,
// or the empty text where none does.
func (b Burn) Label(service tackid.Service, now tackclock.Time) string {
	for _, w := range b.Windows {
		if (w.Service == "" || w.Service == service) && w.holds(now) {
			return w.Label
		}
	}
	return ""
}

// holds reports whether now is in the window: it closes before it opens next.
func (w Window) holds(now tackclock.Time) bool {
	return w.To.After(now) < w.From.After(now)
}

// After returns the first moment later than t at which it is d, or 0 where d
// is no time.
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
