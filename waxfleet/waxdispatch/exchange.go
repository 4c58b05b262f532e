package waxdispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxhead"
)

// firstEventTimeouts is the number of progress timeouts that a call waits for its
// first event on a new connection. There a long prompt is a more likely cause of the
// delay than a stalled connection.
const firstEventTimeouts = 3

// exchange is one HTTP request to a backend server and its response. A goroutine
// monitors the progress of the server until the context of the exchange ends.
type exchange struct {
	dispatcher *Dispatcher
	call       waxfleet.Call
	cancel     context.CancelFunc
	wait       waitState

	connected atomic.Bool
	reused    atomic.Bool
	conn      atomic.Pointer[net.Conn]
	gotHeader atomic.Bool
	gotEvent  atomic.Bool
	// abortFailure is the failure that the monitor detected; nil if there is none.
	abortFailure atomic.Pointer[failure]
}

// newExchange returns an exchange and its context.
func newExchange(ctx context.Context, d *Dispatcher, call waxfleet.Call) (context.Context, *exchange) {
	ctx, cancel := context.WithCancel(ctx)
	e := &exchange{dispatcher: d, call: call, cancel: cancel}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.connected.Store(true)
			e.reused.Store(info.Reused)
			e.conn.Store(&info.Conn)
		},
	})
	go e.monitorProgress(ctx)
	return ctx, e
}

// roundTrip sends the request and waits for the response header.
func (e *exchange) roundTrip(t *waxhead.Transport, req *http.Request) (*http.Response, error) {
	e.wait.begin(e.dispatcher.clock.Now())
	defer e.wait.end()
	resp, err := t.RoundTrip(req)
	if err == nil {
		e.gotHeader.Store(true)
	}
	return resp, err
}

// body returns the response body with its reads monitored.
func (e *exchange) body(resp *http.Response) io.Reader {
	return &monitoredReader{reader: resp.Body, exchange: e}
}

// closeConnection closes the connection of a response whose body is not read to
// its end. HTTP/1.1 runs one request at a time on a connection, so this affects
// no other request.
func (e *exchange) closeConnection() {
	e.cancel()
	if conn := e.conn.Load(); conn != nil {
		_ = (*conn).Close()
	}
}

// abort cancels the exchange and stores the failure, which classifyError returns
// instead of the resulting read error.
func (e *exchange) abort(kind failureKind) {
	e.abortFailure.CompareAndSwap(nil, &failure{kind: kind})
	e.cancel()
}

// classifyError returns the failure behind an error of the connection.
func (e *exchange) classifyError(err error) *failure {
	if f := e.abortFailure.Load(); f != nil {
		return &failure{kind: f.kind, cause: err}
	}
	if !e.connected.Load() {
		return &failure{kind: failNotConnected, cause: err}
	}
	return &failure{kind: failConnectionLost, cause: err}
}

// monitorProgress probes the server on a new connection each time that the
// exchange has received no byte for the progress timeout.
func (e *exchange) monitorProgress(ctx context.Context) {
	timeout := e.dispatcher.opts.ProgressTimeout
	timeouts := 0
	var lastSequence uint64
	sleep := timeout
	for e.dispatcher.clock.Sleep(ctx, sleep) == nil {
		sequence, since, ok := e.wait.current()
		if !ok {
			sleep = timeout
			continue
		}
		if sequence != lastSequence {
			timeouts, lastSequence = 0, sequence
		}
		due := since + waxfleet.Millis(timeouts+1)*timeout
		if now := e.dispatcher.clock.Now(); now < due {
			sleep = due - now
			continue
		}
		timeouts++
		sleep = timeout
		alive := e.dispatcher.probe(ctx, e.call.Server)
		if current, _, ok := e.wait.current(); !ok || current != sequence {
			continue
		}
		if !alive {
			e.abort(failDead)
			return
		}
		if e.isStalled(timeouts) {
			e.abort(failStalled)
			return
		}
	}
}

// isStalled reports whether the connection counts as stalled after a number of
// successive progress timeouts. The server has responded to a probe after each of
// them.
func (e *exchange) isStalled(timeouts int) bool {
	if !e.call.Stream {
		return e.gotHeader.Load() || waxfleet.Millis(timeouts)*e.dispatcher.opts.ProgressTimeout >= e.responseTimeout()
	}
	if e.gotEvent.Load() || (e.reused.Load() && !e.gotHeader.Load()) {
		return true
	}
	return timeouts >= firstEventTimeouts
}

func (e *exchange) responseTimeout() waxfleet.Millis {
	if e.call.Service.Kind() == waxfleet.KindModelEngine {
		return e.dispatcher.opts.GenerationTimeout
	}
	return e.dispatcher.opts.ResponseTimeout
}

// waitState records whether an exchange is waiting for its server, and since
// when. Time spent on writes to a slow caller does not count.
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

// current returns the sequence number and the start of the current wait; ok is
// false while there is none.
func (w *waitState) current() (sequence uint64, since waxfleet.Millis, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence, w.since, w.waiting
}

// monitoredReader records the time of its reads as waits of the exchange.
type monitoredReader struct {
	reader   io.Reader
	exchange *exchange
}

func (m *monitoredReader) Read(p []byte) (int, error) {
	m.exchange.wait.begin(m.exchange.dispatcher.clock.Now())
	defer m.exchange.wait.end()
	return m.reader.Read(p)
}
