// Package waxpool keeps HTTP/1.1 connections to backend servers. A connection
// carries one request at a time. Nothing of it has left before RoundTrip; after an
// error of RoundTrip it may have run.
package waxpool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"waxwingdrift.org/waxfleet"
)

const (
	// readBuffer holds several events of a stream; longer answers take more reads.
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is read.
	// It fits the socket buffer, so that the write does not wait for the server.
	inlineBody = 8 << 10
	// maxForeignAnswers is the number of late answers to other requests that are
	// skipped before a connection counts as broken.
	maxForeignAnswers = 2
	// maxForeignBody is the longest late answer that is read over, in bytes.
	maxForeignBody = 1 << 20
)

// Request is what a connection sends.
type Request struct {
	// ID names the attempt; answers that name another one are skipped.
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the request has a body, which may be empty.
	HasBody bool
}

// Conn is one connection to a backend server.
type Conn struct {
	net.Conn
	protocol waxfleet.Protocol
	reader   *bufio.Reader
	pool     *Pool
	idleTill waxfleet.Millis
	uses     int

	mu     sync.Mutex
	broken bool
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.uses > 1 }

// Answer is the head of an answer and its body.
type Answer struct {
	Status int
	Header http.Header
	Head   waxfleet.AnswerHead
	// Body ends with io.EOF only if the answer is whole.
	Body io.Reader
	// Length is the declared length of the body, or -1.
	Length int64

	resp    *http.Response
	written chan error
}

// RoundTrip sends the request and reads the head of its answer. Discard ends it
// from another goroutine. After an error the connection must be discarded.
func (c *Conn) RoundTrip(r Request) (*Answer, error) {
	c.uses++
	head := requestHead(r)
	written := make(chan error, 1)
	switch {
	case len(r.Body) == 0:
		_, err := c.Write(head)
		written <- err
	case len(r.Body) <= inlineBody:
		_, err := c.Write(append(head, r.Body...))
		written <- err
	default:
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(c.Conn)
			written <- err
		}()
	}
	return c.readHead(r, written)
}

// requestHead returns the request line and the header.
func requestHead(r Request) []byte {
	b := make([]byte, 0, 1024)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if r.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readHead reads answers until one belongs to the request. A connection may
// still deliver a second answer to the request before.
func (c *Conn) readHead(r Request, written chan error) (*Answer, error) {
	for range maxForeignAnswers + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // Done or Discard end the body with the connection.
		if err != nil {
			return nil, waxfleet.WrapError(err, waxfleet.CodeBackendDied, "no answer on the connection")
		}
		if resp.StatusCode < 200 {
			continue
		}
		head := c.protocol.AnswerHead(resp.StatusCode, resp.Header)
		head.Close = head.Close || resp.Close
		if head.ID == r.ID || head.ID == "" && (head.NotRun || head.WrongServer) {
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Head: head, Body: resp.Body,
				Length: resp.ContentLength, resp: resp, written: written,
			}, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody))
		if err != nil || n == maxForeignBody || head.Close || head.ID == "" {
			return nil, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "the answer names request %q", head.ID)
		}
	}
	return nil, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "too many answers to other requests")
}

// Done returns the connection to its pool after the whole answer was read. The
// connection is closed when it can't carry another request.
func (c *Conn) Done(a *Answer) {
	select {
	case err := <-a.written:
		if err != nil || a.Head.Close || a.resp.Close || c.reader.Buffered() > 0 {
			c.Discard()
			return
		}
	default:
		// The server answered before it had read the whole body.
		c.Discard()
		return
	}
	c.pool.put(c, a.Head.IdleTime)
}

// Discard closes the connection.
func (c *Conn) Discard() {
	c.mu.Lock()
	closed := c.broken
	c.broken = true
	c.mu.Unlock()
	if closed {
		return
	}
	_ = c.Close()
	c.pool.closed()
}

// quiet reports whether the connection is open and has nothing to read.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// tune sets the time-outs that show a silent peer.
func tune(network, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		if network == "tcp4" || network == "tcp" {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Duration()/time.Millisecond))
		}
	}); e != nil {
		return e
	}
	return err
}
