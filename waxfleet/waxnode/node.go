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
	"waxwingdrift.org/waxfleet/waxconn"
	"waxwingdrift.org/waxfleet/waxdispatch"
	"waxwingdrift.org/waxfleet/waxentry"
	"waxwingdrift.org/waxfleet/waxintake"
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
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time to read a request header.
	headerTimeout = 10 * time.Second
	// drainPollInterval is the interval at which Drain checks for running calls.
	drainPollInterval waxfleet.Millis = 50
	// minDrainWindow is how long a draining instance accepts calls at least. Without
	// it, load balancers that check readiness every second would send calls to a
	// closed port.
	minDrainWindow waxfleet.Millis = 1_500
	// shutdownTimeout bounds the graceful shutdown of the HTTP servers after the
	// last call.
	shutdownTimeout = 500 * time.Millisecond
	// maxRelays bounds the peers that relay one object call.
	maxRelays = 2
	// listRelayInterval is the interval between checks whether the instance list is
	// overdue. It is also how long the list may be overdue before it is read through
	// a peer, and the timeout of such a read.
	listRelayInterval waxfleet.Millis = 500
	// claimDeletionInterval is the interval at which expired claims are deleted.
	claimDeletionInterval waxfleet.Millis = 600_000
)

// Node is one router instance.
type Node struct {
	settings    Settings
	incarnation string
	self        waxfleet.Instance
	callerAddr  string
	clock       *waxfleet.Clock
	log         *slog.Logger

	byteCounter *waxmember.ByteCounter
	links       *waxmember.PeerClients
	table       *waxmember.Table
	exchanger   *waxmember.Exchanger
	platform    *waxobject.Client
	store       waxfleet.ObjectStore
	config      *waxconfig.Watcher
	keeper      *waxlease.Keeper
	owner       *waxowner.Owner
	suspects    *waxsuspect.Registry
	recorder    *waxrecord.Recorder
	metrics     *waxmetric.Metrics

	intake       *waxintake.Intake
	callerServer *http.Server
	peerServer   *http.Server
	// flushSpans writes the buffered spans.
	flushSpans func(ctx context.Context) error
	// initialized is set once all components exist. Callbacks of components that
	// start earlier check it before they use a later one.
	initialized atomic.Bool
	draining    atomic.Bool
	activeCalls atomic.Int64
	options     []Option
	// newerConfig signals that a digest named a newer configuration, and configInstalled
	// that one was installed.
	newerConfig     chan struct{}
	configInstalled chan struct{}

	listMu sync.Mutex
	// listRequestedAt is when the current instance list was requested. lastListed holds
	// when the last list that contained an instance was requested, by instance ID.
	listRequestedAt waxfleet.Millis
	lastListed      map[string]waxfleet.Millis
}

// Option replaces dependencies of the owner component before it starts, for tests
// and measurements.
type Option func(deps *waxowner.Dependencies)

// New starts an instance, which listens when New returns. The end of ctx stops it
// immediately; Drain stops it gracefully.
//
// Errors: CodeSettingInvalid for an invalid setting or an address that can't be
// listened on; CodeInternal when tracing can't be set up.
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
		self:        waxfleet.NewInstance(settings.InstanceID, settings.FailureDomain, peerListener.Addr().String(), waxfleet.StateLive),
		callerAddr:  callerListener.Addr().String(),
		log:         log.With("instance", settings.InstanceID),
		byteCounter: &waxmember.ByteCounter{},
		options:     options,
		lastListed:  map[string]waxfleet.Millis{},

		newerConfig: make(chan struct{}, 1), configInstalled: make(chan struct{}, 1),
	}
	if err := n.initComponents(ctx); err != nil {
		_ = callerListener.Close()
		_ = peerListener.Close()
		return nil, err
	}
	n.serve(ctx, callerListener, peerListener)
	return n, nil
}

// CallerAddress returns the "ip:port" that callers connect to.
func (n *Node) CallerAddress() string { return n.callerAddr }

// PeerAddress returns the "ip:port" that other instances connect to.
func (n *Node) PeerAddress() string { return n.self.PeerAddress() }

// ControlBytes returns the total control traffic in bytes, in both directions.
func (n *Node) ControlBytes() int64 { return n.byteCounter.Bytes() }

// Self returns the instance as its peers know it.
func (n *Node) Self() waxfleet.Instance { return n.self }

// ConfigVersion returns the version of the configuration in force, 0 for none.
func (n *Node) ConfigVersion() uint64 { return n.config.Current().Version() }

// Share returns this instance's share of a backend server's load limit.
func (n *Node) Share(server string) waxlease.Share { return n.keeper.Share(server) }

// initComponents creates the components in the order of their dependencies.
func (n *Node) initComponents(ctx context.Context) error {
	provider, err := waxmetric.NewTracer(ctx, n.self.ID(), n.settings.TraceWriter)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeInternal, "tracing could not be set up")
	}
	n.flushSpans = func(context.Context) error { return nil }
	if f, ok := provider.(spanFlusher); ok {
		n.flushSpans = f.ForceFlush
	}
	tracer := provider.Tracer("waxwingdrift.org/waxfleet")
	interceptor, err := otelconnect.NewInterceptor(
		otelconnect.WithTracerProvider(provider), otelconnect.WithPropagator(propagation.TraceContext{}),
		otelconnect.WithTrustRemote(), otelconnect.WithoutMetrics(),
	)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeInternal, "tracing could not be set up")
	}
	n.metrics = waxmetric.New(ctx, n.self.ID())
	n.recorder = waxrecord.NewRecorder(n.clock, n.self.ID(), n.settings.MaxRecords)
	n.suspects = waxsuspect.New(n.clock)
	n.links = waxmember.NewPeerClients(ctx, n.settings.Hooks.Dial, n.byteCounter, connect.WithInterceptors(interceptor))
	n.table = waxmember.NewTable(n.clock, n.self, n.incarnation)
	n.addSeedPeers()
	n.platform = waxobject.NewClient("http://"+n.settings.PlatformAddress, n.self.ID(), &http.Client{Transport: n.controlTransport()})
	n.store = n.settings.Hooks.wrapStore(waxobject.NewFallback(n.platform, n.relayStores))
	n.config = waxconfig.NewWatcher(ctx, n.store, n.clock, n.log, n.configChanged)
	n.keeper = waxlease.NewKeeper(ctx, n.store, n.table, n.clock, n.incarnation, waxlease.Callbacks{
		AssignmentChanged: n.assignmentChanged, ConfigVersion: n.ConfigVersion,
	}, n.log)
	config := n.settings.Hooks.wrapConfig(n.config)
	dispatcher := n.settings.Hooks.wrapDispatcher(waxdispatch.New(n.clock, waxdispatch.Options{
		ProgressTimeout: n.settings.ProgressTimeout, ReportDial: n.dialControl, Tracer: tracer,
	}, n.log))
	claims := waxclaim.New(ctx, n.store, n.clock,
		waxlease.NewMember(n.self.ID(), n.incarnation).String(), n.log,
		waxclaim.HolderStopped(n.memberStopped))
	ownerDeps := waxowner.Dependencies{
		Clock: n.clock, Config: config, Ownership: n.keeper, Table: n.table, Dispatcher: dispatcher,
		Claims: claims, Suspects: n.suspects, Recorder: n.recorder, Log: n.log,
		SpreadSuspect: n.spreadSuspect, RefreshAssignment: n.refreshAssignment, MaxExceptions: n.settings.MaxExceptions,
	}
	for _, option := range n.options {
		option(&ownerDeps)
	}
	n.owner = waxowner.New(ctx, ownerDeps)
	n.table.SetLocal(&localState{node: n})
	waxmember.NewBroadcaster(ctx, n.table, n.links, n.clock, n.owner.Loads, n.log)
	n.exchanger = waxmember.NewExchanger(ctx, n.table, n.links, n.clock, n.priorityPeers, n.log)
	router := waxroute.New(waxroute.Dependencies{
		Clock: n.clock, Config: config, Table: n.table, Links: n.links, Local: n.owner, Suspects: n.suspects,
		Recorder: n.recorder, Tracer: tracer, Log: n.log, MaxDomainExceptions: n.settings.MaxExceptions,
	})
	n.intake = waxintake.New(waxintake.Options{
		MemoryBytes: int64(n.settings.MemoryMB) << 20, MaxOpenFiles: n.settings.MaxOpenFiles, Clock: n.clock, Log: n.log,
		Limits: func() waxfleet.CallerLimits { return waxfleet.CallerLimits{} },
	})
	n.callerServer = &http.Server{
		Handler: n.trackCalls(waxentry.New(waxentry.Dependencies{
			Clock: n.clock, Config: n.config, Router: router, Recorder: n.recorder, Metrics: n.metrics,
			Tracer: tracer, Log: n.log, Ready: n.Ready,
		})),
		ConnContext:    waxconn.Context,
		ConnState:      waxintake.Track,
		MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	mux := http.NewServeMux()
	mux.Handle(waxwireconnect.NewPeerHandler(&peerService{node: n},
		connect.WithInterceptors(interceptor), connect.WithConditionalHandlerOptions(withoutCompression)))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	n.peerServer = &http.Server{
		Handler: mux, Protocols: protocols, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	n.initialized.Store(true)
	n.startBackgroundTasks(ctx, claims)
	return nil
}

// withoutCompression disables gzip for the replies of Serve, which carry responses to
// callers. A stream is sent token by token: compressing each part costs more CPU time
// than all other work of the owner and makes small parts larger.
func withoutCompression(spec connect.Spec) []connect.HandlerOption {
	if spec.Procedure != waxwireconnect.PeerServeProcedure {
		return nil
	}
	return []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}
}

// serve accepts connections until ctx ends.
func (n *Node) serve(ctx context.Context, callers, peers net.Listener) {
	go func() { _ = n.callerServer.Serve(n.intake.Listener(callers)) }()
	go func() { _ = n.peerServer.Serve(&countedListener{Listener: peers, counter: n.byteCounter}) }()
	go func() {
		<-ctx.Done()
		_ = n.callerServer.Close()
		_ = n.peerServer.Close()
	}()
}

// startBackgroundTasks starts the periodic tasks.
func (n *Node) startBackgroundTasks(ctx context.Context, claims *waxclaim.Store) {
	go func() {
		for ctx.Err() == nil {
			n.refreshList(ctx, n.platform)
			if n.clock.Sleep(ctx, n.settings.ListInterval) != nil {
				return
			}
		}
	}()
	go func() {
		for n.clock.Sleep(ctx, listRelayInterval) == nil {
			n.refreshListFromPeers(ctx)
		}
	}()
	go func() {
		for n.awaitNewerConfig(ctx, waxmember.ExchangeInterval) == nil {
			n.fetchNewerConfig(ctx)
			n.updateGauges()
		}
	}()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-n.configInstalled:
				n.exchanger.AnnounceConfig(ctx, n.ConfigVersion())
			}
		}
	}()
	go func() {
		for n.clock.Sleep(ctx, claimDeletionInterval) == nil {
			n.deleteExpiredClaims(ctx, claims)
		}
	}()
}

func (n *Node) deleteExpiredClaims(ctx context.Context, claims *waxclaim.Store) {
	deleted, err := claims.DeleteExpired(ctx, n.deletesClaim)
	if err != nil {
		n.log.WarnContext(ctx, "old claims could not all be deleted", "deleted", deleted, "error", err)
	}
}

// refreshList reads the instance list and reports whether that succeeded. If it fails,
// the last list stays in use.
func (n *Node) refreshList(ctx context.Context, from waxfleet.InstanceLister) bool {
	requestedAt := n.clock.Now()
	instances, servers, err := from.ListInstances(ctx)
	if err != nil {
		n.log.DebugContext(ctx, "instance list could not be read", "error", err)
		return false
	}
	n.listMu.Lock()
	defer n.listMu.Unlock()
	if requestedAt < n.listRequestedAt {
		return true // a list that was requested later is already in use
	}
	n.listRequestedAt = requestedAt
	n.table.SetList(instances, servers)
	n.keeper.SetList(instances)
	for _, i := range instances {
		n.lastListed[i.ID()] = requestedAt
	}
	return true
}

// refreshListFromPeers reads the instance list through peers when the last read
// from the platform is overdue. Otherwise an owner that can't reach the platform
// would keep sending work to a backend server that only the list shows as
// leaving.
func (n *Node) refreshListFromPeers(ctx context.Context) {
	n.listMu.Lock()
	age := n.clock.Now() - n.listRequestedAt
	n.listMu.Unlock()
	if age <= n.settings.ListInterval+listRelayInterval {
		return
	}
	for _, relay := range n.relays() {
		if n.refreshListVia(ctx, relay) {
			return
		}
	}
}

func (n *Node) refreshListVia(ctx context.Context, relay *waxobject.Relay) bool {
	ctx, cancel := context.WithTimeout(ctx, listRelayInterval.Duration())
	defer cancel()
	return n.refreshList(ctx, relay)
}

// memberStopped reports whether the process of a member is known to have ended. That is
// the case if a later incarnation exists, or if the instance was listed and has since
// been missing from the instance list for more than waxlease.UnlistedTimeout.
func (n *Node) memberStopped(member string) bool {
	m := waxlease.ParseMember(member)
	if m.Instance() == n.self.ID() {
		return m.Incarnation() < n.incarnation
	}
	if n.table.Restarted(member) {
		return true
	}
	n.listMu.Lock()
	defer n.listMu.Unlock()
	at, ok := n.lastListed[m.Instance()]
	return ok && n.listRequestedAt-at > waxlease.UnlistedTimeout
}

// addSeedPeers makes the seed peers of the settings known before the first
// instance list.
func (n *Node) addSeedPeers() {
	var seeds []waxfleet.Instance
	for _, s := range n.settings.SeedPeers {
		if i, err := parseSeedPeer(s); err == nil {
			seeds = append(seeds, i)
		}
	}
	n.table.SetList(seeds, nil)
}

// Ready reports whether this instance accepts calls: it has a configuration,
// knows backend servers and their owners, and is not draining.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.config.Current().Version() > 0 &&
		len(n.table.Servers()) > 0 && n.keeper.Assignment().Epoch() > 0
}

// Drain stops the instance gracefully: it stops admitting requests as an owner,
// notifies its peers, and waits until all calls have ended or ctx ends. Meanwhile
// it serves callers through other owners. If ctx ends first, Drain returns its error.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	earliestStop := n.clock.Now() + minDrainWindow
	n.table.SetLeaving()
	n.owner.Stop()
	n.table.Depart()
	n.exchanger.ExchangeAll(ctx)
	n.keeper.SetLeaving(ctx)
	n.log.InfoContext(ctx, "draining", "in-flight", n.owner.InFlight(), "calls", n.activeCalls.Load())
	for n.activeCalls.Load() > 0 || n.owner.InFlight() > 0 || n.clock.Now() < earliestStop {
		if err := n.clock.Sleep(ctx, drainPollInterval); err != nil {
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

// spanFlusher is a tracer provider that buffers ended spans.
type spanFlusher interface {
	ForceFlush(ctx context.Context) error
}

// shutdown closes the listeners and waits for at most shutdownTimeout until the last
// responses are sent, because the process may exit right after. It does not wait longer
// for connections without a call, for which net/http waits up to 5 s.
func (n *Node) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = n.callerServer.Shutdown(ctx)
	_ = n.peerServer.Shutdown(ctx)
}

// trackCalls tracks running calls, so that Drain can wait for them. While
// draining, each connection is closed after its next response: closing idle
// connections immediately would abort calls that are in transit.
func (n *Node) trackCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.activeCalls.Add(1)
		defer n.activeCalls.Add(-1)
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Owns reports whether this instance has the full share of a backend server in
// its own failure domain.
func (n *Node) Owns(server string) bool {
	b, ok := n.table.Server(server)
	return ok && b.FailureDomain() == n.self.FailureDomain() && n.keeper.Share(server) == waxlease.Full
}
