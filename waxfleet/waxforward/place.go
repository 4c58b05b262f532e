package waxforward

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxquota"
)

// Bounds are the figures of the deployment that limit what the fleet sends.
type Bounds struct {
	Retry         waxquota.RetryBound
	ColdOvershoot float64
	ColdSlack     float64
	// ConfigTime is how long after its acceptance a configuration may not be in
	// force yet.
	ConfigTime waxfleet.Millis
}

// place chooses a server for the call and counts the call there. The returned
// server is nil when none may get it.
func (f *Forwarder) place(c *call) (*server, waxpick.Choice) {
	contract, _ := c.table.Service(c.service)
	connections := f.connectionShare(contract)
	instances := f.opts.Instances()
	now := f.opts.Clock.Now()
	listed := f.opts.Directory.Servers(c.service)

	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	whole := f.servers.serviceState(c.service)
	counts := f.opts.Loads.Counts()
	held := f.opts.Holders.Held(c.key)
	known, cold := make(map[string]*server, len(listed)), map[string]bool{}
	candidates := make([]waxpick.Candidate, 0, len(listed))
	cutOff := map[string]bool{}
	for _, d := range listed {
		v := f.servers.get(d.Entry(), connections)
		known[d.ID()] = v
		one := f.candidate(d, v, whole, contract, instances, now)
		one.Degraded = one.Degraded || f.cutOff(one.FailureDomain, cutOff, now)
		others := counts[waxpeer.ServerHash(d.ID())]
		one.Load = v.inFlight + others.InFlight
		one.PendingTokens = v.pending + others.Pending
		one.CachedTokens = held[v.hash]
		candidates = append(candidates, one)
		cold[d.ID()] = one.Cold
	}
	var choice waxpick.Choice
	if contract.CacheTokens > 0 || !c.key.Empty() {
		choice = waxpick.ForPrompt(waxpick.Prompt{
			FailureDomain: f.opts.FailureDomain, Hash: c.key.Whole(), SharedTokens: c.key.Tokens(),
		}, candidates, c.tried)
	} else {
		choice = waxpick.ForCall(f.opts.FailureDomain, c.in.ID, candidates, c.tried)
	}
	v := known[choice.ID]
	if v == nil {
		return nil, choice
	}
	if cold[choice.ID] {
		rate, burst := f.coldShare(contract, choice.ID, instances)
		v.cold.Take(now, rate, burst)
	}
	v.inFlight++
	f.servers.domain(v.entry.Server().FailureDomain()).health.RecordSent(now)
	c.entry = v.entry
	c.source = f.source(v, held)
	c.pending = max(0, c.in.PromptTokens-held[v.hash])
	v.pending += c.pending
	if f.opts.Holders.Record(c.key, v.hash) {
		f.opts.Flush()
	}
	return v, choice
}

// leastFetch is the number of tokens from which fetching them from another
// engine takes less than reading them.
const leastFetch = 256

// source returns the address of an engine that holds clearly more of the prompt
// than the chosen one, or "". Leaving engines hand over what they hold; engines of
// failure domains that are out, and those that are down, do not. The caller holds
// the lock.
func (f *Forwarder) source(chosen *server, held map[uint32]int) string {
	best, most := "", held[chosen.hash]+leastFetch
	for id, v := range f.servers.servers {
		if v == chosen || held[v.hash] < most || v.health.Down(f.opts.Clock.Now()) || !f.opts.Directory.InService(id, v.entry.Born()) {
			continue
		}
		if held[v.hash] > most || best == "" || v.entry.Server().FailureDomain() == chosen.entry.Server().FailureDomain() {
			best, most = v.entry.Server().Address(), held[v.hash]
		}
	}
	return best
}

// candidate returns a server as the choice sees it, without loads and holdings.
func (f *Forwarder) candidate(d waxdirectory.Server, v *server, whole *service, contract waxfleet.ServiceContract, instances []string, now waxfleet.Millis) waxpick.Candidate {
	c := waxpick.Candidate{
		ID: d.ID(), FailureDomain: d.Entry().Server().FailureDomain(),
		Slots: d.Entry().Slots(),
		Cold:  d.Cold(now) && contract.ColdPerSecond > 0,
		Down:  v.health.Down(now), Degraded: d.Missing() || v.health.Outlier(now, &whole.health),
	}
	if c.Cold {
		rate, burst := f.coldShare(contract, d.ID(), instances)
		c.WithinColdRate = v.cold.Ready(now, rate, burst)
	}
	return c
}

// cutOff reports whether another failure domain can't be reached; seen holds what is
// known so far. The caller holds the lock.
func (f *Forwarder) cutOff(name string, seen map[string]bool, now waxfleet.Millis) bool {
	if name == f.opts.FailureDomain {
		return false
	}
	suspect, ok := seen[name]
	if ok {
		return suspect
	}
	d, silent := f.servers.domain(name), func() bool { return f.opts.Silent(name) }
	suspect = d.health.Suspected(now, silent)
	seen[name] = suspect
	if d.cutOff != suspect {
		d.cutOff = suspect
		f.opts.Log.Warn("failure domain reachable", "failure-domain", name, "reachable", !suspect, "instances-silent", silent(),
			"quiet-ms", int64(now-d.health.LastActivity()))
	}
	return suspect
}

// coldShare returns this instance's part of what a cold server bears.
func (f *Forwarder) coldShare(contract waxfleet.ServiceContract, id string, instances []string) (float64, int) {
	b := f.opts.Bounds()
	bound := waxquota.ColdBound{PerSecond: contract.ColdPerSecond, Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
	return waxquota.ColdShare(bound, id, f.opts.Instance, instances)
}

// connectionShare is this instance's part of a server's connections.
func (f *Forwarder) connectionShare(contract waxfleet.ServiceContract) int {
	if contract.MaxConnections <= 0 {
		return defaultConnections
	}
	return max(1, contract.MaxConnections/max(1, len(f.opts.Instances())))
}
