package waxbound_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxnode"
	"waxwingdrift.org/waxload/waxbound"
	"waxwingdrift.org/waxload/waxembed"
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
// the platform down. Callers use it as soon as it says that it is ready.
func restartInOutage(r *rig) (killed string, at waxfleet.Millis) {
	r.faults(waxplatform.Faults{Outage: true})
	r.callers.Avoid("router-5")
	at = r.clock.Now()
	r.router("router-5").Kill()
	r.sleep(300)
	started := r.restart("router-5")
	r.sleep(3_000)
	if started.Node.Ready() {
		own := waxbound.NewCallers(r.clock, workspace)
		own.Use(waxbound.Entry{ID: started.ID, Address: started.Node.CallerAddress()})
		own.Go(r.ctx, waxbound.Ask{Chat: "ready", Tokens: 10})
		report(r.t, "ready without the platform", waxbound.CheckWhole(own.Calls()))
	}
	r.sleep(3_000)
	if got, want := r.router("router-5").Node.ConfigVersion(), r.router("router-2").Node.ConfigVersion(); got != want {
		r.t.Errorf("configuration of the restarted instance: got %d, want %d", got, want)
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
func moveDomain(r *rig, m domainMove) (starts []waxbound.Start, calls []waxbound.Call, out, in waxfleet.Millis) {
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
	calls = slices.DeleteFunc(r.stop(), func(c waxbound.Call) bool { return c.Entry == killed && c.Start <= at })
	return waxbound.EngineStarts(r.Engines()), calls, out, in
}

// TestDomainOut guards invariant 3: no new work in a failure domain 3 s after it
// was taken out, and work again after its return.
func TestDomainOut(t *testing.T) {
	t.Parallel()
	for _, m := range domainMoves() {
		t.Run(m.name, func(t *testing.T) {
			opts := waxembed.DefaultOptions()
			opts.SeedPeers = true
			r := newRig(t, opts)
			starts, calls, out, in := moveDomain(r, m)
			quiet := waxbound.Quiet{FailureDomain: outDomain, Since: out, Until: in, Grace: waxbound.DomainOutBound}
			report(t, "out", waxbound.CheckQuiet(starts, []waxbound.Quiet{quiet}))
			report(t, "return", waxbound.CheckReturn(starts, r.enginesOf(outDomain), in, waxbound.ConfigBound))
			whole, all := waxbound.Share(calls, out, in+4_000)
			t.Logf("last start %d ms after leaving, first start %d ms after return, whole %d of %d",
				waxbound.LastStart(starts, quiet), waxbound.FirstStart(starts, outDomain, in), whole, all)
			report(t, "answers", waxbound.CheckWhole(calls))
		})
	}
}

// alwaysIn is a configuration in which operators take no failure domain out.
type alwaysIn struct{ waxfleet.ConfigSource }

type inConfig struct{ waxfleet.Config }

func (a alwaysIn) Current() waxfleet.Config { return inConfig{a.ConfigSource.Current()} }

func (inConfig) DomainIn(string) bool { return true }

// TestDomainOutSwitchedOff shows that the run fails when routers ignore the
// state of failure domains. Seen with seed 11: 52 violations, the first "engine-05:
// new work 3.016s after it was taken out or began to leave; allowed: 3s".
func TestDomainOutSwitchedOff(t *testing.T) {
	is := is.New(t)
	opts := waxembed.DefaultOptions()
	opts.Hooks = func(string, string) waxnode.Hooks {
		return waxnode.Hooks{Config: func(c waxfleet.ConfigSource) waxfleet.ConfigSource { return alwaysIn{c} }}
	}
	r := newRig(t, opts)
	starts, _, out, in := moveDomain(r, domainMove{seed: 11})
	found := waxbound.CheckQuiet(starts, []waxbound.Quiet{{FailureDomain: outDomain, Since: out, Until: in, Grace: waxbound.DomainOutBound}})
	is.True(len(found) > 0)
	t.Logf("%d violations; first: %s", len(found), found[0])
}

// TestCheckQuietRejects guards the checker against accepting a late start or a
// missing return.
func TestCheckQuietRejects(t *testing.T) {
	is := is.New(t)
	starts := []waxbound.Start{
		{At: 100, Server: "e1", FailureDomain: "d"},
		{At: 3_100, Server: "e1", FailureDomain: "d"},
		{At: 3_101, Server: "e2", FailureDomain: "d"},
		{At: 5_000, Server: "e3", FailureDomain: "other"},
		{At: 9_000, Server: "e1", FailureDomain: "d"},
	}
	quiet := waxbound.Quiet{FailureDomain: "d", Since: 100, Until: 9_000, Grace: 3_000}
	found := waxbound.CheckQuiet(starts, []waxbound.Quiet{quiet})
	is.Equal(len(found), 1)
	is.Equal(found[0].At, waxfleet.Millis(3_101))
	quiet.Until = 3_101
	is.Equal(len(waxbound.CheckQuiet(starts, []waxbound.Quiet{quiet})), 0)
	is.Equal(len(waxbound.CheckReturn(starts, []string{"e1"}, 9_000, 100)), 0)
	is.Equal(len(waxbound.CheckReturn(starts, []string{"e1", "e2"}, 9_000, 100)), 1)
}
