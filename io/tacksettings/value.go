package tacksettings

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"unicode"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

// maxNameLength is the maximum length of names in settings, in bytes.
const maxNameLength = 64

// allowed returns a description of the values that e accepts.
func (e *entry) allowed() string {
	switch e.kind {
	case kindName:
		return fmt.Sprintf("allowed is a name of letters, digits, '-', '_' and '.', at most %d long", maxNameLength)
	case kindAddress:
		return "allowed is an IP number with a port, such as 127.0.0.1:7000 or [::1]:7000"
	case kindFolder:
		return "allowed is a path"
	case kindBool:
		return "allowed is true or false"
	case kindMillis:
		return fmt.Sprintf("allowed is %.0f to %.0f ms", e.low, e.high)
	case kindBytes:
		return fmt.Sprintf("allowed is %.0f to %.0f bytes", e.low, e.high)
	case kindCount:
		return fmt.Sprintf("allowed is %.0f to %.0f", e.low, e.high)
	case kindPercent:
		return fmt.Sprintf("allowed is %v to %v percent", e.low, e.high)
	case kindChoice:
		return "allowed is " + strings.Join(e.choices, " or ")
	default:
		return "allowed is a time of day as HH:MM, 00:00 to 23:59"
	}
}

// parse stores the value of text in target. The error describes what is wrong with text.
func (e *entry) parse(text string, target any) error {
	switch e.kind {
	case kindMillis, kindBytes, kindCount:
		return e.parseInteger(text, target)
	case kindPercent:
		return e.parsePercent(text, target)
	case kindBool:
		return parseBool(text, target)
	}
	if err := e.checkText(text); err != nil {
		return err
	}
	return setText(text, target)
}

func (e *entry) parseInteger(text string, target any) error {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%q is not a whole number", text)
	}
	if float64(n) < e.low || float64(n) > e.high {
		return fmt.Errorf("%d is out of range", n)
	}
	switch t := target.(type) {
	case *tackclock.Duration:
		*t = tackclock.Duration(n)
	case *int64:
		*t = n
	case *int:
		*t = int(n)
	default:
		return fmt.Errorf("cannot store an integer in %T", target)
	}
	return nil
}

func (e *entry) parsePercent(text string, target any) error {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("%q is not a number", text)
	}
	if !(x >= e.low && x <= e.high) {
		return fmt.Errorf("%s is out of range", text)
	}
	t, ok := target.(*float64)
	if !ok {
		return fmt.Errorf("cannot store a percentage in %T", target)
	}
	*t = x
	return nil
}

func parseBool(text string, target any) error {
	t, ok := target.(*bool)
	if !ok {
		return fmt.Errorf("cannot store a bool in %T", target)
	}
	switch text {
	case "true":
		*t = true
	case "false":
		*t = false
	default:
		return fmt.Errorf("%q is neither true nor false", text)
	}
	return nil
}

// checkText returns an error if text is not a valid value for a setting that is stored
// as text.
func (e *entry) checkText(text string) error {
	switch e.kind {
	case kindName:
		return checkName(text)
	case kindAddress:
		return checkAddress(text)
	case kindFolder:
		return checkFolder(text)
	case kindTimeOfDay:
		return checkTimeOfDay(text)
	}
	for _, c := range e.choices {
		if c == text {
			return nil
		}
	}
	if near, ok := nearest(text, e.choices); ok {
		return fmt.Errorf("%q is not known, did you mean %q", text, near)
	}
	return fmt.Errorf("%q is not known", text)
}

func setText(text string, target any) error {
	switch t := target.(type) {
	case *string:
		*t = text
	case *tackid.Peer:
		*t = tackid.Peer(text)
	case *TimeOfDay:
		*t = TimeOfDay(text)
	case *tackid.Service:
		*t = tackid.Service(text)
	case *tackid.DataCentre:
		*t = tackid.DataCentre(text)
	case *Preference:
		*t = Preference(text)
	case *Part:
		*t = Part(text)
	case *LogFormat:
		*t = LogFormat(text)
	default:
		return fmt.Errorf("cannot store text in %T", target)
	}
	return nil
}

func checkName(text string) error {
	if text == "" {
		return errors.New("the name is empty")
	}
	if len(text) > maxNameLength {
		return fmt.Errorf("the name is %d long", len(text))
	}
	for _, r := range text {
		if !isNameRune(r) {
			return fmt.Errorf("%q holds %q", text, r)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	return r < unicode.MaxASCII && (unicode.IsLetter(r) || unicode.IsDigit(r)) || strings.ContainsRune("-_.", r)
}

// checkAddress rejects host names. They would have to be resolved while the resolver may
// be unreachable, so that a VM restarted during a network partition would not find peers
// that it can reach.
func checkAddress(text string) error {
	a, err := netip.ParseAddrPort(text)
	if err == nil && a.Port() == 0 {
		return fmt.Errorf("%q has port 0", text)
	}
	if err == nil {
		return nil
	}
	host, _, found := strings.Cut(text, ":")
	if _, err := netip.ParseAddr(text); err == nil {
		return fmt.Errorf("%q has no port", text)
	}
	if _, err := netip.ParseAddr(host); found && err != nil && strings.IndexFunc(host, unicode.IsLetter) >= 0 {
		return fmt.Errorf("%q is a host name", host)
	}
	return fmt.Errorf("%q is not an address", text)
}

func checkFolder(text string) error {
	if text == "" {
		return errors.New("the path is empty")
	}
	if strings.IndexFunc(text, unicode.IsControl) >= 0 {
		return fmt.Errorf("%q holds a control character; a comment after a value needs a space before it", text)
	}
	return nil
}

func checkTimeOfDay(text string) error {
	if _, ok := TimeOfDay(text).sinceMidnight(); !ok {
		return fmt.Errorf("%q is not a time of day", text)
	}
	return nil
}
