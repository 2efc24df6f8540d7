package tackhttp

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// DivertStandardLog sends what package log prints to l, at debug level and cut
// after the first words. The HTTP client of net/http prints the first bytes of
// an answer that nobody asked for through it, which would put a caller's data
// into the log of the process. A daemon calls it once before it serves.
func DivertStandardLog(l logrus.FieldLogger) {
	log.SetFlags(0)
	log.SetOutput(diverted{l})
}

type diverted struct {
	log logrus.FieldLogger
}

// Write implements io.Writer.
func (d diverted) Write(p []byte) (int, error) {
	text, _, _ := bytes.Cut(p, []byte("starting with"))
	text, _, _ = bytes.Cut(text, []byte{'"'})
	d.log.Debugf("standard log: %q", bytes.TrimSpace(text))
	return len(p), nil
}
