package waxpick

import (
	"math"

	"waxwingdrift.org/waxfleet"
)

const (
	// minBackoffDelay and maxBackoffDelay bound the exponential backoff, during
	// which an unreachable server gets no request. The next request probes the
	// server.
	minBackoffDelay waxfleet.Millis = 400
	maxBackoffDelay waxfleet.Millis = 3_000
	// healthHalfLifeMillis is the age at which an outcome counts by half.
	healthHalfLifeMillis = 2_000.0
	// outlierMargin is how much the failure rate of an outlier exceeds that of its
	// service.
	outlierMargin = 0.2
	// minOutlierSamples is the minimum number of outcomes, after decay, of an outlier.
	minOutlierSamples = 1.5
)

// Health tracks the recent request outcomes of one backend server, or of all
// servers of a service, with exponential decay. It isn't safe for concurrent
// use.
type Health struct {
	failures     float64
	outcomes     float64
	lastDecay    waxfleet.Millis
	downUntil    waxfleet.Millis
	backoffDelay waxfleet.Millis
}

// Record counts an outcome. A success resets the backoff delay.
func (h *Health) Record(now waxfleet.Millis, ok bool) {
	h.decay(now)
	h.outcomes++
	if ok {
		h.backoffDelay = 0
		return
	}
	h.failures++
}

// RecordUnreachable marks the server as down after a failed connection attempt.
// The backoff delay doubles with each further failure until a success is
// recorded.
func (h *Health) RecordUnreachable(now waxfleet.Millis) {
	if now < h.downUntil {
		return
	}
	h.backoffDelay = min(max(h.backoffDelay*2, minBackoffDelay), maxBackoffDelay)
	h.downUntil = now + h.backoffDelay
}

// RecordReachable ends the backoff.
func (h *Health) RecordReachable() { h.downUntil, h.backoffDelay = 0, 0 }

// Down reports whether the server is backing off and gets no request.
func (h *Health) Down(now waxfleet.Millis) bool { return now < h.downUntil }

// FailureRate returns the share of failed requests and the number of outcomes
// that it is computed from, both with exponential decay.
func (h *Health) FailureRate(now waxfleet.Millis) (rate, samples float64) {
	h.decay(now)
	if h.outcomes < 1e-9 {
		return 0, 0
	}
	return h.failures / h.outcomes, h.outcomes
}

// Outlier reports whether the server fails clearly more often than its service
// as a whole.
func (h *Health) Outlier(now waxfleet.Millis, service *Health) bool {
	rate, samples := h.FailureRate(now)
	serviceRate, _ := service.FailureRate(now)
	return samples >= minOutlierSamples && rate > serviceRate+outlierMargin
}

func (h *Health) decay(now waxfleet.Millis) {
	if now <= h.lastDecay {
		return
	}
	factor := math.Exp2(-float64(now-h.lastDecay) / healthHalfLifeMillis)
	h.failures *= factor
	h.outcomes *= factor
	h.lastDecay = now
}
