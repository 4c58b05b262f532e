package waxforward

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxrollout"
	"waxwingdrift.org/waxfleet/waxshed"
)

// maxTimedUncached is the number of shared prompt tokens that a server has to read up to
// which its time to the first event is compared with that of others. Servers of a new version
// have read none of the shared parts yet; up to this number it takes a few milliseconds.
const maxTimedUncached = 256

// Rollout is what an instance knows of the rollout of a service when it selects a server. It
// does not change, but for the counts behind its pointers.
type Rollout struct {
	Split  waxrollout.Split
	Budget *waxrollout.Budget
	Ledger *waxrollout.Ledger
	Hold   *waxrollout.Hold
	// Closed is true if the new version gets nothing any more, not even streams that began
	// there: it was found bad, or is suspected to be.
	Closed bool
}

// requestRollout is the state of a request during the rollout of its service.
type requestRollout struct {
	current *Rollout
	counted bool
	// toNew is true while the request goes to the new version; charged is the budget that it
	// was taken from, if any. tried is true once it was sent there.
	toNew   bool
	charged *waxrollout.Budget
	tried   bool
	// outcome describes the last send. begun is true once its first event has counted as an
	// answer, and judged once its end has counted. status is the status of the response, or 0.
	outcome       waxrollout.Outcome
	begun, judged bool
	status        int
}

// selectAtVersion selects a server like selectServer, at a version that the rollout of the
// service allows for the request.
func (f *Forwarder) selectAtVersion(req *requestState) (*serverState, waxpick.Choice) {
	if f.opts.Rollout == nil {
		return f.selectServer(req)
	}
	r := &req.rollout
	r.current = f.opts.Rollout(req.service)
	if r.current == nil {
		return f.selectServer(req)
	}
	r.choose(req.inbound.ID, req.pinned)
	state, choice := f.selectServer(req)
	if state == nil && r.toNew && !req.pinned {
		// The servers of the new version have no room. A rejection because of them is decided
		// anew for those of the old one.
		r.toNew = false
		req.decided, req.decision = false, waxshed.Decision{}
		state, choice = f.selectServer(req)
	}
	r.settle(req.entry.SoftwareVersion(), state != nil)
	if state == nil {
		return nil, choice
	}
	r.status, r.begun, r.judged = 0, false, false
	r.outcome = waxrollout.Outcome{
		Version: req.entry.SoftwareVersion(), Route: req.route.Name(), Cold: f.cold(req),
		Untimed: req.prefillTokens-max(0, req.inbound.PromptTokens-req.promptKey.SharedTokens()) > maxTimedUncached,
		Server:  xxhash.Sum64String(req.entry.Server().ID() + "/" + strconv.FormatInt(req.entry.StartUnixMilli(), 10)),
	}
	if r.current.Ledger != nil {
		r.current.Ledger.Sent(r.outcome.Version, r.outcome.Route)
	}
	return state, choice
}

// cold reports whether the server of the request is cold.
func (f *Forwarder) cold(req *requestState) bool {
	now := f.opts.Clock.Now()
	for _, s := range f.opts.Directory.Servers(req.service) {
		if s.ID() == req.entry.Server().ID() {
			return s.Cold(now)
		}
	}
	return false
}

// choose decides whether the request goes to the new version.
func (r *requestRollout) choose(id string, pinned bool) {
	if r.current.Budget != nil && !r.counted {
		r.counted = true
		r.current.Budget.Count()
	}
	split := r.current.Split
	r.toNew = !pinned && !r.tried && split.ToNew(id)
	if !r.toNew || r.charged != nil {
		return
	}
	if r.current.Budget == nil || !r.current.Budget.Take(split.Enforced()) {
		r.toNew = false
		return
	}
	r.charged = r.current.Budget
}

// settle gives back what was taken from the budget if the request was not placed at the new
// version, and counts a request that was placed there for another reason, such as a stream
// that began there.
func (r *requestRollout) settle(version string, placed bool) {
	atNew := placed && version == r.current.Split.To() && r.current.Split.To() != ""
	switch {
	case atNew:
		r.tried = true
		if r.charged == nil && r.current.Budget != nil {
			r.current.Budget.Take(false)
		}
		r.charged = nil
	case r.charged != nil:
		r.charged.Return()
		r.charged = nil
	}
}

// excludes reports whether the rollout keeps the request from servers of a version. A stream
// that was begun goes on at its version, unless that is closed.
func (r *requestRollout) excludes(version string, pinned bool) bool {
	switch {
	case r.current == nil:
		return false
	case r.current.Closed && version == r.current.Split.To():
		return true
	case pinned:
		return false
	}
	return r.current.Split.Excludes(version, r.toNew)
}

// recordFirstEvent counts a stream as answered at its first event: its end may be many seconds
// away, and a slow version has to be found earlier.
func (r *requestRollout) recordFirstEvent(after waxfleet.Millis) {
	r.outcome.Time = after
	r.observer()(waxrollout.ResultAnswered)
	r.begun = true
}

// observer returns a function that counts the outcome of the last send, unless that has counted.
func (r *requestRollout) observer() func(waxrollout.Result) {
	if r.judged || r.current == nil || r.current.Ledger == nil {
		return func(waxrollout.Result) {}
	}
	current, outcome := r.current, r.outcome
	return func(res waxrollout.Result) {
		outcome.Result = res
		current.Ledger.Observe(outcome)
		counts := res.Bad() || res == waxrollout.ResultAnswered
		if counts && !outcome.Cold && current.Hold != nil && outcome.Version == current.Split.To() {
			current.Hold.Observe(res.Bad())
		}
	}
}

// recordResult counts the result of a send, unless probeServer does.
func (f *Forwarder) recordResult(ctx context.Context, req *requestState, res result) {
	r := &req.rollout
	if r.current == nil {
		return
	}
	if r.outcome.Time == 0 {
		r.outcome.Time = f.opts.Clock.Now() - req.sentAt
	}
	outcome, known := f.resultOf(ctx, req, res)
	if !known {
		return // probeServer finds out, or nothing was sent
	}
	if !r.begun || outcome != waxrollout.ResultAnswered {
		r.observer()(outcome)
	}
	r.judged = true
}

// resultOf returns the outcome of a send. It reports false if there is none, or if
// probeServer finds out.
func (f *Forwarder) resultOf(ctx context.Context, req *requestState, res result) (waxrollout.Result, bool) {
	switch res {
	case resultComplete:
		if req.rollout.status >= http.StatusInternalServerError {
			return waxrollout.ResultFailed, true
		}
		return waxrollout.ResultAnswered, true
	case resultServerFailure:
		return waxrollout.ResultFailed, true
	case resultNotRun:
		return waxrollout.ResultNotRun, true
	case resultCallerDisconnected:
		return waxrollout.ResultLeft, true
	case resultMayHaveRun:
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			return waxrollout.ResultLeft, true
		case req.rollout.status >= http.StatusInternalServerError:
			return waxrollout.ResultFailed, true
		case ctx.Err() != nil && f.servers.activeSince(req.entry, req.sentAt):
			return waxrollout.ResultCut, true // within the deadline, other servers answered
		}
	}
	return 0, false
}

// activeSince reports whether bytes have arrived from a server of the failure domain of e since
// a time.
func (s *Servers) activeSince(e waxfleet.BackendServerEntry, at waxfleet.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.domainState(e.Server().FailureDomain()).health.LastActivity() > at
}
