package main

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// leavingLimit is how long a leaving backend server may still get work.
const leavingLimit = 2 * time.Second

// Symptom: a backend server that said it leaves is stopped, and requests are
// cut because new ones still came.
// Sequence: it tells one VM only, under load through all of them.
// Cause: a VM that goes on by an older announcement.
func TestLeavingGetsNoNewWork(t *testing.T) {
	s := newSite(t, 4)
	callers := s.startCallers(8)
	b := s.servers[0]
	s.await(t, "it to have work", func() bool { return b.Served() > 20 })
	b.Leave()
	time.Sleep(leavingLimit)
	before := b.Served()
	time.Sleep(leavingLimit)
	after, active := b.Served(), b.Active()
	b.Stop()
	counts := callers.Stop()
	Convey("After two seconds it gets nothing and can stop", t, func() {
		So(after, ShouldEqual, before)
		So(active, ShouldEqual, 0)
		s.assertWhole(counts)
	})
}
