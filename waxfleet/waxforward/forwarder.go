// Package waxforward forwards client requests to backend servers: it matches
// the route, authenticates the API key, selects a server, sends the request and
// relays the response. Each request takes one hop: the instance that accepted
// it holds the connection to the backend server.
package waxforward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxfresh"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxsuspect"
	"waxwingdrift.org/waxfleet/waxtable"
)

const (
	// defaultConnections limits the connections to a server whose service
	// contract sets no limit.
	defaultConnections = 64
	// defaultTimeout is the time limit of a request if neither the client nor the
	// route sets one.
	defaultTimeout waxfleet.Millis = 30_000
	// maxSendsPerRequest limits the servers that a request is offered to,
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
	Suspects   *waxsuspect.Registry
	// DomainSilent reports whether no router instance of a failure domain was heard
	// from recently.
	DomainSilent func(domain string) bool
	// FlushUpdates is called when the prefix cache table has updates for other
	// instances.
	FlushUpdates func()
	Freshness    *waxfresh.Freshness
	Servers      *Servers
	// Table returns the current configuration, or nil before the first one is
	// loaded.
	Table func() *waxtable.Table
	// Bounds returns the limits currently configured.
	Bounds func() Bounds
	// Instances returns the names of all router instances, including this one.
	Instances func() []string
	// Stopping reports whether the instance is shutting down.
	Stopping func() bool
	// Observe is called at the end of each request, for metrics. It may be nil.
	Observe func(Outcome)
}

// Outcome describes a completed request for metrics.
type Outcome struct {
	Route string
	Kind  waxfleet.RouteKind
	Code  waxfleet.Code
	// FirstByte is the time from arrival to the response header, -1 if no backend
	// response was relayed.
	FirstByte waxfleet.Millis
	Total     waxfleet.Millis
	Sends     int
}

// Forwarder is the HTTP handler for client requests.
type Forwarder struct {
	opts        Options
	servers     *Servers
	completions *completions
	active      atomic.Int64
}

// New returns a Forwarder. All options but Observe are required.
func New(opts Options) *Forwarder {
	return &Forwarder{opts: opts, servers: opts.Servers, completions: newCompletions(opts.Clock)}
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// requestState is the state of one client request.
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
	// runs is the number of sends that a server may have run.
	runs int
	// entry is that of the server selected last, at the time of the selection.
	entry waxfleet.BackendServerEntry
	// digest identifies repetitions of the request by the client.
	digest string
	// cacheSource is the address of an engine from which the selected one can
	// fetch cached parts of the prompt, or "".
	cacheSource string
	// prefillTokens is the number of prompt tokens that the selected engine
	// doesn't have cached.
	prefillTokens int
	response      *responseWriter
}

// ServeHTTP handles one client request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	c := &requestState{
		inbound: f.opts.Protocol.DecodeRequest(r), arrivedAt: f.opts.Clock.Now(), method: r.Method, target: r.RequestURI,
		host: r.Host, triedServers: map[string]bool{}, response: newResponseWriter(w, f.opts.Protocol, f.opts.Clock),
	}
	if f.opts.Stopping() {
		w.Header().Set("Connection", "close")
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.opts.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request", c.inbound.ID)))
	defer span.End()
	err := f.admit(c, r)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, (c.deadline - f.opts.Clock.Now()).Duration())
		err = f.forward(ctx, c)
		cancel()
	}
	f.finish(r.Context(), c, err)
}

// admit matches the route, authenticates the key and reads the body. If it
// returns an error, nothing was sent to a server.
func (f *Forwarder) admit(c *requestState, r *http.Request) error {
	c.table = f.opts.Table()
	if c.table == nil {
		return waxfleet.NewError(waxfleet.CodeConfigUnavailable, "no configuration loaded yet")
	}
	if !strings.HasPrefix(c.target, "/") {
		return waxfleet.NewError(waxfleet.CodeBadRequest, "request target must start with a slash")
	}
	route, ok := c.table.Route(c.host, c.target)
	if !ok {
		return f.refuseUnlessStale(waxfleet.NewError(waxfleet.CodeUnknownRoute, "no route for host %q and the request path", c.host))
	}
	c.route = route
	if err := f.authenticate(c); err != nil {
		return err
	}
	c.service = waxtable.ServiceOf(route, c.inbound.ID)
	c.promptKey = waxcache.NewKey(c.inbound.PromptParts)
	timeout := defaultTimeout
	if c.inbound.Timeout > 0 {
		timeout = c.inbound.Timeout
	}
	if route.Timeout() > 0 {
		timeout = min(timeout, route.Timeout())
	}
	c.deadline = c.arrivedAt + timeout
	if err := f.readBody(c, r); err != nil {
		return err
	}
	return f.checkBan(c)
}

// authenticate sets the workspace that the API key belongs to. On routes
// without authentication the key is optional and only sets the workspace.
func (f *Forwarder) authenticate(c *requestState) error {
	if !c.table.NeedsKey(c.route) {
		if w, ok := c.table.Workspace(c.inbound.APIKey); ok && f.opts.Freshness.Fresh() {
			c.workspace = w
		}
		return nil
	}
	w, ok := c.table.Workspace(c.inbound.APIKey)
	if !ok {
		return f.refuseUnlessStale(waxfleet.NewError(waxfleet.CodeUnauthorized, "missing or unknown API key"))
	}
	if !f.opts.Freshness.Fresh() {
		age, _ := f.opts.Freshness.Age()
		return waxfleet.NewError(waxfleet.CodeConfigStale, "API keys were last confirmed %d ms ago", age)
	}
	c.workspace = w
	return nil
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

// readBody reads the whole body, so that it can be sent again and a client
// disconnect is detected while the request runs.
func (f *Forwarder) readBody(c *requestState, r *http.Request) error {
	limit := c.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	if r.ContentLength > limit {
		return waxfleet.NewError(waxfleet.CodeBodyTooLarge, "request body has %d bytes; the limit is %d", r.ContentLength, limit)
	}
	c.hasBody = r.ContentLength != 0
	if !c.hasBody {
		return nil
	}
	if r.ContentLength > 0 {
		c.body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, c.body); err != nil {
			return waxfleet.WrapError(err, waxfleet.CodeCancelled, "request body ended early")
		}
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "request body ended early")
	}
	if int64(len(body)) > limit {
		return waxfleet.NewError(waxfleet.CodeBodyTooLarge, "request body exceeds %d bytes", limit)
	}
	c.body = body
	return nil
}

// finish logs the end of a request, and sends the error response if it failed.
func (f *Forwarder) finish(ctx context.Context, c *requestState, err error) {
	code := waxfleet.CodeOf(err)
	disconnected := ctx.Err() != nil
	if disconnected && err != nil {
		code = waxfleet.CodeCancelled
	}
	now := f.opts.Clock.Now()
	attrs := []any{
		"request", c.inbound.ID, "route", c.route.Name(), "service", c.service, "workspace", c.workspace.Name,
		"server", c.entry.Server().ID(), "sends", c.sends, "runs", c.runs, "code", int(code), "outcome", code.Name(),
		"status", c.response.status, "first-byte-ms", int64(c.response.timeToHeader(c.arrivedAt)), "total-ms", int64(now - c.arrivedAt),
	}
	if c.table != nil {
		attrs = append(attrs, "config-version", c.table.Version())
	}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	if f.opts.Observe != nil {
		f.opts.Observe(Outcome{
			Route: c.route.Name(), Kind: c.route.Kind(), Code: code, FirstByte: c.response.timeToHeader(c.arrivedAt),
			Total: now - c.arrivedAt, Sends: c.sends,
		})
	}
	switch {
	case err == nil:
		f.opts.Log.Info("request ended", attrs...)
		return
	case disconnected:
		f.opts.Log.Info("caller disconnected", attrs...)
		return
	}
	var status int
	abort := c.response.headerSent()
	if !abort {
		status = c.response.writeError(c.inbound.ID, err, retryAfter(code))
	}
	f.opts.Log.Warn("request failed", append(attrs, "answered", status, "cut", abort)...)
	if abort {
		// The response header was sent, so that only a broken connection tells
		// the client that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}
