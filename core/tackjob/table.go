package tackjob

import (
	"auburntack/core/tackclock"
	"auburntack/core/tackreplica"
)

// Table holds all known jobs. Its zero value is empty.
type Table struct {
	jobs map[ID]*Job
}

// Get returns the job with the ID, or nil.
func (t *Table) Get(id ID) *Job {
	return t.jobs[id]
}

// Len returns the number of known jobs.
func (t *Table) Len() int {
	return len(t.jobs)
}

// Each calls f for every job, in no particular order.
func (t *Table) Each(f func(*Job)) {
	for _, j := range t.jobs {
		f(j)
	}
}

// Accept adds the job, unless a job with its ID is known, and returns the job that is
// stored under the ID.
func (t *Table) Accept(j *Job, term tackreplica.Term, now tackclock.Time) *Job {
	if known := t.jobs[j.ID]; known != nil {
		return known
	}
	j.Term, j.Accepted = term, now
	if t.jobs == nil {
		t.jobs = make(map[ID]*Job)
	}
	t.jobs[j.ID] = j
	return j
}

// Cancel cancels an open job. It returns the job with the ID, or nil if there is none.
func (t *Table) Cancel(id ID, now tackclock.Time) *Job {
	j := t.jobs[id]
	if j != nil && j.Phase == Open {
		j.close(Cancelled, now)
	}
	return j
}

// Expire removes the jobs that were closed before the given time.
func (t *Table) Expire(before tackclock.Time) {
	for id, j := range t.jobs {
		if j.Phase != Open && j.Closed < before {
			delete(t.jobs, id)
		}
	}
}

// All returns all jobs, for a snapshot.
func (t *Table) All() []*Job {
	all := make([]*Job, 0, len(t.jobs))
	for _, j := range t.jobs {
		all = append(all, j)
	}
	return all
}

// Restore replaces all jobs by those of a snapshot.
func (t *Table) Restore(all []*Job) {
	t.jobs = make(map[ID]*Job, len(all))
	for _, j := range all {
		t.jobs[j.ID] = j
	}
}
