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
	// OutcomeDidNotRun means that the request certainly did not run. It frees
	// the key.
	OutcomeDidNotRun
	// OutcomeUnknown means that it is not known whether the request ran.
	OutcomeUnknown
)

const (
	// Claimed means that the claimer holds the key and may dispatch the request
	// once.
	Claimed ClaimKind = iota + 1
	// Running means that another request holds the key and has not finished.
	Running
	// Recorded means that the request with the key ran and Claim.Answer has
	// its answer.
	Recorded
	// Unknown means that the request with the key may or may not have run.
	Unknown
	// Mismatch means that the key was first used with a different request.
	Mismatch
	// Released means that this request was released before its claim was
	// applied. It must not be dispatched.
	Released
	// Full means that no more keys can be recorded at present without
	// forgetting earlier ones.
	Full
)

type (
	// ID identifies a record.
	ID struct {
		Service tackid.Service `cbor:"1,keyasint"`
		Team    tackid.Team    `cbor:"2,keyasint,omitempty"`
		Key     tackid.Key     `cbor:"3,keyasint"`
	}

	// Fingerprint identifies the contents of a request, to detect different
	// requests with the same key. It is a SHA-256 hash over method, path with
	// query, and body.
	Fingerprint [sha256.Size]byte

	// InstanceID identifies one process of a peer. Each process chooses a new
	// random value when it starts.
	InstanceID uint64

	// Outcome is the outcome of a dispatch.
	Outcome uint8

	// ClaimKind is the decision on a Begin.
	ClaimKind uint8

	// Field is one header field of an answer, with its values in order.
	Field struct {
		Name   string   `cbor:"1,keyasint"`
		Values []string `cbor:"2,keyasint"`
	}

	// Answer is the answer of a backend server. Truncated means that the body
	// was too large to keep: Status and Header are complete, Body is empty.
	Answer struct {
		Status    int     `cbor:"1,keyasint,omitempty"`
		Header    []Field `cbor:"2,keyasint,omitempty"`
		Body      []byte  `cbor:"3,keyasint,omitempty"`
		Truncated bool    `cbor:"4,keyasint,omitempty"`
	}

	// Begin claims a key. Timeout is the longest time that the dispatch may
	// take, in milliseconds from when the change is applied. After that a
	// record without a Finish counts as unknown.
	Begin struct {
		ID          ID                 `cbor:"1,keyasint"`
		Fingerprint Fingerprint        `cbor:"2,keyasint"`
		Request     tackid.RequestID   `cbor:"3,keyasint"`
		Peer        tackid.Peer        `cbor:"4,keyasint"`
		Instance    InstanceID         `cbor:"5,keyasint"`
		Timeout     tackclock.Duration `cbor:"6,keyasint"`
	}

	// Finish records the outcome of the dispatch for which Request claimed the
	// key. Answer is used with OutcomeAnswered only.
	Finish struct {
		ID      ID               `cbor:"1,keyasint"`
		Request tackid.RequestID `cbor:"2,keyasint"`
		Outcome Outcome          `cbor:"3,keyasint"`
		Answer  Answer           `cbor:"4,keyasint"`
	}

	// Change is an entry of the replicated log that changes the ledger.
	// Exactly one field is set.
	Change struct {
		Begin  *Begin  `cbor:"1,keyasint,omitempty"`
		Finish *Finish `cbor:"2,keyasint,omitempty"`
	}

	// Claim is the result of a Begin. Answer is set with Recorded only.
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
		Claimed:  "mine",
		Running:  "running",
		Recorded: "recorded",
		Unknown:  "unknown",
		Mismatch: "mismatch",
		Released: "released",
		Full:     "full",
	}
)

// String returns the value of the Auburntack-Outcome header for the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) && outcomeNames[o] != "" {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome_%d", uint8(o))
}

// String returns the name of the decision.
func (k ClaimKind) String() string {
	if int(k) < len(claimNames) && claimNames[k] != "" {
		return claimNames[k]
	}
	return fmt.Sprintf("claim_%d", uint8(k))
}

// NewFingerprint returns the fingerprint of a request. Target is the path with
// the query, as sent by the caller.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	h := sha256.New()
	// The lengths make the encoding unambiguous. Without them, different pairs
	// of method and target could have the same concatenation.
	fmt.Fprintf(h, "%d %s %d ", len(method), method, len(target))
	io.WriteString(h, target)
	h.Write(body)
	var f Fingerprint
	h.Sum(f[:0])
	return f
}

// size returns the approximate size of the answer in bytes.
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
