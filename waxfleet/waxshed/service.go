package waxshed

import (
	"cmp"
	"math"
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingdrift.org/waxfleet"
)

const (
	// usageDecay is the time in which usage decays to 1/e. It is longer than a burst of a few
	// seconds, because an instance of a large fleet gets less than one request of a workspace
	// in a second.
	usageDecay waxfleet.Millis = 10_000
	// minUsage is the part of all usage below which a workspace counts as idle.
	minUsage = 1e-4
	// burstFactor x an equal share is the usage from which a workspace counts as one that
	// bursts. Usage at one instance of a large fleet is a few requests, of which twice the
	// mean is common.
	burstFactor = 2.0
	// maxWorkspaces and maxRoutes bound the workspaces and routes with state, by service.
	maxWorkspaces = 256
	maxRoutes     = 64
	// MaxLargest is the number of workspaces whose shares are metrics.
	MaxLargest = 5
)

// account is what a workspace was admitted lately.
type account struct {
	// cost is the decayed cost at the time at.
	cost   float64
	at     waxfleet.Millis
	weight float64
	// admittedAt is the time of the last admission.
	admittedAt waxfleet.Millis
}

// usage returns the decayed cost.
func (a account) usage(now waxfleet.Millis) float64 {
	return a.cost * math.Exp(-float64(now-a.at)/float64(usageDecay))
}

// offers describes the requests of one priority that arrived last.
type offers struct {
	at    waxfleet.Millis
	known bool
	// objective is the objective of the last one.
	objective waxfleet.Millis
}

// service is the state of a service.
type service struct {
	accounts *lru.LRU[string, account]
	// admittedAt is the time of the last admission by route, or that of the first offer.
	admittedAt *lru.LRU[string, waxfleet.Millis]
	offers     [lowestPriority + 1]offers
	// excess is the mean part by which the last predictions were too high.
	excess float64
}

func newService() *service {
	accounts, err := lru.NewLRU[string, account](maxWorkspaces, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	admittedAt, err := lru.NewLRU[string, waxfleet.Millis](maxRoutes, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &service{accounts: accounts, admittedAt: admittedAt}
}

// level returns the index of a priority.
func level(priority int) int { return min(max(priority, 0), lowestPriority) }

// weight returns the weight of the workspace of a request.
func weight(r Request) float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// lowerBound returns the time that a predicted time takes at least.
func (s *service) lowerBound(predicted waxfleet.Millis) waxfleet.Millis {
	margin := min(max(marginFactor*s.excess, minMargin), maxMargin)
	return waxfleet.Millis(float64(predicted) * (1 - margin))
}

// recordOffer records that a request arrived.
func (s *service) recordOffer(r Request, now waxfleet.Millis) {
	s.offers[level(r.Priority)] = offers{at: now, known: true, objective: r.Objective}
	if _, ok := s.admittedAt.Get(r.Route); !ok {
		s.admittedAt.Add(r.Route, now)
	}
}

// recordAdmission records that a request was admitted.
func (s *service) recordAdmission(r Request, now waxfleet.Millis) {
	a, _ := s.accounts.Get(r.Workspace)
	s.accounts.Add(r.Workspace, account{cost: a.usage(now) + max(r.Cost, 0), at: now, weight: weight(r), admittedAt: now})
	s.admittedAt.Add(r.Route, now)
}

// competition reports whether requests more urgent than priority arrived lately, whether
// less urgent ones did, and the longest objective of the latter.
func (s *service) competition(priority int, now waxfleet.Millis) (moreUrgent, lessUrgent bool, objective waxfleet.Millis) {
	for p, o := range s.offers {
		switch {
		case !o.known || now-o.at >= priorityPeriod || p == level(priority):
		case p < level(priority):
			moreUrgent = true
		default:
			lessUrgent = true
			objective = max(objective, o.objective)
		}
	}
	return moreUrgent, lessUrgent, objective
}

// shortageStart returns the part of the objective from which capacity is short for a request.
func (s *service) shortageStart(r Request, now waxfleet.Millis) float64 {
	if moreUrgent, lessUrgent, _ := s.competition(r.Priority, now); moreUrgent && !lessUrgent {
		return contestedStart
	}
	return shortageStart
}

// shortageReason returns the reason for which a request is rejected while capacity is short.
// It sets the figures of the decision.
func (s *service) shortageReason(d *Decision, r Request, e Estimate, now waxfleet.Millis) Reason {
	moreUrgent, lessUrgent, lessUrgentObjective := s.competition(r.Priority, now)
	d.Competing, d.Ahead = moreUrgent, lessUrgent
	tolerance, pressure, reason := shareTolerance, d.Pressure/shortageStart, ReasonShare
	switch {
	case lessUrgent:
		// Less urgent requests are rejected first: those that are beyond their objective.
		tolerance = urgentShareTolerance
		pressure = float64(e.FirstEvent) / float64(max(r.Objective, lessUrgentObjective)) / shortageStart
	case moreUrgent:
		tolerance, pressure, reason = 1, d.Pressure/contestedStart, ReasonPriority
	}
	own, total, share := s.fairShare(r, pressure, now)
	if total > 0 {
		d.Usage, d.Share = own/total, share/total
	}
	a, known := s.accounts.Peek(r.Workspace)
	admittedAt, offered := s.admittedAt.Peek(r.Route)
	switch {
	case own <= share*tolerance:
		return ReasonNone
	case known && now-a.admittedAt >= maxWorkspaceDenial:
		return ReasonNone
	case offered && now-admittedAt >= maxRouteDenial:
		return ReasonNone
	case own > share*shareTolerance:
		// The workspace would be rejected without competition, too.
		reason = ReasonShare
	}
	return reason
}

// use is what a workspace was admitted lately.
type use struct{ cost, weight float64 }

// fairShare returns the usage of the workspace of a request, that of all workspaces, and the
// fair share of the workspace: its max-min share of the usage of all workspaces divided by
// the pressure. While another workspace uses much more than an equal share, the workspace has
// at least an equal share of all usage, so that it is not rejected for the burst of the other.
func (s *service) fairShare(r Request, pressure float64, now waxfleet.Millis) (own, total, share float64) {
	var uses []use
	largestOther := 0.0
	for _, name := range s.accounts.Keys() {
		a, _ := s.accounts.Peek(name)
		u := use{cost: a.usage(now), weight: a.weight}
		total += u.cost
		if name == r.Workspace {
			own, u.weight = u.cost, weight(r)
		} else {
			largestOther = max(largestOther, u.cost/u.weight)
		}
		uses = append(uses, u)
	}
	uses = slices.DeleteFunc(uses, func(u use) bool { return u.cost < minUsage*total })
	weights := 0.0
	for _, u := range uses {
		weights += u.weight
	}
	share = maxMinLevel(uses, weights, total/max(pressure, 1)) * weight(r)
	if weights > 0 && largestOther > burstFactor*total/weights {
		share = max(share, total/weights*weight(r))
	}
	return own, total, share
}

// maxMinLevel returns the usage per weight up to which each workspace gets what it uses, so
// that all together get capacity. weights is the sum of the weights.
func maxMinLevel(uses []use, weights, capacity float64) float64 {
	slices.SortFunc(uses, func(a, b use) int { return cmp.Compare(a.cost/a.weight, b.cost/b.weight) })
	for _, u := range uses {
		if u.cost*weights >= capacity*u.weight {
			return capacity / weights
		}
		capacity -= u.cost
		weights -= u.weight
	}
	return math.Inf(1)
}

// shares returns how the capacity is divided.
func (s *service) shares(name string, now waxfleet.Millis) ServiceShares {
	var uses []float64
	total := 0.0
	for _, workspace := range s.accounts.Keys() {
		a, _ := s.accounts.Peek(workspace)
		uses = append(uses, a.usage(now))
		total += a.usage(now)
	}
	uses = slices.DeleteFunc(uses, func(u float64) bool { return u <= minUsage*total })
	slices.SortFunc(uses, func(a, b float64) int { return cmp.Compare(b, a) })
	out := ServiceShares{Service: name, Workspaces: len(uses)}
	for _, u := range uses[:min(MaxLargest, len(uses))] {
		out.Largest = append(out.Largest, u/total)
	}
	return out
}
