package waxmember

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

// digestServer is a peer that passes the digests that it receives to the test.
type digestServer struct {
	waxwireconnect.UnimplementedPeerHandler
	id, domain string
	received   chan string
}

// Exchange implements waxwireconnect.PeerHandler.
func (s *digestServer) Exchange(_ context.Context, _ *connect.Request[waxwire.Digest]) (*connect.Response[waxwire.Digest], error) {
	s.received <- s.id
	return connect.NewResponse(&waxwire.Digest{Instance: s.id, Incarnation: benchIncarnation, FailureDomain: s.domain, Sequence: 2, ConfigVersion: 8300}), nil
}

// TestAnnounceConfig guards against a change that instances without the platform learn of
// only with the next round between failure domains, 2 s later: the clock stands still.
func TestAnnounceConfig(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(100_000)
	table := NewTable(clock, waxfleet.NewInstance("router-1", "a", "", waxfleet.StateLive), benchIncarnation)
	table.SetLocal(&stubLocal{})
	received := make(chan string, 20)
	var peers []waxfleet.Instance
	for id, domain := range map[string]string{"router-2": "a", "router-3": "b", "router-4": "b", "router-5": "c", "router-6": "d"} {
		mux := http.NewServeMux()
		mux.Handle(waxwireconnect.NewPeerHandler(&digestServer{id: id, domain: domain, received: received}))
		server := httptest.NewUnstartedServer(mux)
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		protocols.SetHTTP1(true)
		server.Config.Protocols = protocols
		server.Start()
		t.Cleanup(server.Close)
		peers = append(peers, waxfleet.NewInstance(id, domain, server.Listener.Addr().String(), waxfleet.StateLive))
	}
	table.SetList(peers, nil) // two instances of this failure domain, both of them gateways
	for _, p := range peers {
		version := uint64(8299)
		if p.ID() == "router-6" {
			version = 8300 // has the change
		}
		table.MergeDigest(&waxwire.Digest{Instance: p.ID(), Incarnation: benchIncarnation, FailureDomain: p.FailureDomain(), Sequence: 1, ConfigVersion: version})
	}
	links := NewPeerClients(t.Context(), nil, &ByteCounter{})
	e := NewExchanger(t.Context(), table, links, clock, func() []string { return nil }, slog.New(slog.DiscardHandler))
	e.AnnounceConfig(t.Context(), 8300)
	told := map[string]bool{}
	for len(told) < 3 {
		select {
		case id := <-received:
			told[id] = true
		case <-time.After(10 * time.Second):
			t.Fatalf("only %v were told", told)
		}
	}
	is.True(told["router-2"])                     // the peer of this failure domain that lags
	is.True(told["router-3"] != told["router-4"]) // one of another domain
	is.True(told["router-5"])                     // and one of each
	is.Equal(len(e.configRecipients(8299)), 0)    // nobody lags behind an older version
}
