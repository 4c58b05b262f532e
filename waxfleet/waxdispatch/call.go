package waxdispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/propagation"

	"waxwingdrift.org/waxfleet"
)

const (
	headerRequestID   = "X-Request-Id"
	headerLastEventID = "Last-Event-ID"
	completionPrefix  = "chatcmpl-"
	userAgent         = "waxwingdrift"

	retryInitialInterval = 20 * time.Millisecond
	retryMaxInterval     = time.Second
)

// callState is the state of one call of Do over all its exchanges.
type callState struct {
	d            *Dispatcher
	call         waxfleet.Call
	sink         waxfleet.CallSink
	pool         *serverPool
	retryBackoff *backoff.ExponentialBackOff

	attempt     string
	attempts    int
	started     waxfleet.Millis
	incarnation string
	// nextEventID is the id that the engine gives the next event of this attempt.
	nextEventID   int64
	resumes       int
	headerWritten bool
	result        waxfleet.CallResult
}

func newCallState(d *Dispatcher, call waxfleet.Call, sink waxfleet.CallSink) *callState {
	// Only model engines stream: event ids and the end marker are part of their
	// protocol.
	call.Stream = call.Stream && call.Service.Kind() == waxfleet.KindModelEngine
	intervals := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(retryInitialInterval),
		backoff.WithMaxInterval(retryMaxInterval),
		backoff.WithMaxElapsedTime(0),
	)
	r := &callState{d: d, call: call, sink: sink, pool: d.pools.get(call.Server), retryBackoff: intervals}
	r.result = waxfleet.CallResult{Events: call.ResumeFrom, FirstByte: -1}
	return r
}

// run runs exchanges until the response is complete or no retry is allowed.
func (r *callState) run(ctx context.Context) error {
	r.startAttempt()
	for {
		f := r.exchange(ctx)
		if f == nil {
			return nil
		}
		r.d.log.Info("exchange with backend server failed", "request-id", r.call.RequestID, "attempt", r.attempt,
			"backend-server", r.call.Server.ID(), "next-event", r.nextEventID, "error", f.Error())
		if err := r.handleFailure(ctx, f); err != nil {
			return err
		}
		if err := r.backOff(ctx); err != nil {
			return r.cancelledError(err)
		}
	}
}

func (r *callState) startAttempt() {
	r.attempt = ulid.Make().String()
	r.attempts++
	r.nextEventID = 0
	r.started = r.d.clock.Now()
	r.incarnation = r.pool.lastIncarnation()
}

func (r *callState) isModelEngine() bool { return r.call.Service.Kind() == waxfleet.KindModelEngine }

// resuming reports whether the next exchange resumes the attempt's stream.
func (r *callState) resuming() bool { return r.nextEventID > 0 }

// exchange sends one HTTP request and reads its response.
func (r *callState) exchange(ctx context.Context) *failure {
	ctx, e := newExchange(ctx, r.d, r.call)
	e.gotEvent.Store(r.resuming())
	defer e.cancel()
	req, err := r.newRequest(ctx)
	if err != nil {
		return &failure{kind: failInvalidRequest, cause: err}
	}
	resp, err := e.roundTrip(r.transport(), req)
	r.result.Sent = r.result.Sent || e.connected.Load()
	if err != nil {
		return e.classifyError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if f := r.checkHeader(e, resp); f != nil {
		r.discardResponse(e, resp)
		return f
	}
	if r.call.Stream && resp.StatusCode == http.StatusOK {
		f := r.readStream(e, resp)
		if f != nil {
			e.closeConnection()
		}
		return f
	}
	f := r.readResponse(e, resp)
	if f != nil {
		e.cancel()
	}
	return f
}

// transport selects the transport of the next exchange. At-most-once calls,
// resumes and retries get a new connection: a pooled one may be closed, stalled
// or deliver a late response. So do engine responses that are not streamed,
// where a stalled connection can't be distinguished from a long generation and
// would block the call for the generation timeout of 300 s.
func (r *callState) transport() *http.Transport {
	wholeResponse := r.isModelEngine() && !r.call.Stream
	if r.call.AtMostOnce || wholeResponse || r.resuming() || r.attempts > 1 {
		return r.d.unpooledTransport
	}
	return r.pool.transport
}

// newRequest builds the HTTP request of the next exchange.
//
// net/http resends a request by itself when a pooled connection turns out to be
// closed, if the method is idempotent, the request has an Idempotency-Key header,
// or nothing was written and the body can be read again. That would send an
// at-most-once call twice. It can't happen here: at-most-once calls use a new
// connection, where net/http never retries, the body has no GetBody, and no such
// header is sent. RoundTrip, unlike http.Client, follows no redirects.
func (r *callState) newRequest(ctx context.Context) (*http.Request, error) {
	path := r.call.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	req, err := http.NewRequestWithContext(ctx, r.call.Method, "http://"+r.call.Server.Address()+path, nil)
	if err != nil {
		return nil, err
	}
	if len(r.call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.call.Body))
		req.ContentLength = int64(len(r.call.Body))
	}
	if r.call.ContentType != "" {
		req.Header.Set("Content-Type", r.call.ContentType)
	}
	req.Header.Set("User-Agent", userAgent)
	req.Header.Set(headerRequestID, r.attempt)
	if r.resuming() {
		req.Header.Set(headerLastEventID, strconv.FormatInt(r.nextEventID-1, 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// checkHeader validates the attempt id, the status and the content type of a
// response.
func (r *callState) checkHeader(e *exchange, resp *http.Response) *failure {
	id := resp.Header.Get(headerRequestID)
	if id != r.attempt && (id != "" || !r.mayOmitRequestID(e, resp)) {
		return &failure{kind: failMismatch, cause: errors.Newf("%s is %q, not %q", headerRequestID, id, r.attempt)}
	}
	if !r.isModelEngine() {
		return nil
	}
	status := resp.StatusCode
	switch {
	case r.resuming() && status == http.StatusNotFound:
		return &failure{kind: failStreamNotFound}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &failure{kind: failOverloaded, cause: errors.Newf("status %d", status)}
	case status >= http.StatusInternalServerError:
		return &failure{kind: failBadResponse, cause: errors.Newf("status %d", status)}
	case status != http.StatusOK && r.result.Events > 0:
		// The caller already has part of the stream, so an error body can't follow.
		return &failure{kind: failBadResponse, cause: errors.Newf("status %d after the first event", status)}
	case status == http.StatusOK && r.call.Stream && !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return &failure{kind: failBadResponse, cause: errors.Newf("content type is %q, not text/event-stream", resp.Header.Get("Content-Type"))}
	}
	return nil
}

// mayOmitRequestID reports whether a response without an attempt id is accepted.
// Plain services need not send it. An error response of an engine may omit it on
// a new connection, where no response to an earlier request can arrive.
func (r *callState) mayOmitRequestID(e *exchange, resp *http.Response) bool {
	return !r.isModelEngine() || (resp.StatusCode >= http.StatusBadRequest && !e.reused.Load())
}

// discardResponse drops a response and its connection.
func (r *callState) discardResponse(e *exchange, resp *http.Response) {
	if resp.Body == http.NoBody {
		// The connection is idle again and may already serve another request.
		r.pool.transport.CloseIdleConnections()
		return
	}
	e.closeConnection()
}

// handleFailure returns the error that ends the call after a failure, or nil
// when r is ready for another exchange.
func (r *callState) handleFailure(ctx context.Context, f *failure) error {
	if ctx.Err() != nil {
		return r.cancelledError(ctx.Err())
	}
	switch f.kind {
	case failCallerWrite:
		return r.cancelledError(f.cause)
	case failInvalidRequest, failBadResponse:
		return r.failedError(f)
	case failOverloaded:
		if !r.resuming() {
			r.result.Rejected = true
			return r.notRunError(f, waxfleet.CodeOverloaded)
		}
	case failDead:
		r.result.ServerDied = true
	case failNotConnected, failConnectionLost, failStreamNotFound:
		if !r.result.Sent {
			return r.notRunError(f, waxfleet.CodeNoBackendServer)
		}
		r.result.ServerDied = r.serverDied(ctx, f)
	case failStalled:
		r.pool.transport.CloseIdleConnections()
	}
	if r.result.ServerDied || f.kind == failStreamNotFound || !r.prepareRetry() {
		return r.failedError(f)
	}
	return nil
}

// serverDied reports whether the server process has ended, as opposed to a lost
// connection.
func (r *callState) serverDied(ctx context.Context, f *failure) bool {
	if f.kind != failStreamNotFound && !r.d.probe(ctx, r.call.Server) {
		return ctx.Err() == nil
	}
	if r.incarnation == "" {
		return false
	}
	report, err := r.d.fetchLoad(ctx, r.d.unpooledReportTransport, r.call.Server)
	return err == nil && report.Incarnation() != r.incarnation
}

// prepareRetry prepares a resume of the stream or, before its first event, a
// retry. It reports false when neither is allowed.
func (r *callState) prepareRetry() bool {
	if r.call.AtMostOnce {
		return false
	}
	if r.resuming() {
		r.resumes++
		return r.resumes <= r.d.opts.MaxResumes
	}
	if r.attempts >= r.d.opts.MaxAttempts {
		return false
	}
	r.startAttempt()
	return true
}

// backOff backs off before the third and each later exchange.
func (r *callState) backOff(ctx context.Context) error {
	if r.resumes+r.attempts <= 2 {
		return ctx.Err()
	}
	return r.d.clock.Sleep(ctx, waxfleet.MillisOf(r.retryBackoff.NextBackOff()))
}

// notRunError returns the error of an attempt that the server did not run. It is
// marked as not run only if no earlier attempt of the request may have run.
func (r *callState) notRunError(f *failure, code waxfleet.Code) error {
	err := waxfleet.WrapError(f, code, "%s (backend server %s)", failureMessages[f.kind], r.call.Server.ID())
	if r.attempts > 1 || r.call.ResumeFrom > 0 {
		return err.WithoutNotRun()
	}
	return err
}

// failedError returns the error of a call that got no complete response.
func (r *callState) failedError(f *failure) error {
	code := failureCodes[f.kind]
	if r.result.ServerDied {
		code = waxfleet.CodeBackendDied
	}
	if r.call.AtMostOnce && r.result.Sent {
		code = waxfleet.CodeOutcomeUnknown
	}
	return r.wrapError(f, code, failureMessages[f.kind])
}

func (r *callState) cancelledError(cause error) error {
	code := waxfleet.CodeCancelled
	if r.call.AtMostOnce && r.result.Sent && !r.result.Complete {
		code = waxfleet.CodeOutcomeUnknown
	}
	return r.wrapError(cause, code, "the call was cancelled")
}

func (r *callState) wrapError(cause error, code waxfleet.Code, message string) error {
	err := waxfleet.WrapError(cause, code, "%s (backend server %s)", message, r.call.Server.ID())
	if r.result.Sent {
		return err.WithoutNotRun()
	}
	return err
}
