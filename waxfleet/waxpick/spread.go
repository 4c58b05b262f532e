package waxpick

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// spreadBaseLoad is added to the mean load per slot of a server, so that idle servers
	// share calls evenly and differences of few requests count little.
	spreadBaseLoad = 0.5
	// spreadExponent is how strongly the share of a server falls with its mean load. With 2,
	// a server that takes twice as long gets about two thirds of the calls of the others, and
	// the shares settle although the mean follows them late.
	spreadExponent = 2
)

// ForSpreadCall chooses the server of a plain service at random, with a probability that falls
// with the mean load per slot. It is for fleets in which the counts of other instances are
// older than a call takes: the least loaded server of some hundred ms ago would get the calls
// of all instances at once. key makes the choice: it is different for each call. Servers that
// are full or in excluded are not chosen, and degraded ones only if no other one is left.
func ForSpreadCall(key string, candidates []Candidate, excluded map[string]bool) Choice {
	choice := Choice{Reason: ReasonNone, MeanLoad: meanLoad(candidates)}
	hash := xxhash.Sum64String(key)
	best, bestScore := Candidate{}, 0.0
	for _, c := range candidates {
		if c.Closed || c.Down || excluded[c.ID] {
			continue
		}
		if c.overRate() {
			if choice.Reason == ReasonNone {
				choice.Reason = ReasonColdRate
			}
			continue
		}
		slots := float64(max(c.Slots, 1))
		if c.Pace > 0 && c.Late || c.Pace <= 0 && c.MeanLoad >= slots*maxLoadPerSlot {
			choice.Reason = ReasonFull
			continue
		}
		weight := slots / math.Pow(spreadBaseLoad+c.MeanLoad/slots, spreadExponent)
		if c.Pace > 0 {
			weight /= c.Pace
		}
		score := weightedScore(rendezvousWeight(hash, c.ID), weight)
		if best.ID == "" || best.Degraded && !c.Degraded || best.Degraded == c.Degraded && score > bestScore {
			best, bestScore = c, score
		}
	}
	if best.ID == "" {
		return choice
	}
	choice.ID, choice.Load, choice.Reason = best.ID, best.Load, ReasonSpread
	if best.Degraded {
		choice.Reason = ReasonDegraded
	}
	return choice
}

// Draw returns a number from 0 to 1 for a request and a server.
func Draw(request, server string) float64 {
	return unit(rendezvousWeight(xxhash.Sum64String(request), server))
}

// weightedScore returns the score of a server in weighted rendezvous hashing: the server with
// the highest one is chosen with a probability in proportion to its weight.
func weightedScore(hash uint64, weight float64) float64 {
	return -weight / math.Log(unit(hash))
}

// unit returns a number between 0 and 1, both excluded, for a hash.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }
