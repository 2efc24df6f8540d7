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
	callerTimeout = 30 * time.Second
	// maxNotes limits the problems that Callers describe.
	maxNotes = 20
)

type (
	// Callers send requests through a balancer, in turn a PUT, a POST, and a
	// POST with an idempotency key that is sent twice, and check that each
	// gets a complete answer of its own. Set the fields, then call Start.
	Callers struct {
		Balancer *Balancer
		Service  string
		// Number is the number of concurrent callers. Each sends one request
		// after the other, with Pause between them.
		Number int
		Pause  time.Duration

		stop    chan struct{}
		running sync.WaitGroup
		client  *http.Client

		mu        sync.Mutex
		counts    CallerCounts
		latencies []time.Duration
	}

	// CallerCounts counts the callers' requests by result.
	CallerCounts struct {
		Sent     int
		Answered int
		// Refused counts answers of auburntack with the outcome did_not_run,
		// Unknown those with another outcome or status.
		Refused int
		Unknown int
		// Broken counts requests without a complete answer, Mismatched those
		// that got the answer to another request.
		Broken     int
		Mismatched int
		// DidNotRun lists the bodies of which every request was refused: a key
		// may be refused at first and run when it is repeated. OutcomeUnknown
		// lists the bodies of Unknown, a repeated key possibly twice.
		DidNotRun      []string
		OutcomeUnknown []string
		// Notes describes the first problems.
		Notes []string
	}
)

var methods = [...]string{http.MethodPut, http.MethodPost, http.MethodPost}

// Start sends requests in the background until Stop is called.
func (c *Callers) Start() {
	c.stop = make(chan struct{})
	c.client = &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: c.Number},
	}
	for n := range c.Number {
		c.running.Add(1)
		go c.send(n)
	}
}

// Stop stops sending, waits for requests in flight and returns the counts.
func (c *Callers) Stop() CallerCounts {
	close(c.stop)
	c.running.Wait()
	c.client.CloseIdleConnections()
	return c.Counts()
}

// Counts returns a copy of the counts so far.
func (c *Callers) Counts() CallerCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.Notes = slices.Clone(counts.Notes)
	counts.DidNotRun = slices.Clone(counts.DidNotRun)
	counts.OutcomeUnknown = slices.Clone(counts.OutcomeUnknown)
	return counts
}

// Latency returns the quantile p, from 0 to 1, of the durations of answered
// requests.
func (c *Callers) Latency(p float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.latencies))
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
		refused := c.request(methods[i%len(methods)], body, keyed)
		if keyed {
			refused = c.request(methods[i%len(methods)], body, keyed) && refused
		}
		if refused {
			c.addNotRun(body)
		}
	}
}

// request sends one request and reports whether it was refused or not sent.
func (c *Callers) request(method, body string, keyed bool) bool {
	entry, err := c.Balancer.Pick()
	if err != nil {
		return true
	}
	r, err := http.NewRequest(method, "http://"+entry+"/"+c.Service+"/"+body, strings.NewReader(body))
	if err != nil {
		return true
	}
	if keyed {
		r.Header.Set("Idempotency-Key", body)
	}
	start := time.Now()
	answer, err := c.client.Do(r)
	if err != nil {
		c.add(func(k *CallerCounts) { k.Broken++ }, "%s %s: %v", method, body, err)
		return false
	}
	defer answer.Body.Close()
	got, err := io.ReadAll(answer.Body)
	if err != nil {
		c.add(func(k *CallerCounts) { k.Broken++ }, "%s %s: %v", method, body, err)
		return false
	}
	return c.record(answer, got, body, time.Since(start))
}

// record counts the answer and reports whether it is a refusal.
func (c *Callers) record(answer *http.Response, got []byte, body string, latency time.Duration) bool {
	outcome := answer.Header.Get("Auburntack-Outcome")
	if outcome == "answered" && answer.StatusCode == http.StatusOK {
		var decoded Answer
		if json.Unmarshal(bytes.TrimSpace(got), &decoded) != nil || decoded.Body != body {
			c.add(func(k *CallerCounts) { k.Mismatched++ }, "%s: another's answer %q", body, got)
			return false
		}
		c.mu.Lock()
		c.counts.Sent++
		c.counts.Answered++
		c.latencies = append(c.latencies, latency)
		c.mu.Unlock()
		return false
	}
	refused := outcome == "did_not_run"
	c.add(func(k *CallerCounts) {
		if refused {
			k.Refused++
		} else {
			k.Unknown++
			k.OutcomeUnknown = append(k.OutcomeUnknown, body)
		}
	}, "%s: status %d, outcome %q: %s", body, answer.StatusCode, outcome, got)
	return refused
}

func (c *Callers) addNotRun(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.DidNotRun = append(c.counts.DidNotRun, body)
}

func (c *Callers) add(count func(*CallerCounts), format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Sent++
	count(&c.counts)
	if len(c.counts.Notes) < maxNotes {
		c.counts.Notes = append(c.counts.Notes, fmt.Sprintf(format, args...))
	}
}
