package waxshed

import (
	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

const (
	// minRetryAfter is the shortest delay, unless a third of the time left is shorter: the
	// counts that a prediction is based on change five times a second.
	minRetryAfter waxfleet.Millis = 200
	// retryAfterParts is the divisor of the time left that bounds the delay, so that the
	// caller's retry has most of it.
	retryAfterParts = 3
)

// retryAfter returns the time after which a rejected caller should return: when the queue is
// predicted to have drained to the objective, spread over as long again by the hash of the
// attempt. It is at most a third of the time left.
func retryAfter(r Request, e Estimate) waxfleet.Millis {
	limit := max(r.Remaining/retryAfterParts, 1)
	// A request that takes longer than the objective by itself waits for an empty queue.
	drain := max(e.FirstEvent-max(r.Objective, e.OwnPrompt), minRetryAfter)
	if drain >= limit {
		return limit
	}
	spread := min(limit-drain, drain)
	return drain + waxfleet.Millis(xxhash.Sum64String(r.ID)%uint64(spread+1))
}
