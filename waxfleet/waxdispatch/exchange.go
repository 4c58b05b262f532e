package waxdispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"waxwingdrift.org/waxfleet"
)

// firstByteSilences is the number of progress time-outs that a call waits for
// its first event on a connection that has just been opened. There, silence is
// more likely a long prompt than a dead connection.
const firstByteSilences = 3

// exchange is one HTTP request at a backend server. A goroutine watches that the
// server makes progress, until the context of the exchange ends.
type exchange struct {
	d       *Dispatcher
	call    waxfleet.Call
	cancel  context.CancelFunc
	waiting waitState

	connected atomic.Bool
	reused    atomic.Bool
	conn      atomic.Pointer[callConn]
	headers   atomic.Bool
	events    atomic.Bool
	verdict   atomic.Pointer[failure]
}

// newExchange returns an exchange and its context.
func newExchange(ctx context.Context, d *Dispatcher, call waxfleet.Call) (context.Context, *exchange) {
	ctx, cancel := context.WithCancel(ctx)
	e := &exchange{d: d, call: call, cancel: cancel}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.connected.Store(true)
			e.reused.Store(info.Reused)
			if conn, ok := info.Conn.(*callConn); ok {
				e.conn.Store(conn)
			}
		},
	})
	go e.watch(ctx)
	return ctx, e
}

// roundTrip sends the request and waits for the header of the answer.
func (e *exchange) roundTrip(t *http.Transport, req *http.Request) (*http.Response, error) {
	e.waiting.begin(e.d.clock.Now())
	defer e.waiting.end()
	resp, err := t.RoundTrip(req)
	if err == nil {
		e.headers.Store(true)
	}
	return resp, err
}

// body returns the body of the answer, with its reads watched.
func (e *exchange) body(resp *http.Response) io.Reader {
	return &watchedReader{r: resp.Body, e: e}
}

// closeConnection closes the connection of an answer whose body is not read to
// its end. HTTP/1.1 has one request at a time on a connection, so no other
// request uses it.
func (e *exchange) closeConnection() {
	e.cancel()
	if conn := e.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// fail ends the exchange with a verdict, which explains its read errors.
func (e *exchange) fail(kind failureKind) {
	e.verdict.CompareAndSwap(nil, &failure{kind: kind})
	e.cancel()
}

// failed explains an error of the connection.
func (e *exchange) failed(err error) *failure {
	if f := e.verdict.Load(); f != nil {
		return &failure{kind: f.kind, cause: err}
	}
	if !e.connected.Load() {
		return &failure{kind: failNotConnected, cause: err}
	}
	return &failure{kind: failCut, cause: err}
}

// watch probes the server on a fresh connection whenever the exchange has waited
// for a byte for the progress time-out.
func (e *exchange) watch(ctx context.Context) {
	timeout := e.d.opts.ProgressTimeout
	silences := 0
	var last uint64
	sleep := timeout
	for e.d.clock.Sleep(ctx, sleep) == nil {
		sequence, since, ok := e.waiting.get()
		if !ok {
			sleep = timeout
			continue
		}
		if sequence != last {
			silences, last = 0, sequence
		}
		due := since + waxfleet.Millis(silences+1)*timeout
		if now := e.d.clock.Now(); now < due {
			sleep = due - now
			continue
		}
		silences++
		sleep = timeout
		alive := e.d.probe(ctx, e.call.Server)
		if now, _, ok := e.waiting.get(); !ok || now != sequence {
			continue
		}
		if !alive {
			e.fail(failDead)
			return
		}
		if e.connectionDead(silences) {
			e.fail(failSilent)
			return
		}
	}
}

// connectionDead decides whether the connection is dead after a number of
// progress time-outs in a row, all with an answered probe.
func (e *exchange) connectionDead(silences int) bool {
	if !e.call.Stream {
		return e.headers.Load() || waxfleet.Millis(silences)*e.d.opts.ProgressTimeout >= e.answerTimeout()
	}
	if e.events.Load() || (e.reused.Load() && !e.headers.Load()) {
		return true
	}
	return silences >= firstByteSilences
}

func (e *exchange) answerTimeout() waxfleet.Millis {
	if e.call.Service.Kind() == waxfleet.KindModelEngine {
		return e.d.opts.GenerationTimeout
	}
	return e.d.opts.AnswerTimeout
}

// waitState tells whether an exchange waits for its server, and since when. Time
// spent on a slow caller does not count.
type waitState struct {
	mu       sync.Mutex
	sequence uint64
	since    waxfleet.Millis
	waiting  bool
}

func (w *waitState) begin(now waxfleet.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	w.since = now
	w.waiting = true
}

func (w *waitState) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
}

// get returns the number of the current wait and its start.
func (w *waitState) get() (sequence uint64, since waxfleet.Millis, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence, w.since, w.waiting
}

type watchedReader struct {
	r io.Reader
	e *exchange
}

func (w *watchedReader) Read(p []byte) (int, error) {
	w.e.waiting.begin(w.e.d.clock.Now())
	defer w.e.waiting.end()
	return w.r.Read(p)
}
