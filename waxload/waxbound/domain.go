package waxbound

import (
	"fmt"
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxplatform"
)

// outDomain has two routers of the default fleet.
const outDomain = "caerdydd"

// domainMove is one run: a failure domain is taken out and brought back.
type domainMove struct {
	name string
	seed uint64
	// before runs before the change, accepted right after its acceptance.
	before func(r *rig)
	// accepted returns an instance that it killed, and when: the callers that it
	// had then lose their answers.
	accepted func(r *rig) (killed string, at waxfleet.Millis)
}

func cut(ids ...string) func(*rig) {
	return func(r *rig) { r.faults(waxplatform.Faults{CutFrom: ids}) }
}

// restartInOutage restarts an instance of the domain that was taken out, with
// the platform down. Callers use it as soon as it says that it is ready. The
// outage begins when the first instance has the change: before, nobody could
// know it.
func restartInOutage(r *rig) (killed string, at waxfleet.Millis) {
	r.awaitFirst()
	r.faults(waxplatform.Faults{Outage: true})
	r.callers.Avoid("router-5")
	at = r.clock.Now()
	r.router("router-5").Kill()
	r.sleep(300)
	started := r.restart("router-5")
	r.sleep(3_000)
	if started.Node.Ready() {
		own := NewCallers(r.clock, workspace)
		own.Use(Entry{ID: started.ID, Address: started.Node.CallerAddress()})
		own.Go(r.ctx, Ask{Chat: "ready", Tokens: 10})
		r.note(CheckWhole(own.Calls())...)
	}
	r.sleep(3_000)
	if got, want := r.router("router-5").Node.ConfigVersion(), r.router("router-2").Node.ConfigVersion(); got != want {
		r.note(Violation{At: r.clock.Now(), Subject: started.ID, Detail: fmt.Sprintf("version %d after a restart without the platform; in force: %d", got, want)})
	}
	r.faults(waxplatform.Faults{})
	return "router-5", at
}

func domainMoves() []domainMove {
	return []domainMove{
		{name: "no-fault", seed: 11},
		{name: "cut-off-some", seed: 12, before: cut("router-1", "router-2", "router-7")},
		{name: "cut-off-whole-domain", seed: 13, before: cut("router-1", "router-5")},
		{name: "slow", seed: 14, before: func(r *rig) { r.faults(waxplatform.Faults{SlowBy: 800}) }},
		{name: "slow-and-cut-off", seed: 15, before: func(r *rig) {
			r.faults(waxplatform.Faults{SlowBy: 800, CutFrom: []string{"router-1", "router-6"}})
		}},
		{name: "restart-in-outage", seed: 16, accepted: restartInOutage},
	}
}

// moveDomain runs a domain move and returns the starts, the calls without those
// that a killed instance had, and the times of leaving and return.
func moveDomain(r *rig, m domainMove) (starts []Start, calls []Call, out, in waxfleet.Millis) {
	r.start(8, r.background(m.seed, 10))
	r.sleep(1_000)
	if m.before != nil {
		m.before(r)
		r.sleep(200)
	}
	out = r.setDomain(false)
	killed, at := "", waxfleet.Millis(0)
	if m.accepted != nil {
		killed, at = m.accepted(r)
	}
	r.sleep(4_500)
	in = r.setDomain(true)
	r.sleep(4_000)
	r.faults(waxplatform.Faults{})
	calls = slices.DeleteFunc(r.stop(), func(c Call) bool { return c.Entry == killed && c.Start <= at })
	return EngineStarts(r.Engines()), calls, out, in
}

// alwaysIn is a configuration in which operators take no failure domain out.
type alwaysIn struct{ waxfleet.ConfigSource }

type inConfig struct{ waxfleet.Config }

func (a alwaysIn) Current() waxfleet.Config { return inConfig{a.ConfigSource.Current()} }

func (inConfig) DomainInService(string) bool { return true }
