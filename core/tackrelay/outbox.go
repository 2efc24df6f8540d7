package tackrelay

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
)

const (
	// mostWaiting bounds the reports that wait for their answers. A leader that is
	// behind is sent no more, since workers give up a report after a second.
	mostWaiting = 1024
	// mostInBatch bounds the reports of one message.
	mostInBatch = 256
	// againAfter spaces out the tries to have a VM answer that says that it cannot.
	againAfter = 60 * tackclock.Millisecond
)

type (
	// Outbox has the reports that a relay passes on, until they are answered. Its zero
	// value is empty. It is not safe for concurrent use.
	Outbox struct {
		number  uint64
		waiting map[uint64]*held
		unsent  []uint64
		leader  tackid.Peer // that the others were sent to
		// againAt is when all are sent again, after the leader said that it cannot answer.
		againAt tackclock.Time
	}

	held struct {
		report *tackdispatch.Report
		tell   func(Answer)
	}

	// FullError reports that too many reports wait for their answers.
	FullError struct {
		Waiting int
	}
)

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("relay: %d reports wait for the leader", e.Waiting)
}

// Len is how many reports wait for their answers.
func (o *Outbox) Len() int {
	return len(o.waiting)
}

// Add takes in a report and returns its number. tell is called with the answer, unless
// the report is dropped before. The error is a *FullError.
func (o *Outbox) Add(r *tackdispatch.Report, tell func(Answer)) (uint64, error) {
	if len(o.waiting) >= mostWaiting {
		return 0, &FullError{Waiting: len(o.waiting)}
	}
	if o.waiting == nil {
		o.waiting = make(map[uint64]*held)
	}
	o.number++
	o.waiting[o.number] = &held{report: r, tell: tell}
	o.unsent = append(o.unsent, o.number)
	return o.number, nil
}

// Drop forgets a report whose worker has given it up.
func (o *Outbox) Drop(number uint64) {
	delete(o.waiting, number)
}

// Next returns reports to send to the leader now, none if there are none. After a change of
// the leader all that wait are sent again: each worker's reports are numbered, so the one
// that comes second changes nothing.
func (o *Outbox) Next(now tackclock.Time, leader tackid.Peer) []Numbered {
	if leader == "" || leader == o.leader && now < o.againAt {
		return nil
	}
	if leader != o.leader || o.againAt != 0 {
		o.leader, o.againAt = leader, 0
		o.unsent = o.unsent[:0]
		for number := range o.waiting {
			o.unsent = append(o.unsent, number)
		}
	}
	var list []Numbered
	for len(o.unsent) > 0 && len(list) < mostInBatch {
		number := o.unsent[0]
		o.unsent = o.unsent[1:]
		if h := o.waiting[number]; h != nil {
			list = append(list, Numbered{Number: number, Report: *h.report})
		}
	}
	return list
}

// Take hands answers to whom they are for. A report that another VM than the leader has
// answered waits on.
func (o *Outbox) Take(now tackclock.Time, from tackid.Peer, list []Answer) {
	for _, a := range list {
		h := o.waiting[a.Number]
		if h == nil {
			continue
		}
		if a.NotLeader {
			if from == o.leader && o.againAt == 0 {
				o.againAt = now.Add(againAfter)
			}
			continue
		}
		delete(o.waiting, a.Number)
		h.tell(a)
	}
}
