package waxforward

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxdirectory"
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
	known := make(map[string]*server, len(listed))
	candidates := make([]waxpick.Candidate, 0, len(listed))
	for _, d := range listed {
		v := f.servers.get(d.Entry(), connections)
		known[d.ID()] = v
		candidates = append(candidates, f.candidate(d, v, whole, contract, instances, now))
	}
	var choice waxpick.Choice
	if contract.CacheTokens > 0 || !c.prompt.Empty() {
		choice = waxpick.ForPrompt(c.prompt, candidates, c.tried)
	} else {
		choice = waxpick.ForCall(f.opts.FailureDomain, c.in.ID, candidates, c.tried)
	}
	v := known[choice.ID]
	if v == nil {
		return nil, choice
	}
	if f.isCold(choice.ID, listed, now) {
		rate, burst := f.coldShare(contract, choice.ID, instances)
		v.cold.Take(now, rate, burst)
	}
	v.inFlight++
	return v, choice
}

func (f *Forwarder) candidate(d waxdirectory.Server, v *server, whole *service, contract waxfleet.ServiceContract, instances []string, now waxfleet.Millis) waxpick.Candidate {
	c := waxpick.Candidate{
		ID: d.ID(), FailureDomain: d.Entry().Server().FailureDomain(),
		Load: v.inFlight + f.opts.Loads.InFlight(d.ID()), Slots: d.Entry().Slots(),
		Cold: d.Cold(now) && contract.ColdPerSecond > 0,
		Down: v.health.Down(now), Doubtful: d.Missing() || v.health.Doubtful(now, &whole.health),
	}
	if c.Cold {
		rate, burst := f.coldShare(contract, d.ID(), instances)
		c.Paced = v.cold.Ready(now, rate, burst)
	}
	return c
}

func (f *Forwarder) isCold(id string, listed []waxdirectory.Server, now waxfleet.Millis) bool {
	for _, d := range listed {
		if d.ID() == id {
			return d.Cold(now)
		}
	}
	return false
}

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
