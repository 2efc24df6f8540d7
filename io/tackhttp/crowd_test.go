package tackhttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburntack/core/tackclock"
	"auburntack/io/tackport"
)

// stall sends text on n connections that stay open until the test ends.
func stall(t *testing.T, address, text string, n int) {
	t.Helper()
	for range n {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against callers that are refused while others have bodies that never end: a chunked body
// took all that one may have from the memory for bodies.
func TestUnfinishedBodiesRefuseNobody(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	e := newEntry(t, Config{Limits: Limits{BufferTotal: 2 << 20}}, backend.address)
	chunks := request("POST", "/names", "Transfer-Encoding: chunked")
	stall(t, e.address, chunks+"5\r\nhello\r\n", 4)
	stall(t, e.address, request("POST", "/names", fmt.Sprintf("Content-Length: %d", 1<<20))+strings.Repeat("x", 1<<20-1), 4)
	time.Sleep(100 * time.Millisecond) // the stalled bodies are being read
	got := exchange(t, e.address, chunks+"5\r\nworld\r\n0\r\n\r\n")
	assertContains(t, got, "HTTP/1.1 200 OK\r\n", "POST /names world")
	got = exchange(t, e.address, request("POST", "/names", "Idempotency-Key: k", "Content-Length: 5")+"world")
	if strings.Contains(got, string(codeOverloaded)) {
		t.Errorf("a request with a key got %s", got)
	}
}

// Guards against callers that send a byte of a large body now and then, and hold a slot of a
// backend server for as long as they like.
func TestTrickledUploadEnds(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	ports := tackport.New(tackport.Config{Limits: tackport.Limits{BodyTimeout: 300 * tackclock.Millisecond, BodyRate: 1 << 20}})
	e := newEntry(t, Config{Ports: ports}, backend.address)
	c, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, request("POST", "/names", "Content-Length: 2000000"))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if got, err := io.ReadAll(c); err != nil && !strings.Contains(err.Error(), "reset") || strings.Contains(string(got), "200 OK") {
			t.Errorf("%q, %v, want an end without an answer of the backend server", got, err)
		}
	}()
	for sending := true; sending; {
		select {
		case <-ended:
			sending = false
		case <-time.After(20 * time.Millisecond):
			io.WriteString(c, "x")
		}
	}
	if n := backend.executions(); n != 0 {
		t.Errorf("%d executions, want none", n)
	}
	if got := exchange(t, e.address, request("POST", "/names", "Content-Length: 2")+"hi"); !strings.Contains(got, fmt.Sprint(http.StatusOK)) {
		t.Errorf("the next request got %s", got)
	}
}
