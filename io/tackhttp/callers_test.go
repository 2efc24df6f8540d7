package tackhttp

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tackroute"
)

// await waits until cond holds.
func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !cond(); {
		if time.Now().After(end) {
			t.Fatal("waited in vain: " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Symptom: backend servers work for callers that have left, and the queue
// holds places for them.
// Sequence: callers hang up while their requests run or wait.
// Cause: nothing told the dispatch or the queue.
func TestCallerHangsUp(t *testing.T) {
	closed := make(chan struct{}, 1)
	backend := newScript(t, func(s *script, n int, c net.Conn, r *bufio.Reader) {
		if n > 0 {
			echo(s, n, c, r)
			return
		}
		s.take(r)
		r.ReadByte() // until the entry VM closes the connection
		closed <- struct{}{}
	})
	e := newEntry(t, Config{}, backend.address)
	e.table.Services["names"][0].Slots = 1
	var callers []net.Conn
	for range 40 {
		c, err := net.Dial("tcp", e.address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "POST /names HTTP/1.1\r\nHost: names\r\nContent-Length: 0\r\n\r\n")
		callers = append(callers, c)
		if len(callers) == 1 {
			await(t, "the first runs", func() bool { return e.InFlight("w-0") == 1 })
		}
	}
	s := e.service(&e.table, "names")
	waiting := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gate.Waiting()
	}
	await(t, "the others wait", func() bool { return waiting() == 39 })
	for _, c := range callers[1:] {
		c.Close()
	}
	await(t, "they left the queue", func() bool { return waiting() == 0 })
	if n := backend.runs(); n != 1 {
		t.Errorf("%d executions, want 1", n)
	}
	callers[0].Close()
	<-closed
	await(t, "nothing is in flight", func() bool { return e.Idle("w-0") })
	assertContains(t, exchange(t, e.address, request("GET", "/names")), "HTTP/1.1 200 OK\r\n")
}

// Symptom: a backend server that is leaving gets new work.
// Sequence: a request waits for a slot; the backend servers leave the table and
// another one comes; the slot becomes free.
// Cause: the request was sent by the table of its arrival.
func TestQueuedRequestFollowsTable(t *testing.T) {
	release := make(chan struct{})
	old := newScript(t, func(s *script, _ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := s.take(r); err != nil {
				return
			}
			<-release
			io.WriteString(c, ok)
		}
	})
	fresh := newScript(t, echo)
	e := newEntry(t, Config{}, old.address)
	e.table.Services["names"][0].Slots = 1
	var table atomic.Pointer[tackroute.Table]
	table.Store(&e.table)
	e.cfg.Routes = table.Load
	var running sync.WaitGroup
	for range 2 {
		running.Go(func() { exchange(t, e.address, request("POST", "/names", "Content-Length: 0")) })
	}
	s := e.service(&e.table, "names")
	await(t, "one runs and one waits", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gate.Waiting() == 1 && s.chooser.InFlight("w-0") == 1
	})
	next := e.table
	next.Services = map[tackid.Service][]tackroute.Candidate{"names": {{BackendServer: "names-9", VM: "w-9", Address: fresh.address, Slots: 1}}}
	table.Store(&next)
	close(release)
	running.Wait()
	if old.runs() != 1 || fresh.runs() != 1 {
		t.Errorf("%d executions on the one that left, %d on the other, want 1 and 1", old.runs(), fresh.runs())
	}
}

func TestExpectContinue(t *testing.T) {
	backend := newScript(t, echo)
	e := newEntry(t, Config{}, backend.address)
	for name, test := range map[string]struct {
		length int
		want   string
	}{
		"held":     {5, "HTTP/1.1 100 Continue"},
		"streamed": {2 << 20, "HTTP/1.1 100 Continue"},
		"refused":  {1 << 40, "HTTP/1.1 413 "},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", e.address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, request("POST", "/names", "Expect: 100-continue", fmt.Sprint("Content-Length: ", test.length)))
			r := bufio.NewReader(c)
			line, _ := r.ReadString('\n')
			assertContains(t, line, test.want)
			if !strings.Contains(line, "100") {
				return
			}
			body := strings.Repeat("x", test.length)
			io.WriteString(c, body)
			rest, _ := io.ReadAll(r)
			assertContains(t, string(rest[:100]), "HTTP/1.1 200 OK\r\n")
			if n := strings.Count(string(rest), "x"); n < test.length {
				t.Errorf("%d bytes came back", n)
			}
		})
	}
}

// Symptom: an entry VM runs out of memory or connections.
// Sequence: callers begin a header or a body and send no more.
// Cause: nothing bounded the wait for the rest.
func TestSlowCallersAreCut(t *testing.T) {
	backend := newScript(t, echo)
	limits := quick()
	limits.HeaderWait = 200 * tackclock.Millisecond
	e := newEntry(t, Config{Limits: limits}, backend.address)
	if got := exchange(t, e.address, "GET /names HTTP/1.1\r\nHost:"); strings.Contains(got, "200") {
		t.Errorf("half a header got %q", got)
	}
	got := exchange(t, e.address, request("POST", "/names", "Content-Length: 5")+"he")
	assertOwn(t, got, http.StatusRequestTimeout, codeSlowBody, tackledger.OutcomeDidNotRun)
	if n := backend.runs(); n != 0 {
		t.Errorf("%d executions", n)
	}
	streamed := exchange(t, e.address, request("POST", "/names", "Content-Length: 2000000")+"he")
	if strings.Contains(streamed, "200 OK") || backend.runs() != 0 {
		t.Errorf("half a body got %q", streamed)
	}
	await(t, "nothing is in flight", func() bool { return e.Idle("w-0") })
}

// Symptom: the memory of an entry VM grows with the size of what passes.
// Sequence: large bodies are sent both ways.
// Cause: a body was held instead of passed on.
func TestStreamsAtFlatMemory(t *testing.T) {
	const size = 256 << 20
	if grown := streamed(t, size); grown > 4<<20 {
		t.Errorf("%d bytes were allocated for %d that passed", grown, size)
	}
}

// BenchmarkStream sends 1 GiB both ways. Run it with -benchtime 1x.
func BenchmarkStream(b *testing.B) {
	const size = 1 << 30
	b.SetBytes(2 * size)
	for range b.N {
		b.ReportMetric(float64(streamed(b, size)), "allocated_bytes")
	}
}

// streamed sends size bytes both ways and returns how many bytes were
// allocated meanwhile by callers, the entry VM and the backend server.
func streamed(t testing.TB, size int64) uint64 {
	t.Helper()
	backend := newScript(t, func(_ *script, _ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n)
		io.Copy(c, io.LimitReader(zeros{}, n))
	})
	e := newEntry(t, Config{}, backend.address)
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fmt.Fprintf(c, "POST /names HTTP/1.1\r\nHost: names\r\nContent-Length: %d\r\n\r\n", size)
	io.Copy(c, io.LimitReader(zeros{}, size))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != size {
		t.Errorf("%d bytes came back, %v", n, err)
	}
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Symptom: the answer to a large upload is cut or never begins.
// Sequence: the backend server answers before it has read the whole body; the
// caller sends the rest once it has seen the answer begin.
// Cause: the server takes the rest of a request's body for itself once the
// answer begins, and the backend server waits for it in vain.
func TestEarlyAnswerToUpload(t *testing.T) {
	const size, rest = 2 << 20, 100 << 10
	backend := newScript(t, func(_ *script, _ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.CopyN(io.Discard, req.Body, size-rest)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		io.CopyN(c, zeros{}, size/2)
		if n, _ := io.Copy(io.Discard, req.Body); n == rest {
			io.CopyN(c, zeros{}, size/2)
		}
	})
	e := newEntry(t, Config{Limits: Limits{BodyWait: 2 * tackclock.Second}}, backend.address)
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /names HTTP/1.1\r\nHost: names\r\nContent-Length: %d\r\n\r\n", size)
	io.CopyN(c, zeros{}, size-rest)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.CopyN(c, zeros{}, rest)
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size {
		t.Errorf("%d bytes came back, %v", n, err)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Symptom: a request that was accepted is cut by a planned stop.
// Sequence: the entry VM is told to stop while requests run.
// Cause: the stop did not wait for them.
func TestShutdownFinishesWhatRuns(t *testing.T) {
	release := make(chan struct{})
	backend := newScript(t, func(s *script, n int, c net.Conn, r *bufio.Reader) {
		s.take(r)
		<-release
		// It closes the connection, and says so: otherwise a request that
		// waits for one may take this one and rightly gets no answer.
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	})
	h := newEntry(t, Config{}, backend.address)
	server := NewServer(h.Handler)
	l, err := server.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			got := exchange(t, l.Addr().String(), "POST /names HTTP/1.1\r\nHost: names\r\nContent-Length: 0\r\n\r\n")
			assertContains(t, got, "HTTP/1.1 200 OK\r\n", "Connection: close\r\n", "\r\n\r\nok")
		})
	}
	await(t, "they run", func() bool { return h.InFlight("w-0") == 8 })
	running.Go(func() {
		if err := server.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
	})
	await(t, "the stop has begun", func() bool {
		_, err := net.Dial("tcp", l.Addr().String())
		return err != nil
	})
	close(release)
	running.Wait()
}

// Symptom: a line break that a caller sent forges a line of the log, or a body
// is found there.
// Sequence: callers send malformed and unusual requests.
// Cause: what they sent was logged as it came.
func TestNothingOfCallersIsLoggedRaw(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetLevel(logrus.DebugLevel)
	backend := newScript(t, say(""))
	e := newEntry(t, Config{Logger: logger}, backend.address)
	for _, text := range []string{
		"GET /names\x1b[31m HTTP/1.1\r\n\r\n",
		request("POST", "/names", "X: a\rforged", "Content-Length: 6") + "secret",
		request("POST", "/names/%0aforged", "Content-Length: 6") + "secret",
	} {
		exchange(t, e.address, text)
	}
	e.running.Wait()
	for _, bad := range []string{"secret", "\x1b", "\nforged", "level=info"} {
		if strings.Contains(out.String(), bad) {
			t.Errorf("%q is in the log:\n%s", bad, out.String())
		}
	}
}
