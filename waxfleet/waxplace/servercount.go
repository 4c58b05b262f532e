package waxplace

import "waxwingdrift.org/waxfleet"

// serverCountHold is the minimum time for which a drop in the number of servers is not
// applied. A new owner reports a server after it has adopted the assignment, fetched a
// load report and sent its loads, each of which takes up to a second.
const serverCountHold waxfleet.Millis = 3_000

// ServerCount tracks the number of backend servers over which the mean load of a service
// is taken. While a server changes its owner, the requests in flight there are reported
// by the old owner, and the server itself by neither. The mean of the other servers would
// rise by its share, and their load limit with it. ServerCount therefore follows a rise at
// once and a drop only after serverCountHold to twice that. The zero value is ready to
// use.
type ServerCount struct {
	periodStart waxfleet.Millis
	// currentMax and previousMax are the highest counts in this period and the one before.
	currentMax, previousMax int
}

// Apply records the reported number of servers and returns the number to divide by.
// listed is the number of servers that can take requests at all, as listed by the
// platform: a drop below it is applied at once.
func (c *ServerCount) Apply(now waxfleet.Millis, reported, listed int) int {
	if now-c.periodStart >= serverCountHold {
		c.previousMax = c.currentMax
		if now-c.periodStart >= 2*serverCountHold {
			c.previousMax = 0
		}
		c.currentMax, c.periodStart = 0, now
	}
	c.currentMax = max(c.currentMax, reported)
	return max(reported, min(max(c.currentMax, c.previousMax), listed))
}
