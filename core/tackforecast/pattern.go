package tackforecast

import (
	"fmt"

	"auburntack/core/tackclock"
)

// Pattern is what a Model believes, for logs and metrics. Rates are in millicores.
type Pattern struct {
	// Level is the present rate, and Trend its change per second; Trend is zero unless
	// the rate rises significantly.
	Level, Trend int
	// Period is the time between the begins of two bursts, zero if none is known, and Next
	// when a burst is expected to begin.
	Period tackclock.Duration
	Next   tackclock.Time
	// Length and Height are those of a burst, zero if none was seen.
	Length tackclock.Duration
	Height int
	// Confidence says how far the next burst is expected, in percent.
	Confidence int
	// Hits and Misses count the expected bursts that came and that did not.
	Hits, Misses int
}

// Pattern returns what the model believes now.
func (m *Model) Pattern(now tackclock.Time) Pattern {
	m.advance(now)
	b := &m.bursts
	p := Pattern{
		Level: int(m.window(now, rateWindow).rate), Trend: m.rise(now).perSecond(),
		Period: b.recurrence.period, Length: tackclock.Duration(b.length), Height: int(b.height),
		Confidence: int(b.recurrence.confidence * 100), Hits: b.hits, Misses: b.misses,
	}
	if p.Period != 0 {
		p.Next = b.recurrence.next
	}
	return p
}

// String returns the pattern in one line.
func (p Pattern) String() string {
	return fmt.Sprintf("level=%d trend=%d period_ms=%d length_ms=%d height=%d confidence_percent=%d next_ms=%d hits=%d misses=%d",
		p.Level, p.Trend, p.Period, p.Length, p.Height, p.Confidence, p.Next, p.Hits, p.Misses)
}

// SameBelief reports whether the belief about bursts is the same, and whether a rise is
// seen in both or in neither.
func (p Pattern) SameBelief(o Pattern) bool {
	p.Level, o.Level = 0, 0
	rising := p.Trend > 0 == (o.Trend > 0)
	p.Trend, o.Trend = 0, 0
	return rising && p == o
}
