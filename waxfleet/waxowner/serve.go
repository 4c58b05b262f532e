package waxowner

import (
	"context"
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxadmit"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxwire"
)

// ReplyStream receives the replies to one request, in order.
type ReplyStream interface {
	Send(reply *waxwire.ServeReply) error
}

// resumeWindow is how long an engine continues a stream after its connection was
// closed, so that it can be resumed. docs/design.md specifies it for engines.
const resumeWindow waxfleet.Millis = 2_000

// claimUpdateTimeout bounds an update of a claim: storing a result, releasing or
// abandoning it.
const claimUpdateTimeout waxfleet.Millis = 2_000

// request is the state of one call of Serve.
type request struct {
	*waxwire.ServeRequest
	arrivedAt waxfleet.Millis
	excluded  map[string]bool
	service   waxfleet.Service
	// queueFull and waitTooLong say why the last offer was refused at once: because
	// of the length of the queue, or of the expected wait in it.
	queueFull   bool
	waitTooLong bool
	// admissionEnded is set if the last attempt at a backend server failed because this
	// instance stopped admitting requests to it before the wait was over.
	admissionEnded bool
}

func (r *request) deadline() waxfleet.Millis {
	return r.arrivedAt + waxfleet.Millis(r.GetDeadlineMs())
}

// Serve places, admits and runs one request. It sends a redirect, a refusal, or a
// head followed by body parts and an end. The returned error is that of replies.Send.
func (o *Owner) Serve(ctx context.Context, req *waxwire.ServeRequest, replies ReplyStream) error {
	r := &request{ServeRequest: req, arrivedAt: o.Clock.Now(), excluded: map[string]bool{}}
	for _, id := range req.GetExcluded() {
		r.excluded[id] = true
	}
	cfg := o.Config.Current()
	service, ok := cfg.Service(req.GetService())
	if !ok {
		return refuse(replies, waxfleet.NewError(waxfleet.CodeUnknownService, "service %q is not configured here", req.GetService()), false, "")
	}
	r.service = service
	if !cfg.DomainInService(o.Table.Self().FailureDomain()) {
		return refuse(replies, waxfleet.NewError(waxfleet.CodeDomainOut, "failure domain %s is out of service", o.Table.Self().FailureDomain()), true, "")
	}
	if s := req.GetSuspect(); s != nil {
		o.Suspects.Merge(req.GetRequestDigest(), int(s.GetDeaths()), int(s.GetCleared()), waxfleet.Millis(s.GetRemainingMs()))
	}
	if o.Suspects.Banned(req.GetRequestDigest()) {
		return refuse(replies, bannedError(), false, "")
	}
	if req.GetPlaced() {
		return o.servePlaced(ctx, r, waxplace.Choice{ID: req.GetBackendServer(), CacheExpected: req.GetPatienceMs() > 0, Reason: "placed"}, replies)
	}
	return o.placeAndServe(ctx, r, replies)
}

func bannedError() *waxfleet.Error {
	return waxfleet.NewError(waxfleet.CodeRequestBanned, "two backend servers died while they ran this request; it is refused for 10 minutes")
}

// placeAndServe places the chat, as the owner of its first choice, and serves the
// request or redirects the entry instance to the owner of the chosen backend server.
func (o *Owner) placeAndServe(ctx context.Context, r *request, replies ReplyStream) error {
	for {
		choice, first := o.choose(r)
		if choice.Reason == waxplace.ReasonNoServers {
			return refuse(replies, waxfleet.NewError(waxfleet.CodeNoBackendServer, "no backend server of %s accepts this request in %s", r.GetService(), o.Table.Self().FailureDomain()), true, "")
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
		overflow, err := o.tryServer(ctx, r, choice, replies)
		if !overflow || err != nil {
			return err
		}
		if choice.Reason == waxplace.ReasonFull {
			return o.refuseFinal(r, choice, replies)
		}
		r.excluded[choice.ID] = true
	}
}

// refuseFinal refuses a request that could not run at its last possible backend
// server. If the queue was flushed before the deadline, because the server died or
// ownership ended, the refusal is retryable: another slot may become free in time.
func (o *Owner) refuseFinal(r *request, choice waxplace.Choice, replies ReplyStream) error {
	switch {
	case r.admissionEnded:
		return refuse(replies, waxfleet.NewError(waxfleet.CodeNotOwner, "admission to backend server %s ended while the request waited", choice.ID), true, choice.ID)
	case o.Clock.Now() >= r.deadline():
		return refuse(replies, waxfleet.NewError(waxfleet.CodeDeadlineWouldPass, "no slot became free before the deadline"), false, "")
	case r.queueFull:
		return refuse(replies, waxfleet.NewError(waxfleet.CodeQueueFull, "the queue of backend server %s is full", choice.ID), false, choice.ID)
	case r.waitTooLong:
		return refuse(replies, waxfleet.NewError(waxfleet.CodeDeadlineWouldPass, "the expected wait for backend server %s exceeds the deadline", choice.ID), false, choice.ID)
	default:
		return refuse(replies, waxfleet.NewError(waxfleet.CodeOverloaded, "the queue of backend server %s was flushed", choice.ID), true, choice.ID)
	}
}

// choose ranks the eligible backend servers of this failure domain and chooses
// one. first is the chat's first choice in rendezvous order.
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
	exception, _ := o.exceptions.Server(r.GetChatKey())
	return waxplace.Choose(candidates, exception, r.excluded), first
}

// Eligible reports whether a backend server belongs to the service and failure
// domain, is live, and may serve the workspace and model.
func Eligible(cfg waxfleet.Config, b waxfleet.BackendServer, service, workspace, model, failureDomain string) bool {
	return b.Service() == service && b.FailureDomain() == failureDomain &&
		b.State() == waxfleet.StateLive && cfg.Allowed(workspace, model, b)
}

// candidate returns the load and bound of a backend server: exact if this instance
// owns it, otherwise as last reported by its owner. It returns false for leaving,
// dead and unknown servers.
func (o *Owner) candidate(id string) (waxplace.Candidate, bool) {
	if owner := o.Ownership.Owner(id); owner != o.Table.Self().ID() {
		s, ok := o.Table.ServerState(owner, id)
		if !ok || s.GetLeaving() || s.GetDead() {
			return waxplace.Candidate{}, false
		}
		load := int(s.GetInFlight() + s.GetQueued())
		return waxplace.Candidate{ID: id, Load: load, Capacity: min(int(s.GetLimit()), int(s.GetWindow()))}, true
	}
	adm, ok := o.admissionFor(id)
	if !ok {
		return waxplace.Candidate{}, false
	}
	in := o.admissionInput(adm)
	adm.mu.Lock()
	defer adm.mu.Unlock()
	if adm.refusalCode(in) != waxfleet.CodeOK {
		return waxplace.Candidate{}, false
	}
	adm.updateExternal(in)
	return waxplace.Candidate{ID: id, Load: adm.controller.Load() + adm.controller.Queued(), Capacity: adm.controller.Bound(in.maxInFlight())}, true
}

// servePlaced runs a request that was already placed at a backend server of this
// instance, and refuses it if there is no free slot.
func (o *Owner) servePlaced(ctx context.Context, r *request, choice waxplace.Choice, replies ReplyStream) error {
	overflow, err := o.tryServer(ctx, r, choice, replies)
	if !overflow || err != nil {
		return err
	}
	return refuse(replies, waxfleet.NewError(waxfleet.CodeOverloaded, "backend server %s has no free slot", choice.ID), true, choice.ID)
}

// tryServer admits and runs the request at one backend server. overflow means that it
// was not executed and no reply was sent, so that another server may be tried.
func (o *Owner) tryServer(ctx context.Context, r *request, choice waxplace.Choice, replies ReplyStream) (overflow bool, err error) {
	adm, ok := o.admissionFor(choice.ID)
	if !ok {
		return true, nil
	}
	admitted, err := o.admit(ctx, r, adm, choice)
	if err != nil {
		return false, refuseErr(replies, err, choice.ID)
	}
	if !admitted {
		return true, nil
	}
	return o.runAdmitted(ctx, r, adm, replies)
}

// admit waits for a slot; false means that the request should go to another server.
func (o *Owner) admit(ctx context.Context, r *request, adm *admission, choice waxplace.Choice) (bool, error) {
	now := o.Clock.Now()
	overflowAt := now
	switch {
	case choice.Reason == waxplace.ReasonFull:
		overflowAt = r.deadline()
	case choice.CacheExpected:
		overflowAt = min(now+waxfleet.Millis(r.GetPatienceMs()), r.deadline())
	}
	slotRequest := waxadmit.NewRequest(0, r.GetWorkspace(), r.GetShare(), int(r.GetPriority()), overflowAt, r.deadline())
	verdict, id, ch, code := adm.offer(slotRequest, o.admissionInput(adm))
	refused := verdict == waxadmit.Overflow && code == waxfleet.CodeOverloaded
	r.queueFull = refused && adm.queued() >= o.Config.Current().Limits().QueueLength()
	r.waitTooLong = refused && !r.queueFull
	queued := verdict == waxadmit.Wait
	if queued {
		o.Recorder.Record(r.GetRequestId(), "queue", "backend-server="+adm.id)
		var err error
		verdict, err = adm.awaitVerdict(ctx, id, ch)
		if err != nil {
			if verdict == waxadmit.Admit {
				adm.cancel(o.admissionInput(adm))
			}
			return false, waxfleet.WrapError(err, waxfleet.CodeCancelled, "the caller disconnected while the request was queued")
		}
	}
	waited := o.Clock.Now() - now
	blocked := code != waxfleet.CodeOK && code != waxfleet.CodeOverloaded
	r.admissionEnded = verdict == waxadmit.Overflow && (blocked || (queued && now+waited < overflowAt))
	o.Recorder.Record(r.GetRequestId(), verdict.String(), fmt.Sprintf("backend-server=%s waited-ms=%d code=%s", adm.id, waited, code.Name()))
	return verdict == waxadmit.Admit, nil
}

// runAdmitted runs a request that has a slot. It checks ownership once more, because
// ownership may have ended during the wait.
func (o *Owner) runAdmitted(ctx context.Context, r *request, adm *admission, replies ReplyStream) (overflow bool, err error) {
	if !adm.startExecution(r, o.isSuspect) {
		adm.cancel(o.admissionInput(adm))
		o.Recorder.Record(r.GetRequestId(), "not-sent", "a suspect may not run beside another")
		return true, nil
	}
	defer adm.endExecution(r)
	if code := adm.recheck(o.admissionInput(adm)); code != waxfleet.CodeOK {
		adm.cancel(o.admissionInput(adm))
		r.admissionEnded = true
		o.Recorder.Record(r.GetRequestId(), "not-sent", code.Name())
		return true, nil
	}
	if r.GetOnce() {
		return false, o.runOnce(ctx, r, adm, replies)
	}
	return false, o.runRepeatable(ctx, r, adm, replies)
}

func (o *Owner) newCall(r *request, adm *admission) waxfleet.Call {
	return waxfleet.Call{
		RequestID: r.GetRequestId(), Service: r.service, Server: adm.currentServer(), Method: r.GetMethod(), Path: r.GetPath(),
		ContentType: r.GetContentType(), Body: r.GetBody(), Stream: r.GetStream(), AtMostOnce: r.GetOnce(),
		ResumeFrom: r.GetResumeFrom(),
	}
}

// runRepeatable dispatches a request that may run more than once and streams the
// response.
func (o *Owner) runRepeatable(ctx context.Context, r *request, adm *admission, replies ReplyStream) error {
	sink := &forwardSink{replies: replies, server: adm.id}
	incarnation := adm.incarnationKey()
	res, err := o.Dispatcher.Do(ctx, o.newCall(r, adm), sink)
	o.recordOutcome(ctx, r, adm, res, err)
	if err != nil {
		return o.reportFailedExecution(ctx, r, adm, incarnation, res, err, replies)
	}
	return replies.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_End{End: &waxwire.End{Events: res.Events}}})
}

// recordOutcome frees the slot and records how the execution ended.
func (o *Owner) recordOutcome(ctx context.Context, r *request, adm *admission, res waxfleet.CallResult, err error) {
	cancelled := ctx.Err() != nil
	outcome := waxadmit.Outcome{
		OK: err == nil,
		Overloaded: res.Rejected || res.ServerDied ||
			(err != nil && !cancelled && waxfleet.CodeOf(err) == waxfleet.CodeNoBackendServer),
		TimeToFirstByte: res.TimeToFirstByte,
	}
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeBackendError, waxfleet.CodeStreamIncomplete, waxfleet.CodeAnswerMismatch:
		outcome.Failed = !cancelled
	}
	if cancelled && res.Sent && r.GetStream() && !res.Complete {
		o.endAfterResumeWindow(ctx, adm, outcome)
	} else {
		adm.end(outcome, o.admissionInput(adm))
	}
	if err == nil {
		o.Suspects.Clear(r.GetRequestDigest())
	}
	o.Recorder.Record(r.GetRequestId(), "ran", fmt.Sprintf("backend-server=%s whole=%t events=%d first-byte-ms=%d code=%s",
		adm.id, res.Complete, res.Events, res.TimeToFirstByte, waxfleet.CodeOf(err).Name()))
}

// endAfterResumeWindow keeps the slot of a cancelled stream for as long as the
// engine may continue the stream, waiting for a resume.
func (o *Owner) endAfterResumeWindow(ctx context.Context, adm *admission, outcome waxadmit.Outcome) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		_ = o.Clock.Sleep(ctx, resumeWindow)
		adm.end(outcome, o.admissionInput(adm))
	}()
}

// reportFailedExecution sends the refusal for a failed execution. If the backend server
// died, the request becomes a suspect, and other instances receive its suspect record
// before the entry instance can retry. incarnation is the server's incarnation key at
// dispatch.
func (o *Owner) reportFailedExecution(ctx context.Context, r *request, adm *admission, incarnation string, res waxfleet.CallResult, err error, replies ReplyStream) error {
	e := toError(err)
	if res.Sent && !res.Rejected {
		e = e.WithoutNotRun()
	}
	var suspect *waxwire.Suspect
	if res.ServerDied {
		adm.markDead(o.admissionInput(adm))
		deaths := o.Suspects.RecordDeath(r.GetRequestDigest(), incarnation)
		suspect = o.suspectRecord(r)
		o.Log.WarnContext(ctx, "backend server died while it ran a request",
			"backend-server", adm.id, "request-id", r.GetRequestId(), "deaths", deaths)
		spreadCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectSpreadTimeout.Duration())
		defer cancel()
		o.SpreadSuspect(spreadCtx, r.GetRequestDigest())
	}
	return replies.Send(&waxwire.ServeReply{Part: &waxwire.ServeReply_Refusal{Refusal: &waxwire.Refusal{
		Code: int32(e.Code()), Message: e.Message(), NotRun: e.NotRun(), Retryable: !r.GetOnce() || (e.NotRun() && !res.Sent),
		Died: res.ServerDied, BackendServer: adm.id, Events: res.Events, Suspect: suspect,
	}}})
}

// isSuspect reports whether the request must not run beside a suspect. That is the
// case if its digest is a suspect, or if the request itself was in flight when a
// backend server died and would be refused after the next death. The completion of a
// request with the same digest clears the first condition but not the second.
func (o *Owner) isSuspect(r *request) bool {
	return r.GetSuspect() != nil || o.Suspects.Suspected(r.GetRequestDigest())
}

// suspectRecord returns what is known about a request that was in flight when a
// backend server died, or nil.
func (o *Owner) suspectRecord(r *request) *waxwire.Suspect {
	record, ok := o.Suspects.Find(r.GetRequestDigest())
	if !ok {
		return nil
	}
	return &waxwire.Suspect{
		Digest: record.Digest(), Deaths: int32(record.Deaths()), Cleared: int32(record.Cleared()), RemainingMs: int64(record.Remaining()),
	}
}

// runOnce claims the request, dispatches it at most once, stores the result and then
// sends it. If the request ran before, it sends the stored result.
func (o *Owner) runOnce(ctx context.Context, r *request, adm *admission, replies ReplyStream) error {
	claim, err := o.beginClaim(ctx, r)
	if err != nil {
		adm.cancel(o.admissionInput(adm))
		o.Recorder.Record(r.GetRequestId(), "claim", waxfleet.CodeOf(err).Name())
		return refuseErr(replies, err, adm.id)
	}
	if !claim.Held() {
		adm.cancel(o.admissionInput(adm))
		o.Recorder.Record(r.GetRequestId(), "claim", "stored result of the first run")
		return sendResult(replies, claim, adm.id)
	}
	o.Recorder.Record(r.GetRequestId(), "claim", "held")
	if code := adm.recheck(o.admissionInput(adm)); code != waxfleet.CodeOK {
		adm.cancel(o.admissionInput(adm))
		o.releaseClaim(ctx, claim)
		return refuse(replies, waxfleet.NewError(waxfleet.CodeNotOwner, "admission ended before dispatch: %s", code.Name()), true, adm.id)
	}
	// The execution continues if the caller disconnects, because its outcome must be stored.
	executionCtx := context.WithoutCancel(ctx)
	sink := &bufferSink{}
	incarnation := adm.incarnationKey()
	res, err := o.Dispatcher.Do(executionCtx, o.newCall(r, adm), sink)
	o.recordOutcome(ctx, r, adm, res, err)
	if err != nil {
		if res.Sent {
			o.abandonClaim(ctx, claim)
		} else {
			o.releaseClaim(ctx, claim)
		}
		return o.reportFailedExecution(ctx, r, adm, incarnation, res, unknownOutcome(res, err), replies)
	}
	storeCtx, stop := context.WithTimeout(executionCtx, claimUpdateTimeout.Duration())
	defer stop()
	if err := o.Claims.Finish(storeCtx, claim, sink.status, sink.contentType, sink.body); err != nil {
		o.Log.ErrorContext(ctx, "could not store the result; retries will get outcome-unknown",
			"request-id", r.GetRequestId(), "error", err)
	}
	return sendResult(replies, waxfleet.NewStoredClaim(claim.Name(), sink.status, sink.contentType, sink.body), adm.id)
}

// beginClaim claims the request. A retry waits for the result of the first attempt, at
// most until its own deadline.
func (o *Owner) beginClaim(ctx context.Context, r *request) (waxfleet.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, (r.deadline() - o.Clock.Now()).Duration())
	defer cancel()
	return o.Claims.Begin(ctx, r.GetWorkspace(), r.GetIdempotencyKey(), r.GetRequestDigest())
}

// abandonClaim records that the claim will have no result, so that retries stop
// waiting.
func (o *Owner) abandonClaim(ctx context.Context, claim waxfleet.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimUpdateTimeout.Duration())
	defer cancel()
	if err := o.Claims.Abandon(ctx, claim); err != nil {
		o.Log.WarnContext(ctx, "could not mark the claim as abandoned; retries at other instances wait until their deadline", "error", err)
	}
}

// unknownOutcome returns CodeOutcomeUnknown for an error after the request was sent.
func unknownOutcome(res waxfleet.CallResult, err error) error {
	if !res.Sent {
		return err
	}
	return waxfleet.WrapError(err, waxfleet.CodeOutcomeUnknown, "the request was sent but its response did not arrive")
}

func (o *Owner) releaseClaim(ctx context.Context, claim waxfleet.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimUpdateTimeout.Duration())
	defer cancel()
	if err := o.Claims.Release(ctx, claim); err != nil {
		o.Log.WarnContext(ctx, "could not release the claim; retries will get outcome-unknown", "error", err)
	}
}
