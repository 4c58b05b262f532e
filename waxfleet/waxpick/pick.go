// Package waxpick chooses the backend server for a request, or none if the
// request has to be refused. It does no I/O, reads no clock and draws no random
// numbers.
package waxpick

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet/waxplace"
)

// Candidate is the state of a backend server that the choice depends on.
type Candidate struct {
	ID            string
	FailureDomain string
	// Load is the number of requests in flight from all instances, as last
	// reported.
	Load int
	// MeanLoad is the mean of Load over the last second or so, and Draw a number from 0 to 1
	// that is different for each request and engine. If Draw is not 0, requests leave an engine
	// gradually as its load comes near the load limit.
	MeanLoad, Draw float64
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// PendingTokens is the number of prompt tokens sent to the server whose
	// responses have not started.
	PendingTokens int
	// CachedTokens is the number of the prompt's shared tokens in the server's prefix
	// cache.
	CachedTokens int
	// Cold is set during warm-up. A cold server gets a request only if WithinColdRate is
	// set: the rate limit for cold servers then allows one more.
	Cold           bool
	WithinColdRate bool
	// OverLimit is set if the server names a rate limit, and this instance's share of it
	// allows no request at present.
	OverLimit bool
	// Pace is the time that work takes at the server in relation to the usual time. 0 means
	// that it is not known; Pace, WorkLeft and Late have no effect then.
	Pace float64
	// WorkLeft is the work that the requests in flight are expected to leave: output tokens of
	// prompts, ms of service time at the usual pace of plain calls.
	WorkLeft float64
	// Late is set if the response of a plain server is predicted to come too late. It takes the
	// place of the load from which a server counts as full.
	Late bool
	// Closed is set if the server gets no new requests, because it is leaving or its failure
	// domain is evacuated. Its load counts for the mean.
	Closed bool
	// Down is set while connections to the server fail.
	Down bool
	// Degraded is set if the server may have stopped or fails more often than its
	// service. It is used as a last resort.
	Degraded bool
}

// overRate reports whether a rate limit allows no request to the server at present.
func (c *Candidate) overRate() bool { return c.OverLimit || c.Cold && !c.WithinColdRate }

// acceptedShare returns the share of the requests that an engine gets below the load limit. If
// all instances send to an engine until it is at the limit, by counts that are older than a
// request takes, it gets a burst of them each time it looks free.
func (c *Candidate) acceptedShare(limit int) float64 {
	soft := softLimitShare * float64(limit)
	load := max(float64(c.Load), c.MeanLoad)
	return min(max(1-(load-soft)/(float64(limit)+1-soft), 0), 1)
}

// Reason says why a server, or none, was chosen. It appears in logs.
type Reason string

// Reasons of a Choice.
const (
	// ReasonCached is an engine with all shared parts of the prompt in its cache.
	ReasonCached Reason = "holder"
	// ReasonUncached is an engine that has to prefill or fetch shared parts,
	// because no engine has them cached or those that do are busier.
	ReasonUncached Reason = "reader"
	// ReasonLeastLoaded is the least loaded engine; no healthy engine below the
	// load limit is left.
	ReasonLeastLoaded Reason = "least-loaded"
	// ReasonLocal is the server of a plain service with the least load, with a
	// preference for the local failure domain.
	ReasonLocal Reason = "near"
	// ReasonSpread is a server of a plain service that was chosen at random, by its mean load.
	ReasonSpread Reason = "spread"
	// ReasonDegraded is a degraded server; no other one is left.
	ReasonDegraded Reason = "doubtful"
	// ReasonNone means that no server is eligible.
	ReasonNone Reason = "none"
	// ReasonFull means that the queues of the eligible servers are too long for a
	// response in time.
	ReasonFull Reason = "full"
	// ReasonColdRate means that only servers are left whose rate limit, for cold ones or
	// as they name it, is used up.
	ReasonColdRate Reason = "paced"
)

// Choice is the chosen server, if any, with the figures that decided.
type Choice struct {
	ID     string
	Reason Reason
	// Load is the load of the chosen server, and MeanLoad the mean load of the servers
	// that are not down. LoadLimit is the limit that applied to the prompt; 0 for a plain
	// service.
	Load      int
	MeanLoad  float64
	LoadLimit int
}

// Found reports whether a server was chosen.
func (c Choice) Found() bool { return c.ID != "" }

const (
	// loadFactor x mean + loadSlack is the highest load at which an engine still gets
	// a request. This limit is stricter than the required bound of 2 x mean + 3,
	// because load counts of other instances arrive late.
	loadFactor = 1.8
	loadSlack  = 2.0
	// smallPromptFactor and smallPromptSlack set a lower limit for prompts with few
	// shared tokens. These move to another engine first, which costs little prefill. Busy
	// engines thus have capacity left for prompts that are expensive to prefill again.
	smallPromptFactor = 1.4
	smallPromptSlack  = 1.5
	// smallPromptTokens is the number of shared tokens below which a prompt
	// counts as small.
	smallPromptTokens = 1_000
	// softLimitShare is the share of the load limit from which requests leave an engine that
	// has a Draw.
	softLimitShare = 0.6
	// prefillWeight is the cost, in tokens of queueing, of each shared token that
	// the engine has to prefill or to fetch from another engine: both slow down
	// all requests of the engine.
	prefillWeight = 1.6
	// rankStepTokens is the extra queueing, in tokens, accepted per position that
	// an engine is ahead in the rendezvous order of the fleet. Instances that place
	// the same new prompt at once thus choose the same engine, whatever their failure
	// domain, unless its queue is long.
	rankStepTokens = 1_500
	// crossDomainPenaltyTokens is the cost, in tokens of queueing, of an engine in
	// another failure domain. Streams between domains break when the domains are
	// partitioned, and traffic between them is expensive: it is better to prefill small
	// prompts twice.
	crossDomainPenaltyTokens = 400
	// tokensPerRequest is the cost, in tokens of queueing, of each request in
	// flight.
	tokensPerRequest = 60
	// crossDomainPenaltyRequests is how many more requests in flight a plain
	// server of the local failure domain may have before one of another domain is
	// preferred.
	crossDomainPenaltyRequests = 2
	// maxLoadPerSlot is the load per slot at which a plain server counts as full: the
	// response to a request that waits for several others comes too late.
	maxLoadPerSlot = 4
)

// Prompt describes the prompt to place.
type Prompt struct {
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Hash identifies the shared prefix.
	Hash uint64
	// SharedTokens is the length of the shared prefix in tokens.
	SharedTokens int
	// OwnTokens is the number of further tokens of the prompt, which no engine has cached. It
	// counts at engines whose pace is known.
	OwnTokens int
}

// rendezvousWeight returns the rendezvous weight of a server for a key.
func rendezvousWeight(key uint64, id string) uint64 {
	return waxplace.Weight(key, xxhash.Sum64String(id))
}

// meanLoad returns the mean load of the servers that are not down; 0 if there are none.
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

// loadLimit returns the highest load at which an engine still gets the prompt.
func loadLimit(p Prompt, mean float64) int {
	if p.SharedTokens < smallPromptTokens {
		return int(math.Floor(smallPromptFactor*mean + smallPromptSlack))
	}
	return int(math.Floor(loadFactor*mean + loadSlack))
}

// ForPrompt chooses the engine for a prompt: the one with the shortest estimated wait
// among those within the load limit. Prefill of uncached tokens counts as wait. Chats
// thus return to engines that have their prefix cached, and new prompts that arrive at
// once are spread. Closed engines and those in excluded are not chosen.
func ForPrompt(p Prompt, candidates []Candidate, excluded map[string]bool) Choice {
	mean := meanLoad(candidates)
	limit := loadLimit(p, mean)
	choice := Choice{Reason: ReasonNone, MeanLoad: mean, LoadLimit: limit}
	s := promptSearch{prompt: p, candidates: candidates, excluded: excluded, limit: limit, work: meanWork(candidates), best: -1}
	s.run()
	if s.best < 0 {
		return leastLoaded(p.Hash, candidates, excluded, choice)
	}
	c := &candidates[s.best]
	choice.ID, choice.Load, choice.Reason = c.ID, c.Load, ReasonUncached
	if c.CachedTokens >= p.SharedTokens {
		choice.Reason = ReasonCached
	}
	return choice
}

// promptSearch is the search for the engine with the lowest cost for a prompt.
type promptSearch struct {
	prompt     Prompt
	candidates []Candidate
	excluded   map[string]bool
	limit      int
	// work is the mean work left of a request in flight.
	work float64
	// best is the index of the best engine so far, or -1.
	best       int
	bestCost   float64
	bestWeight uint64
}

// run sets best. The position of an engine in the rendezvous order counts only if the engine
// lacks cached tokens, so that the order is needed only while such an engine may be the best.
func (s *promptSearch) run() {
	unranked, minCost := 0, math.Inf(1)
	for i := range s.candidates {
		c := &s.candidates[i]
		switch {
		case !s.eligible(c):
		case s.cached(c):
			s.consider(i, rendezvousWeight(s.prompt.Hash, c.ID), 0)
		default:
			unranked++
			minCost = min(minCost, estimatedWait(s.prompt, c, s.work, 0))
		}
	}
	if unranked == 0 || s.decided(minCost) {
		return
	}
	order := newRendezvousHeap(s.prompt.Hash, s.candidates)
	for position := 0; unranked > 0 && !s.decided(minCost+rankStepTokens*float64(position)); position++ {
		i, weight := order.pop()
		if c := &s.candidates[i]; !s.cached(c) && s.eligible(c) {
			unranked--
			s.consider(i, weight, position)
		}
	}
}

// decided reports whether no engine that costs at least minCost can be the best.
func (s *promptSearch) decided(minCost float64) bool {
	return s.best >= 0 && minCost > s.bestCost+roundingTokens
}

func (s *promptSearch) cached(c *Candidate) bool { return c.CachedTokens >= s.prompt.SharedTokens }

// eligible reports whether an engine may get the prompt within the load limit.
func (s *promptSearch) eligible(c *Candidate) bool {
	return !c.Closed && !c.Down && !c.Degraded && !s.excluded[c.ID] && !c.overRate() && c.Load <= s.limit &&
		(c.Draw <= 0 || c.Draw < c.acceptedShare(s.limit))
}

// consider makes an engine the best one if it costs less, or as much and comes first.
func (s *promptSearch) consider(i int, weight uint64, position int) {
	cost := estimatedWait(s.prompt, &s.candidates[i], s.work, position)
	if s.best < 0 || cost < s.bestCost ||
		cost == s.bestCost && precedes(weight, s.candidates[i].ID, s.bestWeight, s.candidates[s.best].ID) {
		s.best, s.bestCost, s.bestWeight = i, cost, weight
	}
}

// roundingTokens is more than the rounding errors of a cost can add up to.
const roundingTokens = 1

// meanWork returns the mean work left of a request in flight; 0 if it is not known.
func meanWork(candidates []Candidate) float64 {
	work, load := 0.0, 0
	for i := range candidates {
		if !candidates[i].Down {
			work += candidates[i].WorkLeft
			load += candidates[i].Load
		}
	}
	if load == 0 {
		return 0
	}
	return work / float64(load)
}

// estimatedWait returns the expected wait at an engine, in tokens. work is the mean work left
// of a request in flight, and position is that of the engine in the rendezvous order.
func estimatedWait(p Prompt, c *Candidate, work float64, position int) float64 {
	if c.Pace > 0 {
		return estimatedWaitAtPace(p, c, work, position)
	}
	cost := float64(c.PendingTokens) + tokensPerRequest*float64(c.Load)
	if c.FailureDomain != p.FailureDomain {
		cost += crossDomainPenaltyTokens
	}
	if c.CachedTokens < p.SharedTokens {
		cost += prefillWeight*float64(p.SharedTokens-c.CachedTokens) + rankStepTokens*float64(position)
	}
	return cost
}

// estimatedWaitAtPace returns the expected wait at an engine whose pace is known. What the
// engine has to do takes pace times as long: an engine with a pace of 2 counts as twice as
// busy. A request in flight counts half as one request, because each slows the others down
// alike, and half by the work that it leaves in relation to the mean.
func estimatedWaitAtPace(p Prompt, c *Candidate, work float64, position int) float64 {
	requests := float64(c.Load)
	if work > 0 {
		requests = (requests + c.WorkLeft/work) / 2
	}
	cost := float64(c.PendingTokens+p.OwnTokens) + tokensPerRequest*requests
	rank := 0.0
	if c.CachedTokens < p.SharedTokens {
		cost += prefillWeight * float64(p.SharedTokens-c.CachedTokens)
		rank = rankStepTokens * float64(position)
	}
	cost *= c.Pace
	if c.FailureDomain != p.FailureDomain {
		cost += crossDomainPenaltyTokens
	}
	return cost + rank
}

// leastLoaded chooses the least loaded eligible engine regardless of the load
// limit, degraded ones last.
func leastLoaded(key uint64, candidates []Candidate, excluded map[string]bool, choice Choice) Choice {
	best, bestWeight := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Closed || c.Down || excluded[c.ID] {
			continue
		}
		if c.overRate() {
			choice.Reason = ReasonColdRate
			continue
		}
		w := rendezvousWeight(key, c.ID)
		if best < 0 || candidates[best].Degraded && !c.Degraded ||
			candidates[best].Degraded == c.Degraded && (c.Load < candidates[best].Load ||
				c.Load == candidates[best].Load && precedes(w, c.ID, bestWeight, candidates[best].ID)) {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return choice
	}
	c := &candidates[best]
	choice.ID, choice.Load, choice.Reason = c.ID, c.Load, ReasonLeastLoaded
	if c.Degraded {
		choice.Reason = ReasonDegraded
	}
	return choice
}

// ForCall chooses the server of a plain service, whose short calls arrive in bursts: the
// least loaded one, with a preference for domain, the failure domain of this instance.
// The hash of key breaks ties. Servers that are full or in excluded are not chosen. Where the
// pace is known, the expected finish decides in place of the load, and a server is full if
// the response would come late.
func ForCall(domain, key string, candidates []Candidate, excluded map[string]bool) Choice {
	mean := meanLoad(candidates)
	choice := Choice{Reason: ReasonNone, MeanLoad: mean}
	hash := xxhash.Sum64String(key)
	work := meanWork(candidates)
	best, bestCost, bestWeight := -1, 0.0, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Closed || c.Down || excluded[c.ID] {
			continue
		}
		if c.overRate() {
			if choice.Reason == ReasonNone {
				choice.Reason = ReasonColdRate
			}
			continue
		}
		if c.full() {
			choice.Reason = ReasonFull
			continue
		}
		cost := expectedFinish(domain, c, work)
		if w := rendezvousWeight(hash, c.ID); best < 0 || cost < bestCost || cost == bestCost && w > bestWeight {
			best, bestCost, bestWeight = i, cost, w
		}
	}
	if best < 0 {
		return choice
	}
	c := &candidates[best]
	choice.ID, choice.Load, choice.Reason = c.ID, c.Load, ReasonLocal
	if c.Degraded {
		choice.Reason = ReasonDegraded
	}
	return choice
}

// full reports whether the queue of a plain server is too long for a response in time.
func (c *Candidate) full() bool {
	if c.Pace > 0 {
		return c.Late
	}
	return c.Slots > 0 && c.Load >= c.Slots*maxLoadPerSlot
}

// expectedFinish returns a figure that grows with the time until a plain server would finish
// another request: the requests in flight, or the work left for each slot at the pace of the
// server if that is known. work is the mean work left of a request in flight. Penalties count
// as further requests.
func expectedFinish(domain string, c *Candidate, work float64) float64 {
	penalty := 0
	if c.FailureDomain != domain {
		penalty += crossDomainPenaltyRequests
	}
	if c.Degraded {
		penalty += max(c.Slots, 1) * maxLoadPerSlot
	}
	if c.Pace <= 0 {
		return float64(c.Load + penalty)
	}
	if work <= 0 {
		// Nothing is in flight, or its cost is not known: requests count alike.
		work = 1
	}
	left := c.WorkLeft
	if left <= 0 {
		left = work * float64(c.Load)
	}
	// The request itself is part of what the server has to finish.
	return ((left+work)*c.Pace + work*float64(penalty)) / float64(max(c.Slots, 1))
}
