package main

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Symptom: a Notice or reconciliation runs twice.
// Sequence: a request with a key is under way when the VM that sent it dies;
// the caller repeats it through the others, at the same time and later.
// Cause: a record of the key that only the dead VM held, or one that a repeat
// may take over while the first run may still go on.
func TestKeyedWorkWhenTheEntryDies(t *testing.T) {
	s := newSite(t, 4)
	for _, b := range s.servers {
		b.Delay = time.Second
	}
	dead := s.daemons[1]
	r, err := http.NewRequest(http.MethodPost, "http://"+dead.Caller+"/names-api/once", strings.NewReader("once"))
	must(t, err)
	r.Header.Set("Idempotency-Key", "once")
	go func() {
		if answer, err := http.DefaultClient.Do(r); err == nil {
			answer.Body.Close()
		}
	}()
	s.await(t, "the work to begin", func() bool { return s.tally.OfKey("once") == 1 })
	dead.Kill()
	var repeats sync.WaitGroup
	answers := make([]answer, 8)
	for i := range answers {
		repeats.Add(1)
		go func() {
			defer repeats.Done()
			answers[i] = callOn(t, s.daemons[i%2*2], http.MethodPost, "once", "once")
		}()
	}
	repeats.Wait()
	must(t, dead.Start(startLimit))
	late := callOn(t, dead, http.MethodPost, "once", "once")
	Convey("It ran once, and nobody is told that it did not run", t, func() {
		So(s.tally.OfKey("once"), ShouldEqual, 1)
		for _, a := range append(answers, late) {
			So(a.outcome, ShouldNotEqual, "did_not_run")
			So(a.outcome, ShouldNotEqual, "answered")
		}
	})
}

// Symptom: a key gives two answers.
// Sequence: the same key comes through every VM at the same moment, while the
// leader dies.
// Cause: records that two VMs made apart.
func TestKeyedWorkInARace(t *testing.T) {
	s := newSite(t, 4)
	leads, others := s.leader(t)
	var racers sync.WaitGroup
	answers := make([]answer, 12)
	for i := range answers {
		racers.Add(1)
		go func() {
			defer racers.Done()
			answers[i] = callOn(t, others[i%2], http.MethodPost, "race", "race")
		}()
	}
	leads.Kill()
	racers.Wait()
	var last answer
	s.await(t, "the recorded answer", func() bool {
		last = callOn(t, others[0], http.MethodPost, "race", "race")
		return last.outcome == "answered" || last.outcome == "unknown"
	})
	Convey("It ran at most once and every answer is the same", t, func() {
		So(s.tally.OfKey("race"), ShouldBeLessThanOrEqualTo, 1)
		for _, a := range answers {
			if a.outcome == "answered" {
				So(a.body, ShouldEqual, last.body)
			}
		}
	})
	must(t, leads.Start(startLimit))
}
