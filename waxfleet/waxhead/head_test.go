package waxhead_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet/waxhead"
)

// corpusResponse is a line of testdata/corpus.txt.
type corpusResponse struct {
	sound     bool
	name, raw string
}

// readCorpus reads testdata/corpus.txt, for a protocol without fields of its own.
func readCorpus(t testing.TB) []corpusResponse {
	t.Helper()
	is := is.New(t)
	raw, err := os.ReadFile("testdata/corpus.txt")
	is.NoErr(err)
	var out []corpusResponse
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		verdict, rest, _ := strings.Cut(line, " ")
		name, quoted, _ := strings.Cut(rest, " ")
		text, err := strconv.Unquote(quoted)
		is.NoErr(err)
		out = append(out, corpusResponse{sound: verdict == "sound", name: name, raw: strings.ReplaceAll(text, "FIELDS", "")})
	}
	is.True(len(out) > 50)
	return out
}

// serve runs a server that reads a request head, calls respond, and closes the connection.
func serve(t *testing.T, respond func(conn *net.TCPConn, req *http.Request)) (url string) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn.(*net.TCPConn), req)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestCorpus guards against taking a response with a malformed head or trailer, and against
// refusing a sound one, by a reader of a connection and by a client.
func TestCorpus(t *testing.T) {
	for _, c := range readCorpus(t) {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			resp, err := waxhead.ReadResponse(bufio.NewReader(strings.NewReader(c.raw)), http.MethodPost)
			if err == nil {
				var body []byte
				body, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				is.True(err != nil || string(body) == "ok")
			}
			is.Equal(err == nil, c.sound) // ReadResponse

			url := serve(t, func(conn *net.TCPConn, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, c.raw)
			})
			client := &http.Client{Transport: waxhead.NewTransport(&http.Transport{})}
			resp, err = client.Post(url, "text/plain", strings.NewReader("x"))
			if err == nil {
				var body []byte
				body, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				is.True(err != nil || string(body) == "ok")
			}
			is.Equal(err == nil, c.sound) // Transport
		})
	}
}

// TestRefusedResponseLeavesNoConnection guards against a connection whose response was refused
// and that carries the next request: what follows on it is not the response to that one.
func TestRefusedResponseLeavesNoConnection(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	requests := 0
	url := serve(t, func(conn *net.TCPConn, _ *http.Request) {
		mu.Lock()
		requests++
		first := requests == 1
		mu.Unlock()
		if first {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n")
			// The next request on this connection would get this.
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			}
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	client := &http.Client{Transport: waxhead.NewTransport(&http.Transport{})}
	_, err := client.Get(url) //nolint:bodyclose // There is no response.
	is.True(err != nil)
	resp, err := client.Get(url)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "ok")
}

// uploadRuns is the number of times that each script of testdata/uploads is played.
const uploadRuns = 20

// TestTransportDuringUpload runs the scripts in testdata/uploads through a client. It guards
// against a close-delimited response that was cut off by a reset and seems complete, because
// the write of the request got the error, and against losing whole responses.
func TestTransportDuringUpload(t *testing.T) {
	datadriven.RunTest(t, "testdata/uploads", func(t *testing.T, d *datadriven.TestData) string {
		steps := strings.Split(d.Input, "\n")
		url := serve(t, func(conn *net.TCPConn, req *http.Request) { play(t, conn, req, steps) })
		body := make([]byte, 32<<20)
		outcomes := make([]string, uploadRuns)
		var wg sync.WaitGroup
		for i := range outcomes {
			wg.Go(func() { outcomes[i] = upload(t.Context(), url, body) })
		}
		wg.Wait()
		counts := map[string]int{}
		for _, o := range outcomes {
			counts[o]++
		}
		return fmt.Sprintln(counts)
	})
}

// play plays the steps of a script on a connection.
func play(t *testing.T, conn *net.TCPConn, req *http.Request, steps []string) {
	for _, step := range steps {
		verb, arg, _ := strings.Cut(step, " ")
		switch verb {
		case "send":
			text, err := strconv.Unquote(arg)
			if err != nil {
				t.Errorf("step %q: %v", step, err)
			}
			_, _ = io.WriteString(conn, text)
		case "wait":
			time.Sleep(60 * time.Millisecond)
		case "read":
			_, _ = io.Copy(io.Discard, req.Body)
		case "finish":
			_ = conn.CloseWrite()
		case "reset":
			_ = conn.SetLinger(0)
		default:
			t.Errorf("unknown step %q", step)
		}
	}
}

// upload sends a request with a body, and says what came of it.
func upload(ctx context.Context, url string, body []byte) string {
	transport := waxhead.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "broken off"
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken off"
	}
	return fmt.Sprintf("%d %q", resp.StatusCode, raw)
}

// token matches the name of a field.
var token = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

// FuzzResponses guards against heads that are accepted although one of their lines is no field,
// against statuses out of range, and against trailers with such lines.
func FuzzResponses(f *testing.F) {
	for _, c := range readCorpus(f) {
		f.Add(c.raw)
	}
	f.Fuzz(func(t *testing.T, text string) {
		resp, err := waxhead.ReadResponse(bufio.NewReader(strings.NewReader(text)), http.MethodPost)
		if err != nil {
			return
		}
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Fatalf("accepted status %d", resp.StatusCode)
		}
		_, bodyErr := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		for _, h := range []http.Header{resp.Header, resp.Trailer} {
			for name := range h {
				if !token.MatchString(name) && (bodyErr == nil || len(resp.Trailer) == 0) {
					t.Fatalf("accepted a field named %q", name)
				}
			}
		}
		head, _, _ := strings.Cut(strings.ReplaceAll(text, "\r\n", "\n"), "\n\n")
		for line := range strings.Lines(head) {
			name, _, colon := strings.Cut(strings.TrimSuffix(line, "\n"), ":")
			folded := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t")
			if !strings.HasPrefix(strings.ToUpper(line), "HTTP/") && !folded && line != "\n" && (!colon || !token.MatchString(name)) {
				t.Fatalf("accepted a head with the line %q", line)
			}
		}
	})
}
