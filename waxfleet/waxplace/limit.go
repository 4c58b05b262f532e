package waxplace

import "waxwingdrift.org/waxfleet"

// AdmissionMargin is subtracted from the load factor at admission. It covers the
// fall of the mean while the counts of other instances are on their way.
const AdmissionMargin = 0.05

// LoadLimit returns the most requests that may be in flight at one backend
// server, given the requests in flight at all warm servers of its service and
// their number.
func LoadLimit(limits waxfleet.Limits, total, servers int) int {
	return limitAt(limits, limits.LoadFactor(), total, servers)
}

// AdmissionLimit is LoadLimit with the margin that owners keep.
func AdmissionLimit(limits waxfleet.Limits, total, servers int) int {
	return limitAt(limits, limits.LoadFactor()-AdmissionMargin, total, servers)
}

func limitAt(limits waxfleet.Limits, factor float64, total, servers int) int {
	if servers <= 0 {
		return limits.LoadFloor()
	}
	bound := int(factor * float64(total) / float64(servers))
	return max(bound, limits.LoadFloor())
}

// CanGrow reports whether the admission limit exceeds an evenly spread load by
// at least one request from the floor on. Otherwise all servers fill up to the
// floor and the mean never rises above it, whatever the demand is.
func CanGrow(factor float64, floor int) bool {
	return float64(floor)*(factor-AdmissionMargin-1) >= 1
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
