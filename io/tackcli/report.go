package tackcli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"auburntack/core/tackburn"
	"auburntack/io/tackreport"
)

// burnPath is the path of the burn-rate report on the operator port.
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

// burn prints the report, or writes it to the file html if that is not empty.
func (t *Tool) burn(ctx context.Context, html string) error {
	body, err := t.client.Get(ctx, burnPath)
	if err != nil {
		return err
	}
	var r tackburn.Report
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("tackcli: the report cannot be read: %w", err)
	}
	if html != "" {
		return writePage(html, r)
	}
	if t.output == outputJSON {
		_, err := fmt.Fprintf(t.Stdout, "%s\n", body)
		return err
	}
	return tackreport.Text(t.Stdout, r)
}

// writePage writes the page to a temporary file and renames it, so that a job
// that is interrupted doesn't leave a partial page in place of the last
// complete one.
func writePage(file string, r tackburn.Report) error {
	f, err := os.CreateTemp(filepath.Dir(file), ".burn-*")
	if err != nil {
		return fmt.Errorf("tackcli: %w", err)
	}
	defer os.Remove(f.Name()) // fails if the rename succeeded
	err = tackreport.HTML(f, r)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Chmod(f.Name(), 0o644)
	}
	if err == nil {
		err = os.Rename(f.Name(), file)
	}
	if err != nil {
		return fmt.Errorf("tackcli: %w", err)
	}
	return nil
}
