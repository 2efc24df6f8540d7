package tackcli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
)

// burnPath is where the operator port has the report on service-level burn.
const burnPath = "/report/burn"

func (t *Tool) reportCommand() *cobra.Command {
	report := &cobra.Command{
		Use:     "report",
		Short:   "Report on the fleet",
		Example: "  auburntack report burn",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	report.AddCommand(t.burnCommand())
	return report
}

func (t *Tool) burnCommand() *cobra.Command {
	var html string
	c := &cobra.Command{
		Use:   "burn",
		Short: "Report how fast each service uses up its error budget, and on what",
		Example: `  auburntack report burn
  auburntack report burn --html burn.html`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return t.burn(c.Context(), html) },
	}
	c.Flags().StringVar(&html, "html", "", "write a self-contained page to `FILE`")
	return c
}

func (t *Tool) burn(ctx context.Context, html string) error {
	body, err := t.client.Get(ctx, burnPath)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(t.Stdout, string(body))
	return err
}
