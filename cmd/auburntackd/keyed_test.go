package main

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against work with an idempotency key that runs twice. A request with a
// key is in flight when the daemon that sent it is killed; the caller repeats it
// through the others, concurrently and later. The record of the key must not
// exist only on the killed daemon, and a repeat must not take it over while the
// first execution may still be running.
func TestKeyedWorkWhenTheEntryDies(t *testing.T) {
	s := newSite(t, 4)
	for _, b := range s.servers {
		b.Delay = time.Second
	}
	killed := s.daemons[1]
	r, err := http.NewRequest(http.MethodPost, "http://"+killed.Caller+"/names-api/once", strings.NewReader("once"))
	must(t, err)
	r.Header.Set("Idempotency-Key", "once")
	go func() {
		if answer, err := http.DefaultClient.Do(r); err == nil {
			answer.Body.Close()
		}
	}()
	s.await(t, "the work to begin", func() bool { return s.tally.OfKey("once") == 1 })
	killed.Kill()
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
	must(t, killed.Start(waitTimeout))
	late := callOn(t, killed, http.MethodPost, "once", "once")
	Convey("It ran once, and no caller is told that it did not run", t, func() {
		So(s.tally.OfKey("once"), ShouldEqual, 1)
		for _, a := range append(answers, late) {
			So(a.outcome, ShouldNotEqual, "did_not_run")
			So(a.outcome, ShouldNotEqual, "answered")
		}
	})
}

// Guards against one idempotency key with two answers. Requests with the same
// key arrive at several daemons at the same time while the leader is killed. Two
// daemons must not create records of the key independently.
func TestKeyedWorkInARace(t *testing.T) {
	s := newSite(t, 4)
	leader, others := s.leader(t)
	var calls sync.WaitGroup
	answers := make([]answer, 12)
	for i := range answers {
		calls.Add(1)
		go func() {
			defer calls.Done()
			answers[i] = callOn(t, others[i%2], http.MethodPost, "race", "race")
		}()
	}
	leader.Kill()
	calls.Wait()
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
	must(t, leader.Start(waitTimeout))
}
