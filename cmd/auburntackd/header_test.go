package main

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a header field that is not UTF-8 ending all replicas. The id of a command was
// written to the log in a form that no replica could read.
func TestCommandIDInLatin1(t *testing.T) {
	s := newSite(t, 1)
	first, err := s.daemons[0].Do("set config colour red", "caf\xe9")
	must(t, err)
	again, err := s.daemons[1].Do("set config colour red", "caf\xe9")
	must(t, err)
	s.do(t, "set config size large")
	Convey("The command is carried out once, and the system goes on", t, func() {
		So(first.Status, ShouldEqual, http.StatusOK)
		So(again.Status, ShouldEqual, http.StatusOK)
		So(again.Revision, ShouldEqual, first.Revision)
		So(s.rows(t, "show config"), ShouldHaveLength, 2)
	})
}
