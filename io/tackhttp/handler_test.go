package tackhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"auburntack/core/tackledger"
)

func TestPassesThrough(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	e := newEntry(t, Config{}, backend.address)
	for name, test := range map[string]struct{ send, want string }{
		"get":   {request("GET", "/names/a%2Fb?x=1&y"), "GET /names/a%2Fb?x=1&y "},
		"post":  {request("POST", "/names", "Content-Length: 5") + "hello", "POST /names hello"},
		"chunk": {request("PUT", "/names/x", "Transfer-Encoding: chunked") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "PUT /names/x abcde"},
	} {
		t.Run(name, func(t *testing.T) {
			got := exchange(t, e.address, test.send)
			assertContains(t, got, "HTTP/1.1 200 OK\r\n", "Auburntack-Outcome: answered\r\n", "\r\n\r\n"+test.want)
		})
	}
}

// Requests whose length can be parsed in two ways must be refused. Otherwise
// another server on the way could see one request as two. net/http accepts
// Content-Length together with chunked encoding, and drops the length before
// the handler can see it.
func TestRefusesSmugglingShapes(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	e := newEntry(t, Config{}, backend.address)
	chunks := "0\r\n\r\n"
	for name, text := range map[string]string{
		"both lengths":         request("POST", "/names", "Content-Length: 5", "Transfer-Encoding: chunked") + chunks,
		"both, other order":    request("POST", "/names", "Transfer-Encoding: chunked", "Content-Length: 5") + chunks,
		"both, folded name":    request("POST", "/names", "transfer-ENCODING: chunked", "content-LENGTH: 5") + chunks,
		"two lengths":          request("POST", "/names", "Content-Length: 5", "Content-Length: 6") + "hello!",
		"list of lengths":      request("POST", "/names", "Content-Length: 5, 5") + "hello",
		"signed length":        request("POST", "/names", "Content-Length: +5") + "hello",
		"unknown encoding":     request("POST", "/names", "Transfer-Encoding: xchunked") + chunks,
		"two encodings":        request("POST", "/names", "Transfer-Encoding: chunked", "Transfer-Encoding: identity") + chunks,
		"doubled host":         request("GET", "/names", "Host: other"),
		"space before colon":   request("POST", "/names", "Content-Length : 5") + "hello",
		"nul in a value":       request("GET", "/names", "X: a\x00b"),
		"cr in a value":        request("GET", "/names", "X: a\rContent-Length: 5"),
		"control in a name":    request("GET", "/names", "X\x01: a"),
		"control in target":    request("GET", "/na\x01mes"),
		"bad chunk size":       request("POST", "/names", "Transfer-Encoding: chunked") + "0x5\r\nhello\r\n0\r\n\r\n",
		"control in a key":     request("POST", "/names", "Idempotency-Key: a\tb", "Content-Length: 0"),
		"two keys":             request("POST", "/names", "Idempotency-Key: a", "Idempotency-Key: b", "Content-Length: 0"),
		"pipelined with chunk": "GET /none HTTP/1.1\r\nHost: names\r\n\r\n" + request("POST", "/names", "Transfer-Encoding: chunked") + chunks,
	} {
		t.Run(name, func(t *testing.T) {
			got := exchange(t, e.address, text)
			got = got[strings.LastIndex(got, "HTTP/1.1 "):]
			assertStatusBelow(t, got, "HTTP/1.1 4", "HTTP/1.1 501")
		})
	}
	if n := backend.executions(); n != 0 {
		t.Errorf("%d of them reached the backend server", n)
	}
}

func assertStatusBelow(t *testing.T, got string, prefixes ...string) {
	t.Helper()
	for _, prefix := range prefixes {
		if strings.HasPrefix(got, prefix) {
			return
		}
	}
	t.Errorf("not refused: %q", got)
}

// Header fields of auburntack that callers must not set, and hop-by-hop fields,
// must not be passed on to a backend server. Otherwise it could confuse two
// dispatches, or continue to work for a caller whose deadline has
// passed.
func TestRequestHeaderCannotBeForged(t *testing.T) {
	seen := make(chan http.Header, 1)
	backend := newScriptedBackend(t, func(s *scriptedBackend, _ int, c net.Conn, r *bufio.Reader) {
		req, _, err := s.readRequest(r)
		if err != nil {
			return
		}
		seen <- req.Header
		io.WriteString(c, okAnswer)
	})
	e := newEntry(t, Config{}, backend.address)
	exchange(t, e.address, request("GET", "/names", "Auburntack-Request-Id: forged", "Auburntack-Outcome: did_not_run",
		"Auburntack-Timeout-Ms: 9000", "Auburntack-Team: post", "Auburntack-Other: x", "Connection: X-One", "X-One: 1",
		"Te: trailers", "Upgrade: h2c", "Proxy-Authorization: x", "X-Two: 2", "Expect: 100-continue"))
	h := <-seen
	for name, want := range map[string]string{"X-Two": "2", headerTeam: "post", headerOutcome: "", "Auburntack-Other": "",
		"X-One": "", "Te": "", "Upgrade": "", "Proxy-Authorization": "", "Expect": "", "Connection": ""} {
		if got := h.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if id := h.Get(headerRequestID); id == "forged" || id == "" {
		t.Errorf("request id is %q", id)
	}
	if left, err := strconv.Atoi(h.Get(headerTimeout)); err != nil || left <= 0 || left > 9000 {
		t.Errorf("time left is %q", h.Get(headerTimeout))
	}
}

func TestOwnAnswers(t *testing.T) {
	backend := newScriptedBackend(t, echo)
	e := newEntry(t, Config{}, backend.address)
	none := newEntry(t, Config{})
	dead := newEntry(t, Config{}, "127.0.0.1:1")
	for name, test := range map[string]struct {
		e      *entry
		send   string
		status int
		code   Code
	}{
		"unknown service": {e, request("GET", "/other/x"), 404, codeUnknownService},
		"no service":      {e, request("GET", "/"), 404, codeUnknownService},
		"too large":       {e, request("POST", "/names", "Content-Length: 1099511627776"), 413, codeTooLarge},
		"bad class":       {e, request("GET", "/names", "Auburntack-Class: soon"), 400, codeBadRequest},
		"bad timeout":     {e, request("GET", "/names", "Auburntack-Timeout-Ms: 1.5"), 400, codeBadRequest},
		"nobody serves":   {none, request("GET", "/names"), 503, codeNoBackend},
		"unreachable":     {dead, request("POST", "/names", "Content-Length: 2") + "{}", 503, codeNoBackend},
		"key, no ledger":  {e, request("POST", "/names", "Idempotency-Key: k", "Content-Length: 0"), 503, codeNoLedger},
	} {
		t.Run(name, func(t *testing.T) {
			assertOwn(t, exchange(t, test.e.address, test.send), test.status, test.code, tackledger.OutcomeDidNotRun)
		})
	}
	if n := backend.executions(); n != 0 {
		t.Errorf("%d refused requests ran", n)
	}
}
