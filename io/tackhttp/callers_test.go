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

// waitUntil waits until cond holds, and fails the test if that takes too long.
func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !cond(); {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

// When callers close their connections, their requests must be cancelled at the
// backend server and removed from the queue.
func TestCallerHangsUp(t *testing.T) {
	closed := make(chan struct{}, 1)
	backend := newScriptedBackend(t, func(s *scriptedBackend, n int, c net.Conn, r *bufio.Reader) {
		if n > 0 {
			echo(s, n, c, r)
			return
		}
		s.readRequest(r)
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
			waitUntil(t, "the first request runs", func() bool { return e.InFlight("w-0") == 1 })
		}
	}
	s := e.service(&e.table, "names")
	waiting := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gate.Waiting()
	}
	waitUntil(t, "the others wait in the queue", func() bool { return waiting() == 39 })
	for _, c := range callers[1:] {
		c.Close()
	}
	waitUntil(t, "the queue is empty", func() bool { return waiting() == 0 })
	if n := backend.executions(); n != 1 {
		t.Errorf("%d executions, want 1", n)
	}
	callers[0].Close()
	<-closed
	waitUntil(t, "nothing is in flight", func() bool { return e.Idle("w-0") })
	assertContains(t, exchange(t, e.address, request("GET", "/names")), "HTTP/1.1 200 OK\r\n")
}

// A request that waited for a slot must be sent by the current routing table,
// not by that of its arrival, which may contain backend servers that were
// removed since.
func TestQueuedRequestFollowsTable(t *testing.T) {
	release := make(chan struct{})
	old := newScriptedBackend(t, func(s *scriptedBackend, _ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := s.readRequest(r); err != nil {
				return
			}
			<-release
			io.WriteString(c, okAnswer)
		}
	})
	fresh := newScriptedBackend(t, echo)
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
	waitUntil(t, "one request runs and one waits", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gate.Waiting() == 1 && s.chooser.InFlight("w-0") == 1
	})
	next := e.table
	next.Services = map[tackid.Service][]tackroute.Candidate{"names": {{BackendServer: "names-9", VM: "w-9", Address: fresh.address, Slots: 1}}}
	table.Store(&next)
	close(release)
	running.Wait()
	if old.executions() != 1 || fresh.executions() != 1 {
		t.Errorf("%d executions on the removed backend server, %d on the new one, want 1 and 1", old.executions(), fresh.executions())
	}
}

func TestExpectContinue(t *testing.T) {
	backend := newScriptedBackend(t, echo)
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
				t.Errorf("received %d bytes", n)
			}
		})
	}
}

// Callers that stop sending in the middle of a header or a body must be
// disconnected. Otherwise they exhaust the memory and connections of the entry
// VM.
func TestSlowCallersAreCut(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	limits := shortLimits()
	limits.HeaderTimeout = 200 * tackclock.Millisecond
	e := newEntry(t, Config{Limits: limits}, backend.address)
	if got := exchange(t, e.address, "GET /names HTTP/1.1\r\nHost:"); strings.Contains(got, "200") {
		t.Errorf("half a header got %q", got)
	}
	got := exchange(t, e.address, request("POST", "/names", "Content-Length: 5")+"he")
	assertOwn(t, got, http.StatusRequestTimeout, codeSlowBody, tackledger.OutcomeDidNotRun)
	if n := backend.executions(); n != 0 {
		t.Errorf("%d executions", n)
	}
	streamed := exchange(t, e.address, request("POST", "/names", "Content-Length: 2000000")+"he")
	if strings.Contains(streamed, "200 OK") || backend.executions() != 0 {
		t.Errorf("half a body got %q", streamed)
	}
	waitUntil(t, "nothing is in flight", func() bool { return e.Idle("w-0") })
}

// Large bodies must be streamed in both directions, so that the memory of an
// entry VM doesn't grow with their size.
func TestStreamsAtFlatMemory(t *testing.T) {
	const size = 256 << 20
	if grown := streamed(t, size); grown > 4<<20 {
		t.Errorf("%d bytes were allocated for %d that passed", grown, size)
	}
}

// BenchmarkStream sends 1 GiB in each direction. Run it with -benchtime 1x.
func BenchmarkStream(b *testing.B) {
	const size = 1 << 30
	b.SetBytes(2 * size)
	for range b.N {
		b.ReportMetric(float64(streamed(b, size)), "allocated_bytes")
	}
}

// streamed sends size bytes in each direction and returns how many bytes were
// allocated meanwhile by callers, the entry VM and the backend server.
func streamed(t testing.TB, size int64) uint64 {
	t.Helper()
	backend := newScriptedBackend(t, func(_ *scriptedBackend, _ int, c net.Conn, r *bufio.Reader) {
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
		t.Errorf("received %d bytes, %v", n, err)
	}
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// If the backend server answers before it has read a large upload, the rest of
// the upload must still reach it. By default the HTTP server discards the rest
// of the request body once the answer begins, so the backend server waited for
// it until the answer was truncated.
func TestEarlyAnswerToUpload(t *testing.T) {
	const size, rest = 2 << 20, 100 << 10
	backend := newScriptedBackend(t, func(_ *scriptedBackend, _ int, c net.Conn, r *bufio.Reader) {
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
	e := newEntry(t, Config{Limits: Limits{BodyTimeout: 2 * tackclock.Second}}, backend.address)
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
		t.Errorf("received %d bytes, %v", n, err)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// A planned stop must wait for the requests in progress.
func TestShutdownFinishesWhatRuns(t *testing.T) {
	release := make(chan struct{})
	backend := newScriptedBackend(t, func(s *scriptedBackend, n int, c net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		<-release
		// Announce that the connection will be closed. Otherwise a request that
		// waits for a connection might reuse this one, and rightly get no
		// answer.
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
	waitUntil(t, "all requests run", func() bool { return h.InFlight("w-0") == 8 })
	running.Go(func() {
		if err := server.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
	})
	waitUntil(t, "the stop has begun", func() bool {
		_, err := net.Dial("tcp", l.Addr().String())
		return err != nil
	})
	close(release)
	running.Wait()
}

// Data that callers send must not be logged unquoted: a line break in it could
// forge a line of the log. Bodies must not be logged at all.
func TestNothingOfCallersIsLoggedRaw(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetLevel(logrus.DebugLevel)
	backend := newScriptedBackend(t, answerWith(""))
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
