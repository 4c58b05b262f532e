// Package waxowner admits requests to the backend servers that this instance owns
// and runs them there.
package waxowner

import (
	"context"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxadmit"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxplace"
)

// deadPeriod is how long a backend server that died gets no requests. A load report
// ends the period earlier.
const deadPeriod waxfleet.Millis = 3_000

// takeoverSettleWindow is how long after a takeover the backend server's own load
// report is taken into account: requests of a former owner that died keep running
// until the server notices.
const takeoverSettleWindow waxfleet.Millis = 5_000

// maxReportAge is the age of the last load report beyond which an instance that
// starts to admit again discards what it knew about the backend server: two polls
// and the timeout of one have passed, and the server may have restarted.
const maxReportAge waxfleet.Millis = 2*pollInterval + pollTimeout

// admission is the admission state of one backend server at this instance.
type admission struct {
	id      string
	service string
	limits  waxfleet.Limits

	mu         sync.Mutex
	server     waxfleet.BackendServer
	controller *waxadmit.Controller
	waiters    map[uint64]chan waxadmit.Verdict
	nextID     uint64
	leaving    bool
	deadUntil  waxfleet.Millis
	// reportedAt is when the last load report arrived, reportedInFlight the number of
	// requests in flight in it, and inFlightAtReport the number of those that this
	// instance had admitted.
	reportedAt       waxfleet.Millis
	reportedInFlight int
	inFlightAtReport int
	// retired is set once this state is no longer used for admission.
	retired bool
	// admitting is set while this instance has a share; admittingSince is when that
	// last changed.
	admitting      bool
	admittingSince waxfleet.Millis
	// running holds the requests that have a slot and have not ended.
	running map[*request]struct{}
}

func newAdmission(b waxfleet.BackendServer, limits waxfleet.Limits) *admission {
	return &admission{
		id:         b.ID(),
		service:    b.Service(),
		limits:     limits,
		server:     b,
		controller: waxadmit.NewController(limits),
		waiters:    map[uint64]chan waxadmit.Verdict{},
		running:    map[*request]struct{}{},
	}
}

// admissionInput is the state outside the admission that its decisions depend on.
type admissionInput struct {
	now   waxfleet.Millis
	share waxlease.Share
	// limit is the load limit of the service.
	limit int
	// external is the number of requests in flight that other instances have reported.
	external int
}

// maxInFlight returns the number of requests that may be in flight under the
// share.
func (in admissionInput) maxInFlight() int {
	reserve := waxplace.TakeoverReserve(in.limit)
	switch in.share {
	case waxlease.Full:
		return in.limit
	case waxlease.LessReserve:
		return in.limit - reserve
	case waxlease.Reserve:
		return reserve
	default:
		return 0
	}
}

// updateExternal sets the number of requests in flight that other instances have
// admitted. While requests of a former owner may still run, the server's own load
// report counts as well.
func (adm *admission) updateExternal(in admissionInput) {
	if admitting := in.share != waxlease.None; admitting != adm.admitting {
		adm.admitting, adm.admittingSince = admitting, in.now
		if admitting && in.now-adm.reportedAt > maxReportAge {
			adm.resetWindow()
		}
	}
	external := in.external
	if in.share == waxlease.Reserve || in.now-adm.admittingSince < takeoverSettleWindow {
		external = max(external, adm.reportedInFlight-adm.inFlightAtReport)
	}
	adm.controller.SetExternal(external)
}

// resetWindow discards the concurrency window that this instance last learned for
// the backend server.
func (adm *admission) resetWindow() {
	if adm.controller.InFlight() == 0 && adm.controller.Queued() == 0 {
		adm.controller = waxadmit.NewController(adm.limits)
		return
	}
	adm.controller.Window().RecordOutcome(waxadmit.Outcome{Overloaded: true})
}

// refusalCode returns why the backend server takes no new requests, or CodeOK.
func (adm *admission) refusalCode(in admissionInput) waxfleet.Code {
	switch {
	case in.share == waxlease.None, adm.retired:
		return waxfleet.CodeNotOwner
	case adm.leaving:
		return waxfleet.CodeBackendLeaving
	case in.now < adm.deadUntil:
		return waxfleet.CodeNoBackendServer
	default:
		return waxfleet.CodeOK
	}
}

// offer requests a slot. If the verdict is Wait, the channel delivers the final
// verdict later.
func (adm *admission) offer(req waxadmit.Request, in admissionInput) (waxadmit.Verdict, uint64, chan waxadmit.Verdict, waxfleet.Code) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	if code := adm.refusalCode(in); code != waxfleet.CodeOK {
		return waxadmit.Overflow, 0, nil, code
	}
	adm.updateExternal(in)
	adm.nextID++
	req = req.WithID(adm.nextID)
	verdict := adm.controller.Offer(req, in.now, in.maxInFlight())
	switch verdict {
	case waxadmit.Admit:
		return verdict, req.ID(), nil, waxfleet.CodeOK
	case waxadmit.Overflow:
		return verdict, req.ID(), nil, waxfleet.CodeOverloaded
	case waxadmit.Wait:
	}
	ch := make(chan waxadmit.Verdict, 1)
	adm.waiters[req.ID()] = ch
	return verdict, req.ID(), ch, waxfleet.CodeOK
}

// removeWaiter removes a queued request. It returns false if the request is no
// longer queued because its verdict was already decided.
func (adm *admission) removeWaiter(id uint64) bool {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	delete(adm.waiters, id)
	return adm.controller.Remove(id)
}

// recheck returns refusalCode right before dispatch, because ownership can end while
// a request waits.
func (adm *admission) recheck(in admissionInput) waxfleet.Code {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	return adm.refusalCode(in)
}

// cancel frees the slot of an admitted request that was never sent.
func (adm *admission) cancel(in admissionInput) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.controller.Cancel()
	adm.processQueue(in)
}

// end records the outcome of a request and frees its slot.
func (adm *admission) end(o waxadmit.Outcome, in admissionInput) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.controller.End(o, in.now)
	adm.processQueue(in)
}

// markDead marks the backend server as dead for deadPeriod and flushes its queue.
func (adm *admission) markDead(in admissionInput) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.deadUntil = in.now + deadPeriod
	adm.processQueue(in)
}

// applyReport records a load report.
func (adm *admission) applyReport(r waxfleet.LoadReport, in admissionInput) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.controller.Window().ApplyReport(r)
	adm.reportedAt = in.now
	adm.leaving = r.Leaving() || adm.server.State() == waxfleet.StateLeaving
	adm.reportedInFlight, adm.inFlightAtReport = r.InFlight(), adm.controller.InFlight()
	adm.deadUntil = 0
	adm.processQueue(in)
}

// tick expires and admits queued requests.
func (adm *admission) tick(in admissionInput) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.processQueue(in)
}

func (adm *admission) queued() int {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	return adm.controller.Queued()
}

func (adm *admission) currentServer() waxfleet.BackendServer {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	return adm.server
}

func (adm *admission) setServer(b waxfleet.BackendServer) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.server = b
	if b.State() == waxfleet.StateLeaving {
		adm.leaving = true
	}
}

// markUnlisted stops admission because the backend server is no longer on the
// instance list.
func (adm *admission) markUnlisted() {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.leaving = true
}

// retireIfIdle retires the admission state if no request is running or queued, and
// reports whether it did. A request that still holds a reference to a retired state
// is refused, because a newly created state would not count it.
func (adm *admission) retireIfIdle() bool {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.retired = adm.controller.InFlight() == 0 && adm.controller.Queued() == 0
	return adm.retired
}

// processQueue expires and admits queued requests, or flushes the queue if the
// backend server takes no new ones. The caller holds the lock.
func (adm *admission) processQueue(in admissionInput) {
	adm.updateExternal(in)
	if adm.refusalCode(in) != waxfleet.CodeOK {
		for _, req := range adm.controller.Flush() {
			adm.notify(req.ID(), waxadmit.Overflow)
		}
		return
	}
	for _, req := range adm.controller.Expire(in.now) {
		adm.notify(req.ID(), waxadmit.Overflow)
	}
	for _, req := range adm.controller.AdmitQueued(in.maxInFlight()) {
		adm.notify(req.ID(), waxadmit.Admit)
	}
}

func (adm *admission) notify(id uint64, v waxadmit.Verdict) {
	if ch, ok := adm.waiters[id]; ok {
		delete(adm.waiters, id)
		ch <- v
	}
}

// startExecution adds a request to the running ones and returns true, unless it is a
// suspect and another suspect is running. A running request can become a suspect
// later, when a backend server dies elsewhere.
func (adm *admission) startExecution(r *request, isSuspect func(r *request) bool) bool {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	if isSuspect(r) {
		for other := range adm.running {
			if isSuspect(other) {
				return false
			}
		}
	}
	adm.running[r] = struct{}{}
	return true
}

func (adm *admission) endExecution(r *request) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	delete(adm.running, r)
}

// incarnationKey identifies the incarnation of the backend server; it is empty until
// the first load report.
func (adm *admission) incarnationKey() string {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	incarnation := adm.controller.Window().Incarnation()
	if incarnation == "" {
		return ""
	}
	return adm.id + "/" + incarnation
}

// awaitVerdict blocks until a queued request has its verdict or ctx ends. It may
// return both Admit and an error; the caller must then cancel the admission.
func (adm *admission) awaitVerdict(ctx context.Context, id uint64, ch chan waxadmit.Verdict) (waxadmit.Verdict, error) {
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		if adm.removeWaiter(id) {
			return waxadmit.Overflow, ctx.Err()
		}
		select {
		case v := <-ch:
			return v, ctx.Err()
		default:
			return waxadmit.Overflow, ctx.Err()
		}
	}
}
