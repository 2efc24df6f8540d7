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
	known = "# lead\n\n" + entryTwo
	// entryTwo is a complete entry.
	entryTwo = "test: core/b.TestTwo\ncommand: go test -run 'TestTwo|x' ./core/b -args -rapid.seed=7\nseen: the lease: kept too long\nissue: 5\n"
)

// Guards against CI that passes although a test that is not listed fails: a
// listed test fails together with a test of the same name in another package,
// or a package fails because it did not build or panicked. Names must be
// compared with their packages, and a failed package must not be taken for the
// failure of its listed test.
func TestOnlyListedTestsAreExcused(t *testing.T) {
	tests := []struct {
		name   string
		list   string
		events string
		ok     bool
		prints string
		counts string
	}{
		{"all pass", "", allPass, true, "tests: 1 passed, 0 failed", "1 0\n"},
		{"not listed", "", allPass + redTwo, false, "    the reason", "1 1\n"},
		{"listed", known, allPass + redTwo, true, "known red: core/b.TestTwo: the lease: kept too long (5); go test -run 'TestTwo|x' ./core/b -args -rapid.seed=7", "1 1\n"},
		{"same name elsewhere", known, allPass + redTwo + redThree, false, "FAIL core/c.TestTwo", "1 2\n"},
		{"package panics", known, allPass + panicTwo, false, "FAIL core/b.(package)", "1 2\n"},
		{"package does not build", known, allPass + redTwo + noBuild, false, "undefined: x", "1 2\n"},
		{"listed passes", strings.Replace(entryTwo, "core/b.TestTwo", "core/a.TestOne", 1), allPass, true, "passes now, remove it from the list", "1 0\n"},
		{"listed did not run", known, allPass, false, "core/b.TestTwo: did not run", "1 0\n"},
		{"nothing ran", "", "", false, "no test passed", "0 0\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assertVerdict(t, test.list, test.events, test.ok, test.prints, test.counts)
		})
	}
}

func TestIncompleteEntriesAreRefused(t *testing.T) {
	without := func(field string) string {
		var kept []string
		for _, line := range strings.SplitAfter(entryTwo, "\n") {
			if !strings.HasPrefix(line, field) {
				kept = append(kept, line)
			}
		}
		return strings.Join(kept, "")
	}
	first := entryTwo + "\n" // five lines
	tests := []struct {
		name string
		list string
		line int
	}{
		{"no test", first + without("test"), 6},
		{"no command", first + without("command"), 6},
		{"nothing seen", first + without("seen"), 6},
		{"no issue", first + without("issue"), 6},
		{"an empty field", first + without("issue") + "issue:\n", 9},
		{"a field twice", entryTwo + "issue: 6\n", 5},
		{"two tests", entryTwo + "test: core/c.TestTwo\n", 5},
		{"an unknown field", first + "cause: it fails\n", 6},
		{"one line for an entry", "core/b.TestTwo, cause, issue 5\n", 1},
		{"a package", strings.Replace(entryTwo, "core/b.TestTwo", "core/b", 1), 1},
		{"a subtest", strings.Replace(entryTwo, "core/b.TestTwo", "core/b.TestTwo/case", 1), 1},
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
	t.Run("several", func(t *testing.T) {
		known, err := readKnown(writeList(t, "# lead\n"+strings.Repeat(first, 5)))
		if err != nil || len(known) != 5 {
			t.Errorf("%d entries, %v, want 5", len(known), err)
		}
	})
}

func assertVerdict(t *testing.T, list, events string, ok bool, prints, counts string) {
	t.Helper()
	var out strings.Builder
	file := filepath.Join(t.TempDir(), "counts")
	got, err := run(writeList(t, list), file, false, strings.NewReader(events), &out)
	if err != nil || got != ok {
		t.Errorf("run = %v, %v, want %v", got, err, ok)
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
