package tackcontrol

import (
	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
)

// maxEventLines is the maximum number of log lines per tick of 25 ms. At the start of a
// queue's burst about a hundred items can start at once.
const maxEventLines = 200

// logEvents writes a log line for each dispatch decision. Lines above the limit are counted
// but not written, so that logging does not slow down dispatch. Those that tell why an item
// started again are the last to be left out.
func (c *Control) logEvents(now tackclock.Time, events []tackdispatch.Event, left int) {
	for i := range events {
		c.meters.countEvent(&events[i])
	}
	others := maxEventLines
	for i := range events {
		if events[i].TellsOfRestart() {
			others--
		}
	}
	restarts := maxEventLines
	for i := range events {
		budget := &others
		if events[i].TellsOfRestart() {
			budget = &restarts
		}
		if *budget <= 0 {
			left++
			continue
		}
		*budget--
		c.logEvent(now, &events[i])
	}
	if left > 0 {
		c.log.WithField("left_out", left).Warn("log lines left out")
	}
}

func (c *Control) logEvent(now tackclock.Time, e *tackdispatch.Event) {
	fields := logrus.Fields{"term": uint64(c.status.Load().Term), "worker": string(e.Worker)}
	if e.VM != "" {
		fields["worker_vm"] = string(e.VM)
	}
	if e.Item.Job != "" {
		fields["item"] = e.Item.String()
		fields["run"] = uint64(e.Run)
	}
	if e.Reason != "" {
		fields["reason"] = e.Reason
	}
	if e.Age > 0 {
		fields["age_ms"] = int64(e.Age)
	}
	if e.Kind == tackdispatch.EventRunLost {
		fields["ran_ms"], fields["beside"] = int64(e.Ran), e.Beside
	}
	if e.Kind == tackdispatch.EventReleased {
		fields["held"] = e.Beside
	}
	if e.Sequence > 0 {
		fields["sequence"] = e.Sequence
	}
	if e.Refused > 0 {
		fields["refused"], fields["refused_age_ms"] = e.Refused, int64(e.RefusedAge)
	}
	if e.Outcome != "" {
		fields["outcome"] = e.Outcome
	}
	if e.Other.Run != 0 {
		fields["other_run"] = uint64(e.Other.Run)
	}
	if e.Other.Proof != "" {
		fields["proof"], fields["proof_age_ms"] = e.Other.Proof, int64(now.Sub(e.Other.At))
	}
	if e.Kind == tackdispatch.EventPromisesExpired {
		fields["callers"] = e.Beside
	}
	c.log.WithFields(fields).Info(e.Kind.String())
}
