package tackport

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"auburntack/core/tackclock"
	"auburntack/core/tackintake"
)

const (
	// firstChunk and maxChunk bound the parts in which memory for a body is reserved. It grows
	// with what has arrived, not with what was announced.
	firstChunk = 2 << 10
	maxChunk   = 64 << 10
)

type (
	// BodyLimits limit one body. A zero time means that there is no such limit.
	BodyLimits struct {
		Bytes    int64
		Idle     tackclock.Duration // for the next bytes
		Deadline time.Time          // for all of it
	}

	// body is a body that is being read. Another goroutine may drop it.
	body struct {
		mu      sync.Mutex
		chunks  [][]byte
		dropped bool
	}

	// bodyReader reads the body of a request.
	bodyReader struct {
		body
		port     *Port
		conn     *conn
		src      io.Reader
		limits   BodyLimits
		began    time.Time
		received int64
		length   int64 // announced; -1 if it was not
	}
)

// ReadBody reads the body of a request, of at most limit bytes. The error is a *TooLargeError, a
// *SlowError, a *RefusedError, or that of the connection.
func (p *Port) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	return p.ReadBodyWithin(w, r, BodyLimits{Bytes: limit})
}

// ReadBodyWithin is like ReadBody with more limits. After an error the server closes the
// connection once the answer is written.
func (p *Port) ReadBodyWithin(w http.ResponseWriter, r *http.Request, limits BodyLimits) ([]byte, error) {
	data, err := p.readBody(w, r, limits)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	return data, err
}

func (p *Port) readBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) ([]byte, error) {
	c := connOf(r.Context())
	if r.ContentLength > limits.Bytes {
		p.record(c, "body larger than the limit", reasonTooLarge, r.ContentLength)
		return nil, &TooLargeError{Limit: limits.Bytes}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	b := &bodyReader{
		port: p, conn: c, src: http.MaxBytesReader(w, r.Body, limits.Bytes), limits: limits, began: time.Now(), length: r.ContentLength,
	}
	if c == nil {
		data, err := io.ReadAll(b.src)
		return data, b.classify(err)
	}
	return b.read()
}

// read reads the body into memory that it reserves before.
func (b *bodyReader) read() ([]byte, error) {
	c := b.conn
	if !c.holder.Enter(tackintake.Body, c.now()) {
		return nil, &RefusedError{Port: b.port.name}
	}
	c.setBody(&b.body)
	defer c.setBody(nil)
	err := b.readChunks()
	if !c.holder.Enter(tackintake.Busy, c.now()) && err == nil {
		err = &RefusedError{Port: b.port.name}
	}
	var data []byte
	if err == nil {
		data, err = b.join()
	}
	if err != nil {
		b.drop()
		c.holder.Resize(c.now(), c.headerHeld)
		return nil, err
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	return data, nil
}

func (b *bodyReader) readChunks() error {
	for size := int64(firstChunk); ; size = min(2*size, maxChunk) {
		if b.length >= 0 {
			size = min(size, b.length-b.received)
		}
		if size <= 0 {
			return nil
		}
		if !b.conn.holder.Reserve(b.conn.now(), size) {
			return b.refused()
		}
		chunk := make([]byte, size)
		n, err := b.fill(chunk)
		b.received += int64(n)
		if !b.add(chunk[:n]) {
			return b.refused()
		}
		if err != nil || b.received == b.length {
			return b.classify(err)
		}
	}
}

// refused returns the error of a body that had to make room, or for which there was none.
func (b *bodyReader) refused() error {
	b.mu.Lock()
	dropped := b.dropped
	b.mu.Unlock()
	if !dropped { // otherwise it was recorded
		b.port.refuse(b.conn, reasonMemory, b.received)
	}
	return &RefusedError{Port: b.port.name}
}

// fill reads until p is full. The error is io.EOF at the end of the body.
func (b *bodyReader) fill(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		if err := b.conn.Conn.SetReadDeadline(b.deadline(int64(n))); err != nil {
			return n, err
		}
		if b.isDropped() { // the deadline that ends the read may have been replaced
			return n, os.ErrDeadlineExceeded
		}
		m, err := b.src.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// deadline returns until when the next bytes must arrive; more is what was received of the current
// chunk.
func (b *bodyReader) deadline(more int64) time.Time {
	deadline := b.port.BodyDeadline(b.began, b.received+more)
	if !b.limits.Deadline.IsZero() && b.limits.Deadline.Before(deadline) {
		deadline = b.limits.Deadline
	}
	if b.limits.Idle > 0 {
		if idle := time.Now().Add(b.limits.Idle.Std()); idle.Before(deadline) {
			deadline = idle
		}
	}
	return deadline
}

// join returns the chunks as one slice. While it copies them they are held twice.
func (b *bodyReader) join() ([]byte, error) {
	if len(b.chunks) == 1 {
		return b.chunks[0], nil
	}
	if !b.conn.holder.Reserve(b.conn.now(), b.received) {
		return nil, b.refused()
	}
	data := slices.Concat(b.chunks...)
	b.chunks = nil
	b.conn.holder.Resize(b.conn.now(), b.conn.headerHeld+b.received)
	return data, nil
}

// classify returns the error of a read as one of this package's, and nil for the end of the body.
func (b *bodyReader) classify(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return nil
	case b.isDropped():
		return &RefusedError{Port: b.port.name}
	case errors.As(err, &tooLarge):
		b.port.record(b.conn, "body larger than the limit", reasonTooLarge, b.received)
		return &TooLargeError{Limit: tooLarge.Limit}
	case isTimeout(err):
		b.port.record(b.conn, "body not sent in time", reasonSlowBody, b.received)
		return &SlowError{Received: b.received}
	}
	return err
}

// add appends a chunk. It returns false if the body was dropped.
func (b *body) add(chunk []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.dropped && len(chunk) > 0 {
		b.chunks = append(b.chunks, chunk)
	}
	return !b.dropped
}

// drop releases the memory of the body.
func (b *body) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunks, b.dropped = nil, true
}

func (b *body) isDropped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
