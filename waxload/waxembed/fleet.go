// Package waxembed runs a fleet of stand-ins and router instances in one process,
// on loopback addresses, for experiments and tests.
package waxembed

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxfleet/waxobject"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxplatform"
	"waxwingdrift.org/waxstandin/waxservice"
)

// Names in the configuration of the embedded fleet. AtMostOncePath is the path of
// the at-most-once calls of the plain service.
const (
	ChatService    = "geiriau"
	ChatModel      = "geiriau-1"
	PlainService   = "workshop-desk"
	AtMostOncePath = "/deposits"
	loopback       = "127.0.0.1:0"
)

// FailureDomains returns the failure domains of the embedded fleet. Routers and
// backend servers are distributed over them in this order.
func FailureDomains() []string { return []string{"caerdydd", "abertawe", "wrecsam", "aberystwyth"} }

// Options configures an embedded fleet.
type Options struct {
	Routers      int
	Engines      int
	PlainServers int
	Workspaces   []string
	// Engine is the template for all engines; ID, FailureDomain, Seed and Models
	// are set for each engine.
	Engine waxengine.Options
	// ServiceDelay is the duration of a call of the plain service.
	ServiceDelay waxfleet.Millis
	// ListLag is the lag of the platform's instance list.
	ListLag waxfleet.Millis
	// ProgressTimeout is the maximum time between two events of a stream.
	ProgressTimeout waxfleet.Millis
	// Log receives the log lines of the routers. It must not be nil.
	Log *slog.Logger
	// LimitsSection is the content of the configuration section limits; empty keeps
	// the default.
	LimitsSection string
	// PriceTiersSection is the content of the configuration section price-tiers;
	// empty keeps the default.
	PriceTiersSection string
	// SeedPeers configures each new router with the addresses of the existing ones
	// as seed peers, so that it can start without the platform.
	SeedPeers bool
	// Hooks returns the hooks of a router; nil stands for no hooks.
	Hooks func(id, failureDomain string) waxnode.Hooks
	// RouterOptions are passed to each router.
	RouterOptions []waxnode.Option
}

// DefaultOptions returns a fleet of 7 routers, 18 warm engines and 4 servers of a
// plain service in 4 failure domains, without logs.
func DefaultOptions() Options {
	workspaces := make([]string, 10)
	for i := range workspaces {
		workspaces[i] = fmt.Sprintf("ws-%02d", i+1)
	}
	return Options{
		Routers:      7,
		Engines:      18,
		PlainServers: 4,
		Workspaces:   workspaces,
		Engine: waxengine.Options{
			StartWarm:              true,
			MaxBatch:               16,
			PrefillTokensPerSecond: 20_000,
			TokenInterval:          10,
			CacheBlocks:            2_000,
		},
		ListLag:         500,
		ProgressTimeout: 2_000,
		Log:             slog.New(slog.DiscardHandler),
	}
}

// Router is a router instance of the embedded fleet.
type Router struct {
	ID            string
	FailureDomain string
	Node          *waxnode.Node
	cancel        context.CancelFunc
}

// Kill stops the instance at once, like a crash.
func (r *Router) Kill() { r.cancel() }

// Fleet is a running embedded fleet. It stops when the context of Start is
// cancelled.
type Fleet struct {
	opts         Options
	platform     *waxplatform.Platform
	engines      []*waxengine.Engine
	plainServers []*waxservice.Service
	routers      []*Router
	editor       *waxconfig.Editor
	store        *waxobject.Client
}

// Start starts the stand-ins, writes the configuration and starts the routers. It
// returns once the fleet has settled. If the fleet does not settle within 30 s, the
// error has CodeInternal.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts}
	var err error
	if f.platform, err = waxplatform.New(ctx, waxplatform.Options{ListLag: opts.ListLag}); err != nil {
		return nil, err
	}
	if err := f.startBackendServers(ctx); err != nil {
		return nil, err
	}
	f.store = waxobject.NewClient("http://"+f.platform.Address(), "operator", &http.Client{})
	f.editor = waxconfig.NewEditor(f.store, waxfleet.NewClock(), opts.Log)
	if err := f.configure(ctx); err != nil {
		return nil, err
	}
	for i := range opts.Routers {
		if _, err := f.StartRouter(ctx, fmt.Sprintf("router-%d", i+1), FailureDomains()[i%len(FailureDomains())]); err != nil {
			return nil, err
		}
	}
	return f, f.awaitSettled(ctx)
}

func (f *Fleet) startBackendServers(ctx context.Context) error {
	for i := range f.opts.Engines {
		o := f.opts.Engine
		o.ID, o.FailureDomain = fmt.Sprintf("engine-%02d", i+1), f.domainOf(i)
		o.Seed, o.Models = uint64(i+1), []string{ChatModel}
		e, err := waxengine.New(ctx, o)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		f.platform.AddBackendServer(o.ID, ChatService, o.FailureDomain, e.Address())
	}
	for i := range f.opts.PlainServers {
		o := waxservice.Options{
			ID:              fmt.Sprintf("desk-%d", i+1),
			FailureDomain:   f.domainOf(i),
			Seed:            uint64(i + 1),
			ProcessingDelay: f.opts.ServiceDelay,
		}
		s, err := waxservice.New(ctx, o)
		if err != nil {
			return err
		}
		f.plainServers = append(f.plainServers, s)
		f.platform.AddBackendServer(o.ID, PlainService, o.FailureDomain, s.Address())
	}
	return nil
}

// domainOf returns the failure domain of backend server i. Only domains with a
// router get backend servers.
func (f *Fleet) domainOf(i int) string {
	return FailureDomains()[i%min(len(FailureDomains()), max(f.opts.Routers, 1))]
}

// configure writes the configuration sections of the fleet.
func (f *Fleet) configure(ctx context.Context) error {
	type workspace struct {
		Keys        []string `json:"keys"`
		DefaultTier string   `json:"default-tier"`
	}
	workspaces := map[string]workspace{}
	for _, name := range f.opts.Workspaces {
		workspaces[name] = workspace{Keys: []string{name}, DefaultTier: "standard"}
	}
	workspaceJSON, err := json.Marshal(workspaces)
	if err != nil {
		return err
	}
	services := fmt.Sprintf(`{%q:{"kind":"model-engine","models":[%q]},%q:{"kind":"plain-service","once-paths":[%q]}}`,
		ChatService, ChatModel, PlainService, AtMostOncePath)
	sections := []struct{ name, value string }{
		{waxconfig.SectionServices, services},
		{waxconfig.SectionPriceTiers, f.opts.PriceTiersSection},
		{waxconfig.SectionLimits, f.opts.LimitsSection},
		{waxconfig.SectionWorkspaces, string(workspaceJSON)},
	}
	for _, s := range sections {
		if s.value == "" {
			continue
		}
		if _, err := f.SetSection(ctx, s.name, s.value); err != nil {
			return err
		}
	}
	return nil
}

// SetSection replaces the content of a configuration section and returns the new
// version.
func (f *Fleet) SetSection(ctx context.Context, section, value string) (uint64, error) {
	return f.editor.Edit(ctx, section, func([]byte) ([]byte, error) { return []byte(value), nil })
}

// SetDomainInService returns a failure domain to service or, if inService is false,
// evacuates it. It replaces the state of all failure domains, so that no other domain
// stays evacuated. It returns the new version of the configuration.
func (f *Fleet) SetDomainInService(ctx context.Context, name string, inService bool) (uint64, error) {
	state := "out"
	if inService {
		state = "in"
	}
	return f.SetSection(ctx, waxconfig.SectionFailureDomains, fmt.Sprintf(`{%q:{"state":%q}}`, name, state))
}

// StartRouter starts an instance, or replaces one that was killed or drained. The
// instance stops when ctx is cancelled.
func (f *Fleet) StartRouter(ctx context.Context, id, failureDomain string) (*Router, error) {
	ctx, cancel := context.WithCancel(ctx)
	settings := waxnode.Settings{
		InstanceID:      id,
		FailureDomain:   failureDomain,
		CallerAddress:   loopback,
		PeerAddress:     loopback,
		PlatformAddress: f.platform.Address(),
		ProgressTimeout: f.opts.ProgressTimeout,
		ListInterval:    500,
		MaxExceptions:   waxnode.DefaultMaxExceptions,
		MaxRecords:      waxnode.DefaultMaxRecords,
	}
	if f.opts.SeedPeers {
		settings.SeedPeers = f.seedPeers(id)
	}
	if f.opts.Hooks != nil {
		settings.Hooks = f.opts.Hooks(id, failureDomain)
	}
	node, err := waxnode.New(ctx, settings, f.opts.Log, f.opts.RouterOptions...)
	if err != nil {
		cancel()
		return nil, err
	}
	f.platform.AddRouter(id, failureDomain, node.PeerAddress(), node.CallerAddress())
	r := &Router{ID: id, FailureDomain: failureDomain, Node: node, cancel: cancel}
	for i, old := range f.routers {
		if old.ID == id {
			f.routers[i] = r
			return r, nil
		}
	}
	f.routers = append(f.routers, r)
	return r, nil
}

// seedPeers returns the seed peers of an instance: all other instances of the fleet.
func (f *Fleet) seedPeers(id string) []string {
	var seeds []string
	for _, r := range f.routers {
		if r.ID != id {
			seeds = append(seeds, fmt.Sprintf("%s=%s=%s", r.ID, r.FailureDomain, r.Node.PeerAddress()))
		}
	}
	return seeds
}

const (
	settleTimeout      = 30 * time.Second
	settlePollInterval = 50 * time.Millisecond
)

// awaitSettled waits until the fleet has settled, at most for settleTimeout.
func (f *Fleet) awaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !f.Settled() {
		select {
		case <-ctx.Done():
			return waxfleet.NewError(waxfleet.CodeInternal, "the embedded fleet did not settle within %s: %s", settleTimeout, f.Unsettled())
		case <-time.After(settlePollInterval):
		}
	}
	return nil
}

// Settled reports whether all routers are ready and each backend server has
// exactly one owner with the full share of its load limit.
func (f *Fleet) Settled() bool { return f.Unsettled() == "" }

// Unsettled returns why the fleet has not settled, or "".
func (f *Fleet) Unsettled() string {
	for _, r := range f.routers {
		if !r.Node.Ready() {
			return fmt.Sprintf("router %s is not ready", r.ID)
		}
	}
	for _, id := range f.BackendServers() {
		if n := f.countOwners(id); n != 1 {
			return fmt.Sprintf("%d routers own backend server %s", n, id)
		}
	}
	return ""
}

// countOwners returns the number of routers that own a backend server.
func (f *Fleet) countOwners(server string) int {
	n := 0
	for _, r := range f.routers {
		if r.Node.Owns(server) {
			n++
		}
	}
	return n
}

// BackendServers returns the IDs of all engines and servers of the plain service.
func (f *Fleet) BackendServers() []string {
	var ids []string
	for _, e := range f.engines {
		ids = append(ids, e.ID())
	}
	for _, s := range f.plainServers {
		ids = append(ids, s.ID())
	}
	return ids
}

// Platform returns the platform stand-in.
func (f *Fleet) Platform() *waxplatform.Platform { return f.platform }

// Engines returns the engine stand-ins.
func (f *Fleet) Engines() []*waxengine.Engine { return f.engines }

// PlainServers returns the stand-ins of the plain service.
func (f *Fleet) PlainServers() []*waxservice.Service { return f.plainServers }

// Routers returns the router instances; killed ones are included until replaced.
func (f *Fleet) Routers() []*Router { return f.routers }

// CallerAddresses returns the addresses of all routers for callers.
func (f *Fleet) CallerAddresses() []string {
	var addresses []string
	for _, r := range f.routers {
		addresses = append(addresses, r.Node.CallerAddress())
	}
	return addresses
}

// Skew returns the load skew of the engines and the mean number of requests in
// flight at an engine, as counted by the stand-ins. The load skew is the highest
// number of requests in flight at an engine divided by the mean. Both are 0 for an
// idle fleet.
func (f *Fleet) Skew() (skew, mean float64) {
	highest, sum := 0, 0
	for _, e := range f.engines {
		n := e.InFlight()
		highest = max(highest, n)
		sum += n
	}
	mean = float64(sum) / float64(len(f.engines))
	if sum == 0 {
		return 0, 0
	}
	return float64(highest) / mean, mean
}
