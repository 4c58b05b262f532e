package waxpick

import (
	"math"

	"waxwingdrift.org/waxfleet"
)

const (
	// firstDown and longestDown bound how long a server that could not be reached
	// gets no request, in ms. One request then tries it again.
	firstDown   waxfleet.Millis = 400
	longestDown waxfleet.Millis = 3_000
	// healthHalfLife is the time after which an outcome counts half, in ms.
	healthHalfLife = 2_000.0
	// doubtShare is the share of failures above that of the whole service at which
	// a server is doubtful, and doubtSamples the outcomes that this takes.
	doubtShare   = 0.2
	doubtSamples = 1.5
)

// Health remembers how requests ended at one backend server, or at all servers
// of a service. The caller serializes access.
type Health struct {
	failures  float64
	outcomes  float64
	last      waxfleet.Millis
	downUntil waxfleet.Millis
	downFor   waxfleet.Millis
}

// Record counts an outcome.
func (h *Health) Record(now waxfleet.Millis, ok bool) {
	h.decay(now)
	h.outcomes++
	if ok {
		h.downFor = 0
		return
	}
	h.failures++
}

// Unreachable notes that no connection could be opened, or that one fell silent.
func (h *Health) Unreachable(now waxfleet.Millis) {
	if now < h.downUntil {
		return
	}
	h.downFor = min(max(h.downFor*2, firstDown), longestDown)
	h.downUntil = now + h.downFor
}

// Down reports whether the server gets no request now.
func (h *Health) Down(now waxfleet.Millis) bool { return now < h.downUntil }

// Share returns the recent share of failures and the weight of the outcomes.
func (h *Health) Share(now waxfleet.Millis) (share, outcomes float64) {
	h.decay(now)
	if h.outcomes < 1e-9 {
		return 0, 0
	}
	return h.failures / h.outcomes, h.outcomes
}

// Doubtful reports whether the server fails clearly more often than its service.
func (h *Health) Doubtful(now waxfleet.Millis, service *Health) bool {
	share, outcomes := h.Share(now)
	whole, _ := service.Share(now)
	return outcomes >= doubtSamples && share > whole+doubtShare
}

func (h *Health) decay(now waxfleet.Millis) {
	if now <= h.last {
		return
	}
	f := math.Exp2(-float64(now-h.last) / healthHalfLife)
	h.failures *= f
	h.outcomes *= f
	h.last = now
}
