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
	// maxRedirects bounds the redirects and refusals that one pass over a failure
	// domain follows.
	maxRedirects = 4
	// maxLost is the number of owners of a failure domain that one pass finds
	// unreachable before it leaves the domain: each can cost the time-out of a
	// connection attempt (2 s) out of the caller's deadline (10 s at the least).
	maxLost = 2
	// lostPause is how long an owner is avoided after its connection was lost: the
	// time-out of a connection attempt.
	lostPause waxfleet.Millis = 2_000
	// maxDeaths is the number of backend servers that one request may end.
	maxDeaths = 2
	// partialLimit bounds the text that is kept to continue a stream elsewhere.
	partialLimit = 1 << 20
	// retryPause is the wait before another pass when no owner could be reached,
	// which happens while ownership moves.
	retryPause waxfleet.Millis = 100
)

// Local serves requests at this instance without a network hop.
type Local interface {
	Serve(ctx context.Context, req *waxwire.ServeRequest, replies waxowner.ReplyStream) error
}

// Parts are the components that a router works with.
type Parts struct {
	Clock    *waxfleet.Clock
	Config   waxfleet.ConfigSource
	Table    *waxmember.Table
	Links    *waxmember.Links
	Local    Local
	Suspects *waxsuspect.Register
	Recorder waxfleet.Recorder
	Tracer   trace.Tracer
	Log      *slog.Logger
	// DomainExceptions is the size of the table of chats that live outside their
	// first failure domain.
	DomainExceptions int
}

// Router routes requests. It is safe for concurrent use.
type Router struct {
	Parts
	domains *waxplace.Exceptions

	mu sync.Mutex
	// lostUntil is the time until which a lost owner is avoided, by instance.
	lostUntil map[string]waxfleet.Millis
}

// New returns a router.
func New(parts Parts) *Router {
	return &Router{Parts: parts, domains: waxplace.NewExceptions(parts.DomainExceptions), lostUntil: map[string]waxfleet.Millis{}}
}

// run is the state of one request across its attempts.
type run struct {
	*Request
	answer  Answer
	start   waxfleet.Millis
	began   bool
	events  int64
	partial []byte
	dropped bool
	// finished says that the caller has the end marker of its stream. Nothing may
	// follow it, also when the owner is lost before it reports the end.
	finished bool
	deaths   int
	suspect  *waxwire.Suspect
	lastFail *waxfleet.Error
	maybeRan bool
}

// Route runs the request and writes its answer. The returned error has a result
// code; when the answer has begun, the caller of Route can only cut it.
func (r *Router) Route(ctx context.Context, req *Request, answer Answer) error {
	u := &run{Request: req, answer: answer, start: r.Clock.Now()}
	if r.Suspects.Banned(req.Digest) {
		return waxfleet.NewError(waxfleet.CodeRequestBanned, "two backend servers died while they ran this request; it is refused for 10 minutes")
	}
	for {
		done, err := r.pass(ctx, u)
		if done || err != nil {
			return err
		}
		if u.remaining(r.Clock.Now()) <= 0 {
			return u.failure()
		}
		if err := r.Clock.Sleep(ctx, retryPause); err != nil {
			return waxfleet.WrapError(err, waxfleet.CodeCancelled, "the caller went away")
		}
	}
}

func (u *run) remaining(now waxfleet.Millis) waxfleet.Millis {
	return u.start + u.Tier.Deadline() - now
}

// failure returns the last refusal. It says "not run" only when no attempt can
// have run.
func (u *run) failure() *waxfleet.Error {
	e := u.lastFail
	if e == nil {
		e = waxfleet.NewError(waxfleet.CodeNoBackendServer, "no backend server could be reached")
	}
	if u.maybeRan {
		return e.MaybeRun()
	}
	return e
}

// pass tries the failure domains in order. done is true when the answer is
// complete. The order is taken anew after each one: others may have fallen
// silent while an owner did not answer. The last one that is not silent is the
// final one, where the request may wait until its deadline; silent ones are
// tried only when there is no other.
func (r *Router) pass(ctx context.Context, u *run) (done bool, err error) {
	var tried []string
	for {
		left := slices.DeleteFunc(r.domainOrder(u), func(d string) bool { return slices.Contains(tried, d) })
		if len(left) == 0 || (len(tried) > 0 && r.Table.Silent(left[0])) {
			return false, nil
		}
		domain := left[0]
		tried = append(tried, domain)
		final := len(left) == 1 || r.Table.Silent(left[1])
		done, err := r.tryDomain(ctx, u, domain, final)
		if done || err != nil {
			return done, err
		}
		r.Recorder.Record(u.ID, "leave-domain", fmt.Sprintf("failure-domain=%s reason=%s", domain, u.failure().Code().Name()))
	}
}

// domainOrder returns the failure domains in the order in which they are tried:
// the one that holds the chat, then rendezvous order, those with free places
// first and silent ones last.
func (r *Router) domainOrder(u *run) []string {
	cfg := r.Config.Current()
	free := map[string]int{}
	for _, t := range r.Table.Totals(u.Service.Name()) {
		free[t.FailureDomain()] = t.Free()
	}
	var names []string
	for _, b := range r.Table.Servers() {
		domain := b.FailureDomain()
		if cfg.DomainIn(domain) && !slices.Contains(names, domain) && waxowner.Eligible(cfg, b, u.Service.Name(), u.Workspace.Name(), u.Model, domain) {
			names = append(names, domain)
		}
	}
	ranked := waxplace.Rank(u.ChatKey, names)
	holder, held := r.domains.Holder(u.ChatKey)
	if !held && len(ranked) > 0 {
		holder = ranked[0]
	}
	rank := func(domain string) int {
		n, known := free[domain]
		switch {
		case r.Table.Silent(domain):
			return 3
		case domain == holder:
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

// search is the state of the search for a place in one failure domain.
type search struct {
	domain string
	// homes are the backend servers in rendezvous order; the owner of the first
	// one decides where the chat goes.
	homes []string
	// target is where the home owner sent the request, if anywhere.
	target   waxplace.Choice
	excluded []string
}

// server returns the backend server that is asked for next.
func (s *search) server() string {
	if s.target.ID != "" {
		return s.target.ID
	}
	return s.homes[0]
}

// exclude goes past the current server after a refusal or a silent owner. A
// silent home owner is replaced by the next one.
func (s *search) exclude() {
	s.excluded = append(s.excluded, s.server())
	if s.target.ID == "" {
		s.homes = s.homes[1:]
	}
	s.target = waxplace.Choice{}
}

// tryDomain asks the home owner of the failure domain and follows its redirects.
func (r *Router) tryDomain(ctx context.Context, u *run, domain string, final bool) (done bool, err error) {
	s := &search{domain: domain, homes: r.homeOrder(u, domain)}
	lost := 0
	for hop := 0; hop <= maxRedirects && len(s.homes) > 0; hop++ {
		owner, ok := r.ownerOf(domain, s.server())
		if ok && r.avoided(owner.ID()) {
			s.exclude()
			continue
		}
		if !ok {
			u.lastFail = waxfleet.NewError(waxfleet.CodePeerUnreachable, "no instance of %s owns backend server %s", domain, s.server())
			s.exclude()
			continue
		}
		out, err := r.attempt(ctx, u, owner, r.searchRequest(u, s, final || hop == maxRedirects))
		switch {
		case err != nil:
			return false, err
		case out.done:
			r.remember(u, domain)
			return true, nil
		case out.redirect.ID != "":
			s.target = out.redirect
		case out.unreachable:
			if lost++; lost == maxLost {
				return false, nil
			}
			s.exclude()
		case s.target.ID != "" && !out.died:
			s.exclude()
		default:
			return false, nil // the home owner refused, or a backend server died
		}
	}
	return false, nil
}

func (r *Router) searchRequest(u *run, s *search, final bool) *waxwire.ServeRequest {
	req := u.wire(u.remaining(r.Clock.Now()))
	req.Home, req.Excluded, req.Final, req.Suspect = s.homes[0], s.excluded, final, u.suspect
	req.BackendServer = s.server()
	if s.target.ID != "" {
		req.Placed = true
		req.PatienceMs = patienceAt(s.target, u)
	}
	return req
}

// patienceAt returns how long the request may wait at the backend server that
// its home chose.
func patienceAt(c waxplace.Choice, u *run) int64 {
	switch {
	case c.Reason == waxplace.ReasonFull:
		return int64(u.Tier.Deadline())
	case c.Holder:
		return int64(u.Tier.Patience())
	default:
		return 0
	}
}

// remember keeps the failure domain of a chat that is not at its first choice.
func (r *Router) remember(u *run, domain string) {
	cfg := r.Config.Current()
	var names []string
	for _, b := range r.Table.Servers() {
		if cfg.DomainIn(b.FailureDomain()) && b.Service() == u.Service.Name() && !slices.Contains(names, b.FailureDomain()) {
			names = append(names, b.FailureDomain())
		}
	}
	r.domains.Set(u.ChatKey, domain, waxplace.First(u.ChatKey, names))
}

// homeOrder returns the eligible backend servers of the failure domain in
// rendezvous order for the chat.
func (r *Router) homeOrder(u *run, domain string) []string {
	cfg := r.Config.Current()
	var ids []string
	for _, b := range r.Table.Servers() {
		if waxowner.Eligible(cfg, b, u.Service.Name(), u.Workspace.Name(), u.Model, domain) {
			ids = append(ids, b.ID())
		}
	}
	return waxplace.Rank(u.ChatKey, ids)
}

// ownerOf finds the instance that owns the backend server, or its second when
// the owner is known to be silent.
func (r *Router) ownerOf(domain, server string) (waxfleet.Instance, bool) {
	a := r.Table.Assignment(domain)
	id := waxlease.OwnerOf(server, a, r.Table.DepartedAnywhere)
	if id == "" {
		return waxfleet.Instance{}, false
	}
	if id == r.Table.Self().ID() {
		return r.Table.Self(), true
	}
	if domain == r.Table.Self().FailureDomain() && r.silent(id) {
		silent := func(m string) bool {
			return r.Table.DepartedAnywhere(m) || waxlease.ParseMember(m).Instance() == id
		}
		if second := waxlease.OwnerOf(server, a, silent); second == r.Table.Self().ID() {
			return r.Table.Self(), true
		} else if second != "" {
			id = second
		}
	}
	return r.Table.Peer(id)
}

// avoid keeps requests away from an owner whose connection was lost. Without it,
// each request would spend the time-out of a connection attempt on it.
func (r *Router) avoid(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostUntil[instance] = r.Clock.Now() + lostPause
}

func (r *Router) avoided(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Now() < r.lostUntil[instance]
}

func (r *Router) silent(instance string) bool {
	for _, link := range r.Table.Links() {
		if link.Peer().ID() == instance {
			return !link.Healthy()
		}
	}
	return true
}

// outcome is the end of one attempt that did not complete the answer, or done.
type outcome struct {
	done        bool
	redirect    waxplace.Choice
	unreachable bool
	died        bool
}

// attempt sends the request to one owner and passes its answer on.
func (r *Router) attempt(ctx context.Context, u *run, owner waxfleet.Instance, req *waxwire.ServeRequest) (outcome, error) {
	ctx, span := r.Tracer.Start(ctx, "entry.attempt", trace.WithAttributes(
		attribute.String("owner", owner.ID()), attribute.String("backend-server", req.GetBackendServer()),
	))
	defer span.End()
	if err := u.continueFrom(req); err != nil {
		return outcome{}, err
	}
	r.Recorder.Record(u.ID, "ask", fmt.Sprintf("owner=%s backend-server=%s placed=%t", owner.ID(), req.GetBackendServer(), req.GetPlaced()))
	c := &collector{run: u, router: r}
	var err error
	if owner.ID() == r.Table.Self().ID() {
		err = r.Local.Serve(ctx, req, c)
	} else {
		err = r.remote(ctx, owner, req, c)
	}
	if err != nil {
		span.RecordError(err)
	}
	return r.conclude(ctx, u, c, owner, err)
}

func (r *Router) remote(ctx context.Context, owner waxfleet.Instance, req *waxwire.ServeRequest, c *collector) error {
	// The stream must not outlive this attempt: cancelling frees the owner's slot.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := r.Links.Serve(owner.PeerAddress()).Serve(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := c.Send(stream.Msg()); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// conclude turns the end of an attempt into the next step.
func (r *Router) conclude(ctx context.Context, u *run, c *collector, owner waxfleet.Instance, err error) (outcome, error) {
	switch {
	case c.callerErr != nil || ctx.Err() != nil:
		return outcome{}, waxfleet.NewError(waxfleet.CodeCancelled, "the caller went away")
	case c.ended, u.finished:
		return outcome{done: true}, nil
	case c.redirect != nil:
		reason := c.redirect.GetReason()
		holder := reason == waxplace.ReasonHolder || reason == waxplace.ReasonFirst
		return outcome{redirect: waxplace.Choice{ID: c.redirect.GetBackendServer(), Holder: holder, Reason: reason}}, nil
	case c.refusal != nil:
		return r.refused(u, c.refusal)
	}
	return r.lost(u, owner, err)
}

// refused takes a refusal: the entry tries elsewhere where that is allowed.
func (r *Router) refused(u *run, f *waxwire.Refusal) (outcome, error) {
	u.lastFail = waxfleet.NewError(waxfleet.Code(f.GetCode()), "%s", f.GetMessage())
	if !f.GetNotRun() {
		u.lastFail = u.lastFail.MaybeRun()
		u.maybeRan = true
	}
	if f.GetDied() {
		u.deaths++
	}
	if s := f.GetSuspect(); s != nil {
		u.suspect = s
		r.Suspects.Merge(u.Digest, int(s.GetDeaths()), int(s.GetCleared()), waxfleet.Millis(s.GetRemainingMs()))
	}
	r.Recorder.Record(u.ID, "refused", fmt.Sprintf("backend-server=%s code=%s not-run=%t died=%t", f.GetBackendServer(), u.lastFail.Code().Name(), f.GetNotRun(), f.GetDied()))
	switch {
	case u.deaths >= maxDeaths || r.Suspects.Banned(u.Digest):
		return outcome{}, waxfleet.NewError(waxfleet.CodeRequestBanned, "%d backend servers died while they ran this request; it is refused for 10 minutes", max(u.deaths, maxDeaths)).MaybeRun()
	case !f.GetRetryable(), u.Once && u.maybeRan, u.began && !u.canContinue():
		return outcome{}, u.failure()
	default:
		return outcome{died: f.GetDied()}, nil
	}
}

// lost takes a connection to the owner that broke before the answer was
// complete. What the owner did is unknown then.
func (r *Router) lost(u *run, owner waxfleet.Instance, err error) (outcome, error) {
	r.Recorder.Record(u.ID, "owner-lost", fmt.Sprintf("owner=%s error=%v", owner.ID(), err))
	if code := connect.CodeOf(err); code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded {
		r.avoid(owner.ID())
	}
	notSent := notConnected(err)
	if !notSent {
		u.maybeRan = true
	}
	u.lastFail = waxfleet.WrapError(err, waxfleet.CodePeerUnreachable, "instance %s did not answer", owner.ID())
	if u.Once && !notSent {
		return outcome{}, waxfleet.NewError(waxfleet.CodeOutcomeUnknown, "instance %s was lost while it served the request", owner.ID())
	}
	if u.began && !u.canContinue() {
		return outcome{}, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "instance %s was lost while it passed the answer on", owner.ID()).MaybeRun()
	}
	return outcome{unreachable: true}, nil
}
