package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["4"] = latePing }

// latePing: a ping that was delayed by a cut arrives after its sender has crashed and a new
// lifetime has registered at the same address.
func latePing(s *scene) ([]string, error) {
	for i := range 7 {
		s.startOn(s.addMachine(fmt.Sprintf("m-a%d", i), "a", fmt.Sprintf("r1-%d", i/4)), s.nodes())
	}
	c := s.addMachine("m-c1", "a", "r1-3")
	time.Sleep(2 * time.Second)
	if !s.trouble {
		s.startOn(c, s.nodes())
		time.Sleep(3 * time.Second)
		return s.runJob(c)
	}
	lead := leader(s.c)
	if lead == nil {
		return nil, errors.New("no node leads")
	}
	var links []*proxy
	var through []string
	for i, n := range append([]*node{lead}, s.c.controls...) {
		p, err := newProxy(fmt.Sprintf("%s:%d", s.c.ip(4, i+1), controlPort), n.controlAddress())
		if err != nil {
			return nil, err
		}
		p.hold()
		links, through = append(links, p), append(through, p.address())
	}
	s.rec.note("CUT   the link of machine m-c1 is cut")
	first := s.startOn(c, through)
	time.Sleep(700 * time.Millisecond)
	first.end("crash")
	time.Sleep(500 * time.Millisecond)
	s.rec.note("CUT   is over; what it delayed is sent again by the machine 1.2 s later")
	time.AfterFunc(1200*time.Millisecond, func() {
		s.rec.note("LATE  the delayed pings of the first lifetime arrive")
		for _, p := range links {
			p.release()
		}
	})
	s.startOn(c, s.nodes())
	return s.runJob(c)
}

// runJob hands in a job and watches it.
func (s *scene) runJob(c *machine) ([]string, error) {
	const id = "5c0e7a21d94b36f8"
	time.Sleep(300 * time.Millisecond)
	job := map[string]any{"spec": "review", "steps": []map[string]any{{"count": 4, "cpu": 4000, "mem_mb": 1024, "est_ms": 4000, "affinity": "r1-3"}}}
	if err := submit(s.rec, s.c, id, job); err != nil {
		return nil, err
	}
	for i := 0; c.current.runs() == 0; i++ {
		if i == 100 {
			return nil, errors.New("nothing was started on machine m-c1")
		}
		time.Sleep(10 * time.Millisecond)
	}
	for range 30 {
		time.Sleep(500 * time.Millisecond)
		if _, state := state(s.rec, s.c, id); state == "complete" {
			break
		}
	}
	return s.twice(), nil
}
