// Package waxpolicy compares placement policies by discrete-event simulation: the
// placement and admission code of the router processes a trace against modelled
// engines. Network, membership and router failures are not modelled, so the results
// are about placement decisions only.
package waxpolicy

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

// Policy names a placement policy.
type Policy string

// Policies. LeastOfTwo is power of two choices. Rendezvous is rendezvous hashing
// without a load limit, BoundedStale is rendezvous hashing bounded by stale loads.
// Owner is the policy of the router fleet, with the patience of each tier: the maximum
// time that a request waits at its preferred engine. OwnerWait0, OwnerWait300 and
// OwnerWait2000 are Owner with a patience of 0, 300 and 2000 ms for all tiers but
// express. OwnerFlat is Owner without the ranking of failure domains: it ranks the
// engines of all domains at once.
const (
	Random        Policy = "random"
	LeastOfTwo    Policy = "least-of-two"
	Rendezvous    Policy = "rendezvous"
	BoundedStale  Policy = "bounded-lagging"
	Owner         Policy = "owner"
	OwnerWait0    Policy = "owner-wait-0"
	OwnerWait300  Policy = "owner-wait-300"
	OwnerWait2000 Policy = "owner-wait-2000"
	OwnerFlat     Policy = "owner-flat"
)

// Policies returns all policies in the order of the table.
func Policies() []Policy {
	return []Policy{
		Random, LeastOfTwo, Rendezvous, BoundedStale,
		Owner, OwnerWait0, OwnerWait300, OwnerWait2000, OwnerFlat,
	}
}

// Options describes the modelled engines and routers.
type Options struct {
	Engines int
	Domains int
	Routers int
	// Slots is the number of batch slots of an engine.
	Slots int
	// PrefillRate is in prompt tokens per second.
	PrefillRate   float64
	TokenInterval waxfleet.Millis
	// CacheBlocks is the size of the prefix cache of an engine, in blocks. If it is 0,
	// the size follows from CacheShare: the size of all caches together, as a share of
	// the blocks of live chats.
	CacheBlocks int
	CacheShare  float64
	// An engine is cold for WarmupDuration after a restart. While cold it rejects more than
	// ColdWindow concurrent requests and prefills ColdSlowdown times slower.
	ColdWindow     int
	WarmupDuration waxfleet.Millis
	ColdSlowdown   float64
	// ViewLag is the age of the loads that owners see in other failure domains. If it is
	// 0, owners compute the load limit from the exact current total.
	ViewLag waxfleet.Millis
	// MaxExceptions limits, per home engine, the chats that are recorded as placed
	// elsewhere.
	MaxExceptions int
	Limits        waxfleet.Limits
	Tiers         []waxfleet.Tier
}

// DefaultOptions returns the options of a fleet of 18 engines in 4 failure domains
// and 7 routers.
func DefaultOptions() Options {
	return Options{
		Engines:        18,
		Domains:        4,
		Routers:        7,
		Slots:          16,
		PrefillRate:    16000,
		TokenInterval:  25,
		CacheShare:     0.5,
		ColdWindow:     2,
		WarmupDuration: 30_000,
		ColdSlowdown:   4,
		ViewLag:        100,
		MaxExceptions:  100_000,
		Limits:         waxfleet.NewLimits(1.25, 8, 64, 8, 1<<20),
		Tiers: []waxfleet.Tier{
			waxfleet.NewTier("express", 3, 0, 0, 10_000),
			waxfleet.NewTier("standard", 1, 1, 500, 30_000),
			waxfleet.NewTier("patient", 0.6, 2, 2000, 60_000),
			waxfleet.NewTier("overnight", 0.3, 3, 10_000, 600_000),
		},
	}
}

// TraceOptions returns the options of a trace that keeps the given share of all batch
// slots busy, from 0 to 1.
func TraceOptions(opts Options, utilisation float64) waxtrace.Options {
	t := waxtrace.DefaultOptions()
	t.Rate = utilisation * float64(opts.Engines*opts.Slots) / meanServiceSeconds
	return t
}

// meanServiceSeconds is the mean time that a request holds a batch slot under the
// default options, with most of its prompt cached.
const meanServiceSeconds = 5.2

func (o Options) validate() error {
	switch {
	case o.Engines < 1, o.Domains < 1, o.Routers < 1, o.Slots < 1:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "policy: engines, domains, routers and slots must be positive")
	case o.PrefillRate <= 0, o.TokenInterval < 1, o.ColdSlowdown < 1, len(o.Tiers) == 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "policy: prefill rate and token interval must be positive, cold slowdown at least 1, and tiers not empty")
	}
	return nil
}

// tier returns the tier with the name. The fallback is the tier "standard", or else
// the first.
func (o Options) tier(name string) waxfleet.Tier {
	fallback := o.Tiers[0]
	for _, t := range o.Tiers {
		if t.Name() == name {
			return t
		}
		if t.Name() == "standard" {
			fallback = t
		}
	}
	return fallback
}

// withPatience returns the options with the patience set for all tiers but express.
func (o Options) withPatience(patience waxfleet.Millis) Options {
	tiers := make([]waxfleet.Tier, len(o.Tiers))
	for i, t := range o.Tiers {
		tiers[i] = t
		if t.Name() != "express" {
			tiers[i] = waxfleet.NewTier(t.Name(), t.PriceMultiple(), t.Priority(), patience, t.Deadline())
		}
	}
	o.Tiers = tiers
	return o
}

func engineName(i int) string { return fmt.Sprintf("engine-%02d", i+1) }

func domainName(i int) string { return fmt.Sprintf("domain-%d", i+1) }

// newPlacer returns the placer of a policy. For the policies OwnerWait it changes the
// options of sim.
func newPlacer(sim *simulation, policy Policy) (placer, error) {
	switch policy {
	case Random:
		return &ownerlessPolicy{sim: sim, rank: func(*job) []string { return shuffled(sim) }}, nil
	case LeastOfTwo:
		return &ownerlessPolicy{sim: sim, rank: func(*job) []string { return leastOfTwo(sim) }}, nil
	case Rendezvous:
		return &ownerlessPolicy{sim: sim, rank: func(j *job) []string { return rendezvousOrder(sim, j) }}, nil
	case BoundedStale:
		return newStaleLoadPolicy(sim), nil
	case Owner, OwnerFlat:
		return newOwnerPolicy(sim, policy == OwnerFlat), nil
	case OwnerWait0:
		sim.opts = sim.opts.withPatience(0)
	case OwnerWait300:
		sim.opts = sim.opts.withPatience(300)
	case OwnerWait2000:
		sim.opts = sim.opts.withPatience(2000)
	default:
		return nil, waxfleet.NewError(waxfleet.CodeSettingInvalid, "policy: unknown policy %q", policy)
	}
	return newOwnerPolicy(sim, false), nil
}
