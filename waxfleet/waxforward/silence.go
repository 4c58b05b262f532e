package waxforward

import (
	"context"
	"maps"
	"sync"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpick"
)

const (
	// eventGapFactor x the route's objective for the gap between events is the time without an
	// event after which a server counts as silent. Only complete events with a new id count: a
	// stalled server may go on sending comments or single bytes.
	eventGapFactor = 4
	// Callers abandon a stream after a pause of minCallerPatience, of patienceLatencyFactor x
	// the latency objective of the route or of patienceGapFactor x its objective for the gap
	// between events, whichever is longest.
	patienceLatencyFactor                 = 4
	patienceGapFactor                     = 8
	minCallerPatience     waxfleet.Millis = 2_000
	// patienceShare is the part of that pause for which a silent server that accepts
	// connections is awaited. The rest is for the server that takes over.
	patienceShare = 0.75
	// takeOverInterval is the interval between two looks for a server that may take over.
	takeOverInterval waxfleet.Millis = 100
)

// watchPhase says what a silenceWatch waits for.
type watchPhase int

const (
	phaseHeader watchPhase = iota
	phaseEvents
	// phaseOver means that the response has ended, or that another server has taken over.
	phaseOver
)

// silenceWatch watches a server that may be silent. A silence alone never ends an answer, since
// a sound server may be silent for a second or so and go on: the send is given up only for
// another server.
//
//   - Before the response header, that is once another server is selected and a retry is
//     reserved.
//   - Within a stream, the server is awaited until another one has continued the stream. That
//     one is asked if this one accepts no connections, or is silent for so long that the caller
//     would soon leave.
//
// Its methods may be called on nil.
type silenceWatch struct {
	f      *Forwarder
	ctx    context.Context
	req    *requestState
	state  *serverState
	giveUp context.CancelCauseFunc
	// gap is the time without an event after which the server counts as silent, and patience
	// that after which another server is asked in any case.
	gap, patience waxfleet.Millis

	// mu is held while the response and the state of the request are worked on, and free while
	// the server is awaited.
	mu    sync.Mutex
	phase watchPhase
	timer *time.Timer
	// heardAt is the time of the last event with a new id, or of the sending.
	heardAt waxfleet.Millis
	// paused is true while this instance, not the server, delays the response.
	paused bool
	// logged is true once the current silence was logged.
	logged bool
	// successor is the state in which the request goes to another server, or went to the last
	// one; nil before the first one.
	successor *requestState
	// given is true if the send was given up for the successor.
	given    bool
	takeOver *takeOver
}

// newSilenceWatch watches a send from its beginning, and sets the watch of the request. It returns
// nil if no other server may get the request. giveUp ends the send.
func newSilenceWatch(ctx context.Context, f *Forwarder, req *requestState, state *serverState, giveUp context.CancelCauseFunc) *silenceWatch {
	header, gap := f.headerTimeout(req), f.eventTimeout(req)
	if header <= 0 && gap <= 0 {
		return nil
	}
	w := &silenceWatch{
		f: f, ctx: ctx, req: req, state: state, giveUp: giveUp, gap: gap, heardAt: f.opts.Clock.Now(),
		patience: waxfleet.Millis(patienceShare * float64(max(
			minCallerPatience, patienceLatencyFactor*req.route.LatencyObjective(), patienceGapFactor*req.route.EventGapObjective()))),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	req.watch = w
	if header > 0 {
		w.timer = time.AfterFunc(header.Duration(), w.check)
	}
	return w
}

// lock takes the state of the request for the work on the response.
func (w *silenceWatch) lock() {
	if w != nil {
		w.mu.Lock()
	}
}

// unlock leaves the state of the request while the server is awaited.
func (w *silenceWatch) unlock() {
	if w != nil {
		w.mu.Unlock()
	}
}

// stop ends the watch. The caller holds the lock.
func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.phase = phaseOver
	if w.timer != nil {
		w.timer.Stop()
	}
}

// ended reports whether the send was given up for another server. The caller holds the lock.
func (w *silenceWatch) ended() bool { return w != nil && w.given }

// awaitEvents watches the gaps between events from now on. The caller holds the lock.
func (w *silenceWatch) awaitEvents() {
	if w == nil {
		return
	}
	w.stop()
	if w.gap > 0 {
		w.phase = phaseEvents
		w.heardAt = w.f.opts.Clock.Now()
		w.timer = time.AfterFunc(w.gap.Duration(), w.check)
	}
}

// recordEvent records an event with a new id. A server that was to take over is no longer
// needed then. The caller holds the lock.
func (w *silenceWatch) recordEvent() {
	if w == nil {
		return
	}
	if w.logged {
		w.f.opts.Log.Info("silent backend server goes on", "request", w.req.inbound.ID, "server", w.req.entry.Server().ID(),
			"silent-ms", int64(w.f.opts.Clock.Now()-w.heardAt), "taken-over", w.takeOver != nil)
	}
	w.heardAt, w.logged = w.f.opts.Clock.Now(), false
	if w.takeOver != nil {
		w.takeOver.cancel()
	}
}

// pause lets no server take over until resume is called, because this instance reads nothing.
func (w *silenceWatch) pause() {
	if w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.paused = true
	}
}

// resume ends a pause. The silence of the server begins anew.
func (w *silenceWatch) resume() {
	if w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.paused, w.heardAt = false, w.f.opts.Clock.Now()
	}
}

// check looks whether the server is silent, and for another one if it is.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.phase == phaseOver || w.ctx.Err() != nil {
		return
	}
	if w.phase == phaseHeader {
		if w.reserve() {
			w.given = true
			w.stop()
			w.giveUp(errServerTimeout)
			return
		}
		w.timer.Reset(takeOverInterval.Duration())
		return
	}
	if delay := w.checkEvents(); w.phase == phaseEvents {
		w.timer.Reset(delay.Duration())
	}
}

// checkEvents is check within a stream. It returns the time until the next look. The caller
// holds the lock.
func (w *silenceWatch) checkEvents() waxfleet.Millis {
	heardAt := w.heardAt
	silent := w.f.opts.Clock.Now() - heardAt
	switch {
	case w.paused:
		return w.gap
	case silent < w.gap:
		return w.gap - silent
	case w.takeOver != nil:
		return takeOverInterval
	}
	reachable := false
	if silent < w.patience {
		w.mu.Unlock()
		reachable = w.f.reachable(w.ctx, w.state)
		w.mu.Lock()
		if w.phase != phaseEvents || w.heardAt != heardAt || w.paused {
			return w.gap
		}
	}
	if !w.logged {
		w.logged = true
		w.f.opts.Log.Info("backend server is silent", "request", w.req.inbound.ID, "server", w.req.entry.Server().ID(),
			"silent-ms", int64(silent), "reachable", reachable, "patience-ms", int64(w.patience), "last-event", w.req.lastEvent())
	}
	if reachable {
		return max(min(w.gap, w.patience-silent), 1)
	}
	if w.reserve() {
		w.takeOver = newTakeOver(w, silent)
	}
	return takeOverInterval
}

// reserve selects another server for the request and takes a retry. It reports false if there
// is none, or no retry is left. The caller holds the lock.
func (w *silenceWatch) reserve() bool {
	next := w.successor
	if next == nil {
		next = w.req.newSuccessor()
	}
	next.resumeAfter = w.req.response.lastEventID
	if !w.f.reserveRetry(next) {
		return false
	}
	w.successor = next
	return true
}

// end ends the watch when the send has ended, and decides whether the server that was to take
// over does. The caller holds the lock.
func (w *silenceWatch) end(res result) {
	w.stop()
	if w == nil || w.takeOver == nil {
		return
	}
	if res == resultComplete || res == resultCallerDisconnected {
		w.takeOver.cancel()
		return
	}
	w.takeOver.decide()
}

// settle returns the state of the request and the result with which it goes on after its send
// has ended: those of the server that has taken over, if any.
func (w *silenceWatch) settle(req *requestState, res result, err error) (next *requestState, _ result, _ error) {
	if w == nil {
		return req, res, err
	}
	w.mu.Lock()
	t, successor, given := w.takeOver, w.successor, w.given
	w.mu.Unlock()
	switch {
	case given && t == nil:
		return successor, res, err
	case t != nil && t.decide():
		<-t.done
		return t.req, t.res, t.err
	case t != nil:
		req.sends, req.runs = req.sends+1, req.runs+1 // it was cancelled, and may have run
	case successor != nil:
		req.sends, req.runs, req.triedServers = successor.sends, successor.runs, successor.triedServers
	}
	return req, res, err
}

// takeOver is the continuation of a stream at another server while the first one is silent.
type takeOver struct {
	w   *silenceWatch
	req *requestState
	// silent is the time for which the first server had been silent.
	silent waxfleet.Millis
	stop   context.CancelFunc
	// done is closed at the end; res and err are set then.
	done chan struct{}
	res  result
	err  error

	mu sync.Mutex
	// decided is true once it is decided whether the other server takes over, and won if it
	// does.
	decided, won bool
}

// newTakeOver sends the reserved successor of a request. The caller holds the lock of w.
func newTakeOver(w *silenceWatch, silent waxfleet.Millis) *takeOver {
	ctx, stop := context.WithCancel(w.ctx)
	t := &takeOver{w: w, req: w.successor, silent: silent, stop: stop, done: make(chan struct{})}
	t.req.takeOver = t
	go func() {
		defer stop()
		defer close(t.done)
		t.res, t.err = w.f.continueElsewhere(ctx, t.req)
		t.finish()
	}()
	return t
}

// cancel ends the attempt to take over, unless the other server has continued the stream.
func (t *takeOver) cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.decided {
		t.decided = true
		t.stop()
	}
}

// decide lets the other server take over, unless the attempt was cancelled or has failed. It
// reports whether that server takes over.
func (t *takeOver) decide() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.won = t.won || !t.decided
	t.decided = true
	return t.won
}

// win is called before the first event of the other server goes to the caller. It reports
// whether that server takes over; the first one then no longer writes.
func (t *takeOver) win() bool {
	w := t.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.decide() {
		return false
	}
	w.stop()
	w.given = true
	w.giveUp(errServerTimeout)
	w.f.opts.Log.Info("stream taken over from a silent backend server", "request", t.req.inbound.ID,
		"server", w.req.entry.Server().ID(), "by", t.req.entry.Server().ID(), "peer", t.req.peer,
		"after-event", t.req.resumeAfter, "silent-ms", int64(t.silent))
	return true
}

// finish ends an attempt. If it has failed while the first server is awaited, another one may
// follow.
func (t *takeOver) finish() {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.won {
		return
	}
	attrs := []any{"request", t.req.inbound.ID, "server", t.req.entry.Server().ID(), "cancelled", t.decided, "result", t.res.String()}
	if t.err != nil {
		attrs = append(attrs, "error", t.err.Error())
	}
	t.w.f.opts.Log.Info("stream not taken over", attrs...)
	t.decided = true
	t.w.takeOver = nil
}

// newSuccessor returns the state in which the request may go to another server. The caller
// holds the lock of the watch of the request.
func (req *requestState) newSuccessor() *requestState {
	next := *req
	next.triedServers = maps.Clone(req.triedServers)
	next.watch, next.takeOver = nil, nil
	return &next
}

// lastEvent returns the id of the last event that the caller has got, after which the request
// goes on; -1 if it has got none. While a server may take over, the first one may still write.
func (req *requestState) lastEvent() int64 {
	if req.takeOver != nil {
		return req.resumeAfter
	}
	return req.response.lastEventID
}

// reservation is a server that is selected for the next send of a request.
type reservation struct {
	state  *serverState
	choice waxpick.Choice
}

// reserveRetry selects a server for a retry of the request, and takes a token of the retry
// budget. It reports false, and takes nothing, if there is no server, or no retry is left.
// While this instance is cut off from all servers, the retry is one at another instance.
func (f *Forwarder) reserveRetry(req *requestState) bool {
	req.retryReserved, req.reservation = false, nil
	if !f.allowsRetry(req, resultMayHaveRun) || f.recheckKey(req) != nil {
		return false
	}
	if !f.sendsToPeers(req) {
		dry := *req
		if _, choice := f.decideOnCopies(&dry); !choice.Found() {
			return false
		}
	}
	if f.checkBan(req) != nil || !f.takeRetryToken(req) {
		return false
	}
	if !f.sendsToPeers(req) {
		state, choice := f.selectAtVersion(req)
		if state == nil {
			return false
		}
		req.reservation = &reservation{state: state, choice: choice}
	}
	req.retryReserved = true
	return true
}

// takeReservation returns the server that is reserved for the next send, if any, and reports
// whether a retry is.
func (req *requestState) takeReservation() (r *reservation, retry bool) {
	r, retry = req.reservation, req.retryReserved
	req.reservation, req.retryReserved = nil, false
	return r, retry
}

// continueElsewhere sends the reserved retry of a request.
func (f *Forwarder) continueElsewhere(ctx context.Context, req *requestState) (result, error) {
	for {
		r, _ := req.takeReservation()
		if r == nil {
			handled, err := f.forwardToPeers(ctx, req)
			switch {
			case !handled:
				return resultNotSent, waxfleet.NewError(waxfleet.CodeNoBackendServer, "no other instance continues the stream")
			case err != nil:
				return resultPeerFailure, err
			}
			return resultComplete, nil
		}
		if res, err := f.attempt(ctx, req, r.state, r.choice); !req.retryReserved {
			return res, err
		}
	}
}
