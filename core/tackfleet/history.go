package tackfleet

import (
	"slices"

	"auburntack/core/tackcommand"
	"auburntack/core/tackid"
)

// Filter chooses events. Its zero value chooses all of them.
type Filter struct {
	// VM chooses the events that concern one VM.
	VM tackid.VM
	// Key chooses the events that set one configuration key.
	Key string
	// Limit is the greatest number of events, the newest ones; 0 means all.
	Limit int
}

// History returns the chosen events from the oldest to the newest.
func (s *State) History(f Filter) []Event {
	var events []Event
	for i := len(s.events) - 1; i >= 0; i-- {
		if !f.chooses(&s.events[i]) {
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

func (f *Filter) chooses(e *Event) bool {
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

// record adds an event at the current revision. The oldest events are dropped
// a quarter of the limit at a time, so that they are not shifted each time.
func (s *State) record(e Event) {
	e.Revision = s.at.Revision
	e.Time = s.at.Time
	e.ID = s.command
	s.events = append(s.events, e)
	if len(s.events) > EventLimit {
		s.events = slices.Delete(s.events, 0, EventLimit/4)
	}
}
