package tackcli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// unreachable is an address on which no server can listen.
const unreachable = "127.0.0.1:0"

// The exit code must tell whether a command was refused, was invalid or has an
// unknown outcome. Otherwise a script goes on after a refused drain, or repeats
// a command with an unknown outcome under a new id.
func TestExitCodesTellWhatHappened(t *testing.T) {
	accepted := answering(t, http.StatusOK, `{"accepted":true,"revision":812,"not_in_force":["brest-1","brest-2"]}`)
	table := answering(t, http.StatusOK, `{"confirmed":true,"revision":9007199254740993,"columns":["vm","pool","touched"],"rows":[["w-1","gazetteer",9007199254740993],["w-10","",true]]}`)
	old := answering(t, http.StatusOK, `{"confirmed":false,"revision":3,"columns":["vm"],"rows":[["\u001b[2J"]]}`)
	refused := answering(t, http.StatusConflict, `{"error":{"code":"budget","message":"names-api needs 7 of 8"}}`)
	unread := answering(t, http.StatusBadRequest, `{"error":{"message":"line 1, column 7: got vn","line":1,"column":7,"expected":"vm"}}`)
	late := answering(t, http.StatusGatewayTimeout, `{"error":{"code":"unknown","message":"no answer in time"}}`)
	waiting := answering(t, http.StatusServiceUnavailable, `{"error":{"code":"did_not_run","message":"no majority","did_not_run":true}}`)
	html := answering(t, http.StatusOK, `<html>`)
	tests := []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{"done", []string{"--entry", accepted, "do", "drain vm w-17"}, ExitDone,
			"accepted at revision 812\nnot in force on brest-1, brest-2, which lost contact and stopped relying on what they know\n", ""},
		{"done as JSON", []string{"--entry", accepted, "--output", "json", "do", "drain vm w-17", "--id", "mine"}, ExitDone,
			`{"id":"mine","accepted":true,"revision":812,"not_in_force":["brest-1","brest-2"]}` + "\n", ""},
		{"table", []string{"--entry", table, "ask", "show vms"}, ExitDone,
			"vm    pool       touched\nw-1   gazetteer  9007199254740993\nw-10  -          true\n", ""},
		{"table as JSON", []string{"--entry", table, "ask", "show vms", "--output", "json"}, ExitDone,
			`{"confirmed":true,"revision":9007199254740993,"columns":["vm","pool","touched"],"rows":[["w-1","gazetteer",9007199254740993],["w-10","",true]]}` + "\n", ""},
		{"unconfirmed", []string{"--entry", old, "ask", "show vms"}, ExitDone, "vm\n\\x1b[2J\n", "not confirmed"},
		{"refused", []string{"--entry", refused, "do", "drain vm w-17"}, ExitRefused, "", "refused: budget: names-api needs 7 of 8"},
		{"unread", []string{"--entry", unread, "do", "drain vn w-17"}, ExitUsage, "", "auburntack: line 1, column 7: got vn, expected vm\n"},
		{"unknown", []string{"--entry", late, "do", "drain vm w-17", "--id", "mine"}, ExitUnknown, "", "send again with id mine"},
		{"unavailable", []string{"--entry", waiting, "do", "drain vm w-17"}, ExitRefused, "", "nothing was done, try again later: " + waiting + ": no majority"},
		{"no JSON", []string{"--entry", html, "do", "drain vm w-17", "--id", "mine"}, ExitUnknown, "", "send again with id mine"},
		{"nobody", []string{"--entry", unreachable, "do", "drain vm w-17"}, ExitUnknown, "", "nobody answered"},
		{"nobody asked", []string{"--entry", unreachable, "ask", "show vms"}, ExitUnknown, "", "nobody answered"},
		{"workspaces", []string{"--entry", table, "workspace", "list"}, ExitDone,
			"vm    pool       touched\nw-1   gazetteer  9007199254740993\nw-10  -          true\n", ""},
		{"a workspace, unconfirmed", []string{"--entry", old, "workspace", "show", "mairies & co"}, ExitDone, "vm\n\\x1b[2J\n", "does not lead"},
		{"no such workspace", []string{"--entry", refused, "workspace", "show", "mairies"}, ExitRefused, "", "refused"},
		{"workspace without a name", []string{"workspace", "show"}, ExitUsage, "", "accepts 1 arg"},
		{"no text", []string{"do"}, ExitUsage, "", "accepts 1 arg"},
		{"unknown command", []string{"dance"}, ExitUsage, "", "unknown command"},
		{"unknown flag", []string{"ask", "show vms", "--wide"}, ExitUsage, "", "unknown flag"},
		{"unknown form", []string{"ask", "show vms", "--output", "xml"}, ExitUsage, "", "neither table nor json"},
		{"demo", []string{"demo"}, ExitRefused, "progress", "one invariant broke"},
		{"version", []string{"version"}, ExitDone, "auburntack ", ""},
		{"completion", []string{"completion", "bash"}, ExitDone, "auburntack", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assertRun(t, test.args, test.code, test.stdout, test.stderr)
		})
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	var tool Tool
	for _, c := range tool.command().Commands() {
		if c.Name() != "help" && c.Name() != "completion" && c.Example == "" {
			t.Errorf("%s has no example", c.CommandPath())
		}
	}
}

// assertRun runs the tool and checks its exit code, the beginning of its
// output, and that its error output contains stderr, or is empty if stderr is.
func assertRun(t *testing.T, args []string, code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	tool := Tool{Stdout: &out, Stderr: &errs, Demo: func(_ context.Context, w io.Writer) error {
		fmt.Fprint(w, "progress")
		return errors.New("one invariant broke")
	}}
	tool.client.Rounds = 1
	if got := tool.Main(t.Context(), args); got != code {
		t.Errorf("exit code %d, want %d", got, code)
	}
	if !strings.HasPrefix(out.String(), stdout) && args[0] != "completion" {
		t.Errorf("printed %q, want %q", out.String(), stdout)
	}
	if !strings.Contains(errs.String(), stderr) || stderr == "" && errs.Len() > 0 {
		t.Errorf("errors %q, want %q", errs.String(), stderr)
	}
}

func answering(t *testing.T, status int, body string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
