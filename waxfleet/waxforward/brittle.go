package waxforward

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxquota"
)

const (
	// brittleTTL is the time after a response that names the servers of its service brittle
	// for which they count as such.
	brittleTTL waxfleet.Millis = 3_000
	// minRejectPause is the minimum time for which a brittle server that has rejected a
	// request gets none from this instance.
	minRejectPause waxfleet.Millis = 1_000
	// sharedSlotsDivisor is the part of a brittle server's slots up to which an instance may
	// exceed its share. What others have sent is known late.
	sharedSlotsDivisor = 4
)

// recordBrittle records that the servers of a service are brittle.
func (f *Forwarder) recordBrittle(req *requestState, resp *waxpool.Response) {
	if !resp.Head.Brittle {
		return
	}
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	now := f.opts.Clock.Now()
	svc := f.servers.serviceState(req.service)
	if now >= svc.brittleUntil || svc.maxRejects != resp.Head.MaxRejects {
		f.opts.Log.Warn("backend servers are brittle", "request", req.inbound.ID, "service", req.service, "max-rejects", resp.Head.MaxRejects)
	}
	svc.brittleUntil, svc.maxRejects = now+brittleTTL, resp.Head.MaxRejects
}

// pauseRejecting leaves a brittle server that has rejected a request alone, so that the
// instances together cause no more rejections than it bears.
func (f *Forwarder) pauseRejecting(req *requestState, state *serverState) {
	instances := len(f.opts.Instances())
	f.servers.mu.Lock()
	svc := f.servers.serviceState(req.service)
	brittle, maxRejects := f.opts.Clock.Now() < svc.brittleUntil, svc.maxRejects
	f.servers.mu.Unlock()
	if brittle {
		f.servers.pause(state, max(minRejectPause, waxfleet.Millis(1000*instances/max(maxRejects, 1))))
	}
}

// hasSlot reports whether this instance may send another request to a brittle server: it
// has one of its share of the slots left, or the server is known to be mostly idle.
func (f *Forwarder) hasSlot(id string, slots, own, total int, instances []string) bool {
	return slots <= 0 || total < slots/sharedSlotsDivisor || own < waxquota.SlotShare(slots, id, f.opts.Instance, instances)
}
