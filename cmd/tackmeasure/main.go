// Command tackmeasure measures the resource use of daemons that run as
// processes on this machine and writes the tables of docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"auburntack/io/tackmeasure"
	"auburntack/io/tacktimeline"
	"auburntack/platform/tackload"

	"github.com/spf13/cobra"
)

// runTimeout limits the duration of a run, in case it hangs.
const runTimeout = 15 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var daemon string
	var quick, tabs bool
	var sizes, daemons []int
	cmd := &cobra.Command{
		Use:           "tackmeasure --daemon PATH",
		Short:         "Measure bytes, processor time and memory of real daemons",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan := tackmeasure.Full()
			if quick {
				plan = tackmeasure.Quick()
			}
			if len(sizes) > 0 {
				plan.VMs = sizes
			}
			if len(daemons) > 0 {
				plan.Daemons = daemons
			}
			plan.Binary, plan.Tabs, plan.Out = daemon, tabs, os.Stdout
			return run(cmd.Context(), plan)
		},
	}
	cmd.Flags().StringVar(&daemon, "daemon", "", "path of a built auburntackd")
	cmd.Flags().BoolVar(&quick, "quick", false, "small sizes, less than a minute")
	cmd.Flags().BoolVar(&tabs, "tabs", false, "write tables with tabs")
	cmd.Flags().IntSliceVar(&daemons, "daemons", nil, "numbers of daemons, each a cluster")
	cmd.Flags().IntSliceVar(&sizes, "vms", nil, "numbers of VMs, ascending")
	cmd.MarkFlagRequired("daemon")
	cmd.AddCommand(timelineCommand(), platformCommand())
	return cmd
}

func timelineCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "timeline [FILE]",
		Short: "Show a log of control VMs second by second: pools, jobs, moves",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in := cmd.InOrStdin()
			if len(args) > 0 {
				f, err := os.Open(args[0])
				if err != nil {
					return err
				}
				defer f.Close()
				in = f
			}
			var t tacktimeline.Timeline
			if err := t.Read(in); err != nil {
				return err
			}
			return t.Write(cmd.OutOrStdout())
		},
	}
}

func platformCommand() *cobra.Command {
	cfg := tackload.Config{Out: os.Stdout}
	var sizes []int
	cmd := &cobra.Command{
		Use:   "platform --daemon PATH",
		Short: "Load control VMs and entry VMs with simulated workers, and show the resource usage of each",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, cfg.Workers = range sizes {
				if err := runLoad(cmd.Context(), cfg); err != nil {
					return err
				}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Binary, "daemon", "", "path of a built auburntackd")
	f.IntSliceVar(&sizes, "workers", []int{349, 1500, 6000}, "numbers of workers, one run each")
	f.IntVar(&cfg.Controls, "controls", 5, "control VMs")
	f.IntVar(&cfg.Entries, "entries", 2, "entry VMs")
	f.Float64Var(&cfg.Rate, "rate", 12, "jobs per second per thousand workers")
	f.DurationVar(&cfg.For, "for", 24*time.Second, "duration of the load")
	f.BoolVar(&cfg.Kill, "kill", false, "kill the leader afterwards, and show how long recovery takes")
	f.StringVar(&cfg.Profile, "profile", "", "file for a CPU profile of the leader")
	f.StringVar(&cfg.Folder, "folder", "", "folder for the processes' logs and data; if empty, they are removed")
	f.Uint8Var(&cfg.Network, "network", 40, "second byte of the loopback addresses")
	cmd.MarkFlagRequired("daemon")
	return cmd
}

func runLoad(ctx context.Context, cfg tackload.Config) error {
	if cfg.Folder == "" {
		folder, err := os.MkdirTemp("", "tackload")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		cfg.Folder = folder
	}
	result, err := tackload.Run(ctx, cfg)
	if err != nil {
		return err
	}
	result.Write(cfg.Out)
	return nil
}

// run carries out the plan in a temporary folder, which it removes.
func run(ctx context.Context, plan tackmeasure.Plan) error {
	folder, err := os.MkdirTemp("", "tackmeasure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	plan.Folder = folder
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	return plan.Run(ctx)
}
