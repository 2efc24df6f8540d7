package main

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// leavingGrace is how long a leaving backend server may still receive requests.
const leavingGrace = 2 * time.Second

// Guards against requests that are cut because a leaving backend server still
// receives new ones. It announces to one daemon only that it is leaving, under
// load through all of them; no daemon may use an older announcement.
func TestLeavingGetsNoNewWork(t *testing.T) {
	s := newSite(t, 4)
	callers := s.startCallers(8)
	b := s.servers[0]
	s.await(t, "the backend server to receive requests", func() bool { return b.Served() > 20 })
	b.Leave()
	time.Sleep(leavingGrace)
	before := b.Served()
	time.Sleep(leavingGrace)
	after, active := b.Served(), b.Active()
	b.Stop()
	counts := callers.Stop()
	Convey("After two seconds it receives no requests and can stop", t, func() {
		So(after, ShouldEqual, before)
		So(active, ShouldEqual, 0)
		s.assertAllAnswered(counts)
	})
}
