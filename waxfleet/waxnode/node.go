package waxnode

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/propagation"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxclaim"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxdispatch"
	"waxwingdrift.org/waxfleet/waxentry"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxmetric"
	"waxwingdrift.org/waxfleet/waxobject"
	"waxwingdrift.org/waxfleet/waxowner"
	"waxwingdrift.org/waxfleet/waxrecord"
	"waxwingdrift.org/waxfleet/waxroute"
	"waxwingdrift.org/waxfleet/waxsuspect"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

const (
	// maxHeaderBytes bounds the headers of a caller's request.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the reading of a caller's headers.
	headerTimeout = 10 * time.Second
	// drainCheck is the time between looks at the running work of a stopping
	// instance.
	drainCheck waxfleet.Millis = 50
	// drainNotice is the least time that a stopping instance goes on taking calls,
	// so that load balancers that ask for readiness each second send none to a
	// closed port.
	drainNotice waxfleet.Millis = 1_500
	// flushTime bounds the closing of connections after the last call.
	flushTime = 500 * time.Millisecond
	// relayLimit bounds the relays that an object call is tried through.
	relayLimit = 2
	// listCheck is how late the instance list may be before it is read through a
	// peer, the time between checks for that, and the bound of such a read.
	listCheck waxfleet.Millis = 500
	// sweepInterval is the time between deletions of old claims.
	sweepInterval waxfleet.Millis = 600_000
)

// Node is one router instance.
type Node struct {
	settings    Settings
	incarnation string
	self        waxfleet.Instance
	callerAddr  string
	clock       *waxfleet.Clock
	log         *slog.Logger

	counter   *waxmember.ByteCounter
	links     *waxmember.Links
	table     *waxmember.Table
	exchanger *waxmember.Exchanger
	platform  *waxobject.Client
	store     waxfleet.ObjectStore
	config    *waxconfig.Holder
	keeper    *waxlease.Keeper
	owner     *waxowner.Owner
	suspects  *waxsuspect.Register
	recorder  *waxrecord.Recorder
	metrics   *waxmetric.Metrics

	callers *http.Server
	peers   *http.Server
	// flushSpans writes the spans that have ended.
	flushSpans func(ctx context.Context) error
	// assembled is set once all parts are in place; work that started earlier
	// checks it before it uses a part that comes later.
	assembled atomic.Bool
	draining  atomic.Bool
	active    atomic.Int64
	options   []Option

	listMu sync.Mutex
	// listed is when the newest instance list in use was asked for, and lastSeen
	// when each instance was last in it.
	listed   waxfleet.Millis
	lastSeen map[string]waxfleet.Millis
}

// Option changes the parts of the owner before it starts, so that tests and
// measurements can replace a component.
type Option func(parts *waxowner.Parts)

// New starts an instance. It listens when New returns, and stops at once when
// ctx ends; Drain stops it without cutting off a request.
func New(ctx context.Context, settings Settings, log *slog.Logger, options ...Option) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	callerListener, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "--caller-address is %q; allowed: a free address of this machine", settings.CallerAddress)
	}
	peerListener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		_ = callerListener.Close()
		return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "--peer-address is %q; allowed: a free address of this machine", settings.PeerAddress)
	}
	n := &Node{
		settings: settings, incarnation: ulid.Make().String(), clock: waxfleet.NewClock(),
		self:       waxfleet.NewInstance(settings.InstanceID, settings.FailureDomain, peerListener.Addr().String(), waxfleet.StateLive),
		callerAddr: callerListener.Addr().String(),
		log:        log.With("instance", settings.InstanceID),
		counter:    &waxmember.ByteCounter{},
		options:    options,
		lastSeen:   map[string]waxfleet.Millis{},
	}
	if err := n.assemble(ctx); err != nil {
		_ = callerListener.Close()
		_ = peerListener.Close()
		return nil, err
	}
	n.serve(ctx, callerListener, peerListener)
	return n, nil
}

// CallerAddress returns "ip:port" for callers.
func (n *Node) CallerAddress() string { return n.callerAddr }

// PeerAddress returns "ip:port" for other instances.
func (n *Node) PeerAddress() string { return n.self.PeerAddress() }

// ControlBytes returns the bytes of control traffic so far, both directions.
func (n *Node) ControlBytes() int64 { return n.counter.Bytes() }

// Self returns the instance.
func (n *Node) Self() waxfleet.Instance { return n.self }

// ConfigVersion returns the version of the configuration in force.
func (n *Node) ConfigVersion() uint64 { return n.config.Current().Version() }

// Share returns what this instance may use of a backend server's limit.
func (n *Node) Share(server string) waxlease.Share { return n.keeper.Share(server) }

// assemble makes the parts, in the order in which they depend on each other.
func (n *Node) assemble(ctx context.Context) error {
	provider, err := waxmetric.NewTracer(ctx, n.self.ID(), n.settings.TraceWriter)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeInternal, "tracing could not start")
	}
	n.flushSpans = func(context.Context) error { return nil }
	if f, ok := provider.(spanFlusher); ok {
		n.flushSpans = f.ForceFlush
	}
	tracer := provider.Tracer("waxwingdrift.org/waxfleet")
	interceptor, err := otelconnect.NewInterceptor(otelconnect.WithTracerProvider(provider), otelconnect.WithPropagator(propagation.TraceContext{}),
		otelconnect.WithTrustRemote(), otelconnect.WithoutMetrics())
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeInternal, "tracing could not start")
	}
	n.metrics = waxmetric.New(ctx, n.self.ID())
	n.recorder = waxrecord.NewRecorder(n.clock, n.self.ID(), n.settings.Records)
	n.suspects = waxsuspect.New(n.clock)
	n.links = waxmember.NewLinks(ctx, n.settings.Hooks.Dial, n.counter, connect.WithInterceptors(interceptor))
	n.table = waxmember.NewTable(n.clock, n.self, n.incarnation)
	n.setSeeds()
	n.platform = waxobject.NewClient("http://"+n.settings.PlatformAddress, n.self.ID(), &http.Client{Transport: n.countedTransport()})
	n.store = n.settings.Hooks.store(waxobject.NewFallback(n.platform, n.relayStores))
	n.config = waxconfig.NewHolder(ctx, n.store, n.clock, n.log, n.configChanged)
	n.keeper = waxlease.NewKeeper(ctx, n.store, n.table, n.clock, n.incarnation, waxlease.Callbacks{
		Changed: n.assignmentChanged, ConfigVersion: n.ConfigVersion,
	}, n.log)
	config := n.settings.Hooks.config(n.config)
	dispatcher := n.settings.Hooks.dispatcher(waxdispatch.New(n.clock, waxdispatch.Options{
		ProgressTimeout: n.settings.ProgressTimeout, ReportDial: n.countedDial, Tracer: tracer,
	}, n.log))
	claims := waxclaim.New(ctx, n.store, n.clock, waxlease.NewMember(n.self.ID(), n.incarnation).String(), n.log, waxclaim.HolderStopped(n.stopped))
	parts := waxowner.Parts{
		Clock: n.clock, Config: config, Ownership: n.keeper, Table: n.table, Dispatcher: dispatcher,
		Claims: claims, Suspects: n.suspects, Recorder: n.recorder, Log: n.log,
		Spread: n.spread, News: n.news, Exceptions: n.settings.Exceptions,
	}
	for _, change := range n.options {
		change(&parts)
	}
	n.owner = waxowner.New(ctx, parts)
	n.table.Bind(&localState{node: n})
	waxmember.NewBroadcaster(ctx, n.table, n.links, n.clock, n.owner.Loads, n.log)
	n.exchanger = waxmember.NewExchanger(ctx, n.table, n.links, n.clock, n.importantPeers, n.log)
	router := waxroute.New(waxroute.Parts{
		Clock: n.clock, Config: config, Table: n.table, Links: n.links, Local: n.owner, Suspects: n.suspects,
		Recorder: n.recorder, Tracer: tracer, Log: n.log, DomainExceptions: n.settings.Exceptions,
	})
	n.callers = &http.Server{
		Handler: n.count(waxentry.New(waxentry.Parts{
			Clock: n.clock, Config: n.config, Route: router, Recorder: n.recorder, Metrics: n.metrics,
			Tracer: tracer, Log: n.log, Ready: n.Ready,
		})),
		MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	mux := http.NewServeMux()
	mux.Handle(waxwireconnect.NewPeerHandler(&peerService{node: n}, connect.WithInterceptors(interceptor), connect.WithConditionalHandlerOptions(withoutCompression)))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	n.peers = &http.Server{
		Handler: mux, Protocols: protocols, ReadHeaderTimeout: headerTimeout, ConnContext: markConn,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	n.assembled.Store(true)
	n.background(ctx, claims)
	return nil
}

// withoutCompression turns gzip off for the answers to callers. A stream is sent
// token by token, and compressing each part costs more CPU time than all else at
// the owner and makes small parts larger.
func withoutCompression(spec connect.Spec) []connect.HandlerOption {
	if spec.Procedure != waxwireconnect.PeerServeProcedure {
		return nil
	}
	return []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}
}

// serve accepts calls until ctx ends.
func (n *Node) serve(ctx context.Context, callers, peers net.Listener) {
	go func() { _ = n.callers.Serve(callers) }()
	go func() { _ = n.peers.Serve(&countedListener{Listener: peers, counter: n.counter}) }()
	go func() {
		<-ctx.Done()
		_ = n.callers.Close()
		_ = n.peers.Close()
	}()
}

// background starts the periodic work.
func (n *Node) background(ctx context.Context, claims *waxclaim.Store) {
	go func() {
		for ctx.Err() == nil {
			n.list(ctx, n.platform)
			if n.clock.Sleep(ctx, n.settings.ListInterval) != nil {
				return
			}
		}
	}()
	go func() {
		for n.clock.Sleep(ctx, listCheck) == nil {
			n.relayList(ctx)
		}
	}()
	go func() {
		for n.clock.Sleep(ctx, waxmember.ExchangeInterval) == nil {
			n.catchUpConfig(ctx)
			n.reportGauges()
		}
	}()
	go func() {
		for n.clock.Sleep(ctx, sweepInterval) == nil {
			n.sweep(ctx, claims)
		}
	}()
}

func (n *Node) sweep(ctx context.Context, claims *waxclaim.Store) {
	deleted, err := claims.DeleteExpired(ctx, n.sweepsClaim)
	if err != nil {
		n.log.WarnContext(ctx, "old claims could not all be deleted", "deleted", deleted, "error", err)
	}
}

// list reads the platform's instance list and reports success. While it can't
// be read, the last one stays in use.
func (n *Node) list(ctx context.Context, from waxfleet.InstanceLister) bool {
	asked := n.clock.Now()
	instances, servers, err := from.ListInstances(ctx)
	if err != nil {
		n.log.DebugContext(ctx, "instance list could not be read", "error", err)
		return false
	}
	n.listMu.Lock()
	defer n.listMu.Unlock()
	if asked < n.listed {
		return true // a read that was sent later has been taken
	}
	n.listed = asked
	n.table.SetList(instances, servers)
	n.keeper.SetList(instances)
	for _, i := range instances {
		n.lastSeen[i.ID()] = asked
	}
	return true
}

// relayList reads the instance list through peers when the platform has not
// answered lately. An owner that is cut off from the platform would otherwise
// give work to a backend server that only the list shows as leaving.
func (n *Node) relayList(ctx context.Context) {
	n.listMu.Lock()
	late := n.clock.Now() - n.listed
	n.listMu.Unlock()
	if late <= n.settings.ListInterval+listCheck {
		return
	}
	for _, relay := range n.relays() {
		if n.listThrough(ctx, relay) {
			return
		}
	}
}

func (n *Node) listThrough(ctx context.Context, relay *waxobject.Relay) bool {
	ctx, cancel := context.WithTimeout(ctx, listCheck.Duration())
	defer cancel()
	return n.list(ctx, relay)
}

// stopped reports proof that the process of a member has ended: a later
// incarnation, or absence from the instance list after it was listed.
func (n *Node) stopped(member string) bool {
	m := waxlease.ParseMember(member)
	if m.Instance() == n.self.ID() {
		return m.Incarnation() < n.incarnation
	}
	if n.table.Restarted(member) {
		return true
	}
	n.listMu.Lock()
	defer n.listMu.Unlock()
	at, ok := n.lastSeen[m.Instance()]
	return ok && n.listed-at > waxlease.GoneFromList
}

// setSeeds makes the instances of the settings known before the first list.
func (n *Node) setSeeds() {
	var seeds []waxfleet.Instance
	for _, s := range n.settings.SeedPeers {
		if i, err := parseSeed(s); err == nil {
			seeds = append(seeds, i)
		}
	}
	n.table.SetList(seeds, nil)
}

// Ready reports whether this instance wants calls: it has a configuration, knows
// backend servers and their owners, and is not stopping.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.config.Current().Version() > 0 &&
		len(n.table.Servers()) > 0 && n.keeper.Assignment().Epoch() > 0
}

// Drain stops the instance without cutting off a request: it stops admitting,
// tells the others, and waits until all work has ended or ctx ends. Callers are
// served meanwhile, through other owners.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	notified := n.clock.Now() + drainNotice
	n.table.SetLeaving()
	n.owner.Stop()
	n.table.Depart()
	n.exchanger.All(ctx)
	n.keeper.SetLeaving(ctx)
	n.log.InfoContext(ctx, "draining", "in-flight", n.owner.InFlight(), "calls", n.active.Load())
	for n.active.Load() > 0 || n.owner.InFlight() > 0 || n.clock.Now() < notified {
		if err := n.clock.Sleep(ctx, drainCheck); err != nil {
			return err
		}
	}
	n.shutdown(ctx)
	n.log.InfoContext(ctx, "drained")
	if err := n.flushSpans(ctx); err != nil {
		n.log.WarnContext(ctx, "the last spans could not be written", "error", err)
	}
	return nil
}

// spanFlusher is a tracer provider that holds ended spans back to write several
// at once.
type spanFlusher interface {
	ForceFlush(ctx context.Context) error
}

// shutdown closes the listeners and gives what the last calls wrote time to
// leave: the process may end right after. Connections without a call, which
// net/http waits for up to 5 s, need no more than that.
func (n *Node) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	_ = n.callers.Shutdown(ctx)
	_ = n.peers.Shutdown(ctx)
}

// count counts running calls, so that Drain can wait for them. While the instance
// stops, each connection is closed by its next answer: closing idle ones at once
// would cut off calls that are on their way.
func (n *Node) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Owns reports whether this instance has the full share of a backend server of
// its failure domain.
func (n *Node) Owns(server string) bool {
	b, ok := n.table.Server(server)
	return ok && b.FailureDomain() == n.self.FailureDomain() && n.keeper.Share(server) == waxlease.Full
}
