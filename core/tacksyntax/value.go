package tacksyntax

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

type (
	// Value is a name or a value: a bare word, or text in quotes with the
	// escapes of Go. In a grammar it is captured from (Word | Quoted).
	Value string

	// Number is a non-negative integer. In a grammar it is captured from Word.
	Number int

	// Amount is a non-negative integer, or a percentage such as 50%. In a
	// grammar it is captured from Word.
	Amount struct {
		N       int
		Percent bool
	}

	// Name is a Value that is not empty.
	Name string
)

// barePattern matches the values that Quote does not quote.
var barePattern = regexp.MustCompile(`^[A-Za-z0-9_.:/@%+-]+$`)

// Capture implements participle.Capture.
func (v *Value) Capture(tokens []string) error {
	text, err := unquote(tokens[0])
	*v = Value(text)
	return err
}

// Capture implements participle.Capture.
func (n *Name) Capture(tokens []string) error {
	text, err := unquote(tokens[0])
	if err == nil && text == "" {
		err = fmt.Errorf("tacksyntax: empty name")
	}
	*n = Name(text)
	return err
}

// Capture implements participle.Capture.
func (n *Number) Capture(tokens []string) error {
	u, err := strconv.ParseUint(tokens[0], 10, 31)
	*n = Number(u)
	return err
}

// Capture implements participle.Capture.
func (a *Amount) Capture(tokens []string) error {
	digits, percent := strings.CutSuffix(tokens[0], "%")
	var n Number
	err := n.Capture([]string{digits})
	*a = Amount{N: int(n), Percent: percent}
	return err
}

// String returns the amount as it is written in a command.
func (a Amount) String() string {
	if a.Percent {
		return strconv.Itoa(a.N) + "%"
	}
	return strconv.Itoa(a.N)
}

// unquote returns the text of a token, which may be quoted.
func unquote(token string) (string, error) {
	if !strings.HasPrefix(token, `"`) {
		return token, nil
	}
	text, err := strconv.Unquote(token)
	if err != nil {
		return "", fmt.Errorf("tacksyntax: quoted text %s: %w", token, err)
	}
	return text, nil
}

// Quote returns the text as a bare word if it can be parsed as one, and in
// quotes otherwise. The given keywords are always quoted, for positions where
// they would be parsed as keywords.
func Quote(text string, keywords ...string) string {
	if !barePattern.MatchString(text) {
		return strconv.Quote(text)
	}
	for _, k := range keywords {
		if strings.EqualFold(text, k) {
			return strconv.Quote(text)
		}
	}
	return text
}
