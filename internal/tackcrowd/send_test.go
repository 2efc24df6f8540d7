package tackcrowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// The functions below return what one client of a crowd sends. head is the request line and
// the header fields, without the empty line at their end.

// sendNothing only connects.
func sendNothing(io.Writer) error { return nil }

// sendAnnounced sends a body of n bytes in pieces, except for its last byte.
func sendAnnounced(head string, n, piece int) func(io.Writer) error {
	header := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, n)
	body := bytes.Repeat([]byte{' '}, n-1)
	return func(w io.Writer) error { return writeAll(w, header, body, piece) }
}

// sendWhole sends a complete body at once.
func sendWhole(head, body string) func(io.Writer) error {
	request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return func(w io.Writer) error { return writeAll(w, "", []byte(request), len(request)) }
}

// sendChunked sends n bytes in chunks, without the last chunk that ends the body.
func sendChunked(head string, n, chunk int) func(io.Writer) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
	body := []byte(strings.Repeat(one, n/chunk))
	return func(w io.Writer) error {
		return writeAll(w, head+"Transfer-Encoding: chunked\r\n\r\n", body, 64<<10)
	}
}

// sendTooLarge announces 4 GB and sends some of it.
func sendTooLarge(head string) func(io.Writer) error {
	body := bytes.Repeat([]byte{' '}, excess)
	return func(w io.Writer) error { return writeAll(w, head+"Content-Length: 4000000000\r\n\r\n", body, 64<<10) }
}

// sendHeader sends a header of n bytes in short fields, without its end.
func sendHeader(head string, n int) func(io.Writer) error {
	var b strings.Builder
	b.WriteString(head)
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	header := []byte(b.String())
	return func(w io.Writer) error { return writeAll(w, "", header, len(header)) }
}

// sendRequests sends n requests without a body at once.
func sendRequests(head string, n int) func(io.Writer) error {
	requests := []byte(strings.Repeat(head+"\r\n", n))
	return func(w io.Writer) error { return writeAll(w, "", requests, len(requests)) }
}

func writeAll(w io.Writer, header string, body []byte, piece int) error {
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}
