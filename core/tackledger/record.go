package tackledger

import (
	"crypto/sha256"
	"fmt"
	"io"

	"auburntack/core/tackclock"
	"auburntack/core/tackid"
)

const (
	// OutcomeAnswered means that the backend server's answer is known.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeDidNotRun means that the dispatch surely did not run; the key is
	// free again.
	OutcomeDidNotRun
	// OutcomeUnknown means that nobody knows whether the dispatch ran.
	OutcomeUnknown
)

const (
	// Mine means that the claimer holds the key and may dispatch, once.
	Mine ClaimKind = iota + 1
	// Running means that another request holds the key and has not finished.
	Running
	// Recorded means that the key's work ran and Claim.Answer has its answer.
	Recorded
	// Unknown means that the key's work may or may not have run.
	Unknown
	// Mismatch means that the key was first used with a different request.
	Mismatch
	// Released means that this very request was given up on before its claim
	// was applied: it must not be dispatched.
	Released
	// Full means that no further key is recorded for now, because an earlier
	// one would have to be forgotten for it.
	Full
)

type (
	// ID is what a record stands under.
	ID struct {
		Service tackid.Service `cbor:"1,keyasint"`
		Team    tackid.Team    `cbor:"2,keyasint,omitempty"`
		Key     tackid.Key     `cbor:"3,keyasint"`
	}

	// Fingerprint tells whether two requests with the same key are the same:
	// a SHA-256 over method, path with query, and body.
	Fingerprint [sha256.Size]byte

	// Life tells one life of a peer's process from the next. Each process
	// draws a new one at random when it starts.
	Life uint64

	// Outcome is what became of a dispatch.
	Outcome uint8

	// ClaimKind is the verdict on a Begin.
	ClaimKind uint8

	// Field is one header field of an answer, with its values in order.
	Field struct {
		Name   string   `cbor:"1,keyasint"`
		Values []string `cbor:"2,keyasint"`
	}

	// Answer is what a backend server answered. Truncated means that the body
	// was too large to keep: Status and Header are whole, Body is empty.
	Answer struct {
		Status    int     `cbor:"1,keyasint,omitempty"`
		Header    []Field `cbor:"2,keyasint,omitempty"`
		Body      []byte  `cbor:"3,keyasint,omitempty"`
		Truncated bool    `cbor:"4,keyasint,omitempty"`
	}

	// Begin asks for a key. Within is how long the dispatch may take at most,
	// in milliseconds from when the change is applied: after that a record
	// without a Finish counts as unknown.
	Begin struct {
		ID          ID                 `cbor:"1,keyasint"`
		Fingerprint Fingerprint        `cbor:"2,keyasint"`
		Request     tackid.RequestID   `cbor:"3,keyasint"`
		Peer        tackid.Peer        `cbor:"4,keyasint"`
		Life        Life               `cbor:"5,keyasint"`
		Within      tackclock.Duration `cbor:"6,keyasint"`
	}

	// Finish says what became of the dispatch that Request claimed the key
	// for. Answer counts with OutcomeAnswered only.
	Finish struct {
		ID      ID               `cbor:"1,keyasint"`
		Request tackid.RequestID `cbor:"2,keyasint"`
		Outcome Outcome          `cbor:"3,keyasint"`
		Answer  Answer           `cbor:"4,keyasint"`
	}

	// Change is one change of the ledger as it stands in the replicated log.
	// Exactly one field is set.
	Change struct {
		Begin  *Begin  `cbor:"1,keyasint,omitempty"`
		Finish *Finish `cbor:"2,keyasint,omitempty"`
	}

	// Claim is the answer to a Begin. Answer is set with Recorded only.
	Claim struct {
		Kind   ClaimKind `cbor:"1,keyasint"`
		Answer Answer    `cbor:"2,keyasint"`
	}
)

var (
	outcomeNames = [...]string{
		OutcomeAnswered:  "answered",
		OutcomeDidNotRun: "did_not_run",
		OutcomeUnknown:   "unknown",
	}
	claimNames = [...]string{
		Mine:     "mine",
		Running:  "running",
		Recorded: "recorded",
		Unknown:  "unknown",
		Mismatch: "mismatch",
		Released: "released",
		Full:     "full",
	}
)

// String returns the outcome as the Auburntack-Outcome header writes it.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) && outcomeNames[o] != "" {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome_%d", uint8(o))
}

// String returns the verdict's name.
func (k ClaimKind) String() string {
	if int(k) < len(claimNames) && claimNames[k] != "" {
		return claimNames[k]
	}
	return fmt.Sprintf("claim_%d", uint8(k))
}

// Print returns the fingerprint of a request. Target is the path with its
// query as the caller sent it.
func Print(method, target string, body []byte) Fingerprint {
	h := sha256.New()
	// Each part is preceded by its length. Without it, a method and a path
	// that run together would count as the same as another pair.
	fmt.Fprintf(h, "%d %s %d ", len(method), method, len(target))
	io.WriteString(h, target)
	h.Write(body)
	var f Fingerprint
	h.Sum(f[:0])
	return f
}

// size returns the bytes that keeping the answer takes, roughly.
func (a *Answer) size() int {
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name)
		for _, v := range f.Values {
			n += len(v)
		}
	}
	return n
}
