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
	// modulePrefix is the prefix of the package paths in the events.
	modulePrefix = "auburntack/"

	actionRun    = "run"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
	actionOutput = "output"

	// completedFailed is the line that a test binary prints when it has run all
	// tests and some failed. After a panic or a timeout it is missing.
	completedFailed = "FAIL\n"
)

type (
	// event is one line of go test -json.
	event struct {
		Action  string
		Package string
		Test    string
		Output  string
	}

	// packageRun holds the results of a package.
	packageRun struct {
		failed     bool
		testFailed bool                // whether one of its tests failed
		results    map[string]string   // last action by test
		output     map[string][]string // by test; that of the package under ""
	}

	// verdict counts top-level tests, each including its subtests, and packages
	// that failed other than by their tests.
	verdict struct {
		passed   int
		failed   int
		skipped  int
		packages map[string]*packageRun
		// partial is set if the events are of a part of the tests only: some or
		// all of the listed ones may be missing.
		partial bool
	}
)

// read reads all events from r and prints the output of builds to w.
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
			fmt.Fprint(w, e.Output) // output of a build
			continue
		}
		v.add(e)
	}
}

func (v *verdict) add(e event) {
	pkg := strings.TrimPrefix(e.Package, modulePrefix)
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

// evaluate counts the tests, prints every failure, and returns whether all of
// them are known.
func (v *verdict) evaluate(known []knownFailure, w io.Writer) bool {
	ok := true
	for _, name := range sortedKeys(v.packages) {
		if !v.evaluatePackage(name, known, w) {
			ok = false
		}
	}
	for _, k := range known {
		if !v.report(k, w) {
			ok = false
		}
	}
	if v.passed == 0 && !v.partial {
		fmt.Fprintln(w, "no test passed")
		ok = false
	}
	fmt.Fprintf(w, "tests: %d passed, %d failed, %d skipped\n", v.passed, v.failed, v.skipped)
	return ok
}

func (v *verdict) evaluatePackage(name string, known []knownFailure, w io.Writer) bool {
	p := v.packages[name]
	ok := true
	for _, test := range sortedKeys(p.results) {
		switch p.results[test] {
		case actionPass:
			v.passed++
		case actionSkip:
			v.skipped++
			printOutput(w, "SKIP", testName{name, test}, p.output[test])
		default:
			v.failed++
			p.testFailed = true
			ok = isKnown(testName{name, test}, known) && ok
			printOutput(w, "FAIL", testName{name, test}, p.output[test])
		}
	}
	return v.evaluateEnd(name, p, w) && ok
}

// evaluateEnd checks how a package ended and returns whether CI may pass. A test
// that panics ends the test binary, so that the tests after it never run. Such
// an end is never excused, even for a known failure, as the tests that did not
// run would be excused with it.
func (v *verdict) evaluateEnd(name string, p *packageRun, w io.Writer) bool {
	if !p.failed {
		return true
	}
	if p.testFailed && !p.endedEarly() {
		return true
	}
	v.failed++
	printOutput(w, "FAIL", testName{name, "(package)"}, p.output[""])
	return false
}

// endedEarly reports whether the test binary ended before all tests had run.
func (p *packageRun) endedEarly() bool {
	for _, result := range p.results {
		if result == actionRun {
			return true
		}
	}
	return !slices.Contains(p.output[""], completedFailed)
}

// report prints the result of a listed test. It returns false if no such test
// ran, unless the run is partial: the entry would excuse any later test of that
// name.
func (v *verdict) report(k knownFailure, w io.Writer) bool {
	result := ""
	if p := v.packages[k.name.pkg]; p != nil {
		result = p.results[k.name.test]
	}
	switch result {
	case "":
		if !v.partial {
			fmt.Fprintf(w, "known red: %s: did not run, correct the list\n", k.name)
		}
		return v.partial
	case actionPass:
		fmt.Fprintf(w, "known red: %s: passes now, remove it from the list (%s)\n", k.name, k.issue)
	default:
		fmt.Fprintf(w, "known red: %s: %s (%s); %s\n", k.name, k.seen, k.issue, k.command)
	}
	return true
}

func isKnown(name testName, known []knownFailure) bool {
	return slices.ContainsFunc(known, func(k knownFailure) bool { return k.name == name })
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
