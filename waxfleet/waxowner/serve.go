package waxowner

import (
	"context"
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxadmit"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxwire"
)

// Replies receives the answer to one request, in order.
type Replies interface {
	Send(reply *waxwire.ServeReply) error
}

// cancelLinger is how long an engine runs a stream on after its connection was
// closed, waiting for a resume. docs/design.md names it for engines.
const cancelLinger waxfleet.Millis = 2_000

// resultTimeout bounds the storing of a result before the caller gets it.
const resultTimeout waxfleet.Millis = 2_000

// request is one run of Serve.
type request struct {
	*waxwire.ServeRequest
	arrived  waxfleet.Millis
	excluded map[string]bool
	service  waxfleet.Service
	// queueFull and tooLate tell why the last offer was refused at once: for the
	// length of the queue, or for the expected wait in it.
	queueFull bool
	tooLate   bool
	// sentAway says that the last try at a backend server failed because admission
	// there ended, before the wait was over.
	sentAway bool
}

func (r *request) deadline() waxfleet.Millis {
	return r.arrived + waxfleet.Millis(r.GetDeadlineMs())
}

// Serve places, admits and runs one request. It sends a redirect, a refusal, or
// a head with body parts and an end. The error is that of the reply stream.
func (o *Owner) Serve(ctx context.Context, req *waxwire.ServeRequest, replies Replies) error {
	r := &request{ServeRequest: req, arrived: o.Clock.Now(), excluded: map[string]bool{}}
	for _, id := range req.GetExcluded() {
		r.excluded[id] = true
	}
	cfg := o.Config.Current()
	service, ok := cfg.Service(req.GetService())
	if !ok {
		return refuse(replies, waxfleet.NewError(waxfleet.CodeUnknownService, "service %q is not configured here", req.GetService()), false, "")
	}
	r.service = service
	if !cfg.DomainIn(o.Table.Self().FailureDomain()) {
		return refuse(replies, waxfleet.NewError(waxfleet.CodeDomainOut, "failure domain %s is out of service", o.Table.Self().FailureDomain()), true, "")
	}
	if s := req.GetSuspect(); s != nil {
		o.Suspects.Merge(req.GetRequestDigest(), int(s.GetDeaths()), int(s.GetCleared()), waxfleet.Millis(s.GetRemainingMs()))
	}
	if o.Suspects.Banned(req.GetRequestDigest()) {
		return refuse(replies, bannedError(), false, "")
	}
	if req.GetPlaced() {
		return o.serveAt(ctx, r, waxplace.Choice{ID: req.GetBackendServer(), Holder: req.GetPatienceMs() > 0, Reason: "placed"}, replies)
	}
	return o.serveHome(ctx, r, replies)
}

func bannedError() *waxfleet.Error {
	return waxfleet.NewError(waxfleet.CodeRequestBanned, "two backend servers died while they ran this request; it is refused for 10 minutes")
}

// serveHome decides where the chat goes, as owner of its first choice.
func (o *Owner) serveHome(ctx context.Context, r *request, replies Replies) error {
	for {
		choice, first := o.choose(r)
		if choice.Reason == waxplace.ReasonNoServers {
			return refuse(replies, waxfleet.NewError(waxfleet.CodeNoBackendServer, "no backend server of %s takes this work in %s", r.GetService(), o.Table.Self().FailureDomain()), true, "")
		}
		if choice.Reason == waxplace.ReasonFull && !r.GetFinal() {
			return refuse(replies, waxfleet.NewError(waxfleet.CodeOverloaded, "all backend servers of %s are full in %s", r.GetService(), o.Table.Self().FailureDomain()), true, "")
		}
		o.Recorder.Record(r.GetRequestId(), "place", fmt.Sprintf("backend-server=%s reason=%s", choice.ID, choice.Reason))
		if choice.Reason != waxplace.ReasonFull {
			o.exceptions.Set(r.GetChatKey(), choice.ID, first)
		}
		if o.Ownership.Owner(choice.ID) != o.Table.Self().ID() {
			return redirect(replies, choice.ID, choice.Reason)
		}
		spilled, err := o.tryAt(ctx, r, choice, replies)
		if !spilled || err != nil {
			return err
		}
		if choice.Reason == waxplace.ReasonFull {
			return o.refuseLast(r, choice, replies)
		}
		r.excluded[choice.ID] = true
	}
}

// refuseLast refuses a request that has queued at the last possible place. Before
// the deadline, the queue was sent away because the backend server died or the
// right to admit ended, and another place may come free in time.
func (o *Owner) refuseLast(r *request, choice waxplace.Choice, replies Replies) error {
	switch {
	case r.sentAway:
		return refuse(replies, waxfleet.NewError(waxfleet.CodeNotOwner, "admission to backend server %s ended while the request waited", choice.ID), true, choice.ID)
	case o.Clock.Now() >= r.deadline():
		return refuse(replies, waxfleet.NewError(waxfleet.CodeDeadlineWouldPass, "no place came free before the deadline"), false, "")
	case r.queueFull:
		return refuse(replies, waxfleet.NewError(waxfleet.CodeQueueFull, "the queue of backend server %s is full", choice.ID), false, choice.ID)
	case r.tooLate:
		return refuse(replies, waxfleet.NewError(waxfleet.CodeDeadlineWouldPass, "the wait for backend server %s would pass the deadline", choice.ID), false, choice.ID)
	default:
		return refuse(replies, waxfleet.NewError(waxfleet.CodeOverloaded, "backend server %s sent its queue away", choice.ID), true, choice.ID)
	}
}

// choose ranks the eligible backend servers of this failure domain and picks
// one. first is the chat's first rendezvous choice.
func (o *Owner) choose(r *request) (choice waxplace.Choice, first string) {
	cfg := o.Config.Current()
	var ids []string
	for _, b := range o.Table.Servers() {
		if Eligible(cfg, b, r.GetService(), r.GetWorkspace(), r.GetModel(), o.Table.Self().FailureDomain()) {
			ids = append(ids, b.ID())
		}
	}
	ranked := waxplace.Rank(r.GetChatKey(), ids)
	candidates := make([]waxplace.Candidate, 0, len(ranked))
	for _, id := range ranked {
		if c, ok := o.candidate(id); ok {
			candidates = append(candidates, c)
		}
	}
	if len(ranked) > 0 {
		first = ranked[0]
	}
	holder, _ := o.exceptions.Holder(r.GetChatKey())
	return waxplace.Choose(candidates, holder, r.excluded), first
}

// Eligible reports whether a backend server of the failure domain may serve the
// work.
func Eligible(cfg waxfleet.Config, b waxfleet.BackendServer, service, workspace, model, failureDomain string) bool {
	return b.Service() == service && b.FailureDomain() == failureDomain &&
		b.State() == waxfleet.StateLive && cfg.Allowed(workspace, model, b)
}

// candidate returns the state of a backend server, exact for own ones and as
// last reported for others. Leaving and dead ones are no candidates.
func (o *Owner) candidate(id string) (waxplace.Candidate, bool) {
	if owner := o.Ownership.Owner(id); owner != o.Table.Self().ID() {
		s, ok := o.Table.ServerAt(owner, id)
		if !ok || s.GetLeaving() || s.GetDead() {
			return waxplace.Candidate{}, false
		}
		load := int(s.GetInFlight() + s.GetQueued())
		return waxplace.Candidate{ID: id, Load: load, Bound: min(int(s.GetLimit()), int(s.GetWindow()))}, true
	}
	g, ok := o.gateOf(id)
	if !ok {
		return waxplace.Candidate{}, false
	}
	c := o.condition(g)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blocked(c) != waxfleet.CodeOK {
		return waxplace.Candidate{}, false
	}
	g.refresh(c)
	return waxplace.Candidate{ID: id, Load: g.admit.Load() + g.admit.Queued(), Bound: g.admit.Bound(c.bound())}, true
}

// serveAt runs a request that was placed here, and refuses it when there is no
// place.
func (o *Owner) serveAt(ctx context.Context, r *request, choice waxplace.Choice, replies Replies) error {
	spilled, err := o.tryAt(ctx, r, choice, replies)
	if !spilled || err != nil {
		return err
	}
	return refuse(replies, waxfleet.NewError(waxfleet.CodeOverloaded, "backend server %s has no place", choice.ID), true, choice.ID)
}

// tryAt admits and runs the request at one backend server. spilled means that it
// did not run and nothing was sent to the entry yet.
func (o *Owner) tryAt(ctx context.Context, r *request, choice waxplace.Choice, replies Replies) (spilled bool, err error) {
	g, ok := o.gateOf(choice.ID)
	if !ok {
		return true, nil
	}
	admitted, err := o.admit(ctx, r, g, choice)
	if err != nil {
		return false, refuseErr(replies, err, choice.ID)
	}
	if !admitted {
		return true, nil
	}
	return o.runAdmitted(ctx, r, g, replies)
}

// admit waits for a place; false means that the request should go elsewhere.
func (o *Owner) admit(ctx context.Context, r *request, g *gate, choice waxplace.Choice) (bool, error) {
	now := o.Clock.Now()
	spillAt := now
	switch {
	case choice.Reason == waxplace.ReasonFull:
		spillAt = r.deadline()
	case choice.Holder:
		spillAt = min(now+waxfleet.Millis(r.GetPatienceMs()), r.deadline())
	}
	ticket := waxadmit.NewTicket(0, r.GetWorkspace(), r.GetShare(), int(r.GetPriority()), spillAt, r.deadline())
	verdict, id, ch, code := g.offer(ticket, o.condition(g))
	refused := verdict == waxadmit.Spill && code == waxfleet.CodeOverloaded
	r.queueFull = refused && g.queued() >= o.Config.Current().Limits().QueueLength()
	r.tooLate = refused && !r.queueFull
	queued := verdict == waxadmit.Wait
	if queued {
		o.Recorder.Record(r.GetRequestId(), "queue", "backend-server="+g.id)
		var err error
		verdict, err = g.wait(ctx, id, ch)
		if err != nil {
			if verdict == waxadmit.Admit {
				g.cancel(o.condition(g))
			}
			return false, waxfleet.WrapError(err, waxfleet.CodeCancelled, "the caller went away while the request waited")
		}
	}
	waited := o.Clock.Now() - now
	blocked := code != waxfleet.CodeOK && code != waxfleet.CodeOverloaded
	r.sentAway = verdict == waxadmit.Spill && (blocked || (queued && now+waited < spillAt))
	o.Recorder.Record(r.GetRequestId(), verdict.String(), fmt.Sprintf("backend-server=%s waited-ms=%d code=%s", g.id, waited, code.Name()))
	return verdict == waxadmit.Admit, nil
}

// runAdmitted runs a request that has a place. The right to admit is checked
// once more, because it may have ended during the wait.
func (o *Owner) runAdmitted(ctx context.Context, r *request, g *gate, replies Replies) (spilled bool, err error) {
	if !g.enter(r, o.suspected) {
		g.cancel(o.condition(g))
		o.Recorder.Record(r.GetRequestId(), "not-sent", "a suspect may not run beside another")
		return true, nil
	}
	defer g.leave(r)
	if code := g.confirm(o.condition(g)); code != waxfleet.CodeOK {
		g.cancel(o.condition(g))
		r.sentAway = true
		o.Recorder.Record(r.GetRequestId(), "not-sent", code.Name())
		return true, nil
	}
	if r.GetOnce() {
		return false, o.runOnce(ctx, r, g, replies)
	}
	return false, o.runRepeatable(ctx, r, g, replies)
}

func (o *Owner) call(r *request, g *gate) waxfleet.Call {
	return waxfleet.Call{
		RequestID: r.GetRequestId(), Service: r.service, Server: g.backend(), Method: r.GetMethod(), Path: r.GetPath(),
		ContentType: r.GetContentType(), Body: r.GetBody(), Stream: r.GetStream(), Once: r.GetOnce(),
		ResumeFrom: r.GetResumeFrom(),
	}
}

// runRepeatable dispatches a request that may be repeated and streams its answer.
func (o *Owner) runRepeatable(ctx context.Context, r *request, g *gate, replies Replies) error {
	sink := &forwardSink{replies: replies, server: g.id}
	life := g.life()
	res, err := o.Dispatcher.Do(ctx, o.call(r, g), sink)
	o.finish(ctx, r, g, res, err)
	if err != nil {
		return o.refuseRun(ctx, r, g, life, res, err, replies)
	}
	return replies.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_End{End: &waxwire.End{Events: res.Events}}})
}

// finish returns the place and records how the run ended.
func (o *Owner) finish(ctx context.Context, r *request, g *gate, res waxfleet.CallResult, err error) {
	gone := ctx.Err() != nil
	outcome := waxadmit.Outcome{
		OK: err == nil, Overloaded: res.Busy || res.Died || (err != nil && !gone && waxfleet.CodeOf(err) == waxfleet.CodeNoBackendServer),
		FirstByte: res.FirstByte,
	}
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeBackendError, waxfleet.CodeStreamIncomplete, waxfleet.CodeAnswerMismatch:
		outcome.Failed = !gone
	}
	if gone && res.Sent && r.GetStream() && !res.Whole {
		o.endLater(ctx, g, outcome)
	} else {
		g.end(outcome, o.condition(g))
	}
	if err == nil {
		o.Suspects.Clear(r.GetRequestDigest())
	}
	o.Recorder.Record(r.GetRequestId(), "ran", fmt.Sprintf("backend-server=%s whole=%t events=%d first-byte-ms=%d code=%s",
		g.id, res.Whole, res.Events, res.FirstByte, waxfleet.CodeOf(err).Name()))
}

// endLater keeps the place of a cancelled stream as long as the engine may run it
// on, in case that it is resumed.
func (o *Owner) endLater(ctx context.Context, g *gate, outcome waxadmit.Outcome) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		_ = o.Clock.Sleep(ctx, cancelLinger)
		g.end(outcome, o.condition(g))
	}()
}

// refuseRun reports a run that failed. A backend server that died makes the
// request a suspect; other instances learn it before anyone can retry. life is
// that of the backend server at the dispatch.
func (o *Owner) refuseRun(ctx context.Context, r *request, g *gate, life string, res waxfleet.CallResult, err error, replies Replies) error {
	e := asError(err)
	if res.Sent && !res.Busy {
		e = e.MaybeRun()
	}
	var suspect *waxwire.Suspect
	if res.Died {
		g.died(o.condition(g))
		deaths := o.Suspects.Died(r.GetRequestDigest(), life)
		suspect = o.suspect(r)
		o.Log.WarnContext(ctx, "backend server died while it ran a request", "backend-server", g.id, "request-id", r.GetRequestId(), "deaths", deaths)
		spreadCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout.Duration())
		defer cancel()
		o.Spread(spreadCtx, r.GetRequestDigest())
	}
	return replies.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_Refusal{Refusal: &waxwire.Refusal{
		Code: int32(e.Code()), Message: e.Message(), NotRun: e.NotRun(), Retryable: !r.GetOnce() || (e.NotRun() && !res.Sent),
		Died: res.Died, BackendServer: g.id, Events: res.Events, Suspect: suspect,
	}}})
}

// suspected reports whether the request may not run beside a suspect: it is one,
// or it has met a death and would end with the next. The completion of a request
// with the same digest clears the first but not the second.
func (o *Owner) suspected(r *request) bool {
	return r.GetSuspect() != nil || o.Suspects.Suspect(r.GetRequestDigest())
}

// suspect returns what is known of a request that was in flight at a death.
func (o *Owner) suspect(r *request) *waxwire.Suspect {
	record, ok := o.Suspects.Find(r.GetRequestDigest())
	if !ok {
		return nil
	}
	return &waxwire.Suspect{
		Digest: record.Digest(), Deaths: int32(record.Deaths()), Cleared: int32(record.Cleared()), RemainingMs: int64(record.Remaining()),
	}
}

// runOnce claims the request, dispatches it at most once, stores the result and
// then answers.
func (o *Owner) runOnce(ctx context.Context, r *request, g *gate, replies Replies) error {
	claim, err := o.begin(ctx, r)
	if err != nil {
		g.cancel(o.condition(g))
		o.Recorder.Record(r.GetRequestId(), "claim", waxfleet.CodeOf(err).Name())
		return refuseErr(replies, err, g.id)
	}
	if !claim.Held() {
		g.cancel(o.condition(g))
		o.Recorder.Record(r.GetRequestId(), "claim", "stored result of the first run")
		return sendResult(replies, claim, g.id)
	}
	o.Recorder.Record(r.GetRequestId(), "claim", "held")
	if code := g.confirm(o.condition(g)); code != waxfleet.CodeOK {
		g.cancel(o.condition(g))
		o.release(ctx, claim)
		return refuse(replies, waxfleet.NewError(waxfleet.CodeNotOwner, "the right to admit ended before dispatch: %s", code.Name()), true, g.id)
	}
	// The run goes on when the caller goes away: its outcome must be stored.
	runCtx := context.WithoutCancel(ctx)
	sink := &bufferSink{}
	life := g.life()
	res, err := o.Dispatcher.Do(runCtx, o.call(r, g), sink)
	o.finish(ctx, r, g, res, err)
	if err != nil {
		if res.Sent {
			o.abandon(ctx, claim)
		} else {
			o.release(ctx, claim)
		}
		return o.refuseRun(ctx, r, g, life, res, onceError(res, err), replies)
	}
	storeCtx, stop := context.WithTimeout(runCtx, resultTimeout.Duration())
	defer stop()
	if err := o.Claims.Finish(storeCtx, claim, sink.status, sink.contentType, sink.body); err != nil {
		o.Log.ErrorContext(ctx, "result could not be stored; a repeat will get outcome-unknown", "request-id", r.GetRequestId(), "error", err)
	}
	return sendResult(replies, waxfleet.NewStoredClaim(claim.Name(), sink.status, sink.contentType, sink.body), g.id)
}

// begin claims the request. A repeat waits for the result of the first call no
// longer than its deadline.
func (o *Owner) begin(ctx context.Context, r *request) (waxfleet.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, (r.deadline() - o.Clock.Now()).Duration())
	defer cancel()
	return o.Claims.Begin(ctx, r.GetWorkspace(), r.GetIdempotencyKey(), r.GetRequestDigest())
}

// abandon tells the repeats of a request that no result will come.
func (o *Owner) abandon(ctx context.Context, claim waxfleet.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resultTimeout.Duration())
	defer cancel()
	if err := o.Claims.Abandon(ctx, claim); err != nil {
		o.Log.WarnContext(ctx, "claim could not be marked as abandoned; repeats elsewhere wait for their deadline", "error", err)
	}
}

// onceError reports the loss of an answer after sending as an unknown outcome.
func onceError(res waxfleet.CallResult, err error) error {
	if !res.Sent {
		return err
	}
	return waxfleet.WrapError(err, waxfleet.CodeOutcomeUnknown, "the call was sent and its answer did not arrive")
}

func (o *Owner) release(ctx context.Context, claim waxfleet.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resultTimeout.Duration())
	defer cancel()
	if err := o.Claims.Release(ctx, claim); err != nil {
		o.Log.WarnContext(ctx, "claim could not be released; repeats will get outcome-unknown", "error", err)
	}
}
