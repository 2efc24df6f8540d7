package tackcli

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const burnReport = `{"time_ms":1795000000000,"services":[{"name":"dawn-svc","objective_percent":99.9,"budget_left":0.5,` +
	`"windows":[{"span_ms":3600000,"counts":{"Good":100,"Late":1},"burn":9.9}],"time_left_ms":3600000}],"teams":[],"labels":[]}`

func TestReportBurn(t *testing.T) {
	entry := answering(t, http.StatusOK, burnReport)
	assertRun(t, []string{"--entry", entry, "report", "burn"}, ExitDone, "service levels at 2026-", "")
	assertRun(t, []string{"--entry", entry, "report", "burn", "--output", "json"}, ExitDone, burnReport, "")
	assertRun(t, []string{"--entry", unreachable, "report", "burn"}, ExitUnknown, "", "nobody answered")
}

// An invalid report must not overwrite the last complete page, as it did when
// the file was opened before the report was decoded.
func TestReportKeepsTheLastWholePage(t *testing.T) {
	folder := t.TempDir()
	page := filepath.Join(folder, "burn.html")
	good := answering(t, http.StatusOK, burnReport)
	bad := answering(t, http.StatusOK, `{"services":`)
	assertRun(t, []string{"--entry", good, "report", "burn", "--html", page}, ExitDone, "", "")
	assertRun(t, []string{"--entry", bad, "report", "burn", "--html", page}, ExitRefused, "", "cannot be read")
	text, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(text), "<html") && !strings.Contains(string(text), "<!DOCTYPE") {
		t.Errorf("page %q, %v", text, err)
	}
	if files, _ := os.ReadDir(folder); len(files) != 1 {
		t.Errorf("%d files left, want the page alone", len(files))
	}
}
