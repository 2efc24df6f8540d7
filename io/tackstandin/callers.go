package tackstandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	callerLimit = 30 * time.Second
	// notesKept bounds the problems that Callers keep in words.
	notesKept = 20
)

type (
	// Callers send requests through a balancer, in turn a PUT, a POST and a
	// POST with an idempotency key that is sent twice, and check that each
	// gets its own whole answer. Set the fields, then call Start.
	Callers struct {
		Balancer *Balancer
		Service  string
		// Number is how many send at the same time, each one request after
		// the other with Pause between them.
		Number int
		Pause  time.Duration

		stop    chan struct{}
		running sync.WaitGroup
		client  *http.Client

		mu     sync.Mutex
		counts CallerCounts
		took   []time.Duration
	}

	// CallerCounts is what came of the callers' requests.
	CallerCounts struct {
		Sent     int
		Answered int
		// Refused got a whole answer of auburntack's own that says
		// did_not_run, Unknown one that says unknown.
		Refused int
		Unknown int
		// Broken got no whole answer, Mixed one that was not theirs.
		Broken int
		Mixed  int
		// DidNotRun names the bodies of the refused requests, without those
		// that repeat a key, whose first request may have run, and
		// OutcomeUnknown those of the unknown ones. A repeated key that is
		// unknown stands there twice.
		DidNotRun      []string
		OutcomeUnknown []string
		// Notes tells the first problems in words.
		Notes []string
	}
)

var methods = [...]string{http.MethodPut, http.MethodPost, http.MethodPost}

// Start sends until Stop.
func (c *Callers) Start() {
	c.stop = make(chan struct{})
	c.client = &http.Client{
		Timeout:   callerLimit,
		Transport: &http.Transport{MaxIdleConnsPerHost: c.Number},
	}
	for n := range c.Number {
		c.running.Add(1)
		go c.send(n)
	}
}

// Stop ends sending, waits for the answers under way and returns the counts.
func (c *Callers) Stop() CallerCounts {
	close(c.stop)
	c.running.Wait()
	c.client.CloseIdleConnections()
	return c.Counts()
}

// Counts returns what has come of the requests so far.
func (c *Callers) Counts() CallerCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.Notes = slices.Clone(counts.Notes)
	counts.DidNotRun = slices.Clone(counts.DidNotRun)
	counts.OutcomeUnknown = slices.Clone(counts.OutcomeUnknown)
	return counts
}

// Took returns the time that the share p of the answered requests took at
// most, with p from 0 to 1.
func (c *Callers) Took(p float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.took) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.took))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

func (c *Callers) send(n int) {
	defer c.running.Done()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(c.Pause):
		}
		body := fmt.Sprintf("%s-%d-%d", c.Service, n, i)
		keyed := i%len(methods) == len(methods)-1
		c.request(methods[i%len(methods)], body, keyed, false)
		if keyed {
			c.request(methods[i%len(methods)], body, keyed, true)
		}
	}
}

func (c *Callers) request(method, body string, keyed, again bool) {
	entry, err := c.Balancer.Pick()
	if err != nil {
		return
	}
	r, err := http.NewRequest(method, "http://"+entry+"/"+c.Service+"/"+body, strings.NewReader(body))
	if err != nil {
		return
	}
	if keyed {
		r.Header.Set("Idempotency-Key", body)
	}
	began := time.Now()
	answer, err := c.client.Do(r)
	if err != nil {
		c.add(func(k *CallerCounts) { k.Broken++ }, "%s %s: %v", method, body, err)
		return
	}
	defer answer.Body.Close()
	got, err := io.ReadAll(answer.Body)
	if err != nil {
		c.add(func(k *CallerCounts) { k.Broken++ }, "%s %s: %v", method, body, err)
		return
	}
	c.judge(answer, got, body, again, time.Since(began))
}

func (c *Callers) judge(answer *http.Response, got []byte, body string, again bool, took time.Duration) {
	outcome := answer.Header.Get("Auburntack-Outcome")
	if outcome == "answered" && answer.StatusCode == http.StatusOK {
		var whole Answer
		if json.Unmarshal(bytes.TrimSpace(got), &whole) != nil || whole.Body != body {
			c.add(func(k *CallerCounts) { k.Mixed++ }, "%s: another's answer %q", body, got)
			return
		}
		c.mu.Lock()
		c.counts.Sent++
		c.counts.Answered++
		c.took = append(c.took, took)
		c.mu.Unlock()
		return
	}
	c.add(func(k *CallerCounts) {
		if outcome == "did_not_run" {
			k.Refused++
			if !again {
				k.DidNotRun = append(k.DidNotRun, body)
			}
		} else {
			k.Unknown++
			k.OutcomeUnknown = append(k.OutcomeUnknown, body)
		}
	}, "%s: status %d, outcome %q: %s", body, answer.StatusCode, outcome, got)
}

func (c *Callers) add(count func(*CallerCounts), format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Sent++
	count(&c.counts)
	if len(c.counts.Notes) < notesKept {
		c.counts.Notes = append(c.counts.Notes, fmt.Sprintf(format, args...))
	}
}
