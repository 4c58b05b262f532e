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

// silenceWait is how long the test waits for data on a silent connection. On a slow
// machine a fault can go unnoticed, but the test never fails without one.
const silenceWait = 50 * time.Millisecond

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

func roundTrip(c net.Conn, r *bufio.Reader) error {
	if _, err := c.Write([]byte(request)); err != nil {
		return err
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// TestDownKeepsTheAddress guards against a server that accepts or keeps connections
// while it is down, and one that can't listen on its address again.
func TestDownKeepsTheAddress(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	c, r := dial(t, s)
	is.NoErr(roundTrip(c, r))
	s.Down()
	is.True(errors.Is(roundTrip(c, r), syscall.ECONNRESET) || errors.Is(roundTrip(c, r), syscall.EPIPE))
	_, err := net.Dial("tcp", s.Address())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(s.Up())
	c, r = dial(t, s)
	is.NoErr(roundTrip(c, r))
}

// TestSilence guards against Silence skipping an idle connection or affecting a new
// one.
func TestSilence(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	idle, r := dial(t, s)
	is.NoErr(roundTrip(idle, r))
	s.Silence(3)
	is.NoErr(idle.SetReadDeadline(time.Now().Add(silenceWait)))
	is.True(errors.Is(roundTrip(idle, r), os.ErrDeadlineExceeded))
	fresh, r := dial(t, s)
	is.NoErr(roundTrip(fresh, r))
}
