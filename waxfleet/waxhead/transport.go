package waxhead

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"syscall"

	"waxwingdrift.org/waxfleet"
)

// Transport is an http.Transport that refuses malformed responses, and whose close-delimited
// bodies end with an error if their connection was reset while the request was being written.
// It does not look at HTTP/2, which has a framing of its own.
type Transport struct {
	base  *http.Transport
	http2 bool
}

// NewTransport returns a Transport that uses base for its connections.
func NewTransport(base *http.Transport) *Transport {
	t := &Transport{base: base, http2: base.Protocols != nil && base.Protocols.UnencryptedHTTP2()}
	if t.http2 {
		return t
	}
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return t
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
//
// Errors: CodeAnswerMismatch when the response is malformed; those of http.Transport.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.http2 {
		return t.base.RoundTrip(req)
	}
	w := newRequestWrite()
	interim := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { w.begin(info.Conn) },
		WroteRequest: func(httptrace.WroteRequestInfo) { w.end() },
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if interim++; interim > maxInterimResponses {
				return errTooManyInterim()
			}
			return check(1, status, http.Header(h))
		},
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkFinal(resp); err != nil {
		_ = resp.Body.Close()
		// A connection whose response seems to have no body is idle again.
		t.base.CloseIdleConnections()
		return nil, err
	}
	switch {
	case len(resp.TransferEncoding) > 0:
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp}
	case resp.ContentLength < 0 && resp.Body != http.NoBody && req.Body != nil:
		resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, write: w}
	}
	return resp, nil
}

// checkFinal checks the head of a final response.
func checkFinal(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return errStatus(resp.StatusCode)
	}
	return check(resp.ProtoMajor, resp.StatusCode, resp.Header)
}

// conn is a connection that keeps whether a write has found it reset.
type conn struct {
	net.Conn
	reset atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if IsReset(err) {
		c.reset.Store(true)
	}
	return n, err
}

// IsReset reports whether the result of writing a request shows that its connection was reset.
// After an orderly end of the connection, a reset makes writes fail in another way.
func IsReset(writeErr error) bool { return errors.Is(writeErr, syscall.ECONNRESET) }

// requestWrite is the writing of a request, which may be sent again on another connection.
type requestWrite struct {
	mu   sync.Mutex
	conn net.Conn
	// done is closed at the end.
	done chan struct{}
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

// begin records that the request is being sent on a connection.
func (w *requestWrite) begin(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = c
	select {
	case <-w.done:
		w.done = make(chan struct{})
	default:
	}
}

// end records the end of the write.
func (w *requestWrite) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.done:
	default:
		close(w.done)
	}
}

// foundReset waits for the end of the write, and reports whether it has found the connection
// reset.
func (w *requestWrite) foundReset() bool {
	w.mu.Lock()
	c, done := w.conn, w.done
	w.mu.Unlock()
	<-done
	recorder, ok := c.(*conn)
	return ok && recorder.reset.Load()
}

// closeDelimitedBody is the body of a response that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	write *requestWrite
}

// Read implements io.Reader. The kernel reports the reset of a connection once: if the goroutine
// that writes the request gets it, the connection seems to end in order here. net/http closes the
// connection at the end of the body, so that the write has ended.
//
// Errors: CodeBackendDied when the connection was reset.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.write.foundReset() {
		return n, waxfleet.NewError(waxfleet.CodeBackendDied, "connection was reset while the request was being written")
	}
	return n, err
}
