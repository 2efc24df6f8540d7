package tackburn

import (
	"cmp"
	"math"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// DefaultObjective is the objective, in per cent, where none is set.
	DefaultObjective = 99.9
	// MaxObjective is the highest objective; a higher one would leave no
	// budget to account for.
	MaxObjective = 99.999
)

const (
	// AlertNone is the alert of a budget that lasts.
	AlertNone Alert = ""
	// AlertTicket says that the budget will run out before the period ends.
	AlertTicket Alert = "ticket"
	// AlertPage says that a large part of the budget goes within hours.
	AlertPage Alert = "page"
)

// Burn rates at which an alert is given. At 14.4 a fiftieth of 28 days'
// budget goes in an hour, at 6 a twentieth in six hours. A shorter window must
// burn as well, so that an alert ends soon after its cause.
const (
	burnHour = 14.4
	burnSix  = 6
	burnDays = 1
)

type (
	// Report is the account at one moment. All lists are sorted by name.
	Report struct {
		Time     tackclock.Time `json:"time_ms"`
		Services []Line         `json:"services"`
		Teams    []Line         `json:"teams"`
		Labels   []Line         `json:"labels"`
	}

	// Line is the account of one service, team or label. BudgetLeft is the
	// share of the error budget of Period that is left, negative when
	// overspent. TimeLeft is how long it lasts at the burn rate of the last
	// hour; Lasting is true where that is longer than a period. Days and
	// Quarters are what was counted day by day over the period and by six
	// hours over three days.
	Line struct {
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

	// Window is the account of the last Span. Burn is the rate at which the
	// error budget is used: 1 uses it up exactly in one period.
	Window struct {
		Span   tackclock.Duration `json:"span_ms"`
		Counts Counts             `json:"counts"`
		Burn   float64            `json:"burn"`
	}

	// Point is what was counted in the Width that begins at Start.
	Point struct {
		Start  tackclock.Time     `json:"start_ms"`
		Width  tackclock.Duration `json:"width_ms"`
		Counts Counts             `json:"counts"`
	}

	// Alert says whether somebody should look, and how soon.
	Alert string
)

// Report returns the account as it stands at now.
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

// objective returns o if it is one, and the fallback otherwise.
func objective(o, fallback float64) float64 {
	if !(o > 0) {
		return fallback
	}
	return min(o, MaxObjective)
}

func (t table[N]) lines(now tackclock.Time, objective func(N) float64) []Line {
	list := make([]Line, 0, len(t))
	for name, s := range t {
		l := s.line(now, objective(name))
		l.Name = string(name)
		if l.Period.Total() > 0 {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b Line) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// line returns the account of one series.
func (s *series) line(now tackclock.Time, objective float64) Line {
	l := Line{
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

// Burn returns how much faster than allowed by an objective in per cent
// requests went bad: 1 is just as many as allowed.
func (c Counts) Burn(objective float64) float64 {
	allowed := float64(c.Total()) * (100 - objective) / 100
	if allowed <= 0 {
		return 0
	}
	return float64(c.Bad()) / allowed
}

// timeLeft returns how long what is left of the budget lasts at a burn rate.
func timeLeft(left, burn float64) (left28 tackclock.Duration, lasting bool) {
	if left <= 0 {
		return 0, false
	}
	if burn <= left {
		return Period, true
	}
	return tackclock.Duration(math.Round(left / burn * float64(Period))), false
}

func alert(w []Window) Alert {
	minutes, hour, six, days := w[ringMinute].Burn, w[ringFiveMinutes].Burn, w[ringHalfHour].Burn, w[ringQuarterDay].Burn
	switch {
	case hour >= burnHour && minutes >= burnHour, six >= burnSix && hour >= burnSix:
		return AlertPage
	case days >= burnDays && six >= burnDays:
		return AlertTicket
	}
	return AlertNone
}
