package waxserve_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"waxwingdrift.org/waxstandin/internal/waxserve"
)

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// silence is how long the test waits on a connection that must stay silent. A
// slow machine can hide a fault of the server but not make the test fail.
const silence = 50 * time.Millisecond

func newServer(t *testing.T) *waxserve.Server {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s, err := waxserve.New(ctx, "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func dial(t *testing.T, s *waxserve.Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func ask(c net.Conn, r *bufio.Reader) error {
	if _, err := c.Write([]byte(request)); err != nil {
		return err
	}
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// Guards against a server that is down and still accepts or leaves its old
// connections open, and against one that can't return to its address.
func TestDownKeepsTheAddress(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	c, r := dial(t, s)
	is.NoErr(ask(c, r))
	s.Down()
	is.True(errors.Is(ask(c, r), syscall.ECONNRESET) || errors.Is(ask(c, r), syscall.EPIPE))
	_, err := net.Dial("tcp", s.Address())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(s.Up())
	c, r = dial(t, s)
	is.NoErr(ask(c, r))
}

// Guards against silence that spares an idle connection or reaches a new one.
func TestSilence(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	idle, r := dial(t, s)
	is.NoErr(ask(idle, r))
	s.Silence(3)
	is.NoErr(idle.SetReadDeadline(time.Now().Add(silence)))
	is.True(errors.Is(ask(idle, r), os.ErrDeadlineExceeded))
	fresh, r := dial(t, s)
	is.NoErr(ask(fresh, r))
}
