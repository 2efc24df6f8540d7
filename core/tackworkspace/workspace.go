// Package tackworkspace holds the customers whose jobs the workers run: their
// keys, their shares, and what each may have running.
package tackworkspace

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"auburntack/core/tackid"
	"auburntack/core/tackroom"
)

// shortDigits is how many digits tell the keys of a deployment apart in tables
// and log lines.
const shortDigits = 12

type (
	// Fingerprint is the SHA-256 sum of a key, in hexadecimal digits. A key is
	// looked up by its fingerprint, so the time that a lookup takes says nothing
	// about the keys that there are, and nothing but fingerprints is passed on
	// and logged. The empty fingerprint stands for no key.
	Fingerprint string

	// Workspace is a customer as the operators configure it.
	Workspace struct {
		Name tackid.Workspace `cbor:"1,keyasint"`
		// Keys are those that its callers may show.
		Keys []Fingerprint `cbor:"2,keyasint,omitempty"`
		// Weight is its share when all workers are busy.
		Weight float64 `cbor:"3,keyasint,omitempty"`
		// Cap bounds what it has running over all workers. A part that is zero
		// is no bound.
		Cap tackroom.Room `cbor:"4,keyasint"`
		// Priority 0 goes before higher figures.
		Priority int `cbor:"5,keyasint,omitempty"`
	}

	// Holders tells who holds a key. Its zero value knows none.
	Holders struct {
		byKey map[Fingerprint]tackid.Workspace
	}

	// Problem is one thing that is wrong with a list of workspaces.
	Problem struct {
		Field string
		Text  string
	}
)

// Print returns the fingerprint of a key; that of no key is empty.
func Print(key string) Fingerprint {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return Fingerprint(hex.EncodeToString(sum[:]))
}

// Short returns the digits that stand in tables and log lines.
func (f Fingerprint) Short() string {
	return string(f[:min(len(f), shortDigits)])
}

// HoldersOf returns who holds which key.
func HoldersOf(list []Workspace) Holders {
	h := Holders{byKey: make(map[Fingerprint]tackid.Workspace)}
	for i := range list {
		for _, key := range list[i].Keys {
			h.byKey[key] = list[i].Name
		}
	}
	return h
}

// Of returns the workspace that holds the key.
func (h *Holders) Of(key Fingerprint) (tackid.Workspace, bool) {
	name, ok := h.byKey[key]
	return name, ok && key != ""
}

// Check returns all that is wrong with a list of workspaces. A key that two of them
// share would let each see and cancel the other's jobs.
func Check(list []Workspace) []Problem {
	var problems []Problem
	names := make(map[tackid.Workspace]int)
	holders := make(map[Fingerprint]int)
	for i := range list {
		w := &list[i]
		add := func(field, format string, args ...any) {
			problems = append(problems, Problem{Field: fmt.Sprintf("workspaces[%d].%s", i, field), Text: fmt.Sprintf(format, args...)})
		}
		first, twice := names[w.Name]
		switch {
		case w.Name == "":
			add("name", "empty")
		case twice:
			add("name", "that of workspaces[%d]", first)
		}
		names[w.Name] = i
		for k, key := range w.Keys {
			first, known := holders[key]
			switch {
			case key == "":
				add(fmt.Sprintf("keys[%d]", k), "empty")
			case known && first != i:
				add(fmt.Sprintf("keys[%d]", k), "held by workspaces[%d]", first)
			}
			holders[key] = i
		}
		if w.Weight < 0 {
			add("weight", "%g, want 0 or more", w.Weight)
		}
		if w.Cap.MilliCores < 0 || w.Cap.MemoryMB < 0 || w.Cap.GPUs < 0 {
			add("cap", "negative")
		}
	}
	return problems
}
