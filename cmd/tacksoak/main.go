// Command tacksoak runs the real programs as processes on this machine, injects
// faults on a seeded schedule, and checks the guarantees of the system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"auburntack/platform/tacksoak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "tacksoak:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	cfg := tacksoak.Config{Out: os.Stdout}
	var seeds, processes int
	c := &cobra.Command{
		Use:           "tacksoak --binary FILE",
		Short:         "Inject random faults and check the guarantees of the system",
		Example:       "  tacksoak --binary bin/auburntackd --seed 1 --seeds 50 --for 20s",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg.Entries = max(1, processes-cfg.Controls)
			return run(c.Context(), cfg, seeds)
		},
	}
	f := c.Flags()
	f.StringVar(&cfg.Binary, "binary", "bin/auburntackd", "the daemon")
	f.Uint64Var(&cfg.Seed, "seed", 1, "the first seed")
	f.IntVar(&seeds, "seeds", 1, "number of seeds to run, one after the other")
	f.DurationVar(&cfg.For, "for", 20*time.Second, "how long faults are injected")
	f.IntVar(&processes, "processes", 6, "processes of the system")
	f.IntVar(&cfg.Controls, "controls", 3, "control VMs among them")
	f.IntVar(&cfg.Workers, "workers", 12, "workers")
	f.IntVar(&cfg.Zones, "zones", 1, "zones of control VMs and workers")
	f.BoolVar(&cfg.Upkeep, "upkeep", false, "inject upkeep waves and changes of leaders beside the other faults")
	f.BoolVar(&cfg.LeaderChanges, "leader-changes", false, "inject only changes of leaders, with waves and moves under way")
	f.BoolVar(&cfg.Losses, "losses", false, "inject only losses of folders, power and control VMs, and exchanges of the seeds")
	f.IntVar(&cfg.Tolerance, "tolerance", 1, "control VMs that may be lost at once")
	f.DurationVar(&cfg.EndDelay, "end-delay", 0, "how long processes on a VM go on at most after a call that ends them")
	f.Uint8Var(&cfg.Network, "network", 60, "second byte of the loopback addresses")
	return c
}

func run(ctx context.Context, cfg tacksoak.Config, seeds int) error {
	failedSeeds := 0
	for range seeds {
		folder, err := os.MkdirTemp("", "tacksoak")
		if err != nil {
			return err
		}
		cfg.Folder = folder
		result, err := tacksoak.Run(ctx, cfg)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d, load control in force %t: %d faults, %d jobs accepted, %d refusals (%d not at once, %d of them without a fault), %d starts, %d moves, %d upkeeps, "+
			"%d answers checked, %d jobs given up, %d violations\n",
			cfg.Seed, tacksoak.LoadControlled(cfg.Seed), result.Faults, result.Accepted, result.Refused, result.RefusedLate, result.RefusedLateCalm,
			result.Starts, result.Moves, result.Upkeeps, result.Checked, result.GivenUp, len(result.Violations))
		for _, v := range result.Violations {
			fmt.Println("  violation:", v)
		}
		if len(result.Violations) > 0 {
			failedSeeds++
			fmt.Println("  logs in", folder)
		} else if err := os.RemoveAll(folder); err != nil {
			return err
		}
		cfg.Seed++
		if ctx.Err() != nil {
			break
		}
	}
	if failedSeeds > 0 {
		return fmt.Errorf("%d of %d seeds violated a guarantee", failedSeeds, seeds)
	}
	return nil
}
