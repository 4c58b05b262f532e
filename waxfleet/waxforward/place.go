package waxforward

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxquota"
)

// Bounds are the configured limits on what the whole fleet sends.
type Bounds struct {
	Retry         waxquota.RetryBound
	ColdOvershoot float64
	ColdSlack     float64
	// MaxConfigDelay is how long it may take until an accepted configuration is in
	// force at all instances.
	MaxConfigDelay waxfleet.Millis
}

// selectServer chooses a server for the request and counts the request as in
// flight there. The returned server is nil if none is eligible.
func (f *Forwarder) selectServer(c *requestState) (*serverState, waxpick.Choice) {
	contract, _ := c.table.Service(c.service)
	connections := f.connectionShare(contract)
	instances := f.opts.Instances()
	now := f.opts.Clock.Now()
	servers := f.opts.Directory.Servers(c.service)

	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	svc := f.servers.service(c.service)
	counts := f.opts.Loads.Counts()
	cached := f.opts.CacheIndex.CachedTokens(c.promptKey)
	known, cold := make(map[string]*serverState, len(servers)), map[string]bool{}
	candidates := make([]waxpick.Candidate, 0, len(servers))
	unreachable := map[string]bool{}
	for _, d := range servers {
		v := f.servers.get(d.Entry(), connections)
		known[d.ID()] = v
		candidate := f.candidate(d, v, svc, contract, instances, now)
		candidate.Degraded = candidate.Degraded || f.domainUnreachable(candidate.FailureDomain, unreachable, now)
		others := counts[waxpeer.ServerHash(d.ID())]
		candidate.Load = v.inFlight + others.InFlight
		candidate.PendingTokens = v.pendingTokens + others.PendingTokens
		candidate.CachedTokens = cached[v.cacheHash]
		candidates = append(candidates, candidate)
		cold[d.ID()] = candidate.Cold
	}
	var choice waxpick.Choice
	if contract.KVCacheTokens > 0 || !c.promptKey.Empty() {
		choice = waxpick.ForPrompt(waxpick.Prompt{
			FailureDomain: f.opts.FailureDomain, Hash: c.promptKey.Hash(), SharedTokens: c.promptKey.Tokens(),
		}, candidates, c.triedServers)
	} else {
		choice = waxpick.ForCall(f.opts.FailureDomain, c.inbound.ID, candidates, c.triedServers)
	}
	v := known[choice.ID]
	if v == nil {
		return nil, choice
	}
	if cold[choice.ID] {
		rate, burst := f.coldShare(contract, choice.ID, instances)
		v.coldBucket.Take(now, rate, burst)
	}
	v.inFlight++
	f.servers.domain(v.entry.Server().FailureDomain()).health.RecordSent(now)
	c.entry = v.entry
	c.cacheSource = f.cacheSource(v, cached)
	c.prefillTokens = max(0, c.inbound.PromptTokens-cached[v.cacheHash])
	v.pendingTokens += c.prefillTokens
	if f.opts.CacheIndex.Record(c.promptKey, v.cacheHash) {
		f.opts.FlushUpdates()
	}
	return v, choice
}

// minFetchTokens is the number of tokens from which a fetch from another engine
// is faster than prefill.
const minFetchTokens = 256

// cacheSource returns the address of an engine that has clearly more of the
// prompt cached than the chosen one, or "". Engines that are leaving still
// serve fetches; engines that are down or in an evacuated failure domain do
// not. The caller holds the lock.
func (f *Forwarder) cacheSource(chosen *serverState, cached map[uint32]int) string {
	best, most := "", cached[chosen.cacheHash]+minFetchTokens
	for id, v := range f.servers.servers {
		if v == chosen || cached[v.cacheHash] < most || v.health.Down(f.opts.Clock.Now()) || !f.opts.Directory.InService(id, v.entry.StartUnixMilli()) {
			continue
		}
		if cached[v.cacheHash] > most || best == "" || v.entry.Server().FailureDomain() == chosen.entry.Server().FailureDomain() {
			best, most = v.entry.Server().Address(), cached[v.cacheHash]
		}
	}
	return best
}

// candidate returns the candidate for a server, without load and cached tokens.
func (f *Forwarder) candidate(d waxdirectory.Server, v *serverState, svc *serviceState, contract waxfleet.ServiceSpec, instances []string, now waxfleet.Millis) waxpick.Candidate {
	c := waxpick.Candidate{
		ID: d.ID(), FailureDomain: d.Entry().Server().FailureDomain(),
		Slots: d.Entry().Slots(),
		Cold:  d.Cold(now) && contract.ColdRequestsPerSecond > 0,
		Down:  v.health.Down(now), Degraded: d.Missing() || v.health.Outlier(now, &svc.health),
	}
	if c.Cold {
		rate, burst := f.coldShare(contract, d.ID(), instances)
		c.WithinColdRate = v.coldBucket.Ready(now, rate, burst)
	}
	return c
}

// domainUnreachable reports whether another failure domain can't be reached,
// and logs changes. seen caches the results for one selection. The caller holds
// the lock.
func (f *Forwarder) domainUnreachable(name string, seen map[string]bool, now waxfleet.Millis) bool {
	if name == f.opts.FailureDomain {
		return false
	}
	suspect, ok := seen[name]
	if ok {
		return suspect
	}
	d, silent := f.servers.domain(name), func() bool { return f.opts.DomainSilent(name) }
	suspect = d.health.Suspected(now, silent)
	seen[name] = suspect
	if d.unreachable != suspect {
		d.unreachable = suspect
		f.opts.Log.Warn("failure domain reachability changed", "failure-domain", name, "reachable", !suspect, "instances-silent", silent(),
			"quiet-ms", int64(now-d.health.LastActivity()))
	}
	return suspect
}

// coldShare returns this instance's share of the rate limit of a cold server,
// in requests per second, and the burst.
func (f *Forwarder) coldShare(contract waxfleet.ServiceSpec, id string, instances []string) (float64, int) {
	b := f.opts.Bounds()
	bound := waxquota.ColdBound{PerSecond: contract.ColdRequestsPerSecond, Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
	return waxquota.ColdShare(bound, id, f.opts.Instance, instances)
}

// connectionShare returns this instance's share of the connection limit of a
// server.
func (f *Forwarder) connectionShare(contract waxfleet.ServiceSpec) int {
	if contract.MaxConnections <= 0 {
		return defaultConnections
	}
	return max(1, contract.MaxConnections/max(1, len(f.opts.Instances())))
}
