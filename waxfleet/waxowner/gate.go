// Package waxowner admits requests to the backend servers that this instance
// owns, and runs them there.
package waxowner

import (
	"context"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxadmit"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxplace"
)

// deadFor is how long a backend server that died gets no work, unless it reports
// its load before.
const deadFor waxfleet.Millis = 3_000

// settleTime is how long after a take-over the server's own load report counts:
// work of a former owner that died can run on until the server notices.
const settleTime waxfleet.Millis = 5_000

// staleReport is the age of the last load report from which on an instance that
// begins to admit again knows nothing of the backend server: two polls and the
// time-out of one have passed, and the server may have restarted.
const staleReport waxfleet.Millis = 2*pollInterval + pollTimeout

// gate is the admission state of one backend server at this instance.
type gate struct {
	id      string
	service string
	limits  waxfleet.Limits

	mu       sync.Mutex
	server   waxfleet.BackendServer
	admit    *waxadmit.Server
	waiters  map[uint64]chan waxadmit.Verdict
	nextID   uint64
	leaving  bool
	deadTill waxfleet.Millis
	reported int
	ownThen  int
	retired  bool
	// reportedAt is when the last load report came.
	reportedAt waxfleet.Millis
	// admitting is set while this instance has a share; admittingSince is when it
	// got it.
	admitting      bool
	admittingSince waxfleet.Millis
	// running has the requests that were dispatched and have not ended.
	running map[*request]struct{}
}

func newGate(b waxfleet.BackendServer, limits waxfleet.Limits) *gate {
	return &gate{id: b.ID(), service: b.Service(), limits: limits, server: b, admit: waxadmit.NewServer(limits), waiters: map[uint64]chan waxadmit.Verdict{}, running: map[*request]struct{}{}}
}

// condition is what the owner knows outside the gate when it admits.
type condition struct {
	now   waxfleet.Millis
	share waxlease.Share
	// limit is the load limit of the service.
	limit int
	// external is the load that other instances have reported.
	external int
}

// bound returns the most requests in flight under the share of the limit.
func (c condition) bound() int {
	reserve := waxplace.Reserve(c.limit)
	switch c.share {
	case waxlease.Full:
		return c.limit
	case waxlease.LessReserve:
		return c.limit - reserve
	case waxlease.Reserve:
		return reserve
	default:
		return 0
	}
}

// refresh sets the load that this instance has not admitted itself. While a
// former owner may still run work, the server's own report counts as well.
func (g *gate) refresh(c condition) {
	if admitting := c.share != waxlease.None; admitting != g.admitting {
		g.admitting, g.admittingSince = admitting, c.now
		if admitting && c.now-g.reportedAt > staleReport {
			g.forget()
		}
	}
	external := c.external
	if c.share == waxlease.Reserve || c.now-g.admittingSince < settleTime {
		external = max(external, g.reported-g.ownThen)
	}
	g.admit.SetExternal(external)
}

// forget drops the concurrency window that this instance knew when it last
// polled the backend server.
func (g *gate) forget() {
	if g.admit.InFlight() == 0 && g.admit.Queued() == 0 {
		g.admit = waxadmit.NewServer(g.limits)
		return
	}
	g.admit.Window().Done(waxadmit.Outcome{Overloaded: true})
}

// blocked returns the reason why the backend server takes no new work, or 0.
func (g *gate) blocked(c condition) waxfleet.Code {
	switch {
	case c.share == waxlease.None, g.retired:
		return waxfleet.CodeNotOwner
	case g.leaving:
		return waxfleet.CodeBackendLeaving
	case c.now < g.deadTill:
		return waxfleet.CodeNoBackendServer
	default:
		return waxfleet.CodeOK
	}
}

// offer asks for a place. With Wait, the channel delivers the later verdict.
func (g *gate) offer(t waxadmit.Ticket, c condition) (waxadmit.Verdict, uint64, chan waxadmit.Verdict, waxfleet.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if code := g.blocked(c); code != waxfleet.CodeOK {
		return waxadmit.Spill, 0, nil, code
	}
	g.refresh(c)
	g.nextID++
	t = t.WithID(g.nextID)
	verdict := g.admit.Offer(t, c.now, c.bound())
	switch verdict {
	case waxadmit.Admit:
		return verdict, t.ID(), nil, waxfleet.CodeOK
	case waxadmit.Spill:
		return verdict, t.ID(), nil, waxfleet.CodeOverloaded
	case waxadmit.Wait:
	}
	ch := make(chan waxadmit.Verdict, 1)
	g.waiters[t.ID()] = ch
	return verdict, t.ID(), ch, waxfleet.CodeOK
}

// abandon removes a waiting request. It returns false when the request was
// admitted meanwhile.
func (g *gate) abandon(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	return g.admit.Remove(id)
}

// confirm checks right before dispatch that the backend server may still be
// used, because the right to admit can end while a request waits.
func (g *gate) confirm(c condition) waxfleet.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked(c)
}

// cancel returns the place of an admitted request that was never sent.
func (g *gate) cancel(c condition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admit.Cancel()
	g.pump(c)
}

// end takes the end of a request.
func (g *gate) end(o waxadmit.Outcome, c condition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admit.End(o, c.now)
	g.pump(c)
}

// died marks the backend server as dead for a while and sends its queue away.
func (g *gate) died(c condition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadTill = c.now + deadFor
	g.pump(c)
}

// report takes a load report.
func (g *gate) report(r waxfleet.LoadReport, c condition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admit.Window().Report(r)
	g.reportedAt = c.now
	g.leaving = r.Leaving() || g.server.State() == waxfleet.StateLeaving
	g.reported, g.ownThen = r.InFlight(), g.admit.InFlight()
	g.deadTill = 0
	g.pump(c)
}

// tick expires and admits what waits.
func (g *gate) tick(c condition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pump(c)
}

func (g *gate) queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit.Queued()
}

func (g *gate) backend() waxfleet.BackendServer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server
}

func (g *gate) setServer(b waxfleet.BackendServer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server = b
	if b.State() == waxfleet.StateLeaving {
		g.leaving = true
	}
}

// withdraw sends new work elsewhere for good: the backend server is gone from the
// instance list.
func (g *gate) withdraw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// retire ends the gate if nothing runs or waits here. A request that still holds
// it is refused, because the next gate would not count its work.
func (g *gate) retire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retired = g.admit.InFlight() == 0 && g.admit.Queued() == 0
	return g.retired
}

func (g *gate) pump(c condition) {
	g.refresh(c)
	if g.blocked(c) != waxfleet.CodeOK {
		for _, t := range g.admit.Flush() {
			g.tell(t.ID(), waxadmit.Spill)
		}
		return
	}
	for _, t := range g.admit.Expire(c.now) {
		g.tell(t.ID(), waxadmit.Spill)
	}
	for _, t := range g.admit.Next(c.bound()) {
		g.tell(t.ID(), waxadmit.Admit)
	}
}

func (g *gate) tell(id uint64, v waxadmit.Verdict) {
	if ch, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		ch <- v
	}
}

// enter takes a request among the running ones, unless it is a suspect and would
// run beside another. One that runs can have become a suspect since, by the death
// of a backend server elsewhere.
func (g *gate) enter(r *request, suspected func(r *request) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if suspected(r) {
		for other := range g.running {
			if suspected(other) {
				return false
			}
		}
	}
	g.running[r] = struct{}{}
	return true
}

func (g *gate) leave(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, r)
}

// life names the incarnation of the backend server, or is empty while no load
// report has told it.
func (g *gate) life() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	incarnation := g.admit.Window().Incarnation()
	if incarnation == "" {
		return ""
	}
	return g.id + "/" + incarnation
}

// wait blocks until the verdict of a queued request, or until ctx ends. An
// admission that comes together with the end of ctx is kept by the caller.
func (g *gate) wait(ctx context.Context, id uint64, ch chan waxadmit.Verdict) (waxadmit.Verdict, error) {
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		if g.abandon(id) {
			return waxadmit.Spill, ctx.Err()
		}
		select {
		case v := <-ch:
			return v, ctx.Err()
		default:
			return waxadmit.Spill, ctx.Err()
		}
	}
}
