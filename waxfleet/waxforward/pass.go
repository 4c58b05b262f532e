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
	// maxBuffered is the longest answer that is read whole before its head goes to
	// the caller, so that a broken one can be repeated elsewhere.
	maxBuffered = 256 << 10
	// pauseFactor x pause objective is how long the events of a resumable stream
	// may pause before another server goes on.
	pauseFactor = 4
)

// pass returns the answer to the caller.
func (f *Forwarder) pass(ctx context.Context, cancel context.CancelCauseFunc, c *call, a *waxpool.Answer) (result, error) {
	if !a.Head.Sealed {
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeBackendError, "answer %d has no signature", a.Status)
	}
	if a.Status >= 200 && a.Status < 300 && c.route.Kind() == waxfleet.KindStream {
		return f.passStream(ctx, cancel, c, a)
	}
	return f.passWhole(c, a)
}

// passWhole reads the whole answer and then sends it. Only an answer that is too
// long for this is sent as it arrives.
func (f *Forwarder) passWhole(c *call, a *waxpool.Answer) (result, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if err != nil {
		return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeBackendDied, "the answer broke off")
	}
	switch {
	case promises(a.Status):
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeBackendError, "the server answered %d without saying that the request has not run", a.Status)
	case c.sink.started():
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "the server answered %d to the resumption", a.Status)
	case a.Status >= 500 && f.mayRepeat(c, resultFailure):
		return resultFailure, waxfleet.NewError(waxfleet.CodeBackendError, "the server answered %d", a.Status)
	}
	if len(body) < maxBuffered {
		c.sink.head(a.Status, a.Header, lengthFor(c.method, a, len(body)))
		return written(c.sink.write(body))
	}
	c.sink.head(a.Status, a.Header, a.Length)
	if err := c.sink.write(body); err != nil {
		return resultCallerLeft, err
	}
	return f.copyRest(c, a)
}

func lengthFor(method string, a *waxpool.Answer, read int) int64 {
	if method == http.MethodHead {
		return a.Length
	}
	return int64(read)
}

// promises reports whether callers take the status as a promise that the request
// has not run.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func written(err error) (result, error) {
	if err != nil {
		return resultCallerLeft, err
	}
	return resultDone, nil
}

func (f *Forwarder) copyRest(c *call, a *waxpool.Answer) (result, error) {
	buf := make([]byte, 32<<10)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if werr := c.sink.write(buf[:n]); werr != nil {
				return resultCallerLeft, werr
			}
		}
		if errors.Is(err, io.EOF) {
			return resultDone, nil
		}
		if err != nil {
			return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeBackendDied, "the answer broke off")
		}
	}
}

// passStream forwards whole events as they arrive.
func (f *Forwarder) passStream(ctx context.Context, cancel context.CancelCauseFunc, c *call, a *waxpool.Answer) (result, error) {
	events := newEventReader(a.Body)
	pause := f.eventWait(c)
	var timer *time.Timer
	if pause > 0 {
		timer = time.AfterFunc(pause.Duration(), func() { cancel(errSilent) })
		defer timer.Stop()
	}
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			if !c.sink.started() {
				c.sink.head(a.Status, a.Header, -1)
			}
			return resultDone, nil
		}
		if err != nil {
			if errors.Is(context.Cause(ctx), errSilent) {
				err = errSilent
			}
			return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeStreamIncomplete, "the stream broke off after event %d", c.sink.lastEvent)
		}
		if id >= 0 && c.sink.lastEvent >= 0 && id != c.sink.lastEvent+1 {
			if id <= c.sink.lastEvent {
				continue
			}
			return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "event %d follows event %d", id, c.sink.lastEvent)
		}
		if !c.sink.started() {
			c.sink.head(a.Status, a.Header, -1)
		}
		if err := c.sink.write(event); err != nil {
			return resultCallerLeft, err
		}
		if id >= 0 {
			c.sink.lastEvent = id
		}
		f.servers.sign(c.entry)
		if timer != nil {
			timer.Reset(pause.Duration())
		}
	}
}

// eventWait is how long the next event is awaited before another server goes on
// with the stream; 0 for the whole time.
func (f *Forwarder) eventWait(c *call) waxfleet.Millis {
	if !c.route.Resumable() || c.runs >= c.route.Attempts() || c.route.Pause() <= 0 {
		return 0
	}
	return max(leastAnswerWait, pauseFactor*c.route.Pause())
}
