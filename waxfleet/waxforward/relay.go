package waxforward

import (
	"context"
	"errors"
	"io"
	"net/http"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpool"
)

// maxBufferedBytes is the length up to which a response is buffered before its header
// is sent to the caller. If the response turns out to be incomplete, the request can
// then be retried.
const maxBufferedBytes = 256 << 10

// relay sends the response of the server to the caller.
func (f *Forwarder) relay(ctx context.Context, req *requestState, resp *waxpool.Response) (result, error) {
	if !resp.Head.Signed {
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeBackendError, "response with status %d has no signature", resp.Status)
	}
	if resp.Status >= 200 && resp.Status < 300 && req.route.Kind() == waxfleet.KindStream {
		return f.relayStream(ctx, req, resp)
	}
	if req.takeOver != nil {
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "server responded with status %d instead of taking the stream over", resp.Status)
	}
	return f.relayBuffered(ctx, req, resp)
}

// closeDelimited reports whether the backend server sent the response without a length and
// chunks, maybe to another instance.
func closeDelimited(req *requestState, resp *waxpool.Response) bool {
	return !resp.Framed() || req.peer != "" && resp.Head.CloseDelimited
}

// confirmEnd returns an error unless the end of a close-delimited response was the end of the
// response, and not that of its server. Another instance has confirmed an end that it states;
// one that states none may have given the response up.
func (f *Forwarder) confirmEnd(ctx context.Context, req *requestState, resp *waxpool.Response) error {
	if resp.Framed() {
		return nil
	}
	if req.peer != "" {
		return waxfleet.NewError(waxfleet.CodeStreamIncomplete, "%s did not state the end of its response", req.peer)
	}
	started := f.opts.Clock.Now()
	probe := f.newEndProbe(req)
	probes, err := resp.ConfirmEnd(ctx, waxpool.Probe{Target: probe.target, Check: probe.check})
	attrs := []any{
		"request", req.inbound.ID, "server", req.entry.Server().ID(), "last-event", req.response.lastEventID,
		"confirmed", err == nil, "start", probe.start, "probes", probes,
		"answered-by", probe.answeredBy, "answered-start", probe.answeredStart, "open-connection", probe.open, "after-ms", int64(f.opts.Clock.Now() - started),
	}
	if probe.answeredBy == "" || probe.answeredBy == probe.server {
		f.servers.observeStart(req.state, req.start, probe.answeredStart)
		f.observeLoad(req, req.state, probe.load)
	}
	if probe.answeredStart == 0 {
		f.servers.keepSpares(req.service)
	}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	f.opts.Log.Info("end of a close-delimited response", attrs...)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeBackendDied, "close-delimited response ended, and its server was not shown to be alive")
	}
	return nil
}

// endProbe is a question that a server answers while it lives, and what its answers say.
type endProbe struct {
	protocol waxfleet.Protocol
	target   string
	// server is the ID of the server that is asked, and start its start time in Unix
	// milliseconds as far as known, or 0.
	server string
	start  int64
	// answeredBy and answeredStart are those that the last answer names; "" and 0 if it names
	// none.
	answeredBy    string
	answeredStart int64
	// open is true if the last answer came on a connection that was open before.
	open bool
	// load is what the last answer says of the load.
	load waxfleet.ServerLoadStatement
}

// newEndProbe returns the probe for the server of a request.
func (f *Forwarder) newEndProbe(req *requestState) *endProbe {
	spec, _ := req.table.Service(req.service)
	target, _ := f.opts.Protocol.ProbeTarget(spec)
	return &endProbe{
		protocol: f.opts.Protocol, target: target,
		server: req.entry.Server().ID(), start: req.start,
	}
}

// check returns an error if the answer does not show that the process of the server lives. A
// process that has taken the place of another one may name the ID alone.
func (p *endProbe) check(h http.Header, body []byte, open bool) error {
	p.answeredBy, p.answeredStart = p.protocol.DecodeProbe(h, body)
	p.open, p.load = open, p.protocol.DecodeResponse(http.StatusOK, h).Load
	switch {
	case p.answeredBy != "" && p.answeredBy != p.server:
		return waxfleet.NewError(waxfleet.CodeBackendDied, "%q answers instead of %q", p.answeredBy, p.server)
	case open || p.answeredStart == p.start:
		return nil
	case p.answeredStart == 0:
		return waxfleet.NewError(waxfleet.CodeBackendDied, "answer names no start time")
	}
	return waxfleet.NewError(waxfleet.CodeBackendDied, "a process started at %d answers instead of one started at %d", p.answeredStart, p.start)
}

// relayBuffered reads the complete response before it sends it. It streams a response
// over maxBufferedBytes.
func (f *Forwarder) relayBuffered(ctx context.Context, req *requestState, resp *waxpool.Response) (result, error) {
	body, whole, err := req.intake.ReadAnswer(resp.Body, maxBufferedBytes)
	if err != nil {
		return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeBackendDied, "response ended early")
	}
	if whole {
		if err := f.confirmEnd(ctx, req, resp); err != nil {
			return resultMayHaveRun, err
		}
	}
	switch {
	case impliesNotRun(resp.Status):
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeBackendError,
			"server responded with status %d without stating that the request has not run", resp.Status)
	case req.response.headerSent():
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "server responded with status %d to the stream resumption", resp.Status)
	case resp.Status >= 500 && req.peer == "" && f.mayRetry(req, resultServerFailure):
		return resultServerFailure, waxfleet.NewError(waxfleet.CodeBackendError, "server responded with status %d", resp.Status)
	}
	if whole {
		req.response.writeHeader(resp, contentLength(req.method, resp, len(body)), closeDelimited(req, resp))
		return resultOfWrite(req.response.write(body))
	}
	req.response.writeHeader(resp, resp.Length, closeDelimited(req, resp))
	if err := req.response.write(body); err != nil {
		return resultCallerDisconnected, err
	}
	return f.relayRest(ctx, req, resp)
}

// contentLength returns the value of the Content-Length field: the length of the resource
// for a HEAD request, otherwise the length of the body that was read.
func contentLength(method string, resp *waxpool.Response, read int) int64 {
	if method == http.MethodHead {
		return resp.Length
	}
	return int64(read)
}

// impliesNotRun reports whether callers take the status to mean that the request has not
// run and can be retried.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// resultOfWrite returns the result of a response that was written with err.
func resultOfWrite(err error) (result, error) {
	if err != nil {
		return resultCallerDisconnected, err
	}
	return resultComplete, nil
}

// relayRest streams the rest of a response whose header was sent.
func (f *Forwarder) relayRest(ctx context.Context, req *requestState, resp *waxpool.Response) (result, error) {
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if werr := req.response.write(buf[:n]); werr != nil {
				return resultCallerDisconnected, werr
			}
		}
		if errors.Is(err, io.EOF) {
			if err := f.confirmEnd(ctx, req, resp); err != nil {
				return resultMayHaveRun, err
			}
			return resultComplete, nil
		}
		if err != nil {
			return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeBackendDied, "response ended early")
		}
	}
}

// relayStream relays each event of a stream once it is complete. It skips events that the
// caller has already received from an earlier server.
func (f *Forwarder) relayStream(ctx context.Context, req *requestState, resp *waxpool.Response) (result, error) {
	events := newEventReader(resp.Body, func() (func(), error) { return f.reserveEvent(ctx, req) })
	defer events.close()
	newest := int64(-1)
	req.watch.awaitEvents()
	for {
		req.watch.unlock()
		event, id, err := events.next()
		req.watch.lock()
		if req.watch.ended() {
			return resultMayHaveRun, waxfleet.WrapError(errServerTimeout, waxfleet.CodeStreamIncomplete, "another server has taken over")
		}
		if errors.Is(err, io.EOF) {
			req.watch.stop()
			return f.endStream(ctx, req, resp)
		}
		if err != nil {
			return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeStreamIncomplete, "stream ended early after event %d", req.lastEvent())
		}
		if id > newest {
			newest = id
			req.watch.recordEvent()
			if req.peer == "" {
				f.servers.recordActivity(req.entry)
				f.recordProgress(req)
			}
		}
		if last := req.lastEvent(); id >= 0 && last >= 0 && id != last+1 {
			if id <= last {
				continue
			}
			return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeAnswerMismatch, "event %d follows event %d", id, last)
		}
		if req.takeOver != nil {
			if id < 0 {
				continue
			}
			if err := req.takeStream(); err != nil {
				return resultMayHaveRun, err
			}
		}
		if !req.response.headerSent() {
			if req.peer == "" {
				f.recordOrigin(ctx, req)
			}
			req.response.writeHeader(resp, -1, closeDelimited(req, resp))
		}
		if err := req.response.write(event); err != nil {
			return resultCallerDisconnected, err
		}
		if id >= 0 {
			req.response.lastEventID = id
		}
	}
}

// reserveEvent waits for room for a large event. The server does not count as silent meanwhile.
func (f *Forwarder) reserveEvent(ctx context.Context, req *requestState) (release func(), err error) {
	if req.takeOver != nil {
		// The silent server may hold the room that the other one would wait for.
		return func() {}, nil
	}
	req.watch.pause()
	defer req.watch.resume()
	started := f.opts.Clock.Now()
	release, err = req.intake.ReserveBuffer(ctx, largeEventBytes)
	if waited := f.opts.Clock.Now() - started; waited >= minLoggedWait {
		f.opts.Log.Info("large event waited for memory", "request", req.inbound.ID, "waited-ms", int64(waited))
	}
	return release, err
}

// takeStream makes the caller's stream go on at the server of the request. It returns an error
// if the server before goes on.
func (req *requestState) takeStream() error {
	t := req.takeOver
	if t == nil {
		return nil
	}
	if !t.win() {
		return waxfleet.WrapError(context.Canceled, waxfleet.CodeCancelled, "the server before goes on")
	}
	req.takeOver = nil
	return nil
}

// endStream returns the result of a stream that ended between two events.
func (f *Forwarder) endStream(ctx context.Context, req *requestState, resp *waxpool.Response) (result, error) {
	if err := req.takeStream(); err != nil {
		return resultMayHaveRun, err
	}
	switch {
	case !closeDelimited(req, resp):
		if !req.response.headerSent() {
			req.response.writeHeader(resp, -1, false)
		}
		return resultComplete, nil
	case !req.response.headerSent():
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "connection ended before the first event")
	case !req.response.closeDelimited:
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeStreamIncomplete,
			"close-delimited response can't confirm the end of a response with chunks, after event %d", req.response.lastEventID)
	}
	if err := f.confirmEnd(ctx, req, resp); err != nil {
		return resultMayHaveRun, err
	}
	return resultComplete, nil
}

// eventTimeout returns the time without an event after which the server of a stream counts as
// silent. 0 means that no other server can resume the stream, or that another instance watches
// it.
func (f *Forwarder) eventTimeout(req *requestState) waxfleet.Millis {
	if req.peer != "" || !req.route.Resumable() || req.runs >= req.route.MaxAttempts() || req.route.EventGapObjective() <= 0 {
		return 0
	}
	return max(minServerTimeout, eventGapFactor*req.route.EventGapObjective())
}
