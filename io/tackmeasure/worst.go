package tackmeasure

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"auburntack/io/tackstandin"
)

const (
	// restartBurst is the number of backend servers that restart per day.
	restartBurst      = 530
	killRetryInterval = 20 * time.Millisecond
	// lossTimeout is the timeout for the detection of the loss of a data centre.
	lossTimeout = 40 * time.Second
)

// measureWorst measures the worst minutes in the largest cluster.
func (r *run) measureWorst(ctx context.Context, c *cluster) error {
	steps := []struct {
		name string
		do   func(context.Context, *cluster) error
	}{
		{fmt.Sprintf("%d restarts at once", restartBurst), func(context.Context, *cluster) error {
			c.announcers.Restart(restartBurst)
			return nil
		}},
		{"all announce anew", func(context.Context, *cluster) error {
			c.announcers.RestartAll()
			return nil
		}},
		{"learner restarted", r.restartLearner},
		{"leader killed", r.killLeader},
		{"data centre lost", r.loseDataCentre},
		{"data centre back", r.restoreDataCentre},
	}
	for _, s := range steps {
		if err := r.measureStep(ctx, c, s.name, s.do); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// measureStep measures the resource usage from the start of do for the duration of a window, or
// longer if do takes longer.
func (r *run) measureStep(ctx context.Context, c *cluster, name string, do func(context.Context, *cluster) error) error {
	accepted, failed := c.announcers.Counts()
	began := time.Now()
	uses, err := c.measureWhile(func() error {
		if err := do(ctx, c); err != nil {
			return err
		}
		if !sleep(ctx, r.Window-time.Since(began)) {
			return ctx.Err()
		}
		return nil
	})
	if err != nil {
		return err
	}
	nowAccepted, nowFailed := c.announcers.Counts()
	r.minute.Add(name, time.Since(began).Seconds(),
		fmt.Sprintf("announcements accepted %d, failed %d", nowAccepted-accepted, nowFailed-failed))
	r.record(c, name, worstMinute, uses)
	if !sleep(ctx, r.Settle) {
		return ctx.Err()
	}
	return nil
}

// restartLearner kills the last daemon, which has no disk if there are more daemons than
// replicas, and starts it again until it is ready.
func (r *run) restartLearner(_ context.Context, c *cluster) error {
	d := c.daemons[len(c.daemons)-1]
	d.Kill()
	began := time.Now()
	if err := d.Start(startTimeout); err != nil {
		return err
	}
	ready := time.Since(began)
	after, err := c.read(d)
	if err != nil {
		return err
	}
	r.minute.Add("learner ready", ready.Seconds(), fmt.Sprintf("%d bytes received by then", after.received))
	return nil
}

// killLeader kills the leader, waits until another daemon accepts a change, and starts the killed
// daemon again.
func (r *run) killLeader(ctx context.Context, c *cluster) error {
	dead, err := c.leader(ctx)
	if err != nil {
		return err
	}
	dead.Kill()
	took, err := acceptedBy(ctx, c.other(dead))
	if err != nil {
		return err
	}
	r.minute.Add("change after the leader was killed", took.Seconds(), "until in force on the others")
	began := time.Now()
	if err := dead.Start(startTimeout); err != nil {
		return err
	}
	r.minute.Add("killed leader ready", time.Since(began).Seconds(), "with its disk")
	return nil
}

// other returns a daemon that is not d.
func (c *cluster) other(d *tackstandin.Daemon) *tackstandin.Daemon {
	if c.daemons[0] == d {
		return c.daemons[1]
	}
	return c.daemons[0]
}

// acceptedBy sends a change to d until it is accepted, and returns the time that took.
func acceptedBy(ctx context.Context, d *tackstandin.Daemon) (time.Duration, error) {
	began := time.Now()
	for {
		reply, err := d.Do("set config after kill", "measure-after-kill")
		if err == nil && reply.Status == http.StatusOK {
			return time.Since(began), nil
		}
		if !sleep(ctx, killRetryInterval) {
			return 0, ctx.Err()
		}
	}
}

// loseDataCentre kills the daemons of the first data centre, stops the announcements of its
// backend servers and workers, and waits until its VMs are no longer listed as serving.
func (r *run) loseDataCentre(ctx context.Context, c *cluster) error {
	lost := c.daemons[0].DataCentre
	c.announcers.SetSilent(lost, true)
	for _, d := range c.daemons {
		if d.DataCentre == lost {
			d.Kill()
		}
	}
	began := time.Now()
	left := c.vms
	for left == c.vms && time.Since(began) < lossTimeout {
		if !sleep(ctx, retryInterval) {
			return ctx.Err()
		}
		if reply, err := c.daemons[1].Ask("show vms where health = serving"); err == nil && reply.Confirmed {
			left = len(reply.Rows)
		}
	}
	r.minute.Add("data centre seen as lost", time.Since(began).Seconds(), fmt.Sprintf("%d of %d VMs serve", left, c.vms))
	return nil
}

// restoreDataCentre restarts what loseDataCentre stopped.
func (r *run) restoreDataCentre(_ context.Context, c *cluster) error {
	lost := c.daemons[0].DataCentre
	began := time.Now()
	for _, d := range c.daemons {
		if d.DataCentre != lost {
			continue
		}
		if err := d.Start(startTimeout); err != nil {
			return err
		}
	}
	c.announcers.SetSilent(lost, false)
	r.minute.Add("daemons of the data centre ready", time.Since(began).Seconds(), "one after the other")
	return nil
}
