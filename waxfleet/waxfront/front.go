// Package waxfront assembles a router instance that forwards requests in one
// hop, and runs its addresses.
package waxfront

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxforward"
	"waxwingdrift.org/waxfleet/waxfresh"
	"waxwingdrift.org/waxfleet/waxmetric"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxquota"
	"waxwingdrift.org/waxfleet/waxreplica"
	"waxwingdrift.org/waxfleet/waxsuspect"
	"waxwingdrift.org/waxfleet/waxtable"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

const (
	// sweepInterval is the time between looks at idle connections and missing
	// servers, in ms.
	sweepInterval waxfleet.Millis = 500
	// headerTime and idleTime are how long a caller may take to send a header and
	// may leave a connection idle. They exceed what configurations allow callers.
	headerTime = 10 * time.Second
	idleTime   = 60 * time.Second
	// maxHeader is the largest header that is read, in bytes.
	maxHeader = 64 << 10
)

// Store gives access to the platform's store.
type Store interface {
	Configurations() waxfleet.Feed[*waxtable.Table]
	BackendServers() waxfleet.Feed[waxfleet.EngineEntry]
	Evacuations() waxfleet.Feed[waxfleet.Evacuation]
	Peers() waxfleet.PeerRegistry
}

// Options configure a Front.
type Options struct {
	Settings waxfleet.InstanceSettings
	Store    Store
	Protocol waxfleet.Protocol
	// ReadyPath is the path on which the load balancer asks whether the instance
	// is ready.
	ReadyPath string
	Clock     *waxfleet.Clock
	Log       *slog.Logger
	// Traces receives the spans as JSON; nil turns tracing off.
	Traces io.Writer
	// DroppedLogs returns the number of log lines dropped so far.
	DroppedLogs func() int64
}

// Front is one running instance.
type Front struct {
	opts      Options
	log       *slog.Logger
	table     atomic.Pointer[waxtable.Table]
	bounds    atomic.Pointer[waxfleet.FleetBounds]
	proof     *waxfresh.Proof
	directory *waxdirectory.Directory
	servers   *waxforward.Servers
	loads     *waxpeer.Loads
	holders   *waxcache.Holders
	suspects  *waxsuspect.Register
	exchanger *waxpeer.Exchanger
	copies    *copies
	forwarder *waxforward.Forwarder
	metrics   *metrics
	callers   *http.Server
	idle      *idleConns

	mu        sync.Mutex
	instances []string
	ready     bool

	stopping atomic.Bool
	refusals atomic.Int64
}

// New opens the addresses and runs the instance until ctx ends.
func New(ctx context.Context, opts Options) (*Front, error) {
	s := opts.Settings
	f := &Front{opts: opts, log: opts.Log, proof: waxfresh.NewProof(opts.Clock, s.Bounds.Revocation), instances: []string{s.Instance}}
	f.bounds.Store(&s.Bounds)
	f.directory = waxdirectory.New(opts.Clock)
	f.servers = waxforward.NewServers(opts.Clock, opts.Protocol)
	f.loads = waxpeer.NewLoads(opts.Clock, s.FailureDomain)
	f.holders = waxcache.NewHolders()
	f.suspects = waxsuspect.New(opts.Clock)
	f.metrics = newMetrics(ctx, s.Instance)
	tracers, err := waxmetric.NewTracer(ctx, s.Instance, opts.Traces)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeInternal, "tracing can't be set up")
	}
	f.forwarder = waxforward.New(waxforward.Options{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Clock: opts.Clock, Log: opts.Log, Tracer: tracers.Tracer("waxforward"), Protocol: opts.Protocol,
		Directory: f.directory, Loads: f.loads, Holders: f.holders, Suspects: f.suspects, Silent: func(domain string) bool { return f.exchanger.DomainSilent(domain) }, Flush: func() { f.exchanger.Flush() }, Proof: f.proof, Servers: f.servers, Table: f.table.Load,
		Bounds: f.forwardBounds, Instances: f.Instances, Stopping: f.stopping.Load, Observe: f.metrics.observe,
	})
	f.copies = newCopies(opts.Clock, s.Instance)
	f.exchanger, err = waxpeer.NewExchanger(ctx, f.loads, waxpeer.Options{
		Self: waxpeer.Peer{Name: s.Instance, FailureDomain: s.FailureDomain, Address: f.peerAddress()}, Clock: opts.Clock, Log: opts.Log, Counts: f.servers.Counts, Holders: f.holders, Suspects: f.suspects,
		Revisions: f.copies.last, StoreReachable: func() bool { return f.copies.storeAnswers() && f.table.Load() != nil },
	})
	if err != nil {
		return nil, err
	}
	if err := f.listen(ctx); err != nil {
		return nil, err
	}
	f.follow(ctx)
	go func() { f.sweep(ctx) }()
	go func() { f.announce(ctx) }()
	return f, nil
}

// peerAddress is "ip:port" for datagrams between instances.
func (f *Front) peerAddress() string {
	return net.JoinHostPort(f.opts.Settings.IP, strconv.Itoa(f.opts.Settings.FirstPort))
}

// listen opens the addresses for callers, for the load balancer and for metrics.
func (f *Front) listen(ctx context.Context) error {
	s := f.opts.Settings
	f.idle = newIdleConns()
	f.callers = &http.Server{
		Handler: f.forwarder, ConnState: f.idle.track, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
	}
	ready := echo.New()
	ready.GET(f.opts.ReadyPath, f.serveReady)
	peers := echo.New()
	peers.GET("/metrics", echo.WrapHandler(f.metrics.handler))
	path, handler := waxreplica.NewServer(f.copies.replicas)
	peers.Any(path+"*", echo.WrapHandler(handler))
	path, handler = waxwireconnect.NewInspectionHandler(&inspection{front: f})
	peers.Any(path+"*", echo.WrapHandler(handler))
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{s.CallerAddress, f.callers},
		{s.ReadyAddress, &http.Server{Handler: ready, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}},
		{f.peerAddress(), &http.Server{Handler: peers, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}},
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", l.address)
		if err != nil {
			return waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "the address %q can't be opened", l.address)
		}
		if l.server != f.callers {
			context.AfterFunc(ctx, func() { _ = l.server.Close() })
		}
		go func() {
			if err := l.server.Serve(listener); err != nil && ctx.Err() == nil && !f.stopping.Load() {
				f.log.Error("address closed", "address", l.address, "error", err.Error())
			}
		}()
	}
	return nil
}

// serveReady answers the load balancer.
func (f *Front) serveReady(c echo.Context) error {
	ready, why := f.Ready()
	f.mu.Lock()
	changed := ready != f.ready
	f.ready = ready
	f.mu.Unlock()
	if changed {
		age, _ := f.proof.Age()
		f.log.Info("readiness changed", "ready", ready, "reason", why, "proof-age-ms", int64(age))
	}
	if !ready {
		f.refusals.Add(1)
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// Ready reports whether the instance wants new connections, and why not.
func (f *Front) Ready() (bool, string) {
	switch {
	case f.stopping.Load():
		return false, "stopping"
	case f.table.Load() == nil:
		return false, "no configuration"
	case !f.directory.Loaded():
		return false, "no list of backend servers"
	case !f.proof.Holds():
		return false, "configuration not confirmed"
	}
	return true, "serving"
}

// Instances returns the names of all router instances, this one included.
func (f *Front) Instances() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

func (f *Front) forwardBounds() waxforward.Bounds {
	b := f.bounds.Load()
	return waxforward.Bounds{
		Retry:         waxquota.RetryBound{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow},
		ColdOvershoot: b.ColdOvershoot, ColdSlack: b.ColdSlack, ConfigTime: b.ConfigTime,
	}
}

// Apply puts changed settings in force. Addresses and names stay as they were at
// the start.
func (f *Front) Apply(s waxfleet.InstanceSettings) {
	bounds := s.Bounds
	f.bounds.Store(&bounds)
	f.proof.SetBound(bounds.Revocation)
}

// sweep looks after what changes with time alone.
func (f *Front) sweep(ctx context.Context) {
	for f.opts.Clock.Sleep(ctx, sweepInterval) == nil {
		f.logServers(f.directory.Sweep(), "missing after the outage of the store")
		f.servers.Keep(f.directory, f.holders)
		f.metrics.gauges(f.forwarder.Active(), f.directory.Count(), f.opts.DroppedLogs())
	}
}

// announce writes the own entry to the registry of instances.
func (f *Front) announce(ctx context.Context) {
	entry := waxfleet.PeerEntry{Address: f.peerAddress(), FailureDomain: f.opts.Settings.FailureDomain}
	pause := announceRetry
	for {
		callCtx, cancel := context.WithTimeout(ctx, registryTime)
		err := f.opts.Store.Peers().Announce(callCtx, f.opts.Settings.Instance, entry)
		cancel()
		if err == nil {
			f.log.Info("instance announced", "address", entry.Address)
			return
		}
		f.log.Warn("instance not announced", "error", err.Error(), "again-in-ms", int64(pause))
		if f.opts.Clock.Sleep(ctx, pause) != nil {
			return
		}
		pause = min(pause*2, longestAnnounceRetry)
	}
}

const (
	// registryTime bounds a call to the registry of instances.
	registryTime = 2 * time.Second
	// announceRetry and longestAnnounceRetry bound the pause between tries, in ms.
	announceRetry        waxfleet.Millis = 200
	longestAnnounceRetry waxfleet.Millis = 2_000
)

// applyConfig puts a configuration in force; versions only rise.
func (f *Front) applyConfig(b waxfleet.Batch[*waxtable.Table], asOf waxfleet.Millis) {
	for _, r := range b.Records {
		if r.Deleted || !r.Readable {
			// The last good configuration stays in force.
			continue
		}
		old := f.table.Load()
		if old != nil && r.Value.Version() <= old.Version() {
			continue
		}
		f.table.Store(r.Value)
		f.log.Info("configuration in force", "config-version", r.Value.Version(), "revision", r.Revision,
			"services", r.Value.Services(), "read-age-ms", int64(f.opts.Clock.Now()-asOf))
	}
	f.proof.Confirm(asOf)
}

func (f *Front) applyServers(b waxfleet.Batch[waxfleet.EngineEntry], _ waxfleet.Millis) {
	if b.Full {
		f.logServers(f.directory.ApplyList(b.Records), "list")
		return
	}
	f.logServers(f.directory.ApplyChanges(b.Records), "change")
}

func (f *Front) logServers(changes []waxdirectory.Change, source string) {
	for _, c := range changes {
		f.log.Info("backend server "+c.What, "server", c.Server.ID(), "service", c.Server.Service(),
			"failure-domain", c.Server.FailureDomain(), "address", c.Server.Address(), "revision", c.Revision, "source", source)
	}
}

// evacuations returns the function that applies changes to the failure domains
// that get no work.
func (f *Front) evacuations() func(waxfleet.Batch[waxfleet.Evacuation], waxfleet.Millis) {
	current := map[string]bool{}
	return func(b waxfleet.Batch[waxfleet.Evacuation], _ waxfleet.Millis) {
		if !b.Full && len(b.Records) == 0 {
			return
		}
		next := map[string]bool{}
		if !b.Full {
			next = maps.Clone(current)
		}
		for _, r := range b.Records {
			if r.Deleted {
				delete(next, r.Name)
				continue
			}
			next[r.Name] = true
		}
		current = next
		out, back := f.directory.Evacuate(next)
		for _, domain := range out {
			f.log.Info("failure domain out", "failure-domain", domain, "revision", b.Revision)
		}
		for _, domain := range back {
			f.log.Info("failure domain in", "failure-domain", domain, "revision", b.Revision)
		}
	}
}

// peers returns the function that applies changes to the registry of instances.
func (f *Front) peers() func(waxfleet.Batch[waxfleet.PeerEntry], waxfleet.Millis) {
	entries := map[string]waxpeer.Peer{}
	return func(b waxfleet.Batch[waxfleet.PeerEntry], _ waxfleet.Millis) {
		if !b.Full && len(b.Records) == 0 {
			return
		}
		if b.Full {
			entries = map[string]waxpeer.Peer{}
		}
		for _, r := range b.Records {
			if r.Deleted || !r.Readable {
				delete(entries, r.Name)
				continue
			}
			entries[r.Name] = waxpeer.Peer{Name: r.Name, FailureDomain: r.Value.FailureDomain, Address: r.Value.Address}
		}
		names := []string{f.opts.Settings.Instance}
		for name := range entries {
			if name != f.opts.Settings.Instance {
				names = append(names, name)
			}
		}
		f.mu.Lock()
		f.instances = names
		f.mu.Unlock()
		f.exchanger.SetPeers(slices.Collect(maps.Values(entries)))
		f.log.Info("instances changed", "instances", len(names), "revision", b.Revision)
	}
}
