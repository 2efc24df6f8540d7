package tackhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackledger"
	"auburntack/core/tackroute"
)

func TestMain(m *testing.M) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	DivertStandardLog(quiet)
	goleak.VerifyTestMain(m)
}

// peers counts the entry VMs of all tests, so that each has a unique name.
var peers atomic.Int64

// entry is an entry VM on loopback whose routing table is set by the test.
type entry struct {
	*Handler
	address string
	table   tackroute.Table
}

// newEntry starts an entry VM that routes the service "names" to the given
// backend servers.
func newEntry(t testing.TB, cfg Config, backends ...string) *entry {
	t.Helper()
	e := &entry{table: tackroute.Table{Services: map[tackid.Service][]tackroute.Candidate{"names": nil}, Peers: 1}}
	for i, address := range backends {
		e.table.Services["names"] = append(e.table.Services["names"], tackroute.Candidate{
			BackendServer: tackid.BackendServer(fmt.Sprintf("names-%d", i)),
			VM:            tackid.VM(fmt.Sprintf("w-%d", i)),
			Address:       address,
			Slots:         1024,
			Connections:   1024,
		})
	}
	cfg.Self = tackid.Peer(fmt.Sprint("rennes-a-", peers.Add(1)))
	cfg.Routes = func() *tackroute.Table { return &e.table }
	e.Handler = New(cfg)
	server := NewServer(e.Handler)
	l, err := server.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.address = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return e
}

func (e *entry) counter(name string) int64 {
	c, _ := e.meters.registry.Get(name).(interface{ Count() int64 })
	if c == nil {
		return 0
	}
	return c.Count()
}

// scriptedBackend is a backend server on raw sockets. It calls handle for each
// connection, with the connection's number, from 0.
type scriptedBackend struct {
	address string
	mu      sync.Mutex
	seen    map[string]int // executions by request id
}

func newScriptedBackend(t testing.TB, handle func(s *scriptedBackend, n int, c net.Conn, r *bufio.Reader)) *scriptedBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedBackend{address: l.Addr().String(), seen: make(map[string]int)}
	var running sync.WaitGroup
	var conns sync.Map
	running.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Store(c, true)
			running.Go(func() {
				defer c.Close()
				handle(s, n, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		conns.Range(func(c, _ any) bool {
			c.(net.Conn).Close()
			return true
		})
		running.Wait()
	})
	return s
}

// readRequest reads a complete request and counts it as executed.
func (s *scriptedBackend) readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[req.Header.Get(headerRequestID)]++
	return req, string(body), nil
}

// executions returns the number of requests executed.
func (s *scriptedBackend) executions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, times := range s.seen {
		n += times
	}
	return n
}

// echo answers each request with its method, target and body.
func echo(s *scriptedBackend, _ int, c net.Conn, r *bufio.Reader) {
	for {
		req, body, err := s.readRequest(r)
		if err != nil {
			return
		}
		text := req.Method + " " + req.RequestURI + " " + body
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
		if req.Method != http.MethodHead {
			io.WriteString(c, text)
		}
	}
}

// exchange sends text on a new connection and returns everything received until
// the other end closes it.
func exchange(t testing.TB, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	got, _ := io.ReadAll(c)
	return string(got)
}

// request builds a request for exchange.
func request(method, target string, lines ...string) string {
	all := append([]string{method + " " + target + " HTTP/1.1", "Host: names", "Connection: close"}, lines...)
	return strings.Join(all, "\r\n") + "\r\n\r\n"
}

func assertContains(t testing.TB, got string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if msg := convey.ShouldContainSubstring(got, part); msg != "" {
			t.Error(msg)
		}
	}
}

// assertOwn checks an answer that auburntack itself generated.
func assertOwn(t testing.TB, got string, status int, code Code, outcome tackledger.Outcome) {
	t.Helper()
	assertContains(t, got,
		fmt.Sprintf("HTTP/1.1 %d ", status),
		fmt.Sprintf("%s: %s\r\n", headerOutcome, outcome),
		fmt.Sprintf(`"code":%q`, code),
		fmt.Sprintf(`"did_not_run":%v`, outcome == tackledger.OutcomeDidNotRun))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		assertContains(t, got, "Retry-After: ")
	}
}

// shortLimits returns limits with short timeouts.
func shortLimits() Limits {
	return Limits{
		BodyTimeout:      500 * tackclock.Millisecond,
		FirstByteTimeout: 500 * tackclock.Millisecond,
		DialTimeout:      500 * tackclock.Millisecond,
	}
}
