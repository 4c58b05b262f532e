package waxforward

import (
	"context"
	"errors"
	"net"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
)

// minTimeLeft is the least remaining time in which a retry is worthwhile.
const minTimeLeft waxfleet.Millis = 10

// result says how one send ended.
type result int

const (
	// resultDone means that the whole response was sent to the client.
	resultDone result = iota
	// resultNotSent means that no byte of the request was sent.
	resultNotSent
	// resultNotRun means that the server stated that it has not run the request.
	resultNotRun
	// resultMayHaveRun means that the response is missing, incomplete or invalid.
	resultMayHaveRun
	// resultServerFailure means that the server answered with a 5xx status, which
	// was withheld because the request may be retried on another server.
	resultServerFailure
	// resultClientGone means that the client disconnected.
	resultClientGone
)

// String returns the value that appears in logs.
func (r result) String() string {
	return [...]string{"done", "not-sent", "not-run", "may-have-run", "server-failure", "caller-left"}[r]
}

// forward sends the request to one server after the other until one answers or
// no retry is allowed.
func (f *Forwarder) forward(ctx context.Context, c *requestState) error {
	var last error
	for {
		v, choice := f.selectServer(c)
		if v == nil {
			return f.noServerError(c, string(choice.Reason), last)
		}
		id := c.entry.Server().ID()
		c.triedServers[id] = true
		heard, age := f.opts.Loads.Freshness()
		f.opts.Log.Info("placed", "request", c.inbound.ID, "server", id, "reason", string(choice.Reason), "send", c.sends+1,
			"load", choice.Load, "pending-tokens", c.prefillTokens, "shared-tokens", c.promptKey.Tokens(), "source", c.cacheSource, "mean", roundToTenth(choice.MeanLoad), "limit", choice.LoadLimit, "peers", heard, "peer-age-ms", int64(age),
			"config-version", c.table.Version())
		spanCtx, span := f.opts.Tracer.Start(ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("server", id)))
		res, err := f.send(spanCtx, c, v)
		span.SetAttributes(attribute.String("result", res.String()))
		span.End()
		f.servers.finish(v, c.service, healthOutcome(res, err), ctx.Err() == nil && isTimeout(err))
		if res == resultDone {
			f.opts.Suspects.Clear(c.digest)
			f.completions.add(c.digest)
			return nil
		}
		if res == resultMayHaveRun && ctx.Err() == nil {
			f.probeAfterFailure(ctx, c, v)
		}
		if ctx.Err() != nil {
			return f.contextError(ctx, c)
		}
		last = err
		// The 5xx response was withheld only because a retry was allowed.
		retry := res == resultServerFailure || f.mayRetry(c, res)
		f.opts.Log.Warn("send failed", "request", c.inbound.ID, "server", id, "result", res.String(), "error", err.Error(),
			"runs", c.runs, "attempts", c.route.MaxAttempts(), "again", retry)
		if !retry {
			return f.finalError(c, res, err)
		}
	}
}

func roundToTenth(x float64) float64 { return float64(int(x*10)) / 10 }

// healthOutcome maps the result of a send to what it says about the server's
// health.
func healthOutcome(res result, err error) outcome {
	switch res {
	case resultDone:
		return outcomeOK
	case resultMayHaveRun, resultServerFailure:
		if errors.Is(err, context.Canceled) {
			return outcomeNeutral
		}
		return outcomeFailed
	case resultNotSent:
		if waxfleet.CodeOf(err) == waxfleet.CodePeerUnreachable {
			return outcomeConnectFailed
		}
	}
	return outcomeNeutral
}

// isTimeout reports whether the server did not answer, or could not be reached,
// in time. A refused or reset connection is no timeout: the machine is
// reachable.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, errServerTimeout) || errors.As(err, &timeout) && timeout.Timeout()
}

// noServerError returns the error if no server is eligible for the request.
func (f *Forwarder) noServerError(c *requestState, reason string, last error) error {
	e := waxfleet.NewError(waxfleet.CodeNoBackendServer, "no eligible backend server for %s: %s", c.service, reason)
	if last != nil {
		e = waxfleet.WrapError(last, waxfleet.CodeNoBackendServer, "no further eligible backend server for %s: %s", c.service, reason)
	}
	if c.runs > 0 {
		return e.WithoutNotRun()
	}
	return e
}

// contextError returns the error if the deadline has passed or the client has
// disconnected.
func (f *Forwarder) contextError(ctx context.Context, c *requestState) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if c.runs == 0 {
			return waxfleet.NewError(waxfleet.CodeDeadlineWouldPass, "deadline exceeded; the request has not run")
		}
		return waxfleet.NewError(waxfleet.CodeTimeout, "no complete response within %d ms", c.deadline-c.arrivedAt)
	}
	return waxfleet.NewError(waxfleet.CodeCancelled, "caller disconnected")
}

// mayRetry reports whether another server may get the request after a failed
// send. It takes a token from the retry budget if the send reached a server.
func (f *Forwarder) mayRetry(c *requestState, res result) bool {
	if c.deadline-f.opts.Clock.Now() < minTimeLeft {
		return false
	}
	switch res {
	case resultNotSent:
		return len(c.triedServers) < maxSendsPerRequest
	case resultNotRun:
		return c.sends < maxSendsPerRequest && f.takeRetryToken(c)
	case resultMayHaveRun, resultServerFailure:
		if !c.route.Retryable() || c.runs >= c.route.MaxAttempts() || c.sends >= maxSendsPerRequest {
			return false
		}
		if c.response.headerSent() && !c.route.Resumable() {
			return false
		}
		return f.takeRetryToken(c)
	}
	return false
}

func (f *Forwarder) takeRetryToken(c *requestState) bool {
	return f.servers.takeRetryToken(c.service, f.opts.Bounds().Retry, len(f.opts.Instances()))
}

// finalError returns the error for a request whose last send failed and can't
// be retried.
func (f *Forwarder) finalError(c *requestState, res result, err error) error {
	if c.runs == 0 {
		return waxfleet.WrapError(err, waxfleet.CodeOverloaded, "no backend server accepted the request")
	}
	if res == resultNotRun || res == resultNotSent {
		return waxfleet.WrapError(err, waxfleet.CodeOutcomeUnknown, "an earlier attempt may have run")
	}
	return err
}

// retryAfter returns the Retry-After time of a refused request.
func retryAfter(code waxfleet.Code) waxfleet.Millis {
	switch code {
	case waxfleet.CodeConfigStale, waxfleet.CodeConfigUnavailable, waxfleet.CodeStopping:
		// Another instance may be able to serve the request at once.
		return retryAfterStale
	}
	return retryAfterOverload
}

const (
	// retryAfterStale applies if another instance may serve the request.
	retryAfterStale waxfleet.Millis = 50
	// retryAfterOverload applies if the backend servers are busy.
	retryAfterOverload waxfleet.Millis = 300
)
