package tackcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"auburntack/core/tackclock"
	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackrelay"
	"auburntack/io/tackpeer"
)

const (
	kindReports tackpeer.Kind = "reports"
	kindAnswers tackpeer.Kind = "answers"

	// relayFlush is how long reports are gathered for one message.
	relayFlush = 4 * time.Millisecond
	// relayAgain spaces out the looks at reports that are not answered.
	relayAgain = 60 * time.Millisecond
	// relayLimit is how long a report waits for its answer: workers give one up after a
	// second.
	relayLimit = 750 * time.Millisecond
	// relayKnown is for how long the leader's word holds that this VM is to pass reports
	// on. An election takes one to two seconds; beyond them this VM may be cut off.
	relayKnown = 3 * tackclock.Second
	// defaultRelayFrom is from how many workers on they report to relays.
	defaultRelayFrom = 1000
)

type (
	// relay is what a VM that does not lead keeps of the reports that it passes on.
	relay struct {
		mu    sync.Mutex
		box   tackrelay.Outbox
		on    bool
		heard tackclock.Time // when the leader last said whether it is on
		// timed says that a flush is about to come.
		timed   bool
		helloAt tackclock.Time
	}

	// BusyError reports that a heartbeat got no answer in time. The worker is to send it
	// again, to whom it likes.
	BusyError struct {
		Reason string
	}
)

// Error implements error.
func (e *BusyError) Error() string {
	return "heartbeat not answered: " + e.Reason
}

// relays reports whether this VM is to pass reports on to the leader.
func (c *Control) relays(now tackclock.Time) bool {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	return c.relay.on && now.Sub(c.relay.heard) <= relayKnown
}

// passOn has the leader answer a worker's report. The error is a *BusyError or a
// *tackdispatch.ForeignError.
func (c *Control) passOn(ctx context.Context, r *tackdispatch.Report) (Reply, error) {
	began := c.clock.Now()
	answers := make(chan tackrelay.Answer, 1)
	c.relay.mu.Lock()
	number, err := c.relay.box.Add(r, func(a tackrelay.Answer) { answers <- a })
	c.relay.mu.Unlock()
	if err != nil {
		c.meters.relayShed.Inc(1)
		return Reply{}, &BusyError{Reason: err.Error()}
	}
	c.flushAfter(relayFlush)
	timer := time.NewTimer(relayLimit)
	defer timer.Stop()
	select {
	case a := <-answers:
		c.meters.relayed.Update(int64(c.clock.Now().Sub(began)))
		if a.Problem != "" {
			return Reply{}, &tackdispatch.ForeignError{Worker: r.Worker, Problem: a.Problem}
		}
		return Reply{Orders: a.Orders, Ask: a.NextPeer}, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	c.relay.mu.Lock()
	c.relay.box.Drop(number)
	c.relay.mu.Unlock()
	c.meters.relayGivenUp.Inc(1)
	return Reply{}, &BusyError{Reason: "the leader has not answered"}
}

// flushAfter sends what waits after a while, unless that is about to happen.
func (c *Control) flushAfter(wait time.Duration) {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	if !c.relay.timed {
		c.relay.timed = true
		time.AfterFunc(wait, c.flushReports)
	}
}

// flushReports sends the leader the reports that it has not got.
func (c *Control) flushReports() {
	leader := c.Leader()
	c.relay.mu.Lock()
	c.relay.timed = false
	list := c.relay.box.Next(c.clock.Now(), leader)
	waiting := c.relay.box.Len()
	c.relay.mu.Unlock()
	c.meters.relayWaiting.Update(int64(waiting))
	if len(list) > 0 {
		c.sendReports(leader, list)
	}
	if waiting > 0 {
		c.flushAfter(relayAgain)
	}
}

func (c *Control) sendReports(leader tackid.Peer, list []tackrelay.NumberedReport) {
	m := tackrelay.Reports{DataCentre: c.cfg.DataCentre, List: list, On: c.relays(c.clock.Now())}
	if err := c.links.Send(leader, kindReports, m); err != nil {
		c.log.WithField("peer", leader).WithField("reports", len(list)).WithError(err).Debug("reports not sent")
	}
}

// sayHello tells the leader now and then that this VM can take workers' reports. It is
// called by the loop.
func (c *Control) sayHello(now tackclock.Time) {
	leader := c.Leader()
	if now < c.relay.helloAt || leader == "" || leader == c.cfg.Self {
		return
	}
	c.relay.helloAt = now.Add(tackrelay.HelloInterval)
	c.sendReports(leader, nil)
}

// onReports answers reports that a relay passes on.
func (c *Control) onReports(from tackid.Peer, body []byte) {
	var m tackrelay.Reports
	if err := cbor.Unmarshal(body, &m); err != nil {
		c.log.WithField("peer", from).WithError(err).Warn("reports that cannot be read")
		return
	}
	now := c.clock.Now()
	c.mu.Lock()
	c.roster.Heard(now, from, m.DataCentre)
	if m.On && c.dispatched != 0 && !c.dispatch.EarlierLeasesEnded(now) {
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
		c.log.WithField("peer", to).WithField("answers", len(answers.List)).WithError(err).Debug("answers not sent")
	}
}

func (c *Control) answerReport(from tackid.Peer, n *tackrelay.NumberedReport) tackrelay.Answer {
	a := tackrelay.Answer{Number: n.Number}
	reply, err := c.decide(&n.Report, from)
	var foreign *tackdispatch.ForeignError
	switch {
	case err == nil:
		a.Orders, a.NextPeer = reply.Orders, reply.Ask
	case errors.As(err, &foreign):
		a.Problem = foreign.Problem
	default:
		a.NotLeader = true
	}
	return a
}

// onAnswers takes in the leader's answers.
func (c *Control) onAnswers(from tackid.Peer, body []byte) {
	var m tackrelay.Answers
	if err := cbor.Unmarshal(body, &m); err != nil {
		c.log.WithField("peer", from).WithError(err).Warn("answers that cannot be read")
		return
	}
	now := c.clock.Now()
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	if from == c.Leader() {
		c.relay.on, c.relay.heard = m.On, now
	}
	c.relay.box.Deliver(now, from, m.List)
}

// judgeRelays decides whether workers report to relays. The caller holds mu.
func (c *Control) judgeRelays(now tackclock.Time) {
	before, workers := c.roster.Enabled(), c.dispatch.Workers()
	c.roster.Update(workers, c.cfg.RelayFrom, c.dispatch.EarlierLeasesEnded(now))
	if on := c.roster.Enabled(); on != before {
		c.log.WithField("workers", workers).WithField("from", c.cfg.RelayFrom).WithField("relays", on).Info("who takes reports")
		for _, p := range c.roster.Live(now) { // before the first worker comes there
			c.sendAnswers(p, tackrelay.Answers{On: on})
		}
	}
}
