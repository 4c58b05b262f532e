package waxdispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestStreamFaultsAreRepaired guards against lost, duplicate, reordered or foreign
// events in the caller's stream after a fault of the backend server's stream.
func TestStreamFaultsAreRepaired(t *testing.T) {
	stream := func(e *engineCall) { e.setHeaders(e.id, "text/event-stream") }
	cases := map[string]struct {
		first   func(e *engineCall)
		calls   int
		resumed bool
	}{
		"complete":           {func(e *engineCall) { e.sendRest() }, 1, false},
		"cut between events": {func(e *engineCall) { stream(e); e.events(0, 1); e.closeConnection() }, 2, true},
		"cut inside an event": {func(e *engineCall) {
			stream(e)
			e.events(0)
			_, _ = io.WriteString(e.writer, "id: 1\nda")
			e.closeConnection()
		}, 2, true},
		"end inside an event": {func(e *engineCall) { stream(e); e.events(0); _, _ = io.WriteString(e.writer, "id: 1\ndata: {}\n") }, 2, true},
		"end without marker":  {func(e *engineCall) { stream(e); e.events(0, 1, 2, 3) }, 2, true},
		"repeated events":     {func(e *engineCall) { stream(e); e.events(0, 0, 1); e.firstEvent = 1; e.sendRest() }, 1, false},
		"gap":                 {func(e *engineCall) { stream(e); e.events(0, 2, 3) }, 2, true},
		"disorder":            {func(e *engineCall) { stream(e); e.events(1, 0) }, 2, false},
		"gap before the marker": {func(e *engineCall) {
			stream(e)
			e.events(0, 1)
			_, _ = io.WriteString(e.writer, "id: 4\ndata: [DONE]\n\n")
		}, 2, true},
		"event without id": {func(e *engineCall) {
			stream(e)
			e.events(0)
			_, _ = fmt.Fprintf(e.writer, "data: {\"id\":\"chatcmpl-%s\"}\n\n", e.id)
		}, 2, true},
		"event of another stream": {func(e *engineCall) { stream(e); e.events(0); e.event(1, "OTHER", "{}") }, 2, true},
		"event that is not JSON":  {func(e *engineCall) { stream(e); e.events(0); _, _ = io.WriteString(e.writer, "id: 1\ndata: {\n\n") }, 2, true},
		"first event is foreign":  {func(e *engineCall) { stream(e); e.event(0, "OTHER", "{}") }, 2, false},
		"header of another call":  {func(e *engineCall) { e.setHeaders("OTHER", "text/event-stream"); e.events(0, 1) }, 2, false},
		"header without id":       {func(e *engineCall) { e.writer.Header().Set("Content-Type", "text/event-stream"); e.events(0) }, 2, false},
		"cut before the header":   {func(e *engineCall) { e.closeConnection() }, 2, false},
		"cut before the event":    {func(e *engineCall) { stream(e); _ = http.NewResponseController(e.writer).Flush(); e.closeConnection() }, 2, false},
		"oversized event":         {func(e *engineCall) { stream(e); e.events(0); e.event(1, e.id, strings.Repeat("x", maxEventBytes)) }, 2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend(t, func(n int, e *engineCall) {
				if n == 1 {
					c.first(e)
					return
				}
				e.sendRest()
			})
			s := &recordingSink{}
			result, err := newDispatcher(waxfleet.NewClock(), Options{}).Do(t.Context(), streamCall(b.server()), s)
			is.NoErr(err)
			is.Equal(s.String(), wantStream(0))
			is.Equal(s.heads, 1)
			is.True(result.TimeToFirstByte >= 0)
			result.TimeToFirstByte = 0
			is.Equal(result, waxfleet.CallResult{Complete: true, Events: streamEvents, Sent: true})
			is.Equal(b.callCount(), c.calls)
			if c.calls == 2 {
				is.Equal(b.calls[1].firstEvent > 0, c.resumed)
				is.Equal(b.calls[0].id == b.calls[1].id, c.resumed) // each attempt has its own id
			}
		})
	}
}

// TestResumesAreBounded guards against endless resumes and against a truncated
// stream that is reported as complete.
func TestResumesAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, e *engineCall) {
		e.setHeaders(e.id, "text/event-stream")
		if e.firstEvent == 0 {
			e.events(0, 1)
		}
		e.closeConnection()
	})
	s := &recordingSink{}
	result, err := newDispatcher(waxfleet.NewClock(), Options{MaxResumes: 3}).Do(t.Context(), streamCall(b.server()), s)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeStreamIncomplete)
	is.True(!result.Complete && !result.ServerDied)
	is.Equal(result.Events, int64(2))
	is.Equal(s.events, int64(2))
	is.Equal(b.callCount(), 4)
}

// TestContinuationContinuesEventIDs guards against a continuation that repeats the
// role or restarts the event ids.
func TestContinuationContinuesEventIDs(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(n int, e *engineCall) {
		e.setHeaders(e.id, "text/event-stream")
		if n == 1 {
			e.event(0, e.id, `{"role":"assistant","content":""}`)
			e.closeConnection()
		}
		for i := range streamEvents {
			e.event(i+1, e.id, fmt.Sprintf(`{"content":"t%d"}`, i))
		}
		_, _ = io.WriteString(e.writer, "data: [DONE]\n\n")
	})
	s := &recordingSink{}
	call := streamCall(b.server())
	call.ResumeFrom = 7
	result, err := newDispatcher(waxfleet.NewClock(), Options{}).Do(t.Context(), call, s)
	is.NoErr(err)
	is.Equal(s.String(), wantStream(7))
	is.Equal(result.Events, int64(7+streamEvents))
	is.Equal(b.calls[1].firstEvent, 1)
}

// TestServerDeathIsReported guards against a server death that is reported as a lost
// connection, even when the server restarts at once, and against the reverse.
func TestServerDeathIsReported(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(b *backend, e *engineCall)
		code waxfleet.Code
		died bool
	}{
		{"not restarted", func(b *backend, _ *engineCall) { _ = b.Listener.Close() }, waxfleet.CodeBackendDied, true},
		{"restarted", func(b *backend, _ *engineCall) { b.mu.Lock(); b.incarnation = "2"; b.mu.Unlock() }, waxfleet.CodeBackendDied, true},
		{"stream not found", func(*backend, *engineCall) {}, waxfleet.CodeStreamIncomplete, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var b *backend
			b = newBackend(t, func(n int, e *engineCall) {
				if n > 1 {
					e.setHeaders(e.id, "application/json")
					e.writer.WriteHeader(http.StatusNotFound)
					return
				}
				e.setHeaders(e.id, "text/event-stream")
				e.events(0)
				c.end(b, e)
				e.closeConnection()
			})
			d := newDispatcher(waxfleet.NewClock(), Options{})
			_, err := d.Load(t.Context(), b.server())
			is.NoErr(err)
			result, err := d.Do(t.Context(), streamCall(b.server()), &recordingSink{})
			is.Equal(waxfleet.CodeOf(err), c.code)
			is.Equal(result.ServerDied, c.died)
			is.Equal(result.Events, int64(1))
		})
	}
}

// advanceUntil advances the clock in small steps until stop returns true.
func advanceUntil(clock *waxfleet.Clock, stop func() bool) {
	for !stop() {
		clock.Advance(defaultProgressTimeout / 10)
		_ = waxfleet.NewClock().Sleep(context.Background(), 1)
	}
}

// TestStalledStreamIsProbed guards against streams that hang on a stalled connection or
// server, and against giving up a slow engine at its first progress timeout.
func TestStalledStreamIsProbed(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []int
		probes int
		calls  int
		code   waxfleet.Code
	}{
		{"stalled after two events", []int{0, 1}, 1, 2, waxfleet.CodeOK},
		{"stalled before the first event", nil, firstEventTimeouts, 2, waxfleet.CodeOK},
		{"slow first event", nil, firstEventTimeouts - 1, 1, waxfleet.CodeOK},
		{"dead server", []int{0}, 0, 1, waxfleet.CodeBackendDied},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resume := make(chan struct{})
			var b *backend
			b = newBackend(t, func(n int, e *engineCall) {
				if n == 1 {
					e.setHeaders(e.id, "text/event-stream")
					e.events(c.before...)
					if c.probes == 0 {
						_ = b.Listener.Close()
					}
					select {
					case <-resume:
					case <-e.request.Context().Done():
						return
					}
				}
				e.sendRest()
			})
			clock := waxfleet.NewManualClock(0)
			s := &recordingSink{}
			done := make(chan struct{})
			var result waxfleet.CallResult
			var err error
			go func() {
				defer close(done)
				result, err = newDispatcher(clock, Options{ProbeTimeout: 1_000_000}).Do(t.Context(), streamCall(b.server()), s)
			}()
			advanceUntil(clock, func() bool {
				return isClosed(done) || (c.probes > 0 && len(b.probed) >= c.probes)
			})
			if c.calls == 1 {
				close(resume)
			}
			<-done
			is.Equal(waxfleet.CodeOf(err), c.code)
			is.Equal(result.Complete, c.code == waxfleet.CodeOK)
			is.Equal(result.ServerDied, c.code != waxfleet.CodeOK)
			if result.Complete {
				is.Equal(s.String(), wantStream(0))
			}
			is.Equal(b.callCount(), c.calls)
			is.True(clock.Now() >= waxfleet.Millis(c.probes)*defaultProgressTimeout)
		})
	}
}

// TestByteDuringProbeKeepsConnection guards against dropping a connection that
// delivered a byte during the probe.
func TestByteDuringProbeKeepsConnection(t *testing.T) {
	is := is.New(t)
	probe, received := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(_ int, e *engineCall) {
		e.setHeaders(e.id, "text/event-stream")
		e.events(0)
		<-probe
		e.events(1)
		e.firstEvent = 2
		e.sendRest()
	})
	b.onProbe = func() { close(probe); <-received }
	clock := waxfleet.NewManualClock(0)
	s := &recordingSink{onBody: func(events int64) error {
		if events == 1 {
			go advanceUntil(clock, func() bool { return isClosed(probe) })
		}
		if events == 2 {
			close(received)
			<-b.probed
		}
		return nil
	}}
	result, err := newDispatcher(clock, Options{ProbeTimeout: 1_000_000}).Do(t.Context(), streamCall(b.server()), s)
	is.NoErr(err)
	is.True(result.Complete)
	is.Equal(b.callCount(), 1)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestSlowCallerIsNotAStall guards against counting the time of writes to a slow
// caller as a stall of the server.
func TestSlowCallerIsNotAStall(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, e *engineCall) { e.sendRest() })
	clock := waxfleet.NewManualClock(0)
	s := &recordingSink{onBody: func(int64) error {
		end := clock.Now() + 2*defaultProgressTimeout
		advanceUntil(clock, func() bool { return clock.Now() >= end })
		return nil
	}}
	result, err := newDispatcher(clock, Options{}).Do(t.Context(), streamCall(b.server()), s)
	is.NoErr(err)
	is.True(result.Complete)
	is.Equal(len(b.probed), 0)
}

// TestResponsesAreValidated guards against accepting engine responses that are truncated
// or belong to another request.
func TestResponsesAreValidated(t *testing.T) {
	truncated := func(e *engineCall) {
		e.writer.Header().Set("Content-Length", "1000")
		e.completion(e.id)
	}
	cases := map[string]struct {
		respond func(n int, e *engineCall)
		code    waxfleet.Code
		calls   int
	}{
		"complete":        {func(_ int, e *engineCall) { e.completion(e.id) }, waxfleet.CodeOK, 1},
		"wrong id once":   {func(n int, e *engineCall) { e.completion([]string{"OTHER", e.id}[n-1]) }, waxfleet.CodeOK, 2},
		"wrong id always": {func(_ int, e *engineCall) { e.completion("OTHER") }, waxfleet.CodeAnswerMismatch, defaultMaxAttempts},
		"wrong id in the body": {func(_ int, e *engineCall) {
			e.setHeaders(e.id, "application/json")
			_, _ = io.WriteString(e.writer, `{"id":"chatcmpl-O"}`)
		}, waxfleet.CodeAnswerMismatch, defaultMaxAttempts},
		"truncated": {func(_ int, e *engineCall) { truncated(e) }, waxfleet.CodeStreamIncomplete, defaultMaxAttempts},
		"too large": {func(_ int, e *engineCall) {
			e.setHeaders(e.id, "")
			_, _ = e.writer.Write(make([]byte, maxResponseBytes+1))
		}, waxfleet.CodeBackendError, 1},
		"server error": {func(_ int, e *engineCall) {
			e.setHeaders(e.id, "")
			e.writer.WriteHeader(http.StatusInternalServerError)
		}, waxfleet.CodeBackendError, 1},
		"foreign refusal": {func(_ int, e *engineCall) {
			e.setHeaders("OTHER", "")
			e.writer.WriteHeader(http.StatusServiceUnavailable)
		}, waxfleet.CodeAnswerMismatch, defaultMaxAttempts},
		"refusal": {func(_ int, e *engineCall) {
			e.setHeaders(e.id, "")
			e.writer.WriteHeader(http.StatusServiceUnavailable)
		}, waxfleet.CodeOverloaded, 1},
		"too many requests": {func(_ int, e *engineCall) { e.writer.WriteHeader(http.StatusTooManyRequests) }, waxfleet.CodeOverloaded, 1},
		"refusal after an execution": {func(n int, e *engineCall) {
			if n == 1 {
				e.closeConnection()
			}
			e.setHeaders(e.id, "")
			e.writer.WriteHeader(http.StatusServiceUnavailable)
		}, waxfleet.CodeOverloaded, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend(t, c.respond)
			call := streamCall(b.server())
			call.Stream = false
			s := &recordingSink{}
			result, err := newDispatcher(waxfleet.NewClock(), Options{}).Do(t.Context(), call, s)
			is.Equal(waxfleet.CodeOf(err), c.code)
			is.Equal(result.Complete, c.code == waxfleet.CodeOK)
			is.Equal(result.Rejected, c.code == waxfleet.CodeOverloaded)
			is.Equal(b.callCount(), c.calls)
			is.Equal(s.heads, boolCount(result.Complete))
			if result.Complete {
				is.Equal(s.String(), `{"id": "chatcmpl-R", "x": 1}`)
			}
			var e *waxfleet.Error
			if errors.As(err, &e) {
				is.Equal(e.NotRun(), result.Rejected && c.calls == 1)
			}
		})
	}
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestAtMostOnceCallIsNotRetried guards against a second execution of an at-most-once
// call.
func TestAtMostOnceCallIsNotRetried(t *testing.T) {
	cases := map[string]func(e *engineCall){
		"cut":      func(e *engineCall) { e.closeConnection() },
		"wrong id": func(e *engineCall) { e.setHeaders("OTHER", "text/plain") },
		"truncated": func(e *engineCall) {
			e.writer.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(e.writer, "x")
		},
		"no end": func(e *engineCall) {
			conn, _, err := http.NewResponseController(e.writer).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbooked")
				_ = conn.Close()
			}
		},
	}
	for name, respond := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			t.Run(name+" "+method, func(t *testing.T) {
				is := is.New(t)
				b := newBackend(t, func(_ int, e *engineCall) { respond(e) })
				s := &recordingSink{}
				call := plainCall(b.server(), method, true)
				if method == http.MethodPost {
					call.Body = []byte("deposit")
				}
				result, err := newDispatcher(waxfleet.NewClock(), Options{}).Do(t.Context(), call, s)
				is.Equal(waxfleet.CodeOf(err), waxfleet.CodeOutcomeUnknown)
				is.True(result.Sent && !result.Complete)
				is.Equal(s.heads, 0)
				is.Equal(b.callCount(), 1)
			})
		}
	}
}

// TestAtMostOnceCallIsNotResentByTransport guards against net/http resending an
// at-most-once call when the pooled connection turns out to be closed. The test first
// shows that the default transport does so.
func TestAtMostOnceCallIsNotResentByTransport(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, e *engineCall) {
		if e.connIndex > 1 {
			e.closeConnection() // the call was executed and its response is lost
		}
	})
	transport := &http.Transport{}
	for range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, b.URL, nil)
		is.NoErr(err)
		resp, err := transport.RoundTrip(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	is.Equal(b.callCount(), 3) // two calls, three executions
	d := newDispatcher(waxfleet.NewClock(), Options{})
	_, err := d.Do(t.Context(), plainCall(b.server(), http.MethodGet, false), &recordingSink{})
	is.NoErr(err)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		before := b.callCount()
		result, err := d.Do(t.Context(), plainCall(b.server(), method, true), &recordingSink{})
		is.NoErr(err)
		is.True(result.Complete)
		is.Equal(b.callCount(), before+1)
	}
}

// TestLateResponseWithoutIDIsNotForwarded guards against delivering a late response of a plain
// service, which need not name the attempt, to the next call on a pooled connection. A
// service that names the attempts keeps its connections.
func TestLateResponseWithoutIDIsNotForwarded(t *testing.T) {
	for _, names := range []bool{false, true} {
		t.Run(fmt.Sprintf("names attempts %v", names), func(t *testing.T) {
			is := is.New(t)
			previous, reused := "", 0
			b := newBackend(t, func(n int, e *engineCall) {
				answer := fmt.Sprint("answer ", n)
				if names {
					e.setHeaders(e.id, "text/plain")
				}
				if e.connIndex > 1 {
					reused++
				}
				if e.connIndex > 1 && !names {
					answer, previous = previous, answer
				} else {
					previous = answer
				}
				e.writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
				_, _ = io.WriteString(e.writer, answer)
			})
			d := newDispatcher(waxfleet.NewClock(), Options{})
			for n := range 5 {
				s := &recordingSink{}
				_, err := d.Do(t.Context(), plainCall(b.server(), http.MethodGet, false), s)
				is.NoErr(err)
				is.Equal(s.String(), fmt.Sprint("answer ", n+1))
			}
			is.Equal(reused > 0, names)
		})
	}
}

// TestLateResponseIsNotForwarded guards against delivering a late response on a pooled
// connection to the next call.
func TestLateResponseIsNotForwarded(t *testing.T) {
	is := is.New(t)
	previous := ""
	b := newBackend(t, func(_ int, e *engineCall) {
		late := previous
		previous = e.id
		if e.connIndex > 1 {
			e.id = late
		}
		e.sendRest()
	})
	d := newDispatcher(waxfleet.NewClock(), Options{})
	for range 3 {
		s := &recordingSink{}
		_, err := d.Do(t.Context(), streamCall(b.server()), s)
		is.NoErr(err)
		is.Equal(s.String(), wantStream(0))
	}
	is.True(b.callCount() > 3) // some responses were late
}

// TestNonStreamingCallUsesNewConnection guards against a call without streaming that
// waits for the generation timeout because its pooled connection is stalled or
// delivers a late response.
func TestNonStreamingCallUsesNewConnection(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, e *engineCall) {
		if e.connIndex > 1 {
			e.completion("late")
			return
		}
		e.completion(e.id)
	})
	d := newDispatcher(waxfleet.NewClock(), Options{})
	call := streamCall(b.server())
	call.Stream = false
	for range 3 {
		s := &recordingSink{}
		_, err := d.Do(t.Context(), call, s)
		is.NoErr(err)
		is.Equal(s.String(), `{"id": "chatcmpl-R", "x": 1}`)
	}
	is.Equal(b.callCount(), 3) // each on its own connection
}

// TestRefusedConnectionIsReportedAsNotRun guards against reporting a refused connection
// as a possible execution.
func TestRefusedConnectionIsReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, nil)
	b.Close()
	result, err := newDispatcher(waxfleet.NewClock(), Options{}).Do(t.Context(), plainCall(b.server(), http.MethodPost, true), &recordingSink{})
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeNoBackendServer)
	is.Equal(result, waxfleet.CallResult{TimeToFirstByte: -1})
	var e *waxfleet.Error
	is.True(errors.As(err, &e) && e.NotRun())
}

// TestCancellationEndsOneCall guards against work that continues after the caller
// disconnected, against reuse of its connection, and against closing connections of
// other calls.
func TestCancellationEndsOneCall(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan string, 2)
	release := make(chan struct{})
	b := newBackend(t, func(_ int, e *engineCall) {
		if e.request.URL.RawQuery == "leave" {
			e.setHeaders(e.id, "text/event-stream")
			e.events(0)
			e.waitForCancel()
			disconnected <- e.request.RemoteAddr
			return
		}
		if e.request.URL.RawQuery == "stay" {
			<-release
		}
		e.sendRest()
	})
	d := newDispatcher(waxfleet.NewClock(), Options{})
	call := streamCall(b.server())
	stayed := make(chan error, 1)
	go func() {
		stay := call
		stay.Path += "?stay"
		_, err := d.Do(t.Context(), stay, &recordingSink{})
		stayed <- err
	}()
	leave := call
	leave.Path += "?leave"
	result, err := d.Do(t.Context(), leave, &recordingSink{onBody: func(int64) error { return io.ErrClosedPipe }})
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeCancelled)
	is.True(errors.Is(err, io.ErrClosedPipe))
	is.Equal(result.Events, int64(0))
	first := <-disconnected
	ctx, cancel := context.WithCancel(t.Context())
	result, err = d.Do(ctx, leave, &recordingSink{onBody: func(int64) error { cancel(); return nil }})
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeCancelled)
	is.Equal(result.Events, int64(1))
	second := <-disconnected
	_, err = d.Do(t.Context(), call, &recordingSink{})
	is.NoErr(err)
	close(release)
	is.NoErr(<-stayed)
	last := b.calls[len(b.calls)-1].request.RemoteAddr
	is.True(last != first && last != second)
}

// TestLoadReportUsesOwnConnection guards against load reports on the connections of calls, where
// their bytes are not counted as control traffic, and against reports that fail
// because their pooled connection was closed.
func TestLoadReportUsesOwnConnection(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, nil)
	var dials atomic.Int64
	opts := Options{
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed },
		ReportDial: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	}
	d := newDispatcher(waxfleet.NewClock(), opts)
	for range 2 {
		report, err := d.Load(t.Context(), b.server())
		is.NoErr(err)
		is.Equal(report, waxfleet.NewLoadReport(3, true, false, "1"))
	}
	is.Equal(dials.Load(), int64(1))
	b.CloseClientConnections()
	_, err := d.Load(t.Context(), b.server())
	is.NoErr(err)
	b.Close()
	_, err = d.Load(t.Context(), b.server())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeNoBackendServer)
}
