package waxforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxtable"
)

const (
	// maxBuffered is the longest answer that is read whole before its head goes to
	// the caller, so that a broken one can be repeated elsewhere.
	maxBuffered = 256 << 10
	// maxEvent is the longest event of a stream, in bytes.
	maxEvent = 1 << 20
	// answerFactor x objective is how long a repeatable request waits for the head
	// of an answer before another server is tried.
	answerFactor = 1.5
	// leastAnswerWait bounds that time from below, in ms.
	leastAnswerWait waxfleet.Millis = 200
	// pauseFactor x pause objective is how long the events of a resumable stream
	// may pause before another server goes on.
	pauseFactor = 4
	// minimumRest is the least time that makes a send worthwhile, in ms.
	minimumRest waxfleet.Millis = 10
)

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
	// resultFailure means that the server answered with a failure of its own.
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
		id := v.entry.Server().ID()
		c.tried[id], c.server = true, id
		heard, age := f.opts.Loads.Heard()
		f.opts.Log.Info("placed", "request", c.in.ID, "server", id, "reason", string(choice.Reason), "send", c.sends+1,
			"load", choice.Load, "pending-tokens", c.pending, "shared-tokens", c.key.Tokens(), "source", c.source, "mean", round(choice.Mean), "limit", choice.Limit, "peers", heard, "peer-age-ms", int64(age),
			"config-version", c.table.Version())
		spanCtx, span := f.opts.Tracer.Start(ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("server", id)))
		res, err := f.send(spanCtx, c, v)
		span.SetAttributes(attribute.String("result", res.String()))
		span.End()
		f.servers.end(v, c.service, healthOf(res, err))
		if res == resultDone {
			f.opts.Suspects.Clear(c.digest)
			return nil
		}
		if res == resultMayHaveRun && ctx.Err() == nil {
			f.suspect(ctx, c, v)
		}
		if ctx.Err() != nil {
			return f.ended(ctx, c)
		}
		last = err
		again := f.mayRepeat(c, res)
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
func (f *Forwarder) retryAfter(_ *call, code waxfleet.Code) waxfleet.Millis {
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

// send offers the request to one server.
func (f *Forwarder) send(ctx context.Context, c *call, v *server) (result, error) {
	var begun sync.Once
	begin := func() { begun.Do(func() { f.servers.answered(v, c.pending) }) }
	defer begin()
	conn, err := v.pool.Get(ctx)
	if err != nil {
		return resultNotSent, err
	}
	id := v.entry.Server().ID()
	if !f.opts.Directory.Usable(id, v.entry.Born()) {
		conn.Discard()
		return resultNotSent, waxfleet.NewError(waxfleet.CodeBackendLeaving, "%s takes no new work", id)
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(sendCtx, conn.Discard)
	defer stop()
	if c.sends == 0 {
		f.servers.first(c.service, f.opts.Bounds().Retry.Window)
	}
	c.sends++
	c.runs++
	patience := f.answerWait(c)
	var timer *time.Timer
	if patience > 0 {
		timer = time.AfterFunc(patience.Duration(), func() { cancel(errSilent) })
		defer timer.Stop()
	}
	answer, err := conn.RoundTrip(f.request(c, id))
	if err != nil {
		conn.Discard()
		if errors.Is(context.Cause(sendCtx), errSilent) {
			err = waxfleet.WrapError(errSilent, waxfleet.CodeBackendDied, "no answer within %d ms", patience)
		}
		return resultMayHaveRun, err
	}
	if timer != nil {
		timer.Stop()
	}
	begin()
	if answer.Head.NotRun || answer.Head.WrongServer {
		c.runs--
		f.drop(conn, answer)
		return resultNotRun, waxfleet.NewError(waxfleet.CodeOverloaded, "%s answered %d and has not run the request", id, answer.Status)
	}
	res, err := f.pass(sendCtx, cancel, c, answer)
	if res == resultDone || res == resultFailure {
		if stop() {
			conn.Done(answer)
		}
		return res, err
	}
	conn.Discard()
	return res, err
}

var errSilent = errors.New("the backend server is silent")

// answerWait is how long the head of the answer is awaited before another server
// is tried; 0 for the whole time. Only requests that another server may still
// run get less than the whole time.
func (f *Forwarder) answerWait(c *call) waxfleet.Millis {
	if !c.route.Repeatable() || c.runs >= c.route.Attempts() || c.route.Objective() <= 0 {
		return 0
	}
	return max(leastAnswerWait, waxfleet.Millis(answerFactor*float64(c.route.Objective())))
}

// request returns what is sent to the server.
func (f *Forwarder) request(c *call, id string) waxpool.Request {
	out := waxfleet.Outbound{
		Server: id, Remaining: max(c.deadline-f.opts.Clock.Now(), 1), Workspace: c.workspace.Name, Urgency: -1,
		ResumeAfter: c.in.ResumeAfter, CacheSource: c.source,
	}
	if c.route.Kind() == waxfleet.KindStream {
		out.Urgency = min(max(waxtable.Priority(c.route, c.workspace), 0), 9)
	}
	if c.sink.lastEvent >= 0 {
		out.ResumeAfter = c.sink.lastEvent
	}
	return waxpool.Request{
		ID: c.in.ID, Method: c.method, Target: c.target, Host: c.host,
		Header: f.opts.Protocol.Outbound(c.in, out), Body: c.body, HasBody: c.hasBody,
	}
}

// drop reads the rest of a short refusal so that the connection can be used
// again.
func (f *Forwarder) drop(conn *waxpool.Conn, a *waxpool.Answer) {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxBuffered))
	if err != nil || n == maxBuffered {
		conn.Discard()
		return
	}
	conn.Done(a)
}

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
	case a.Status >= 500 && c.route.Repeatable() && f.mayRepeatFailure(c):
		return resultFailure, waxfleet.NewError(waxfleet.CodeBackendError, "the server answered %d", a.Status)
	case c.sink.started():
		return resultFailure, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "the server answered %d to the resumption", a.Status)
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

// mayRepeatFailure reports whether the request could be repeated after the
// server's own failure; the retry budget is asked later.
func (f *Forwarder) mayRepeatFailure(c *call) bool {
	return c.runs < c.route.Attempts() && c.sends < maxSends && c.deadline-f.opts.Clock.Now() >= minimumRest
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

// eventReader cuts a stream into events.
type eventReader struct {
	src  io.Reader
	buf  []byte
	read int
	err  error
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, 0, 1024)}
}

// next returns the next whole event with its id, or -1 without one. The bytes are
// valid until the next call. It returns io.EOF after the end of a whole stream.
func (r *eventReader) next() ([]byte, int64, error) {
	r.buf = append(r.buf[:0], r.buf[r.read:]...)
	r.read = 0
	for {
		if end := eventEnd(r.buf); end > 0 {
			r.read = end
			return r.buf[:end], eventID(r.buf[:end]), nil
		}
		if r.err != nil {
			return r.rest()
		}
		if len(r.buf) > maxEvent {
			return nil, -1, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "an event is longer than %d bytes", maxEvent)
		}
		var chunk [2048]byte
		n, err := r.src.Read(chunk[:])
		r.buf = append(r.buf, chunk[:n]...)
		r.err = err
	}
}

// rest returns what follows the last event of a stream that is whole.
func (r *eventReader) rest() ([]byte, int64, error) {
	if !errors.Is(r.err, io.EOF) || len(r.buf) == 0 {
		return nil, -1, r.err
	}
	r.read = len(r.buf)
	return r.buf, -1, nil
}

// eventEnd returns the length of the first event with its blank line, or 0.
func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	}
	return 0
}

// eventID returns the number in the id field of an event, or -1.
func eventID(event []byte) int64 {
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			return id
		}
	}
	return -1
}
