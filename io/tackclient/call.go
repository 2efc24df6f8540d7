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

	// longestAnswer bounds what is read of one answer, in bytes.
	longestAnswer = 64 << 20
)

const (
	// fateAnswered ends the call: the answer is final.
	fateAnswered fate = iota
	// fateNotRun leads to another try: nothing was done.
	fateNotRun
	// fateUnknown leads to another try, and only a final answer to one of
	// those settles what became of this one.
	fateUnknown
)

type (
	// call is one HTTP request, sent as often as it takes.
	call struct {
		method string
		path   string
		body   string
		header http.Header
		id     tackid.CommandID // empty for what changes nothing
	}

	// fate is what a try came to.
	fate int

	// outcome is a fate with its particulars.
	outcome struct {
		fate       fate
		body       []byte
		err        error
		answered   bool
		retryAfter tackclock.Duration
	}

	// refusal is the JSON form of an answer that is not a success.
	refusal struct {
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

	// tally remembers what the tries so far came to.
	tally struct {
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

// run sends q to one entry after the other, in rounds, until take is content
// with an answer or one is final.
func (c *Client) run(ctx context.Context, q call, take func(body []byte) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var t tally
	for round := range c.rounds() {
		wait, done, err := c.round(ctx, q, &t, take)
		if done {
			return err
		}
		if round+1 < c.rounds() && c.wait(ctx, wait) != nil {
			break
		}
	}
	return t.verdict(q)
}

// round tries every entry once. wait is how long to wait before the next.
func (c *Client) round(ctx context.Context, q call, t *tally, take func([]byte) (bool, error)) (wait tackclock.Duration, done bool, err error) {
	for _, entry := range c.Entries {
		o := c.try(ctx, entry, q)
		if o.fate == fateAnswered && o.err != nil {
			return 0, true, o.err
		}
		if o.fate == fateAnswered {
			content, err := take(o.body)
			if err == nil && content {
				return 0, true, nil
			}
			o = outcome{fate: fateUnknown, answered: true, err: err}
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
		return outcome{fate: fateNotRun, err: err}
	}
	if q.header != nil {
		req.Header = q.header.Clone()
	}
	req.Header.Set("Content-Type", "text/plain")
	res, err := c.http().Do(req)
	if err != nil {
		return outcome{fate: fateOfFailure(err), err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, longestAnswer))
	if err != nil {
		return outcome{fate: fateUnknown, answered: true, err: fmt.Errorf("%s broke off its answer: %w", entry, err)}
	}
	return judge(entry, res, body)
}

// fateOfFailure tells a connection that was never made, over which nothing
// can have been sent, from one that failed later.
func fateOfFailure(err error) fate {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fateNotRun
	}
	return fateUnknown
}

// judge says what an answer means.
func judge(entry string, res *http.Response, body []byte) outcome {
	if res.StatusCode == http.StatusOK {
		return outcome{fate: fateAnswered, body: body, answered: true}
	}
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil {
		r.Error.Message = strings.TrimSpace(string(body))
	}
	o := outcome{answered: true, retryAfter: retryAfter(res)}
	switch {
	case res.StatusCode == http.StatusBadRequest:
		o.err = r.syntax()
	case res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerOutcome) != outcomeUnknown:
		o.fate = fateNotRun
		o.err = fmt.Errorf("%s: %s", entry, r.text(res.Status))
	case res.StatusCode >= http.StatusInternalServerError:
		o.fate = fateUnknown
		o.err = fmt.Errorf("%s: %s", entry, r.text(res.Status))
	default:
		o.err = &RefusedError{Code: orDefault(r.Error.Code, res.Status), Message: r.text(res.Status)}
	}
	return o
}

func (r *refusal) text(status string) string {
	return orDefault(r.Error.Message, orDefault(r.Error.Reason, status))
}

// syntax returns the error of a text that cannot be read. What was expected
// comes as a string or as a list of them.
func (r *refusal) syntax() *SyntaxError {
	e := &SyntaxError{Line: r.Error.Line, Column: r.Error.Column, Message: r.text("bad request")}
	e.Message = strings.TrimPrefix(e.Message, e.place())
	var one string
	var many []string
	if json.Unmarshal(r.Error.Expected, &one) == nil {
		many = []string{one}
	} else {
		_ = json.Unmarshal(r.Error.Expected, &many) // neither form: the message stands alone
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

func (t *tally) add(o outcome) {
	t.answered = t.answered || o.answered
	if o.fate == fateUnknown {
		t.unknown = o.err
		return
	}
	t.notRun = o.err
}

// verdict says what it comes to when no try was final. One lost answer among
// any number of sure refusals leaves the outcome unknown.
func (t *tally) verdict(q call) error {
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

func (c *Client) wait(ctx context.Context, d tackclock.Duration) error {
	d = max(d, pauseBetweenRounds)
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
	return direct
}
