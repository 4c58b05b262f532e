package waxforward

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxtable"
)

const (
	// A retryable request waits for the response header for responseTimeoutFactor
	// x the route's latency objective before another server is tried.
	responseTimeoutFactor = 1.5
	// minResponseTimeout is the lower bound of that time, and of the time to wait
	// for the next event of a stream.
	minResponseTimeout waxfleet.Millis = 200
)

// send sends the request to one server and relays its response.
func (f *Forwarder) send(ctx context.Context, c *requestState, v *serverState) (result, error) {
	var released sync.Once
	release := func() { released.Do(func() { f.servers.releasePending(v, c.prefillTokens) }) }
	defer release()
	conn, err := v.pool.Get(ctx)
	if err != nil {
		return resultNotSent, err
	}
	id := c.entry.Server().ID()
	if !f.opts.Directory.AcceptsWork(id, c.entry.StartUnixMilli()) {
		conn.Discard()
		return resultNotSent, waxfleet.NewError(waxfleet.CodeBackendLeaving, "%s no longer accepts requests", id)
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(sendCtx, conn.Discard)
	defer stop()
	if c.sends == 0 {
		f.servers.recordRequest(c.service, f.opts.Bounds().Retry.Window)
	}
	c.sends++
	c.runs++
	timeout := f.responseTimeout(c)
	var timer *time.Timer
	if timeout > 0 {
		timer = time.AfterFunc(timeout.Duration(), func() { cancel(errServerTimeout) })
		defer timer.Stop()
	}
	response, err := conn.RoundTrip(f.backendRequest(c, id))
	if err != nil {
		conn.Discard()
		if errors.Is(context.Cause(sendCtx), errServerTimeout) {
			err = waxfleet.WrapError(errServerTimeout, waxfleet.CodeBackendDied, "no response within %d ms", timeout)
		}
		return resultMayHaveRun, err
	}
	if timer != nil {
		timer.Stop()
	}
	release()
	f.servers.recordActivity(c.entry)
	if response.Head.NotRun || response.Head.Misdirected {
		c.runs--
		f.drain(conn, response)
		return resultNotRun, waxfleet.NewError(waxfleet.CodeOverloaded, "%s answered %d without running the request", id, response.Status)
	}
	res, err := f.relay(sendCtx, cancel, c, response)
	if res == resultDone || res == resultServerFailure {
		if stop() {
			conn.Release(response)
		}
		return res, err
	}
	conn.Discard()
	return res, err
}

var errServerTimeout = errors.New("timed out waiting for the backend server")

// responseTimeout returns how long to wait for the response header before
// another server is tried; 0 means until the deadline. Only requests that can
// be retried get less time than the deadline.
func (f *Forwarder) responseTimeout(c *requestState) waxfleet.Millis {
	if !c.route.Retryable() || c.runs >= c.route.MaxAttempts() || c.route.LatencyObjective() <= 0 {
		return 0
	}
	return max(minResponseTimeout, waxfleet.Millis(responseTimeoutFactor*float64(c.route.LatencyObjective())))
}

// backendRequest builds the request for the server.
func (f *Forwarder) backendRequest(c *requestState, id string) waxpool.Request {
	out := waxfleet.ForwardInfo{
		Server: id, RemainingTimeout: max(c.deadline-f.opts.Clock.Now(), 1), Workspace: c.workspace.Name, Priority: -1,
		LastEventID: c.inbound.LastEventID, CacheSource: c.cacheSource,
	}
	if c.route.Kind() == waxfleet.KindStream {
		out.Priority = min(max(waxtable.Priority(c.route, c.workspace), 0), 9)
	}
	if c.response.lastEventID >= 0 {
		out.LastEventID = c.response.lastEventID
	}
	return waxpool.Request{
		ID: c.inbound.ID, Method: c.method, Target: c.target, Host: c.host,
		Header: f.opts.Protocol.BackendHeader(c.inbound, out), Body: c.body, HasBody: c.hasBody,
	}
}

// drain reads the rest of a refusal so that the connection can be reused. It
// drops the connection if the refusal is long.
func (f *Forwarder) drain(conn *waxpool.Conn, a *waxpool.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxBufferedBytes))
	if err != nil || n == maxBufferedBytes {
		conn.Discard()
		return
	}
	conn.Release(a)
}
