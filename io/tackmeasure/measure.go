// Package tackmeasure measures what the daemons use: bytes on the links
// between them and on the operators' port, processor time and memory, by the
// number of daemons, of VMs and of changes a second, and in the worst minutes.
// It starts real daemons on loopback, with light announcers in the place of
// backend servers and workers.
package tackmeasure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"auburntack/io/tackstandin"
)

type (
	// Plan says what to measure. Its zero value measures nothing.
	Plan struct {
		// Binary is the built auburntackd, Folder where its files go.
		Binary string
		Folder string
		// Daemons are the numbers of daemons, each a cluster of its own.
		Daemons []int
		// VMs are the numbers of VMs, each with a backend server and a
		// worker, in ascending order.
		VMs []int
		// Changes are the rates of configuration changes a second.
		Changes []float64
		// Worst has the worst minutes measured too.
		Worst bool
		// Settle is how long each size is left alone before the window.
		Settle time.Duration
		Window time.Duration
		// Tabs writes tables for programs in the place of Markdown.
		Tabs bool
		Out  io.Writer
	}

	// run is one execution of a Plan.
	run struct {
		Plan
		steady Table
		minute Table
		uses   []sample
	}

	// sample is what a daemon used in a phase.
	sample struct {
		Use
		daemons int
		vms     int
		changes float64
	}
)

// worstMinute marks a sample that is of no steady window.
const worstMinute = -1

// replicasOf returns how many of n daemons have a disk.
func replicasOf(n int) int {
	if n < 5 {
		return min(n, 3)
	}
	return 5
}

// Full returns the plan that docs/CAPACITY.md is made by; it takes under ten
// minutes.
func Full() Plan {
	return Plan{
		Daemons: []int{3, 8, 12},
		VMs:     []int{100, 500, 2300},
		Changes: []float64{1, 5, 20},
		Worst:   true,
		Settle:  8 * time.Second,
		Window:  12 * time.Second,
	}
}

// Quick returns a plan that takes less than a minute.
func Quick() Plan {
	return Plan{
		Daemons: []int{3},
		VMs:     []int{50, 100, 200},
		Changes: []float64{5},
		Settle:  2 * time.Second,
		Window:  4 * time.Second,
	}
}

// Run measures by the plan and writes the tables to Out, after an error with
// what was measured until then.
func (p Plan) Run(ctx context.Context) error {
	r := &run{Plan: p}
	r.steady.Columns = []string{
		"phase", "daemons", "VMs", "role", "number", "peer B/s", "most", "messages/s",
		"operator B/s", "platform B/s", "CPU ms/s", "most", "memory MB, most",
	}
	r.minute.Columns = []string{"worst minute", "took s", "what was counted"}
	for _, n := range p.Daemons {
		if err := r.cluster(ctx, n, n == p.Daemons[len(p.Daemons)-1]); err != nil {
			return errors.Join(err, r.write())
		}
	}
	return r.write()
}

// cluster measures one number of daemons at all sizes, and with last also
// changes and the worst minutes.
func (r *run) cluster(ctx context.Context, n int, last bool) error {
	folder := filepath.Join(r.Folder, fmt.Sprintf("daemons-%d", n))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	c, err := newCluster(ctx, r.Binary, folder, n, replicasOf(n))
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return err
	}
	for _, vms := range r.VMs {
		if err := c.grow(ctx, vms); err != nil {
			return err
		}
		if err := r.window(ctx, c, "steady", 0); err != nil {
			return err
		}
	}
	if !last {
		return nil
	}
	for _, rate := range r.Changes {
		if err := r.changes(ctx, c, rate); err != nil {
			return err
		}
	}
	if r.Worst {
		return r.worst(ctx, c)
	}
	return nil
}

// changes measures while configuration changes come at a rate.
func (r *run) changes(ctx context.Context, c *cluster, rate float64) error {
	loading, stop := context.WithCancel(ctx)
	type loaded struct {
		took   []time.Duration
		failed int
	}
	done := make(chan loaded, 1)
	go func() {
		took, failed := c.load(loading, rate)
		done <- loaded{took, failed}
	}()
	err := r.window(ctx, c, fmt.Sprintf("%g changes/s", rate), rate)
	stop()
	l := <-done
	slices.Sort(l.took)
	r.minute.Add(fmt.Sprintf("%g changes/s", rate), share(l.took, 1),
		fmt.Sprintf("%d in force, median %v, p99 %v, failed %d", len(l.took), short(l.took, 0.5), short(l.took, 0.99), l.failed))
	return err
}

// window waits for the cluster to settle and measures it.
func (r *run) window(ctx context.Context, c *cluster, phase string, changes float64) error {
	if !sleep(ctx, r.Settle) {
		return ctx.Err()
	}
	uses, err := c.during(func() error {
		if !sleep(ctx, r.Window) {
			return ctx.Err()
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.keep(c, phase, changes, uses)
	return nil
}

// during returns what each daemon used while f ran, of those that run at both
// ends of it.
func (c *cluster) during(f func() error) ([]Use, error) {
	from, err := c.readAll()
	if err != nil {
		return nil, err
	}
	if err := f(); err != nil {
		return nil, err
	}
	to, err := c.readAll()
	if err != nil {
		return nil, err
	}
	var uses []Use
	for _, d := range c.daemons {
		first, ok := from[d]
		last, still := to[d]
		if ok && still {
			u := use(first, last)
			u.Role = roleOf(d)
			if u.Role != RoleLeader {
				u.Platform = 0
			}
			uses = append(uses, u)
		}
	}
	return uses, nil
}

func (c *cluster) readAll() (map[*tackstandin.Daemon]reading, error) {
	readings := make(map[*tackstandin.Daemon]reading)
	for _, d := range c.daemons {
		if !d.Running() {
			continue
		}
		r, err := c.read(d)
		if err != nil {
			return nil, err
		}
		readings[d] = r
	}
	return readings, nil
}

// keep notes what was used and adds it to the table by role.
func (r *run) keep(c *cluster, phase string, changes float64, uses []Use) {
	for _, u := range uses {
		r.uses = append(r.uses, sample{Use: u, daemons: len(c.daemons), vms: c.vms, changes: changes})
	}
	for _, role := range []Role{RoleLeader, RoleReplica, RoleLearner} {
		var of []Use
		for _, u := range uses {
			if u.Role == role {
				of = append(of, u)
			}
		}
		if len(of) == 0 {
			continue
		}
		r.steady.Add(phase, len(c.daemons), c.vms, role, len(of),
			mean(of, peerBytes), most(of, peerBytes), mean(of, messages), mean(of, operatorBytes), mean(of, platformBytes),
			mean(of, cpu), most(of, cpu), most(of, memory))
	}
}

func peerBytes(u Use) float64     { return u.Sent + u.Received }
func messages(u Use) float64      { return u.Messages }
func operatorBytes(u Use) float64 { return u.Operator }
func platformBytes(u Use) float64 { return u.Platform }
func cpu(u Use) float64           { return u.CPU }
func memory(u Use) float64        { return u.Memory }

func mean(uses []Use, of func(Use) float64) float64 {
	var sum float64
	for _, u := range uses {
		sum += of(u)
	}
	return sum / float64(len(uses))
}

func most(uses []Use, of func(Use) float64) float64 {
	var m float64
	for _, u := range uses {
		m = max(m, of(u))
	}
	return m
}

// share returns the time in seconds that the share p of sorted took at most.
func share(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)].Seconds()
}

func short(sorted []time.Duration, p float64) time.Duration {
	return time.Duration(share(sorted, p) * float64(time.Second)).Round(time.Millisecond)
}
