package tackdispatch

import (
	"cmp"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackforecast"
	"auburntack/core/tackjob"
)

const (
	// moveLead is the time from the arrival of work to the order of a VM for it, and from
	// the VM's arrival to its first item: a round of the planner and a report.
	moveLead = 700 * tackclock.Millisecond
	// forecastNoteEvery is the least interval between two events about changes of a
	// pool's forecast.
	forecastNoteEvery = tackclock.Second
	// rebuildWindow is the age of the jobs from which a new leader rebuilds its forecasts.
	// Closed jobs are kept for a shorter time.
	rebuildWindow = 5 * tackclock.Minute
)

// forecast is what is expected of a pool, and what was noted of it.
type forecast struct {
	model  tackforecast.Model
	noted  tackforecast.Pattern
	noteAt tackclock.Time // when the next change may be noted
}

// expected returns the highest rate, in millicores, of the work that arrives until a VM
// that is ordered now can run it. It is the present rate unless more is expected.
func (d *Dispatcher) expected(now tackclock.Time, p *pool, arriving int) int {
	f := p.forecast
	d.noteForecast(now, p)
	rate := arriving
	if now.Sub(d.began) < arrivalWindow {
		// A new leader has not seen all of the window itself.
		rate = max(rate, f.model.Rate(now))
	}
	milliCores, confidence := f.model.Expected(now, d.cfg.Move+moveLead)
	return rate + int(confidence*float64(max(0, milliCores-rate)))
}

// noteForecast records what has changed in a pool's forecast.
func (d *Dispatcher) noteForecast(now tackclock.Time, p *pool) {
	f := p.forecast
	pattern := f.model.Pattern(now)
	note := func(k EventKind) {
		d.note(Event{Kind: k, At: now, Reason: string(p.service) + " " + pattern.String()})
	}
	for range pattern.Hits - f.noted.Hits {
		note(EventForecastHit)
	}
	for range pattern.Misses - f.noted.Misses {
		note(EventForecastMiss)
	}
	f.noted.Hits, f.noted.Misses = pattern.Hits, pattern.Misses
	if now < f.noteAt || pattern.SameBelief(f.noted) {
		return
	}
	note(EventForecastChanged)
	f.noted, f.noteAt = pattern, now.Add(forecastNoteEvery)
}

// rebuildForecasts adds the recently accepted jobs of the log to the forecasts of a new
// leader.
//
// Load pattern: a leader is lost between two bursts. Without what was learned of earlier
// ones, the next leader would send VMs for the second burst of its own at the earliest.
func (d *Dispatcher) rebuildForecasts(now tackclock.Time) {
	if !d.cfg.Forecast {
		return
	}
	var recent []*tackjob.Job
	d.table.Each(func(j *tackjob.Job) {
		if now.Sub(j.Accepted) <= rebuildWindow && !j.LongRunning() && j.Repeats == 0 {
			recent = append(recent, j)
		}
	})
	slices.SortFunc(recent, func(a, b *tackjob.Job) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range recent {
		d.pool(j.Service).forecast.model.Add(min(j.Accepted, now), j.Work())
	}
	for _, p := range d.pools {
		pattern := p.forecast.model.Pattern(now)
		p.forecast.noted.Hits, p.forecast.noted.Misses = pattern.Hits, pattern.Misses
	}
}
