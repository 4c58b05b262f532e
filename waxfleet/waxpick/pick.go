// Package waxpick decides which backend server gets a request and whether the
// request is refused. It does no I/O, reads no clock and draws no random numbers.
package waxpick

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

// Candidate is a backend server as the decision sees it.
type Candidate struct {
	ID            string
	FailureDomain string
	// Load is the number of requests in flight from all instances, as last known.
	Load int
	// Slots is the number of requests that the server processes at once.
	Slots int
	// Cold servers get work only while Paced is true.
	Cold  bool
	Paced bool
	// Down servers failed to accept connections lately.
	Down bool
	// Doubtful servers may be gone, or fail more often than the others.
	Doubtful bool
}

// Reason tells why a server was chosen.
type Reason string

// Reasons of a choice.
const (
	// ReasonHome is the first choice for the prompt, whose parts it holds.
	ReasonHome Reason = "home"
	// ReasonSpill is a further choice because the ones before are full or cold.
	ReasonSpill Reason = "spill"
	// ReasonNear is the least loaded server, with the own failure domain preferred.
	ReasonNear Reason = "near"
	// ReasonDoubtful is a server that may be gone; no other one is left.
	ReasonDoubtful Reason = "doubtful"
	// ReasonNone means that no server may get the request.
	ReasonNone Reason = "none"
	// ReasonFull means that all servers have more work than they finish in time.
	ReasonFull Reason = "full"
	// ReasonPaced means that the servers left are cold and have had their part.
	ReasonPaced Reason = "paced"
)

// Choice is the outcome of a decision.
type Choice struct {
	ID     string
	Reason Reason
	// Load, Mean and Limit are the figures that decided.
	Load  int
	Mean  float64
	Limit int
}

// Found reports whether a server was chosen.
func (c Choice) Found() bool { return c.ID != "" }

const (
	// spreadFactor and spreadSlack set the load at which a prompt's home is passed
	// over: spreadFactor x mean + spreadSlack requests. They lie below the bound
	// of twice the mean and three that the users set, because counts of other
	// instances arrive late.
	spreadFactor = 1.5
	spreadSlack  = 2.0
	// groupSize is the number of servers that share the prompts with one leading
	// part, so that few servers read it.
	groupSize = 5
	// crossDomainPenalty is the number of requests in flight that the own failure
	// domain may have more before another one is preferred.
	crossDomainPenalty = 2
	// fullFactor is the multiple of its slots at which a plain server counts as
	// full: what waits longer than a few turns comes too late.
	fullFactor = 4
)

// Prompt identifies the parts of a prompt that decide its placement.
type Prompt struct {
	leading uint64
	shared  uint64
}

// NewPrompt returns the key of a prompt. The last part belongs to the request
// alone and does not count, unless it is the only one.
func NewPrompt(parts []waxfleet.PromptPart) Prompt {
	if len(parts) == 0 {
		return Prompt{}
	}
	last := max(len(parts)-2, 0)
	return Prompt{leading: xxhash.Sum64String(parts[0].ID), shared: xxhash.Sum64String(parts[last].ID)}
}

// Empty reports whether the request has no prompt.
func (p Prompt) Empty() bool { return p == Prompt{} }

// rank is the rendezvous weight of a server for a key. The finalizer is that of
// splitmix64.
func rank(key uint64, id string) uint64 {
	x := key ^ (xxhash.Sum64String(id) + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// meanLoad returns the mean over the servers that are not down.
func meanLoad(candidates []Candidate) float64 {
	total, n := 0, 0
	for _, c := range candidates {
		if !c.Down {
			total += c.Load
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(total) / float64(n)
}

// ForPrompt chooses the engine for a prompt. It answers the load pattern of
// returning chats with parts in common, of which a few may be hot: the home of
// the shared part first, the next in its rendezvous order when the home has
// clearly more work than the mean.
func ForPrompt(p Prompt, candidates []Candidate, excluded map[string]bool) Choice {
	mean := meanLoad(candidates)
	limit := int(math.Floor(spreadFactor*mean + spreadSlack))
	order := promptOrder(p, candidates)
	choice := Choice{Reason: ReasonNone, Mean: mean, Limit: limit}
	paced := false
	for i, c := range order {
		if c.Down || c.Doubtful || excluded[c.ID] {
			continue
		}
		if c.Cold && !c.Paced {
			paced = true
			continue
		}
		if c.Load <= limit {
			choice.ID, choice.Load, choice.Reason = c.ID, c.Load, ReasonSpill
			if i == 0 {
				choice.Reason = ReasonHome
			}
			return choice
		}
	}
	if paced {
		choice.Reason = ReasonPaced
	}
	return least(order, excluded, choice)
}

// least chooses the least loaded of the servers that are left, the doubtful ones
// last.
func least(order []Candidate, excluded map[string]bool, choice Choice) Choice {
	best := -1
	for i, c := range order {
		if c.Down || excluded[c.ID] || c.Cold && !c.Paced {
			continue
		}
		if best < 0 || order[best].Doubtful && !c.Doubtful ||
			order[best].Doubtful == c.Doubtful && c.Load < order[best].Load {
			best = i
		}
	}
	if best < 0 {
		return choice
	}
	choice.ID, choice.Load, choice.Reason = order[best].ID, order[best].Load, ReasonSpill
	if order[best].Doubtful {
		choice.Reason = ReasonDoubtful
	}
	return choice
}

// promptOrder returns the candidates in the order of preference for a prompt:
// first the group of the leading part, within it and after it by the shared part.
func promptOrder(p Prompt, candidates []Candidate) []Candidate {
	order := make([]ranked, len(candidates))
	for i, c := range candidates {
		order[i] = ranked{c: c, weight: rank(p.leading, c.ID)}
	}
	sortRanked(order)
	for i := range order {
		order[i].weight = rank(p.shared, order[i].c.ID)
	}
	split := min(groupSize, len(order))
	sortRanked(order[:split])
	sortRanked(order[split:])
	out := make([]Candidate, len(order))
	for i, r := range order {
		out[i] = r.c
	}
	return out
}

// ForCall chooses the server of a plain service. It answers the load pattern of
// short calls that arrive in bursts: the least loaded server, with the own
// failure domain preferred.
func ForCall(domain, key string, candidates []Candidate, excluded map[string]bool) Choice {
	mean := meanLoad(candidates)
	choice := Choice{Reason: ReasonNone, Mean: mean}
	hash := xxhash.Sum64String(key)
	best, bestCost, bestRank := -1, 0, uint64(0)
	for i, c := range candidates {
		if c.Down || excluded[c.ID] || c.Cold && !c.Paced {
			continue
		}
		if c.Slots > 0 && c.Load >= c.Slots*fullFactor {
			choice.Reason = ReasonFull
			continue
		}
		cost := c.Load
		if c.FailureDomain != domain {
			cost += crossDomainPenalty
		}
		if c.Doubtful {
			cost += max(c.Slots, 1) * fullFactor
		}
		if w := rank(hash, c.ID); best < 0 || cost < bestCost || cost == bestCost && w > bestRank {
			best, bestCost, bestRank = i, cost, w
		}
	}
	if best < 0 {
		return choice
	}
	c := candidates[best]
	choice.ID, choice.Load, choice.Reason = c.ID, c.Load, ReasonNear
	if c.Doubtful {
		choice.Reason = ReasonDoubtful
	}
	return choice
}
