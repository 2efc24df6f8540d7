package tackfleet

import (
	"slices"

	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

// Filter selects events. Its zero value selects all events.
type Filter struct {
	// VM selects the events that concern one VM.
	VM tackid.VM
	// Key selects the events that set one configuration key.
	Key string
	// Limit is the maximum number of events, the newest ones; 0 means all.
	Limit int
}

// History returns the selected events from the oldest to the newest.
func (s *State) History(f Filter) []Event {
	var events []Event
	for i := len(s.events) - 1; i >= 0; i-- {
		if !f.matches(&s.events[i]) {
			continue
		}
		events = append(events, s.events[i])
		if len(events) == f.Limit {
			break
		}
	}
	slices.Reverse(events)
	return events
}

func (f *Filter) matches(e *Event) bool {
	if f.VM != "" && !slices.Contains(e.VMs, f.VM) {
		return false
	}
	return f.Key == "" || e.Key == f.Key
}

// recordCommand adds an accepted command to the history.
func (s *State) recordCommand(c *tackcommand.Command) {
	e := Event{Text: c.Text()}
	switch {
	case c.AddVM != nil:
		e.VMs = []tackid.VM{c.AddVM.VM}
	case c.MoveVM != nil:
		e.VMs = []tackid.VM{c.MoveVM.VM}
	case c.DrainVM != nil:
		e.VMs = []tackid.VM{c.DrainVM.VM}
	case c.UndrainVM != nil:
		e.VMs = []tackid.VM{c.UndrainVM.VM}
	case c.RemoveVM != nil:
		e.VMs = []tackid.VM{c.RemoveVM.VM}
	case c.SetConfig != nil:
		e.Key = c.SetConfig.Key
	}
	s.record(e)
}

// record adds an event at the current revision. A quarter of EventLimit is
// dropped at a time, so that the events are not shifted with every new one.
func (s *State) record(e Event) {
	e.Revision = s.at.Revision
	e.Time = s.at.Time
	e.ID = s.command
	s.events = append(s.events, e)
	if len(s.events) > EventLimit {
		s.events = slices.Delete(s.events, 0, EventLimit/4)
	}
}
