// Package waxpolicy compares placement policies by a decision replay: the
// placement and admission code of the router runs over a trace and modelled
// engines, as discrete events in memory. There is no network, no membership and
// no failure of routers in it, so its figures are about decisions only.
package waxpolicy

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

// Policy names a placement policy.
type Policy string

// Policies. Owner takes the patience of each tier; OwnerWait0 to OwnerWait2000
// set the patience of all tiers but express. OwnerFlat ranks the engines of all
// domains at once.
const (
	Random         Policy = "random"
	LeastOfTwo     Policy = "least-of-two"
	Rendezvous     Policy = "rendezvous"
	BoundedLagging Policy = "bounded-lagging"
	Owner          Policy = "owner"
	OwnerWait0     Policy = "owner-wait-0"
	OwnerWait300   Policy = "owner-wait-300"
	OwnerWait2000  Policy = "owner-wait-2000"
	OwnerFlat      Policy = "owner-flat"
)

// Policies returns all policies in the order of the table.
func Policies() []Policy {
	return []Policy{Random, LeastOfTwo, Rendezvous, BoundedLagging, Owner, OwnerWait0, OwnerWait300, OwnerWait2000, OwnerFlat}
}

// Options describes the modelled engines and routers.
type Options struct {
	Engines int
	Domains int
	Routers int
	// Slots is the number of requests that an engine decodes at once.
	Slots int
	// PrefillRate is in prompt tokens per second.
	PrefillRate   float64
	TokenInterval waxfleet.Millis
	// CacheBlocks is the prefix cache of an engine; 0 derives it from CacheShare,
	// the share of the blocks of live chats that all caches together hold.
	CacheBlocks int
	CacheShare  float64
	// A cold engine refuses more than ColdCapacity requests for ColdTime and
	// prefills ColdSlowdown times slower.
	ColdCapacity int
	ColdTime     waxfleet.Millis
	ColdSlowdown float64
	// ViewLag is the age of what owners know of other domains. At 0 they also
	// know the present total.
	ViewLag waxfleet.Millis
	// Exceptions is the size of the table at each home owner.
	Exceptions int
	Limits     waxfleet.Limits
	Tiers      []waxfleet.Tier
}

// DefaultOptions returns 18 engines in 4 failure domains and 7 routers.
func DefaultOptions() Options {
	return Options{
		Engines: 18, Domains: 4, Routers: 7,
		Slots: 16, PrefillRate: 16000, TokenInterval: 25,
		CacheShare:   0.5,
		ColdCapacity: 2, ColdTime: 30_000, ColdSlowdown: 4,
		ViewLag: 100, Exceptions: 100_000,
		Limits: waxfleet.NewLimits(1.25, 8, 64, 8, 1<<20),
		Tiers: []waxfleet.Tier{
			waxfleet.NewTier("express", 3, 0, 0, 10_000),
			waxfleet.NewTier("standard", 1, 1, 500, 30_000),
			waxfleet.NewTier("patient", 0.6, 2, 2000, 60_000),
			waxfleet.NewTier("overnight", 0.3, 3, 10_000, 600_000),
		},
	}
}

// TraceOptions returns a trace that uses the share of the batch slots of the
// default engines.
func TraceOptions(opts Options, utilisation float64) waxtrace.Options {
	t := waxtrace.DefaultOptions()
	t.Rate = utilisation * float64(opts.Engines*opts.Slots) / meanServiceSeconds
	return t
}

// meanServiceSeconds is the time in a batch slot under the default options, with
// most of the prompt cached.
const meanServiceSeconds = 5.2

func (o Options) check() error {
	switch {
	case o.Engines < 1, o.Domains < 1, o.Routers < 1, o.Slots < 1:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "policy: engines, domains, routers and slots must be positive")
	case o.PrefillRate <= 0, o.TokenInterval < 1, o.ColdSlowdown < 1, len(o.Tiers) == 0:
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "policy: prefill rate, token interval and tiers are needed")
	}
	return nil
}

// tier returns the tier of that name, or standard, or else the first.
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

// withPatience sets the patience of all tiers but express.
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

func newPlacer(r *replay, policy Policy) (placer, error) {
	switch policy {
	case Random:
		return &baseline{r: r, order: func(*job) []string { return shuffled(r) }}, nil
	case LeastOfTwo:
		return &baseline{r: r, order: func(*job) []string { return leastOfTwo(r) }}, nil
	case Rendezvous:
		return &baseline{r: r, order: func(j *job) []string { return rankAll(r, j) }}, nil
	case BoundedLagging:
		return newLagging(r), nil
	case Owner, OwnerFlat:
		return newOwner(r, policy == OwnerFlat), nil
	case OwnerWait0:
		r.opts = r.opts.withPatience(0)
	case OwnerWait300:
		r.opts = r.opts.withPatience(300)
	case OwnerWait2000:
		r.opts = r.opts.withPatience(2000)
	default:
		return nil, waxfleet.NewError(waxfleet.CodeSettingInvalid, "policy: unknown policy %q", policy)
	}
	return newOwner(r, false), nil
}
