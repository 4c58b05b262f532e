package waxpool

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

const (
	// endlessBytes is what a server sends in TestEndlessHead unless the connection is
	// closed before. It stands for a response without end.
	endlessBytes = 256 << 20
	// maxEndlessHeap is the memory that one connection may use meanwhile.
	maxEndlessHeap = 8 << 20
)

// serveEndless runs a server that sends start and then repeats part until the caller
// closes, and returns the number of bytes that it could send.
func serveEndless(t *testing.T, start, part string) (address string, sent chan int) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent = make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		n, _ := io.WriteString(conn, start)
		chunk := strings.Repeat(part, 1+(32<<10)/len(part))
		for n < endlessBytes {
			m, err := io.WriteString(conn, chunk)
			n += m
			if err != nil {
				break
			}
		}
		sent <- n
	}()
	return l.Addr().String(), sent
}

// TestEndlessHead guards against a server that sends bytes without end instead of a
// response: before the limit, one such connection took hundreds of MB within a second.
func TestEndlessHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string]struct {
		start, part string
		code        waxfleet.Code
	}{
		"status line":       {"HTTP/1.1 200 ", "x", waxfleet.CodeAnswerMismatch},
		"not a status line": {"", "garbage", waxfleet.CodeAnswerMismatch},
		"field name":        {ok, "x", waxfleet.CodeAnswerMismatch},
		"field value":       {ok + "Attempt: ", "1", waxfleet.CodeAnswerMismatch},
		"fields":            {ok, "X-A: b\r\n", waxfleet.CodeAnswerMismatch},
		"folded field":      {ok + "Attempt: 1\r\n", " x\r\n", waxfleet.CodeAnswerMismatch},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n", waxfleet.CodeAnswerMismatch},
		"interim header":    {"HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n", waxfleet.CodeAnswerMismatch},
		"empty lines":       {"", "\r\n", waxfleet.CodeBackendDied},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, sent := serveEndless(t, text.start, text.part)
			p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 1)
			defer p.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, _, err := do(p, request("1"))
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.Equal(waxfleet.CodeOf(err), text.code)
			is.True(after.TotalAlloc-before.TotalAlloc < maxEndlessHeap)
			select {
			case n := <-sent:
				is.True(n < endlessBytes) // the connection was closed, not read to the end
			case <-time.After(10 * time.Second):
				t.Fatal("the connection was left open")
			}
		})
	}
}

// TestEndlessBody guards against memory that grows with a body without end, and against
// trailers and chunk sizes without end.
func TestEndlessBody(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]struct {
		start, part string
		wantError   bool
	}{
		"without length":     {"HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n", "x", false},
		"chunks":             {chunked, "1\r\nx\r\n", false},
		"chunk size":         {chunked, "1", true},
		"chunk extension":    {chunked + "1;", "x", true},
		"trailer":            {chunked + "0\r\n", "X-A: b\r\n", true},
		"of another attempt": {"HTTP/1.1 200 OK\r\nAttempt: 0\r\n\r\n", "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := serveEndless(t, text.start, text.part)
			p := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(1000), address, 1)
			defer p.Close()
			c, err := p.Get(context.Background())
			is.NoErr(err)
			defer c.Discard()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp, err := c.RoundTrip(request("1"))
			if err == nil {
				_, err = io.CopyN(io.Discard, resp.Body, 4<<20)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			is.Equal(err != nil, text.wantError)
			is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < maxEndlessHeap)
		})
	}
}
