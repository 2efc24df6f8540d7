package tackclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	headerCommandID = "Auburntack-Command-Id"
	headerExpect    = "Auburntack-Expect-Revision"
	headerOutcome   = "Auburntack-Outcome"

	outcomeUnknown = "unknown"

	// maxAnswerSize limits how much of an answer is read, in bytes.
	maxAnswerSize = 64 << 20
)

const (
	// kindFinal means that the answer is final.
	kindFinal outcomeKind = iota
	// kindNotRun means that the request certainly had no effect, so it is sent
	// again.
	kindNotRun
	// kindUnknown means that the request may have had an effect. It is sent
	// again, and only a final answer shows whether it had one.
	kindUnknown
)

type (
	// call is one HTTP request, which may be sent several times.
	call struct {
		method string
		path   string
		body   string
		header http.Header
		id     tackid.CommandID // empty if the request changes nothing
	}

	// outcomeKind is the kind of outcome of one try.
	outcomeKind int

	// outcome is the outcome of one try.
	outcome struct {
		kind       outcomeKind
		body       []byte
		err        error
		answered   bool
		retryAfter tackclock.Duration
	}

	// errorBody is the JSON body of an answer with an error status.
	errorBody struct {
		Error struct {
			Code      string          `json:"code"`
			Message   string          `json:"message"`
			Reason    string          `json:"reason"`
			DidNotRun bool            `json:"did_not_run"`
			Line      int             `json:"line"`
			Column    int             `json:"column"`
			Expected  json.RawMessage `json:"expected"`
		} `json:"error"`
	}

	// triesSummary summarizes the outcomes of the tries so far.
	triesSummary struct {
		unknown  error
		notRun   error
		answered bool
	}
)

func newCommandCall(cmd Command) call {
	h := make(http.Header)
	h.Set(headerCommandID, string(cmd.ID))
	if cmd.Expect != 0 {
		h.Set(headerExpect, strconv.FormatUint(uint64(cmd.Expect), 10))
	}
	return call{method: http.MethodPost, path: "/do", body: cmd.Text, header: h, id: cmd.ID}
}

// run sends q to the entries in turn, in rounds, until accept accepts an answer
// or an entry returns a final error.
func (c *Client) run(ctx context.Context, q call, accept func(body []byte) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var t triesSummary
	for round := range c.rounds() {
		wait, done, err := c.round(ctx, q, &t, accept)
		if done {
			return err
		}
		if round+1 < c.rounds() && c.pauseRound(ctx, wait) != nil {
			break
		}
	}
	return t.result(q)
}

// round tries every entry once. It returns how long to wait before the next
// round.
func (c *Client) round(ctx context.Context, q call, t *triesSummary, accept func([]byte) (bool, error)) (wait tackclock.Duration, done bool, err error) {
	for _, entry := range c.Entries {
		o := c.try(ctx, entry, q)
		if o.kind == kindFinal && o.err != nil {
			return 0, true, o.err
		}
		if o.kind == kindFinal {
			accepted, err := accept(o.body)
			if err == nil && accepted {
				return 0, true, nil
			}
			o = outcome{kind: kindUnknown, answered: true, err: err}
		}
		t.add(o)
		wait = max(wait, o.retryAfter)
	}
	return wait, false, nil
}

// try sends q to entry once.
func (c *Client) try(ctx context.Context, entry string, q call) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.tryTimeout())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+entry+q.path, strings.NewReader(q.body))
	if err != nil {
		return outcome{kind: kindNotRun, err: err}
	}
	if q.header != nil {
		req.Header = q.header.Clone()
	}
	req.Header.Set("Content-Type", "text/plain")
	res, err := c.http().Do(req)
	if err != nil {
		return outcome{kind: kindOfError(err), err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerSize))
	if err != nil {
		return outcome{kind: kindUnknown, answered: true, err: fmt.Errorf("%s broke off its answer: %w", entry, err)}
	}
	return classify(entry, res, body)
}

// kindOfError returns the kind of outcome of a try that failed with err. If no
// connection was established, nothing can have been sent.
func kindOfError(err error) outcomeKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kindNotRun
	}
	return kindUnknown
}

// classify returns the outcome that an answer represents.
func classify(entry string, res *http.Response, body []byte) outcome {
	if res.StatusCode == http.StatusOK {
		return outcome{kind: kindFinal, body: body, answered: true}
	}
	var r errorBody
	if err := json.Unmarshal(body, &r); err != nil {
		r.Error.Message = strings.TrimSpace(string(body))
	}
	o := outcome{answered: true, retryAfter: retryAfter(res)}
	switch {
	case res.StatusCode == http.StatusBadRequest:
		o.err = r.syntax()
	case res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerOutcome) != outcomeUnknown:
		o.kind = kindNotRun
		o.err = fmt.Errorf("%s: %s", entry, r.text(res.Status))
	case res.StatusCode >= http.StatusInternalServerError:
		o.kind = kindUnknown
		o.err = fmt.Errorf("%s: %s", entry, r.text(res.Status))
	default:
		o.err = &RefusedError{Code: orDefault(r.Error.Code, res.Status), Message: r.text(res.Status)}
	}
	return o
}

func (r *errorBody) text(status string) string {
	return orDefault(r.Error.Message, orDefault(r.Error.Reason, status))
}

// syntax returns the error for a text that can't be parsed. The expected tokens
// are either a string or a list of strings.
func (r *errorBody) syntax() *SyntaxError {
	e := &SyntaxError{Line: r.Error.Line, Column: r.Error.Column, Message: r.text("bad request")}
	e.Message = strings.TrimPrefix(e.Message, e.position())
	var one string
	var many []string
	if json.Unmarshal(r.Error.Expected, &one) == nil {
		many = []string{one}
	} else {
		_ = json.Unmarshal(r.Error.Expected, &many) // if it is neither, only the message is reported
	}
	expected := strings.Join(many, " or ")
	if expected != "" && !strings.Contains(e.Message, expected) {
		e.Message += ", expected " + expected
	}
	return e
}

func retryAfter(res *http.Response) tackclock.Duration {
	n, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return tackclock.Duration(n) * tackclock.Second
}

func (t *triesSummary) add(o outcome) {
	t.answered = t.answered || o.answered
	if o.kind == kindUnknown {
		t.unknown = o.err
		return
	}
	t.notRun = o.err
}

// result returns the error to report if no try was final. If the outcome of one
// try is unknown, the outcome of the command is unknown, whatever the other
// tries returned.
func (t *triesSummary) result(q call) error {
	if t.unknown != nil && q.id != "" {
		return &UnknownOutcomeError{ID: q.id, Message: t.unknown.Error()}
	}
	err := t.notRun
	if err == nil {
		err = t.unknown
	}
	if err == nil {
		err = errors.New("no entry was given")
	}
	return &UnavailableError{Answered: t.answered, Message: err.Error()}
}

func (c *Client) pauseRound(ctx context.Context, d tackclock.Duration) error {
	d = max(d, minRoundPause)
	if c.pause != nil {
		return c.pause(ctx, d)
	}
	timer := time.NewTimer(d.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTP
}
