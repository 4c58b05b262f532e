package waxforward

import (
	"math"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcost"
)

const (
	// maxCountsAge is the age of the oldest counts in use from which they are too old to
	// reject a request because of them. In groups of 21 instances in four failure domains
	// counts that are passed on are up to 1.6 s old while no datagram is lost.
	maxCountsAge waxfleet.Millis = 2_000
	// statementAge is the age up to which the statement of a server, rather than the counts,
	// says whether it has a free slot.
	statementAge waxfleet.Millis = 500
	// startPeriod is the time after the start of an instance in which it finds no server full
	// because of a prediction.
	startPeriod waxfleet.Millis = 2_000
	// maxPrediction bounds the predicted times.
	maxPrediction = 600_000
)

// prediction is what is expected of a request at the best server that it may use.
type prediction struct {
	// firstEvent is the time from now until the first event of the response; for plain
	// services until the response.
	firstEvent waxfleet.Millis
	// ownPrompt is the part of firstEvent that the server needs to read the prompt of the
	// request; for plain services its own service time.
	ownPrompt waxfleet.Millis
	// freeSlot is true if some server that the request may use has a free slot and no
	// request waiting.
	freeSlot bool
	// stale is true if the counts of other instances are too old to reject a request because
	// of them.
	stale bool
	// known is false for services whose servers state no pace, and until the speed of the
	// servers is learned. The other fields mean nothing then.
	known bool
}

// outlook is what the time of a response at one server depends on.
type outlook struct {
	slots, load int
	// free is true if the server has a free slot and no request waiting.
	free bool
	pace float64
	// workLeft is the work that the requests in flight leave, and meanWork the mean work of a
	// whole request: tokens, or ms of a plain service.
	workLeft, meanWork float64
	// pendingTokens is the number of prompt tokens that the server reads first, and ownTokens
	// the number of those of the request that it has not cached. ownWork is the service time of
	// a call of a plain service.
	pendingTokens, ownTokens, ownWork float64
	// speed is the speed of an engine.
	speed waxcost.Speed
	plain bool
}

// slotWait returns the expected time in ms until the request gets a slot. Requests that run
// are taken to be half done on average: what the others leave has to be worked off by all
// slots before, and at least until the first of them is free.
func (o outlook) slotWait() float64 {
	if o.free || o.slots <= 0 || o.load < o.slots {
		return 0
	}
	slots := float64(o.slots)
	wait := o.pace * max(o.meanWork, o.workLeft-slots*o.meanWork/2+o.meanWork) / slots
	if !o.plain {
		wait *= o.speed.MillisPerEvent
	}
	return wait
}

// times returns the expected time until the first event, or until the response of a plain
// service, and the part of it that the request itself takes.
func (o outlook) times() (firstEvent, own waxfleet.Millis) {
	if o.plain {
		ownTime := o.pace * o.ownWork
		return roundMillis(o.slotWait() + ownTime), roundMillis(ownTime)
	}
	ownTime := o.speed.Read(o.ownTokens, o.pace)
	first := o.slotWait() + o.speed.Read(o.pendingTokens, o.pace) + ownTime + o.pace*o.speed.Overhead
	return roundMillis(first), roundMillis(ownTime)
}

// roundMillis rounds a time up, within the bounds of a prediction.
func roundMillis(ms float64) waxfleet.Millis {
	if math.IsNaN(ms) {
		return 0
	}
	return waxfleet.Millis(math.Ceil(min(max(ms, 0), maxPrediction)))
}

// countsStale reports whether the counts of other instances are too old to reject a request
// because of them.
func (f *Forwarder) countsStale() bool {
	if len(f.opts.Instances()) <= 1 {
		return false
	}
	_, age := f.opts.Loads.ReportStats()
	return age > maxCountsAge || !f.opts.HearsFleet()
}
