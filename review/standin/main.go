// Command standin runs a case of the review: it starts the system's own processes as the
// deploy file says, plays the platform, the executors, the operator and the requesters
// around them on loopback addresses, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailed  = 2
	caseTimeout = 110 * time.Second
)

// world is what a case plays in.
type world struct {
	rec     *recorder
	host    *host
	cloud   *cloud
	history *history
	req     *requester
	oper    *operator
	trouble bool
}

// verdict says what broke the rule; it is empty if the rule held.
type verdict []string

func (v *verdict) add(format string, args ...any) { *v = append(*v, fmt.Sprintf(format, args...)) }

type play struct {
	controls, entries int
	advised           bool
	run               func(*world) (verdict, error)
}

var plays = map[string]play{
	"foreign-ping": {controls: 3, entries: 2, run: playForeignPing},
	"leaving":      {controls: 3, entries: 2, run: playLeaving},
	"queue-moves":  {controls: 3, entries: 2, run: playQueueMoves},
	"advice":       {controls: 3, entries: 2, advised: true, run: playAdvice},
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file to write to")
	root := flag.String("root", ".", "the repository")
	logs := flag.String("logs", "", "a file for the logs of the processes; empty means that they are dropped")
	flag.Parse()
	os.Exit(playNamed(*name, *record, *root, *logs))
}

func playNamed(name, record, root, logs string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	found, err := playCase(rec, name, root, logs)
	if err != nil {
		rec.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, f := range found {
		rec.printf("BROKEN: %s", f)
		fmt.Println("BROKEN:", f)
	}
	if len(found) > 0 {
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

func playCase(rec *recorder, name, root, logs string) (verdict, error) {
	p, ok := plays[name]
	if !ok {
		return nil, fmt.Errorf("no case %q", name)
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target/auburntackd")); err != nil {
		return nil, errors.New("target/auburntackd is missing: build as the deploy file says")
	}
	h, err := newHost(rec, root, p.controls, p.entries)
	if err != nil {
		return nil, err
	}
	var out *os.File
	if logs != "" {
		if out, err = os.Create(logs); err != nil {
			return nil, err
		}
		defer out.Close()
	}
	timer := time.AfterFunc(caseTimeout, func() {
		rec.printf("the case took too long")
		h.close(nil)
		os.Exit(exitFailed)
	})
	defer timer.Stop()
	defer func() {
		if out != nil {
			h.close(out)
			return
		}
		h.close(nil)
	}()
	w := &world{
		rec: rec, host: h, cloud: new(cloud), history: new(history), trouble: os.Getenv("TROUBLE") != "0",
		req: newRequester(rec, h.entries()), oper: &operator{rec: rec, controls: h.controls()},
	}
	rec.printf("case %s, trouble %t", name, w.trouble)
	if _, err := serve(h.cloud(), w.cloud); err != nil {
		return nil, err
	}
	if p.advised {
		h.advisor = fmt.Sprintf("%s:%d", h.address(2, 2), cloudPort)
	}
	if err := h.startAll(); err != nil {
		return nil, err
	}
	if err := w.oper.configure(firstVersion, p.advised, service, otherService); err != nil {
		return nil, err
	}
	return p.run(w)
}

const (
	service      = "svc-1"
	otherService = "svc-2"
	firstVersion = 7
)

// executor returns a stand-in executor that isn't started.
func (w *world) executor(i int) *executor {
	e := &executor{
		rec: w.rec, history: w.history, id: fmt.Sprintf("i-%04x", i), machine: fmt.Sprintf("m-%04x", i), service: service,
		addr: fmt.Sprintf("%s:8080", w.host.address(3, i)), labels: []string{"a", fmt.Sprintf("r-%d", i%4)},
		cpu: 16000, memory: 32768, controls: w.host.controls(),
	}
	e.next = i
	return e
}

// start starts an executor whose machine the platform lists.
func (w *world) start(e *executor) {
	w.cloud.add(e)
	e.start()
}

// waitFor polls a condition.
func waitFor(within time.Duration, condition func() bool) bool {
	for began := time.Now(); time.Since(began) < within; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func jobID(i int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+i) }

func step(count, cpu int, estimate time.Duration) []map[string]any {
	return []map[string]any{{"count": count, "cpu": cpu, "mem_mb": 256, "est_ms": estimate.Milliseconds()}}
}
