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

// Fault is one thing that goes wrong during a run. Before acts before the calls
// start, During while they run, and Shape changes the calls. World.restore ends
// it.
type Fault struct {
	Name   string
	Before func(w *World)
	During func(ctx context.Context, w *World)
	Shape  func(w *World, i int, r *Request)
	// Spares says that each repeatable chat whose entry instance lives succeeds
	// under this fault alone.
	Spares bool
	// AtOnce starts During with the first call, for faults that wait for an event.
	AtOnce bool
}

func engineFault(name string, change func(f *waxengine.Faults)) Fault {
	return Fault{Name: name, Spares: true, Before: func(w *World) { w.setEngines(change) }}
}

func serviceFault(name string, change func(f *waxservice.Faults)) Fault {
	return Fault{Name: name, Before: func(w *World) { w.setServices(change) }}
}

func platformFault(name string, change func(f *waxplatform.Faults)) Fault {
	return Fault{Name: name, Spares: true, During: func(_ context.Context, w *World) { w.setPlatform(change) }}
}

// Faults of engines.
var (
	LateAnswers      = engineFault("late-answers", func(f *waxengine.Faults) { f.LateBy = 250 })
	CrossedAnswers   = engineFault("crossed-answers", func(f *waxengine.Faults) { f.CrossAnswers = 0.3 })
	TruncatedStreams = engineFault("truncated-streams", func(f *waxengine.Faults) { f.TruncateStreams = 0.5 })
	DuplicatedEvents = engineFault("duplicated-events", func(f *waxengine.Faults) { f.DuplicateEvents = 0.3 })
	LostEvents       = engineFault("lost-events", func(f *waxengine.Faults) { f.DropEvents = 0.1 })
	// EngineRefuses makes half of the engines refuse work.
	EngineRefuses = Fault{Name: "engine-refuses", Spares: true, Before: func(w *World) {
		for i := range w.engines {
			if i%2 == 0 {
				w.setEngine(i, func(f *waxengine.Faults) { f.Refuse = true })
			}
		}
	}}
	// EngineKilled ends an engine that has streams for a while, and brings it back
	// before the run ends.
	EngineKilled = Fault{Name: "engine-killed", Spares: true, AtOnce: true, During: func(ctx context.Context, w *World) {
		busiest := w.fleet.Engines()[0]
		watch(ctx, func() bool {
			for _, e := range w.fleet.Engines() {
				if e.InFlight() > busiest.InFlight() {
					busiest = e
				}
			}
			return busiest.InFlight() > 2
		})
		time.Sleep(midStream)
		busiest.Kill()
		time.Sleep(killedFor)
		_ = busiest.Restart()
	}}
	// SilentIdle silences the connections that are kept from earlier calls.
	SilentIdle = Fault{Name: "silent-idle", Spares: true, Before: func(w *World) {
		w.setEngines(func(f *waxengine.Faults) { f.SilentAfterEvents = 1 })
	}}
	// SilentStreams silences the connections with a stream after a few events.
	SilentStreams = Fault{Name: "silent-streams", Spares: true, During: func(_ context.Context, w *World) {
		w.setEngines(func(f *waxengine.Faults) { f.SilentAfterEvents = 8 })
	}}
	// SlowCallers read some streams slowly, longer than the progress time-out.
	SlowCallers = Fault{Name: "slow-callers", Spares: true, Shape: func(_ *World, i int, r *Request) {
		if i%3 == 0 {
			r.Pause = 30 * time.Millisecond
		}
	}}
)

// midStream is the time from the start of some streams to the kill of their
// engine: a few tokens.
const midStream = 40 * time.Millisecond

// killedFor is how long a killed engine is down. It is longer than the probes
// that tell a death from a lost connection usually take.
const killedFor = 300 * time.Millisecond

// Faults of routers and of their surroundings.
var (
	// RouterKilled ends one router, which is entry for some calls and owner for
	// others.
	RouterKilled = Fault{Name: "router-killed", Spares: true, During: func(_ context.Context, w *World) {
		w.kill(w.router(w.pick).ID)
	}}
	// PeersCut breaks the connections to the peer addresses of two routers.
	PeersCut = Fault{Name: "peers-cut", Spares: true, During: func(_ context.Context, w *World) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, r := range []string{w.router(w.pick).ID, w.router(w.pick + 2).ID} {
			w.proxies[r].set(true)
		}
	}}
	// DomainOut takes a failure domain out, and brings it back before the end.
	DomainOut = Fault{Name: "domain-out", Spares: true, During: func(ctx context.Context, w *World) {
		domain := w.router(w.pick).FailureDomain
		_, _ = w.fleet.SetDomain(ctx, domain, false)
		time.Sleep(killedFor)
		_, _ = w.fleet.SetDomain(ctx, domain, true)
	}}
	PlatformOutage = platformFault("platform-outage", func(f *waxplatform.Faults) { f.Outage = true })
	PlatformSlow   = platformFault("platform-slow", func(f *waxplatform.Faults) { f.SlowBy = 200 })
	LostWrites     = platformFault("lost-write-answers", func(f *waxplatform.Faults) { f.LoseAnswers = 0.5 })
	// ShortDeadlines gives calls less time than they may have to wait.
	ShortDeadlines = Fault{Name: "short-deadlines", Shape: func(_ *World, i int, r *Request) {
		if i%2 == 0 {
			r.Tier = "hasty"
		}
	}}
)

// Faults of the plain service.
var (
	ServiceDies = serviceFault("service-dies-in-call", func(f *waxservice.Faults) { f.DieInCall = 0.2 })
	CutResults  = serviceFault("cut-results", func(f *waxservice.Faults) { f.CutAnswers = 0.4 })
	LateResults = serviceFault("late-results", func(f *waxservice.Faults) { f.LateBy = 400 })
	// KillAtClaim, KillAtRun and KillAtResult end the router that runs a deposit
	// when it has claimed it, when the service has begun it, and when the service
	// has answered.
	KillAtClaim  = Fault{Name: "router-killed-after-claim", AtOnce: true, During: killAtClaim}
	KillAtRun    = Fault{Name: "router-killed-after-dispatch", AtOnce: true, During: killAtService(waxservice.EventStart)}
	KillAtResult = Fault{Name: "router-killed-before-result", AtOnce: true, During: killAtService(waxservice.EventEnd)}
)

const (
	watchInterval = time.Millisecond
	// watchTime bounds the wait for the event at which a router is killed.
	watchTime = 2 * time.Second
	claimKind = "claim"
)

// claimWriter returns the last writer of a running claim behind the first writes
// of the history.
func claimWriter(w *World, from int) string {
	writer := ""
	history := w.fleet.Platform().History()
	for _, ev := range history[min(from, len(history)):] {
		var claim struct {
			State string `json:"state"`
		}
		if ev.Kind != claimKind || json.NewDecoder(bytes.NewReader(ev.Value)).Decode(&claim) != nil {
			continue
		}
		if claim.State == "running" {
			writer = ev.Writer
		}
	}
	return writer
}

func killAtClaim(ctx context.Context, w *World) {
	from := len(w.fleet.Platform().History())
	watch(ctx, func() bool {
		writer := claimWriter(w, from)
		if writer != "" {
			w.kill(writer)
		}
		return writer != ""
	})
}

func killAtService(kind waxservice.EventKind) func(ctx context.Context, w *World) {
	return func(ctx context.Context, w *World) {
		from := len(w.fleet.Platform().History())
		seen := countEvents(w, kind)
		watch(ctx, func() bool {
			if countEvents(w, kind) == seen {
				return false
			}
			w.kill(claimWriter(w, from))
			return true
		})
	}
}

func countEvents(w *World, kind waxservice.EventKind) int {
	n := 0
	for _, s := range w.fleet.Services() {
		for _, ev := range s.History() {
			if ev.Kind == kind {
				n++
			}
		}
	}
	return n
}

func watch(ctx context.Context, seen func() bool) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	for ctx.Err() == nil && !seen() {
		time.Sleep(watchInterval)
	}
}
