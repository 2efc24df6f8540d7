// Command standin2 plays the scripted cases of the second review. It starts the project's
// programs as processes on loopback addresses, and acts as the platform, the executors, the
// operator and the requesters. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scene is a running system with its stand-ins.
type scene struct {
	c       *cluster
	rec     *recorder
	cloud   *cloud
	work    work
	gangs   *gangs
	trouble bool
	next    int
	lives   map[string]*machine // by the id of the executor
}

type scenario func(s *scene) (violations []string, err error)

var scenarios = map[string]scenario{}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return couldNot
	}
	run, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin2: no such case")
		return couldNot
	}
	rec := newRecorder()
	s := &scene{rec: rec, lives: make(map[string]*machine), trouble: os.Getenv("TROUBLE") != "0", work: func(string) time.Duration { return 4 * time.Second }}
	var err error
	if s.c, err = newCluster(3, 1); err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return couldNot
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.c.stopAll()
		_ = rec.write(os.Args[2])
		os.Exit(couldNot)
	}()
	violations, err := s.play(run)
	s.c.stopAll()
	result := held
	switch {
	case err != nil:
		rec.note("RESULT could not run: %v", err)
		result = couldNot
	case len(violations) > 0:
		for _, v := range violations {
			rec.note("RESULT broken: %s", v)
		}
		result = broken
	default:
		rec.note("RESULT held")
	}
	if err := rec.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return couldNot
	}
	for _, line := range rec.lines[max(0, len(rec.lines)-4):] {
		fmt.Println(line)
	}
	return result
}

func (s *scene) play(run scenario) ([]string, error) {
	s.rec.note("TROUBLE %t", s.trouble)
	s.cloud = &cloud{rec: s.rec, pools: map[string]bool{"huvo11a": true, "lohu93e": true}, ended: s.machineEnded}
	if err := s.cloud.serve(s.c.cloud); err != nil {
		return nil, err
	}
	if err := s.c.startAll(); err != nil {
		return nil, err
	}
	if err := configure(s.rec, s.c, config(1, false), 20*time.Second); err != nil {
		return nil, err
	}
	return run(s)
}

// nodes returns the addresses of all nodes that serve executors.
func (s *scene) nodes() []string {
	var list []string
	for _, n := range s.c.controls {
		list = append(list, n.controlAddress())
	}
	return list
}

// addMachine adds an executor's machine to the pool.
func (s *scene) addMachine(name string, labels ...string) *machine {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	m := &machine{name: name, pool: "huvo11a", labels: labels, waves: make(map[int64]bool)}
	s.cloud.machines = append(s.cloud.machines, m)
	return m
}

// startOn starts an executor on a machine. Its lifetimes have the same address.
func (s *scene) startOn(m *machine, nodes []string) *executor {
	s.next++
	addr := ""
	for i, o := range s.cloud.machines {
		if o == m {
			addr = fmt.Sprintf("%s:%d", s.c.ip(3, i+1), executorPort)
		}
	}
	id := fmt.Sprintf("i-%04x", 0x1000+s.next)
	s.lives[id] = m
	return startExecutor(s.rec, m, id, m.pool, addr, nodes, s.work, s.gangs)
}

// machineEnded ends the executor of a machine that the platform moves or takes down, and starts
// the next one when the machine is back. The caller holds the cloud's lock.
func (s *scene) machineEnded(m *machine, after time.Duration) {
	if m.current != nil {
		m.current.end("ordered by the platform")
	}
	time.AfterFunc(after, func() {
		s.cloud.mu.Lock()
		defer s.cloud.mu.Unlock()
		if !m.crashed {
			s.startOn(m, s.nodes())
		}
	})
}

// twice returns the pairs of runs of one work item that overlapped on executors that were up.
func (s *scene) twice() []string {
	var list []string
	for item, runs := range s.rec.runs() {
		for i := range runs {
			for j := i + 1; j < len(runs); j++ {
				if a, b := runs[i], runs[j]; b.from < a.to {
					list = append(list, fmt.Sprintf("TWICE: %s: run %d on %s from %.3f to %.3f, run %d on %s from %.3f to %.3f",
						item, a.run, a.executor, a.from.Seconds(), a.to.Seconds(), b.run, b.executor, b.from.Seconds(), b.to.Seconds()))
				}
			}
		}
	}
	return list
}
