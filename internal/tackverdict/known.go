package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

type (
	// testName names a test of a package, without subtests.
	testName struct {
		pkg  string // relative to the module, such as core/tackwave
		test string
	}

	// knownFailure is a test that fails because of a known fault.
	knownFailure struct {
		name    testName
		command string // reproduces the failure, with its seed
		seen    string // the observed failure
		issue   string
	}

	// listError reports an invalid list of known failures.
	listError struct {
		File   string
		Line   int
		Reason string
	}
)

func (e *listError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// String returns the name as "core/tackwave.TestX".
func (n testName) String() string {
	return n.pkg + "." + n.test
}

// readKnown reads the list of known failures in file. A missing file is an
// empty list.
func readKnown(file string) ([]knownFailure, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnown(file, string(data))
}

// parseKnown reads the entries of the list. The error is a *listError.
func parseKnown(file, text string) ([]knownFailure, error) {
	var known []knownFailure
	var entry knownFailure
	firstLine := 0 // of the current entry, zero between entries
	for i, line := range strings.Split(text+"\n\n", "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") || line == "" && firstLine == 0 {
			continue
		}
		if line == "" {
			if missing := entry.missing(); missing != "" {
				return nil, &listError{File: file, Line: firstLine, Reason: "an entry without " + missing}
			}
			known = append(known, entry)
			entry, firstLine = knownFailure{}, 0
			continue
		}
		if firstLine == 0 {
			firstLine = i + 1
		}
		if reason := entry.parseLine(line); reason != "" {
			return nil, &listError{File: file, Line: i + 1, Reason: reason}
		}
	}
	return known, nil
}

// parseLine parses one line of an entry and returns why it is invalid, or the
// empty string.
func (k *knownFailure) parseLine(line string) string {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	target := map[string]*string{"command": &k.command, "seen": &k.seen, "issue": &k.issue}[field]
	switch {
	case value == "":
		return fmt.Sprintf("%q: want a field and its value", line)
	case field == "test" && k.name != testName{}, target != nil && *target != "":
		return "duplicate " + field + " in one entry"
	case field == "test":
		return k.parseName(value)
	case target == nil:
		return fmt.Sprintf("unknown field %q, want test, command, seen or issue", field)
	}
	*target = value
	return ""
}

// parseName parses PACKAGE.TEST. A whole package cannot be listed, since it would
// excuse too much, nor can a subtest, since its failure cannot be distinguished
// from one of its parent.
func (k *knownFailure) parseName(name string) string {
	dot := strings.LastIndex(name, ".")
	if dot <= 0 || !strings.HasPrefix(name[dot+1:], "Test") || strings.Contains(name[dot+1:], "/") {
		return fmt.Sprintf("%q: want PACKAGE.TEST of a top-level test", name)
	}
	k.name = testName{pkg: name[:dot], test: name[dot+1:]}
	return ""
}

// missing returns the first field that the entry lacks, or the empty string.
func (k *knownFailure) missing() string {
	switch {
	case k.name == testName{}:
		return "test"
	case k.command == "":
		return "command"
	case k.seen == "":
		return "seen"
	case k.issue == "":
		return "issue"
	}
	return ""
}
