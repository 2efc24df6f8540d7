package tackcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"auburntack/core/tackcbor"
	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackrelay"
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
		mu      sync.Mutex
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
	c.relay.mu.Lock()
	number, err := c.relay.outbox.Add(r, func(a tackrelay.Answer) { answers <- a })
	c.relay.mu.Unlock()
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
	c.relay.mu.Lock()
	c.relay.outbox.Drop(number)
	c.relay.mu.Unlock()
	c.meters.relayGivenUp.Inc(1)
	return Reply{}, &BusyError{Reason: "the leader has not answered"}
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
	c.relay.mu.Lock()
	c.relay.flushScheduled = false
	list := c.relay.outbox.Next(c.clock.Now(), leader)
	waiting := c.relay.outbox.Len()
	c.relay.mu.Unlock()
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
	now := c.clock.Now()
	c.mu.Lock()
	c.roster.Heard(now, from, m.DataCentre)
	if m.On && c.dispatchTerm != 0 && !c.dispatch.EarlierLeasesEnded(now) {
		c.roster.Inherit()
	}
	answers := tackrelay.Answers{On: c.roster.Enabled()}
	c.mu.Unlock()
	for i := range m.List {
		answers.List = append(answers.List, c.answerReport(from, &m.List[i]))
	}
	c.sendAnswers(from, answers)
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
