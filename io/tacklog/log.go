// Package tacklog sets up the daemon's log. Its lines carry the same few
// fields everywhere, and nothing that came from outside can break out of its
// own field.
package tacklog

import (
	"io"
	"log"
	"strconv"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackid"
	"auburntack/io/tacksettings"
)

const (
	// FieldVM names the VM of the system that writes the line. New puts it
	// on every line.
	FieldVM = "vm"
	// FieldRequestID names one dispatch of a request.
	FieldRequestID = "request_id"
	// FieldRevision is a position in the replicated log.
	FieldRevision = "revision"
	// FieldTerm is a term of the replicated log.
	FieldTerm = "term"
	// FieldPeer names another VM of the system.
	FieldPeer = "peer"
)

// longestOutside bounds, in bytes, what a line may hold of one text from
// outside.
const longestOutside = 256

// vmHook puts the field vm on each line.
type vmHook struct {
	vm tackid.Peer
}

// New returns a logger that writes to w as cfg says and puts vm on every
// line.
func New(cfg tacksettings.Log, vm tackid.Peer, w io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level(cfg.Level))
	if cfg.Format == tacksettings.LogJSON {
		l.SetFormatter(&logrus.JSONFormatter{DisableHTMLEscape: true})
	} else {
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, ForceQuote: true, FullTimestamp: true})
	}
	l.AddHook(vmHook{vm: vm})
	return l
}

// Outside returns text from outside as one line of printable ASCII, cut at
// 256 bytes. A caller could otherwise write a line break into a name and so
// forge a line of the log, or fill the disk with one header.
func Outside(text string) string {
	cut := len(text) > longestOutside
	if cut {
		text = text[:longestOutside]
	}
	quoted := strconv.QuoteToASCII(text)
	quoted = quoted[1 : len(quoted)-1]
	if cut {
		quoted += "..."
	}
	return quoted
}

// Std returns a standard logger whose lines go to l as warnings, for the
// libraries that want one. Its lines count as from outside.
func Std(l *logrus.Logger) *log.Logger {
	return log.New(stdWriter{log: l}, "", 0)
}

// stdWriter turns each write into one line of log.
type stdWriter struct {
	log *logrus.Logger
}

// Write implements io.Writer.
func (w stdWriter) Write(p []byte) (int, error) {
	n := len(p)
	for n > 0 && p[n-1] == '\n' {
		n--
	}
	w.log.Warn(Outside(string(p[:n])))
	return len(p), nil
}

// Levels implements logrus.Hook.
func (h vmHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire implements logrus.Hook.
func (h vmHook) Fire(e *logrus.Entry) error {
	if _, given := e.Data[FieldVM]; !given {
		e.Data[FieldVM] = string(h.vm)
	}
	return nil
}

func level(name string) logrus.Level {
	l, err := logrus.ParseLevel(name)
	if err != nil {
		return logrus.InfoLevel
	}
	return l
}
