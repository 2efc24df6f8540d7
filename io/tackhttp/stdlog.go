package tackhttp

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// DivertStandardLog redirects the output of the standard logger to l, at debug
// level and truncated. The HTTP client of net/http logs the first bytes of an
// unsolicited answer, which could contain a caller's data. A daemon calls it
// once before it serves requests.
func DivertStandardLog(l logrus.FieldLogger) {
	log.SetFlags(0)
	log.SetOutput(standardLogWriter{l})
}

type standardLogWriter struct {
	log logrus.FieldLogger
}

// Write implements io.Writer.
func (d standardLogWriter) Write(p []byte) (int, error) {
	text, _, _ := bytes.Cut(p, []byte("starting with"))
	text, _, _ = bytes.Cut(text, []byte{'"'})
	d.log.Debugf("standard log: %q", bytes.TrimSpace(text))
	return len(p), nil
}
