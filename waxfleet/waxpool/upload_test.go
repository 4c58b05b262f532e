package waxpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// uploadRuns is the number of times that each script of testdata/uploads is played.
const uploadRuns = 20

// TestResponseDuringUpload runs the scripts in testdata/uploads: a server answers while a long
// request is still being written. It guards against a response without length and chunks that
// was cut off by a reset and is taken as complete, because the kernel reports the reset to the
// writer alone, and against losing whole responses.
func TestResponseDuringUpload(t *testing.T) {
	datadriven.RunTest(t, "testdata/uploads", func(t *testing.T, d *datadriven.TestData) string {
		size, delayMS := 32<<20, 0
		d.MaybeScanArgs(t, "bytes", &size)
		d.MaybeScanArgs(t, "delay-ms", &delayMS)
		s := newUploadServer(t, strings.Split(d.Input, "\n"))
		body := make([]byte, size)
		outcomes := make([]string, uploadRuns)
		var wg sync.WaitGroup
		for i := range outcomes {
			wg.Go(func() { outcomes[i] = s.upload(t.Context(), body, time.Duration(delayMS)*time.Millisecond) })
		}
		wg.Wait()
		counts := map[string]int{}
		for _, o := range outcomes {
			counts[o]++
		}
		return fmt.Sprintln(counts)
	})
}

// uploadServer plays steps on each connection, and answers probes.
type uploadServer struct {
	t     *testing.T
	l     net.Listener
	steps []string
}

func newUploadServer(t *testing.T, steps []string) *uploadServer {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	s := &uploadServer{t: t, l: l, steps: steps}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { s.serve(conn.(*net.TCPConn)) }()
		}
	}()
	return s
}

// serve plays the steps on a connection, or answers a probe.
func (s *uploadServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	if req.Method == http.MethodGet {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return
	}
	for _, step := range s.steps {
		verb, arg, _ := strings.Cut(step, " ")
		switch verb {
		case "send":
			text, err := strconv.Unquote(arg)
			if err != nil {
				s.t.Errorf("step %q: %v", step, err)
			}
			_, _ = io.WriteString(conn, text)
		case "wait":
			d, err := time.ParseDuration(arg)
			if err != nil {
				s.t.Errorf("step %q: %v", step, err)
			}
			time.Sleep(d)
		case "read":
			_, _ = io.Copy(io.Discard, req.Body)
		case "finish":
			_ = conn.CloseWrite()
		case "reset":
			_ = conn.SetLinger(0)
			return
		default:
			s.t.Errorf("unknown step %q", step)
		}
	}
}

// upload sends a request as the forwarder does, and says what came of it. The body of the
// response is read after a delay.
func (s *uploadServer) upload(ctx context.Context, body []byte, delay time.Duration) string {
	pool := New(waxfleet.NewClock(), plainProtocol{}, NewBudget(100), s.l.Addr().String(), 10)
	defer pool.Close()
	c, err := pool.Get(ctx)
	if err != nil {
		return "no connection"
	}
	defer c.Discard()
	r := request("1")
	r.Body = body
	resp, err := c.RoundTrip(r)
	if err != nil {
		return "broken off"
	}
	time.Sleep(delay)
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken off"
	}
	if _, err := resp.ConfirmEnd(ctx, Probe{Target: "/probe", Check: func(http.Header, []byte, bool) error { return nil }}); err != nil {
		return "not confirmed"
	}
	c.Release(resp)
	return fmt.Sprintf("%d %q", resp.Status, raw)
}
