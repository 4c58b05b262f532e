package waxplace

import "waxwingdrift.org/waxfleet"

// LoadLimit returns the most requests that may be in flight at one backend
// server, given the requests in flight at all live servers of its service.
func LoadLimit(limits waxfleet.Limits, total, servers int) int {
	if servers <= 0 {
		return limits.LoadFloor()
	}
	bound := int(limits.LoadFactor() * float64(total) / float64(servers))
	return max(bound, limits.LoadFloor())
}

// ReserveDivisor sets the reserve to an eighth of the limit.
const ReserveDivisor = 8

// Reserve returns the part of a load limit that only a successor of a silent
// owner uses. It is at least one request, and never the whole limit.
func Reserve(limit int) int {
	if limit <= 1 {
		return 0
	}
	return max(1, limit/ReserveDivisor)
}
