package waxowner

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxobject/waxmemory"
	"waxwingdrift.org/waxfleet/waxwire"
)

const benchIncarnation = "01JXW5T6V8N3Q4R5S6T7V8W9XA"

func benchID(i int) string { return fmt.Sprintf("caerdydd-router-%02d", i) }

// benchOwner returns the owner of one instance in a failure domain with the given
// numbers of members and backend servers. Its peers have reported their servers.
func benchOwner(b *testing.B, members, servers int) *Owner {
	b.Helper()
	clock := waxfleet.NewManualClock(100_000)
	table := waxmember.NewTable(clock, waxfleet.NewInstance(benchID(0), "caerdydd", "10.1.0.1:7001", waxfleet.StateLive), benchIncarnation)
	log := slog.New(slog.DiscardHandler)
	store := waxmemory.NewStore(clock)
	keeper := waxlease.NewKeeper(b.Context(), store, table, clock, benchIncarnation, waxlease.Callbacks{
		AssignmentChanged: func() {}, ConfigVersion: func() uint64 { return 1 },
	}, log)
	var list []waxlease.Member
	var instances []waxfleet.Instance
	for i := range members {
		list = append(list, waxlease.NewMember(benchID(i), benchIncarnation))
		instances = append(instances, waxfleet.NewInstance(benchID(i), "caerdydd", fmt.Sprintf("10.1.0.%d:7001", i), waxfleet.StateLive))
	}
	var backends []waxfleet.BackendServer
	for i := range servers {
		backends = append(backends, waxfleet.NewBackendServer(fmt.Sprintf("geiriau-engine-%04d", i),
			"geiriau", "caerdydd", "10.2.0.1:8000", waxfleet.StateLive))
	}
	a := waxlease.NewAssignment(7, list, nil, list[0].String())
	value, err := json.Marshal(a)
	if err != nil {
		b.Fatal(err)
	}
	keeper.Adopt(value, 7)
	table.SetList(instances, backends)
	o := New(b.Context(), Dependencies{
		Clock: clock, Config: waxconfig.NewWatcher(b.Context(), store, clock, log, nil), Ownership: keeper,
		Table: table, Log: log, MaxExceptions: 1_000,
	})
	table.SetLocal(&localStub{owner: o})
	mergePeerDigests(table, a, members, backends)
	o.tick()
	return o
}

// mergePeerDigests merges the digests of all peers.
func mergePeerDigests(table *waxmember.Table, a waxlease.Assignment, members int, servers []waxfleet.BackendServer) {
	owned := map[string][]*waxwire.BackendState{}
	for _, s := range servers {
		owner := waxlease.OwnerOf(s.ID(), a, func(string) bool { return false })
		owned[owner] = append(owned[owner], &waxwire.BackendState{
			Id: s.ID(), Service: "geiriau", InFlight: 3, Window: 64, Warm: true, Incarnation: benchIncarnation, Limit: 8,
		})
	}
	for i := 1; i < members; i++ {
		table.MergeDigest(&waxwire.Digest{
			Instance: benchID(i), Incarnation: benchIncarnation, FailureDomain: "caerdydd", Sequence: 1, Epoch: 7,
			BackendServers: owned[benchID(i)],
		})
	}
}

// localStub implements the methods of waxmember.Local that the benchmark needs.
type localStub struct {
	waxmember.Local
	owner *Owner
}

// Assignment implements waxmember.Local.
func (l *localStub) Assignment() (value []byte, version, epoch uint64) { return nil, 0, 0 }

// AdoptAssignment implements waxmember.Local.
func (l *localStub) AdoptAssignment([]byte, uint64) {}

// ConfigVersionSeen implements waxmember.Local.
func (l *localStub) ConfigVersionSeen(uint64) {}

// MergeSuspects implements waxmember.Local.
func (l *localStub) MergeSuspects([]*waxwire.Suspect) {}

// BenchmarkOwner measures the recurring work of an owner: a tick (20 per second),
// the states for a digest (one per exchange), and the placement of a request.
func BenchmarkOwner(b *testing.B) {
	for _, size := range []struct{ members, servers int }{{2, 5}, {10, 40}, {51, 200}} {
		o := benchOwner(b, size.members, size.servers)
		work := []struct {
			name string
			run  func(i int)
		}{
			{"tick", func(int) { o.tick() }},
			{"states", func(int) { o.BackendStates() }},
			{"choose", func(i int) {
				o.choose(&request{ServeRequest: &waxwire.ServeRequest{Service: "geiriau", Workspace: "w", ChatKey: fmt.Sprintf("w/%d", i)}})
			}},
		}
		for _, w := range work {
			b.Run(fmt.Sprintf("%s/members=%d,servers=%d", w.name, size.members, size.servers), func(b *testing.B) {
				for i := range b.N {
					w.run(i)
				}
			})
		}
	}
}
