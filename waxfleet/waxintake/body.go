package waxintake

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"waxwingdrift.org/waxfleet"
)

// firstPart is the size of the first part of a body. Each further one is twice as large, up to
// maxPart.
const (
	firstPart = 4 << 10
	maxPart   = 64 << 10
)

// ReadBody reads the body of a request into memory, which it charges as bytes arrive.
// announced is the length of the body, or -1, limit the maximum length, and deadline the
// time until which the body must have arrived.
//
// Errors: CodeBodyTooLarge, CodeRouterFull, CodeRequestTimeout; otherwise the error of r.
func (c *Conn) ReadBody(r io.Reader, announced, limit int64, deadline waxfleet.Millis) ([]byte, error) {
	if announced > limit {
		return nil, waxfleet.NewError(waxfleet.CodeBodyTooLarge, "request body has %d bytes; the limit is %d", announced, limit)
	}
	c.startBody(deadline)
	size := announced
	if announced < 0 {
		size = limit + 1
	}
	body, err := c.read(r, size)
	switch {
	case waxfleet.CodeOf(err) == waxfleet.CodeRouterFull:
		return nil, c.fail(err)
	case err != nil:
		return nil, c.bodyError(err)
	case int64(len(body)) > limit:
		return nil, c.fail(waxfleet.NewError(waxfleet.CodeBodyTooLarge, "request body exceeds %d bytes", limit))
	case int64(len(body)) < announced:
		return nil, c.bodyError(io.ErrUnexpectedEOF)
	}
	return body, c.Whole()
}

// ReadAnswer reads a response of at most limit bytes into memory. whole is false if the
// response is longer, or if there is no memory for more of it.
func (c *Conn) ReadAnswer(r io.Reader, limit int64) (body []byte, whole bool, err error) {
	body, err = c.read(r, limit)
	if waxfleet.CodeOf(err) == waxfleet.CodeRouterFull {
		return body, false, nil
	}
	return body, int64(len(body)) < limit, err
}

func (c *Conn) startBody(deadline waxfleet.Millis) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyStarted, c.deadline = true, deadline
}

// read reads from r until its end or until size bytes are read. It allocates a part after
// the other as the bytes arrive, so that an incomplete body leaves no copies behind, and
// joins them at the end. If there is no memory for more, it returns what was read.
func (c *Conn) read(r io.Reader, size int64) ([]byte, error) {
	var parts [][]byte
	var part []byte
	var total int64
	var err error
	for total < size && err == nil {
		if len(part) == cap(part) {
			n := min(max(int64(2*cap(part)), firstPart), maxPart, size-total)
			if err = c.charge(n); err != nil {
				break
			}
			part = newPart(n)
			parts = append(parts, part)
		}
		var n int
		n, err = r.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		parts[len(parts)-1] = part
		total += int64(n)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	if len(parts) == 1 {
		return part, err
	}
	defer func() {
		for _, p := range parts {
			recycle(p)
			c.release(int64(cap(p)))
		}
	}()
	if err == nil {
		err = c.charge(total)
	}
	if err != nil && waxfleet.CodeOf(err) != waxfleet.CodeRouterFull {
		return nil, err
	}
	return bytes.Join(parts, nil), err
}

// parts holds unused parts of maxPart bytes. Without it, the parts of evicted requests would
// be garbage while memory is short.
var parts = sync.Pool{New: func() any { return new([maxPart]byte) }}

func newPart(n int64) []byte {
	if n < maxPart {
		return make([]byte, 0, n)
	}
	return parts.Get().(*[maxPart]byte)[:0]
}

// recycle takes a part back.
func recycle(p []byte) {
	if cap(p) == maxPart {
		parts.Put((*[maxPart]byte)(p[:maxPart]))
	}
}
