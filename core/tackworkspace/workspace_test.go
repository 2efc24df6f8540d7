package tackworkspace

import (
	"strings"
	"testing"
)

func TestHolders(t *testing.T) {
	h := HoldersOf([]Workspace{
		{Name: "mairies", Keys: []Fingerprint{FingerprintOf("a"), FingerprintOf("b")}},
		{Name: "postes", Keys: []Fingerprint{FingerprintOf("c")}},
		{Name: "keyless"},
	})
	for key, want := range map[string]string{"a": "mairies", "b": "mairies", "c": "postes", "d": "", "": "", "A": ""} {
		got, held := h.Of(FingerprintOf(key))
		if string(got) != want || held != (want != "") {
			t.Errorf("key %q is held by %q, %v, want %q", key, got, held, want)
		}
	}
	var none Holders
	if _, held := none.Of(FingerprintOf("a")); held {
		t.Error("a key is held before any workspace is known")
	}
}

func TestFingerprintHidesItsKey(t *testing.T) {
	const key = "k5x7xn7fz7gfsr3xqtrp"
	if f := FingerprintOf(key); strings.Contains(string(f), key) || len(f) != 64 || len(f.Short()) != shortDigits {
		t.Errorf("fingerprint %q, short form %q", f, f.Short())
	}
	if f := FingerprintOf(""); f != "" || f.Short() != "" {
		t.Errorf("the empty key has the fingerprint %q", f)
	}
}

// BenchmarkHolder looks up keys among 45 workspaces with two keys each.
func BenchmarkHolder(b *testing.B) {
	var list []Workspace
	for i := range 45 {
		name := string(rune('A' + i))
		list = append(list, Workspace{Keys: []Fingerprint{FingerprintOf(name + "1"), FingerprintOf(name + "2")}})
	}
	h := HoldersOf(list)
	known, unknown := FingerprintOf("A2"), FingerprintOf("x")
	b.ReportAllocs()
	for b.Loop() {
		h.Of(known)
		h.Of(unknown)
	}
}
