package tackretry

import (
	"cmp"
	"maps"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// defaultServers is the default of FailingJobsSettings.Servers.
	defaultServers = 3
	// defaultJobs is the default of FailingJobsSettings.Jobs.
	defaultJobs = 4096
	// firstAside is how long a job is set aside at first. Each time that the
	// next try fails, the duration doubles, up to longestAside.
	firstAside   = tackclock.Minute
	longestAside = tackclock.Hour
	// forgetAfter is how long a failing job is remembered after its last
	// failure, in addition to the time for which it is set aside.
	forgetAfter = 10 * tackclock.Minute
)

type (
	// Job identifies what a request asks for, so that repetitions of it are
	// recognized. Key is the idempotency key, if there is one. Fingerprint is a
	// hash of the contents of the request, zero if unknown.
	Job struct {
		Service     tackid.Service
		Team        tackid.Team
		Key         tackid.Key
		Fingerprint uint64
	}

	// Failure is a failed try of a job on a backend server.
	Failure struct {
		Job           Job
		BackendServer tackid.BackendServer
		// Healthy reports whether the backend server answers other requests.
		// Only then does the failure count against the job.
		Healthy bool
	}

	// SetAsideJob is a job that is refused for now.
	SetAsideJob struct {
		Job            Job
		BackendServers []tackid.BackendServer
		Since, Until   tackclock.Time
		// Refused counts the refused requests for the job.
		Refused int
	}

	// FailingJobsSettings are the settings of FailingJobs. A zero field takes
	// its default.
	FailingJobsSettings struct {
		// Servers is the number of healthy backend servers on which a job
		// must fail to be set aside.
		Servers int
		// Jobs is the largest number of failing jobs that are remembered.
		Jobs int
	}

	// FailingJobs detects the jobs that can never succeed, and sets them aside.
	// Such a job fails on every backend server. A caller that keeps repeating
	// it would use up slots and the retry budget, and cause one backend server
	// after another to be considered broken.
	//
	// A job is set aside once it has failed on several backend servers that
	// answer other requests, with no success in between. It is then refused
	// for a while, after which one request may try it again.
	//
	// The zero value is ready to use. It is not safe for concurrent use.
	FailingJobs struct {
		Settings FailingJobsSettings

		jobs map[Job]*failureRecord
	}

	// failureRecord is the record of a job that failed recently.
	failureRecord struct {
		servers     []tackid.BackendServer
		lastFailure tackclock.Time
		since       tackclock.Time
		until       tackclock.Time
		asideFor    tackclock.Duration
		refused     int
	}
)

// RecordFailure records a failure of a job and reports whether it causes the
// job to be set aside.
func (j *FailingJobs) RecordFailure(now tackclock.Time, f Failure) bool {
	if !f.Healthy {
		return false
	}
	aside := false
	for _, id := range f.Job.identities() {
		if id != (Job{}) && j.recordFailure(now, id, f.BackendServer) {
			aside = true
		}
	}
	return aside
}

// RecordSuccess records a success of the job, after which its failures no longer
// count.
func (j *FailingJobs) RecordSuccess(job Job) {
	if len(j.jobs) == 0 {
		return
	}
	for _, id := range job.identities() {
		delete(j.jobs, id)
	}
}

// Check returns for how long the job is still set aside, or zero if it may be
// tried. A request for a job that is set aside counts as refused.
func (j *FailingJobs) Check(now tackclock.Time, job Job) tackclock.Duration {
	if len(j.jobs) == 0 {
		return 0
	}
	var wait tackclock.Duration
	for _, id := range job.identities() {
		f := j.jobs[id]
		if f == nil || f.asideFor == 0 {
			continue
		}
		if !now.Before(f.until) {
			// This request is the probe; the others are refused until its
			// outcome is known.
			f.until = now.Add(firstAside)
			continue
		}
		f.refused++
		wait = max(wait, f.until.Sub(now))
	}
	return wait
}

// List returns the jobs that are set aside, in the order in which they were.
func (j *FailingJobs) List(now tackclock.Time) []SetAsideJob {
	var list []SetAsideJob
	for id, f := range j.jobs {
		if f.asideFor > 0 && now.Before(f.until) {
			list = append(list, SetAsideJob{Job: id, BackendServers: slices.Clone(f.servers),
				Since: f.since, Until: f.until, Refused: f.refused})
		}
	}
	slices.SortFunc(list, func(x, y SetAsideJob) int {
		return cmp.Or(cmp.Compare(x.Since, y.Since), cmp.Compare(x.Job.Key, y.Job.Key),
			cmp.Compare(x.Job.Fingerprint, y.Job.Fingerprint), cmp.Compare(x.Job.Service, y.Job.Service),
			cmp.Compare(x.Job.Team, y.Job.Team))
	})
	return list
}

// recordFailure counts a failure of the job on a backend server and reports
// whether the job is set aside.
func (j *FailingJobs) recordFailure(now tackclock.Time, id Job, server tackid.BackendServer) bool {
	f := j.jobs[id]
	if f == nil || now.Sub(f.lastFailure) >= forgetAfter+f.asideFor {
		f = j.addRecord(now, id)
	}
	f.lastFailure = now
	if !slices.Contains(f.servers, server) {
		f.servers = append(f.servers, server)
	}
	if f.asideFor == 0 {
		if len(f.servers) < orDefault(j.Settings.Servers, defaultServers) {
			return false
		}
		f.since = now
	}
	f.asideFor = min(max(2*f.asideFor, firstAside), longestAside)
	f.until = now.Add(f.asideFor)
	return true
}

// addRecord adds a record for a failing job, and drops old records if there is no
// room for it.
func (j *FailingJobs) addRecord(now tackclock.Time, id Job) *failureRecord {
	if j.jobs == nil {
		j.jobs = make(map[Job]*failureRecord)
	}
	if len(j.jobs) >= orDefault(j.Settings.Jobs, defaultJobs) {
		j.dropOldRecords(now)
	}
	f := new(failureRecord)
	j.jobs[id] = f
	return f
}

// dropOldRecords drops all expired records. If there are none, it drops the
// quarter of the jobs that failed longest ago, so that its cost is amortized
// over many failures.
func (j *FailingJobs) dropOldRecords(now tackclock.Time) {
	before := len(j.jobs)
	maps.DeleteFunc(j.jobs, func(_ Job, f *failureRecord) bool {
		return now.Sub(f.lastFailure) >= forgetAfter+f.asideFor
	})
	if len(j.jobs) < before {
		return
	}
	ids := slices.SortedFunc(maps.Keys(j.jobs), func(x, y Job) int {
		return cmp.Compare(j.jobs[x].lastFailure, j.jobs[y].lastFailure)
	})
	for _, id := range ids[:max(1, len(ids)/4)] {
		delete(j.jobs, id)
	}
}

// identities returns the job identified by its key alone and by its shape alone,
// each zero if there is none.
func (j Job) identities() [2]Job {
	var ids [2]Job
	if j.Key != "" {
		ids[0] = Job{Service: j.Service, Team: j.Team, Key: j.Key}
	}
	if j.Fingerprint != 0 {
		ids[1] = Job{Service: j.Service, Team: j.Team, Fingerprint: j.Fingerprint}
	}
	return ids
}
