// Package tackclient asks and commands the system through the operator ports
// of its VMs. A command whose answer was lost is sent again with the same id
// through the next VM, so it takes effect once however often it is sent.
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
	// DefaultTimeout bounds one call, over all entries and tries.
	DefaultTimeout = 30 * tackclock.Second
	// DefaultTryTimeout bounds one try at one entry.
	DefaultTryTimeout = 10 * tackclock.Second
	// DefaultRounds is how often each entry is tried.
	DefaultRounds = 3
)

// direct goes straight to the entries. A proxy from the environment would
// cut the operator off just when the network to the proxy is down.
var direct = &http.Client{
	Transport: &http.Transport{DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	},
}

// pauseBetweenRounds is waited before all entries are tried once more, unless
// an answer told when to come back.
const pauseBetweenRounds = 500 * tackclock.Millisecond

type (
	// Client talks to the system through Entries, addresses of operator
	// ports. Zero times and counts take the defaults.
	Client struct {
		Entries    []string
		Timeout    tackclock.Duration
		TryTimeout tackclock.Duration
		Rounds     int
		HTTP       *http.Client

		// pause waits between rounds; nil waits by the machine's clock.
		pause func(ctx context.Context, d tackclock.Duration) error
	}

	// Answer is what a query came to. Confirmed is false where the VM that
	// answered cannot be sure that it knows the newest state. A value is a
	// string, a bool or a json.Number.
	Answer struct {
		Confirmed bool            `json:"confirmed"`
		Revision  tackid.Revision `json:"revision"`
		Columns   []string        `json:"columns"`
		Rows      [][]any         `json:"rows"`
	}

	// Command is a command to run. An empty ID is drawn at random. A nonzero
	// Expect makes the command conditional: it is refused if what it touches
	// has changed since that revision.
	Command struct {
		Text   string
		ID     tackid.CommandID
		Expect tackid.Revision
	}

	// Done is what an accepted command came to. NotInForce names the VMs of
	// the system that have lost contact and stopped relying on what they
	// know.
	Done struct {
		ID         tackid.CommandID `json:"id"`
		Accepted   bool             `json:"accepted"`
		Revision   tackid.Revision  `json:"revision"`
		NotInForce []tackid.Peer    `json:"not_in_force"`
	}
)

// Ask runs a query. It prefers a confirmed answer, and returns an unconfirmed
// one where no entry has better. The error is a *SyntaxError, *RefusedError or
// *UnavailableError.
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

// Do runs a command. The error is a *SyntaxError, *RefusedError,
// *UnavailableError where surely nothing was done, or *UnknownOutcomeError.
func (c *Client) Do(ctx context.Context, cmd Command) (Done, error) {
	if cmd.ID == "" {
		cmd.ID = tackid.CommandID(rand.Text())
	}
	done := Done{ID: cmd.ID}
	err := c.run(ctx, newCommandCall(cmd), func(body []byte) (bool, error) {
		return true, json.Unmarshal(body, &done)
	})
	done.ID = cmd.ID
	return done, err
}

// Get returns the body that path has at the first entry that answers.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	var got []byte
	err := c.run(ctx, call{method: http.MethodGet, path: path}, func(body []byte) (bool, error) {
		got = body
		return true, nil
	})
	return got, err
}

// DecodeAnswer keeps numbers as they were written: a revision or token beyond
// 2^53 would come out changed as a float64, and "--expect" with it be refused.
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
