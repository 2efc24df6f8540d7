package tacksettings

import (
	"fmt"
	"strings"
)

type (
	// Problem is one problem in a settings file. Key is empty if the problem concerns a
	// whole section, Section as well if it concerns the whole file.
	Problem struct {
		Section string
		Key     string
		Problem string
		Allowed string
	}

	// ProblemsError lists all problems in File.
	ProblemsError struct {
		File     string
		Problems []Problem
	}
)

// String returns the problem as "section.key: problem, allowed values".
func (p Problem) String() string {
	text := p.Problem
	if p.Allowed != "" {
		text += ", " + p.Allowed
	}
	switch {
	case p.Section == "" && p.Key == "":
		return text
	case p.Section == "" || p.Key == "":
		return p.Section + p.Key + ": " + text
	default:
		return p.Section + "." + p.Key + ": " + text
	}
}

// Error implements error. It returns one line per problem, each starting with the name
// of the file.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s: %s", e.File, p)
	}
	return strings.Join(lines, "\n")
}
