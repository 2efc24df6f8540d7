// Package tacklog configures the log of the daemon. All lines have the same few fields, and
// text from outside the system cannot break out of its field.
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
	// FieldVM is the VM of the system that writes the line. New adds it to every line.
	FieldVM = "vm"
	// FieldRequestID is the id of one dispatch of a request.
	FieldRequestID = "request_id"
	// FieldRevision is a position in the replicated log.
	FieldRevision = "revision"
	// FieldTerm is a term of the replicated log.
	FieldTerm = "term"
	// FieldPeer is another VM of the system.
	FieldPeer = "peer"
)

// maxTextBytes bounds the length of one text from outside the system in a line.
const maxTextBytes = 256

// vmHook adds the field vm to each line.
type vmHook struct {
	vm tackid.Peer
}

// New returns a logger that writes to w in the format and from the level of cfg, and adds vm
// to every line.
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

// Sanitize returns text from outside the system as one line of printable ASCII, cut at 256
// bytes. Otherwise a caller could put a line break into a name to forge a log line, or fill
// the disk with one header.
func Sanitize(text string) string {
	cut := len(text) > maxTextBytes
	if cut {
		text = text[:maxTextBytes]
	}
	quoted := strconv.QuoteToASCII(text)
	quoted = quoted[1 : len(quoted)-1]
	if cut {
		quoted += "..."
	}
	return quoted
}

// Std returns a standard logger, for libraries that need one, whose lines are logged to l as
// warnings. They are sanitized like text from outside the system.
func Std(l *logrus.Logger) *log.Logger {
	return log.New(stdWriter{log: l}, "", 0)
}

// stdWriter logs each write as one line.
type stdWriter struct {
	log *logrus.Logger
}

// Write implements io.Writer.
func (w stdWriter) Write(p []byte) (int, error) {
	n := len(p)
	for n > 0 && p[n-1] == '\n' {
		n--
	}
	w.log.Warn(Sanitize(string(p[:n])))
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
