package waxdispatch

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"waxwingdrift.org/waxfleet"
)

const streamEvents = 4

// backend is a fake backend server whose handler scripts the responses.
type backend struct {
	*httptest.Server
	handle  func(n int, e *engineCall)
	onProbe func()

	mu          sync.Mutex
	calls       []*engineCall
	connCalls   map[string]int
	probed      chan struct{}
	incarnation string
}

// engineCall is one call that the backend received.
type engineCall struct {
	writer     http.ResponseWriter
	request    *http.Request
	id         string
	firstEvent int // id of the first event to send
	connIndex  int // 1-based index of the call on its connection
}

func newBackend(t *testing.T, handle func(n int, e *engineCall)) *backend {
	b := &backend{handle: handle, connCalls: make(map[string]int), probed: make(chan struct{}, 100), incarnation: "1"}
	b.Server = httptest.NewServer(b)
	t.Cleanup(func() {
		b.CloseClientConnections()
		b.Close()
	})
	return b
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		if b.onProbe != nil {
			b.onProbe()
		}
		b.probed <- struct{}{}
	case "/load":
		b.mu.Lock()
		defer b.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"in-flight":3,"cold":true,"leaving":false,"incarnation":%q}`, b.incarnation)
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		n, e := b.recordCall(w, r)
		b.handle(n, e)
	}
}

func (b *backend) recordCall(w http.ResponseWriter, r *http.Request) (n int, e *engineCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connCalls[r.RemoteAddr]++
	e = &engineCall{writer: w, request: r, id: r.Header.Get("X-Request-Id"), connIndex: b.connCalls[r.RemoteAddr]}
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-ID")); err == nil {
		e.firstEvent = last + 1
	}
	b.calls = append(b.calls, e)
	return len(b.calls), e
}

func (b *backend) callCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.calls)
}

func (b *backend) server() waxfleet.BackendServer {
	return waxfleet.NewBackendServer("b1", "geiriau", "wrecsam", b.Listener.Addr().String(), waxfleet.StateLive)
}

func (e *engineCall) setHeaders(id, contentType string) {
	e.writer.Header().Set("X-Request-Id", id)
	e.writer.Header().Set("Content-Type", contentType)
}

// event sends one chunk.
func (e *engineCall) event(n int, id, delta string) {
	_, _ = fmt.Fprintf(e.writer,
		"id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"choices\":[{\"delta\":%s}]}\n\n", n, id, delta)
	_ = http.NewResponseController(e.writer).Flush()
}

func (e *engineCall) events(numbers ...int) {
	for _, n := range numbers {
		e.event(n, e.id, fmt.Sprintf(`{"content":"t%d"}`, n))
	}
}

// sendRest sends the stream from the event that the call resumes at to its end.
func (e *engineCall) sendRest() {
	e.setHeaders(e.id, "text/event-stream")
	for n := e.firstEvent; n < streamEvents; n++ {
		e.events(n)
	}
	_, _ = io.WriteString(e.writer, "data: [DONE]\n\n")
}

// waitForCancel sends nothing until the caller cancels.
func (e *engineCall) waitForCancel() { <-e.request.Context().Done() }

// closeConnection closes the connection in the middle of the response.
func (e *engineCall) closeConnection() { panic(http.ErrAbortHandler) }

func (e *engineCall) completion(id string) {
	e.setHeaders(id, "application/json")
	_, _ = fmt.Fprintf(e.writer, `{"id": "chatcmpl-%s", "x": 1}`, id)
}

// recordingSink records a response.
type recordingSink struct {
	strings.Builder
	status int
	heads  int
	events int64
	onBody func(events int64) error
}

func (s *recordingSink) Head(status int, _ string) error {
	s.status = status
	s.heads++
	return nil
}

func (s *recordingSink) Body(part []byte, events int64) error {
	_, _ = s.Write(part)
	s.events = events
	if s.onBody != nil {
		return s.onBody(events)
	}
	return nil
}

// wantStream returns the complete stream that the caller should receive.
func wantStream(from int) string {
	var b strings.Builder
	for n := range streamEvents {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: {\"id\":\"chatcmpl-R\",\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", from+n, n)
	}
	return b.String() + "data: [DONE]\n\n"
}

func newDispatcher(clock *waxfleet.Clock, opts Options) *Dispatcher {
	return New(clock, opts, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func streamCall(b waxfleet.BackendServer) waxfleet.Call {
	service := waxfleet.NewService("geiriau", waxfleet.KindModelEngine, nil, nil, false)
	return waxfleet.Call{
		RequestID:   "R",
		Service:     service,
		Server:      b,
		Method:      http.MethodPost,
		Path:        "/v1/chat/completions",
		ContentType: "application/json",
		Body:        []byte(`{}`),
		Stream:      true,
	}
}

func plainCall(b waxfleet.BackendServer, method string, once bool) waxfleet.Call {
	service := waxfleet.NewService("workshop-desk", waxfleet.KindPlainService, nil, []string{"/deposits"}, false)
	return waxfleet.Call{
		RequestID:  "R",
		Service:    service,
		Server:     b,
		Method:     method,
		Path:       "/deposits",
		AtMostOnce: once,
	}
}
