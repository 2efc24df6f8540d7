// Package tackclient sends queries and commands to the system through the
// operator ports of its VMs. If the answer to a command is lost, the command is
// sent again with the same id through the next VM, so that it takes effect only
// once.
package tackclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// DefaultTimeout limits the duration of one call, over all entries and
	// tries.
	DefaultTimeout = 30 * tackclock.Second
	// DefaultTryTimeout limits the duration of one try.
	DefaultTryTimeout = 10 * tackclock.Second
	// DefaultRounds is how many times each entry is tried.
	DefaultRounds = 3
)

// defaultHTTP is the default HTTP client. It ignores proxies from the
// environment; otherwise operators would lose access exactly when the network
// to the proxy fails.
var defaultHTTP = &http.Client{
	Transport: &http.Transport{DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	},
}

// minRoundPause is the minimum pause between two rounds. It is longer if an
// answer has a longer Retry-After.
const minRoundPause = 500 * tackclock.Millisecond

type (
	// Client sends queries and commands to the operator ports whose addresses
	// are Entries. Zero durations and counts mean the defaults.
	Client struct {
		Entries    []string
		Timeout    tackclock.Duration
		TryTimeout tackclock.Duration
		Rounds     int
		HTTP       *http.Client

		// pause waits between rounds. If nil, a timer is used.
		pause func(ctx context.Context, d tackclock.Duration) error
	}

	// Answer is the answer to a query. Confirmed is false if the VM that
	// answered can't be sure that it has the newest state. A value is a string,
	// a bool or a json.Number.
	Answer struct {
		Confirmed bool            `json:"confirmed"`
		Revision  tackid.Revision `json:"revision"`
		Columns   []string        `json:"columns"`
		Rows      [][]any         `json:"rows"`
	}

	// Command is a command to run. If ID is empty, a random one is chosen. If
	// Expect is not zero, the command is refused if what it affects has changed
	// since that revision.
	Command struct {
		Text   string
		ID     tackid.CommandID
		Expect tackid.Revision
	}

	// CommandResult is the result of an accepted command. NotInForce lists the
	// VMs that have lost contact and no longer rely on the state that they
	// know.
	CommandResult struct {
		ID         tackid.CommandID `json:"id"`
		Accepted   bool             `json:"accepted"`
		Revision   tackid.Revision  `json:"revision"`
		NotInForce []tackid.Peer    `json:"not_in_force"`
	}
)

// Ask runs a query. It returns a confirmed answer if any entry provides one,
// and otherwise an unconfirmed one. The error is a *SyntaxError, *RefusedError
// or *UnavailableError.
func (c *Client) Ask(ctx context.Context, query string) (Answer, error) {
	var best Answer
	var found bool
	call := call{method: http.MethodPost, path: "/ask", body: query}
	err := c.run(ctx, call, func(body []byte) (bool, error) {
		a, err := DecodeAnswer(body)
		if err != nil {
			return false, err
		}
		if !found || a.Confirmed {
			best, found = a, true
		}
		return a.Confirmed, nil
	})
	if found {
		return best, nil
	}
	return Answer{}, err
}

// Do runs a command. The error is a *SyntaxError, a *RefusedError, an
// *UnavailableError, which means that the command had no effect, or an
// *UnknownOutcomeError.
func (c *Client) Do(ctx context.Context, cmd Command) (CommandResult, error) {
	if cmd.ID == "" {
		cmd.ID = tackid.CommandID(rand.Text())
	}
	done := CommandResult{ID: cmd.ID}
	err := c.run(ctx, newCommandCall(cmd), func(body []byte) (bool, error) {
		return true, json.Unmarshal(body, &done)
	})
	done.ID = cmd.ID
	return done, err
}

// Get returns the body at path, from the first entry that answers.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	var got []byte
	err := c.run(ctx, call{method: http.MethodGet, path: path}, func(body []byte) (bool, error) {
		got = body
		return true, nil
	})
	return got, err
}

// DecodeAnswer decodes the JSON form of an Answer. It preserves numbers as they
// were written: a revision or token above 2^53 would be changed by a conversion
// to float64, and then be refused as the value of "--expect".
func DecodeAnswer(body []byte) (Answer, error) {
	var a Answer
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	err := d.Decode(&a)
	return a, err
}

func (c *Client) timeout() time.Duration {
	return orDefault(c.Timeout, DefaultTimeout).Std()
}

func (c *Client) tryTimeout() time.Duration {
	return orDefault(c.TryTimeout, DefaultTryTimeout).Std()
}

func (c *Client) rounds() int {
	return orDefault(c.Rounds, DefaultRounds)
}

func orDefault[T comparable](v, standard T) T {
	var zero T
	if v == zero {
		return standard
	}
	return v
}
