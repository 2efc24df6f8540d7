package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

const (
	// module prefixes the packages in the events.
	module = "auburntack/"

	actionRun    = "run"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
	actionOutput = "output"

	// endedFailed is the line by which a test binary whose tests failed says
	// that it ran to its end. One that panicked or timed out never gets there.
	endedFailed = "FAIL\n"
)

type (
	// event is one line of go test -json.
	event struct {
		Action  string
		Package string
		Test    string
		Output  string
	}

	// packageRun is what became of a package.
	packageRun struct {
		failed  bool
		red     bool // a test of it failed
		results map[string]string
		output  map[string][]string // by test; the package's own under ""
	}

	// verdict counts tests at top level, each with its subtests, and packages
	// that failed by themselves.
	verdict struct {
		passed   int
		failed   int
		skipped  int
		packages map[string]*packageRun
		// part says that the events are of some tests only: a listed one may
		// be missing, or all.
		part bool
	}
)

// read takes in all events and prints what does not come as an event.
func (v *verdict) read(r io.Reader, w io.Writer) error {
	v.packages = make(map[string]*packageRun)
	d := json.NewDecoder(r)
	for {
		var e event
		err := d.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("events of go test: %w", err)
		}
		if e.Package == "" {
			fmt.Fprint(w, e.Output) // of the build
			continue
		}
		v.add(e)
	}
}

func (v *verdict) add(e event) {
	pkg := strings.TrimPrefix(e.Package, module)
	p := v.packages[pkg]
	if p == nil {
		p = &packageRun{results: make(map[string]string), output: make(map[string][]string)}
		v.packages[pkg] = p
	}
	test, _, isSub := strings.Cut(e.Test, "/")
	switch {
	case e.Action == actionOutput:
		p.output[test] = append(p.output[test], e.Output)
	case test == "":
		p.failed = p.failed || e.Action == actionFail
	case isSub:
		// counted with its parent, which fails with it
	case e.Action == actionRun, e.Action == actionPass, e.Action == actionFail, e.Action == actionSkip:
		p.results[test] = e.Action
	}
}

// judge counts, prints every failure, and returns whether all of them are
// known.
func (v *verdict) judge(known []knownRed, w io.Writer) bool {
	good := true
	for _, name := range sortedKeys(v.packages) {
		if !v.judgePackage(name, known, w) {
			good = false
		}
	}
	for _, k := range known {
		if !v.report(k, w) {
			good = false
		}
	}
	if v.passed == 0 && !v.part {
		fmt.Fprintln(w, "no test passed")
		good = false
	}
	fmt.Fprintf(w, "tests: %d passed, %d failed, %d skipped\n", v.passed, v.failed, v.skipped)
	return good
}

func (v *verdict) judgePackage(name string, known []knownRed, w io.Writer) bool {
	p := v.packages[name]
	good := true
	for _, test := range sortedKeys(p.results) {
		switch p.results[test] {
		case actionPass:
			v.passed++
		case actionSkip:
			v.skipped++
			printOutput(w, "SKIP", testName{name, test}, p.output[test])
		default:
			v.failed++
			p.red = true
			good = isKnown(testName{name, test}, known) && good
			printOutput(w, "FAIL", testName{name, test}, p.output[test])
		}
	}
	return v.judgeEnd(name, p, w) && good
}

// judgeEnd looks at how a package ended. A test that panics takes the whole
// package down and the tests after it never run; if it is a known one, they
// would be passed over with it, so such an end is never excused.
func (v *verdict) judgeEnd(name string, p *packageRun, w io.Writer) bool {
	if !p.failed {
		return true
	}
	if p.red && !p.wasCut() {
		return true
	}
	v.failed++
	printOutput(w, "FAIL", testName{name, "(package)"}, p.output[""])
	return false
}

// wasCut reports whether the test binary ended before all tests had run.
func (p *packageRun) wasCut() bool {
	for _, result := range p.results {
		if result == actionRun {
			return true
		}
	}
	return !slices.Contains(p.output[""], endedFailed)
}

// report prints what became of a known test and returns false if no such
// test ran, as the list then excuses a name that anyone may take.
func (v *verdict) report(k knownRed, w io.Writer) bool {
	result := ""
	if p := v.packages[k.name.pkg]; p != nil {
		result = p.results[k.name.test]
	}
	switch result {
	case "":
		if !v.part {
			fmt.Fprintf(w, "known red: %s: did not run, mend the list\n", k.name)
		}
		return v.part
	case actionPass:
		fmt.Fprintf(w, "known red: %s: passes now, take it off the list (%s)\n", k.name, k.issue)
	default:
		fmt.Fprintf(w, "known red: %s: %s (%s); %s\n", k.name, k.seen, k.issue, k.command)
	}
	return true
}

func isKnown(name testName, known []knownRed) bool {
	return slices.ContainsFunc(known, func(k knownRed) bool { return k.name == name })
}

func printOutput(w io.Writer, what string, name testName, lines []string) {
	fmt.Fprintf(w, "%s %s\n", what, name)
	for _, line := range lines {
		fmt.Fprint(w, "    ", line)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
