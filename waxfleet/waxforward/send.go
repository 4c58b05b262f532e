package waxforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxtable"
)

const (
	// headerTimeoutFactor x the route's latency objective is the timeout for the response
	// header, after which a retryable request goes to another server.
	headerTimeoutFactor = 1.5
	// minServerTimeout is the lower bound of the timeouts for the response header and for
	// the next event of a stream.
	minServerTimeout waxfleet.Millis = 200
)

// send sends the request to one server and relays its response. The error is nil only
// with resultComplete.
func (f *Forwarder) send(ctx context.Context, req *requestState, state *serverState) (result, error) {
	req.watch = nil
	var released sync.Once
	release := func() { released.Do(func() { f.servers.releasePending(state, req.prefillTokens) }) }
	defer release()
	conn, err := state.pool.Get(ctx)
	if err != nil {
		return resultNotSent, err
	}
	if conn.New() {
		f.servers.recordOpened(state)
	}
	id := req.entry.Server().ID()
	if !f.opts.Directory.AcceptsWork(id, req.entry.StartUnixMilli()) {
		conn.Discard()
		return resultNotSent, waxfleet.NewError(waxfleet.CodeBackendLeaving, "%s no longer accepts requests", id)
	}
	if err := f.recheckKey(req); err != nil {
		conn.Discard()
		return resultNotSent, err
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(sendCtx, conn.Discard)
	defer stop()
	if req.sends == 0 {
		f.servers.recordRequest(req.service, f.opts.Bounds().Retry.Window)
	}
	req.sends++
	req.runs++
	req.sentAt, req.headerAt, req.firstEventAt, req.framed = f.opts.Clock.Now(), 0, 0, false
	req.state, req.start = state, f.servers.startOf(state)
	w := newSilenceWatch(ctx, f, req, state, cancel)
	resp, err := conn.RoundTrip(f.backendRequest(req, id))
	w.lock()
	defer w.unlock()
	if w.ended() {
		err = errServerTimeout
	}
	if err != nil {
		conn.Discard()
		w.end(resultMayHaveRun)
		if w.ended() {
			err = waxfleet.WrapError(err, waxfleet.CodeBackendDied, "no response within %d ms", f.opts.Clock.Now()-req.sentAt)
		}
		return resultMayHaveRun, err
	}
	w.stop()
	req.headerAt, req.framed, req.rollout.status = f.opts.Clock.Now(), resp.Framed(), resp.Status
	release()
	f.servers.recordActivity(req.entry)
	f.recordStatements(req, state, resp)
	if resp.Head.NotRun || resp.Head.Misdirected {
		req.runs--
		f.releaseRejected(conn, resp)
		return resultNotRun, waxfleet.NewError(waxfleet.CodeOverloaded, "%s responded with status %d without running the request", id, resp.Status)
	}
	res, err := f.relay(sendCtx, req, resp)
	w.end(res)
	if res == resultComplete || res == resultServerFailure {
		if stop() {
			conn.Release(resp)
		}
		return res, err
	}
	conn.Discard()
	return res, err
}

// recordStatements records what the server says of itself in the header of a response.
func (f *Forwarder) recordStatements(req *requestState, state *serverState, resp *waxpool.Response) {
	if resp.Head.Misdirected {
		return
	}
	id := req.entry.Server().ID()
	f.recordLimit(state, resp)
	f.recordLoad(req, state, resp)
	f.recordBrittle(req, resp)
	if resp.Head.Leaving && f.opts.Directory.RecordLeaving(id, req.entry.StartUnixMilli()) {
		f.opts.Log.Info("backend server says that it leaves", "request", req.inbound.ID, "server", id)
	}
	if !resp.Head.NotRun {
		return
	}
	f.pauseRejecting(req, state)
	if resp.Head.RetryAfter > 0 && resp.Status == http.StatusServiceUnavailable {
		f.servers.pause(state, resp.Head.RetryAfter)
		f.opts.Log.Info("backend server asks for a pause", "request", req.inbound.ID, "server", id, "pause-ms", int64(resp.Head.RetryAfter))
	}
}

// recordLimit records the rate limit that the server names, or no longer names.
func (f *Forwarder) recordLimit(state *serverState, resp *waxpool.Response) {
	if !f.opts.Limits.Record(state.incarnationHash, resp.Head.RateLimit, resp.Head.Limited) {
		return
	}
	f.opts.FlushUpdates()
	f.opts.Log.Info("backend server names another rate limit", "server", state.entry.Server().ID(),
		"limited", resp.Head.Limited, "per-second", resp.Head.RateLimit)
}

// errServerTimeout is the cause that ends a send to a silent server for another one.
var errServerTimeout = errors.New("timed out waiting for the backend server")

// headerTimeout returns the time without a response header after which the request goes to
// another server, if there is one. 0 means that it waits until its deadline; it does if it
// can't be retried.
func (f *Forwarder) headerTimeout(req *requestState) waxfleet.Millis {
	if !req.route.Retryable() || req.runs >= req.route.MaxAttempts() || req.route.LatencyObjective() <= 0 {
		return 0
	}
	return max(minServerTimeout, waxfleet.Millis(headerTimeoutFactor*float64(req.route.LatencyObjective())))
}

// backendRequest builds the request for the server.
func (f *Forwarder) backendRequest(req *requestState, id string) waxpool.Request {
	out := waxfleet.ForwardInfo{
		Server: id, RemainingTimeout: max(req.deadline-f.opts.Clock.Now(), 1), Workspace: req.workspace.Name, Priority: -1,
		LastEventID: req.inbound.LastEventID, CacheSource: req.cacheSource,
	}
	if req.route.Kind() == waxfleet.KindStream {
		out.Priority = min(max(waxtable.Priority(req.route, req.workspace), 0), 9)
	}
	if last := req.lastEvent(); last >= 0 {
		out.LastEventID = last
	}
	return waxpool.Request{
		ID: req.inbound.ID, Method: req.method, Target: req.target, Host: req.host,
		Header: f.opts.Protocol.BackendHeader(req.inbound, out), Body: req.body, HasBody: req.hasBody,
	}
}

// releaseRejected reads the rest of the response of a server that has not run the
// request, so that the connection can be reused. It closes the connection if the response
// is incomplete or long.
func (f *Forwarder) releaseRejected(conn *waxpool.Conn, resp *waxpool.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil || n == maxBufferedBytes {
		conn.Discard()
		return
	}
	conn.Release(resp)
}
