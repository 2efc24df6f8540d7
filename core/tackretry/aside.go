package tackretry

import (
	"cmp"
	"maps"
	"slices"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// defaultServers is on how many healthy backend servers a job must fail.
	defaultServers = 3
	// defaultJobs bounds how many failing jobs are kept in mind.
	defaultJobs = 4096
	// firstAside is how long a job is first set aside; each time that its
	// next try fails lasts twice as long, up to longestAside.
	firstAside   = tackclock.Minute
	longestAside = tackclock.Hour
	// forgetAfter is how long a failing job is kept in mind after its last
	// failure, beyond the time that it is set aside.
	forgetAfter = 10 * tackclock.Minute
)

type (
	// Job tells what a request asks for, so that it is known again. The Key
	// is the idempotency key if there is one. The Shape is a hash of what the
	// request consists of, zero if it is not known.
	Job struct {
		Service tackid.Service
		Team    tackid.Team
		Key     tackid.Key
		Shape   uint64
	}

	// Failure is a try of a job that a backend server failed.
	Failure struct {
		Job           Job
		BackendServer tackid.BackendServer
		// Healthy says that the backend server answers other requests. Only
		// then does the failure speak against the job.
		Healthy bool
	}

	// SetAside is a job that is not tried for now.
	SetAside struct {
		Job            Job
		BackendServers []tackid.BackendServer
		Since, Until   tackclock.Time
		// Refused counts the requests for the job that were turned away.
		Refused int
	}

	// AsideSettings are the tunables of an Aside. A zero field takes its
	// default.
	AsideSettings struct {
		// Servers is on how many healthy backend servers a job must fail.
		Servers int
		// Jobs bounds how many failing jobs are kept in mind.
		Jobs int
	}

	// Aside finds the jobs that can never run, and sets them aside. Such a job
	// fails wherever it goes; a caller that repeats it for ever would use up
	// slots and the retry budget, and have one backend server after another
	// taken for broken.
	//
	// A job counts as such once it has failed on several backend servers that
	// answer other requests, with no success between. It is then refused for
	// a while, after which one request may try it again.
	//
	// The zero value is ready to use. It is not safe for concurrent use.
	Aside struct {
		Settings AsideSettings

		jobs map[Job]*failing
	}

	// failing is a job that failed lately.
	failing struct {
		servers []tackid.BackendServer
		last    tackclock.Time
		since   tackclock.Time
		until   tackclock.Time
		aside   tackclock.Duration
		refused int
	}
)

// Failed learns that a backend server failed the job. It reports whether the
// job is set aside by that.
func (a *Aside) Failed(now tackclock.Time, f Failure) bool {
	if !f.Healthy {
		return false
	}
	aside := false
	for _, id := range f.Job.identities() {
		if id != (Job{}) && a.strike(now, id, f.BackendServer) {
			aside = true
		}
	}
	return aside
}

// Answered learns that the job can run.
func (a *Aside) Answered(job Job) {
	if len(a.jobs) == 0 {
		return
	}
	for _, id := range job.identities() {
		delete(a.jobs, id)
	}
}

// Check returns for how long the job is still set aside, zero if it may be
// tried. It counts the request as turned away if it is.
func (a *Aside) Check(now tackclock.Time, job Job) tackclock.Duration {
	if len(a.jobs) == 0 {
		return 0
	}
	var wait tackclock.Duration
	for _, id := range job.identities() {
		f := a.jobs[id]
		if f == nil || f.aside == 0 {
			continue
		}
		if !now.Before(f.until) {
			// One request probes; the others wait for what becomes of it.
			f.until = now.Add(firstAside)
			continue
		}
		f.refused++
		wait = max(wait, f.until.Sub(now))
	}
	return wait
}

// List returns the jobs that are set aside, the longest first.
func (a *Aside) List(now tackclock.Time) []SetAside {
	var list []SetAside
	for id, f := range a.jobs {
		if f.aside > 0 && now.Before(f.until) {
			list = append(list, SetAside{Job: id, BackendServers: slices.Clone(f.servers),
				Since: f.since, Until: f.until, Refused: f.refused})
		}
	}
	slices.SortFunc(list, func(x, y SetAside) int {
		return cmp.Or(cmp.Compare(x.Since, y.Since), cmp.Compare(x.Job.Key, y.Job.Key),
			cmp.Compare(x.Job.Shape, y.Job.Shape), cmp.Compare(x.Job.Service, y.Job.Service),
			cmp.Compare(x.Job.Team, y.Job.Team))
	})
	return list
}

// strike counts a failure of the job on a backend server.
func (a *Aside) strike(now tackclock.Time, id Job, server tackid.BackendServer) bool {
	f := a.jobs[id]
	if f == nil || now.Sub(f.last) >= forgetAfter+f.aside {
		f = a.remember(now, id)
	}
	f.last = now
	if !slices.Contains(f.servers, server) {
		f.servers = append(f.servers, server)
	}
	if f.aside == 0 {
		if len(f.servers) < orDefault(a.Settings.Servers, defaultServers) {
			return false
		}
		f.since = now
	}
	f.aside = min(max(2*f.aside, firstAside), longestAside)
	f.until = now.Add(f.aside)
	return true
}

// remember makes room for one more failing job, and drops the one that failed
// longest ago if there is none.
func (a *Aside) remember(now tackclock.Time, id Job) *failing {
	if a.jobs == nil {
		a.jobs = make(map[Job]*failing)
	}
	if len(a.jobs) >= orDefault(a.Settings.Jobs, defaultJobs) {
		a.forget(now)
	}
	f := new(failing)
	a.jobs[id] = f
	return f
}

// forget drops all jobs that are past their time, or else a quarter of those
// that failed longest ago, so that its cost is shared by many failures.
func (a *Aside) forget(now tackclock.Time) {
	before := len(a.jobs)
	maps.DeleteFunc(a.jobs, func(_ Job, f *failing) bool {
		return now.Sub(f.last) >= forgetAfter+f.aside
	})
	if len(a.jobs) < before {
		return
	}
	ids := slices.SortedFunc(maps.Keys(a.jobs), func(x, y Job) int {
		return cmp.Compare(a.jobs[x].last, a.jobs[y].last)
	})
	for _, id := range ids[:max(1, len(ids)/4)] {
		delete(a.jobs, id)
	}
}

// identities returns what the job is known by: its key, and its shape, each
// zero if there is none.
func (j Job) identities() [2]Job {
	var ids [2]Job
	if j.Key != "" {
		ids[0] = Job{Service: j.Service, Team: j.Team, Key: j.Key}
	}
	if j.Shape != 0 {
		ids[1] = Job{Service: j.Service, Team: j.Team, Shape: j.Shape}
	}
	return ids
}
