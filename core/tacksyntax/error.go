package tacksyntax

import (
	"fmt"
	"strings"
)

// Error says where a text can't be read. Line and Column start at 1 and count
// characters. Expected lists what could have stood there, and Got is the word
// that did; it is empty at the end of the text.
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
