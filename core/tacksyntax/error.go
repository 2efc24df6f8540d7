package tacksyntax

import (
	"fmt"
	"strings"
)

// Error is a syntax error. Line and Column are its position; they start at 1,
// and Column counts characters. Expected lists what is allowed at the
// position, and Got is the word found there, which is empty at the end of the
// text.
type Error struct {
	Line     int
	Column   int
	Expected []string
	Got      string
}

// Error implements error.
func (e *Error) Error() string {
	got := "the end of the text"
	if e.Got != "" {
		got = fmt.Sprintf("%q", e.Got)
	}
	return fmt.Sprintf("line %d, column %d: got %s, expected %s", e.Line, e.Column, got, strings.Join(e.Expected, " or "))
}
