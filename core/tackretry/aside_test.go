package tackretry_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackretry"
)

var poison = tackretry.Job{Service: "names-api", Team: "clerks", Key: "k1", Shape: 7}

func fail(a *tackretry.Aside, now tackclock.Time, job tackretry.Job, healthy bool, servers ...tackid.BackendServer) {
	for _, server := range servers {
		a.Failed(now, tackretry.Failure{Job: job, BackendServer: server, Healthy: healthy})
	}
}

// Symptom: one job that can never run fails on every backend server, again and
// again, and takes slots and retries from others.
// Sequence: its caller repeats it for ever, under the same key or another.
// Cause: every request was looked at by itself.
func TestJobThatNeverRunsIsSetAside(t *testing.T) {
	otherKey := poison
	otherKey.Key = "k2"
	convey.Convey("After a job failed on three healthy backend servers", t, func() {
		var a tackretry.Aside
		fail(&a, 0, poison, true, "s1", "s2", "s1")
		convey.So(a.Check(1, poison), convey.ShouldEqual, 0)
		fail(&a, 1, poison, true, "s3")
		convey.Convey("it is refused, also under another key, and listed", func() {
			convey.So(a.Check(2, poison), convey.ShouldBeGreaterThan, 0)
			convey.So(a.Check(2, otherKey), convey.ShouldBeGreaterThan, 0)
			convey.So(a.List(2), convey.ShouldHaveLength, 2)
			convey.So(a.List(2)[0].BackendServers, convey.ShouldHaveLength, 3)
		})
		convey.Convey("others are not", func() {
			convey.So(a.Check(2, tackretry.Job{Service: "names-api", Team: "clerks", Shape: 8}), convey.ShouldEqual, 0)
		})
		convey.Convey("one request may try it later, and sets it aside for longer if it fails", func() {
			later := tackclock.Time(2 * tackclock.Minute)
			convey.So(a.Check(later, poison), convey.ShouldEqual, 0)
			convey.So(a.Check(later, poison), convey.ShouldBeGreaterThan, 0)
			fail(&a, later, poison, true, "s1")
			convey.So(a.Check(later.Add(90*tackclock.Second), poison), convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("an answer ends it", func() {
			a.Answered(poison)
			convey.So(a.Check(2, poison), convey.ShouldEqual, 0)
			convey.So(a.List(2), convey.ShouldBeEmpty)
		})
	})
}

// Symptom: after an outage good jobs are refused for minutes.
// Sequence: every backend server fails; jobs fail on one after another.
// Cause: failures of broken backend servers were held against the jobs.
func TestOutageSetsNothingAside(t *testing.T) {
	convey.Convey("When the backend servers fail everything", t, func() {
		var a tackretry.Aside
		fail(&a, 0, poison, false, "s1", "s2", "s3", "s4")
		convey.So(a.Check(1, poison), convey.ShouldEqual, 0)
	})
}

func TestFailingJobsAreBounded(t *testing.T) {
	convey.Convey("After many different jobs failed", t, func() {
		a := tackretry.Aside{Settings: tackretry.AsideSettings{Jobs: 100}}
		for i := range 1000 {
			job := tackretry.Job{Service: "names-api", Key: tackid.Key(fmt.Sprint(i))}
			fail(&a, tackclock.Time(i), job, true, "s1", "s2", "s3")
		}
		convey.So(len(a.List(1000)), convey.ShouldBeLessThanOrEqualTo, 100)
		convey.So(len(a.List(1000)), convey.ShouldBeGreaterThan, 50)
	})
}
