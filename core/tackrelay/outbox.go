package tackrelay

import (
	"fmt"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
)

const (
	// maxPending is the maximum number of reports that wait for their answers. Workers give
	// up a report after a second, so a leader that cannot keep up is not sent more.
	maxPending = 1024
	// maxBatch is the maximum number of reports in one message.
	maxBatch = 256
	// retryAfter is the delay before reports are sent again to a leader that said it cannot
	// answer yet.
	retryAfter = 60 * tackclock.Millisecond
)

type (
	// Outbox stores the reports that a relay forwards until they are answered. Its zero
	// value is empty. It is not safe for concurrent use.
	Outbox struct {
		// Last is the number of the last report that was added. Relays start from a random
		// number: an answer to a report of an earlier process at the same address may still
		// arrive, and must not be taken for one to another worker's report.
		Last    uint64
		pending map[uint64]*pendingReport
		unsent  []uint64
		leader  tackid.Peer // that the reports were sent to
		// retryAt is when all reports are sent again, after the leader said that it cannot
		// answer; zero if that is not planned.
		retryAt tackclock.Time
	}

	pendingReport struct {
		report  *tackdispatch.Report
		deliver func(Answer)
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

// Len returns the number of reports that wait for their answers.
func (o *Outbox) Len() int {
	return len(o.pending)
}

// Add adds a report and returns its number. deliver is called with the answer, unless the
// report is dropped first. The error is a *FullError.
func (o *Outbox) Add(r *tackdispatch.Report, deliver func(Answer)) (uint64, error) {
	if len(o.pending) >= maxPending {
		return 0, &FullError{Waiting: len(o.pending)}
	}
	if o.pending == nil {
		o.pending = make(map[uint64]*pendingReport)
	}
	o.Last++
	o.pending[o.Last] = &pendingReport{report: r, deliver: deliver}
	o.unsent = append(o.unsent, o.Last)
	return o.Last, nil
}

// Drop removes a report that its worker has given up.
func (o *Outbox) Drop(number uint64) {
	delete(o.pending, number)
}

// Next returns the reports to send to the leader now. After a change of leader all pending
// reports are sent again: the reports of each worker carry sequence numbers, so a duplicate
// changes nothing.
func (o *Outbox) Next(now tackclock.Time, leader tackid.Peer) []NumberedReport {
	if leader == "" || leader == o.leader && now < o.retryAt {
		return nil
	}
	if leader != o.leader || o.retryAt != 0 {
		o.leader, o.retryAt = leader, 0
		o.unsent = o.unsent[:0]
		for number := range o.pending {
			o.unsent = append(o.unsent, number)
		}
	}
	var list []NumberedReport
	for len(o.unsent) > 0 && len(list) < maxBatch {
		number := o.unsent[0]
		o.unsent = o.unsent[1:]
		if h := o.pending[number]; h != nil {
			list = append(list, NumberedReport{Number: number, Report: *h.report})
		}
	}
	return list
}

// Deliver delivers answers to the callers of Add. A report stays pending if the VM that
// answered is not the leader.
func (o *Outbox) Deliver(now tackclock.Time, from tackid.Peer, list []Answer) {
	for _, a := range list {
		h := o.pending[a.Number]
		if h == nil {
			continue
		}
		if a.NotLeader {
			if from == o.leader && o.retryAt == 0 {
				o.retryAt = now.Add(retryAfter)
			}
			continue
		}
		delete(o.pending, a.Number)
		h.deliver(a)
	}
}
