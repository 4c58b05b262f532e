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
	// answerFactor x objective is how long a repeatable request waits for the head
	// of an answer before another server is tried.
	answerFactor = 1.5
	// leastAnswerWait bounds that time from below, in ms.
	leastAnswerWait waxfleet.Millis = 200
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
	id := c.entry.Server().ID()
	if !f.opts.Directory.Usable(id, c.entry.Born()) {
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
	f.servers.sign(c.entry)
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
