package waxroute

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxowner"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxsuspect"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// maxRedirects bounds the redirects and refusals that are followed in one failure
	// domain per pass.
	maxRedirects = 4
	// maxUnreachableOwners is the number of unreachable owners after which a pass tries
	// the next failure domain: each can cost the timeout of a connection attempt
	// (2 s) out of the caller's deadline (at least 10 s).
	maxUnreachableOwners = 2
	// ownerAvoidPeriod is how long an owner is avoided after its connection was lost:
	// the timeout of a connection attempt.
	ownerAvoidPeriod waxfleet.Millis = 2_000
	// maxServerDeaths is the number of backend server deaths after which a request is
	// refused.
	maxServerDeaths = 2
	// maxBufferedBytes bounds the stream that is buffered so that another engine can
	// continue it.
	maxBufferedBytes = 1 << 20
	// retryDelay is the delay before another pass if no failure domain could serve the
	// request, for example while ownership changes.
	retryDelay waxfleet.Millis = 100
)

// Local serves requests at this instance, without a network hop.
type Local interface {
	Serve(ctx context.Context, req *waxwire.ServeRequest, replies waxowner.ReplyStream) error
}

// Dependencies are the dependencies and settings of a Router.
type Dependencies struct {
	Clock    *waxfleet.Clock
	Config   waxfleet.ConfigSource
	Table    *waxmember.Table
	Links    *waxmember.PeerClients
	Local    Local
	Suspects *waxsuspect.Registry
	Recorder waxfleet.Recorder
	Tracer   trace.Tracer
	Log      *slog.Logger
	// MaxDomainExceptions is the maximum number of chats to remember that are served
	// outside their first failure domain.
	MaxDomainExceptions int
}

// Router routes requests to the owners of backend servers. It is safe for concurrent
// use.
type Router struct {
	Dependencies
	domainExceptions *waxplace.Exceptions

	mu sync.Mutex
	// avoidUntil is the time until which an unreachable owner is avoided, by instance
	// ID.
	avoidUntil map[string]waxfleet.Millis
}

// New returns a router without background work.
func New(deps Dependencies) *Router {
	return &Router{
		Dependencies:     deps,
		domainExceptions: waxplace.NewExceptions(deps.MaxDomainExceptions),
		avoidUntil:       map[string]waxfleet.Millis{},
	}
}

// requestState is the state of one request across its attempts.
type requestState struct {
	*Request
	response  ResponseWriter
	startedAt waxfleet.Millis
	headSent  bool
	// eventCount is the number of data events that were buffered.
	eventCount int64
	// streamed buffers the stream for a continuation. bufferDropped is set once the
	// stream has exceeded maxBufferedBytes.
	streamed      []byte
	bufferDropped bool
	// endMarkerSent is set once the caller has the end marker of its stream. Nothing
	// may follow it, even if the owner is lost before it reports the end.
	endMarkerSent bool
	deaths        int
	suspect       *waxwire.Suspect
	lastError     *waxfleet.Error
	mayHaveRun    bool
}

// Route serves the request and writes its response. The returned error has a result
// code. If part of the response was already written, the caller of Route can only
// abort it.
func (r *Router) Route(ctx context.Context, req *Request, response ResponseWriter) error {
	rs := &requestState{Request: req, response: response, startedAt: r.Clock.Now()}
	if r.Suspects.Banned(req.Digest) {
		return waxfleet.NewError(waxfleet.CodeRequestBanned, "two backend servers died while they ran this request; it is refused for 10 minutes")
	}
	for {
		done, err := r.tryDomains(ctx, rs)
		if done || err != nil {
			return err
		}
		if rs.remaining(r.Clock.Now()) <= 0 {
			return rs.failure()
		}
		if err := r.Clock.Sleep(ctx, retryDelay); err != nil {
			return waxfleet.WrapError(err, waxfleet.CodeCancelled, "the caller disconnected")
		}
	}
}

func (rs *requestState) remaining(now waxfleet.Millis) waxfleet.Millis {
	return rs.startedAt + rs.Tier.Deadline() - now
}

// failure returns the last error. It is marked as not run only if no attempt can
// have run.
func (rs *requestState) failure() *waxfleet.Error {
	e := rs.lastError
	if e == nil {
		e = waxfleet.NewError(waxfleet.CodeNoBackendServer, "no backend server could be reached")
	}
	if rs.mayHaveRun {
		return e.WithoutNotRun()
	}
	return e
}

// tryDomains tries the failure domains in order. done is true if the response is
// complete. The order is recomputed after each domain, because other domains may have
// timed out in the meantime. In the last domain that is not timed out, the request may
// wait until its deadline. A timed-out domain is tried only if there is no other.
func (r *Router) tryDomains(ctx context.Context, rs *requestState) (done bool, err error) {
	var tried []string
	for {
		untried := slices.DeleteFunc(r.domainOrder(rs), func(d string) bool { return slices.Contains(tried, d) })
		if len(untried) == 0 || (len(tried) > 0 && r.Table.DomainTimedOut(untried[0])) {
			return false, nil
		}
		domain := untried[0]
		tried = append(tried, domain)
		final := len(untried) == 1 || r.Table.DomainTimedOut(untried[1])
		done, err := r.tryDomain(ctx, rs, domain, final)
		if done || err != nil {
			return done, err
		}
		r.Recorder.Record(rs.ID, "leave-domain", fmt.Sprintf("failure-domain=%s reason=%s", domain, rs.failure().Code().Name()))
	}
}

// domainOrder returns the failure domains in the order in which to try them: the one
// that the chat is placed in, then those with free slots, then the others, and
// timed-out ones last. Each group is in rendezvous order.
func (r *Router) domainOrder(rs *requestState) []string {
	cfg := r.Config.Current()
	free := map[string]int{}
	for _, t := range r.Table.Totals(rs.Service.Name()) {
		free[t.FailureDomain()] = t.FreeSlots()
	}
	var names []string
	for _, b := range r.Table.Servers() {
		domain := b.FailureDomain()
		if cfg.DomainInService(domain) && !slices.Contains(names, domain) &&
			waxowner.Eligible(cfg, b, rs.Service.Name(), rs.Workspace.Name(), rs.Model, domain) {
			names = append(names, domain)
		}
	}
	ranked := waxplace.Rank(rs.ChatKey, names)
	placedIn, isException := r.domainExceptions.Server(rs.ChatKey)
	if !isException && len(ranked) > 0 {
		placedIn = ranked[0]
	}
	rank := func(domain string) int {
		n, known := free[domain]
		switch {
		case r.Table.DomainTimedOut(domain):
			return 3
		case domain == placedIn:
			return 0
		case known && n > 0:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(ranked, func(a, b string) int { return rank(a) - rank(b) })
	return ranked
}

// domainSearch is the state of the search for a slot in one failure domain.
type domainSearch struct {
	domain string
	// candidates are the eligible backend servers in rendezvous order. The owner of the
	// first one, the home owner, places the chat.
	candidates []string
	// target is the backend server that the home owner redirected to, if any.
	target   waxplace.Choice
	excluded []string
}

// server returns the backend server for the next attempt.
func (s *domainSearch) server() string {
	if s.target.ID != "" {
		return s.target.ID
	}
	return s.candidates[0]
}

// excludeCurrent excludes the current server after a refusal or if its owner can't be
// reached. If there was no redirect, the next server's owner becomes the home owner.
func (s *domainSearch) excludeCurrent() {
	s.excluded = append(s.excluded, s.server())
	if s.target.ID == "" {
		s.candidates = s.candidates[1:]
	}
	s.target = waxplace.Choice{}
}

// tryDomain sends the request to the home owner in the failure domain and follows its
// redirects. done is true if the response is complete.
func (r *Router) tryDomain(ctx context.Context, rs *requestState, domain string, final bool) (done bool, err error) {
	s := &domainSearch{domain: domain, candidates: r.rankServers(rs, domain)}
	unreachable := 0
	for hop := 0; hop <= maxRedirects && len(s.candidates) > 0; hop++ {
		owner, ok := r.ownerOf(domain, s.server())
		if ok && r.isAvoided(owner.ID()) {
			s.excludeCurrent()
			continue
		}
		if !ok {
			rs.lastError = waxfleet.NewError(waxfleet.CodePeerUnreachable, "no instance of %s owns backend server %s", domain, s.server())
			s.excludeCurrent()
			continue
		}
		out, err := r.attempt(ctx, rs, owner, r.searchRequest(rs, s, final || hop == maxRedirects))
		switch {
		case err != nil:
			return false, err
		case out.done:
			r.recordDomain(rs, domain)
			return true, nil
		case out.redirect.ID != "":
			s.target = out.redirect
		case out.unreachable:
			if unreachable++; unreachable == maxUnreachableOwners {
				return false, nil
			}
			s.excludeCurrent()
		case s.target.ID != "" && !out.serverDied:
			s.excludeCurrent()
		default:
			return false, nil // the home owner refused, or a backend server died
		}
	}
	return false, nil
}

func (r *Router) searchRequest(rs *requestState, s *domainSearch, final bool) *waxwire.ServeRequest {
	req := rs.serveRequest(rs.remaining(r.Clock.Now()))
	req.Home, req.Excluded, req.Final, req.Suspect = s.candidates[0], s.excluded, final, rs.suspect
	req.BackendServer = s.server()
	if s.target.ID != "" {
		req.Placed = true
		req.PatienceMs = patienceAt(s.target, rs)
	}
	return req
}

// patienceAt returns how long, in ms, the request may wait at the backend server that
// its home owner chose. 0 means that it must not wait.
func patienceAt(choice waxplace.Choice, rs *requestState) int64 {
	switch {
	case choice.Reason == waxplace.ReasonFull:
		return int64(rs.Tier.Deadline())
	case choice.CacheExpected:
		return int64(rs.Tier.Patience())
	default:
		return 0
	}
}

// recordDomain remembers the failure domain that serves the chat, if it is not the
// chat's first choice.
func (r *Router) recordDomain(rs *requestState, domain string) {
	cfg := r.Config.Current()
	var names []string
	for _, b := range r.Table.Servers() {
		if cfg.DomainInService(b.FailureDomain()) && b.Service() == rs.Service.Name() && !slices.Contains(names, b.FailureDomain()) {
			names = append(names, b.FailureDomain())
		}
	}
	r.domainExceptions.Set(rs.ChatKey, domain, waxplace.First(rs.ChatKey, names))
}

// rankServers returns the eligible backend servers of the failure domain in
// rendezvous order for the chat.
func (r *Router) rankServers(rs *requestState, domain string) []string {
	cfg := r.Config.Current()
	var ids []string
	for _, b := range r.Table.Servers() {
		if waxowner.Eligible(cfg, b, rs.Service.Name(), rs.Workspace.Name(), rs.Model, domain) {
			ids = append(ids, b.ID())
		}
	}
	return waxplace.Rank(rs.ChatKey, ids)
}

// ownerOf returns the instance that owns the backend server. If the owner is in this
// failure domain and unreachable, it returns the standby.
func (r *Router) ownerOf(domain, server string) (waxfleet.Instance, bool) {
	a := r.Table.Assignment(domain)
	id := waxlease.OwnerOf(server, a, r.Table.DepartedAnywhere)
	if id == "" {
		return waxfleet.Instance{}, false
	}
	if id == r.Table.Self().ID() {
		return r.Table.Self(), true
	}
	if domain == r.Table.Self().FailureDomain() && r.unreachable(id) {
		departedOrOwner := func(m string) bool {
			return r.Table.DepartedAnywhere(m) || waxlease.ParseMember(m).Instance() == id
		}
		if standby := waxlease.OwnerOf(server, a, departedOrOwner); standby == r.Table.Self().ID() {
			return r.Table.Self(), true
		} else if standby != "" {
			id = standby
		}
	}
	return r.Table.Peer(id)
}

// avoid makes requests skip an owner whose connection was lost, for ownerAvoidPeriod.
// Without it, each request would wait for the timeout of a connection attempt.
func (r *Router) avoid(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidUntil[instance] = r.Clock.Now() + ownerAvoidPeriod
}

func (r *Router) isAvoided(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Now() < r.avoidUntil[instance]
}

func (r *Router) unreachable(instance string) bool {
	for _, link := range r.Table.Links() {
		if link.Peer().ID() == instance {
			return !link.Healthy()
		}
	}
	return true
}

// outcome is the result of one attempt.
type outcome struct {
	done        bool
	redirect    waxplace.Choice
	unreachable bool
	serverDied  bool
}

// attempt sends the request to one owner and forwards its response to the caller.
func (r *Router) attempt(ctx context.Context, rs *requestState, owner waxfleet.Instance, req *waxwire.ServeRequest) (outcome, error) {
	ctx, span := r.Tracer.Start(ctx, "entry.attempt", trace.WithAttributes(
		attribute.String("owner", owner.ID()), attribute.String("backend-server", req.GetBackendServer()),
	))
	defer span.End()
	if err := rs.setContinuation(req); err != nil {
		return outcome{}, err
	}
	r.Recorder.Record(rs.ID, "ask", fmt.Sprintf("owner=%s backend-server=%s placed=%t", owner.ID(), req.GetBackendServer(), req.GetPlaced()))
	forwarder := &replyForwarder{state: rs, router: r}
	var err error
	if owner.ID() == r.Table.Self().ID() {
		err = r.Local.Serve(ctx, req, forwarder)
	} else {
		err = r.serveRemote(ctx, owner, req, forwarder)
	}
	if err != nil {
		span.RecordError(err)
	}
	return r.attemptOutcome(ctx, rs, forwarder, owner, err)
}

func (r *Router) serveRemote(ctx context.Context, owner waxfleet.Instance, req *waxwire.ServeRequest, forwarder *replyForwarder) error {
	// Cancel the stream when this attempt ends, which frees the slot at the owner.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := r.Links.Serve(owner.PeerAddress()).Serve(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := forwarder.Send(stream.Msg()); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// attemptOutcome returns the outcome of an attempt, or the error to return to the
// caller.
func (r *Router) attemptOutcome(ctx context.Context, rs *requestState, forwarder *replyForwarder, owner waxfleet.Instance, err error) (outcome, error) {
	switch {
	case forwarder.callerErr != nil || ctx.Err() != nil:
		return outcome{}, waxfleet.NewError(waxfleet.CodeCancelled, "the caller disconnected")
	case forwarder.ended, rs.endMarkerSent:
		return outcome{done: true}, nil
	case forwarder.redirect != nil:
		reason := forwarder.redirect.GetReason()
		cacheExpected := reason == waxplace.ReasonHolder || reason == waxplace.ReasonFirst
		return outcome{redirect: waxplace.Choice{ID: forwarder.redirect.GetBackendServer(), CacheExpected: cacheExpected, Reason: reason}}, nil
	case forwarder.refusal != nil:
		return r.handleRefusal(rs, forwarder.refusal)
	}
	return r.handleOwnerLost(rs, owner, err)
}

// handleRefusal records a refusal and returns an error if the request must not be
// tried elsewhere.
func (r *Router) handleRefusal(rs *requestState, refusal *waxwire.Refusal) (outcome, error) {
	rs.lastError = waxfleet.NewError(waxfleet.Code(refusal.GetCode()), "%s", refusal.GetMessage())
	if !refusal.GetNotRun() {
		rs.lastError = rs.lastError.WithoutNotRun()
		rs.mayHaveRun = true
	}
	if refusal.GetDied() {
		rs.deaths++
	}
	if s := refusal.GetSuspect(); s != nil {
		rs.suspect = s
		r.Suspects.Merge(rs.Digest, int(s.GetDeaths()), int(s.GetCleared()), waxfleet.Millis(s.GetRemainingMs()))
	}
	r.Recorder.Record(rs.ID, "refused", fmt.Sprintf("backend-server=%s code=%s not-run=%t died=%t",
		refusal.GetBackendServer(), rs.lastError.Code().Name(), refusal.GetNotRun(),
		refusal.GetDied()))
	switch {
	case rs.deaths >= maxServerDeaths || r.Suspects.Banned(rs.Digest):
		return outcome{}, waxfleet.NewError(waxfleet.CodeRequestBanned, "%d backend servers died while they ran this request; it is refused for 10 minutes", max(rs.deaths, maxServerDeaths)).WithoutNotRun()
	case !refusal.GetRetryable(), rs.Once && rs.mayHaveRun, rs.headSent && !rs.canContinue():
		return outcome{}, rs.failure()
	default:
		return outcome{serverDied: refusal.GetDied()}, nil
	}
}

// handleOwnerLost handles a connection to the owner that failed before the response was
// complete. It is then unknown whether the request ran.
func (r *Router) handleOwnerLost(rs *requestState, owner waxfleet.Instance, err error) (outcome, error) {
	r.Recorder.Record(rs.ID, "owner-lost", fmt.Sprintf("owner=%s error=%v", owner.ID(), err))
	if code := connect.CodeOf(err); code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded {
		r.avoid(owner.ID())
	}
	notSent := isDialError(err)
	if !notSent {
		rs.mayHaveRun = true
	}
	rs.lastError = waxfleet.WrapError(err, waxfleet.CodePeerUnreachable, "instance %s did not respond", owner.ID())
	if rs.Once && !notSent {
		return outcome{}, waxfleet.NewError(waxfleet.CodeOutcomeUnknown, "lost the connection to instance %s while it served the request", owner.ID())
	}
	if rs.headSent && !rs.canContinue() {
		return outcome{}, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "lost the connection to instance %s while it sent the response", owner.ID()).WithoutNotRun()
	}
	return outcome{unreachable: true}, nil
}
