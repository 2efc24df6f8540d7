package tackburn

import (
	"fmt"
	"strconv"
	"strings"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// The keys of the configuration that the account depends on. SERVICE and
// LABEL are names.
const (
	// KeyObjective sets the default objective, as in "99.9".
	KeyObjective = "burn.objective"
	// KeyObjectiveOf and a SERVICE set one service's objective.
	KeyObjectiveOf = "burn.objective."
	// KeyLate sets the time in milliseconds from which an answer is late.
	KeyLate = "burn.late_ms"
	// KeyLateOf and a SERVICE set it for one service.
	KeyLateOf = "burn.late_ms."
	// KeyLabel and a LABEL set when requests are counted under the label:
	// "04:10-05:30", in UTC or with a zone as in "04:10-05:30+08:00", for all
	// services or, after a space, for the one that is named.
	KeyLabel = "burn.label."
)

type (
	// Settings holds the objectives, in per cent of requests answered whole
	// and on time. Default is used for services that have none of their own,
	// teams and labels; its zero value means DefaultObjective. An answer is
	// late after Late, and where that is 0 only when its caller's own time
	// has run out.
	Settings struct {
		Default  float64
		Services map[tackid.Service]float64
		Late     tackclock.Duration
		LateOf   map[tackid.Service]tackclock.Duration
		Labels   []LabelWindow
	}

	// LabelWindow says when, each day, requests are counted under a label.
	// From and To are since midnight UTC; To may lie past midnight. An empty
	// Service means all.
	LabelWindow struct {
		Label    Label
		Service  tackid.Service
		From, To tackclock.Duration
	}

	// SettingError reports a value that a key of the configuration cannot
	// have.
	SettingError struct {
		Key   string
		Value string
		Want  string
	}
)

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("tackburn: %s is %q, want %s", e.Key, e.Value, e.Want)
}

// Set takes over one key of the configuration; keys that the account does not
// depend on are passed over. The error is a *SettingError.
func (s *Settings) Set(key, value string) error {
	switch {
	case key == KeyObjective:
		return s.setObjective(key, "", value)
	case strings.HasPrefix(key, KeyObjectiveOf):
		return s.setObjective(key, tackid.Service(key[len(KeyObjectiveOf):]), value)
	case key == KeyLate:
		return s.setLate(key, "", value)
	case strings.HasPrefix(key, KeyLateOf):
		return s.setLate(key, tackid.Service(key[len(KeyLateOf):]), value)
	case strings.HasPrefix(key, KeyLabel):
		return s.setLabel(key, value)
	}
	return nil
}

// IsLate reports whether an answer of a service after d is late.
func (s *Settings) IsLate(service tackid.Service, d tackclock.Duration) bool {
	limit, ok := s.LateOf[service]
	if !ok {
		limit = s.Late
	}
	return limit > 0 && d > limit
}

// LabelsAt returns the labels under which a service's requests count at now.
func (s *Settings) LabelsAt(now tackclock.Time, service tackid.Service) []Label {
	var list []Label
	at := tackclock.Duration(now) % tackclock.Day
	for _, w := range s.Labels {
		if w.Service != "" && w.Service != service {
			continue
		}
		if w.From <= at && at < w.To || at+tackclock.Day < w.To {
			list = append(list, w.Label)
		}
	}
	return list
}

func (s *Settings) setObjective(key string, service tackid.Service, value string) error {
	o, err := strconv.ParseFloat(value, 64)
	if err != nil || !(o > 0 && o <= MaxObjective) {
		return &SettingError{Key: key, Value: value, Want: fmt.Sprintf("a percentage above 0 and up to %g", MaxObjective)}
	}
	if service == "" {
		s.Default = o
		return nil
	}
	if s.Services == nil {
		s.Services = make(map[tackid.Service]float64)
	}
	s.Services[service] = o
	return nil
}

func (s *Settings) setLate(key string, service tackid.Service, value string) error {
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms < 0 {
		return &SettingError{Key: key, Value: value, Want: "a number of milliseconds, 0 for none"}
	}
	if service == "" {
		s.Late = tackclock.Duration(ms)
		return nil
	}
	if s.LateOf == nil {
		s.LateOf = make(map[tackid.Service]tackclock.Duration)
	}
	s.LateOf[service] = tackclock.Duration(ms)
	return nil
}

func (s *Settings) setLabel(key, value string) error {
	span, service, _ := strings.Cut(strings.TrimSpace(value), " ")
	w := LabelWindow{Label: Label(key[len(KeyLabel):]), Service: tackid.Service(strings.TrimSpace(service))}
	var ok bool
	if w.From, w.To, ok = parseSpan(span); !ok {
		return &SettingError{Key: key, Value: value, Want: "HH:MM-HH:MM, a zone as in +08:00 or none, and a service or none"}
	}
	s.Labels = append(s.Labels, w)
	return nil
}

// parseSpan reads "04:10-05:30+08:00" as a span since midnight UTC. The end
// lies after the start, past midnight if need be.
func parseSpan(text string) (from, to tackclock.Duration, ok bool) {
	start, rest, found := strings.Cut(text, "-")
	if !found || len(rest) != 5 && len(rest) != 11 {
		return 0, 0, false
	}
	from, okFrom := parseClock(start)
	to, okTo := parseClock(rest[:5])
	zone, okZone := parseZone(rest[5:])
	if !okFrom || !okTo || !okZone || from == to {
		return 0, 0, false
	}
	if to < from {
		to += tackclock.Day
	}
	length := to - from
	from = (from - zone + tackclock.Day) % tackclock.Day
	return from, from + length, true
}

// parseZone reads "+08:00" or "-03:30"; the empty text is UTC.
func parseZone(text string) (tackclock.Duration, bool) {
	if text == "" {
		return 0, true
	}
	d, ok := parseClock(text[1:])
	switch {
	case !ok || d > 14*tackclock.Hour:
		return 0, false
	case text[0] == '+':
		return d, true
	case text[0] == '-':
		return -d, true
	}
	return 0, false
}

// parseClock reads "04:10" as the time since midnight.
func parseClock(text string) (tackclock.Duration, bool) {
	if len(text) != 5 || text[2] != ':' {
		return 0, false
	}
	hour, errHour := strconv.ParseUint(text[:2], 10, 8)
	minute, errMinute := strconv.ParseUint(text[3:], 10, 8)
	if errHour != nil || errMinute != nil || hour > 23 || minute > 59 {
		return 0, false
	}
	return tackclock.Duration(hour)*tackclock.Hour + tackclock.Duration(minute)*tackclock.Minute, true
}
