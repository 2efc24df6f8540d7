package tackcontrol

import (
	"context"
	"errors"
	"time"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackrelay"
	"auburntack/io/tackloop"
	"auburntack/io/tackpeer"
)

const (
	kindReports tackpeer.Kind = "reports"
	kindAnswers tackpeer.Kind = "answers"

	// relayFlushDelay is how long reports are collected for one message.
	relayFlushDelay = 4 * time.Millisecond
	// relayRetryInterval is the interval between two checks for unanswered reports.
	relayRetryInterval = 60 * time.Millisecond
	// relayTimeout is how long a report waits for its answer: workers give up after a second.
	relayTimeout = 750 * time.Millisecond
	// relayStatusTTL is how long the leader's statement that this VM is a relay remains
	// valid. An election takes one to two seconds; after a longer time this VM may be
	// partitioned from the leader.
	relayStatusTTL = 3 * tackclock.Second
	// defaultRelayThreshold is the default of Config.RelayThreshold.
	defaultRelayThreshold = 1000
)

type (
	// relay is the state of a VM that forwards reports to the leader.
	relay struct {
		mu      tackloop.Mutex
		outbox  tackrelay.Outbox
		enabled bool
		heard   tackclock.Time // when the leader last reported the value of enabled
		// flushScheduled reports whether a flush is scheduled.
		flushScheduled bool
		nextHello      tackclock.Time
	}

	// BusyError reports that a heartbeat was not answered in time. The worker must send it
	// again, to any control VM.
	BusyError struct {
		Reason string
	}
)

// Error implements error.
func (e *BusyError) Error() string {
	return "heartbeat not answered: " + e.Reason
}

// isRelay reports whether this VM must forward reports to the leader.
func (c *Control) isRelay(now tackclock.Time) bool {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	return c.relay.enabled && now.Sub(c.relay.heard) <= relayStatusTTL
}

// forwardReport forwards a worker's report to the leader and returns the leader's answer. The
// error is a *BusyError or a *tackdispatch.ForeignError.
func (c *Control) forwardReport(ctx context.Context, r *tackdispatch.Report) (Reply, error) {
	began := c.clock.Now()
	answers := make(chan tackrelay.Answer, 1)
	number, err := c.relay.add(r, func(a tackrelay.Answer) { answers <- a })
	if err != nil {
		c.meters.relayShed.Inc(1)
		return Reply{}, &BusyError{Reason: err.Error()}
	}
	c.scheduleFlush(relayFlushDelay)
	timer := time.NewTimer(relayTimeout)
	defer timer.Stop()
	select {
	case a := <-answers:
		c.meters.relayed.Update(int64(c.clock.Now().Sub(began)))
		if a.Problem != "" {
			return Reply{}, &tackdispatch.ForeignError{Worker: r.Worker, Problem: a.Problem}
		}
		return Reply{Orders: a.Orders, NextPeer: a.NextPeer}, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	c.relay.drop(number)
	c.meters.relayGivenUp.Inc(1)
	return Reply{}, &BusyError{Reason: "the leader has not answered"}
}

// add queues a report for the leader; answered is called with the answer.
func (r *relay) add(report *tackdispatch.Report, answered func(tackrelay.Answer)) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.Add(report, answered)
}

// drop gives up waiting for an answer.
func (r *relay) drop(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.Drop(number)
}

// next returns the reports to send now, and how many wait for their answers.
func (r *relay) next(now tackclock.Time, leader tackid.Peer) ([]tackrelay.NumberedReport, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushScheduled = false
	return r.outbox.Next(now, leader), r.outbox.Len()
}

// scheduleFlush calls flushReports after the delay, unless a flush is already scheduled.
func (c *Control) scheduleFlush(delay time.Duration) {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	if !c.relay.flushScheduled {
		c.relay.flushScheduled = true
		time.AfterFunc(delay, c.flushReports)
	}
}

// flushReports sends the leader the reports that have not been sent to it.
func (c *Control) flushReports() {
	leader := c.Leader()
	list, waiting := c.relay.next(c.clock.Now(), leader)
	c.meters.relayWaiting.Update(int64(waiting))
	if len(list) > 0 {
		c.sendReports(leader, list)
	}
	if waiting > 0 {
		c.scheduleFlush(relayRetryInterval)
	}
}

func (c *Control) sendReports(leader tackid.Peer, list []tackrelay.NumberedReport) {
	m := tackrelay.Reports{DataCentre: c.cfg.DataCentre, List: list, On: c.isRelay(c.clock.Now())}
	if err := c.links.Send(leader, kindReports, m); err != nil {
		c.log.WithField("peer", leader).WithField("reports", len(list)).WithError(err).Debug("reports not forwarded to the leader")
	}
}

// sendHello reports to the leader periodically that this VM is available as a relay. It is
// called by the loop.
func (c *Control) sendHello(now tackclock.Time) {
	leader := c.Leader()
	if now < c.relay.nextHello || leader == "" || leader == c.cfg.Self {
		return
	}
	c.relay.nextHello = now.Add(tackrelay.HelloInterval)
	c.sendReports(leader, nil)
}

// onReports answers the reports that a relay forwards.
func (c *Control) onReports(from tackid.Peer, body []byte) {
	var m tackrelay.Reports
	if err := tackcbor.Unmarshal(body, &m); err != nil {
		c.log.WithField("peer", from).WithError(err).Warn("relayed reports cannot be decoded")
		return
	}
	answers := tackrelay.Answers{On: c.heardRelay(from, &m)}
	for i := range m.List {
		answers.List = append(answers.List, c.answerReport(from, &m.List[i]))
	}
	c.sendAnswers(from, answers)
}

// heardRelay records a message of a relay, and reports whether workers report to relays.
func (c *Control) heardRelay(from tackid.Peer, m *tackrelay.Reports) bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roster.Heard(now, from, m.DataCentre)
	if m.On && c.dispatchTerm != 0 && !c.dispatch.EarlierLeasesEnded(now) {
		c.roster.Inherit()
	}
	return c.roster.Enabled()
}

func (c *Control) sendAnswers(to tackid.Peer, answers tackrelay.Answers) {
	if err := c.links.Send(to, kindAnswers, answers); err != nil {
		c.log.WithField("peer", to).WithField("answers", len(answers.List)).WithError(err).Debug("answers to relayed reports not sent")
	}
}

func (c *Control) answerReport(from tackid.Peer, n *tackrelay.NumberedReport) tackrelay.Answer {
	a := tackrelay.Answer{Number: n.Number}
	reply, err := c.decide(&n.Report, from)
	var foreign *tackdispatch.ForeignError
	switch {
	case err == nil:
		a.Orders, a.NextPeer = reply.Orders, reply.NextPeer
	case errors.As(err, &foreign):
		a.Problem = foreign.Problem
	default:
		a.NotLeader = true
	}
	return a
}

// onAnswers handles the leader's answers.
func (c *Control) onAnswers(from tackid.Peer, body []byte) {
	var m tackrelay.Answers
	if err := tackcbor.Unmarshal(body, &m); err != nil {
		c.log.WithField("peer", from).WithError(err).Warn("answers to relayed reports cannot be decoded")
		return
	}
	now := c.clock.Now()
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	if from == c.Leader() {
		c.relay.enabled, c.relay.heard = m.On, now
	}
	c.relay.outbox.Deliver(now, from, m.List)
}

// updateRelays decides whether workers report to relays. The caller holds mu.
func (c *Control) updateRelays(now tackclock.Time) {
	before, workers := c.roster.Enabled(), c.dispatch.Workers()
	c.roster.Update(workers, c.cfg.RelayThreshold, c.dispatch.EarlierLeasesEnded(now))
	if on := c.roster.Enabled(); on != before {
		c.log.WithField("workers", workers).WithField("from", c.cfg.RelayThreshold).WithField("relays", on).Info("relaying of reports changed")
		for _, p := range c.roster.Live(now) { // they must know before the first worker reports to them
			c.sendAnswers(p, tackrelay.Answers{On: on})
		}
	}
}
