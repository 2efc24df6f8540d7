// Package tackserve implements the daemon's command line. It checks the settings, runs
// one VM of the system and stops it gracefully on signals.
package tackserve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"auburntack/io/tackbuild"
	"auburntack/io/tacklog"
	"auburntack/io/tacksettings"
)

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type (
	// Run serves with the settings cfg until ctx is done and then stops gracefully.
	Run func(ctx context.Context, cfg tacksettings.Settings, log *logrus.Logger) error

	// Daemon is the command line of auburntackd. Its fields are the process's resources;
	// Stdout and Stderr must be set.
	Daemon struct {
		Stdout  io.Writer
		Stderr  io.Writer
		Signals <-chan os.Signal // the first one requests a graceful stop, the second an immediate one
		Run     Run
		// ExtraCommands holds additional commands, such as other ways to serve.
		ExtraCommands []*cobra.Command

		// after returns a channel that receives a value after d; nil means time.After.
		after func(d time.Duration) <-chan time.Time
	}

	// exitError carries an exit code out of a command that has already printed its
	// messages.
	exitError struct {
		code int
	}
)

// Error implements error.
func (e *exitError) Error() string {
	return fmt.Sprintf("exit code %d", e.code)
}

// Main runs the command given by args and returns the exit code.
func (d *Daemon) Main(args []string) int {
	root := d.command()
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	fmt.Fprintf(d.Stderr, "auburntackd: %v\n", err)
	return exitUsage
}

func (d *Daemon) command() *cobra.Command {
	root := &cobra.Command{
		Use:           "auburntackd",
		Short:         "One VM of auburntack",
		Long:          "auburntackd runs one VM of auburntack: it forwards callers' requests to backend servers\nand carries out the maintenance of pools of VMs.",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetOut(d.Stdout)
	root.SetErr(d.Stderr)
	root.AddCommand(d.serveCommand(), d.checkCommand(), d.settingsCommand(), d.versionCommand())
	root.AddCommand(d.ExtraCommands...)
	return root
}

func (d *Daemon) serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "serve --config FILE",
		Short:   "Serve until SIGTERM or SIGINT",
		Long:    "serve runs until SIGTERM or SIGINT, then stops gracefully and exits with 0.\nA second signal, or stop.deadline_ms, ends it with exit code 1.",
		Example: "  auburntackd serve --config /etc/auburntack/rennes-a-1.ini",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return d.serve(file) },
	}
	addConfigFlag(c, &file)
	return c
}

func (d *Daemon) checkCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "check --config FILE",
		Short:   "Check the settings and print every problem",
		Long:    "check reads the settings and prints every problem, one a line. It exits with 2 if there\nis one, and says nothing otherwise.",
		Example: "  auburntackd check --config /etc/auburntack/rennes-a-1.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := d.load(file, d.Stdout)
			return err
		},
	}
	addConfigFlag(c, &file)
	return c
}

func (d *Daemon) settingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "settings",
		Short:   "Print every setting with unit, default and range",
		Example: "  auburntackd settings",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return tacksettings.WritePage(d.Stdout) },
	}
}

func (d *Daemon) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  auburntackd version",
		Args:    cobra.NoArgs,
		Run:     func(*cobra.Command, []string) { fmt.Fprintln(d.Stdout, tackbuild.Version("auburntackd")) },
	}
}

func addConfigFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "config", "", "settings file (INI)")
	if err := c.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag is defined above
	}
}

// load reads the settings and writes their problems to w.
func (d *Daemon) load(file string, w io.Writer) (tacksettings.Settings, error) {
	cfg, err := tacksettings.Load(file)
	if err != nil {
		fmt.Fprintln(w, err)
		return cfg, &exitError{code: exitUsage}
	}
	return cfg, nil
}

func (d *Daemon) serve(file string) error {
	cfg, err := d.load(file, d.Stderr)
	if err != nil {
		return err
	}
	log := tacklog.New(cfg.Log, cfg.VM.ID, d.Stderr)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, cfg, log) }()
	select {
	case err := <-ended:
		return d.unexpectedEnd(log, err)
	case s := <-d.Signals:
		log.WithField("signal", s.String()).Info("stopping")
		cancel()
	}
	return d.awaitStop(cfg, log, ended)
}

// unexpectedEnd logs that Run returned without a stop request.
func (d *Daemon) unexpectedEnd(log *logrus.Logger, err error) error {
	if err == nil {
		err = errors.New("the daemon ended without a stop request")
	}
	entry := logrus.NewEntry(log)
	if a := advice(err); a != "" {
		entry = entry.WithField("advice", a)
	}
	entry.Errorf("cannot continue: %v", err)
	return &exitError{code: exitFailure}
}

// awaitStop waits for the graceful stop. A stop can hang on a caller that reads its
// answer too slowly or on a disk that no longer responds, which would keep the VM from
// ever being rebooted; so the deadline or a second signal ends it.
func (d *Daemon) awaitStop(cfg tacksettings.Settings, log *logrus.Logger, ended <-chan error) error {
	deadline := d.deadline(cfg.Stop.Deadline.Std())
	select {
	case err := <-ended:
		if err == nil || errors.Is(err, context.Canceled) {
			return nil
		}
		log.Errorf("stop failed: %v", err)
	case s := <-d.Signals:
		log.WithField("signal", s.String()).Error("stopped at once by a second signal; work may have been interrupted")
	case <-deadline:
		log.WithField("deadline", cfg.Stop.Deadline.String()).Error("stopped by the deadline; work may have been interrupted")
	}
	return &exitError{code: exitFailure}
}

func (d *Daemon) deadline(limit time.Duration) <-chan time.Time {
	if d.after != nil {
		return d.after(limit)
	}
	return time.After(limit)
}
