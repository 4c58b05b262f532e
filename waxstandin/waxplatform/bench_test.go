package waxplatform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxobject"
	"waxwingdrift.org/waxstandin/waxplatform"
)

// newCountingClient starts a platform and returns it with a client and the counter of
// the client's bytes on the wire.
func newCountingClient(b *testing.B) (*waxplatform.Platform, *waxobject.Client, *waxmember.ByteCounter) {
	b.Helper()
	p, err := waxplatform.New(b.Context(), waxplatform.Options{})
	if err != nil {
		b.Fatal(err)
	}
	counter := &waxmember.ByteCounter{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return counter.Wrap(conn), nil
	}}
	return p, waxobject.NewClient("http://"+p.Address(), "caerdydd-router-1", &http.Client{Transport: transport}), counter
}

// BenchmarkInstanceList reads the instance list at the size of one user's current fleet
// (25 entries), ten times that, and the target (410 instances and 1,600 engines). With
// changed=true, the list changes before each read, so that each response has the full
// list; otherwise the response is 304. The platform runs in the same process.
func BenchmarkInstanceList(b *testing.B) {
	for _, size := range []struct{ routers, servers int }{{7, 18}, {50, 200}, {410, 1600}} {
		for _, changed := range []bool{true, false} {
			b.Run(fmt.Sprintf("entries=%d/changed=%t", size.routers+size.servers, changed), func(b *testing.B) {
				p, client, counter := newCountingClient(b)
				for i := range size.routers {
					peerAddress := fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250)
					callerAddress := fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)
					p.AddRouter(fmt.Sprintf("caerdydd-router-%d", i), "caerdydd", peerAddress, callerAddress)
				}
				for i := range size.servers {
					address := fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250)
					p.AddBackendServer(fmt.Sprintf("geiriau-engine-%04d", i), "geiriau", "caerdydd", address)
				}
				read := func() {
					if _, _, err := client.ListInstances(b.Context()); err != nil {
						b.Fatal(err)
					}
				}
				read()
				before := counter.Bytes()
				states := []waxfleet.State{waxfleet.StateLeaving, waxfleet.StateLive}
				b.ResetTimer()
				for i := range b.N {
					if changed {
						p.SetState("caerdydd-router-0", states[i%2])
					}
					read()
				}
				b.ReportMetric(float64(counter.Bytes()-before)/float64(b.N), "wire-B/op")
			})
		}
	}
}

// BenchmarkLeaseRound renews a lease in failure domains of 2, 10 and 51 members: it reads
// the assignment and writes the lease. The platform runs in the same process.
func BenchmarkLeaseRound(b *testing.B) {
	for _, members := range []int{2, 10, 51} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			p, client, counter := newCountingClient(b)
			var list []waxlease.Member
			for i := range members {
				list = append(list, waxlease.NewMember(fmt.Sprintf("caerdydd-router-%d", i), fmt.Sprintf("01JX%022d", i)))
			}
			value, err := json.Marshal(waxlease.NewAssignment(7, list, [][]waxlease.Member{list}, list[0].String()))
			if err != nil {
				b.Fatal(err)
			}
			p.Put(waxfleet.ObjectKindAssignment, "caerdydd", value)
			lease, err := json.Marshal(waxlease.Lease{
				Incarnation:   list[0].Incarnation(),
				FailureDomain: "caerdydd",
				PeerAddress:   "10.1.0.1:7001",
				EpochSeen:     7,
				State:         waxfleet.StateLive,
				ConfigVersion: 8300,
			})
			if err != nil {
				b.Fatal(err)
			}
			var version uint64
			before := p.Counts()
			b.ResetTimer()
			for range b.N {
				if _, err := client.Get(b.Context(), waxfleet.ObjectKindAssignment, "caerdydd"); err != nil {
					b.Fatal(err)
				}
				o, err := client.Put(b.Context(), "lease.caerdydd", "caerdydd-router-1", lease, version)
				if err != nil {
					b.Fatal(err)
				}
				version = o.Version()
			}
			after := p.Counts()
			b.ReportMetric(float64(counter.Bytes())/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/op")
		})
	}
}
