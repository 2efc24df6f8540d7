package tackpeer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"auburntack/core/tackid"
)

// TestBatchKeepsMessages checks that random messages joined into a batch are decoded unchanged
// and in order.
func TestBatchKeepsMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies := rapid.SliceOf(rapid.SliceOf(rapid.Byte())).Draw(t, "bodies")
		kind := Kind(rapid.String().Draw(t, "kind"))
		var batch []byte
		for _, body := range bodies {
			data, err := encode(kind, body)
			if err != nil {
				t.Fatal(err)
			}
			batch = append(batch, data...)
		}
		n := 0
		err := decode(batch, "a", func(e Envelope) {
			var body []byte
			if err := cbor.Unmarshal(e.Body, &body); err != nil || !bytes.Equal(body, bodies[n]) {
				t.Fatalf("message %d: %x, want %x, error %v", n, body, bodies[n], err)
			}
			if e.Kind != kind || e.From != "a" {
				t.Fatalf("message %d is %q from %q", n, e.Kind, e.From)
			}
			n++
		})
		if err != nil || n != len(bodies) {
			t.Fatalf("%d of %d messages, error %v", n, len(bodies), err)
		}
	})
}

// TestEnvelopeIsSmall checks that the envelope of a body of 200 bytes adds at most 10 bytes.
func TestEnvelopeIsSmall(t *testing.T) {
	data, err := encode("data", make([]byte, 200))
	if err != nil || len(data) > 210 {
		t.Fatalf("%d bytes, error %v", len(data), err)
	}
}

// FuzzDecode passes arbitrary data to the decoders. They must not panic, must return errors of
// this package's types, and must not return a message under the ID of another sender.
func FuzzDecode(f *testing.F) {
	data, _ := encode("text", "hello")
	f.Add(data)
	f.Add(append(data, data...))
	f.Add([]byte{0xa1, 2, 0x61, 'b'})
	f.Fuzz(func(t *testing.T, data []byte) {
		err := decode(data, "a", func(e Envelope) {
			if e.From != "a" {
				t.Fatalf("message from %q", e.From)
			}
		})
		var malformed *MalformedError
		var identity *IdentityError
		if err != nil && !errors.As(err, &malformed) && !errors.As(err, &identity) {
			t.Fatalf("error of type %T", err)
		}
		if h, err := decodeHello(data); err == nil && h.From == tackid.Peer("") {
			t.Fatal("hello from nobody")
		}
	})
}
