package waxforward

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxlimit"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxshed"
	"waxwingdrift.org/waxfleet/waxtable"
)

// rejectAll rejects every request, and counts how often it was asked.
type rejectAll struct{ asked int }

func (r *rejectAll) Admit(waxshed.Request, waxshed.Estimate) waxshed.Decision {
	r.asked++
	return waxshed.Decision{Reason: waxshed.ReasonShare, RetryAfter: 70}
}

func (r *rejectAll) Observe(string, waxfleet.Millis, waxfleet.Millis) {}

// TestAdmissionAsked guards against decisions on services whose servers state no pace, and
// against rejecting as not run what another server may have run.
func TestAdmissionAsked(t *testing.T) {
	for name, c := range map[string]struct {
		prediction prediction
		sends      int
		none       bool
		asked      int
	}{
		"first send":             {prediction: prediction{known: true}, asked: 1},
		"no pace":                {prediction: prediction{firstEvent: 90_000}},
		"after an earlier send":  {prediction: prediction{known: true}, sends: 1},
		"without load shedding":  {prediction: prediction{known: true}, none: true},
		"own time much too long": {prediction: prediction{firstEvent: 90_000, ownPrompt: 90_000, known: true}, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			admission := &rejectAll{}
			f := New(Options{Clock: waxfleet.NewManualClock(5), Admission: admission})
			if c.none {
				f = New(Options{Clock: waxfleet.NewManualClock(5)})
			}
			req := &requestState{prediction: c.prediction, sends: c.sends, deadline: 1_000}
			is.Equal(f.admitted(req, waxpick.Choice{}), c.asked == 0)
			is.Equal(admission.asked, c.asked)
			is.Equal(req.rejected(), c.asked > 0)
			is.Equal(req.decision.Reason == waxshed.ReasonNone, c.asked == 0)
		})
	}
}

func (testProtocol) ProbeTarget(waxfleet.ServiceSpec) (target string, namesStart bool) {
	return "/", true
}

// TestRejectionTakesNoPlace guards against rejections that use up what they were rejected for
// lack of: counts, tokens of rate limits and prompts that an engine is believed to hold.
func TestRejectionTakesNoPlace(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(10_000)
	servers := NewServers(clock, testProtocol{}, waxpool.NewBudget(100), func() bool { return false })
	directory := waxdirectory.New(clock)
	directory.ApplyList([]waxfleet.Record[waxfleet.BackendServerEntry]{{
		Name: "engine-1", Revision: 1, Decoded: true,
		Value: waxfleet.NewBackendServerEntry(waxfleet.NewBackendServer("engine-1", "model", "d", "127.0.0.1:1", waxfleet.StateLive), 1, 5_000, 7),
	}})
	admission := &rejectAll{}
	index, limits, log := waxcache.NewIndex(), waxlimit.New(clock), &strings.Builder{}
	f := New(Options{
		Instance: "router-1", FailureDomain: "d", Clock: clock, Protocol: testProtocol{}, Directory: directory,
		Log: slog.New(slog.NewJSONHandler(io.Writer(log), nil)), Loads: waxpeer.NewLoads(clock, "d"), CacheIndex: index, Limits: limits,
		Servers: servers, Instances: func() []string { return []string{"router-1"} }, FlushUpdates: func() {},
		Bounds: func() Bounds { return Bounds{ColdOvershoot: 1.5, ColdSlack: 5} }, Admission: admission,
		InstancesUnreachable: func(string) bool { return false },
	})
	hash := waxcache.IncarnationHash("engine-1", 7)
	limits.Record(hash, 1, true)
	servers.cost.loads.Record("model", hash, waxfleet.ServerLoadStatement{
		Running: 1, Waiting: 9, Slots: 1, PacePercent: 100, HasPace: true, Present: true, Valid: true,
	})
	for range 20 {
		servers.cost.speeds.RecordFirstEvent(clock.Now(), "model", hash, 100, 1, 1)
		servers.cost.speeds.RecordFirstEvent(clock.Now(), "model", hash, 2_000, 100, 1)
	}
	route := waxfleet.NewRoute(waxfleet.RouteSpec{Name: "chat", Host: "h", Prefix: "/", Kind: waxfleet.KindStream, LatencyObjective: 400})
	parts := []waxfleet.PromptPart{{ID: "system", Tokens: 2_000}, {ID: "own", Tokens: 100}}
	newRequest := func() *requestState {
		return &requestState{
			inbound: waxfleet.RequestHead{ID: "attempt", PromptTokens: 2_100, MaxTokens: 9, LastEventID: -1, PromptParts: parts},
			table: waxtable.New(waxtable.Spec{Routes: []waxfleet.Route{route}, Services: []waxfleet.ServiceSpec{
				{Name: "model", KVCacheTokens: 9_000, ColdRequestsPerSecond: 1, WarmupDuration: 5_000},
			}}),
			route: route, service: "model", promptKey: waxcache.NewKey(parts), deadline: clock.Now() + 3_000, triedServers: map[string]bool{},
			response: &responseWriter{lastEventID: -1},
		}
	}
	for range 5 {
		req := newRequest()
		state, _ := f.selectServer(req)
		is.True(state == nil)
		is.True(req.rejected())
		err := f.rejectionError(req)
		is.Equal(waxfleet.CodeOf(err), waxfleet.CodeLoadShed)
		is.Equal(waxfleet.CodeLoadShed.Status(), http.StatusServiceUnavailable)
		is.True(waxfleet.CodeLoadShed.NotRun())
		is.Equal(retryAfterDelay(req, waxfleet.CodeLoadShed), waxfleet.Millis(70))
	}
	is.Equal(admission.asked, 5)
	is.Equal(strings.Count(log.String(), `"msg":"rejected before the first send"`), 5)
	is.Equal(len(servers.Counts()), 0)                           // requests in flight
	is.Equal(len(servers.servers["engine-1"].flights), 0)        // work left
	is.Equal(len(index.CachedTokens(waxcache.NewKey(parts))), 0) // prompts that engines hold
	is.Equal(servers.servers["engine-1"].pendingTokens, 0)       // prompt tokens that are waited for
	f.opts.Admission = nil                                       // a token for cold servers and one of the named limit are left
	state, choice := f.selectServer(newRequest())
	is.True(state != nil)
	is.True(choice.Found())
	is.Equal(state.inFlight, 1)
}

// TestQueuedCallsAreNotBegun guards against predictions that count the time for which a call
// waits for a slot as work done, so that a long queue at a plain server looks short.
func TestQueuedCallsAreNotBegun(t *testing.T) {
	is := is.New(t)
	call, prompt := &flight{plain: true}, &flight{}
	is.Equal(call.queuedWork(&waxpick.Candidate{Load: 64, Slots: 8}, 80), 60.0*80) // 56 wait, 8 are half done
	is.Equal(prompt.queuedWork(&waxpick.Candidate{Load: 64, Slots: 8}, 80), 0.0)
	is.Equal(call.queuedWork(&waxpick.Candidate{Load: 64}, 80), 0.0)         // slots are not known
	is.True(call.queuedWork(&waxpick.Candidate{Load: 1, Slots: 8}, 80) <= 0) // nothing waits
}
