package waxpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"waxwingdrift.org/waxfleet"
)

// plainProtocol decodes the fields that the pool needs from header fields of its own.
type plainProtocol struct{}

func (plainProtocol) DecodeRequest(*http.Request) waxfleet.RequestHead { return waxfleet.RequestHead{} }

func (plainProtocol) BackendHeader(waxfleet.RequestHead, waxfleet.ForwardInfo) http.Header {
	return nil
}

func (plainProtocol) DecodeResponse(status int, h http.Header) waxfleet.ResponseHead {
	idle := waxfleet.Millis(0)
	if h.Get("Idle") != "" {
		_, _ = fmt.Sscan(h.Get("Idle"), &idle)
	}
	return waxfleet.ResponseHead{
		ID:          h.Get("Attempt"),
		NotRun:      status == 503,
		IdleTimeout: idle,
		Close:       h.Get("Connection") == "close",
	}
}

func (plainProtocol) CallerHeader(h http.Header) http.Header { return h }

func (plainProtocol) PeerHeader(waxfleet.RequestHead) http.Header { return nil }

func (plainProtocol) MarkPeerError(http.Header, string) {}

func (plainProtocol) MarkCloseDelimited(http.Header) {}

func (plainProtocol) ProbeTarget(waxfleet.ServiceSpec) (target string, namesStart bool) {
	return "/probe", true
}

func (plainProtocol) DecodeProbe(http.Header, []byte) (server string, startUnixMilli int64) {
	return "", 0
}

// serveScript runs a server with one conversation per connection. The server sends the
// responses of the conversation, one for each request, and closes the connection. A
// response that begins with "early " is sent before the request is read; then the server
// reads nothing until the test ends.
func serveScript(t *testing.T, conversations ...[]string) (address string, requests chan string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = make(chan string, 100)
	go func() {
		for _, responses := range conversations {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(t.Context(), conn, responses, requests)
		}
	}()
	return l.Addr().String(), requests
}

func serveConn(ctx context.Context, conn net.Conn, responses []string, requests chan string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for _, resp := range responses {
		if text, early := strings.CutPrefix(resp, "early "); early {
			_, _ = io.WriteString(conn, text)
			<-ctx.Done()
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		requests <- req.Method + " " + req.RequestURI + " " + req.Host + " " + string(body)
		_, _ = io.WriteString(conn, resp)
	}
	time.Sleep(50 * time.Millisecond)
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// do sends one request and reads the complete response.
func do(p *Pool, r Request) (body string, reused bool, err error) {
	c, err := p.Get(context.Background())
	if err != nil {
		return "", false, err
	}
	resp, err := c.RoundTrip(r)
	if err != nil {
		c.Discard()
		return "", c.Reused(), err
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Discard()
		return string(raw), c.Reused(), err
	}
	c.Release(resp)
	return string(raw), c.Reused(), nil
}

func request(id string) Request {
	return Request{
		ID:      id,
		Method:  "POST",
		Target:  "/a%2Fb?c",
		Host:    "h.example",
		Body:    []byte("x"),
		HasBody: true,
	}
}

// TestConnectionsAreReused guards against opening a connection for each request, and
// against changing the request on its way.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	address, requests := serveScript(t, []string{response("1", "one"), response("2", "two")})
	p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 4)
	defer p.Close()
	body, reused, err := do(p, request("1"))
	is.NoErr(err)
	is.Equal(body, "one")
	is.True(!reused)
	body, reused, err = do(p, request("2"))
	is.NoErr(err)
	is.Equal(body, "two")
	is.True(reused)
	is.Equal(<-requests, "POST /a%2Fb?c h.example x")
	is.Equal(p.DialCount(), int64(1))
}

// TestForeignAnswers guards against taking the response to another attempt for the own
// one, whether it arrives first or is left on an idle connection.
func TestForeignAnswers(t *testing.T) {
	is := is.New(t)
	address, _ := serveScript(t,
		[]string{response("0", "old") + response("1", "one")},
		[]string{response("2", "two") + response("2", "two")},
		[]string{response("3", "three")},
		[]string{response("0", "old") + response("0", "old") + response("0", "old")},
		[]string{"nonsense\r\n\r\n"},
		[]string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxx"},
	)
	p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 4)
	defer p.Close()
	for _, want := range []string{"one", "two", "three"} {
		id := map[string]string{"one": "1", "two": "2", "three": "3"}[want]
		c, err := p.Get(context.Background())
		is.NoErr(err)
		resp, err := c.RoundTrip(request(id))
		is.NoErr(err)
		raw, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(raw), want)
		// The scripted connections serve one request each.
		resp.Head.Close = want != "two"
		c.Release(resp)
	}
	for _, code := range []waxfleet.Code{waxfleet.CodeAnswerMismatch, waxfleet.CodeBackendDied, waxfleet.CodeAnswerMismatch} {
		_, _, err := do(p, request("4"))
		is.Equal(waxfleet.CodeOf(err), code)
	}
}

// TestRejectionWithoutID guards against taking the second copy of a rejection that names no
// attempt, which arrives late, for the response to the next request on the connection.
func TestRejectionWithoutID(t *testing.T) {
	is := is.New(t)
	const rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	address, requests := serveScript(t, []string{rejection, rejection + response("2", "two")}, []string{response("2", "two")})
	p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 4)
	defer p.Close()
	c, err := p.Get(context.Background())
	is.NoErr(err)
	resp, err := c.RoundTrip(request("1"))
	is.NoErr(err)
	is.True(resp.Head.NotRun)
	c.Release(resp)
	<-requests
	body, reused, err := do(p, request("2"))
	is.NoErr(err)
	is.Equal(body, "two")
	is.True(!reused)
}

// TestBrokenAnswers guards against an incomplete response that looks complete.
func TestBrokenAnswers(t *testing.T) {
	is := is.New(t)
	address, _ := serveScript(t,
		[]string{"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 9\r\n\r\nshort"},
		[]string{"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		[]string{"HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nwithout a length"},
	)
	p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 4)
	defer p.Close()
	for range 2 {
		_, _, err := do(p, request("1"))
		is.True(err != nil)
	}
	body, _, err := do(p, request("1"))
	is.NoErr(err)
	is.Equal(body, "without a length")
}

// TestEarlyAnswer guards against reusing a connection whose long request body was not
// sent completely: the server would take the rest of the body for the next request.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	address, _ := serveScript(t, []string{"early " + response("1", "early")}, []string{response("2", "two")})
	p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 4)
	defer p.Close()
	long := request("1")
	long.Body = make([]byte, 8<<20)
	body, _, err := do(p, long)
	is.NoErr(err)
	is.Equal(body, "early")
	_, reused, err := do(p, request("2"))
	is.NoErr(err)
	is.True(!reused)
}

// TestIdleTime guards against sending a request while the server closes the idle
// connection.
func TestIdleTime(t *testing.T) {
	is := is.New(t)
	address, _ := serveScript(t,
		[]string{"HTTP/1.1 200 OK\r\nAttempt: 1\r\nIdle: 2000\r\nContent-Length: 0\r\n\r\n", response("2", "x")},
		[]string{response("2", "two")})
	clock := waxfleet.NewManualClock(1_000)
	p := New(clock, plainProtocol{}, NewBudget(1000), address, 4)
	defer p.Close()
	_, _, err := do(p, request("1"))
	is.NoErr(err)
	clock.Advance(1_500) // the server's idle timeout of 2,000 ms less idleMargin
	body, reused, err := do(p, request("2"))
	is.NoErr(err)
	is.Equal(body, "two")
	is.True(!reused)
}

// TestLimit guards against more connections than this instance's share, and against an
// unreachable server that delays the request.
func TestLimit(t *testing.T) {
	is := is.New(t)
	address, _ := serveScript(t, []string{response("1", "one")}, []string{response("2", "two")})
	p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 1)
	c, err := p.Get(context.Background())
	is.NoErr(err)
	_, err = p.Get(context.Background())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeOverloaded)
	c.Discard()
	c.Discard() // has no effect
	c, err = p.Get(context.Background())
	is.NoErr(err)
	c.Discard()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), l.Addr().String(), 1).Get(context.Background())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodePeerUnreachable)
}

// FuzzAnswers guards against responses that crash the process, and against taking the
// response to another attempt for the own one.
func FuzzAnswers(f *testing.F) {
	f.Add(response("1", "one"))
	f.Add("HTTP/1.1 100 Continue\r\n\r\n" + response("1", "one"))
	f.Add("HTTP/1.1 200 OK\r\nAttempt: 0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		mine, theirs := net.Pipe()
		go func() {
			_, _ = io.WriteString(theirs, text)
			_ = theirs.Close()
		}()
		c := newConn(mine, plainProtocol{}, &Pool{budget: NewBudget(1)})
		writeResult := make(chan error, 1)
		writeResult <- nil
		resp, err := c.readResponse(request("1"), writeResult)
		if err == nil && resp.Head.ID != "1" && resp.Head.ID != "" {
			t.Fatalf("accepted the response to %q", resp.Head.ID)
		}
		c.Discard()
	})
}

// probeBehaviour is what a server does with a connection that a probe opens.
type probeBehaviour string

const (
	answers probeBehaviour = "answers"
	// resets and closes break the connection off after the probe was read.
	resets probeBehaviour = "resets"
	closes probeBehaviour = "closes"
	// silent never answers, as the kernel of a process that has died.
	silent probeBehaviour = "silent"
)

// TestEndOfCloseDelimitedResponse guards against taking the end of a close-delimited
// response for complete although its server has died, against probes of servers whose
// responses mark their end, and against probes that take places of requests.
func TestEndOfCloseDelimitedResponse(t *testing.T) {
	const closeDelimited = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nbody"
	for name, test := range map[string]struct {
		response, method string
		// probes is what the server does with the probes; it stops listening before the others.
		probes    []probeBehaviour
		otherOne  bool
		framed    bool
		confirmed bool
		dials     int64
	}{
		"alive":               {response: closeDelimited, probes: []probeBehaviour{answers}, confirmed: true, dials: 2},
		"alive at its limit":  {response: closeDelimited, probes: []probeBehaviour{resets, closes, answers}, confirmed: true, dials: 4},
		"crashed":             {response: closeDelimited, dials: 2},
		"crashed, accepted":   {response: closeDelimited, probes: []probeBehaviour{resets}, dials: 3},
		"crashed, silent":     {response: closeDelimited, probes: []probeBehaviour{silent}, dials: 2},
		"replaced":            {response: closeDelimited, probes: []probeBehaviour{answers}, otherOne: true, dials: 2},
		"length":              {response: response("1", "body"), probes: []probeBehaviour{answers}, framed: true, confirmed: true, dials: 1},
		"chunks":              {response: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", framed: true, confirmed: true, dials: 1},
		"no body":             {response: "HTTP/1.1 204 No Content\r\nAttempt: 1\r\n\r\n", framed: true, confirmed: true, dials: 1},
		"head":                {response: "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n", method: http.MethodHead, framed: true, confirmed: true, dials: 1},
		"length, crashed":     {response: response("1", "body"), framed: true, confirmed: true, dials: 1},
		"crashed, slow close": {response: closeDelimited, probes: []probeBehaviour{closes, closes}, dials: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			go serveProbes(t, l, test.response, test.probes)
			p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), l.Addr().String(), 1)
			defer p.Close()
			c, err := p.Get(context.Background())
			is.NoErr(err)
			r := request("1")
			if test.method != "" {
				r.Method = test.method
			}
			resp, err := c.RoundTrip(r)
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.Framed(), test.framed)
			_, err = resp.ConfirmEnd(context.Background(), Probe{Target: "/probe", Check: func(http.Header, []byte, bool) error {
				if test.otherOne {
					return errors.New("another process")
				}
				return nil
			}})
			is.Equal(err == nil, test.confirmed)
			is.Equal(p.DialCount(), test.dials)
			c.Discard()
			is.Equal(p.openCount, 0) // neither the connection nor the probes keep a place
		})
	}
}

// TestConfirmEndOnOpenConnection guards against taking an answer of a process that has taken
// the place of a dead one for proof that the dead one lives. Only a connection that was open
// before the request was sent is bound to the process that got the request.
func TestConfirmEndOnOpenConnection(t *testing.T) {
	const (
		closeDelimited = "HTTP/1.1 200 OK\r\nAttempt: 2\r\n\r\nbody"
		probeAnswer    = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	)
	for name, test := range map[string]struct {
		// others holds the conversations on the other connections, the first of which is open
		// while the response arrives.
		others [][]string
		// late is set if that one is opened after the request was sent.
		late      bool
		confirmed bool
		dials     int64
	}{
		"lives":                 {others: [][]string{{response("1", "a"), probeAnswer}}, confirmed: true, dials: 2},
		"replaced":              {others: [][]string{{response("1", "a")}, {probeAnswer}}, dials: 3},
		"opened later":          {others: [][]string{{response("1", "a"), probeAnswer}, {probeAnswer}}, late: true, dials: 3},
		"ended, nobody answers": {others: [][]string{{response("1", "a")}}, dials: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conversations := append([][]string{test.others[0], {closeDelimited}}, test.others[1:]...)
			if test.late {
				conversations[0], conversations[1] = conversations[1], conversations[0]
			}
			address, _ := serveScript(t, conversations...)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 9)
			defer p.Close()
			other := func() {
				_, _, err := do(p, request("1"))
				is.NoErr(err)
			}
			if !test.late {
				other()
			}
			c, err := p.open(ctx)
			is.NoErr(err)
			resp, err := c.RoundTrip(request("2"))
			is.NoErr(err)
			if test.late {
				other()
			}
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			// Nothing that a new process says shows that it is not the one that was asked.
			_, err = resp.ConfirmEnd(ctx, Probe{Target: "/probe", Check: func(_ http.Header, _ []byte, open bool) error {
				if !open {
					return errors.New("maybe another process")
				}
				return nil
			}})
			is.Equal(err == nil, test.confirmed)
			if test.confirmed || len(test.others) > 1 {
				is.Equal(p.DialCount(), test.dials)
			}
		})
	}
}

// TestProbeOnClosedConnection guards against bytes that the server had sent before the probe,
// and that count as its answer.
func TestProbeOnClosedConnection(t *testing.T) {
	is := is.New(t)
	late := "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"
	address, _ := serveScript(t, []string{response("1", "a")}, []string{"HTTP/1.1 200 OK\r\nAttempt: 2\r\n\r\nbody"})
	p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 9)
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, _, err := do(p, request("1"))
	is.NoErr(err)
	// The server has written a late response when the probe is sent.
	p.idle[0].reader = bufio.NewReader(io.MultiReader(strings.NewReader(late), p.idle[0].Conn))
	_, err = p.idle[0].reader.Peek(1)
	is.NoErr(err)
	c, err := p.open(ctx)
	is.NoErr(err)
	resp, err := c.RoundTrip(request("2"))
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	_, err = resp.ConfirmEnd(ctx, Probe{Target: "/probe", Check: func(http.Header, []byte, bool) error { return nil }})
	is.True(err != nil) // nobody lives
}

// TestSpareConnection guards against ends of responses that can't be confirmed because no other
// connection was open, and against a connection that is opened for each request.
func TestSpareConnection(t *testing.T) {
	is := is.New(t)
	answers := []string{response("1", "a"), response("1", "b"), response("1", "c"), response("1", "d")}
	for limit, dials := range map[int]int64{1: 1, 2: 2, 9: 2} {
		address, _ := serveScript(t, answers, answers, answers)
		p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, limit)
		defer p.Close()
		p.KeepSpares(p.clock.Now() + 60_000)
		for range 4 {
			_, _, err := do(p, request("1"))
			is.NoErr(err)
		}
		is.Equal(p.DialCount(), dials)
		is.Equal(len(p.idle), int(dials))
	}
}

// serveProbes sends a response on the first connection, treats the following ones as probes,
// and stops listening before that of the last one closes.
func serveProbes(t *testing.T, l net.Listener, response string, probes []probeBehaviour) {
	for i := range len(probes) + 1 {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if i == len(probes) {
			_ = l.Close()
		}
		switch {
		case i == 0:
			_, _ = io.WriteString(conn, response)
		case probes[i-1] == answers:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case probes[i-1] == resets:
			_ = conn.(*net.TCPConn).SetLinger(0)
		case probes[i-1] == silent:
			t.Cleanup(func() { _ = conn.Close() })
			continue
		}
		_ = conn.Close()
	}
}

// TestSilenceEndsConnection guards against connections that the kernel ends while a sound
// server is silent for up to two seconds. With a user timeout, keep-alive probes give up at
// the first one after it, whatever their number, and the silence may begin just before the
// first probe.
func TestSilenceEndsConnection(t *testing.T) {
	is := is.New(t)
	const silence = 2 * time.Second
	address, _ := serveScript(t, []string{""})
	p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 1)
	conn, err := p.Get(t.Context())
	is.NoErr(err)
	defer conn.Discard()
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(name int) time.Duration {
		var value int
		is.NoErr(raw.Control(func(fd uintptr) {
			value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
		}))
		is.NoErr(err)
		return time.Duration(value)
	}
	userTimeout := option(unix.TCP_USER_TIMEOUT) * time.Millisecond
	firstProbe := option(unix.TCP_KEEPIDLE) * time.Second
	t.Logf("user timeout %v, first probe after %v", userTimeout, firstProbe)
	is.True(userTimeout >= firstProbe+silence)
}

// TestAbandonedRequestArrivesLater guards against a request that was given up and reaches its
// server seconds later, because the network had held it up: after an orderly close the kernel
// goes on sending it.
func TestAbandonedRequestArrivesLater(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), l.Addr().String(), 1)
	conn, err := p.Get(t.Context())
	is.NoErr(err)
	time.AfterFunc(50*time.Millisecond, conn.Discard)
	_, err = conn.RoundTrip(Request{ID: "a", Method: "POST", Target: "/", Host: "h", Header: http.Header{}})
	is.True(err != nil)
	is.True(errors.Is(<-ended, syscall.ECONNRESET)) // nil: an orderly close
}
