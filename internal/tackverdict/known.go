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

	// knownRed is a test that fails for a fault that is known.
	knownRed struct {
		name    testName
		command string // how to see it fail, with its seed
		seen    string
		issue   string
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
	return parseKnown(file, string(data))
}

// parseKnown reads the entries of the list. The error is a *listError.
func parseKnown(file, text string) ([]knownRed, error) {
	var known []knownRed
	var entry knownRed
	begun := 0 // the line on which the entry began, zero between entries
	for i, line := range strings.Split(text+"\n\n", "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") || line == "" && begun == 0 {
			continue
		}
		if line == "" {
			if missing := entry.missing(); missing != "" {
				return nil, &listError{File: file, Line: begun, Reason: "an entry without " + missing}
			}
			known = append(known, entry)
			entry, begun = knownRed{}, 0
			continue
		}
		if begun == 0 {
			begun = i + 1
		}
		if reason := entry.take(line); reason != "" {
			return nil, &listError{File: file, Line: i + 1, Reason: reason}
		}
	}
	return known, nil
}

// take reads one line of an entry; the result says what is wrong with it.
func (k *knownRed) take(line string) string {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	into := map[string]*string{"command": &k.command, "seen": &k.seen, "issue": &k.issue}[field]
	switch {
	case value == "":
		return fmt.Sprintf("%q: want a field and its value", line)
	case field == "test" && k.name != testName{}, into != nil && *into != "":
		return "a second " + field + " in one entry"
	case field == "test":
		return k.takeName(value)
	case into == nil:
		return fmt.Sprintf("unknown field %q, want test, command, seen or issue", field)
	}
	*into = value
	return ""
}

// takeName reads PACKAGE.TEST. A whole package or a subtest cannot be listed: the
// one would hide too much, the other's failure cannot be told from its parent's own.
func (k *knownRed) takeName(name string) string {
	dot := strings.LastIndex(name, ".")
	if dot <= 0 || !strings.HasPrefix(name[dot+1:], "Test") || strings.Contains(name[dot+1:], "/") {
		return fmt.Sprintf("%q is no PACKAGE.TEST at top level", name)
	}
	k.name = testName{pkg: name[:dot], test: name[dot+1:]}
	return ""
}

// missing names the first field that the entry lacks.
func (k *knownRed) missing() string {
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
