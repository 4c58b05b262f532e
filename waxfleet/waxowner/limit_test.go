package waxowner

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxobject/waxmemory"
	"waxwingdrift.org/waxfleet/waxwire"
)

// TestLimitDuringHandover guards against a load limit that rises while servers change
// their owner: the former owner still reports the requests in flight there, and nobody
// counts the servers.
func TestLimitDuringHandover(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(100_000)
	table := waxmember.NewTable(clock, waxfleet.NewInstance(benchID(0), "caerdydd", "10.1.0.1:7001", waxfleet.StateLive), benchIncarnation)
	log := slog.New(slog.DiscardHandler)
	store := waxmemory.NewStore(clock)
	keeper := waxlease.NewKeeper(t.Context(), store, table, clock, benchIncarnation, waxlease.Callbacks{
		AssignmentChanged: func() {}, ConfigVersion: func() uint64 { return 1 },
	}, log)
	o := New(t.Context(), Dependencies{
		Clock: clock, Config: waxconfig.NewWatcher(t.Context(), store, clock, log, nil), Ownership: keeper,
		Table: table, Log: log, MaxExceptions: 10,
	})
	table.SetLocal(&localStub{owner: o})
	var servers []waxfleet.BackendServer
	for _, id := range []string{"engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6"} {
		servers = append(servers, waxfleet.NewBackendServer(id, "geiriau", "caerdydd", "10.2.0.1:8000", waxfleet.StateLive))
	}
	table.SetList([]waxfleet.Instance{waxfleet.NewInstance(benchID(1), "caerdydd", "10.1.0.2:7001", waxfleet.StateLive)}, servers)
	table.MergeDigest(&waxwire.Digest{Instance: benchID(1), Incarnation: benchIncarnation, FailureDomain: "caerdydd", Sequence: 1})
	report := func(inFlight, servers int32) int {
		table.RecordLoads(benchID(1), benchIncarnation, []*waxwire.OwnedLoad{{Service: "geiriau", InFlight: inFlight, Servers: servers}})
		o.tick()
		return o.loadLimit(o.Config.Current(), "geiriau")
	}
	floor := o.Config.Current().Limits().LoadFloor()
	busy := int32(6 * floor)
	before := report(busy, 6)
	is.Equal(report(busy, 3), before) // three servers have no owner that reports them
	clock.Advance(2_000)
	is.Equal(report(busy, 4), before) // one is reported again
	is.Equal(report(busy, 6), before) // all are
	is.True(report(2*busy, 6) > before)
}
