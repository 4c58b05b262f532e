// Package waxforward forwards requests of callers to backend servers: it matches the
// route, authenticates the API key, selects a server, sends the request and relays the
// response. Each request takes one hop: the instance that accepted it holds the
// connection to the backend server. Only while it is cut off from all servers of the
// service does it send the request to another instance.
package waxforward

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxcrash"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxfresh"
	"waxwingdrift.org/waxfleet/waxintake"
	"waxwingdrift.org/waxfleet/waxlimit"
	"waxwingdrift.org/waxfleet/waxorigin"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxshed"
	"waxwingdrift.org/waxfleet/waxtable"
)

const (
	// defaultConnections is the maximum number of connections from this instance to a
	// server of a service without a limit.
	defaultConnections = 64
	// defaultTimeout is the timeout of a request for which the caller gives none. A
	// shorter timeout of the route prevails.
	defaultTimeout waxfleet.Millis = 30_000
	// maxSendsPerRequest is the maximum number of servers that a request is sent to,
	// including those that refuse it.
	maxSendsPerRequest = 4
)

// Options configures a Forwarder.
type Options struct {
	Instance      string
	FailureDomain string
	Clock         *waxfleet.Clock
	Log           *slog.Logger
	// Tracer creates a span for each request and each send.
	Tracer     trace.Tracer
	Protocol   waxfleet.Protocol
	Directory  *waxdirectory.Directory
	Loads      *waxpeer.Loads
	CacheIndex *waxcache.Index
	// Limits holds the rate limits that backend servers name.
	Limits *waxlimit.Limits
	// Crashes decides which requests would crash their servers.
	Crashes *waxcrash.Ledger
	// InstancesUnreachable reports whether no router instance of a failure domain was
	// heard from recently.
	InstancesUnreachable func(domain string) bool
	// FlushUpdates is called when the prefix cache table, the crash ledger or the rate
	// limits have updates for other instances.
	FlushUpdates func()
	Freshness    *waxfresh.Freshness
	Servers      *Servers
	// Origins holds the software versions at which streams began, and Versions those that
	// were in use lately.
	Origins  *waxorigin.Streams
	Versions *waxorigin.Versions
	// TellOrigins tells other instances of the origins of streams that have begun, and
	// StreamComplete is called once a caller has got a stream completely.
	TellOrigins func(origins ...waxorigin.Origin)
	// AwaitOrigin waits until the origin of a stream is in the store, and reports whether it
	// is.
	AwaitOrigin    func(ctx context.Context, stream uint64, timeout waxfleet.Millis) bool
	StreamComplete func(stream uint64)
	// AskOrigin asks the other instances for the origin of a stream, and ReadOrigin the store.
	AskOrigin, ReadOrigin func(ctx context.Context, stream uint64) (waxorigin.Origin, bool)
	// Peers returns other instances that may reach servers of the service while this one
	// does not, in the order in which a request with the key is sent to them, with the
	// addresses of their PeerHandlers.
	Peers func(service string, key uint64) []waxpeer.Peer
	// HearsFleet reports whether most other instances were heard from recently.
	HearsFleet func() bool
	// Table returns the current configuration, or nil before the first one is
	// loaded.
	Table func() *waxtable.Table
	// Bounds returns the current limits on what the whole fleet sends.
	Bounds func() Bounds
	// Instances returns the names of all router instances, including this one.
	Instances func() []string
	// Preceded reports whether an earlier process of this instance may have sent requests.
	Preceded func() bool
	// Stopping reports whether the instance is shutting down.
	Stopping func() bool
	// Admission decides which requests are rejected before they are sent. It may be nil, and
	// is asked only for services whose servers state a pace.
	Admission Admission
	// Rollout returns the rollout of a service, or nil if there is none. It is nil in a
	// deployment without rollouts.
	Rollout func(service string) *Rollout
	// Observe is called at the end of each request, for metrics. It may be nil.
	Observe func(Outcome)
}

// Outcome describes an ended request for metrics.
type Outcome struct {
	Route string
	Kind  waxfleet.RouteKind
	Code  waxfleet.Code
	// TimeToHeader is the time from the arrival of the request until a backend server's
	// response header was relayed; -1 if none was.
	TimeToHeader waxfleet.Millis
	// TotalDuration is the time from the arrival of the request to its end.
	TotalDuration waxfleet.Millis
	// Sends is the number of times that the request was sent to a server.
	Sends int
	// Rejection is the reason for which the request was rejected before its first send, or
	// "". Short is true if it was admitted while capacity was short.
	Rejection waxshed.Reason
	Short     bool
	// Predicted is the time that was predicted for the last send until its first event, or
	// until the response of a plain service, and FirstTime the time that it took; -1 if not
	// known.
	Predicted, FirstTime waxfleet.Millis
}

// Forwarder is the HTTP handler for the requests of callers.
type Forwarder struct {
	opts    Options
	servers *Servers
	active  atomic.Int64
	// startedAt is the time at which the instance started.
	startedAt waxfleet.Millis
}

// New returns a Forwarder. All options but Rollout, Admission and Observe are required. Its http.Server needs the
// ConnContext of waxconn.
func New(opts Options) *Forwarder {
	return &Forwarder{opts: opts, servers: opts.Servers, startedAt: opts.Clock.Now()}
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// requestState is the state of one request of a caller.
type requestState struct {
	inbound      waxfleet.RequestHead
	arrivedAt    waxfleet.Millis
	deadline     waxfleet.Millis
	table        *waxtable.Table
	route        waxfleet.Route
	workspace    waxtable.Workspace
	service      string
	method       string
	target       string
	host         string
	body         []byte
	hasBody      bool
	promptKey    waxcache.Key
	triedServers map[string]bool
	sends        int
	// runs is the number of sends after which the server may have run the request.
	runs int
	// version is the software version that began the stream; only its servers may go on. It
	// is set once pinned is.
	version string
	pinned  bool
	// rollout is what is known of the version of a request during a rollout.
	rollout requestRollout
	// fromPeer is true if another instance has sent the request on, and peer is the name of
	// the instance to which this one does.
	fromPeer bool
	peer     string
	// entry is the entry of the server selected last, as of the selection.
	entry waxfleet.BackendServerEntry
	// state is the state of that server, and start the start time in Unix milliseconds that
	// its process had when the request was sent, as far as known.
	state *serverState
	start int64
	// watch is that of the last send, or nil.
	watch *silenceWatch
	// takeOver is set until the server of the last send takes a stream over, if it is to do so.
	// resumeAfter is the id of the last event that the caller had got before; -1 for none.
	takeOver    *takeOver
	resumeAfter int64
	// reservation is the server that is reserved for the next send, and retryReserved is true
	// if the retry budget was charged for it.
	reservation   *reservation
	retryReserved bool
	// digest identifies the request and the caller's retries of it.
	digest string
	// traits are the properties for which the request may be banned. The last one is that
	// of the digest.
	traits []waxcrash.Trait
	// runsAtCheck is the value of runs at the last check for bans, or -1. Each send that
	// may have run is followed by another check.
	runsAtCheck int
	// retryAfter is the Retry-After delay of a request that is refused; 0 for the default
	// of its result code.
	retryAfter waxfleet.Millis
	// rateDelay is the time until the rate limit of some server allows a request from this
	// instance; -1 if none would.
	rateDelay waxfleet.Millis
	// sentAt, headerAt and firstEventAt are the times at which the last send began and at
	// which its response header and its first event arrived; the latter two are 0 until
	// then.
	sentAt, headerAt, firstEventAt waxfleet.Millis
	// framed is true if the response to the last send marks its end with a length or chunks.
	framed bool
	// partsCleared is true once the answer shows that the parts of the prompt do not crash
	// servers.
	partsCleared bool
	// cacheSource is the address of an engine from which the selected one can
	// fetch cached parts of the prompt, or "".
	cacheSource string
	// meanLoad is the mean load of the engines of the service when the selected one was
	// chosen; -1 for a plain service.
	meanLoad float64
	// prefillTokens is the number of prompt tokens that the selected engine
	// doesn't have cached.
	prefillTokens int
	// prediction is what was expected of the request when the last server was selected.
	prediction prediction
	// decision is the decision of Options.Admission on the request, once decided is set.
	decision waxshed.Decision
	decided  bool
	// flight is the request at the server selected last, and outlooks holds what its time at
	// each server depended on. Both are nil if the servers state no pace.
	flight   *flight
	outlooks map[string]outlook
	response *responseWriter
	// intake is the connection of the caller, and bodyLength the announced length of the
	// body, or -1.
	intake     *waxintake.Conn
	bodyLength int64
}

// ServeHTTP handles one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.serve(w, r, false) }

// serve handles one request of a caller, or one that another instance has sent on.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request, fromPeer bool) {
	f.active.Add(1)
	defer f.active.Add(-1)
	req := &requestState{
		inbound:      f.opts.Protocol.DecodeRequest(r),
		arrivedAt:    f.opts.Clock.Now(),
		method:       r.Method,
		target:       r.RequestURI,
		host:         r.Host,
		triedServers: map[string]bool{},
		runsAtCheck:  -1,
		fromPeer:     fromPeer,
		intake:       waxintake.Of(r.Context()),
		bodyLength:   r.ContentLength,
		response:     newResponseWriter(w, r, f.opts.Protocol, f.opts.Clock),
	}
	req.response.fromPeer = fromPeer
	if f.opts.Stopping() {
		w.Header().Set("Connection", "close")
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.opts.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request", req.inbound.ID)))
	defer span.End()
	defer req.intake.End()
	err := req.intake.Begin(r.ContentLength != 0)
	if err == nil {
		err = f.admit(req, r)
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, (req.deadline - f.opts.Clock.Now()).Duration())
		err = f.forward(ctx, req)
		cancel()
	}
	f.finish(r.Context(), req, err)
}

// admit matches the route, authenticates the key and reads the body.
func (f *Forwarder) admit(req *requestState, r *http.Request) error {
	if err := f.match(req); err != nil {
		return err
	}
	if err := req.checkSize(); err != nil {
		return err
	}
	req.intake.AnswerBy(req.deadline)
	if err := f.readBody(req, r); err != nil {
		return err
	}
	req.setTraits()
	return nil
}

// match matches the route, authenticates the key and sets the deadline.
func (f *Forwarder) match(req *requestState) error {
	req.table = f.opts.Table()
	if req.table == nil {
		return waxfleet.NewError(waxfleet.CodeConfigUnavailable, "no configuration loaded yet")
	}
	if !strings.HasPrefix(req.target, "/") {
		return waxfleet.NewError(waxfleet.CodeBadRequest, "request target must start with a slash")
	}
	route, ok := req.table.Route(req.host, req.target)
	if !ok {
		return f.refuseUnlessStale(waxfleet.NewError(waxfleet.CodeUnknownRoute, "no route for host %q and the request path", req.host))
	}
	req.route = route
	if err := f.authenticate(req); err != nil {
		return err
	}
	req.service = waxtable.ServiceOf(route, req.streamID())
	req.promptKey = waxcache.NewKey(req.inbound.PromptParts)
	timeout := defaultTimeout
	if req.inbound.Timeout > 0 {
		timeout = req.inbound.Timeout
	}
	if route.Timeout() > 0 {
		timeout = min(timeout, route.Timeout())
	}
	req.deadline = req.arrivedAt + timeout
	return nil
}

// checkSize returns an error if the prompt is larger than the memory of an engine of the service.
// Each engine would reject the request as if it were full.
func (req *requestState) checkSize() error {
	spec, _ := req.table.Service(req.service)
	if spec.KVCacheTokens <= 0 || req.inbound.PromptTokens <= spec.KVCacheTokens {
		return nil
	}
	req.retryAfter = maxRateRetryAfter
	return waxfleet.NewError(waxfleet.CodePromptTooLarge, "prompt of %d tokens, servers of %s hold %d", req.inbound.PromptTokens, req.service, spec.KVCacheTokens)
}

// authenticate sets the workspace that the API key belongs to. On routes
// without authentication the key is optional and only sets the workspace.
func (f *Forwarder) authenticate(req *requestState) error {
	if !req.table.RequiresKey(req.route) {
		if w, ok := req.table.WorkspaceByKey(req.inbound.APIKey); ok && f.opts.Freshness.Fresh() {
			req.workspace = w
		}
		return nil
	}
	w, ok := req.table.WorkspaceByKey(req.inbound.APIKey)
	if !ok {
		return f.refuseUnlessStale(waxfleet.NewError(waxfleet.CodeUnauthorized, "missing or unknown API key"))
	}
	return f.acceptKey(req, w)
}

// acceptKey sets the workspace of the request's key, unless the proof that the list of
// keys is current has expired.
func (f *Forwarder) acceptKey(req *requestState, w waxtable.Workspace) error {
	if !f.opts.Freshness.Fresh() {
		age, _ := f.opts.Freshness.Age()
		return waxfleet.NewError(waxfleet.CodeConfigStale, "API keys were last confirmed %d ms ago", age)
	}
	req.workspace = w
	return nil
}

// recheckKey authenticates the key again right before a send. Since the request was
// admitted, its body was read, servers may have failed, and the process may have been
// paused; meanwhile the key may have been revoked or its proof may have expired.
func (f *Forwarder) recheckKey(req *requestState) error {
	if !req.table.RequiresKey(req.route) {
		return nil
	}
	w, ok := f.opts.Table().WorkspaceByKey(req.inbound.APIKey)
	if !ok {
		return waxfleet.NewError(waxfleet.CodeUnauthorized, "API key was revoked while the request waited")
	}
	return f.acceptKey(req, w)
}

// refuseUnlessStale returns the refusal if the configuration is recent, and
// CodeConfigStale otherwise: a version that this instance has not seen may
// allow the request.
func (f *Forwarder) refuseUnlessStale(refusal *waxfleet.Error) error {
	age, known := f.opts.Freshness.Age()
	if known && age <= f.opts.Bounds().MaxConfigDelay {
		return refusal
	}
	return waxfleet.NewError(waxfleet.CodeConfigStale, "configuration was last confirmed %d ms ago", age)
}

// finish logs the end of a request, and sends the error response if it failed.
func (f *Forwarder) finish(ctx context.Context, req *requestState, err error) {
	code := waxfleet.CodeOf(err)
	// net/http cancels the context also if the rest of a body is not awaited.
	disconnected := ctx.Err() != nil && !refusedByIntake(code)
	if disconnected && err != nil {
		code = waxfleet.CodeCancelled
	}
	now := f.opts.Clock.Now()
	attrs := []any{
		"request", req.inbound.ID, "route", req.route.Name(), "service", req.service, "workspace", req.workspace.Name,
		"server", req.entry.Server().ID(), "software-version", req.entry.SoftwareVersion(), "resumes", req.inbound.Resumes, "from-peer", req.fromPeer, "sends", req.sends, "runs", req.runs, "code", int(code), "outcome", code.Name(),
		"status", req.response.status, "framed", req.framed, "last-event", req.response.lastEventID, "first-byte-ms", int64(req.response.timeToHeader(req.arrivedAt)), "total-ms", int64(now - req.arrivedAt),
	}
	if req.table != nil {
		attrs = append(attrs, "config-version", req.table.Version())
	}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	if f.opts.Observe != nil {
		f.opts.Observe(Outcome{
			Route:         req.route.Name(),
			Kind:          req.route.Kind(),
			Code:          code,
			TimeToHeader:  req.response.timeToHeader(req.arrivedAt),
			TotalDuration: now - req.arrivedAt,
			Sends:         req.sends,
			Rejection:     req.decision.Reason,
			Short:         req.decision.Admitted && req.decision.Short,
			Predicted:     req.predictedTime(),
			FirstTime:     req.firstTime(),
		})
	}
	switch {
	case err == nil:
		req.response.complete()
		if req.pinned && req.route.Resumable() {
			f.opts.StreamComplete(waxorigin.StreamHash(req.streamID()))
		}
		f.opts.Log.Info("request ended", attrs...)
		return
	case disconnected:
		f.opts.Log.Info("caller disconnected", attrs...)
		// The caller may have closed its sending side only. net/http would end the response
		// as a complete one, or send an empty one if there is none.
		req.response.abort()
	}
	var status int
	abort := req.response.headerSent()
	if !abort {
		req.closeAfterRefusal()
		status = req.response.writeError(req.inbound.ID, err, retryAfterDelay(req, code))
	}
	f.opts.Log.Warn("request failed", append(attrs, "answered", status, "cut", abort)...)
	if abort {
		req.response.abort()
	}
}
