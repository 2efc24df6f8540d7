package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	allPass = `{"Action":"run","Package":"auburntack/core/a","Test":"TestOne"}
{"Action":"pass","Package":"auburntack/core/a","Test":"TestOne"}
{"Action":"pass","Package":"auburntack/core/a"}
`
	redTwo = `{"Action":"run","Package":"auburntack/core/b","Test":"TestTwo"}
{"Action":"run","Package":"auburntack/core/b","Test":"TestTwo/case"}
{"Action":"output","Package":"auburntack/core/b","Test":"TestTwo/case","Output":"the reason\n"}
{"Action":"fail","Package":"auburntack/core/b","Test":"TestTwo/case"}
{"Action":"fail","Package":"auburntack/core/b","Test":"TestTwo"}
{"Action":"output","Package":"auburntack/core/b","Output":"FAIL\n"}
{"Action":"output","Package":"auburntack/core/b","Output":"FAIL\tauburntack/core/b\t0.01s\n"}
{"Action":"fail","Package":"auburntack/core/b"}
`
	redThree = `{"Action":"run","Package":"auburntack/core/c","Test":"TestTwo"}
{"Action":"fail","Package":"auburntack/core/c","Test":"TestTwo"}
{"Action":"output","Package":"auburntack/core/c","Output":"FAIL\n"}
{"Action":"fail","Package":"auburntack/core/c"}
`
	panicTwo = `{"Action":"run","Package":"auburntack/core/b","Test":"TestTwo"}
{"Action":"fail","Package":"auburntack/core/b","Test":"TestTwo"}
{"Action":"output","Package":"auburntack/core/b","Output":"FAIL\tauburntack/core/b\t0.01s\n"}
{"Action":"fail","Package":"auburntack/core/b"}
`
	noBuild = `{"ImportPath":"auburntack/core/d","Action":"build-output","Output":"undefined: x\n"}
{"ImportPath":"auburntack/core/d","Action":"build-fail"}
{"Action":"fail","Package":"auburntack/core/d","FailedBuild":"auburntack/core/d"}
`
	known = "# lead\ncore/b.TestTwo, the lease, drawn too long, is kept, issue 5\n"
)

// Symptom: CI is green while a test that nobody excused fails.
// Sequence: a listed test fails, and so does another: of the same name in
// another package, or none at all because the package did not build or
// panicked.
// Cause: a verdict that compares names without packages, or that takes a
// failed package for the failure of its listed test.
func TestOnlyListedTestsAreExcused(t *testing.T) {
	tests := []struct {
		name   string
		list   string
		events string
		good   bool
		prints string
		counts string
	}{
		{"all pass", "", allPass, true, "tests: 1 passed, 0 failed", "1 0\n"},
		{"not listed", "", allPass + redTwo, false, "    the reason", "1 1\n"},
		{"listed", known, allPass + redTwo, true, "known red: core/b.TestTwo: the lease, drawn too long, is kept (issue 5)", "1 1\n"},
		{"same name elsewhere", known, allPass + redTwo + redThree, false, "FAIL core/c.TestTwo", "1 2\n"},
		{"package panics", known, allPass + panicTwo, false, "FAIL core/b.(package)", "1 2\n"},
		{"package does not build", known, allPass + redTwo + noBuild, false, "undefined: x", "1 2\n"},
		{"listed passes", "core/a.TestOne, cause, issue 5", allPass, true, "passes now, take it off the list", "1 0\n"},
		{"listed did not run", known, allPass, false, "core/b.TestTwo: did not run", "1 0\n"},
		{"nothing ran", "", "", false, "no test passed", "0 0\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assertVerdict(t, test.list, test.events, test.good, test.prints, test.counts)
		})
	}
}

func TestListIsHeldShortAndWhole(t *testing.T) {
	line := "core/b.TestTwo, cause, issue 5\n"
	tests := []struct {
		name string
		list string
		line int
	}{
		{"four", strings.Repeat(line, 4), 4},
		{"no issue", line + "core/b.TestTwo, cause", 2},
		{"no cause", "core/b.TestTwo, , issue 5", 1},
		{"a package", "core/b, cause, issue 5", 1},
		{"a subtest", "core/b.TestTwo/case, cause, issue 5", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := readKnown(writeList(t, test.list))
			var bad *listError
			if !errors.As(err, &bad) || bad.Line != test.line {
				t.Errorf("error %v, want a *listError at line %d", err, test.line)
			}
		})
	}
}

func assertVerdict(t *testing.T, list, events string, good bool, prints, counts string) {
	t.Helper()
	var out strings.Builder
	file := filepath.Join(t.TempDir(), "counts")
	got, err := run(writeList(t, list), file, false, strings.NewReader(events), &out)
	if err != nil || got != good {
		t.Errorf("run = %v, %v, want %v", got, err, good)
	}
	if !strings.Contains(out.String(), prints) {
		t.Errorf("printed %q, want %q in it", out.String(), prints)
	}
	written, err := os.ReadFile(file)
	if err != nil || string(written) != counts {
		t.Errorf("counts %q, %v, want %q", written, err, counts)
	}
}

func writeList(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
