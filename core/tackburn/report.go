package tackburn

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

type (
	// Settings holds the objectives, in per cent of requests answered whole
	// and on time. Default is used for services, teams and labels that have
	// none of their own; its zero value means 99.9.
	Settings struct {
		Default  float64
		Services map[tackid.Service]float64
	}

	// Report is the account at one moment. All lists are sorted by name.
	Report struct {
		Time     tackclock.Time `json:"time_ms"`
		Services []Line         `json:"services"`
		Teams    []Line         `json:"teams"`
		Labels   []Line         `json:"labels"`
	}

	// Line is the account of one service, team or label. Budget is the share
	// of the period's error budget that is left, negative when overspent.
	// TimeLeft is how long it lasts at the burn rate of the last hour, and
	// Lasting is true where it lasts longer than the period.
	Line struct {
		Name      string             `json:"name"`
		Objective float64            `json:"objective_percent"`
		Period    Counts             `json:"period"`
		Budget    float64            `json:"budget_left"`
		Windows   []Window           `json:"windows"`
		TimeLeft  tackclock.Duration `json:"time_left_ms"`
		Lasting   bool               `json:"lasting"`
	}

	// Window is the account of the last Span. Burn is the rate at which the
	// error budget is used: 1 uses it up exactly at the end of the period.
	Window struct {
		Span   tackclock.Duration `json:"span_ms"`
		Counts Counts             `json:"counts"`
		Burn   float64            `json:"burn"`
	}
)
