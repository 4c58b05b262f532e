package waxmember

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

const benchIncarnation = "01JXW5T6V8N3Q4R5S6T7V8W9X"

// stubLocal is a Local with fixed state.
type stubLocal struct {
	states []*waxwire.BackendState
	value  []byte
}

func (l *stubLocal) BackendStates() []*waxwire.BackendState { return l.states }

func (l *stubLocal) Assignment() (value []byte, version, epoch uint64) { return l.value, 99, 7 }

func (l *stubLocal) AdoptAssignment([]byte, uint64) {}

func (l *stubLocal) ConfigVersion() uint64 { return 8300 }

// ConfigVersionSeen implements Local.
func (l *stubLocal) ConfigVersionSeen(uint64) {}

func (l *stubLocal) PlatformReachable() bool { return true }

func (l *stubLocal) Suspects(bool) []*waxwire.Suspect { return nil }

func (l *stubLocal) MergeSuspects([]*waxwire.Suspect) {}

// change changes the load of the first n own backend servers.
func (l *stubLocal) change(n, load int) {
	for i := range n {
		s := proto.Clone(l.states[i]).(*waxwire.BackendState)
		s.InFlight = int32(load%7 + 1)
		l.states[i] = s
	}
}

// tableSize is the size of the table on one side of an exchange: the number of own
// backend servers, of peers in the failure domain and of other domains.
type tableSize struct{ owned, peers, domains int }

func instanceID(domain, i int) string { return fmt.Sprintf("domain-%d-router-%02d", domain, i) }

// newBenchTable returns the table of instance i of domain 0, with peers in its domain
// and one gateway in each other domain.
func newBenchTable(b *testing.B, f tableSize, i int) (*Table, *stubLocal) {
	b.Helper()
	var members []waxlease.Member
	var instances []waxfleet.Instance
	for p := range f.peers {
		members = append(members, waxlease.NewMember(instanceID(0, p), fmt.Sprintf("%s%d", benchIncarnation, p%10)))
		instances = append(instances, waxfleet.NewInstance(instanceID(0, p), "domain-0", fmt.Sprintf("10.1.0.%d:7001", p), waxfleet.StateLive))
	}
	for d := range f.domains {
		instances = append(instances, waxfleet.NewInstance(instanceID(d+1, 0), fmt.Sprintf("domain-%d", d+1), fmt.Sprintf("10.1.%d.1:7001", d+1), waxfleet.StateLive))
	}
	value, err := json.Marshal(waxlease.NewAssignment(7, members, nil, members[0].String()))
	if err != nil {
		b.Fatal(err)
	}
	local := &stubLocal{value: value}
	var servers []waxfleet.BackendServer
	for s := range f.owned {
		id := fmt.Sprintf("geiriau-engine-%02d-%03d", i, s)
		servers = append(servers, waxfleet.NewBackendServer(id, "geiriau", "domain-0",
			"10.2.0.1:8000", waxfleet.StateLive))
		local.states = append(local.states, &waxwire.BackendState{
			Id: id, Service: "geiriau", InFlight: 3, Window: 64, Warm: true, Incarnation: benchIncarnation + "A", Limit: 8,
		})
	}
	t := NewTable(waxfleet.NewManualClock(100_000), instances[i], fmt.Sprintf("%s%d", benchIncarnation, i%10))
	t.SetLocal(local)
	t.SetList(instances, servers)
	for d := range f.domains {
		t.MergeDigest(&waxwire.Digest{
			Instance: instanceID(d+1, 0), Incarnation: benchIncarnation, FailureDomain: fmt.Sprintf("domain-%d", d+1), Sequence: 1,
			Totals: []*waxwire.ServiceTotal{{
				Service:       "geiriau",
				FailureDomain: fmt.Sprintf("domain-%d", d+1),
				InFlight:      300,
				Engines:       200,
				Free:          900,
			}},
		})
	}
	return t, local
}

// acknowledge exchanges digests until both sides have acknowledged all state.
func acknowledge(a, b *Table) {
	for range 3 {
		reply := b.HandleExchange(a.BuildDigest(b.Self().ID()))
		a.MergeDigest(reply)
	}
}

// BenchmarkDigest builds, marshals and merges digests between two peers that have
// acknowledged each other. It varies one dimension at a time, starting from 4 owned
// servers, 1 changed, 51 peers and 7 other domains.
func BenchmarkDigest(b *testing.B) {
	type size struct {
		tableSize
		changed int
	}
	base := size{tableSize{4, 51, 7}, 1}
	cases := map[string][]size{}
	for _, owned := range []int{4, 16, 64} {
		cases["owned"] = append(cases["owned"], size{tableSize{owned, base.peers, base.domains}, 1})
	}
	for _, changed := range []int{0, 1, 4, 16} {
		cases["changed"] = append(cases["changed"], size{tableSize{16, base.peers, base.domains}, changed})
	}
	for _, peers := range []int{2, 10, 51} {
		cases["peers"] = append(cases["peers"], size{tableSize{4, peers, base.domains}, 1})
	}
	for _, domains := range []int{0, 3, 7} {
		cases["domains"] = append(cases["domains"], size{tableSize{4, base.peers, domains}, 1})
	}
	for _, name := range []string{"owned", "changed", "peers", "domains"} {
		for _, s := range cases[name] {
			b.Run(fmt.Sprintf("%s/owned=%d,changed=%d,peers=%d,domains=%d", name, s.owned,
				s.changed, s.peers, s.domains), func(b *testing.B) {
				x, local := newBenchTable(b, s.tableSize, 0)
				y, _ := newBenchTable(b, s.tableSize, 1)
				acknowledge(x, y)
				bytes := 0
				b.ResetTimer()
				for i := range b.N {
					local.change(s.changed, i)
					data, err := proto.Marshal(x.BuildDigest(y.Self().ID()))
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
					d := &waxwire.Digest{}
					if err := proto.Unmarshal(data, d); err != nil {
						b.Fatal(err)
					}
					x.MergeDigest(y.HandleExchange(d))
				}
				b.ReportMetric(float64(bytes)/float64(b.N), "digest-B/op")
			})
		}
	}
}

type exchangeHandler struct {
	waxwireconnect.UnimplementedPeerHandler
	table *Table
}

// Exchange implements waxwireconnect.PeerHandler.
func (h *exchangeHandler) Exchange(_ context.Context, req *connect.Request[waxwire.Digest]) (*connect.Response[waxwire.Digest], error) {
	return connect.NewResponse(h.table.HandleExchange(req.Msg)), nil
}

// compressions are the ways to compress digests. PeerClients uses "reply", the default of
// connect.
var compressions = []struct {
	name    string
	server  []connect.HandlerOption
	request []connect.ClientOption
}{
	{"none", []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}, nil},
	{"reply", nil, nil},
	{"both", nil, []connect.ClientOption{connect.WithSendGzip()}},
}

// BenchmarkExchange measures one exchange over one HTTP/2 connection as PeerClients opens
// it. The CPU time is that of both sides.
func BenchmarkExchange(b *testing.B) {
	for _, gzip := range compressions {
		for _, changed := range []int{0, 1, 4} {
			b.Run(fmt.Sprintf("gzip=%s/changed=%d", gzip.name, changed), func(b *testing.B) {
				x, local := newBenchTable(b, tableSize{4, 51, 7}, 0)
				y, _ := newBenchTable(b, tableSize{4, 51, 7}, 1)
				address := serveExchange(b, y, gzip.server...)
				counter := &ByteCounter{}
				client := waxwireconnect.NewPeerClient(&http.Client{Transport: newTransport((&net.Dialer{}).DialContext, counter)}, "http://"+address, gzip.request...)
				exchange := func() {
					reply, err := client.Exchange(b.Context(), connect.NewRequest(x.BuildDigest(y.Self().ID())))
					if err != nil {
						b.Fatal(err)
					}
					x.MergeDigest(reply.Msg)
				}
				for range 5 {
					exchange()
				}
				before := counter.Bytes()
				cpu := cpuTime(b)
				b.ResetTimer()
				for i := range b.N {
					local.change(changed, i)
					exchange()
				}
				b.ReportMetric(float64(counter.Bytes()-before)/float64(b.N), "wire-B/op")
				b.ReportMetric((cpuTime(b)-cpu)*1e6/float64(b.N), "cpu-us/op")
			})
		}
	}
}

// cpuTime returns the CPU time of the process in seconds.
func cpuTime(b *testing.B) float64 {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds()
}

func serveExchange(b *testing.B, t *Table, options ...connect.HandlerOption) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(waxwireconnect.NewPeerHandler(&exchangeHandler{table: t}, options...))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

const (
	rotationRounds = 60
	serversPerPeer = 4
)

// exchangeSim simulates a failure domain whose instances exchange digests in rounds on
// one manual clock.
type exchangeSim struct {
	clock      *waxfleet.Clock
	exchangers map[string]*Exchanger
	exchanges  int
	bytes      int
	links      int
	stale      int
}

func newExchangeSim(b *testing.B, peers int) *exchangeSim {
	b.Helper()
	sim := &exchangeSim{clock: waxfleet.NewManualClock(100_000), exchangers: map[string]*Exchanger{}}
	ids := make([]string, peers)
	for i := range peers {
		ids[i] = instanceID(0, i)
	}
	priorityPeers := map[string]map[string]bool{}
	for s := range serversPerPeer * peers {
		two := waxplace.Rank(fmt.Sprintf("geiriau-engine-%04d", s), ids)[:2]
		for i, id := range two {
			if priorityPeers[id] == nil {
				priorityPeers[id] = map[string]bool{}
			}
			priorityPeers[id][two[1-i]] = true
		}
	}
	for i, id := range ids {
		t, _ := newBenchTable(b, tableSize{serversPerPeer, peers, 7}, i)
		t.clock = sim.clock
		peers := slices.Collect(maps.Keys(priorityPeers[id]))
		sim.exchangers[id] = &Exchanger{
			table:         t,
			clock:         sim.clock,
			priorityPeers: func() []string { return peers },
			active:        map[string]bool{},
			round:         i,
		}
	}
	return sim
}

// step runs one round of all instances, and counts exchanges, bytes and links if
// counted is set.
func (sim *exchangeSim) step(counted bool) {
	sim.clock.Advance(ExchangeInterval)
	for _, id := range slices.Sorted(maps.Keys(sim.exchangers)) {
		x := sim.exchangers[id]
		for _, peer := range x.selectPeers() {
			y, ok := sim.exchangers[peer.ID()]
			if !ok {
				continue
			}
			d := x.table.BuildDigest(peer.ID())
			reply := y.table.HandleExchange(d)
			x.table.MergeDigest(reply)
			if counted {
				sim.exchanges++
				sim.bytes += proto.Size(d) + proto.Size(reply)
			}
		}
	}
	if !counted {
		return
	}
	for _, x := range sim.exchangers {
		for _, link := range x.table.Links() {
			if _, own := sim.exchangers[link.Peer().ID()]; own {
				sim.links++
				if !link.Healthy() {
					sim.stale++
				}
			}
		}
	}
}

// BenchmarkRotation runs the peer selection of all instances of a failure domain for
// 30 s. exchanges/s and digest-B/s are per instance in both directions; stale-share is
// the fraction of links inside the domain without a digest for PeerTimeout.
func BenchmarkRotation(b *testing.B) {
	for _, peers := range []int{2, 10, 25, 51} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			var sim *exchangeSim
			for range b.N {
				sim = newExchangeSim(b, peers)
				for range rotationRounds {
					sim.step(false)
				}
				for range rotationRounds {
					sim.step(true)
				}
			}
			seconds := float64(rotationRounds*ExchangeInterval) / 1_000
			b.ReportMetric(2*float64(sim.exchanges)/float64(peers)/seconds, "exchanges/s")
			b.ReportMetric(2*float64(sim.bytes)/float64(peers)/seconds, "digest-B/s")
			b.ReportMetric(float64(sim.stale)/float64(sim.links), "stale-share")
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkTableMemory measures the memory of the membership table with the instance
// list of the fleet and the digests of all peers in the failure domain.
func BenchmarkTableMemory(b *testing.B) {
	for _, size := range []struct{ peers, servers, routers, list int }{{2, 18, 7, 18}, {10, 50, 80, 400}, {51, 200, 410, 1600}} {
		b.Run(fmt.Sprintf("peers=%d,servers=%d,list=%d", size.peers, size.servers, size.routers+size.list), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				t, _ := newBenchTable(b, tableSize{4, size.peers, 7}, 0)
				fillTable(b, t, size.peers, size.servers, size.routers, size.list)
				b.ReportMetric(heapBytes()-before, "heap-B")
				runtime.KeepAlive(t)
			}
		})
	}
}

// fillTable sets the instance list of the fleet and merges the digests of the peers.
func fillTable(b *testing.B, t *Table, peers, servers, routers, list int) {
	b.Helper()
	var instances []waxfleet.Instance
	for i := range routers {
		instances = append(instances, waxfleet.NewInstance(instanceID(i%8, i/8), fmt.Sprintf("domain-%d", i%8), fmt.Sprintf("10.1.%d.%d:7001", i%8, i/8), waxfleet.StateLive))
	}
	var backends []waxfleet.BackendServer
	for i := range list {
		backends = append(backends, waxfleet.NewBackendServer(fmt.Sprintf("geiriau-engine-%04d", i),
			"geiriau", fmt.Sprintf("domain-%d", i%8), fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250),
			waxfleet.StateLive))
	}
	t.SetList(instances, backends)
	for p := 1; p < peers; p++ {
		d := &waxwire.Digest{
			Instance:      instanceID(0, p),
			Incarnation:   benchIncarnation,
			FailureDomain: "domain-0",
			Sequence:      1,
			PeerAddress:   "10.1.0.1:7001",
		}
		for s := p; s < servers; s += peers {
			d.BackendServers = append(d.BackendServers, &waxwire.BackendState{
				Id: fmt.Sprintf("geiriau-engine-%04d", s*8), Service: "geiriau", InFlight: 3, Window: 64,
				Warm: true, Incarnation: benchIncarnation + "A", Limit: 8,
			})
		}
		data, err := proto.Marshal(d)
		if err != nil {
			b.Fatal(err)
		}
		received := &waxwire.Digest{}
		if err := proto.Unmarshal(data, received); err != nil {
			b.Fatal(err)
		}
		t.MergeDigest(received)
	}
}
