package tackport

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"auburntack/core/tackclock"
	"auburntack/io/tacksettings"
)

// waitTimeout bounds waits for what happens sooner or later.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testPort is a port that echoes bodies of at most 1 MiB.
type testPort struct {
	*Port
	address  string
	registry metrics.Registry
}

// newTestPort serves a port on a machine with little memory; handler may be nil.
func newTestPort(t *testing.T, limits Limits, machine Machine, handler http.HandlerFunc) *testPort {
	t.Helper()
	p := &testPort{registry: metrics.NewRegistry()}
	p.Port = New(Config{Limits: limits, Machine: machine, Registry: p.registry}).Port("test", Share{})
	if handler == nil {
		handler = p.echo
	}
	l, err := p.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := p.NewServer(handler)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	p.address = l.Addr().String()
	return p
}

func (p *testPort) echo(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_, _ = io.WriteString(w, "no body read")
		return
	}
	body, err := p.ReadBody(w, r, 1<<20)
	if err != nil {
		http.Error(w, err.Error(), Status(err))
		return
	}
	_, _ = w.Write(body)
}

// send connects and sends text.
func (p *testPort) send(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// assertAnswer reads an answer and checks its status and body.
func assertAnswer(t *testing.T, conn net.Conn, status int, body string) {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != status {
		t.Fatalf("status %d, %v, want %d", answer.StatusCode, err, status)
	}
	if body != "" && string(text) != body {
		t.Errorf("%d bytes that differ from the body sent", len(text))
	}
}

// assertClosed checks that the server closes a connection without an answer.
func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	data, err := io.ReadAll(conn)
	if len(data) > 0 || isTimeout(err) {
		t.Errorf("%q, %v, want a closed connection", data, err)
	}
}

// awaitUsed waits until the clients hold what is wanted.
func (p *testPort) awaitUsed(t *testing.T, what string, ok func(connections int, bytes int64) bool) {
	t.Helper()
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(5 * time.Millisecond) {
		if u := p.share.Used(); ok(u.Connections, u.Bytes) {
			return
		}
	}
	t.Fatalf("never %s: %+v", what, p.share.Used())
}

func (p *testPort) counted(name string) int64 {
	return metrics.GetOrRegisterCounter("clients_test_"+name, p.registry).Count()
}

func post(body string, length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

func chunked(body string, size int) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

func randomText(n int) string {
	return string(bytes.Repeat([]byte("0123456789abcdef\n"), n/17+1)[:n])
}

func TestBodiesAreReadWhole(t *testing.T) {
	p := newTestPort(t, Limits{}, Machine{}, nil)
	for _, n := range []int{1, firstChunk, firstChunk + 1, 100_000, 1 << 20} {
		body := randomText(n)
		t.Run(fmt.Sprintf("%d announced", n), func(t *testing.T) { assertAnswer(t, p.send(t, post(body, n)), http.StatusOK, body) })
		t.Run(fmt.Sprintf("%d chunked", n), func(t *testing.T) { assertAnswer(t, p.send(t, chunked(body, 777)), http.StatusOK, body) })
	}
	p.awaitUsed(t, "released", func(_ int, bytes int64) bool { return bytes == 0 })
}

// Guards against clients that are sent on with a part of their body, or wait for an answer.
func TestBodiesThatAreRefused(t *testing.T) {
	p := newTestPort(t, Limits{BodyTimeout: 50 * tackclock.Millisecond, BodyRate: 1 << 20}, Machine{}, nil)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"announced over the limit": {post("x", 4_000_000_000), http.StatusRequestEntityTooLarge},
		"sent over the limit":      {chunked(randomText(1<<20+1), 100_000), http.StatusRequestEntityTooLarge},
		"not sent in time":         {post("x", 2), http.StatusRequestTimeout},
		"no last chunk":            {strings.TrimSuffix(chunked("x", 1), "0\r\n\r\n"), http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) { assertAnswer(t, p.send(t, c.text), c.status, "") })
	}
	p.awaitUsed(t, "closed", func(connections int, _ int64) bool { return connections == 0 })
}

// Guards against bodies of which a byte comes now and then, so that they never end.
func TestTrickledBodyEnds(t *testing.T) {
	p := newTestPort(t, Limits{BodyTimeout: 200 * tackclock.Millisecond}, Machine{}, nil)
	conn := p.send(t, post("", 1<<20))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	assertAnswer(t, conn, http.StatusRequestTimeout, "")
	_ = conn.Close()
	<-done
}

// Guards against ordinary clients that are refused because others hold the memory with bodies
// that never end, and against a process that holds more than its share.
func TestUnfinishedBodiesMakeRoom(t *testing.T) {
	p := newTestPort(t, Limits{}, Machine{MemoryBytes: programBytes + 4<<20}, nil)
	limit := p.owner.budget.Limit.Bytes
	size := 100_000
	for n := range 40 {
		p.send(t, post(randomText(size-1), size))
		if n == 0 {
			p.awaitUsed(t, "held", func(_ int, bytes int64) bool { return bytes >= int64(size) })
		}
	}
	assertAnswer(t, p.send(t, post("ordinary", 8)), http.StatusOK, "ordinary")
	if used := p.share.Used().Bytes; used > limit {
		t.Errorf("%d bytes are held, want at most %d", used, limit)
	}
	if p.counted("evicted_body")+p.counted("refused_memory") == 0 {
		t.Error("no client made room")
	}
}

// Guards against headers of many fields, each of which takes many times its size, that never
// end.
func TestUnfinishedHeadersMakeRoom(t *testing.T) {
	p := newTestPort(t, Limits{}, Machine{MemoryBytes: programBytes + 8<<20}, nil)
	header := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 5000)
	first := p.send(t, header)
	p.awaitUsed(t, "counted", func(_ int, bytes int64) bool { return bytes > 5000*fieldBytes })
	second := p.send(t, header)
	p.awaitUsed(t, "closed", func(connections int, _ int64) bool { return connections < 2 })
	closed := first
	if p.counted("refused_memory") > 0 {
		closed = second
	}
	assertClosed(t, closed)
	assertAnswer(t, p.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"), http.StatusOK, "no body read")
}

// Guards against connections that send nothing and use up the descriptors.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	p := newTestPort(t, Limits{}, Machine{Descriptors: 12}, nil)
	limit := p.owner.budget.Limit.Connections
	var silent []net.Conn
	for range 3 * limit {
		silent = append(silent, p.send(t, ""))
	}
	assertClosed(t, silent[0])
	for range 3 {
		assertAnswer(t, p.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"), http.StatusOK, "no body read")
	}
	if got := p.share.Used().Connections; got > limit {
		t.Errorf("%d connections, want at most %d", got, limit)
	}
}

// Guards against requests whose body no handler reads, which net/http waits for without end.
func TestBodyThatNobodyReads(t *testing.T) {
	p := newTestPort(t, Limits{}, Machine{}, nil)
	conn := p.send(t, strings.Replace(post("x", 1000), "POST", "GET", 1))
	assertAnswer(t, conn, http.StatusOK, "no body read")
	p.awaitUsed(t, "closed", func(connections int, _ int64) bool { return connections == 0 })
}

// Guards against clients that keep an answer in memory by not reading it.
func TestAnswerThatIsNotRead(t *testing.T) {
	answer := make([]byte, 64<<20)
	failed := make(chan error, 1)
	p := newTestPort(t, Limits{WriteTimeout: 200 * tackclock.Millisecond}, Machine{}, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(answer)
		failed <- err
	})
	p.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if err := <-failed; !isTimeout(err) {
		t.Errorf("the answer ended with %v, want a time-out", err)
	}
	if p.counted("refused_slow_answer") != 1 {
		t.Error("not counted")
	}
}

// Guards against connections that are used again after the deadline of a request before.
func TestConnectionIsUsedAgain(t *testing.T) {
	p := newTestPort(t, Limits{BodyTimeout: 100 * tackclock.Millisecond, WriteTimeout: 100 * tackclock.Millisecond}, Machine{}, nil)
	conn := p.send(t, "")
	for range 3 {
		if _, err := io.WriteString(conn, post("again", 5)); err != nil {
			t.Fatal(err)
		}
		assertAnswer(t, conn, http.StatusOK, "again")
		time.Sleep(150 * time.Millisecond)
	}
}

func TestMachineShares(t *testing.T) {
	if got := (Machine{}).share(defaultMemoryPercent); got.Connections != 0 || got.Bytes != 0 {
		t.Errorf("a machine that is not known limits clients: %+v", got)
	}
	for _, m := range []Machine{{MemoryBytes: 284 << 20, Descriptors: 3900}, {MemoryBytes: 184 << 20, Descriptors: 3900}, {MemoryBytes: 1 << 40, Descriptors: 1000}} {
		got := m.share(defaultMemoryPercent)
		if held := got.Bytes + int64(got.Connections)*connBytes; held > m.MemoryBytes/2 || got.Bytes < 0 {
			t.Errorf("%+v: %+v is more than half of the memory", m, got)
		}
		if got.Connections > m.Descriptors*descriptorPercent/percent {
			t.Errorf("%+v: %+v leaves too few descriptors", m, got)
		}
	}
	if got := totalMemory("MemFree: 1 kB\nMemTotal:       16384 kB\n"); got != 16<<20 {
		t.Errorf("total memory %d", got)
	}
}

// TestDefaults checks that the defaults in docs/SETTINGS.md equal those of this package.
func TestDefaults(t *testing.T) {
	settings := tacksettings.Default()
	if got, want := LimitsOf(&settings.Clients), (Limits{}).withDefaults(); got != want {
		t.Errorf("the settings have %+v, want %+v", got, want)
	}
}
