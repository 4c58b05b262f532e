package waxentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace/noop"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxconn"
	"waxwingdrift.org/waxfleet/waxintake"
	"waxwingdrift.org/waxfleet/waxmetric"
	"waxwingdrift.org/waxfleet/waxrecord"
	"waxwingdrift.org/waxfleet/waxroute"
)

const (
	intakeConfig = `{"services": {"desk": {"kind": "plain-service"}},
 "workspaces": {"school": {"keys": ["key-1"], "tiers": ["standard"]}}, "limits": {"max-body-bytes": 150000}}`
	intakeTimeout = 10 * time.Second
)

// lengthRouter responds with the length of the body.
type lengthRouter struct{}

// Route implements Router.
func (lengthRouter) Route(_ context.Context, req *waxroute.Request, response waxroute.ResponseWriter) error {
	if err := response.Head(http.StatusOK, "text/plain", "server-1"); err != nil {
		return err
	}
	return response.Body(fmt.Appendf(nil, "%d bytes", len(req.Body)))
}

// TestStalledBodyGivesWay guards against callers who stop short of the end of their bodies and
// use up the memory of the process.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	doc, err := waxconfig.ParseDocument(1, []byte(intakeConfig))
	is.NoErr(err)
	clock := waxfleet.NewClock()
	server := httptest.NewUnstartedServer(New(Dependencies{
		Clock: clock, Config: fixedConfig{doc: doc}, Router: lengthRouter{}, Recorder: waxrecord.NewRecorder(clock, "r", 10),
		Metrics: waxmetric.New(t.Context(), "r"), Tracer: noop.NewTracerProvider().Tracer(""),
		Log: slog.New(slog.DiscardHandler), Ready: func() bool { return true },
	}))
	intake := waxintake.New(waxintake.Options{
		MemoryBytes: 4 * 500_000, Clock: clock, Log: slog.New(slog.DiscardHandler),
		Limits: func() waxfleet.CallerLimits { return waxfleet.CallerLimits{} },
	})
	server.Listener = intake.Listener(server.Listener)
	server.Config.ConnContext, server.Config.ConnState = waxconn.Context, waxintake.Track
	server.Start()
	defer server.Close()
	send := func(path string, size, n int) net.Conn {
		conn, err := net.Dial("tcp4", strings.TrimPrefix(server.URL, "http://"))
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		is.NoErr(conn.SetDeadline(time.Now().Add(intakeTimeout)))
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", n))
		is.NoErr(err)
		return conn
	}
	stalled := send("/services/desk/a", 140_000, 139_999)
	for deadline := time.Now().Add(intakeTimeout); intake.Usages()[0].Used < 140_000 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	resp, body := readResponse(t, send("/services/desk/a", 140_000, 140_000))
	is.Equal(resp.status, http.StatusOK)
	is.Equal(body, "140000 bytes")
	resp, body = readResponse(t, stalled)
	is.Equal(resp.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"name":"router-full"`))
	is.True(strings.Contains(body, `"not-run":true`))
	is.True(resp.retryAfter != "")
	is.True(resp.close)
	resp, _ = readResponse(t, send("/services/desk/a", 150_001, 0))
	is.Equal(resp.status, http.StatusRequestEntityTooLarge)
	is.True(resp.close)
}

// reply is a response without its body.
type reply struct {
	status     int
	close      bool
	retryAfter string
}

// readResponse reads a response, and returns it and its body.
func readResponse(t *testing.T, conn net.Conn) (reply, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{status: resp.StatusCode, close: resp.Close, retryAfter: resp.Header.Get("Retry-After")}, string(raw)
}
