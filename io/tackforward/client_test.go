package tackforward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
	"auburntack/core/tackwork"
)

// answerOnce answers the first request on the first connection, reads a second one, and
// closes the connection without an answer.
func answerOnce(t *testing.T, listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		t.Error(err)
		return
	}
	defer listener.Close()
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			t.Error(err)
			return
		}
		if n > 0 {
			return
		}
		body, err := cbor.Marshal(tackwork.Answer{})
		if err != nil {
			t.Error(err)
			return
		}
		resp := http.Response{
			StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)),
			Body: io.NopCloser(bytes.NewReader(body)),
		}
		if err := resp.Write(conn); err != nil {
			t.Error(err)
		}
	}
}

// Guards against callers that are told that their job was not accepted although it runs. The
// request is sent on a persistent connection to the leader, which accepts the job; then the
// connection is reset, and no new one can be made. The fault was that the HTTP client resent
// the request by itself, and the error of that second attempt, which could not be sent, was
// attributed to the first one.
func TestRequestThatWasSentIsNeverRefused(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", net.JoinHostPort(controlPeer, "0"))
	if err != nil {
		t.Fatal(err)
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		answerOnce(t, listener)
	}()
	seeds := func() []tackid.Peer { return []tackid.Peer{controlPeer} }
	c := NewClient(listener.Addr().(*net.TCPAddr).Port, seeds, new(tackclock.Clock), log)
	request := &tackwork.Request{Operation: tackwork.Submit, ID: "r"}
	if a := c.Do(context.Background(), request); a.Verdict != tackwork.Done {
		t.Fatalf("first request: %v", a.Verdict)
	}
	if a := c.Do(context.Background(), request); a.Verdict != tackwork.Unknown {
		t.Errorf("a request that was read but not answered: %v, want unknown", a.Verdict)
	}
	<-gone
}

// Guards against callers that are told that their request may have run although no connection
// was made for it: they may then not send it to another VM.
func TestRequestWithoutAConnectionWasNotSent(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	seeds := func() []tackid.Peer { return []tackid.Peer{controlPeer} }
	c := NewClient(1, seeds, new(tackclock.Clock), log)
	c.http.Transport = &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done() // as with a partition
		return nil, ctx.Err()
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if a := c.Do(ctx, &tackwork.Request{Operation: tackwork.Submit, ID: "r"}); a.Verdict != tackwork.Unavailable {
		t.Errorf("the verdict is %v, want unavailable", a.Verdict)
	}
}

// Guards against callers that are told that their job will never run when only the second
// attempt is known to have had no effect: the leader lost its leadership with the entry of
// the first attempt in its log.
func TestSecondAttemptDoesNotDecideFirst(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, test := range []struct {
		name    string
		answers []tackwork.Verdict // to the attempts after the first, which gets none
		want    tackwork.Verdict
	}{
		{"the next leader knows the result", []tackwork.Verdict{tackwork.Unavailable, tackwork.Done}, tackwork.Done},
		{"the next leader cannot know the result", []tackwork.Verdict{tackwork.Unavailable}, tackwork.Unknown},
		{"the next leader refuses the request", []tackwork.Verdict{tackwork.Refused}, tackwork.Refused},
		{"the key was taken away in between", []tackwork.Verdict{tackwork.NoKey}, tackwork.Unknown},
		{"the queue was dropped in between", []tackwork.Verdict{tackwork.NoQueue}, tackwork.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			var n atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				try := int(n.Add(1)) - 1
				if try == 0 {
					panic(http.ErrAbortHandler) // the connection breaks
				}
				body, err := cbor.Marshal(tackwork.Answer{Verdict: test.answers[min(try, len(test.answers))-1], Reason: "leadership was lost"})
				if err != nil {
					t.Error(err)
				}
				_, _ = w.Write(body)
			}))
			defer server.Close()
			seeds := func() []tackid.Peer { return []tackid.Peer{controlPeer} }
			c := NewClient(server.Listener.Addr().(*net.TCPAddr).Port, seeds, new(tackclock.Clock), log)
			if a := c.Do(context.Background(), &tackwork.Request{Operation: tackwork.Submit, ID: "r"}); a.Verdict != test.want {
				t.Errorf("the verdict is %v, want %v", a.Verdict, test.want)
			}
		})
	}
}

// Guards against callers that are told that the outcome is unknown when the control VM had no
// room for their request, so that it was not read.
func TestRequestThatIsNotReadIsRefused(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	seeds := func() []tackid.Peer { return []tackid.Peer{controlPeer} }
	c := NewClient(server.Listener.Addr().(*net.TCPAddr).Port, seeds, new(tackclock.Clock), log)
	if a := c.Do(context.Background(), &tackwork.Request{Operation: tackwork.Submit, ID: "r"}); a.Verdict != tackwork.Unavailable {
		t.Errorf("the verdict is %v, want unavailable", a.Verdict)
	}
}
