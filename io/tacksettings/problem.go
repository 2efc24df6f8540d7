package tacksettings

import (
	"fmt"
	"strings"
)

type (
	// Problem is one thing wrong with a file of settings. Key is empty where
	// a whole section is meant, Section too where the file is.
	Problem struct {
		Section string
		Key     string
		Problem string
		Allowed string
	}

	// ProblemsError lists everything that is wrong with File.
	ProblemsError struct {
		File     string
		Problems []Problem
	}
)

// String returns the problem as "section.key: what is wrong, what is
// allowed".
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

// Error implements error, one line a problem, each headed by the file.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s: %s", e.File, p)
	}
	return strings.Join(lines, "\n")
}
