// Package waxpick decides which backend server gets a request and whether the
// request is refused. It does no I/O, reads no clock and draws no random numbers.
package waxpick

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet/waxplace"
)

// Candidate is a backend server as the decision sees it.
type Candidate struct {
	ID            string
	FailureDomain string
	// Load is the number of requests in flight from all instances, as last known.
	Load int
	// Slots is the number of requests that the server processes at once.
	Slots int
	// Pending is the number of prompt tokens sent to the server whose answers have
	// not begun.
	Pending int
	// Held is the number of the prompt's shared tokens that the server holds.
	Held int
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
	// ReasonHolder is an engine that holds the prompt's shared parts.
	ReasonHolder Reason = "holder"
	// ReasonReader is an engine that has to read or fetch shared parts, because none
	// holds them or those that do are busier.
	ReasonReader Reason = "reader"
	// ReasonLeast is the least loaded engine when all are above the load limit.
	ReasonLeast Reason = "least-loaded"
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
	// loadFactor and loadSlack set the load up to which an engine gets a request:
	// loadFactor x mean + loadSlack. They lie below the bound of twice the mean and
	// three that the users set, because counts of other instances arrive late.
	loadFactor = 1.8
	loadSlack  = 2.0
	// smallFactor and smallSlack do so for prompts with few shared tokens. They go
	// elsewhere first, which costs little reading, and leave the places of busy
	// engines to prompts that are dear to read again.
	smallFactor = 1.4
	smallSlack  = 1.5
	// smallPrompt is the number of shared tokens below which a prompt counts as
	// small.
	smallPrompt = 1_000
	// readWeight is how many tokens of waiting one shared token is worth that the
	// engine has to read, or to fetch from another engine: both take time from all
	// requests of the engine.
	readWeight = 1.6
	// rankStep is the waiting, in tokens, that is accepted for each place that an
	// engine comes earlier in the rendezvous order of its failure domain. Instances
	// that place a new prompt at the same time thus choose the same engine, unless
	// its queue is long.
	rankStep = 1_500
	// crossDomainTokens is the waiting, in tokens, that an engine in another failure
	// domain stands for. Streams to it break when domains are cut off from each
	// other, and its bytes are dear; small prompts are rather read twice.
	crossDomainTokens = 400
	// loadTokens is the waiting, in tokens, that one running request stands for.
	loadTokens = 60
	// crossDomainPenalty is the number of requests in flight that the own failure
	// domain may have more before another one is preferred.
	crossDomainPenalty = 2
	// fullFactor is the multiple of its slots at which a plain server counts as
	// full: what waits longer than a few turns comes too late.
	fullFactor = 4
)

// Prompt is what the decision needs of a prompt.
type Prompt struct {
	// FailureDomain is that of the instance.
	FailureDomain string
	// Hash identifies the shared parts.
	Hash uint64
	// Shared is the number of tokens in the shared parts.
	Shared int
}

// rank is the rendezvous weight of a server for a key.
func rank(key uint64, id string) uint64 { return waxplace.Weight(key, xxhash.Sum64String(id)) }

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

// loadLimit returns the load up to which an engine gets the prompt.
func loadLimit(p Prompt, mean float64) int {
	if p.Shared < smallPrompt {
		return int(math.Floor(smallFactor*mean + smallSlack))
	}
	return int(math.Floor(loadFactor*mean + loadSlack))
}

// ForPrompt chooses the engine for a prompt. It answers the load pattern of
// returning chats with parts in common, of which a few may be hot, and of many
// new prompts at once: the engine with the least waiting, where reading what the
// engine does not hold counts as waiting, among those below the load limit.
func ForPrompt(p Prompt, candidates []Candidate, excluded map[string]bool) Choice {
	mean := meanLoad(candidates)
	limit := loadLimit(p, mean)
	choice := Choice{Reason: ReasonNone, Mean: mean, Limit: limit}
	order := rendezvous(p.Hash, candidates)
	places := map[string]int{}
	best, bestCost := -1, 0.0
	for i, c := range order {
		place := places[c.FailureDomain]
		places[c.FailureDomain]++
		if c.Down || c.Doubtful || excluded[c.ID] || c.Cold && !c.Paced || c.Load > limit {
			continue
		}
		if cost := waiting(p, c, place); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return least(order, excluded, choice)
	}
	c := order[best]
	choice.ID, choice.Load, choice.Reason = c.ID, c.Load, ReasonReader
	if c.Held >= p.Shared {
		choice.Reason = ReasonHolder
	}
	return choice
}

// waiting is the expected waiting at an engine, in tokens. place is the engine's
// place in the rendezvous order of its failure domain.
func waiting(p Prompt, c Candidate, place int) float64 {
	cost := float64(c.Pending) + loadTokens*float64(c.Load)
	if c.FailureDomain != p.FailureDomain {
		cost += crossDomainTokens
	}
	if c.Held < p.Shared {
		cost += readWeight*float64(p.Shared-c.Held) + rankStep*float64(place)
	}
	return cost
}

// least chooses the least loaded of the engines that are left, the doubtful ones
// last.
func least(order []Candidate, excluded map[string]bool, choice Choice) Choice {
	best := -1
	for i, c := range order {
		if c.Down || excluded[c.ID] {
			continue
		}
		if c.Cold && !c.Paced {
			choice.Reason = ReasonPaced
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
	choice.ID, choice.Load, choice.Reason = order[best].ID, order[best].Load, ReasonLeast
	if order[best].Doubtful {
		choice.Reason = ReasonDoubtful
	}
	return choice
}

// rendezvous returns the candidates in the rendezvous order of a key.
func rendezvous(key uint64, candidates []Candidate) []Candidate {
	order := make([]ranked, len(candidates))
	for i, c := range candidates {
		order[i] = ranked{c: c, weight: rank(key, c.ID)}
	}
	sortRanked(order)
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
