package waxpick

import "waxwingdrift.org/waxfleet"

const (
	// contradictionMemory is the time after a contradiction for which the counts of a service
	// are not trusted. An instance of a large fleet sends a service few requests a second, so
	// that contradictions are seconds apart although many requests of the fleet are concerned.
	contradictionMemory waxfleet.Millis = 30_000
	// idleShare is the share of its slots up to which a server counts as nearly idle.
	idleShare = 1.0 / 3
	// overloadFactor x mean + overloadSlack is the load above which an engine is overloaded.
	overloadFactor = 2
	overloadSlack  = 3
)

// CountTrust decides whether the counts of other instances show the load of a service well
// enough to send each request to the server that looks best. In large fleets the counts are
// older than most requests take, and all instances choose the same server until they change.
// What servers say in their responses shows that. The zero value trusts the counts.
type CountTrust struct {
	// contradicted is true once a rejection or the counts themselves have shown that the
	// counts of the service mislead, and contradictedAt the time of the last one.
	contradicted   bool
	contradictedAt waxfleet.Millis
}

// RecordRejected records that a server with the given counts has rejected a call because it
// was full.
func (t *CountTrust) RecordRejected(now waxfleet.Millis, load, slots int) {
	if load < slots {
		t.contradicted, t.contradictedAt = true, now
	}
}

// RecordCounts records the counts of a plain service. Servers that get each call at the least
// loaded one have loads that differ little: if one is full while another is nearly idle, calls
// have followed old counts.
func (t *CountTrust) RecordCounts(now waxfleet.Millis, candidates []Candidate) {
	full, idle := false, false
	for i := range candidates {
		c := &candidates[i]
		if c.Closed || c.Down || c.Degraded || c.Cold || c.Slots <= 0 {
			continue
		}
		full = full || c.Load >= c.Slots
		idle = idle || float64(c.Load) <= idleShare*float64(c.Slots)
	}
	if full && idle {
		t.contradicted, t.contradictedAt = true, now
	}
}

// RecordStated records how many requests an engine said that it holds, when the mean load of
// its service was mean by the counts.
func (t *CountTrust) RecordStated(now waxfleet.Millis, load int, mean float64) {
	if float64(load) > overloadFactor*mean+overloadSlack {
		t.contradicted, t.contradictedAt = true, now
	}
}

// Misleading reports whether the counts are not to be trusted.
func (t *CountTrust) Misleading(now waxfleet.Millis) bool {
	return t.contradicted && now-t.contradictedAt < contradictionMemory
}
