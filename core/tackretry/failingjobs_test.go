package tackretry_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackretry"
)

var poisonJob = tackretry.Job{Service: "names-api", Team: "clerks", Key: "k1", Fingerprint: 7}

func fail(a *tackretry.FailingJobs, now tackclock.Time, job tackretry.Job, healthy bool, servers ...tackid.BackendServer) {
	for _, server := range servers {
		a.RecordFailure(now, tackretry.Failure{Job: job, BackendServer: server, Healthy: healthy})
	}
}

// A job that can never succeed must not fail on every backend server again and
// again, and take slots and retries from other jobs, when its caller keeps
// repeating it under the same key or another. It did when each request was
// considered by itself.
func TestJobThatNeverRunsIsSetAside(t *testing.T) {
	otherKey := poisonJob
	otherKey.Key = "k2"
	convey.Convey("After a job failed on three healthy backend servers", t, func() {
		var a tackretry.FailingJobs
		fail(&a, 0, poisonJob, true, "s1", "s2", "s1")
		convey.So(a.Check(1, poisonJob), convey.ShouldEqual, 0)
		fail(&a, 1, poisonJob, true, "s3")
		convey.Convey("it is refused, also under another key, and is listed", func() {
			convey.So(a.Check(2, poisonJob), convey.ShouldBeGreaterThan, 0)
			convey.So(a.Check(2, otherKey), convey.ShouldBeGreaterThan, 0)
			convey.So(a.List(2), convey.ShouldHaveLength, 2)
			convey.So(a.List(2)[0].BackendServers, convey.ShouldHaveLength, 3)
		})
		convey.Convey("other jobs are not", func() {
			convey.So(a.Check(2, tackretry.Job{Service: "names-api", Team: "clerks", Fingerprint: 8}), convey.ShouldEqual, 0)
		})
		convey.Convey("one request may try it later, and a failure sets it aside for longer", func() {
			later := tackclock.Time(2 * tackclock.Minute)
			convey.So(a.Check(later, poisonJob), convey.ShouldEqual, 0)
			convey.So(a.Check(later, poisonJob), convey.ShouldBeGreaterThan, 0)
			fail(&a, later, poisonJob, true, "s1")
			convey.So(a.Check(later.Add(90*tackclock.Second), poisonJob), convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("an answer clears it", func() {
			a.RecordSuccess(poisonJob)
			convey.So(a.Check(2, poisonJob), convey.ShouldEqual, 0)
			convey.So(a.List(2), convey.ShouldBeEmpty)
		})
	})
}

// Jobs must not be refused after an outage in which every backend server failed,
// as they were when failures of broken backend servers counted against them.
func TestOutageSetsNothingAside(t *testing.T) {
	convey.Convey("When the backend servers fail all requests", t, func() {
		var a tackretry.FailingJobs
		fail(&a, 0, poisonJob, false, "s1", "s2", "s3", "s4")
		convey.So(a.Check(1, poisonJob), convey.ShouldEqual, 0)
	})
}

func TestFailingJobsAreBounded(t *testing.T) {
	convey.Convey("After many different jobs failed", t, func() {
		a := tackretry.FailingJobs{Settings: tackretry.FailingJobsSettings{Jobs: 100}}
		for i := range 1000 {
			job := tackretry.Job{Service: "names-api", Key: tackid.Key(fmt.Sprint(i))}
			fail(&a, tackclock.Time(i), job, true, "s1", "s2", "s3")
		}
		convey.So(len(a.List(1000)), convey.ShouldBeLessThanOrEqualTo, 100)
		convey.So(len(a.List(1000)), convey.ShouldBeGreaterThan, 50)
	})
}
