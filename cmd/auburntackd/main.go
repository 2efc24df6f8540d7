// Command auburntackd is the daemon of auburntack, one on each of its VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"auburntack/io/tackserve"
	"auburntack/io/tacksettings"
	"auburntack/io/tackvm"
	"auburntack/platform"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d := tackserve.Daemon{
		Stdout: os.Stdout, Stderr: os.Stderr, Signals: signals, Run: tackvm.Run,
		ExtraCommands: []*cobra.Command{platformCommand(signals)},
	}
	os.Exit(d.Main(os.Args[1:]))
}

// platformCommand returns the subcommand that serves on the users' platform,
// whose settings file contains the ports, peers and limits.
func platformCommand(stopSignals <-chan os.Signal) *cobra.Command {
	config := ""
	c := &cobra.Command{
		Use:   "platform",
		Short: "Serve on the users' platform",
		Long: "platform runs the roles of one VM with the settings file of the users' platform, whose path is in\n" +
			"the environment variable " + platform.NodeFileVariable + ". A separate file (--config) may have\n" +
			"the sections [job], [move] and [log].",
		Example: "  " + platform.NodeFileVariable + "=/etc/auburntack/node.yaml auburntackd platform\n" +
			"  auburntackd platform --config deploy/tunables.ini",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			tunables, err := tacksettings.LoadTunables(config)
			if err != nil {
				return err
			}
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			return platform.Run(context.WithoutCancel(c.Context()), &tunables, stopSignals, hangups)
		},
	}
	c.Flags().StringVar(&config, "config", "", "`FILE` with tunables, in the format of docs/SETTINGS.md")
	return c
}
