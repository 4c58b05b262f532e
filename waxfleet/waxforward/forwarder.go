// Package waxforward carries requests from callers to backend servers: it finds
// the route, proves the key, has a server chosen, sends the request and returns
// the answer. Each request takes one hop: the instance that the caller reached
// holds the connection to the backend server.
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
	// defaultConnections bounds the connections to a server whose contract names
	// no bound.
	defaultConnections = 64
	// defaultPatience is the time for a request when neither the caller nor the
	// route names one, in ms.
	defaultPatience waxfleet.Millis = 30_000
	// maxSends bounds the servers that one request is offered to, refusals
	// included.
	maxSends = 4
)

// Options configure a Forwarder.
type Options struct {
	Instance      string
	FailureDomain string
	Clock         *waxfleet.Clock
	Log           *slog.Logger
	// Tracer makes a span for each request and each send.
	Tracer    trace.Tracer
	Protocol  waxfleet.Protocol
	Directory *waxdirectory.Directory
	Loads     *waxpeer.Loads
	Holders   *waxcache.Holders
	Suspects  *waxsuspect.Register
	// Silent reports whether all instances of a failure domain have fallen silent.
	Silent func(domain string) bool
	// Flush is called when other instances should learn of new holdings.
	Flush   func()
	Proof   *waxfresh.Proof
	Servers *Servers
	// Table returns the configuration in force, or nil before the first one.
	Table func() *waxtable.Table
	// Bounds returns the figures in force.
	Bounds func() Bounds
	// Instances returns the names of all router instances, this one included.
	Instances func() []string
	// Stopping reports whether the instance is shutting down.
	Stopping func() bool
	// Observe counts the end of a request.
	Observe func(Outcome)
}

// Outcome is the end of a request, for metrics.
type Outcome struct {
	Route string
	Kind  waxfleet.RouteKind
	Code  waxfleet.Code
	// FirstByte is the time to the head of the answer, or -1 without one.
	FirstByte waxfleet.Millis
	Total     waxfleet.Millis
	Sends     int
}

// Forwarder is the HTTP handler for callers.
type Forwarder struct {
	opts      Options
	servers   *Servers
	completed *completions
	active    atomic.Int64
}

// New returns a forwarder.
func New(opts Options) *Forwarder {
	return &Forwarder{opts: opts, servers: opts.Servers, completed: newCompletions(opts.Clock)}
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// call is the state of one request.
type call struct {
	in        waxfleet.Inbound
	arrived   waxfleet.Millis
	deadline  waxfleet.Millis
	table     *waxtable.Table
	route     waxfleet.Route
	workspace waxtable.Workspace
	service   string
	method    string
	target    string
	host      string
	body      []byte
	hasBody   bool
	key       waxcache.Key
	tried     map[string]bool
	sends     int
	runs      int
	// entry is that of the last server that was chosen, as it was then.
	entry waxfleet.EngineEntry
	// digest identifies the request when its caller sends it again.
	digest string
	// source is the address of an engine that hands over parts of the prompt.
	source string
	// pending is the number of tokens that the chosen engine has to read.
	pending int
	sink    *sink
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	c := &call{
		in: f.opts.Protocol.Inbound(r), arrived: f.opts.Clock.Now(), method: r.Method, target: r.RequestURI,
		host: r.Host, tried: map[string]bool{}, sink: newSink(w, f.opts.Protocol, f.opts.Clock),
	}
	if f.opts.Stopping() {
		w.Header().Set("Connection", "close")
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.opts.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("request", c.in.ID)))
	defer span.End()
	err := f.admit(c, r)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, (c.deadline - f.opts.Clock.Now()).Duration())
		err = f.run(ctx, c)
		cancel()
	}
	f.finish(r.Context(), c, err)
}

// admit finds the route and proves the key. Its errors mean that nothing was
// sent.
func (f *Forwarder) admit(c *call, r *http.Request) error {
	c.table = f.opts.Table()
	if c.table == nil {
		return waxfleet.NewError(waxfleet.CodeConfigUnavailable, "no configuration was read yet")
	}
	if !strings.HasPrefix(c.target, "/") {
		return waxfleet.NewError(waxfleet.CodeBadRequest, "the request target must begin with a slash")
	}
	route, ok := c.table.Route(c.host, c.target)
	if !ok {
		return f.unlessStale(waxfleet.NewError(waxfleet.CodeUnknownRoute, "no route for host %q and this path", c.host))
	}
	c.route = route
	if err := f.authorise(c); err != nil {
		return err
	}
	c.service = waxtable.ServiceOf(route, c.in.ID)
	c.key = waxcache.NewKey(c.in.Parts)
	patience := defaultPatience
	if c.in.Patience > 0 {
		patience = c.in.Patience
	}
	if route.Timeout() > 0 {
		patience = min(patience, route.Timeout())
	}
	c.deadline = c.arrived + patience
	if err := f.readBody(c, r); err != nil {
		return err
	}
	return f.clearOfSuspicion(c)
}

// authorise finds the workspace of the key.
func (f *Forwarder) authorise(c *call) error {
	if !c.table.NeedsKey(c.route) {
		if w, ok := c.table.Workspace(c.in.Key); ok && f.opts.Proof.Holds() {
			c.workspace = w
		}
		return nil
	}
	w, ok := c.table.Workspace(c.in.Key)
	if !ok {
		return f.unlessStale(waxfleet.NewError(waxfleet.CodeUnauthorized, "the key is missing or unknown"))
	}
	if !f.opts.Proof.Holds() {
		age, _ := f.opts.Proof.Age()
		return waxfleet.NewError(waxfleet.CodeConfigStale, "the list of keys was last confirmed %d ms ago", age)
	}
	c.workspace = w
	return nil
}

// unlessStale returns the refusal only if the configuration is recent enough: a
// version that this instance has not seen may allow the request.
func (f *Forwarder) unlessStale(refusal *waxfleet.Error) error {
	age, known := f.opts.Proof.Age()
	if known && age <= f.opts.Bounds().ConfigTime {
		return refusal
	}
	return waxfleet.NewError(waxfleet.CodeConfigStale, "the configuration was last confirmed %d ms ago", age)
}

// readBody reads the whole body, so that it can be sent more than once and the
// end of the caller's connection is noticed.
func (f *Forwarder) readBody(c *call, r *http.Request) error {
	limit := c.table.Limits().BodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	if r.ContentLength > limit {
		return waxfleet.NewError(waxfleet.CodeBodyTooLarge, "the body has %d bytes; allowed: %d", r.ContentLength, limit)
	}
	c.hasBody = r.ContentLength != 0
	if !c.hasBody {
		return nil
	}
	if r.ContentLength > 0 {
		c.body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, c.body); err != nil {
			return waxfleet.WrapError(err, waxfleet.CodeCancelled, "the body ended early")
		}
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "the body ended early")
	}
	if int64(len(body)) > limit {
		return waxfleet.NewError(waxfleet.CodeBodyTooLarge, "the body is longer than %d bytes", limit)
	}
	c.body = body
	return nil
}

// finish sends the refusal of a failed request and logs its end.
func (f *Forwarder) finish(ctx context.Context, c *call, err error) {
	code := waxfleet.CodeOf(err)
	gone := ctx.Err() != nil
	if gone && err != nil {
		code = waxfleet.CodeCancelled
	}
	now := f.opts.Clock.Now()
	attrs := []any{
		"request", c.in.ID, "route", c.route.Name(), "service", c.service, "workspace", c.workspace.Name,
		"server", c.entry.Server().ID(), "sends", c.sends, "runs", c.runs, "code", int(code), "outcome", code.Name(),
		"status", c.sink.status, "first-byte-ms", int64(c.sink.firstByte(c.arrived)), "total-ms", int64(now - c.arrived),
	}
	if c.table != nil {
		attrs = append(attrs, "config-version", c.table.Version())
	}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	if f.opts.Observe != nil {
		f.opts.Observe(Outcome{
			Route: c.route.Name(), Kind: c.route.Kind(), Code: code, FirstByte: c.sink.firstByte(c.arrived),
			Total: now - c.arrived, Sends: c.sends,
		})
	}
	switch {
	case err == nil:
		f.opts.Log.Info("request ended", attrs...)
		return
	case gone:
		f.opts.Log.Info("caller left", attrs...)
		return
	}
	var status int
	abort := c.sink.started()
	if !abort {
		status = c.sink.refuse(c.in.ID, err, retryAfter(code))
	}
	f.opts.Log.Warn("request failed", append(attrs, "answered", status, "cut", abort)...)
	if abort {
		// The head has gone out, so that only a broken connection tells the caller
		// that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}
