package tackcontrol

import (
	"context"
	"testing"

	"auburntack/core/tackclock"
	"auburntack/core/tackreplica"
)

// Guards against heartbeats that are refused, and so all sent again at the same time, when
// the leader lease is renewed some milliseconds late.
func TestHeartbeatWaitsForALateLease(t *testing.T) {
	leader := tackreplica.Status{Role: tackreplica.Leader, Term: 3}
	renewed := leader
	renewed.LeaderLease, renewed.LeaderLeaseUntil = true, tackclock.Time(1)<<60
	tests := []struct {
		name      string
		next      tackreplica.Status
		wantLeads bool
	}{
		{"lease is renewed", renewed, true},
		{"another leads", tackreplica.Status{Role: tackreplica.Follower, Term: 4}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &Control{clock: new(tackclock.Clock)}
			c.status.Store(&leader)
			waiting := c.renewal.next()
			done := make(chan bool)
			go func() {
				c.awaitLease(context.Background())
				_, leads := c.leads(c.clock.Now())
				done <- leads
			}()
			c.status.Store(&test.next)
			c.renewal.notify()
			<-waiting
			if leads := <-done; leads != test.wantLeads {
				t.Errorf("the heartbeat went on with leads = %v, want %v", leads, test.wantLeads)
			}
		})
	}
}
