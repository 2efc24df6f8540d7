package tackcbor

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"strconv"
	"testing"
)

type message struct {
	Name   string            `cbor:"1,keyasint"`
	Labels map[string]string `cbor:"2,keyasint"`
	Share  float64           `cbor:"3,keyasint"`
	List   []int             `cbor:"4,keyasint"`
}

// assertDecoded asserts that the message is decoded as it was encoded, by all functions.
func assertDecoded(t *testing.T, sent message) {
	t.Helper()
	data, err := Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	stream := new(bytes.Buffer)
	if err := Encode(stream, sent); err != nil {
		t.Fatal(err)
	}
	deterministic, err := MarshalDeterministic(sent)
	if err != nil {
		t.Fatal(err)
	}
	for name, decode := range map[string]func(*message) error{
		"Unmarshal":            func(m *message) error { return Unmarshal(data, m) },
		"UnmarshalFirst":       func(m *message) error { _, err := UnmarshalFirst(data, m); return err },
		"Decode":               func(m *message) error { return Decode(stream, m) },
		"MarshalDeterministic": func(m *message) error { return Unmarshal(deterministic, m) },
	} {
		var got message
		if err := decode(&got); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if got.Name != sent.Name || !maps.Equal(got.Labels, sent.Labels) || !slices.Equal(got.List, sent.List) ||
			math.Float64bits(got.Share) != math.Float64bits(sent.Share) {
			t.Errorf("%s differs from what was sent", name)
		}
	}
}

// Guards against a process that writes what no other one can read.
func TestWhatIsEncodedIsDecoded(t *testing.T) {
	t.Run("strings and keys that are not UTF-8", func(t *testing.T) {
		assertDecoded(t, message{Name: "m-\xff\xfe", Labels: map[string]string{"\x80": "\xc3"}})
	})
	t.Run("numbers without a value", func(t *testing.T) {
		assertDecoded(t, message{Share: math.Inf(-1)})
	})
	t.Run("long lists and maps", func(t *testing.T) {
		m := message{List: make([]int, 200_000), Labels: make(map[string]string)}
		for i := range 200_000 {
			m.Labels[strconv.Itoa(i)] = ""
		}
		assertDecoded(t, m)
	})
}

func FuzzStrings(f *testing.F) {
	f.Add("names-api", "r1")
	f.Add("m-\xff\xfe", "\x80")
	f.Fuzz(func(t *testing.T, name, label string) {
		assertDecoded(t, message{Name: name, Labels: map[string]string{label: name}})
	})
}

// Guards against a message of one byte for each element of a list, each of which takes hundreds of
// bytes when it is decoded.
func TestUnmarshalBounded(t *testing.T) {
	type wide struct{ Text [64]string }
	for _, n := range []int{maxElements, maxElements + 1} {
		data, err := Marshal(make([]struct{}, n))
		if err != nil {
			t.Fatal(err)
		}
		var list []wide
		if err := UnmarshalBounded(data, &list); (err == nil) != (n <= maxElements) {
			t.Errorf("%d elements: %v", n, err)
		}
	}
}
