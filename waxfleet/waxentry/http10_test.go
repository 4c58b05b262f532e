package waxentry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace/noop"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxconn"
	"waxwingdrift.org/waxfleet/waxmetric"
	"waxwingdrift.org/waxfleet/waxrecord"
	"waxwingdrift.org/waxfleet/waxroute"
)

// partialRouter responds with a part of the body, and then with its error.
type partialRouter struct{ err error }

// Route implements Router.
func (r partialRouter) Route(_ context.Context, _ *waxroute.Request, response waxroute.ResponseWriter) error {
	if err := response.Head(http.StatusOK, "text/plain", "server-1"); err != nil {
		return err
	}
	if err := response.Body(make([]byte, 64<<10)); err != nil {
		return err
	}
	return r.err
}

// http10Config has a plain service.
const http10Config = `{"services": {"desk": {"kind": "plain-service"}},
 "workspaces": {"school": {"keys": ["key-1"], "tiers": ["standard"]}}, "limits": {"max-body-bytes": 1024}}`

// TestHTTP10ResponseLooksComplete guards against a response that broke off and looks complete
// to a caller on HTTP/1.0, who gets no chunks: only a reset says so.
func TestHTTP10ResponseLooksComplete(t *testing.T) {
	is := is.New(t)
	doc, err := waxconfig.ParseDocument(1, []byte(http10Config))
	is.NoErr(err)
	for _, c := range []struct {
		name string
		err  error
	}{
		{"broken-off", waxfleet.NewError(waxfleet.CodeBackendDied, "server died")},
		{"complete", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := waxfleet.NewClock()
			server := httptest.NewUnstartedServer(New(Dependencies{
				Clock: clock, Config: fixedConfig{doc: doc}, Router: partialRouter{err: c.err}, Recorder: waxrecord.NewRecorder(clock, "r", 10),
				Metrics: waxmetric.New(t.Context(), "r"), Tracer: noop.NewTracerProvider().Tracer(""),
				Log: slog.New(slog.DiscardHandler), Ready: func() bool { return true },
			}))
			server.Config.ConnContext = waxconn.Context
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp4", strings.TrimPrefix(server.URL, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprint(conn, "GET /services/desk/a HTTP/1.0\r\nAuthorization: Bearer key-1\r\n\r\n")
			is.NoErr(err)
			raw, err := io.ReadAll(conn)
			is.True(strings.HasPrefix(string(raw), "HTTP/1.0 200 OK\r\n"))
			is.Equal(errors.Is(err, syscall.ECONNRESET), c.err != nil)
		})
	}
}
