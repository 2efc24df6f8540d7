package tackburn

import (
	"fmt"
	"strconv"
	"strings"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// Configuration keys. SERVICE and LABEL stand for names.
const (
	// KeyObjective sets the default objective, as in "99.9".
	KeyObjective = "burn.objective"
	// KeyObjectivePrefix followed by a SERVICE sets the objective of that service.
	KeyObjectivePrefix = "burn.objective."
	// KeyLate sets the time in milliseconds from which an answer is late.
	KeyLate = "burn.late_ms"
	// KeyLatePrefix followed by a SERVICE sets that time for the service.
	KeyLatePrefix = "burn.late_ms."
	// KeyLabelPrefix followed by a LABEL sets when requests are counted under the
	// label: "04:10-05:30" in UTC, or "04:10-05:30+08:00" with a zone. The
	// window applies to all services, or to one whose name follows after a
	// space.
	KeyLabelPrefix = "burn.label."
)

type (
	// Settings holds the objectives, in per cent of requests answered
	// completely and in time. Default is used for teams, labels and services
	// without an objective of their own; zero means DefaultObjective. An answer
	// is late after LateAfter or, if that is 0, only after the caller's own
	// deadline.
	Settings struct {
		Default       float64
		Services      map[tackid.Service]float64
		LateAfter     tackclock.Duration
		LateByService map[tackid.Service]tackclock.Duration
		Labels        []LabelWindow
	}

	// LabelWindow is the daily window in which requests are counted under a
	// label. From and To are times since midnight UTC; To may be past the next
	// midnight. An empty Service means all services.
	LabelWindow struct {
		Label    Label
		Service  tackid.Service
		From, To tackclock.Duration
	}

	// SettingError reports an invalid value of a configuration key.
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

// Set sets the setting of a configuration key, and ignores keys that are not
// listed above. The error is a *SettingError.
func (s *Settings) Set(key, value string) error {
	switch {
	case key == KeyObjective:
		return s.setObjective(key, "", value)
	case strings.HasPrefix(key, KeyObjectivePrefix):
		return s.setObjective(key, tackid.Service(key[len(KeyObjectivePrefix):]), value)
	case key == KeyLate:
		return s.setLate(key, "", value)
	case strings.HasPrefix(key, KeyLatePrefix):
		return s.setLate(key, tackid.Service(key[len(KeyLatePrefix):]), value)
	case strings.HasPrefix(key, KeyLabelPrefix):
		return s.setLabel(key, value)
	}
	return nil
}

// IsLate reports whether an answer of the service is late after d.
func (s *Settings) IsLate(service tackid.Service, d tackclock.Duration) bool {
	limit, ok := s.LateByService[service]
	if !ok {
		limit = s.LateAfter
	}
	return limit > 0 && d > limit
}

// LabelsAt returns the labels under which requests of the service are counted at
// the time now.
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
		s.LateAfter = tackclock.Duration(ms)
		return nil
	}
	if s.LateByService == nil {
		s.LateByService = make(map[tackid.Service]tackclock.Duration)
	}
	s.LateByService[service] = tackclock.Duration(ms)
	return nil
}

func (s *Settings) setLabel(key, value string) error {
	span, service, _ := strings.Cut(strings.TrimSpace(value), " ")
	w := LabelWindow{Label: Label(key[len(KeyLabelPrefix):]), Service: tackid.Service(strings.TrimSpace(service))}
	var ok bool
	if w.From, w.To, ok = parseSpan(span); !ok {
		return &SettingError{Key: key, Value: value, Want: "HH:MM-HH:MM, a zone as in +08:00 or none, and a service or none"}
	}
	s.Labels = append(s.Labels, w)
	return nil
}

// parseSpan parses a span such as "04:10-05:30+08:00" into times since midnight
// UTC. The end is after the start, past the next midnight if necessary.
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

// parseZone parses a zone such as "+08:00" or "-03:30"; the empty string is UTC.
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

// parseClock parses a time of day such as "04:10" into the time since midnight.
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
