package waxplace

import "waxwingdrift.org/waxfleet"

// AdmissionMargin is subtracted from the load factor when owners admit requests. It
// allows for a mean load that falls while the counts of other instances are in transit.
const AdmissionMargin = 0.05

// LoadLimit returns the maximum number of requests in flight at one backend server: the
// load factor times the mean, but at least the load floor. total is the number of
// requests in flight at all warm servers of the service, and servers the number of these
// servers.
func LoadLimit(limits waxfleet.Limits, total, servers int) int {
	return loadLimit(limits, limits.LoadFactor(), total, servers)
}

// AdmissionLimit is like LoadLimit, with the load factor reduced by AdmissionMargin.
func AdmissionLimit(limits waxfleet.Limits, total, servers int) int {
	return loadLimit(limits, limits.LoadFactor()-AdmissionMargin, total, servers)
}

func loadLimit(limits waxfleet.Limits, factor float64, total, servers int) int {
	if servers <= 0 {
		return limits.LoadFloor()
	}
	bound := int(factor * float64(total) / float64(servers))
	return max(bound, limits.LoadFloor())
}

// FloorAllowsGrowth reports whether the admission limit is at least one request above the
// mean when the load of all servers is at the floor. Otherwise all servers fill up to the
// floor and the limit never rises above it, whatever the demand.
func FloorAllowsGrowth(factor float64, floor int) bool {
	return float64(floor)*(factor-AdmissionMargin-1) >= 1
}

// ReserveDivisor is the load limit divided by its takeover reserve.
const ReserveDivisor = 8

// TakeoverReserve returns the part of a load limit that is reserved for the instance that
// takes over from an unreachable owner. It is at least one request, but 0 if the limit is
// at most 1.
func TakeoverReserve(limit int) int {
	if limit <= 1 {
		return 0
	}
	return max(1, limit/ReserveDivisor)
}
