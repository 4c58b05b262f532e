package waxintake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconn"
)

const (
	testBodyLimit = 150_000
	testTimeout   = 10 * time.Second
)

// testServer serves requests on loopback like a router instance. It echoes the length of the
// body.
type testServer struct {
	t       *testing.T
	in      *Intake
	clock   *waxfleet.Clock
	address string
	// bodyTimeout is the time until the deadline of a request.
	bodyTimeout waxfleet.Millis
	served      atomic.Int64
	// hold keeps requests with the path /hold waiting.
	hold chan struct{}
	// written gets the error of a response without end.
	written chan error
}

func newTestServer(t *testing.T, memory int64, maxOpenFiles int, bodyTimeout waxfleet.Millis) *testServer {
	t.Helper()
	s := &testServer{t: t, clock: waxfleet.NewClock(), bodyTimeout: bodyTimeout, hold: make(chan struct{}), written: make(chan error, 1)}
	s.in = New(Options{
		MemoryBytes: memory, MaxOpenFiles: maxOpenFiles, Clock: s.clock, Log: slog.New(slog.DiscardHandler),
		Limits: func() waxfleet.CallerLimits {
			return waxfleet.CallerLimits{MaxHeaderBytes: 8_192, HeaderTimeout: 3_000}
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s, ConnContext: waxconn.Context, ConnState: Track, ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout}
	go func() { _ = server.Serve(s.in.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	s.address = l.Addr().String()
	return s
}

// ServeHTTP implements http.Handler.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := Of(r.Context())
	defer c.End()
	err := c.Begin(r.ContentLength != 0)
	var body []byte
	switch {
	case err != nil:
	case r.URL.Path == "/unauthorized":
		err = waxfleet.NewError(waxfleet.CodeUnauthorized, "no key")
	case r.ContentLength != 0:
		body, err = c.ReadBody(r.Body, r.ContentLength, testBodyLimit, s.clock.Now()+s.bodyTimeout)
	}
	if err != nil {
		if !c.KeepAfterRefusal(r.ContentLength) {
			w.Header().Set("Connection", "close")
		}
		http.Error(w, waxfleet.CodeOf(err).Name(), waxfleet.CodeOf(err).Status())
		return
	}
	s.served.Add(1)
	switch r.URL.Path {
	case "/hold":
		<-s.hold
	case "/endless":
		c.AnswerBy(s.clock.Now() + 200 - answerSlack)
		part := bytes.Repeat([]byte("x"), 64<<10)
		for err == nil {
			_, err = w.Write(part)
		}
		s.written <- err
		return
	}
	_, _ = fmt.Fprintf(w, "%d bytes", len(body))
}

// caller is a connection to the server.
type caller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (s *testServer) dial() *caller {
	s.t.Helper()
	conn, err := net.DialTimeout("tcp", s.address, testTimeout)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &caller{t: s.t, Conn: conn, r: bufio.NewReader(conn)}
}

// send sends text. The server may have closed the connection.
func (c *caller) send(format string, args ...any) { _, _ = fmt.Fprintf(c, format, args...) }

// sendBody sends the header of a request and the first n of size bytes of its body.
func (c *caller) sendBody(path string, size, n int) {
	c.send("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", n))
}

// reply is a response without its body.
type reply struct {
	status     int
	close      bool
	retryAfter string
}

// response reads a response, and returns it and its body.
func (c *caller) response() (reply, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return reply{status: resp.StatusCode, close: resp.Close, retryAfter: resp.Header.Get("Retry-After")}, strings.TrimSpace(string(body))
}

// awaitUsed waits until the use of the account is from least to most.
func (s *testServer) awaitUsed(account int, least, most int64) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		u := s.in.Usages()[account]
		if u.Used >= least && u.Used <= most {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%+v; want %d to %d", u, least, most)
		}
	}
}

// TestStalledBodyGivesWay guards against bodies that stop short of their end and use up the
// memory of the process.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 4*500_000, 0, 60_000)
	stalled := s.dial()
	stalled.sendBody("/", 140_000, 139_999)
	s.awaitUsed(0, connBytes+requestBytes+140_000, 200_000)
	ordinary := s.dial()
	ordinary.sendBody("/", 140_000, 140_000)
	resp, body := ordinary.response()
	is.Equal(resp.status, http.StatusOK)
	is.Equal(body, "140000 bytes")
	resp, body = stalled.response()
	is.Equal(resp.status, http.StatusServiceUnavailable)
	is.Equal(body, "router-full")
	is.True(resp.close)
	is.Equal(s.served.Load(), int64(1)) // the refused request was not run
	_ = stalled.Close()
	_ = ordinary.Close()
	s.awaitUsed(0, 0, 0)
	s.awaitUsed(1, 0, 0)
}

// TestBodyOverLimit guards against chunked bodies that go on beyond the limit.
func TestBodyOverLimit(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, 0, 60_000)
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	sent := make(chan int)
	go func() {
		n := 0
		for _, err := io.WriteString(c, "1000\r\n"+strings.Repeat("x", 4096)+"\r\n"); err == nil; n += 4096 {
			_, err = io.WriteString(c, "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")
		}
		sent <- n
	}()
	resp, body := c.response()
	is.Equal(resp.status, http.StatusRequestEntityTooLarge)
	is.Equal(body, "body-too-large")
	is.True(resp.close)
	<-sent // the server closes the connection
	s.awaitUsed(0, 0, 0)
}

// TestLateBody guards against requests that wait for their bodies beyond their deadlines.
func TestLateBody(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, 0, 100)
	c := s.dial()
	c.sendBody("/", 10, 9)
	resp, body := c.response()
	is.Equal(resp.status, http.StatusRequestTimeout)
	is.Equal(body, "request-timeout")
	is.True(resp.close)
	is.Equal(s.served.Load(), int64(0))
}

// TestHeaderOverLimit guards against headers larger than the configuration allows, which
// may be less than the limit of the http.Server.
func TestHeaderOverLimit(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, 0, 60_000)
	c := s.dial()
	c.send("GET / HTTP/1.1\r\nHost: a\r\n%s", strings.Repeat("a: b\r\n", 3_000))
	resp, _ := c.response()
	is.Equal(resp.status, http.StatusRequestHeaderFieldsTooLarge)
	is.True(resp.close)
	c = s.dial()
	c.send("GET / HTTP/1.1\r\nHost: a\r\nlong: %s\r\n\r\n", strings.Repeat("x", 8_100))
	resp, _ = c.response()
	is.Equal(resp.status, http.StatusOK)
}

// TestEmptyLinesWithoutEnd guards against connections that never begin a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, 0, 60_000)
	c := s.dial()
	var err error
	for err == nil {
		_, err = io.WriteString(c, strings.Repeat("\r\n", 1_000))
	}
	is.True(!strings.Contains(err.Error(), "timeout")) // the server closed the connection
	s.awaitUsed(1, 0, 0)
}

// TestUnreadAnswer guards against callers that don't read their responses and hold a request
// forever.
func TestUnreadAnswer(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, 0, 60_000)
	c := s.dial()
	c.send("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case err := <-s.written:
		is.True(err != nil)
	case <-time.After(testTimeout):
		t.Fatal("the response is still being written")
	}
	s.awaitUsed(0, 0, 0)
}

// TestAnswerWithoutMemory guards against buffering responses when callers already hold all of
// the memory: the rest is streamed.
func TestAnswerWithoutMemory(t *testing.T) {
	is := is.New(t)
	in := New(Options{MemoryBytes: 4 * 100_000, Clock: waxfleet.NewManualClock(0), Log: slog.New(slog.DiscardHandler)})
	c := in.open(&net.TCPConn{})
	is.NoErr(c.Begin(false))
	answer := strings.Repeat("0123456789", 20_000)
	r := strings.NewReader(answer)
	body, whole, err := c.ReadAnswer(r, 256<<10)
	is.NoErr(err)
	is.True(!whole)
	rest, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(string(body)+string(rest), answer)
	body, whole, err = c.ReadAnswer(strings.NewReader(answer[:5_000]), 256<<10)
	is.NoErr(err)
	is.True(whole)
	is.Equal(string(body), answer[:5_000])
	_, whole, err = (*Conn)(nil).ReadAnswer(strings.NewReader(answer), 100_000)
	is.NoErr(err)
	is.True(!whole)
}

// TestSilentConnectionsGiveWay guards against connections without requests that keep
// ordinary callers out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, 220, 60_000) // 8 connections
	for range 30 {
		s.dial()
	}
	ordinary := s.dial()
	ordinary.sendBody("/", 5, 5)
	resp, _ := ordinary.response()
	is.Equal(resp.status, http.StatusOK)
}

// TestRequestOnEvictedConnection guards against closing a connection without a response when
// its request has arrived and was not read yet.
func TestRequestOnEvictedConnection(t *testing.T) {
	is := is.New(t)
	in := New(Options{Clock: waxfleet.NewClock(), Log: slog.New(slog.DiscardHandler)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	for _, sent := range []string{"GET / HTTP/1.1\r\n", ""} {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
		accepted, err := l.Accept()
		is.NoErr(err)
		c := in.open(accepted.(*net.TCPConn))
		_, err = io.WriteString(conn, sent)
		is.NoErr(err)
		is.True(c.evict())
		n, err := c.Read(make([]byte, 100))
		is.Equal(n, 0)
		is.True(err != nil)
		go func() { _ = c.Close() }()
		raw, err := io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(strings.HasPrefix(string(raw), "HTTP/1.1 503 "), sent != "")
		is.NoErr(conn.Close())
	}
}

// TestConnectionsInUse guards against cutting off requests that are being answered: a new
// connection is refused instead.
func TestConnectionsInUse(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, 220, 60_000) // 8 connections
	var held []*caller
	for range 8 {
		c := s.dial()
		c.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
		held = append(held, c)
	}
	for deadline := time.Now().Add(testTimeout); s.served.Load() < 8 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c := s.dial()
	c.sendBody("/", 5, 5)
	resp, body := c.response()
	is.Equal(resp.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"name":"router-full"`))
	is.True(resp.retryAfter != "")
	close(s.hold)
	for _, h := range held {
		resp, _ := h.response()
		is.Equal(resp.status, http.StatusOK)
	}
}

// TestKeptConnections guards against breaking what callers may do on one connection.
func TestKeptConnections(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, 0, 60_000)
	c := s.dial()
	c.sendBody("/unauthorized", 5, 5)
	resp, _ := c.response()
	is.Equal(resp.status, http.StatusUnauthorized)
	is.True(!resp.close)
	c.sendBody("/", testBodyLimit, testBodyLimit)
	resp, body := c.response()
	is.Equal(resp.status, http.StatusOK)
	is.Equal(body, "150000 bytes")
	c.sendBody("/", testBodyLimit+1, 0)
	resp, _ = c.response()
	is.Equal(resp.status, http.StatusRequestEntityTooLarge)
	is.True(resp.close)

	c = s.dial()
	c.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	resp, _ = c.response()
	is.Equal(resp.status, http.StatusContinue)
	c.send("abc")
	_, body = c.response()
	is.Equal(body, "3 bytes")
	// Several requests at once, one in chunks.
	c.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n" +
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.0\r\nContent-Length: 6\r\n\r\nabcdef")
	for _, want := range []string{"4 bytes", "0 bytes", "6 bytes"} {
		resp, body = c.response()
		is.Equal(resp.status, http.StatusOK)
		is.Equal(body, want)
	}
	s.awaitUsed(0, 0, 0)
	s.awaitUsed(1, 0, 0)
}
