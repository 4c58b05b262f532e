package waxintake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// reserveTimeout is the time after which a reservation that waits is given up.
const reserveTimeout = 20 * time.Millisecond

// accountScript plays connections without a network, on a manual clock.
type accountScript struct {
	t     *testing.T
	clock *waxfleet.Clock
	in    *Intake
	log   bytes.Buffer
	names []string
	conns map[string]*Conn
	// buffers give back what connections have reserved.
	buffers map[string]func()
}

// TestAccounts guards against callers that make the process hold more than its budgets,
// against evicting a connection whose request was read, and against evicting those that hold
// little or move while others hold much and don't.
func TestAccounts(t *testing.T) {
	datadriven.Walk(t, "testdata/accounts", func(t *testing.T, path string) {
		s := &accountScript{t: t}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *accountScript) run(t *testing.T, d *datadriven.TestData) string {
	var name string
	if len(d.CmdArgs) > 0 {
		name = d.CmdArgs[0].Key
	}
	c := s.conns[name]
	n := 0
	d.MaybeScanArgs(t, "bytes", &n)
	switch d.Cmd {
	case "intake":
		s.start(d)
		return ""
	case "wait":
		d.ScanArgs(t, "ms", &n)
		s.clock.Advance(waxfleet.Millis(n))
		return ""
	case "open":
		return s.open(name)
	case "receive":
		return s.result(c.received(bytes.Repeat([]byte("x"), n)))
	case "lines":
		return s.result(c.received(bytes.Repeat([]byte("a:\r\n"), n/4)))
	case "begin":
		return s.result(c.Begin(d.HasArg("body")))
	case "body":
		return s.result(c.charge(int64(n)))
	case "reserve":
		return s.reserve(name, int64(n))
	case "unreserve":
		s.buffers[name]()
		return s.state()
	case "whole":
		return s.result(c.Whole())
	case "deadline":
		d.ScanArgs(t, "ms", &n)
		c.startBody(s.clock.Now() + waxfleet.Millis(n))
		return ""
	case "timeout":
		return s.result(c.timedOut())
	case "refuse":
		return fmt.Sprintf("keep=%t", c.KeepAfterRefusal(int64(n)))
	case "end":
		c.End()
		c.idle()
		return s.state()
	case "close":
		_ = c.Close()
		delete(s.conns, name)
		return s.state()
	case "log":
		defer s.log.Reset()
		return s.log.String()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *accountScript) start(d *datadriven.TestData) {
	var memory, files int
	d.MaybeScanArgs(s.t, "memory", &memory)
	d.MaybeScanArgs(s.t, "files", &files)
	s.clock, s.conns, s.names = waxfleet.NewManualClock(0), map[string]*Conn{}, nil
	s.buffers = map[string]func(){}
	s.in = New(Options{
		MemoryBytes: int64(memory), MaxOpenFiles: files, Clock: s.clock,
		Log: slog.New(slog.NewTextHandler(&s.log, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey || a.Key == slog.LevelKey {
				return slog.Attr{}
			}
			return a
		}})),
		Limits: func() waxfleet.CallerLimits {
			return waxfleet.CallerLimits{MaxHeaderBytes: 16_384, HeaderTimeout: 3_000}
		},
	})
}

func (s *accountScript) open(name string) string {
	// The connection is not open, so that deadlines have no effect.
	c := s.in.open(&net.TCPConn{})
	if c == nil {
		return "refused\n" + s.state()
	}
	s.conns[name] = c
	s.names = append(s.names, name)
	return s.state()
}

// reserve reserves a buffer, or tells that it would wait.
func (s *accountScript) reserve(name string, n int64) string {
	ctx, cancel := context.WithTimeout(s.t.Context(), reserveTimeout)
	defer cancel()
	release, err := s.conns[name].ReserveBuffer(ctx, n)
	if errors.Is(err, context.DeadlineExceeded) {
		return "waits\n" + s.state()
	}
	s.buffers[name] = release
	return s.result(err)
}

// result returns the error, if any, and the state.
func (s *accountScript) result(err error) string {
	if err != nil {
		return fmt.Sprintf("%s\n%s", waxfleet.CodeOf(err).Name(), s.state())
	}
	return s.state()
}

// state returns the accounts and the connections.
func (s *accountScript) state() string {
	var b strings.Builder
	for _, u := range s.in.Usages() {
		fmt.Fprintf(&b, "%s %d of %d\n", u.Account, u.Used, u.Budget)
	}
	for _, name := range s.names {
		c, ok := s.conns[name]
		if !ok {
			continue
		}
		state := c.candidate()
		fmt.Fprintf(&b, "%s %s %d", name, c.phase, state.held)
		if c.evicted {
			b.WriteString(" evicted")
		}
		b.WriteString("\n")
	}
	return b.String()
}

// TestBudgets guards against budgets that leave nothing for the process itself.
func TestBudgets(t *testing.T) {
	for name, c := range map[string]struct {
		memoryMB              int64
		maxOpenFiles          int
		memoryMax, connection int64
	}{
		"platform":         {memoryMB: 284, maxOpenFiles: 4_100, memoryMax: 71 << 20, connection: 1_900},
		"small":            {memoryMB: 96, maxOpenFiles: 500, memoryMax: 24 << 20, connection: 112},
		"less than needed": {memoryMB: 1, maxOpenFiles: 100, memoryMax: 1 << 18, connection: minConnections},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(memoryBudget(c.memoryMB<<20), c.memoryMax)
			is.Equal(connectionBudget(c.maxOpenFiles), c.connection)
		})
	}
}
