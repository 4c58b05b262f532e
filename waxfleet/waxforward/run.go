package waxforward

import (
	"context"
	"errors"
	"net"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
)

// minimumRest is the least time that makes a send worthwhile, in ms.
const minimumRest waxfleet.Millis = 10

// result is how one send ended.
type result int

const (
	// resultDone means that the whole answer went to the caller.
	resultDone result = iota
	// resultNotSent means that no byte of the request left.
	resultNotSent
	// resultNotRun means that the server states that it has not run the request.
	resultNotRun
	// resultMayHaveRun means that the answer is missing or broken.
	resultMayHaveRun
	// resultFailure means that the server answered with a failure of its own, which
	// was not passed on because another server may run the request.
	resultFailure
	// resultCallerLeft means that the caller's connection ended.
	resultCallerLeft
)

// String returns the name for logs.
func (r result) String() string {
	return [...]string{"done", "not-sent", "not-run", "may-have-run", "server-failure", "caller-left"}[r]
}

// run sends the request to servers until one answers or no further send is
// allowed.
func (f *Forwarder) run(ctx context.Context, c *call) error {
	var last error
	for {
		v, choice := f.place(c)
		if v == nil {
			return f.noServer(c, string(choice.Reason), last)
		}
		id := c.entry.Server().ID()
		c.tried[id] = true
		heard, age := f.opts.Loads.Heard()
		f.opts.Log.Info("placed", "request", c.in.ID, "server", id, "reason", string(choice.Reason), "send", c.sends+1,
			"load", choice.Load, "pending-tokens", c.pending, "shared-tokens", c.key.Tokens(), "source", c.source, "mean", round(choice.MeanLoad), "limit", choice.LoadLimit, "peers", heard, "peer-age-ms", int64(age),
			"config-version", c.table.Version())
		spanCtx, span := f.opts.Tracer.Start(ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("server", id)))
		res, err := f.send(spanCtx, c, v)
		span.SetAttributes(attribute.String("result", res.String()))
		span.End()
		f.servers.end(v, c.service, healthOf(res, err), ctx.Err() == nil && timedOut(err))
		if res == resultDone {
			f.opts.Suspects.Clear(c.digest)
			f.completed.note(c.digest)
			return nil
		}
		if res == resultMayHaveRun && ctx.Err() == nil {
			f.suspect(ctx, c, v)
		}
		if ctx.Err() != nil {
			return f.ended(ctx, c)
		}
		last = err
		// A failure of the server's own was held back because it may be repeated.
		again := res == resultFailure || f.mayRepeat(c, res)
		f.opts.Log.Warn("send failed", "request", c.in.ID, "server", id, "result", res.String(), "error", err.Error(),
			"runs", c.runs, "attempts", c.route.Attempts(), "again", again)
		if !again {
			return f.giveUp(c, res, err)
		}
	}
}

func round(x float64) float64 { return float64(int(x*10)) / 10 }

// healthOf says what a send tells of its server.
func healthOf(res result, err error) outcome {
	switch res {
	case resultDone:
		return outcomeOK
	case resultMayHaveRun, resultFailure:
		if errors.Is(err, context.Canceled) {
			return outcomeNeutral
		}
		return outcomeFailed
	case resultNotSent:
		if waxfleet.CodeOf(err) == waxfleet.CodePeerUnreachable {
			return outcomeUnreachable
		}
	}
	return outcomeNeutral
}

// timedOut reports whether a server did not answer, or could not be reached, in
// time. One that refuses or resets connections is reached.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.Is(err, errSilent) || errors.As(err, &timeout) && timeout.Timeout()
}

// noServer is the refusal when no server may get the request.
func (f *Forwarder) noServer(c *call, reason string, last error) error {
	e := waxfleet.NewError(waxfleet.CodeNoBackendServer, "no backend server of %s may get the request: %s", c.service, reason)
	if last != nil {
		e = waxfleet.WrapError(last, waxfleet.CodeNoBackendServer, "no further backend server of %s may get the request: %s", c.service, reason)
	}
	if c.runs > 0 {
		return e.MaybeRun()
	}
	return e
}

// ended is the error when the time is over or the caller has left.
func (f *Forwarder) ended(ctx context.Context, c *call) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if c.runs == 0 {
			return waxfleet.NewError(waxfleet.CodeDeadlineWouldPass, "the time for the request is over; nothing was sent")
		}
		return waxfleet.NewError(waxfleet.CodeTimeout, "no whole answer within %d ms", c.deadline-c.arrived)
	}
	return waxfleet.NewError(waxfleet.CodeCancelled, "the caller left")
}

// mayRepeat decides whether another server may get the request after a send
// that failed.
func (f *Forwarder) mayRepeat(c *call, res result) bool {
	if c.deadline-f.opts.Clock.Now() < minimumRest {
		return false
	}
	switch res {
	case resultNotSent:
		return len(c.tried) < maxSends
	case resultNotRun:
		return c.sends < maxSends && f.takeRetry(c)
	case resultMayHaveRun, resultFailure:
		if !c.route.Repeatable() || c.runs >= c.route.Attempts() || c.sends >= maxSends {
			return false
		}
		if c.sink.started() && !c.route.Resumable() {
			return false
		}
		return f.takeRetry(c)
	}
	return false
}

func (f *Forwarder) takeRetry(c *call) bool {
	return f.servers.repeat(c.service, f.opts.Bounds().Retry, len(f.opts.Instances()))
}

// giveUp is the final error after a send that may not be repeated.
func (f *Forwarder) giveUp(c *call, res result, err error) error {
	if c.runs == 0 {
		return waxfleet.WrapError(err, waxfleet.CodeOverloaded, "no backend server took the request")
	}
	if res == resultNotRun || res == resultNotSent {
		return waxfleet.WrapError(err, waxfleet.CodeOutcomeUnknown, "an earlier send may have run")
	}
	return err
}

// retryAfter is the time after which a refused caller should return.
func retryAfter(code waxfleet.Code) waxfleet.Millis {
	switch code {
	case waxfleet.CodeConfigStale, waxfleet.CodeConfigUnavailable, waxfleet.CodeStopping:
		// Another instance may serve at once.
		return retryElsewhere
	}
	return retryOverload
}

const (
	// retryElsewhere is the Retry-After when another instance may serve, in ms.
	retryElsewhere waxfleet.Millis = 50
	// retryOverload is the Retry-After when the backend servers are busy, in ms.
	retryOverload waxfleet.Millis = 300
)
