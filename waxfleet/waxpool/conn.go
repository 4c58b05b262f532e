// Package waxpool keeps HTTP/1.1 connections to backend servers. A connection carries one
// request at a time. Nothing of a request is sent before RoundTrip. After RoundTrip has
// returned an error, the request may have run.
package waxpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxhead"
)

const (
	// readBufferBytes is the size of a connection's read buffer. It holds several events
	// of a stream; longer responses take more reads.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the maximum size of a body that is written before the
	// response is read. It fits the socket buffer, so that the write does not wait for
	// the server.
	maxInlineBodyBytes = 8 << 10
	// maxMismatchedResponses is the number of late responses to other requests that are
	// skipped before a connection counts as broken.
	maxMismatchedResponses = 2
	// maxSkippedBodyBytes is the maximum size of the body of such a response.
	maxSkippedBodyBytes = 1 << 20
	// confirmTimeout bounds the confirmation of the end of a response. A sound server may be
	// silent for a second or so.
	confirmTimeout waxfleet.Millis = 2_000
	// confirmRetryDelay is the delay between two probes.
	confirmRetryDelay waxfleet.Millis = 50
	// maxProbeBytes is the maximum size of the answer to a probe.
	maxProbeBytes = 64 << 10
	// maxHeadBytes is the maximum size of the status line and header of a response, and of
	// the interim responses before it. net/http sets no limit of its own.
	maxHeadBytes = 64 << 10
)

// errHeadTooLarge is the read error of a connection whose response head exceeds
// maxHeadBytes.
var errHeadTooLarge = errors.New("response head exceeds 64 KiB")

// headLimiter limits how much is read from a connection while a response head is parsed.
// A faulty server may send bytes without end instead of a head.
type headLimiter struct {
	source io.Reader
	// remaining is the number of bytes that may still be read, or -1 without a limit.
	remaining int
}

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if l.remaining < 0 {
		return l.source.Read(b)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

// Request is a request to send on a connection.
type Request struct {
	// ID identifies the attempt; responses to other attempts are skipped.
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true when the request has a body, even an empty one.
	HasBody bool
}

// Conn is a connection to a backend server.
type Conn struct {
	net.Conn
	protocol waxfleet.Protocol
	reader   *bufio.Reader
	// limiter is the source of reader.
	limiter *headLimiter
	pool    *Pool
	// idleUntil is when the idle connection expires.
	idleUntil waxfleet.Millis
	useCount  int
	// openedPosition and sentPosition are the positions, in the order of the pool, at which the
	// connection was opened and its last request was sent.
	openedPosition, sentPosition int64

	mu        sync.Mutex
	discarded bool
	// pending is true from the start of a request until its complete response was read.
	pending bool
}

func newConn(conn net.Conn, protocol waxfleet.Protocol, pool *Pool) *Conn {
	limiter := &headLimiter{source: conn, remaining: -1}
	return &Conn{
		Conn: conn, protocol: protocol, pool: pool, openedPosition: pool.nextPosition(),
		limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes),
	}
}

// New reports whether the connection was opened for the next request.
func (c *Conn) New() bool { return c.useCount == 0 && c.idleUntil == 0 }

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.useCount > 1 }

// Response is a response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	Head   waxfleet.ResponseHead
	// Body ends with io.EOF after a complete response. A close-delimited one may be
	// incomplete then.
	Body io.Reader
	// Length is the declared length of the body in bytes, or -1.
	Length int64

	conn *Conn
	// sentPosition is the position at which the request was sent.
	sentPosition int64
	httpResponse *http.Response
	// writeResult receives the result of writing the request.
	writeResult chan error
}

// Framed reports whether the response marks its end. Otherwise it is close-delimited: it
// ends with its connection, and its end says nothing about completeness.
func (r *Response) Framed() bool {
	return r.Length >= 0 || len(r.httpResponse.TransferEncoding) > 0 || r.httpResponse.Body == http.NoBody
}

// closeDelimitedBody is the body of a close-delimited response.
type closeDelimitedBody struct {
	reader io.Reader
	resp   *Response
}

// Read implements io.Reader. The kernel reports the reset of a connection once: if the goroutine
// that writes the request gets it, the connection seems to end in order here.
//
// Errors: CodeBackendDied when the connection was reset.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := b.resp.endWrite(); waxhead.IsReset(writeErr) {
		return n, waxfleet.WrapError(writeErr, waxfleet.CodeBackendDied, "connection was reset while the request was being written")
	}
	return n, err
}

// pastDeadline makes a write that waits for the server end at once.
var pastDeadline = time.Unix(1, 0)

// endWrite ends the writing of the request, and returns its result.
func (r *Response) endWrite() error {
	// An error means that the connection is closed, which ends the write, too.
	_ = r.conn.SetWriteDeadline(pastDeadline)
	err := <-r.writeResult
	r.writeResult <- err
	return err
}

// Probe is a request that a server answers without running work of callers.
type Probe struct {
	Target string
	// Check returns an error if the answer does not show that it comes from the process that
	// is asked. open is true on a connection that was open before the request was sent.
	Check func(h http.Header, body []byte, open bool) error
}

// ConfirmEnd checks at the end of a close-delimited response that the process of its server
// lives on: it has to answer a probe. An accepted connection alone shows nothing, because
// the kernel closes the sockets of a dead process one after the other.
//
// A connection that was open before the request was sent is asked first: it ends with the
// process that listened then, so that an answer can't be that of another one. On a new
// connection, only what the answer says of its process can show that.
//
// It returns the number of probes that were sent.
//
// Errors: CodeBackendDied when nothing answers within confirmTimeout, or another process
// does.
func (r *Response) ConfirmEnd(ctx context.Context, p Probe) (probes int, err error) {
	if r.Framed() {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	pool := r.conn.pool
	// The probe takes the place of the connection, whatever the limit.
	if !r.conn.closeKeepingPlace() {
		return 0, waxfleet.NewError(waxfleet.CodeBackendDied, "connection was discarded before its end")
	}
	defer pool.connClosed()
	for c := pool.takeOpenedBefore(r.sentPosition); c != nil; c = pool.takeOpenedBefore(r.sentPosition) {
		probes++
		err := c.askOpen(ctx, p)
		if err == nil || waxfleet.CodeOf(err) == waxfleet.CodeAnswerMismatch {
			return probes, err
		}
	}
	for {
		probes++
		err := pool.ask(ctx, p)
		if err == nil || waxfleet.CodeOf(err) == waxfleet.CodeAnswerMismatch || errors.Is(err, syscall.ECONNREFUSED) {
			return probes, err
		}
		// A server at its limit of connections resets new ones.
		if pool.clock.Sleep(ctx, confirmRetryDelay) != nil {
			return probes, err
		}
	}
}

// RoundTrip sends the request and reads the header of the response. A call of Discard by
// another goroutine aborts it. After an error, the connection must be discarded.
//
// Errors: CodeBackendDied when no response can be read, CodeAnswerMismatch when the
// responses belong to other attempts, name none or have a head above maxHeadBytes. In all
// cases the request may have run.
func (c *Conn) RoundTrip(r Request) (*Response, error) {
	c.useCount++
	c.sentPosition = c.pool.nextPosition()
	c.setPending(true)
	head := requestHead(r)
	writeResult := make(chan error, 1)
	switch {
	case len(r.Body) == 0:
		_, err := c.Write(head)
		writeResult <- err
	case len(r.Body) <= maxInlineBodyBytes:
		_, err := c.Write(append(head, r.Body...))
		writeResult <- err
	default:
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(c.Conn)
			writeResult <- err
		}()
	}
	return c.readResponse(r, writeResult)
}

// requestHead returns the request line and the header in wire format.
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

// readResponse reads responses until one belongs to the request. Before that, the
// connection may deliver a duplicate response to the previous request.
func (c *Conn) readResponse(r Request, writeResult chan error) (*Response, error) {
	for range maxMismatchedResponses + 1 {
		c.limiter.remaining = maxHeadBytes
		httpResp, err := waxhead.ReadResponse(c.reader, r.Method) //nolint:bodyclose // Release or Discard end the body with the connection.
		headTooLarge := err != nil && c.limiter.remaining == 0
		c.limiter.remaining = -1
		if headTooLarge {
			return nil, waxfleet.WrapError(err, waxfleet.CodeAnswerMismatch, "no response within %d bytes", maxHeadBytes)
		}
		if waxfleet.CodeOf(err) == waxfleet.CodeAnswerMismatch {
			return nil, err
		}
		if err != nil {
			return nil, waxfleet.WrapError(err, waxfleet.CodeBackendDied, "failed to read a response")
		}
		head := c.protocol.DecodeResponse(httpResp.StatusCode, httpResp.Header)
		head.Close = head.Close || httpResp.Close
		if head.ID == r.ID || head.ID == "" && (head.NotRun || head.Misdirected) {
			resp := &Response{
				Status:       httpResp.StatusCode,
				Header:       httpResp.Header,
				Head:         head,
				Body:         httpResp.Body,
				Length:       httpResp.ContentLength,
				conn:         c,
				sentPosition: c.sentPosition,
				httpResponse: httpResp,
				writeResult:  writeResult,
			}
			if !resp.Framed() {
				resp.Body = &closeDelimitedBody{reader: httpResp.Body, resp: resp}
			}
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxSkippedBodyBytes))
		if err != nil || n == maxSkippedBodyBytes || head.Close || head.ID == "" {
			return nil, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "response belongs to request %q", head.ID)
		}
	}
	return nil, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "too many responses to other requests")
}

// Release returns the connection to its pool after the complete response was read. It
// closes a connection that can't carry another request. One whose response names no attempt
// is closed, too: a late second copy of it could not be told from the next response.
func (c *Conn) Release(resp *Response) {
	c.setPending(false)
	select {
	case err := <-resp.writeResult:
		if err != nil || resp.Head.ID == "" || resp.Head.Close || resp.httpResponse.Close || c.reader.Buffered() > 0 {
			c.Discard()
			return
		}
	default:
		// The server responded before it had read the complete body.
		c.Discard()
		return
	}
	c.pool.putIdle(c, resp.Head.IdleTimeout)
}

// ReleaseUnused returns a connection that has carried no request since Get to its pool.
func (c *Conn) ReleaseUnused() {
	if c.idleUntil == 0 {
		c.idleUntil = c.pool.clock.Now() + unusedIdleTimeout
	}
	c.pool.addIdle(c)
}

func (c *Conn) setPending(pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = pending
}

// Discard closes the connection. While a request is pending, it resets the connection: after
// an orderly close, bytes that the network holds up would still reach the server later.
// Further calls have no effect.
func (c *Conn) Discard() {
	c.mu.Lock()
	discarded, pending := c.discarded, c.pending
	c.discarded = true
	c.mu.Unlock()
	if discarded {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && pending {
		// An error means that the connection is closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
	c.pool.connClosed()
}

// askOpen sends a probe on an idle connection that was taken from the pool, and closes it: the
// answer names no attempt.
//
// Errors: CodeBackendDied, CodeAnswerMismatch when another process answers.
func (c *Conn) askOpen(ctx context.Context, p Probe) error {
	defer c.Discard()
	// Bytes that are there already are no answer.
	if !c.reusable() {
		return waxfleet.NewError(waxfleet.CodeBackendDied, "connection ended before the probe")
	}
	// A connection that hangs leaves time for a new one.
	ctx, cancel := context.WithTimeout(ctx, (confirmTimeout / 2).Duration())
	defer cancel()
	defer context.AfterFunc(ctx, c.Discard)()
	if err := c.ask(p, true); err != nil {
		return err
	}
	c.setPending(false)
	return nil
}

// ask sends a probe and checks the answer.
//
// Errors: CodeBackendDied, CodeAnswerMismatch when another process answers.
func (c *Conn) ask(p Probe, open bool) error {
	resp, err := c.RoundTrip(Request{Method: http.MethodGet, Target: p.Target, Host: c.pool.address})
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeBackendDied, "no answer to the probe")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes))
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeBackendDied, "answer to the probe ended early")
	}
	if err := p.Check(resp.Header, body, open); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeAnswerMismatch, "probe was not answered by the process that is asked")
	}
	return nil
}

// closeKeepingPlace closes the connection and leaves its place among the open connections of
// the pool to the caller. It reports false if the connection was discarded before.
func (c *Conn) closeKeepingPlace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarded {
		return false
	}
	c.discarded = true
	_ = c.Close()
	return true
}

// reusable reports whether the connection is open and no bytes have arrived on it.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN
		return true
	})
	return err == nil && reusable
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection to an unreachable server
// fails.
func setUserTimeout(network, _ string, raw syscall.RawConn) error {
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
