package tacklog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"auburntack/io/tacksettings"
)

// Guards against a log that shows msg="ready" for a VM that was not, or that clears the
// terminal when shown with `tail`: a caller puts a line break and an escape sequence into a
// path or a header that a warning quotes, and the text is written to the log unchanged.
func TestSanitizedTextStaysInItsField(t *testing.T) {
	hostile := "names\ntime=now msg=\"ready\" \x1b[2J\u202e" + strings.Repeat("x", 4096)
	for _, format := range []tacksettings.LogFormat{tacksettings.LogText, tacksettings.LogJSON} {
		t.Run(string(format), func(t *testing.T) {
			var b bytes.Buffer
			l := New(tacksettings.Log{Level: "info", Format: format}, "rennes-a-1", &b)
			l.WithField("path", Sanitize(hostile)).Warn("slow header")
			Std(l).Print(hostile)
			assertPlainLines(t, b.String(), 2)
		})
	}
}

func TestLinesCarryTheFields(t *testing.T) {
	Convey("Given loggers of both formats", t, func() {
		var b bytes.Buffer
		Convey("text quotes the message, as the contract shows it", func() {
			l := New(tacksettings.Log{Format: tacksettings.LogText}, "rennes-a-1", &b)
			l.Debug("hidden")
			l.WithField(FieldRevision, 7).Info("ready")
			So(b.String(), ShouldContainSubstring, `msg="ready" revision="7" vm="rennes-a-1"`)
			So(b.String(), ShouldNotContainSubstring, "hidden")
		})
		Convey("json has one object per line", func() {
			l := New(tacksettings.Log{Level: "debug", Format: tacksettings.LogJSON}, "rennes-a-1", &b)
			l.WithField(FieldRevision, 7).Debug("ready")
			var line map[string]any
			So(json.Unmarshal(b.Bytes(), &line), ShouldBeNil)
			So(line["vm"], ShouldEqual, "rennes-a-1")
			So(line["revision"], ShouldEqual, 7)
		})
	})
}

// assertPlainLines checks that text is n lines of printable ASCII of bounded
// length.
func assertPlainLines(t *testing.T, text string, n int) {
	t.Helper()
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) != n {
		t.Errorf("%d lines, want %d: %q", len(lines), n, text)
	}
	for _, line := range lines {
		if len(line) > 1024 {
			t.Errorf("a line of %d bytes", len(line))
		}
		if strings.ContainsFunc(line, func(r rune) bool { return r < ' ' || r > '~' }) {
			t.Errorf("unprintable text in %q", line)
		}
	}
}
