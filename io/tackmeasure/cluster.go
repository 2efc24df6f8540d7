package tackmeasure

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"auburntack/io/tackstandin"
)

const (
	dataCentres       = 10
	startTimeout      = time.Minute
	concurrentSenders = 32
	maxAttempts       = 20
)

// cluster is a cluster of daemons with announcers and a platform.
type cluster struct {
	daemons    []*tackstandin.Daemon
	announcers *Announcers
	platform   platform
	vms        int
	serial     atomic.Int64
}

// newCluster starts n daemons, distributed over up to ten data centres. The first replicas of
// them have a disk.
func newCluster(ctx context.Context, binary, folder string, n, replicas int) (*cluster, error) {
	var specs []tackstandin.DaemonSpec
	for i := range n {
		specs = append(specs, tackstandin.DaemonSpec{
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
			Replica:    i < replicas,
		})
	}
	c := &cluster{}
	if err := c.platform.start(); err != nil {
		return nil, err
	}
	var err error
	settings := fmt.Sprintf("[platform]\naddress = %s\n", c.platform.address)
	c.daemons, err = tackstandin.NewCluster(binary, folder, settings, specs)
	if err != nil {
		c.stop()
		return nil, err
	}
	if err := c.startDaemons(); err != nil {
		c.stop()
		return nil, err
	}
	c.announcers = NewAnnouncers(c.daemons)
	return c, c.prepare(ctx)
}

func (c *cluster) startDaemons() error {
	failed := make(chan error, len(c.daemons))
	for _, d := range c.daemons {
		go func() { failed <- d.Start(startTimeout) }()
	}
	var first error
	for range c.daemons {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// stop stops the announcers and all running daemons.
func (c *cluster) stop() {
	if c.announcers != nil {
		c.announcers.Stop()
	}
	for _, d := range c.daemons {
		if d.Running() {
			d.Kill()
		}
	}
	c.platform.stop()
}

// prepare creates the pools with one service each, and the quotas of the teams.
func (c *cluster) prepare(ctx context.Context) error {
	var first, second []string
	for i := range pools {
		first = append(first, fmt.Sprintf("create pool pool-%d", i))
		second = append(second, fmt.Sprintf("create service %s on pool pool-%d", serviceName(i), i))
	}
	for i := range teams {
		first = append(first, fmt.Sprintf("set quota team-%d slots %d", i, 100))
	}
	if err := c.doAll(ctx, first); err != nil {
		return err
	}
	return c.doAll(ctx, second)
}

// grow adds VMs, each with a backend server and a worker, until there are n VMs.
func (c *cluster) grow(ctx context.Context, n int) error {
	var commands []string
	for i := c.vms; i < n; i++ {
		commands = append(commands, fmt.Sprintf("add vm %s to pool pool-%d", vmName(i), i%pools))
	}
	c.vms = n
	c.announcers.Grow(n)
	return c.doAll(ctx, commands)
}

// doAll sends the commands concurrently, distributed over the daemons, until all are accepted.
func (c *cluster) doAll(ctx context.Context, commands []string) error {
	var sending sync.WaitGroup
	var next atomic.Int64
	failed := make(chan error, concurrentSenders)
	for range concurrentSenders {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for i := int(next.Add(1)) - 1; i < len(commands); i = int(next.Add(1)) - 1 {
				if err := c.doOne(ctx, i, commands[i]); err != nil {
					failed <- err
					return
				}
			}
		}()
	}
	sending.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return ctx.Err()
	}
}

// doOne sends a command until it is accepted, with the same ID in each attempt.
func (c *cluster) doOne(ctx context.Context, i int, command string) error {
	id := fmt.Sprintf("measure-%d", c.serial.Add(1))
	var last string
	for try := range maxAttempts {
		d := c.daemons[(i+try)%len(c.daemons)]
		reply, err := d.Do(command, id)
		if err == nil && reply.Status == http.StatusOK {
			return nil
		}
		last = fmt.Sprint(err, reply.Status, reply.Error.Message)
		if !sleep(ctx, retryInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("tackmeasure: %q was not accepted: %s", command, last)
}

// load sends configuration changes at the given rate until ctx ends. It returns the latencies of
// the accepted ones and the number of failed ones.
func (c *cluster) load(ctx context.Context, perSecond float64) (took []time.Duration, failed int) {
	var mu sync.Mutex
	var sending sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			sending.Wait()
			return took, failed
		case <-ticker.C:
		}
		sending.Add(1)
		go func() {
			defer sending.Done()
			began := time.Now()
			err := c.doOne(context.Background(), i, fmt.Sprintf("set config key-%d value-%d", i%500, i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			took = append(took, time.Since(began))
		}()
	}
}

// leader waits until there is a leader and returns it.
func (c *cluster) leader(ctx context.Context) (*tackstandin.Daemon, error) {
	for {
		for _, d := range c.daemons {
			if d.Running() && roleOf(d) == RoleLeader {
				return d, nil
			}
		}
		if !sleep(ctx, retryInterval/10) {
			return nil, fmt.Errorf("tackmeasure: no leader: %w", ctx.Err())
		}
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
