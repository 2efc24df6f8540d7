// Package tackmeasure measures the resource usage of the daemons: bytes on the links between them
// and on the operator port, CPU time and memory. It measures them by the number of daemons, of
// VMs and of changes per second, and in the worst minutes, such as after the loss of a data
// centre. It starts real daemons on loopback, and simulates the backend servers and workers.
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
	// Plan describes what to measure. Its zero value measures nothing.
	Plan struct {
		// Binary is the path of the auburntackd binary, Folder that of the folder for its
		// files.
		Binary string
		Folder string
		// Daemons are the sizes of the clusters, in numbers of daemons.
		Daemons []int
		// VMs are the numbers of VMs, each with a backend server and a worker, in ascending
		// order.
		VMs []int
		// Changes are the rates of configuration changes per second.
		Changes []float64
		// Worst enables the measurement of the worst minutes.
		Worst bool
		// Settle is the time for which the cluster is left alone between measurements, Window
		// the duration of a measurement.
		Settle time.Duration
		Window time.Duration
		// Tabs selects tab-separated tables instead of Markdown.
		Tabs bool
		Out  io.Writer
	}

	// run is one execution of a Plan.
	run struct {
		Plan
		steady  Table
		minute  Table
		samples []sample
	}

	// sample is the resource usage of a daemon in a phase.
	sample struct {
		Usage
		daemons int
		vms     int
		changes float64
	}
)

// worstMinute is the value of sample.changes for samples of a worst minute, which
// have no rate of changes.
const worstMinute = -1

// replicasOf returns the number of daemons with a disk in a cluster of n daemons.
func replicasOf(n int) int {
	if n < 5 {
		return min(n, 3)
	}
	return 5
}

// Full returns the plan whose results are in docs/CAPACITY.md. It takes less than ten minutes.
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

// Run executes the plan and writes the tables to Out. After an error it writes the measurements
// made so far.
func (p Plan) Run(ctx context.Context) error {
	r := &run{Plan: p}
	r.steady.Columns = []string{
		"phase", "daemons", "VMs", "role", "number", "peer B/s", "most", "messages/s",
		"operator B/s", "platform B/s", "CPU ms/s", "most", "memory MB, most",
	}
	r.minute.Columns = []string{"worst minute", "took s", "what was counted"}
	for _, n := range p.Daemons {
		if err := r.measureCluster(ctx, n, n == p.Daemons[len(p.Daemons)-1]); err != nil {
			return errors.Join(err, r.write())
		}
	}
	return r.write()
}

// measureCluster measures a cluster of n daemons at all numbers of VMs and, if last is set,
// with changes and in the worst minutes.
func (r *run) measureCluster(ctx context.Context, n int, last bool) error {
	folder := filepath.Join(r.Folder, fmt.Sprintf("daemons-%d", n))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("tackmeasure: %w", err)
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
		if err := r.measureWindow(ctx, c, "steady", 0); err != nil {
			return err
		}
	}
	if !last {
		return nil
	}
	for _, rate := range r.Changes {
		if err := r.measureChanges(ctx, c, rate); err != nil {
			return err
		}
	}
	if r.Worst {
		return r.measureWorst(ctx, c)
	}
	return nil
}

// measureChanges measures the cluster under configuration changes at the given rate.
func (r *run) measureChanges(ctx context.Context, c *cluster, rate float64) error {
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
	err := r.measureWindow(ctx, c, fmt.Sprintf("%g changes/s", rate), rate)
	stop()
	l := <-done
	slices.Sort(l.took)
	r.minute.Add(fmt.Sprintf("%g changes/s", rate), quantileSeconds(l.took, 1),
		fmt.Sprintf("%d in force, median %v, p99 %v, failed %d", len(l.took), quantile(l.took, 0.5), quantile(l.took, 0.99), l.failed))
	return err
}

// measureWindow waits for the cluster to settle and measures it.
func (r *run) measureWindow(ctx context.Context, c *cluster, phase string, changes float64) error {
	if !sleep(ctx, r.Settle) {
		return ctx.Err()
	}
	uses, err := c.measureWhile(func() error {
		if !sleep(ctx, r.Window) {
			return ctx.Err()
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.record(c, phase, changes, uses)
	return nil
}

// measureWhile calls f and returns the resource usage during the call of each daemon that runs
// both before and after it.
func (c *cluster) measureWhile(f func() error) ([]Usage, error) {
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
	var uses []Usage
	for _, d := range c.daemons {
		first, ok := from[d]
		last, still := to[d]
		if ok && still {
			u := usageBetween(first, last)
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

// record records the resource usage of the daemons and adds a row per role to the table.
func (r *run) record(c *cluster, phase string, changes float64, uses []Usage) {
	for _, u := range uses {
		r.samples = append(r.samples, sample{Usage: u, daemons: len(c.daemons), vms: c.vms, changes: changes})
	}
	for _, role := range []Role{RoleLeader, RoleReplica, RoleLearner} {
		var of []Usage
		for _, u := range uses {
			if u.Role == role {
				of = append(of, u)
			}
		}
		if len(of) == 0 {
			continue
		}
		r.steady.Add(phase, len(c.daemons), c.vms, role, len(of),
			mean(of, peerBytes), maxOf(of, peerBytes), mean(of, messages), mean(of, operatorBytes), mean(of, platformBytes),
			mean(of, cpu), maxOf(of, cpu), maxOf(of, memory))
	}
}

func peerBytes(u Usage) float64     { return u.Sent + u.Received }
func messages(u Usage) float64      { return u.Messages }
func operatorBytes(u Usage) float64 { return u.Operator }
func platformBytes(u Usage) float64 { return u.Platform }
func cpu(u Usage) float64           { return u.CPU }
func memory(u Usage) float64        { return u.Memory }

func mean(uses []Usage, of func(Usage) float64) float64 {
	var sum float64
	for _, u := range uses {
		sum += of(u)
	}
	return sum / float64(len(uses))
}

func maxOf(uses []Usage, of func(Usage) float64) float64 {
	var m float64
	for _, u := range uses {
		m = max(m, of(u))
	}
	return m
}

// quantileSeconds returns the p-quantile of sorted, in seconds.
func quantileSeconds(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)].Seconds()
}

func quantile(sorted []time.Duration, p float64) time.Duration {
	return time.Duration(quantileSeconds(sorted, p) * float64(time.Second)).Round(time.Millisecond)
}
