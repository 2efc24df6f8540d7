// Package tackworkspace holds the workspaces, which are the customers whose jobs the
// workers run: their keys, their shares, and the caps on what each may have running.
package tackworkspace

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"auburntack/core/tackid"
	"auburntack/core/tackroom"
)

// shortDigits is the number of digits of a fingerprint that are shown in tables and log
// messages. It suffices to tell the keys of a deployment apart.
const shortDigits = 12

type (
	// Fingerprint is the SHA-256 sum of a key, in hexadecimal digits. Keys are looked up
	// by their fingerprints, so the time that a lookup takes reveals nothing about the
	// existing keys, and only fingerprints are passed on and logged. The empty
	// fingerprint stands for no key.
	Fingerprint string

	// Workspace is a customer as configured by the operators.
	Workspace struct {
		Name tackid.Workspace `cbor:"1,keyasint"`
		// Keys are the keys that its callers may present.
		Keys []Fingerprint `cbor:"2,keyasint,omitempty"`
		// Weight is the weight of its share when all workers are busy.
		Weight float64 `cbor:"3,keyasint,omitempty"`
		// Cap limits what it has running over all workers. A zero field means no limit.
		Cap tackroom.Resources `cbor:"4,keyasint"`
		// Priority 0 is served first, higher values later.
		Priority int `cbor:"5,keyasint,omitempty"`
	}

	// Holders maps keys to the workspaces that hold them. Its zero value is empty.
	Holders struct {
		byKey map[Fingerprint]tackid.Workspace
	}

	// Problem is one problem found in a list of workspaces.
	Problem struct {
		Field string
		Text  string
	}
)

// FingerprintOf returns the fingerprint of a key; the fingerprint of the empty key is empty.
func FingerprintOf(key string) Fingerprint {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return Fingerprint(hex.EncodeToString(sum[:]))
}

// Short returns the digits that are shown in tables and log messages.
func (f Fingerprint) Short() string {
	return string(f[:min(len(f), shortDigits)])
}

// HoldersOf returns the holders of the keys of the given workspaces.
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

// Validate returns all problems found in a list of workspaces. A key must not be shared by
// two of them: each could see and cancel the jobs of the other.
func Validate(list []Workspace) []Problem {
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
