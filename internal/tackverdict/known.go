package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// mostKnown is how many tests may be known to fail at a time. A longer list
// would turn into a place where tests are left to rot.
const mostKnown = 3

type (
	// testName names a test of a package, without subtests.
	testName struct {
		pkg  string // relative to the module, such as core/tackwave
		test string
	}

	// knownRed is a test that fails for a fault that is known.
	knownRed struct {
		name  testName
		cause string
		issue string
	}

	// listError reports a list of known failures that cannot be taken.
	listError struct {
		File   string
		Line   int
		Reason string
	}
)

// Error implements error.
func (e *listError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// String returns the name as "core/tackwave.TestX".
func (n testName) String() string {
	return n.pkg + "." + n.test
}

// readKnown reads the list in file; there is none where the file is missing.
func readKnown(file string) ([]knownRed, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var known []knownRed
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, reason := parseKnown(line)
		if reason == "" && len(known) == mostKnown {
			reason = fmt.Sprintf("more than %d tests are listed", mostKnown)
		}
		if reason != "" {
			return nil, &listError{File: file, Line: i + 1, Reason: reason}
		}
		known = append(known, k)
	}
	return known, nil
}

// parseKnown reads a line "PACKAGE.TEST, CAUSE, ISSUE"; reason says what is
// wrong with it. A whole package or a subtest cannot be listed: the one would
// hide too much, the other's failure cannot be told from its parent's own.
func parseKnown(line string) (k knownRed, reason string) {
	first := strings.Index(line, ",")
	last := strings.LastIndex(line, ",")
	if first == last {
		return k, "want PACKAGE.TEST, CAUSE, ISSUE"
	}
	name := strings.TrimSpace(line[:first])
	k.cause = strings.TrimSpace(line[first+1 : last])
	k.issue = strings.TrimSpace(line[last+1:])
	dot := strings.LastIndex(name, ".")
	if dot <= 0 || k.cause == "" || k.issue == "" {
		return k, "want PACKAGE.TEST, CAUSE, ISSUE"
	}
	k.name = testName{pkg: name[:dot], test: name[dot+1:]}
	if !strings.HasPrefix(k.name.test, "Test") || strings.Contains(k.name.test, "/") {
		return k, fmt.Sprintf("%q is no test at top level", k.name.test)
	}
	return k, ""
}
