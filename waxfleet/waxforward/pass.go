package waxforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpool"
)

const (
	// maxBufferedBytes is the length up to which a response is buffered before
	// its header is sent to the client, so that an incomplete one can be retried.
	maxBufferedBytes = 256 << 10
	// The events of a resumable stream may pause for eventGapFactor x the route's
	// pause objective before another server resumes the stream.
	eventGapFactor = 4
)

// relay sends the response of the server to the client.
func (f *Forwarder) relay(ctx context.Context, cancel context.CancelCauseFunc, c *requestState, a *waxpool.Response) (result, error) {
	if !a.Head.Signed {
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeBackendError, "response with status %d has no signature", a.Status)
	}
	if a.Status >= 200 && a.Status < 300 && c.route.Kind() == waxfleet.KindStream {
		return f.relayStream(ctx, cancel, c, a)
	}
	return f.relayBuffered(c, a)
}

// relayBuffered reads the whole response before it sends it. A response over
// maxBufferedBytes is streamed.
func (f *Forwarder) relayBuffered(c *requestState, a *waxpool.Response) (result, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes))
	if err != nil {
		return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeBackendDied, "response ended early")
	}
	switch {
	case impliesNotRun(a.Status):
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeBackendError, "server answered %d without stating that the request has not run", a.Status)
	case c.response.headerSent():
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "server answered %d to the stream resumption", a.Status)
	case a.Status >= 500 && f.mayRetry(c, resultServerFailure):
		return resultServerFailure, waxfleet.NewError(waxfleet.CodeBackendError, "server answered %d", a.Status)
	}
	if len(body) < maxBufferedBytes {
		c.response.writeHeader(a.Status, a.Header, contentLength(c.method, a, len(body)))
		return writeResult(c.response.write(body))
	}
	c.response.writeHeader(a.Status, a.Header, a.Length)
	if err := c.response.write(body); err != nil {
		return resultClientGone, err
	}
	return f.relayRest(c, a)
}

// contentLength returns the length to announce: to a HEAD request that of the
// resource, otherwise that of the body that was read.
func contentLength(method string, a *waxpool.Response, read int) int64 {
	if method == http.MethodHead {
		return a.Length
	}
	return int64(read)
}

// impliesNotRun reports whether clients take the status to mean that the
// request has not run and can be sent again.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func writeResult(err error) (result, error) {
	if err != nil {
		return resultClientGone, err
	}
	return resultDone, nil
}

func (f *Forwarder) relayRest(c *requestState, a *waxpool.Response) (result, error) {
	buf := make([]byte, 32<<10)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if werr := c.response.write(buf[:n]); werr != nil {
				return resultClientGone, werr
			}
		}
		if errors.Is(err, io.EOF) {
			return resultDone, nil
		}
		if err != nil {
			return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeBackendDied, "response ended early")
		}
	}
}

// relayStream relays the events of a stream as they arrive, whole events only.
// It skips events that the client has already got from an earlier server.
func (f *Forwarder) relayStream(ctx context.Context, cancel context.CancelCauseFunc, c *requestState, a *waxpool.Response) (result, error) {
	events := newEventReader(a.Body)
	gap := f.eventTimeout(c)
	var timer *time.Timer
	if gap > 0 {
		timer = time.AfterFunc(gap.Duration(), func() { cancel(errServerTimeout) })
		defer timer.Stop()
	}
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			if !c.response.headerSent() {
				c.response.writeHeader(a.Status, a.Header, -1)
			}
			return resultDone, nil
		}
		if err != nil {
			if errors.Is(context.Cause(ctx), errServerTimeout) {
				err = errServerTimeout
			}
			return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeStreamIncomplete, "stream ended early after event %d", c.response.lastEventID)
		}
		if id >= 0 && c.response.lastEventID >= 0 && id != c.response.lastEventID+1 {
			if id <= c.response.lastEventID {
				continue
			}
			return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "event %d follows event %d", id, c.response.lastEventID)
		}
		if !c.response.headerSent() {
			c.response.writeHeader(a.Status, a.Header, -1)
		}
		if err := c.response.write(event); err != nil {
			return resultClientGone, err
		}
		if id >= 0 {
			c.response.lastEventID = id
		}
		f.servers.recordActivity(c.entry)
		if timer != nil {
			timer.Reset(gap.Duration())
		}
	}
}

// eventTimeout returns how long to wait for the next event before another
// server resumes the stream; 0 means until the deadline.
func (f *Forwarder) eventTimeout(c *requestState) waxfleet.Millis {
	if !c.route.Resumable() || c.runs >= c.route.MaxAttempts() || c.route.EventGapObjective() <= 0 {
		return 0
	}
	return max(minResponseTimeout, eventGapFactor*c.route.EventGapObjective())
}
