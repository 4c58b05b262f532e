package waxroute

import (
	"fmt"
	"testing"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxplace"
)

// staticConfig is a ConfigSource with one fixed configuration.
type staticConfig struct {
	waxfleet.ConfigSource
	doc *waxconfig.Document
}

// Current implements waxfleet.ConfigSource.
func (c *staticConfig) Current() waxfleet.Config { return c.doc }

// BenchmarkEntryDecision measures what an entry computes for one request: the order
// of the failure domains, the order of the backend servers in the first, and the
// update of the chat's domain. The instance list has 8 failure domains.
func BenchmarkEntryDecision(b *testing.B) {
	doc, err := waxconfig.ParseDocument(1, []byte(`{"services":{"geiriau":{"kind":"model-engine","models":["geiriau-1"]}},"workspaces":{"w":{"keys":["k"],"default-tier":"standard"}}}`))
	if err != nil {
		b.Fatal(err)
	}
	service, _ := doc.Service("geiriau")
	workspace, _ := doc.Workspace("w")
	for _, n := range []int{18, 200, 1_600} {
		table := waxmember.NewTable(waxfleet.NewManualClock(0), waxfleet.NewInstance("r", "domain-0", "10.1.0.1:7001", waxfleet.StateLive), "1")
		var servers []waxfleet.BackendServer
		for i := range n {
			servers = append(servers, waxfleet.NewBackendServer(fmt.Sprintf("geiriau-engine-%04d", i),
				"geiriau", fmt.Sprintf("domain-%d", i%8), "10.2.0.1:8000", waxfleet.StateLive))
		}
		table.SetList(nil, servers)
		r := &Router{Dependencies: Dependencies{Config: &staticConfig{doc: doc}, Table: table}, domainExceptions: waxplace.NewExceptions(1_000)}
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				rs := &requestState{Request: &Request{Service: service, Workspace: workspace, Model: "geiriau-1", ChatKey: fmt.Sprintf("w/%d", i)}}
				domain := r.domainOrder(rs)[0]
				if len(r.rankServers(rs, domain)) == 0 {
					b.Fatal("no backend server")
				}
				r.recordDomain(rs, domain)
			}
		})
	}
}
