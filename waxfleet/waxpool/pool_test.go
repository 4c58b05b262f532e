package waxpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// plainProtocol reads the few fields that the pool needs under names of its own.
type plainProtocol struct{}

func (plainProtocol) Inbound(*http.Request) waxfleet.Inbound { return waxfleet.Inbound{} }

func (plainProtocol) Outbound(waxfleet.Inbound, waxfleet.Outbound) http.Header { return nil }

func (plainProtocol) AnswerHead(status int, h http.Header) waxfleet.AnswerHead {
	idle := waxfleet.Millis(0)
	if h.Get("Idle") != "" {
		_, _ = fmt.Sscan(h.Get("Idle"), &idle)
	}
	return waxfleet.AnswerHead{ID: h.Get("Attempt"), NotRun: status == 503, IdleTime: idle, Close: h.Get("Connection") == "close"}
}

func (plainProtocol) CallerHeader(h http.Header) http.Header { return h }

// script answers each connection's requests with the given texts, in order, and
// then closes the connection. A text is sent without reading a request first when
// it begins with "early ".
func script(t *testing.T, conversations ...[]string) (address string, requests chan string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = make(chan string, 100)
	go func() {
		for _, answers := range conversations {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go converse(conn, answers, requests)
		}
	}()
	return l.Addr().String(), requests
}

func converse(conn net.Conn, answers []string, requests chan string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for _, answer := range answers {
		if text, early := strings.CutPrefix(answer, "early "); early {
			_, _ = io.WriteString(conn, text)
			_, _ = io.Copy(io.Discard, r)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		requests <- req.Method + " " + req.RequestURI + " " + req.Host + " " + string(body)
		_, _ = io.WriteString(conn, answer)
	}
	time.Sleep(50 * time.Millisecond)
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// do sends one request and reads its whole answer.
func do(p *Pool, r Request) (body string, reused bool, err error) {
	c, err := p.Get(context.Background())
	if err != nil {
		return "", false, err
	}
	a, err := c.RoundTrip(r)
	if err != nil {
		c.Discard()
		return "", c.Reused(), err
	}
	raw, err := io.ReadAll(a.Body)
	if err != nil {
		c.Discard()
		return string(raw), c.Reused(), err
	}
	c.Done(a)
	return string(raw), c.Reused(), nil
}

func request(id string) Request {
	return Request{ID: id, Method: "POST", Target: "/a%2Fb?c", Host: "h.example", Body: []byte("x"), HasBody: true}
}

// TestConnectionsAreReused guards against a new connection for each request, and
// against a request that is changed on its way.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	address, requests := script(t, []string{answer("1", "one"), answer("2", "two")})
	p := New(waxfleet.NewClock(), plainProtocol{}, address, 4)
	defer p.End()
	body, reused, err := do(p, request("1"))
	is.NoErr(err)
	is.Equal(body, "one")
	is.True(!reused)
	body, reused, err = do(p, request("2"))
	is.NoErr(err)
	is.Equal(body, "two")
	is.True(reused)
	is.Equal(<-requests, "POST /a%2Fb?c h.example x")
	is.Equal(p.Dialed(), int64(1))
}

// TestForeignAnswers guards against an answer to another request that is taken
// for the own one, whether it comes before it or is left on an idle connection.
func TestForeignAnswers(t *testing.T) {
	is := is.New(t)
	address, _ := script(t,
		[]string{answer("0", "old") + answer("1", "one")},
		[]string{answer("2", "two") + answer("2", "two")},
		[]string{answer("3", "three")},
		[]string{answer("0", "old") + answer("0", "old") + answer("0", "old")},
		[]string{"nonsense\r\n\r\n"},
		[]string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxx"},
	)
	p := New(waxfleet.NewClock(), plainProtocol{}, address, 4)
	defer p.End()
	for _, want := range []string{"one", "two", "three"} {
		id := map[string]string{"one": "1", "two": "2", "three": "3"}[want]
		c, err := p.Get(context.Background())
		is.NoErr(err)
		a, err := c.RoundTrip(request(id))
		is.NoErr(err)
		raw, err := io.ReadAll(a.Body)
		is.NoErr(err)
		is.Equal(string(raw), want)
		// The script's connections take one request each.
		a.Head.Close = want != "two"
		c.Done(a)
	}
	for _, code := range []waxfleet.Code{waxfleet.CodeAnswerMismatch, waxfleet.CodeBackendDied, waxfleet.CodeAnswerMismatch} {
		_, _, err := do(p, request("4"))
		is.Equal(waxfleet.CodeOf(err), code)
	}
}

// TestBrokenAnswers guards against a broken answer that looks whole.
func TestBrokenAnswers(t *testing.T) {
	is := is.New(t)
	address, _ := script(t,
		[]string{"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 9\r\n\r\nshort"},
		[]string{"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		[]string{"HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nwithout a length"},
	)
	p := New(waxfleet.NewClock(), plainProtocol{}, address, 4)
	defer p.End()
	for range 2 {
		_, _, err := do(p, request("1"))
		is.True(err != nil)
	}
	body, _, err := do(p, request("1"))
	is.NoErr(err)
	is.Equal(body, "without a length")
}

// TestEarlyAnswer guards against the rest of a long body that the server takes
// for the next request on the connection.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	address, _ := script(t, []string{"early " + answer("1", "early")}, []string{answer("2", "two")})
	p := New(waxfleet.NewClock(), plainProtocol{}, address, 4)
	defer p.End()
	long := request("1")
	long.Body = make([]byte, 8<<20)
	body, _, err := do(p, long)
	is.NoErr(err)
	is.Equal(body, "early")
	_, reused, err := do(p, request("2"))
	is.NoErr(err)
	is.True(!reused)
}

// TestIdleTime guards against a request that crosses the server's close of an
// idle connection.
func TestIdleTime(t *testing.T) {
	is := is.New(t)
	address, _ := script(t,
		[]string{"HTTP/1.1 200 OK\r\nAttempt: 1\r\nIdle: 2000\r\nContent-Length: 0\r\n\r\n", answer("2", "x")},
		[]string{answer("2", "two")})
	clock := waxfleet.NewManualClock(1_000)
	p := New(clock, plainProtocol{}, address, 4)
	defer p.End()
	_, _, err := do(p, request("1"))
	is.NoErr(err)
	clock.Advance(1_500) // the server keeps it for 2,000 ms, less a margin of 500
	body, reused, err := do(p, request("2"))
	is.NoErr(err)
	is.Equal(body, "two")
	is.True(!reused)
}

// TestLimit guards against more connections than this instance's part, and
// against a server that is out of reach and holds the request up.
func TestLimit(t *testing.T) {
	is := is.New(t)
	address, _ := script(t, []string{answer("1", "one")}, []string{answer("2", "two")})
	p := New(waxfleet.NewClock(), plainProtocol{}, address, 1)
	c, err := p.Get(context.Background())
	is.NoErr(err)
	_, err = p.Get(context.Background())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeOverloaded)
	c.Discard()
	c.Discard() // a second time changes nothing
	c, err = p.Get(context.Background())
	is.NoErr(err)
	c.Discard()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = New(waxfleet.NewClock(), plainProtocol{}, l.Addr().String(), 1).Get(context.Background())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodePeerUnreachable)
}

// FuzzAnswers guards against bytes of a server that end the process, or that
// belong to another request and are taken for its answer.
func FuzzAnswers(f *testing.F) {
	f.Add(answer("1", "one"))
	f.Add("HTTP/1.1 100 Continue\r\n\r\n" + answer("1", "one"))
	f.Add("HTTP/1.1 200 OK\r\nAttempt: 0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		mine, theirs := net.Pipe()
		go func() {
			_, _ = io.WriteString(theirs, text)
			_ = theirs.Close()
		}()
		c := &Conn{Conn: mine, protocol: plainProtocol{}, reader: bufio.NewReader(mine), pool: &Pool{}}
		written := make(chan error, 1)
		written <- nil
		a, err := c.readHead(request("1"), written)
		if err == nil && a.Head.ID != "1" && a.Head.ID != "" {
			t.Fatalf("the answer to %q was taken", a.Head.ID)
		}
		c.Discard()
	})
}
