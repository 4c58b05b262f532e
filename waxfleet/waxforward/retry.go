package waxforward

import (
	"context"
	"errors"
	"net"
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxintake"
	"waxwingdrift.org/waxfleet/waxpick"
)

// minRetryTimeout is the minimum time until the deadline for a retry.
const minRetryTimeout waxfleet.Millis = 10

// result is the result of one send: the transmission of a request to one server and
// the relay of its response.
type result int

const (
	// resultComplete means that the complete response was sent to the caller.
	resultComplete result = iota
	// resultNotSent means that no byte of the request was sent.
	resultNotSent
	// resultNotRun means that the server stated that it has not run the request.
	resultNotRun
	// resultMayHaveRun means that the response is missing, incomplete or invalid.
	resultMayHaveRun
	// resultServerFailure means that the server responded with a 5xx status. The response
	// was not relayed, because another server may get the request.
	resultServerFailure
	// resultCallerDisconnected means that the caller disconnected.
	resultCallerDisconnected
	// resultPeerFailure means that another instance has given up on the request.
	resultPeerFailure
)

// String returns the value that appears in logs.
func (r result) String() string {
	return [...]string{"done", "not-sent", "not-run", "may-have-run", "server-failure", "caller-left", "peer-failure"}[r]
}

// forward sends the request to one server after the other until one responds or no
// further send is allowed.
func (f *Forwarder) forward(ctx context.Context, req *requestState) error {
	var last error
	for {
		if err := f.recheckKey(req); err != nil {
			return f.keyError(req, err)
		}
		if err := f.checkBan(req); err != nil {
			return err
		}
		if handled, err := f.forwardToPeers(ctx, req); handled {
			return err
		}
		if err := f.pinVersion(ctx, req); err != nil {
			return err
		}
		state, choice := f.selectAtVersion(req)
		if req.rejected() {
			return f.rejectionError(req)
		}
		if state == nil {
			if choice.Reason == waxpick.ReasonColdRate {
				req.retryAfter = rateRetryAfter(req.rateDelay)
			}
			return f.noServerError(req, string(choice.Reason), last)
		}
		res, err := f.attempt(ctx, req, state, choice)
		if req.retryReserved {
			res, err = f.continueElsewhere(ctx, req)
		}
		if res == resultComplete {
			return nil
		}
		if ctx.Err() != nil {
			return f.contextError(ctx, req)
		}
		last = err
		// With resultServerFailure, relayBuffered has already reserved the retry.
		retry := res == resultServerFailure || f.mayRetry(req, res)
		f.opts.Log.Warn("send failed", "request", req.inbound.ID, "server", req.entry.Server().ID(), "result", res.String(), "error", err.Error(),
			"framed", req.framed, "last-event", req.response.lastEventID,
			"runs", req.runs, "attempts", req.route.MaxAttempts(), "again", retry)
		if !retry {
			return f.finalError(req, res, err)
		}
	}
}

// attempt sends the request to a selected server and relays its response. If another server
// takes the request over meanwhile, the result and the state of the request are those of that
// one. If the request was given up for another server, a retry is reserved.
func (f *Forwarder) attempt(ctx context.Context, req *requestState, state *serverState, choice waxpick.Choice) (result, error) {
	id := req.entry.Server().ID()
	req.triedServers[id] = true
	heard, age := f.opts.Loads.ReportStats()
	attrs := []any{
		"request", req.inbound.ID, "server", id,
		"software-version", req.entry.SoftwareVersion(), "resumes", req.inbound.Resumes,
		"after-event", max(req.inbound.LastEventID, req.lastEvent()), "reason", string(choice.Reason), "send", req.sends + 1, "load", choice.Load,
		"pending-tokens", req.prefillTokens, "shared-tokens", req.promptKey.SharedTokens(),
		"source", req.cacheSource, "mean", roundToTenth(choice.MeanLoad),
		"limit", choice.LoadLimit, "peers", heard, "peer-age-ms", int64(age),
		"config-version", req.table.Version(),
	}
	f.opts.Log.Info("placed", append(attrs, req.costAttrs()...)...)
	sendCtx, span := f.opts.Tracer.Start(ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("server", id)))
	res, err := f.send(sendCtx, req, state)
	span.SetAttributes(attribute.String("result", res.String()))
	span.End()
	f.recordResult(ctx, req, res)
	f.servers.finish(state, req.service, healthEffectOf(ctx, res, err), ctx.Err() == nil && isTimeout(err))
	f.endFlight(req, state, res)
	if res == resultNotRun && choice.LoadLimit == 0 {
		f.servers.recordRejected(req, choice.Load, state.entry.Slots())
	}
	if res == resultComplete {
		f.observePrediction(req)
		f.recordAnswer(req.traits)
	}
	if res == resultMayHaveRun && ctx.Err() == nil {
		f.probeServer(ctx, req, state)
	}
	next, res, err := req.watch.settle(req, res, err)
	*req = *next
	return res, err
}

func roundToTenth(x float64) float64 { return float64(int(x*10)) / 10 }

// healthEffectOf returns the effect of the result of a send on the health of the server. ctx
// is that of the request: a connection attempt that its end has cut short says nothing of
// the server.
func healthEffectOf(ctx context.Context, res result, err error) healthEffect {
	switch res {
	case resultComplete:
		return effectSuccess
	case resultMayHaveRun, resultServerFailure:
		if errors.Is(err, context.Canceled) || errors.Is(ctx.Err(), context.Canceled) {
			return effectNone
		}
		return effectFailure
	case resultNotSent:
		if waxfleet.CodeOf(err) == waxfleet.CodePeerUnreachable && ctx.Err() == nil {
			return effectUnreachable
		}
	}
	return effectNone
}

// isTimeout reports whether the response or the connection attempt timed out. A refused
// or reset connection is no timeout: it shows that the machine is reachable.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, errServerTimeout) || errors.As(err, &timeout) && timeout.Timeout()
}

// keyError returns the error of a request whose key is no longer accepted.
func (f *Forwarder) keyError(req *requestState, err error) error {
	if req.runs > 0 {
		return waxfleet.WrapError(err, waxfleet.CodeOutcomeUnknown, "an earlier attempt may have run")
	}
	return err
}

// noServerError returns the error of a request for which no server is eligible. last is
// the error of the last send, or nil.
func (f *Forwarder) noServerError(req *requestState, reason string, last error) error {
	service := req.service
	if req.pinned {
		service += " at software version " + strconv.Quote(req.version)
	}
	e := waxfleet.NewError(waxfleet.CodeNoBackendServer, "no eligible backend server for %s: %s", service, reason)
	if last != nil {
		e = waxfleet.WrapError(last, waxfleet.CodeNoBackendServer,
			"no further eligible backend server for %s: %s", service, reason)
	}
	if req.runs > 0 {
		return e.WithoutNotRun()
	}
	return e
}

// contextError returns the error of a request whose deadline has passed or whose caller
// has disconnected.
func (f *Forwarder) contextError(ctx context.Context, req *requestState) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if req.runs == 0 {
			return waxfleet.NewError(waxfleet.CodeDeadlineWouldPass, "deadline exceeded; the request has not run")
		}
		return waxfleet.NewError(waxfleet.CodeTimeout, "no complete response within %d ms", req.deadline-req.arrivedAt)
	}
	return waxfleet.NewError(waxfleet.CodeCancelled, "caller disconnected")
}

// mayRetry reports whether another server may get the request after a failed send. If the
// send has reached a server, a retry takes a token of the retry budget.
func (f *Forwarder) mayRetry(req *requestState, res result) bool {
	return f.allowsRetry(req, res) && (res == resultNotSent || f.takeRetryToken(req))
}

// allowsRetry reports whether another server may get the request after a send with the result,
// if the retry budget allows it.
func (f *Forwarder) allowsRetry(req *requestState, res result) bool {
	if req.deadline-f.opts.Clock.Now() < minRetryTimeout {
		return false
	}
	switch res {
	case resultNotSent:
		return len(req.triedServers) < maxSendsPerRequest
	case resultNotRun:
		return req.sends < maxSendsPerRequest
	case resultMayHaveRun, resultServerFailure:
		if !req.route.Retryable() || req.runs >= req.route.MaxAttempts() || req.sends >= maxSendsPerRequest {
			return false
		}
		return !req.response.headerSent() || req.route.Resumable()
	}
	return false
}

func (f *Forwarder) takeRetryToken(req *requestState) bool {
	bound := f.opts.Bounds().Retry
	if f.opts.Preceded() {
		bound = bound.AfterStart(f.opts.Clock.Now() - f.startedAt)
	}
	return f.servers.takeRetryToken(req.service, bound, len(f.opts.Instances()))
}

// finalError returns the error of a request whose last send failed and can't be retried.
func (f *Forwarder) finalError(req *requestState, res result, err error) error {
	if req.runs == 0 {
		return waxfleet.WrapError(err, waxfleet.CodeOverloaded, "no backend server accepted the request")
	}
	if res == resultNotRun || res == resultNotSent {
		return waxfleet.WrapError(err, waxfleet.CodeOutcomeUnknown, "an earlier attempt may have run")
	}
	return err
}

// rateRetryAfter returns the Retry-After delay of a request that no rate limit allows. delay
// is the time until one does at this instance, or -1. Other instances have shares of their
// own, so that a caller may come back earlier than after a long delay.
func rateRetryAfter(delay waxfleet.Millis) waxfleet.Millis {
	if delay < 0 {
		return retryAfterOverloadDelay
	}
	return min(max(delay, retryAfterStaleDelay), maxRateRetryAfter)
}

// retryAfterDelay returns the Retry-After delay of a refused request.
func retryAfterDelay(req *requestState, code waxfleet.Code) waxfleet.Millis {
	if req.retryAfter > 0 {
		return req.retryAfter
	}
	switch code {
	case waxfleet.CodeConfigStale, waxfleet.CodeConfigUnavailable, waxfleet.CodeStopping, waxfleet.CodeOriginUnknown:
		// Another instance may be able to serve the request at once.
		return retryAfterStaleDelay
	case waxfleet.CodeRouterFull:
		return waxintake.RetryAfter()
	}
	return retryAfterOverloadDelay
}

const (
	// retryAfterStaleDelay applies if another instance may be able to serve the request.
	retryAfterStaleDelay waxfleet.Millis = 50
	// maxRateRetryAfter bounds the delay if rate limits are used up.
	maxRateRetryAfter waxfleet.Millis = 1_000
	// retryAfterOverloadDelay applies if the backend servers are busy.
	retryAfterOverloadDelay waxfleet.Millis = 300
)
