package tackburn

import (
	"cmp"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// DefaultObjective is the objective, in per cent, if none is set.
	DefaultObjective = 99.9
	// MaxObjective is the highest objective. A higher one would leave no error
	// budget.
	MaxObjective = 99.999
)

const (
	// AlertNone means that the error budget lasts for the period.
	AlertNone Alert = ""
	// AlertTicket means that the error budget will be exhausted before the end
	// of the period.
	AlertTicket Alert = "ticket"
	// AlertPage means that a large part of the error budget is being used up
	// within hours.
	AlertPage Alert = "page"
)

// Burn rates from which an alert is raised. At 14.4 a fiftieth of the budget for
// 28 days is used up in one hour, at 6 a twentieth in six hours. The rate must be
// exceeded in a shorter window too, so that an alert ends soon after its cause.
const (
	pageBurnHour     = 14.4
	pageBurnSixHours = 6
	ticketBurn       = 1
)

type (
	// Report is the state of the service levels at one time. All lists are
	// sorted by name.
	Report struct {
		Time     tackclock.Time `json:"time_ms"`
		Services []Summary      `json:"services"`
		Teams    []Summary      `json:"teams"`
		Labels   []Summary      `json:"labels"`
	}

	// Summary is the report on one service, team or label. BudgetLeft is the
	// remaining part of the error budget for Period, negative if it is
	// overspent. TimeLeft is how long it will last at the burn rate of the
	// last hour; Lasting is true if that is longer than a period. Days holds
	// the counts by day over the period, Quarters those by quarter of a day
	// over three days.
	Summary struct {
		Name       string             `json:"name"`
		Objective  float64            `json:"objective_percent"`
		Period     Counts             `json:"period"`
		BudgetLeft float64            `json:"budget_left"`
		Windows    []Window           `json:"windows"`
		TimeLeft   tackclock.Duration `json:"time_left_ms"`
		Lasting    bool               `json:"lasting"`
		Alert      Alert              `json:"alert"`
		Days       []Point            `json:"days"`
		Quarters   []Point            `json:"quarters"`
	}

	// Window holds the counts of the last Span. Burn is the rate at which the
	// error budget is used: at 1 it is used up in exactly one period.
	Window struct {
		Span   tackclock.Duration `json:"span_ms"`
		Counts Counts             `json:"counts"`
		Burn   float64            `json:"burn"`
	}

	// Point holds the counts of an interval of length Width from Start.
	Point struct {
		Start  tackclock.Time     `json:"start_ms"`
		Width  tackclock.Duration `json:"width_ms"`
		Counts Counts             `json:"counts"`
	}

	// Alert is the urgency of an alert.
	Alert string
)

// Report returns the report at the time now.
func (s *State) Report(now tackclock.Time, cfg Settings) Report {
	fallback := objective(cfg.Default, DefaultObjective)
	return Report{
		Time: now,
		Services: s.services.lines(now, func(name tackid.Service) float64 {
			return objective(cfg.Services[name], fallback)
		}),
		Teams:  s.teams.lines(now, func(tackid.Team) float64 { return fallback }),
		Labels: s.labels.lines(now, func(Label) float64 { return fallback }),
	}
}

// objective returns o, limited to MaxObjective, or the fallback if o is not set.
func objective(o, fallback float64) float64 {
	if !(o > 0) {
		return fallback
	}
	return min(o, MaxObjective)
}

func (t table[N]) lines(now tackclock.Time, objective func(N) float64) []Summary {
	list := make([]Summary, 0, len(t))
	for name, s := range t {
		l := s.line(now, objective(name))
		l.Name = string(name)
		if l.Period.Total() > 0 {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// line returns the report on one series.
func (s *series) line(now tackclock.Time, objective float64) Summary {
	l := Summary{
		Objective: objective,
		Period:    s.sum(ringDay, now),
		Days:      s.points(ringDay, now),
		Quarters:  s.points(ringQuarterDay, now),
	}
	for i := ringMinute; i <= ringQuarterDay; i++ {
		c := s.sum(i, now)
		l.Windows = append(l.Windows, Window{Span: ringShapes[i].span, Counts: c, Burn: c.Burn(objective)})
	}
	l.BudgetLeft = 1 - l.Period.Burn(objective)
	l.TimeLeft, l.Lasting = timeLeft(l.BudgetLeft, l.Windows[ringFiveMinutes].Burn)
	l.Alert = alert(l.Windows)
	return l
}

// Burn returns the number of bad requests relative to the number allowed by an
// objective in per cent: 1 is exactly as many as allowed.
func (c Counts) Burn(objective float64) float64 {
	allowed := float64(c.Total()) * (100 - objective) / 100
	if allowed <= 0 {
		return 0
	}
	return float64(c.Bad()) / allowed
}

// timeLeft returns how long the remaining part of the budget lasts at a burn rate.
func timeLeft(left, burn float64) (lasts tackclock.Duration, lasting bool) {
	if left <= 0 {
		return 0, false
	}
	if burn <= left {
		return Period, true
	}
	return tackclock.Duration(math.Round(left / burn * float64(Period))), false
}

func alert(w []Window) Alert {
	fiveMinutes, hour, sixHours, threeDays := w[ringMinute].Burn, w[ringFiveMinutes].Burn, w[ringHalfHour].Burn, w[ringQuarterDay].Burn
	switch {
	case hour >= pageBurnHour && fiveMinutes >= pageBurnHour, sixHours >= pageBurnSixHours && hour >= pageBurnSixHours:
		return AlertPage
	case threeDays >= ticketBurn && sixHours >= ticketBurn:
		return AlertTicket
	}
	return AlertNone
}
