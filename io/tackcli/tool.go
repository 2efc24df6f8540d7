// Package tackcli implements the command line for operators: it parses the
// arguments, sends a query or command to the system, prints the result and
// returns an exit code.
package tackcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/io/tackbuild"
	"auburntack/io/tackclient"
)

const (
	// ExitDone is the exit code of success.
	ExitDone = 0
	// ExitRefused is the exit code if the request was refused or failed,
	// without effect.
	ExitRefused = 1
	// ExitUsage is the exit code if the command line, query or command can't be
	// parsed.
	ExitUsage = 2
	// ExitUnknown is the exit code if no entry answered, or if the answer was
	// lost and the outcome is unknown.
	ExitUnknown = 3
)

const (
	outputTable = "table"
	outputJSON  = "json"

	defaultEntry = "127.0.0.1:7001"
)

type (
	// Tool is the command line tool. Stdout and Stderr must be set.
	Tool struct {
		Stdout io.Writer
		Stderr io.Writer
		Demo   func(ctx context.Context, w io.Writer) error

		client  tackclient.Client
		output  output
		timeout int
		started bool // the arguments were valid and the command has started
	}

	// output is the output format. It implements pflag.Value.
	output string
)

// Main runs the command that args name and returns the exit code.
func (t *Tool) Main(ctx context.Context, args []string) int {
	t.started = false
	root := t.command()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(t.Stderr, "auburntack: %s\n", printable(strings.TrimPrefix(err.Error(), "tackclient: ")))
	if !t.started {
		fmt.Fprintln(t.Stderr, "auburntack: see auburntack help")
		return ExitUsage
	}
	return exitCode(err)
}

func (t *Tool) command() *cobra.Command {
	root := &cobra.Command{
		Use:           "auburntack",
		Short:         "Query and control a fleet that auburntack manages",
		Long:          "auburntack shows what runs where and what a wave would cost, and runs commands for moves,\ndrains, waves and configuration. Exit codes: 0 done, 1 refused or failed, 2 wrong usage,\n3 outcome unknown (nobody answered).",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRun: func(*cobra.Command, []string) {
			t.started = true
			t.client.Timeout = tackclock.Duration(t.timeout)
		},
	}
	root.SetOut(t.Stdout)
	root.SetErr(t.Stderr)
	t.output = outputTable
	flags := root.PersistentFlags()
	flags.StringSliceVar(&t.client.Entries, "entry", []string{defaultEntry}, "operator ports to try in turn, `ADDR[,ADDR]`")
	flags.Var(&t.output, "output", "form of the answer, table or json")
	flags.IntVar(&t.timeout, "timeout-ms", int(tackclient.DefaultTimeout), "how long to try in all, in `MS`")
	root.AddCommand(t.askCommand(), t.doCommand(), t.reportCommand(), t.workspaceCommand(), t.demoCommand(), t.versionCommand())
	return root
}

func (t *Tool) askCommand() *cobra.Command {
	return &cobra.Command{
		Use:   `ask "QUERY"`,
		Short: "Ask what runs where, and what a wave would cost",
		Long: `ask runs one query:

  show vms|pools|services|backend_servers|workers|waves|budgets|quotas|config|peers|tasks
       [where FIELD = VALUE [and ...]]
  cost wave W
  cost wave over pool P action reboot|upgrade
  explain vm V
  history [of vm V | of config KEY]`,
		Example: `  auburntack ask "show vms where pool = gazetteer"
  auburntack ask "cost wave over pool gazetteer action reboot"
  auburntack --output json ask "show peers"`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return t.ask(c.Context(), args[0]) },
	}
}

func (t *Tool) doCommand() *cobra.Command {
	var id string
	var expect uint64
	c := &cobra.Command{
		Use:   `do "COMMAND"`,
		Short: "Run a command and print the revision at which it was accepted",
		Long: `do runs one command:

  create pool P                      delete pool P
  create service S on pool P         set budget S min_available N[%]
  add vm V to pool P                 move vm V to pool P
  drain vm V                         undrain vm V
  remove vm V
  create wave W over pool P action reboot|upgrade [max_parallel N]
  start|pause|resume|cancel wave W
  set quota TEAM slots N [cores N]   set config KEY VALUE
  create task T for TEAM on pool P cores N memory_mb N
       [class C] [minutes N] [idempotent yes|no]
  cancel task T
  add peer P address A data_centre D [replica yes|no]
  remove peer P

If the answer is lost, the command is sent again with the same id through the next entry,
so that it takes effect once.`,
		Example: `  auburntack do "create pool gazetteer"
  auburntack do "drain vm w-17" --expect 812
  auburntack --entry 10.0.0.1:7001,10.0.1.1:7001 do "start wave tuesday" --id tuesday-start`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cmd := tackclient.Command{Text: args[0], ID: tackid.CommandID(id), Expect: tackid.Revision(expect)}
			return t.do(c.Context(), cmd)
		},
	}
	c.Flags().StringVar(&id, "id", "", "command id, to send a command again safely (random if left out)")
	c.Flags().Uint64Var(&expect, "expect", 0, "refuse if what the command affects has changed since this `REVISION`")
	return c
}

func (t *Tool) demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "demo",
		Short:   "Run the whole system in this process, with a wave and the loss of a VM",
		Long:    "demo runs three data centres on loopback in this process, with stand-in backend servers,\ncallers and a platform, runs a wave over a pool and loses a VM during the wave. It prints\nthe three measures and each invariant, and exits with 1 if one broke. It takes under a minute.",
		Example: "  auburntack demo",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return t.Demo(c.Context(), t.Stdout) },
	}
}

func (t *Tool) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  auburntack version",
		Args:    cobra.NoArgs,
		Run:     func(*cobra.Command, []string) { fmt.Fprintln(t.Stdout, tackbuild.Version("auburntack")) },
	}
}

// exitCode returns the exit code for err. ExitRefused means that the request
// certainly had no effect; if no entry answered, the outcome is unknown.
func exitCode(err error) int {
	var unknown *tackclient.UnknownOutcomeError
	var unavailable *tackclient.UnavailableError
	var syntax *tackclient.SyntaxError
	switch {
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unavailable) && !unavailable.Answered:
		return ExitUnknown
	case errors.As(err, &syntax):
		return ExitUsage
	default:
		return ExitRefused
	}
}

// String implements pflag.Value.
func (o *output) String() string {
	return string(*o)
}

// Set implements pflag.Value.
func (o *output) Set(text string) error {
	if text != outputTable && text != outputJSON {
		return fmt.Errorf("%q is neither %s nor %s", text, outputTable, outputJSON)
	}
	*o = output(text)
	return nil
}

// Type implements pflag.Value.
func (o *output) Type() string {
	return "FORM"
}
