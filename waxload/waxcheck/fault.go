package waxcheck

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxplatform"
	"waxwingdrift.org/waxstandin/waxservice"
)

// Fault is a fault to inject. BeforeCalls runs before the first call, DuringCalls
// runs concurrently with the calls, and ChangeRequest changes each request; each may
// be nil. Harness.restore ends the fault.
type Fault struct {
	Name          string
	BeforeCalls   func(h *Harness)
	DuringCalls   func(ctx context.Context, h *Harness)
	ChangeRequest func(h *Harness, i int, r *Request)
	// Survivable reports whether every repeatable chat must succeed under this
	// fault alone, unless its entry instance was killed.
	Survivable bool
	// Immediate starts DuringCalls without the usual delay, for faults that wait
	// for an event.
	Immediate bool
}

func engineFault(name string, change func(f *waxengine.Faults)) Fault {
	return Fault{Name: name, Survivable: true, BeforeCalls: func(h *Harness) { h.changeAllEngineFaults(change) }}
}

func serviceFault(name string, change func(f *waxservice.Faults)) Fault {
	return Fault{Name: name, BeforeCalls: func(h *Harness) { h.changeServiceFaults(change) }}
}

func platformFault(name string, change func(f *waxplatform.Faults)) Fault {
	return Fault{Name: name, Survivable: true, DuringCalls: func(_ context.Context, h *Harness) { h.changePlatformFaults(change) }}
}

// Faults of engines.
var (
	LateResponses       = engineFault("late-answers", func(f *waxengine.Faults) { f.ResponseDelay = 250 })
	MismatchedResponses = engineFault("crossed-answers", func(f *waxengine.Faults) { f.MismatchResponses = 0.3 })
	TruncatedStreams    = engineFault("truncated-streams", func(f *waxengine.Faults) { f.TruncateStreams = 0.5 })
	DuplicatedEvents    = engineFault("duplicated-events", func(f *waxengine.Faults) { f.DuplicateEvents = 0.3 })
	LostEvents          = engineFault("lost-events", func(f *waxengine.Faults) { f.DropEvents = 0.1 })
	// EngineRejects makes every second engine reject all work.
	EngineRejects = Fault{Name: "engine-refuses", Survivable: true, BeforeCalls: func(h *Harness) {
		for i := range h.engineFaults {
			if i%2 == 0 {
				h.changeEngineFaults(i, func(f *waxengine.Faults) { f.RejectRequests = true })
			}
		}
	}}
	// EngineKilled kills a busy engine mid-stream and restarts it before the end of
	// the run.
	EngineKilled = Fault{Name: "engine-killed", Survivable: true, Immediate: true, DuringCalls: func(ctx context.Context, h *Harness) {
		busiest := h.fleet.Engines()[0]
		awaitEvent(ctx, func() bool {
			for _, e := range h.fleet.Engines() {
				if e.InFlight() > busiest.InFlight() {
					busiest = e
				}
			}
			return busiest.InFlight() > 2
		})
		time.Sleep(killDelay)
		busiest.Kill()
		time.Sleep(downtime)
		_ = busiest.Restart()
	}}
	// SilentIdle makes the idle kept-alive connections of earlier calls go silent.
	SilentIdle = Fault{Name: "silent-idle", Survivable: true, BeforeCalls: func(h *Harness) {
		h.changeAllEngineFaults(func(f *waxengine.Faults) { f.SilentAfterEvents = 1 })
	}}
	// SilentStreams makes connections go silent after a few events of a stream.
	SilentStreams = Fault{Name: "silent-streams", Survivable: true, DuringCalls: func(_ context.Context, h *Harness) {
		h.changeAllEngineFaults(func(f *waxengine.Faults) { f.SilentAfterEvents = 8 })
	}}
	// SlowCallers makes every third caller read its stream so slowly that the response
	// takes longer than the progress timeout.
	SlowCallers = Fault{Name: "slow-callers", Survivable: true, ChangeRequest: func(_ *Harness, i int, r *Request) {
		if i%3 == 0 {
			r.ReadDelay = 30 * time.Millisecond
		}
	}}
)

// killDelay is the delay between the start of streams and the kill of their engine:
// a few token intervals.
const killDelay = 40 * time.Millisecond

// downtime is the downtime of a killed engine or an evacuated failure domain. It
// exceeds the usual duration of the probes that distinguish a crash from a lost
// connection.
const downtime = 300 * time.Millisecond

// Faults of routers and their environment.
var (
	// RouterKilled kills one router, which is the entry instance of some calls and
	// the owner for others.
	RouterKilled = Fault{Name: "router-killed", Survivable: true, DuringCalls: func(_ context.Context, h *Harness) {
		h.kill(h.router(h.faultTarget).ID)
	}}
	// PeersPartitioned blocks the connections to the peer addresses of two routers.
	PeersPartitioned = Fault{Name: "peers-cut", Survivable: true, DuringCalls: func(_ context.Context, h *Harness) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, r := range []string{h.router(h.faultTarget).ID, h.router(h.faultTarget + 2).ID} {
			h.proxies[r].setBlocked(true)
		}
	}}
	// DomainEvacuated evacuates a failure domain and returns it to service before the
	// end of the run.
	DomainEvacuated = Fault{Name: "domain-out", Survivable: true, DuringCalls: func(ctx context.Context, h *Harness) {
		domain := h.router(h.faultTarget).FailureDomain
		_, _ = h.fleet.SetDomainInService(ctx, domain, false)
		time.Sleep(downtime)
		_, _ = h.fleet.SetDomainInService(ctx, domain, true)
	}}
	PlatformOutage     = platformFault("platform-outage", func(f *waxplatform.Faults) { f.Outage = true })
	PlatformSlow       = platformFault("platform-slow", func(f *waxplatform.Faults) { f.RequestDelay = 200 })
	LostWriteResponses = platformFault("lost-write-answers", func(f *waxplatform.Faults) { f.LoseResponses = 0.5 })
	// ShortDeadlines gives every second call a deadline that is shorter than its
	// possible wait.
	ShortDeadlines = Fault{Name: "short-deadlines", ChangeRequest: func(_ *Harness, i int, r *Request) {
		if i%2 == 0 {
			r.Tier = "hasty"
		}
	}}
)

// Faults of the plain service.
var (
	ServiceCrashes   = serviceFault("service-dies-in-call", func(f *waxservice.Faults) { f.CrashDuringRequest = 0.2 })
	TruncatedResults = serviceFault("cut-results", func(f *waxservice.Faults) { f.TruncateResponses = 0.4 })
	LateResults      = serviceFault("late-results", func(f *waxservice.Faults) { f.ResponseDelay = 400 })
	// RouterKilledAfterClaim kills the router that executes a deposit after the claim,
	// RouterKilledAfterDispatch after the service started the deposit, and
	// RouterKilledBeforeResult after the service responded.
	RouterKilledAfterClaim    = Fault{Name: "router-killed-after-claim", Immediate: true, DuringCalls: killAfterClaim}
	RouterKilledAfterDispatch = Fault{Name: "router-killed-after-dispatch", Immediate: true, DuringCalls: killAfterServiceEvent(waxservice.EventStart)}
	RouterKilledBeforeResult  = Fault{Name: "router-killed-before-result", Immediate: true, DuringCalls: killAfterServiceEvent(waxservice.EventEnd)}
)

const (
	eventPollInterval = time.Millisecond
	// eventTimeout bounds the wait for the event that triggers a fault.
	eventTimeout    = 2 * time.Second
	claimObjectKind = "claim"
)

// lastClaimWriter returns the last writer of a claim in the state running. It looks
// at the platform's history from index from on, and returns "" if there is none.
func lastClaimWriter(h *Harness, from int) string {
	writer := ""
	history := h.fleet.Platform().History()
	for _, ev := range history[min(from, len(history)):] {
		var claim struct {
			State string `json:"state"`
		}
		if ev.Kind != claimObjectKind || json.NewDecoder(bytes.NewReader(ev.Value)).Decode(&claim) != nil {
			continue
		}
		if claim.State == "running" {
			writer = ev.Writer
		}
	}
	return writer
}

func killAfterClaim(ctx context.Context, h *Harness) {
	from := len(h.fleet.Platform().History())
	awaitEvent(ctx, func() bool {
		writer := lastClaimWriter(h, from)
		if writer != "" {
			h.kill(writer)
		}
		return writer != ""
	})
}

func killAfterServiceEvent(kind waxservice.EventKind) func(ctx context.Context, h *Harness) {
	return func(ctx context.Context, h *Harness) {
		from := len(h.fleet.Platform().History())
		seen := countEvents(h, kind)
		awaitEvent(ctx, func() bool {
			if countEvents(h, kind) == seen {
				return false
			}
			h.kill(lastClaimWriter(h, from))
			return true
		})
	}
}

func countEvents(h *Harness, kind waxservice.EventKind) int {
	n := 0
	for _, s := range h.fleet.PlainServers() {
		for _, ev := range s.History() {
			if ev.Kind == kind {
				n++
			}
		}
	}
	return n
}

// awaitEvent waits until occurred returns true, at most for eventTimeout.
func awaitEvent(ctx context.Context, occurred func() bool) {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	for ctx.Err() == nil && !occurred() {
		time.Sleep(eventPollInterval)
	}
}
