package tackcli

import (
	"context"
	"net/url"

	"github.com/spf13/cobra"

	"auburntack/io/tackclient"
	"auburntack/io/tackcontrol"
)

func (t *Tool) workspaceCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "workspace",
		Short: "Show workspaces: their keys, weights, caps and running work",
		Long: `workspace shows the workspaces in the configuration. --entry is the metrics address of a
control VM. A VM that does not lead knows their configuration but not what is running.
Keys are shown by the first digits of their SHA-256 sums; printf %s "$KEY" | sha256sum gives
them. Keys are added and removed by new versions of the configuration.`,
		Example: `  auburntack --entry 10.0.0.1:9464,10.0.1.1:9464 workspace list
  auburntack --entry 10.0.0.1:9464 workspace show mairies --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(&cobra.Command{
		Use:     "list",
		Short:   "List all workspaces",
		Example: "  auburntack --entry 10.0.0.1:9464 workspace list",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return t.workspaces(c.Context(), "") },
	}, &cobra.Command{
		Use:     "show NAME",
		Short:   "Show one workspace in detail",
		Example: "  auburntack --entry 10.0.0.1:9464 workspace show mairies",
		Args:    cobra.ExactArgs(1),
		RunE:    func(c *cobra.Command, args []string) error { return t.workspaces(c.Context(), args[0]) },
	})
	return c
}

// workspaces prints all workspaces, or the named one in detail.
func (t *Tool) workspaces(ctx context.Context, name string) error {
	path := tackcontrol.WorkspacesPath
	if name != "" {
		path += "?" + url.Values{tackcontrol.WorkspaceName: {name}}.Encode()
	}
	body, err := t.client.Get(ctx, path)
	if err != nil {
		return err
	}
	a, err := tackclient.DecodeAnswer(body)
	if err != nil {
		return err
	}
	return t.print(a, "the VM that answered does not lead")
}
