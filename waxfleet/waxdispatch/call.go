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
	"waxwingdrift.org/waxfleet/waxhead"
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
	dispatcher   *Dispatcher
	call         waxfleet.Call
	sink         waxfleet.CallSink
	pool         *serverPool
	retryBackoff *backoff.ExponentialBackOff

	attemptID        string
	attemptCount     int
	attemptStartedAt waxfleet.Millis
	// incarnation is that of the server when the attempt started, or "".
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
	retryBackoff := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(retryInitialInterval),
		backoff.WithMaxInterval(retryMaxInterval),
		backoff.WithMaxElapsedTime(0),
	)
	c := &callState{
		dispatcher:   d,
		call:         call,
		sink:         sink,
		pool:         d.pools.poolFor(call.Server),
		retryBackoff: retryBackoff,
	}
	c.result = waxfleet.CallResult{Events: call.ResumeFrom, TimeToFirstByte: -1}
	return c
}

// run runs exchanges until the response is complete or no retry is allowed.
func (c *callState) run(ctx context.Context) error {
	c.startAttempt()
	for {
		f := c.exchange(ctx)
		if f == nil {
			return nil
		}
		c.dispatcher.log.Info("exchange with backend server failed", "request-id", c.call.RequestID, "attempt", c.attemptID,
			"backend-server", c.call.Server.ID(), "next-event", c.nextEventID, "error", f.Error())
		if err := c.handleFailure(ctx, f); err != nil {
			return err
		}
		if err := c.backOff(ctx); err != nil {
			return c.cancelledError(err)
		}
	}
}

func (c *callState) startAttempt() {
	c.attemptID = ulid.Make().String()
	c.attemptCount++
	c.nextEventID = 0
	c.attemptStartedAt = c.dispatcher.clock.Now()
	c.incarnation = c.pool.lastIncarnation()
}

func (c *callState) isModelEngine() bool { return c.call.Service.Kind() == waxfleet.KindModelEngine }

// resuming reports whether the next exchange resumes the attempt's stream.
func (c *callState) resuming() bool { return c.nextEventID > 0 }

// exchange sends one HTTP request and reads its response.
func (c *callState) exchange(ctx context.Context) *failure {
	ctx, e := newExchange(ctx, c.dispatcher, c.call)
	e.gotEvent.Store(c.resuming())
	defer e.cancel()
	req, err := c.newRequest(ctx)
	if err != nil {
		return &failure{kind: failInvalidRequest, cause: err}
	}
	resp, err := e.roundTrip(c.transport(), req)
	c.result.Sent = c.result.Sent || e.connected.Load()
	if err != nil {
		return e.classifyError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if f := c.checkHeader(e, resp); f != nil {
		c.discardResponse(e, resp)
		return f
	}
	if c.call.Stream && resp.StatusCode == http.StatusOK {
		f := c.readStream(e, resp)
		if f != nil {
			e.closeConnection()
		}
		return f
	}
	f := c.readResponse(e, resp)
	if f != nil {
		e.cancel()
	}
	return f
}

// transport selects the transport of the next exchange. At-most-once calls,
// resumes and retries get a new connection: a pooled one may be closed, stalled
// or deliver a late response. So do engine responses that are not streamed,
// where a stalled connection can't be distinguished from a long generation and
// would block the call for the generation timeout of 300 s. Responses of a plain service
// that name no attempt can't be told from late ones on a pooled connection.
func (c *callState) transport() *waxhead.Transport {
	unstreamedGeneration := c.isModelEngine() && !c.call.Stream
	unidentified := !c.isModelEngine() && !c.pool.namesAttempts()
	if c.call.AtMostOnce || unstreamedGeneration || unidentified || c.resuming() || c.attemptCount > 1 {
		return c.dispatcher.unpooledTransport
	}
	return c.pool.transport
}

// newRequest builds the HTTP request of the next exchange.
//
// net/http resends a request by itself when a pooled connection turns out to be
// closed, if the method is idempotent, the request has an Idempotency-Key header,
// or nothing was written and the body can be read again. That would send an
// at-most-once call twice. It can't happen here: at-most-once calls use a new
// connection, where net/http never retries, the body has no GetBody, and no such
// header is sent. RoundTrip, unlike http.Client, follows no redirects.
func (c *callState) newRequest(ctx context.Context) (*http.Request, error) {
	path := c.call.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	req, err := http.NewRequestWithContext(ctx, c.call.Method, "http://"+c.call.Server.Address()+path, nil)
	if err != nil {
		return nil, err
	}
	if len(c.call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.call.Body))
		req.ContentLength = int64(len(c.call.Body))
	}
	if c.call.ContentType != "" {
		req.Header.Set("Content-Type", c.call.ContentType)
	}
	req.Header.Set("User-Agent", userAgent)
	req.Header.Set(headerRequestID, c.attemptID)
	if c.resuming() {
		req.Header.Set(headerLastEventID, strconv.FormatInt(c.nextEventID-1, 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// checkHeader validates the attempt id, the status and the content type of a
// response.
func (c *callState) checkHeader(e *exchange, resp *http.Response) *failure {
	id := resp.Header.Get(headerRequestID)
	if id != c.attemptID && (id != "" || !c.mayOmitRequestID(e, resp)) {
		return &failure{kind: failMismatch, cause: errors.Newf("%s is %q, not %q", headerRequestID, id, c.attemptID)}
	}
	if !c.isModelEngine() {
		c.pool.setNamesAttempts(id != "")
		return nil
	}
	status := resp.StatusCode
	switch {
	case c.resuming() && status == http.StatusNotFound:
		return &failure{kind: failStreamNotFound}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &failure{kind: failOverloaded, cause: errors.Newf("status %d", status)}
	case status >= http.StatusInternalServerError:
		return &failure{kind: failBadResponse, cause: errors.Newf("status %d", status)}
	case status != http.StatusOK && c.result.Events > 0:
		// The caller already has part of the stream, so an error body can't follow.
		return &failure{kind: failBadResponse, cause: errors.Newf("status %d after the first event", status)}
	case status == http.StatusOK && c.call.Stream && !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return &failure{kind: failBadResponse, cause: errors.Newf("content type is %q, not text/event-stream", resp.Header.Get("Content-Type"))}
	}
	return nil
}

// mayOmitRequestID reports whether a response without an attempt id is accepted: on a new
// connection, where no response to an earlier request can arrive, those of plain services
// and the error responses of engines.
func (c *callState) mayOmitRequestID(e *exchange, resp *http.Response) bool {
	return !e.reused.Load() && (!c.isModelEngine() || resp.StatusCode >= http.StatusBadRequest)
}

// discardResponse drops a response and its connection.
func (c *callState) discardResponse(e *exchange, resp *http.Response) {
	if resp.Body == http.NoBody {
		// The connection is idle again and may already serve another request.
		c.pool.transport.CloseIdleConnections()
		return
	}
	e.closeConnection()
}

// handleFailure returns the error that ends the call after a failure, or nil
// when c is ready for another exchange.
func (c *callState) handleFailure(ctx context.Context, f *failure) error {
	if ctx.Err() != nil {
		return c.cancelledError(ctx.Err())
	}
	switch f.kind {
	case failCallerWrite:
		return c.cancelledError(f.cause)
	case failInvalidRequest, failBadResponse:
		return c.failedError(f)
	case failOverloaded:
		if !c.resuming() {
			c.result.Rejected = true
			return c.notRunError(f, waxfleet.CodeOverloaded)
		}
	case failDead:
		c.result.ServerDied = true
	case failNotConnected, failConnectionLost, failStreamNotFound:
		if !c.result.Sent {
			return c.notRunError(f, waxfleet.CodeNoBackendServer)
		}
		c.result.ServerDied = c.serverDied(ctx, f)
	case failStalled:
		c.pool.transport.CloseIdleConnections()
	}
	if c.result.ServerDied || f.kind == failStreamNotFound || !c.prepareRetry() {
		return c.failedError(f)
	}
	return nil
}

// serverDied reports whether the server process has ended. If it is still running, only
// the connection or the stream was lost.
func (c *callState) serverDied(ctx context.Context, f *failure) bool {
	if f.kind != failStreamNotFound && !c.dispatcher.probe(ctx, c.call.Server) {
		return ctx.Err() == nil
	}
	if c.incarnation == "" {
		return false
	}
	report, err := c.dispatcher.fetchLoad(ctx, c.dispatcher.unpooledReportTransport, c.call.Server)
	return err == nil && report.Incarnation() != c.incarnation
}

// prepareRetry prepares a resume of the stream or, before its first event, a
// retry of the call. It returns false when neither is allowed.
func (c *callState) prepareRetry() bool {
	if c.call.AtMostOnce {
		return false
	}
	if c.resuming() {
		c.resumes++
		return c.resumes <= c.dispatcher.opts.MaxResumes
	}
	if c.attemptCount >= c.dispatcher.opts.MaxAttempts {
		return false
	}
	c.startAttempt()
	return true
}

// backOff backs off before the third and each later exchange.
func (c *callState) backOff(ctx context.Context) error {
	if c.resumes+c.attemptCount <= 2 {
		return ctx.Err()
	}
	return c.dispatcher.clock.Sleep(ctx, waxfleet.MillisOf(c.retryBackoff.NextBackOff()))
}

// notRunError returns the error of an attempt that the server did not run. The error is
// marked as not run only if no earlier attempt of the request may have run.
func (c *callState) notRunError(f *failure, code waxfleet.Code) error {
	err := waxfleet.WrapError(f, code, "%s (backend server %s)", failureMessages[f.kind], c.call.Server.ID())
	if c.attemptCount > 1 || c.call.ResumeFrom > 0 {
		return err.WithoutNotRun()
	}
	return err
}

// failedError returns the error of a call that got no complete response.
func (c *callState) failedError(f *failure) error {
	code := failureCodes[f.kind]
	if c.result.ServerDied {
		code = waxfleet.CodeBackendDied
	}
	if c.call.AtMostOnce && c.result.Sent {
		code = waxfleet.CodeOutcomeUnknown
	}
	return c.wrapError(f, code, failureMessages[f.kind])
}

func (c *callState) cancelledError(cause error) error {
	code := waxfleet.CodeCancelled
	if c.call.AtMostOnce && c.result.Sent && !c.result.Complete {
		code = waxfleet.CodeOutcomeUnknown
	}
	return c.wrapError(cause, code, "the call was cancelled")
}

func (c *callState) wrapError(cause error, code waxfleet.Code, message string) error {
	err := waxfleet.WrapError(cause, code, "%s (backend server %s)", message, c.call.Server.ID())
	if c.result.Sent {
		return err.WithoutNotRun()
	}
	return err
}
