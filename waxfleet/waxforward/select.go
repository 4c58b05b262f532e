package waxforward

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxquota"
)

// The bound on the requests to a server that names a rate limit.
const (
	limitFactor                 = 1.5
	limitSlack                  = 5
	limitWindow waxfleet.Millis = 4_000
)

// Bounds holds the configured limits on what the whole fleet sends.
type Bounds struct {
	Retry         waxquota.RetryBound
	ColdOvershoot float64
	ColdSlack     float64
	// MaxConfigDelay is the maximum delay until a configuration is in force at all
	// instances.
	MaxConfigDelay waxfleet.Millis
}

// selection is what the choice of a server for a request depends on, and the candidates that
// follow from it.
type selection struct {
	spec      waxfleet.ServiceSpec
	instances []string
	now       waxfleet.Millis
	servers   []waxdirectory.Server
	svc       *serviceState
	counts    map[uint32]waxpeer.ServerLoad
	cached    map[uint32]int
	// state returns the state of a server, and stateByID that of one for which state was called.
	state     func(waxdirectory.Server) *serverState
	stateByID func(id string) *serverState
	// unreachable reports whether a failure domain is unreachable.
	unreachable func(domain string) bool

	candidates []waxpick.Candidate
	// known holds the states of the servers that accept work, and cold those that are cold.
	known map[string]*serverState
	cold  map[string]bool
}

// selectServer chooses a server for the request and counts the request as in
// flight there. The returned server is nil if none is eligible, or if the request is
// rejected.
func (f *Forwarder) selectServer(req *requestState) (*serverState, waxpick.Choice) {
	spec, _ := req.table.Service(req.service)
	connections := f.connectionShare(spec)
	instances := f.opts.Instances()
	now := f.opts.Clock.Now()
	servers := f.opts.Directory.Servers(req.service)
	_, namesStart := f.opts.Protocol.ProbeTarget(spec)

	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	svc := f.servers.serviceState(req.service)
	counts := f.opts.Loads.Counts()
	cached := f.opts.CacheIndex.CachedTokens(req.promptKey)
	unreachable := map[string]bool{}
	sel := &selection{
		spec: spec, instances: instances, now: now, servers: servers, svc: svc, counts: counts, cached: cached,
		state: func(s waxdirectory.Server) *serverState {
			return f.servers.serverState(s.Entry(), connections, !namesStart)
		},
		stateByID:   func(id string) *serverState { return f.servers.servers[id] },
		unreachable: func(domain string) bool { return f.domainUnreachable(domain, unreachable, now) },
	}
	choice := f.decide(req, sel)
	if req.plainService(spec) {
		svc.counts.RecordCounts(now, sel.candidates)
	}
	if misleading := svc.counts.Misleading(now); misleading != svc.loggedMisleading {
		svc.loggedMisleading = misleading
		f.opts.Log.Info("trust in counts changed", "service", req.service, "trusted", !misleading)
	}
	known, cold := sel.known, sel.cold
	state := known[choice.ID]
	if state == nil || !f.admitted(req, choice) {
		return nil, choice
	}
	if cold[choice.ID] {
		rate, burst := f.coldShare(spec, choice.ID, instances)
		state.coldBucket.Take(now, rate, burst)
	}
	if perSecond, limited := f.opts.Limits.Limit(state.incarnationHash); limited {
		rate, burst := f.limitShare(perSecond, choice.ID, instances)
		state.limitBucket.Take(now, rate, burst)
	}
	req.meanLoad = -1
	if choice.LoadLimit > 0 {
		req.meanLoad = choice.MeanLoad
	}
	state.inFlight++
	f.servers.domainState(state.entry.Server().FailureDomain()).health.RecordSent(now)
	svc.link.RecordSent(now, choice.ID)
	req.entry = state.entry
	req.cacheSource = f.cacheSource(state, cached)
	req.prefillTokens = max(0, req.inbound.PromptTokens-cached[state.incarnationHash])
	if req.flight != nil {
		req.flight.tokens = float64(state.pendingTokens + counts[waxpeer.ServerHash(choice.ID)].PendingTokens + req.prefillTokens)
		f.servers.startFlight(req, choice, state)
	}
	state.pendingTokens += req.prefillTokens
	if f.opts.CacheIndex.Record(req.promptKey, state.incarnationHash) {
		f.opts.FlushUpdates()
	}
	return state, choice
}

// decide fills in the candidates of a selection and chooses one of them. Apart from req and sel
// it changes only the states that sel returns, in which it refills token buckets and decays
// averages up to now: a caller that passes copies leaves no trace. The caller holds the lock.
func (f *Forwarder) decide(req *requestState, sel *selection) waxpick.Choice {
	now, instances := sel.now, sel.instances
	sel.known, sel.cold = make(map[string]*serverState, len(sel.servers)), map[string]bool{}
	sel.candidates = make([]waxpick.Candidate, 0, len(sel.servers))
	req.rateDelay = -1
	misleading := sel.svc.counts.Misleading(now)
	for _, server := range sel.servers {
		state := sel.state(server)
		others := sel.counts[waxpeer.ServerHash(server.ID())]
		if !server.AcceptsWork() || req.excludesVersion(server.Entry().SoftwareVersion()) {
			sel.candidates = append(sel.candidates, waxpick.Candidate{
				ID: server.ID(), Closed: true, Down: state.health.Down(now), Load: state.inFlight + others.InFlight,
			})
			continue
		}
		sel.known[server.ID()] = state
		candidate := f.candidate(server, state, sel.svc, sel.spec, instances, now)
		f.applyLimit(req, &candidate, state, instances, now)
		candidate.Degraded = candidate.Degraded || sel.unreachable(candidate.FailureDomain)
		candidate.Load = state.inFlight + others.InFlight
		candidate.MeanLoad = state.observeLoad(now, candidate.Load)
		if misleading {
			candidate.Draw = waxpick.Draw(req.inbound.ID, server.ID())
		}
		if now < sel.svc.brittleUntil && !f.hasSlot(server.ID(), candidate.Slots, state.inFlight, candidate.Load, instances) {
			candidate.OverLimit = true
			req.shortenRateDelay(retryAfterOverloadDelay)
		}
		candidate.PendingTokens = state.pendingTokens + others.PendingTokens
		candidate.CachedTokens = sel.cached[state.incarnationHash]
		sel.candidates = append(sel.candidates, candidate)
		sel.cold[server.ID()] = candidate.Cold
	}
	f.applyCosts(req, sel)
	return f.pick(req, sel, req.triedServers)
}

// pick chooses one of the candidates that are not in excluded. It has no side effects.
func (f *Forwarder) pick(req *requestState, sel *selection, excluded map[string]bool) waxpick.Choice {
	if req.plainService(sel.spec) {
		if sel.svc.counts.Misleading(sel.now) {
			return waxpick.ForSpreadCall(req.inbound.ID, sel.candidates, excluded)
		}
		return waxpick.ForCall(f.opts.FailureDomain, req.inbound.ID, sel.candidates, excluded)
	}
	return waxpick.ForPrompt(waxpick.Prompt{
		FailureDomain: f.opts.FailureDomain, Hash: req.promptKey.Hash(), SharedTokens: req.promptKey.SharedTokens(),
		OwnTokens: max(0, req.inbound.PromptTokens-req.promptKey.SharedTokens()),
	}, sel.candidates, excluded)
}

// minFetchTokens is the number of tokens from which a fetch from another engine
// is faster than prefill.
const minFetchTokens = 256

// cacheSource returns the address of an engine that has at least minFetchTokens more of
// the prompt cached than the chosen one, or "". Engines that are leaving still serve
// fetches; engines that are down or in an evacuated failure domain do not. The caller
// holds the lock.
func (f *Forwarder) cacheSource(chosen *serverState, cached map[uint32]int) string {
	best, most := "", cached[chosen.incarnationHash]+minFetchTokens
	for id, state := range f.servers.servers {
		if state == chosen || cached[state.incarnationHash] < most ||
			state.health.Down(f.opts.Clock.Now()) || !f.opts.Directory.InService(id, state.entry.StartUnixMilli()) {
			continue
		}
		if cached[state.incarnationHash] > most || best == "" || state.entry.Server().FailureDomain() == chosen.entry.Server().FailureDomain() {
			best, most = state.entry.Server().Address(), cached[state.incarnationHash]
		}
	}
	return best
}

// candidate returns the candidate for a server, without load and cached tokens.
func (f *Forwarder) candidate(
	server waxdirectory.Server, state *serverState, svc *serviceState,
	spec waxfleet.ServiceSpec, instances []string, now waxfleet.Millis,
) waxpick.Candidate {
	c := waxpick.Candidate{
		ID:            server.ID(),
		FailureDomain: server.Entry().Server().FailureDomain(),
		Slots:         server.Entry().Slots(),
		Cold:          server.Cold(now) && spec.ColdRequestsPerSecond > 0,
		Down:          state.health.Down(now),
		Degraded:      server.Missing() || state.health.Outlier(now, &svc.health),
	}
	if c.Cold {
		rate, burst := f.coldShare(spec, server.ID(), instances)
		c.WithinColdRate = state.coldBucket.HasToken(now, rate, burst)
	}
	return c
}

// domainUnreachable reports whether another failure domain is unreachable, and logs
// changes. seen caches the results for one selection. The caller holds the lock.
func (f *Forwarder) domainUnreachable(name string, seen map[string]bool, now waxfleet.Millis) bool {
	if name == f.opts.FailureDomain {
		return false
	}
	unreachable, ok := seen[name]
	if ok {
		return unreachable
	}
	d, instancesUnreachable := f.servers.domainState(name), func() bool { return f.opts.InstancesUnreachable(name) }
	unreachable = d.health.Suspected(now, instancesUnreachable)
	seen[name] = unreachable
	if d.loggedUnreachable != unreachable {
		d.loggedUnreachable = unreachable
		f.opts.Log.Warn("failure domain reachability changed", "failure-domain", name,
			"reachable", !unreachable, "instances-silent", instancesUnreachable(),
			"quiet-ms", int64(now-d.health.LastActivity()))
	}
	return unreachable
}

// coldShare returns this instance's share of the rate limit of a cold server, in requests
// per second, and its burst, in requests.
func (f *Forwarder) coldShare(spec waxfleet.ServiceSpec, id string, instances []string) (float64, int) {
	bounds := f.opts.Bounds()
	bound := waxquota.ColdBound{
		PerSecond: spec.ColdRequestsPerSecond,
		Overshoot: bounds.ColdOvershoot,
		Slack:     bounds.ColdSlack,
	}
	return waxquota.ColdShare(bound, id, f.opts.Instance, instances)
}

// limitShare returns this instance's share of the rate limit that a server names, in
// requests per second, and its burst, in requests.
func (f *Forwarder) limitShare(perSecond float64, id string, instances []string) (float64, int) {
	bound := waxquota.LimitBound{PerSecond: perSecond, Factor: limitFactor, Slack: limitSlack, Window: limitWindow}
	return waxquota.LimitShare(bound, id, f.opts.Instance, instances)
}

// applyLimit sets OverLimit of a candidate, and shortens req.rateDelay to the time until
// the server takes a request. The caller holds the lock.
func (f *Forwarder) applyLimit(req *requestState, c *waxpick.Candidate, state *serverState, instances []string, now waxfleet.Millis) {
	if wait := state.pausedUntil - now; wait > 0 {
		c.OverLimit = true
		req.shortenRateDelay(wait)
		return
	}
	perSecond, limited := f.opts.Limits.Limit(state.incarnationHash)
	if !limited {
		return
	}
	rate, burst := f.limitShare(perSecond, c.ID, instances)
	wait := state.limitBucket.Wait(now, rate, burst)
	c.OverLimit = wait != 0
	if wait > 0 {
		req.shortenRateDelay(wait)
	}
}

// shortenRateDelay shortens rateDelay to wait.
func (req *requestState) shortenRateDelay(wait waxfleet.Millis) {
	if req.rateDelay < 0 || wait < req.rateDelay {
		req.rateDelay = wait
	}
}

// connectionShare returns this instance's share of the connection limit of a
// server.
func (f *Forwarder) connectionShare(spec waxfleet.ServiceSpec) int {
	if spec.MaxConnections <= 0 {
		return defaultConnections
	}
	return max(1, spec.MaxConnections/max(1, len(f.opts.Instances())))
}
