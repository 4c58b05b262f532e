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

	retryInitialPause = 20 * time.Millisecond
	retryMaxPause     = time.Second
)

// run is the state of one Do over all its exchanges.
type run struct {
	d      *Dispatcher
	call   waxfleet.Call
	sink   waxfleet.CallSink
	server *server
	pauses *backoff.ExponentialBackOff

	attempt     string
	attempts    int
	started     waxfleet.Millis
	incarnation string
	// next is the engine's id of the next event of this attempt.
	next     int64
	resumes  int
	headSent bool
	result   waxfleet.CallResult
}

func newRun(d *Dispatcher, call waxfleet.Call, sink waxfleet.CallSink) *run {
	// Only engines stream; the offsets and the end marker are theirs.
	call.Stream = call.Stream && call.Service.Kind() == waxfleet.KindModelEngine
	pauses := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(retryInitialPause),
		backoff.WithMaxInterval(retryMaxPause),
		backoff.WithMaxElapsedTime(0),
	)
	r := &run{d: d, call: call, sink: sink, server: d.servers.get(call.Server), pauses: pauses}
	r.result = waxfleet.CallResult{Events: call.ResumeFrom, FirstByte: -1}
	return r
}

// do makes exchanges until one brings the rest of the answer or no further one
// is allowed.
func (r *run) do(ctx context.Context) error {
	r.newAttempt()
	for {
		f := r.exchange(ctx)
		if f == nil {
			return nil
		}
		r.d.log.Info("exchange with backend server failed", "request-id", r.call.RequestID, "attempt", r.attempt,
			"backend-server", r.call.Server.ID(), "next-event", r.next, "error", f.Error())
		if err := r.finalError(ctx, f); err != nil {
			return err
		}
		if err := r.pause(ctx); err != nil {
			return r.cancelled(err)
		}
	}
}

func (r *run) newAttempt() {
	r.attempt = ulid.Make().String()
	r.attempts++
	r.next = 0
	r.started = r.d.clock.Now()
	r.incarnation = r.server.lastIncarnation()
}

func (r *run) engine() bool { return r.call.Service.Kind() == waxfleet.KindModelEngine }

// resuming reports whether the next exchange continues the attempt's stream.
func (r *run) resuming() bool { return r.next > 0 }

// exchange makes one HTTP request and reads its answer.
func (r *run) exchange(ctx context.Context) *failure {
	ctx, e := newExchange(ctx, r.d, r.call)
	e.events.Store(r.resuming())
	defer e.cancel()
	req, err := r.request(ctx)
	if err != nil {
		return &failure{kind: failRequest, cause: err}
	}
	resp, err := e.roundTrip(r.transport(), req)
	r.result.Sent = r.result.Sent || e.connected.Load()
	if err != nil {
		return e.failed(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if f := r.checkHeader(e, resp); f != nil {
		r.discard(e, resp)
		return f
	}
	if r.call.Stream && resp.StatusCode == http.StatusOK {
		f := r.readStream(e, resp)
		if f != nil {
			e.closeConnection()
		}
		return f
	}
	f := r.readAnswer(e, resp)
	if f != nil {
		e.cancel()
	}
	return f
}

// transport chooses the connections of the next exchange. Once-calls, resumes
// and repeated attempts get a fresh connection: kept ones may be closed, silent
// or carry a late answer. So do answers of engines that are not streamed: a kept
// connection that went silent can't be told there from a long generation, and
// would hold the call for the generation time-out of 300 s.
func (r *run) transport() *http.Transport {
	wholeAnswer := r.engine() && !r.call.Stream
	if r.call.Once || wholeAnswer || r.resuming() || r.attempts > 1 {
		return r.d.fresh
	}
	return r.server.transport
}

// request builds the HTTP request of the next exchange.
//
// net/http sends a request again on its own when a kept connection turns out to
// be closed, if the method is idempotent, the request has an Idempotency-Key
// header, or nothing was written and the body can be read again. For a once-call
// that would be a second dispatch. It can't happen here: once-calls use a fresh
// connection, where net/http never tries again, the body has no GetBody, and no
// such header is sent. RoundTrip, other than http.Client, follows no redirects.
func (r *run) request(ctx context.Context) (*http.Request, error) {
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
		req.Header.Set(headerLastEventID, strconv.FormatInt(r.next-1, 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// checkHeader decides by status and attempt id whether the answer can be used.
func (r *run) checkHeader(e *exchange, resp *http.Response) *failure {
	id := resp.Header.Get(headerRequestID)
	if id != r.attempt && (id != "" || !r.mayOmitID(e, resp)) {
		return &failure{kind: failMismatch, cause: errors.Newf("%s is %q, not %q", headerRequestID, id, r.attempt)}
	}
	if !r.engine() {
		return nil
	}
	status := resp.StatusCode
	switch {
	case r.resuming() && status == http.StatusNotFound:
		return &failure{kind: failGone}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &failure{kind: failBusy, cause: errors.Newf("status %d", status)}
	case status >= http.StatusInternalServerError:
		return &failure{kind: failRefused, cause: errors.Newf("status %d", status)}
	case status != http.StatusOK && r.result.Events > 0:
		// The caller has a part of a stream, which an error body can't follow.
		return &failure{kind: failRefused, cause: errors.Newf("status %d after the first event", status)}
	case status == http.StatusOK && r.call.Stream && !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return &failure{kind: failRefused, cause: errors.Newf("content type %q in place of a stream", resp.Header.Get("Content-Type"))}
	}
	return nil
}

// mayOmitID reports whether an answer without an attempt id is accepted. Plain
// services need not send it. An engine's refusal may lack it when the connection
// is fresh, since no earlier request's answer can arrive there.
func (r *run) mayOmitID(e *exchange, resp *http.Response) bool {
	return !r.engine() || (resp.StatusCode >= http.StatusBadRequest && !e.reused.Load())
}

// discard drops an answer with its connection.
func (r *run) discard(e *exchange, resp *http.Response) {
	if resp.Body == http.NoBody {
		// The connection is idle again and may serve another request by now.
		r.server.transport.CloseIdleConnections()
		return
	}
	e.closeConnection()
}

// finalError returns the error that ends the call after a failure, or nil when
// the state of r is set for another exchange.
func (r *run) finalError(ctx context.Context, f *failure) error {
	if ctx.Err() != nil {
		return r.cancelled(ctx.Err())
	}
	switch f.kind {
	case failSink:
		return r.cancelled(f.cause)
	case failRequest, failRefused:
		return r.final(f)
	case failBusy:
		if !r.resuming() {
			r.result.Busy = true
			return r.unrun(f, waxfleet.CodeOverloaded)
		}
	case failDead:
		r.result.Died = true
	case failNotConnected, failCut, failGone:
		if !r.result.Sent {
			return r.unrun(f, waxfleet.CodeNoBackendServer)
		}
		r.result.Died = r.died(ctx, f)
	case failSilent:
		r.server.transport.CloseIdleConnections()
	}
	if r.result.Died || f.kind == failGone || !r.prepareNext() {
		return r.final(f)
	}
	return nil
}

// died tells a server that ended from one that only lost the connection.
func (r *run) died(ctx context.Context, f *failure) bool {
	if f.kind != failGone && !r.d.probe(ctx, r.call.Server) {
		return ctx.Err() == nil
	}
	if r.incarnation == "" {
		return false
	}
	report, err := r.d.fetchLoad(ctx, r.d.freshReports, r.call.Server)
	return err == nil && report.Incarnation() != r.incarnation
}

// prepareNext sets up a resume of the stream or, before its first event, another
// attempt. It reports false when the bounds forbid both.
func (r *run) prepareNext() bool {
	if r.call.Once {
		return false
	}
	if r.resuming() {
		r.resumes++
		return r.resumes <= r.d.opts.MaxResumes
	}
	if r.attempts >= r.d.opts.MaxAttempts {
		return false
	}
	r.newAttempt()
	return true
}

// pause waits before all exchanges but the first and second.
func (r *run) pause(ctx context.Context) error {
	if r.resumes+r.attempts <= 2 {
		return ctx.Err()
	}
	return r.d.clock.Sleep(ctx, waxfleet.MillisOf(r.pauses.NextBackOff()))
}

// unrun returns the error of an attempt that the server did not run. It says
// "not run" only if no earlier attempt of the request may have run.
func (r *run) unrun(f *failure, code waxfleet.Code) error {
	err := waxfleet.WrapError(f, code, "%s (backend server %s)", failureNames[f.kind], r.call.Server.ID())
	if r.attempts > 1 || r.call.ResumeFrom > 0 {
		return err.MaybeRun()
	}
	return err
}

// final returns the error of a call that got no whole answer.
func (r *run) final(f *failure) error {
	code := finalCodes[f.kind]
	if r.result.Died {
		code = waxfleet.CodeBackendDied
	}
	if r.call.Once && r.result.Sent {
		code = waxfleet.CodeOutcomeUnknown
	}
	return r.wrap(f, code, failureNames[f.kind])
}

func (r *run) cancelled(cause error) error {
	code := waxfleet.CodeCancelled
	if r.call.Once && r.result.Sent && !r.result.Whole {
		code = waxfleet.CodeOutcomeUnknown
	}
	return r.wrap(cause, code, "the call was cancelled")
}

func (r *run) wrap(cause error, code waxfleet.Code, message string) error {
	err := waxfleet.WrapError(cause, code, "%s (backend server %s)", message, r.call.Server.ID())
	if r.result.Sent {
		return err.MaybeRun()
	}
	return err
}
