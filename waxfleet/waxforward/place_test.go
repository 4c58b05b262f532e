package waxforward

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxcrash"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxfresh"
	"waxwingdrift.org/waxfleet/waxlimit"
	"waxwingdrift.org/waxfleet/waxorigin"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxtable"
)

// placeProtocol reads requests from header fields of its own: the key, and the parts of the
// prompt as "id=tokens id=tokens".
type placeProtocol struct{ testProtocol }

func (placeProtocol) DecodeRequest(r *http.Request) waxfleet.RequestHead {
	head := waxfleet.RequestHead{ID: r.Header.Get("Attempt"), APIKey: r.Header.Get("Key"), LastEventID: -1}
	if _, err := fmt.Sscan(r.Header.Get("After"), &head.LastEventID); err != nil {
		head.LastEventID = -1
	}
	for _, part := range strings.Fields(r.Header.Get("Parts")) {
		id, tokens, _ := strings.Cut(part, "=")
		p := waxfleet.PromptPart{ID: id}
		_, _ = fmt.Sscan(tokens, &p.Tokens)
		head.PromptParts = append(head.PromptParts, p)
		head.PromptTokens += p.Tokens
	}
	return head
}

func (placeProtocol) ProbeTarget(waxfleet.ServiceSpec) (string, bool) { return "/", true }

// placeEnv is a Forwarder without a network.
type placeEnv struct {
	f       *Forwarder
	clock   *waxfleet.Clock
	log     *strings.Builder
	flushes int
	loads   *waxpeer.Loads
}

func newPlaceEnv() *placeEnv {
	clock := waxfleet.NewManualClock(1_000_000)
	e := &placeEnv{clock: clock, log: &strings.Builder{}, loads: waxpeer.NewLoads(clock, "north")}
	route := func(name, prefix, service string, kind waxfleet.RouteKind) waxfleet.Route {
		return waxfleet.NewRoute(waxfleet.RouteSpec{
			Name: name, Host: "fleet.example", Prefix: prefix, Kind: kind, Timeout: 5_000, MaxAttempts: 2, Resumable: true,
			TrafficSplit: []waxfleet.WeightedService{{Service: service, Weight: 1}}, Priority: 3,
		})
	}
	table := waxtable.New(waxtable.Spec{
		Version: 7,
		Routes: []waxfleet.Route{
			route("chat", "/chat", "model", waxfleet.KindStream), route("call", "/call", "plain", waxfleet.KindIdempotent),
		},
		Services: []waxfleet.ServiceSpec{
			{Name: "model", KVCacheTokens: 100_000, MaxConnections: 100, ColdRequestsPerSecond: 2},
			{Name: "plain", MaxConnections: 100},
		},
		Workspaces: []waxtable.Workspace{{Name: "school", APIKeys: []string{"secret"}}},
	})
	freshness := waxfresh.NewFreshness(clock, 60_000)
	freshness.Confirm(clock.Now())
	freshness.CaughtUp()
	e.f = New(Options{
		Instance: "router-1", FailureDomain: "north", Clock: clock, Protocol: placeProtocol{}, Log: slog.New(slog.NewTextHandler(e.log, nil)),
		Directory: waxdirectory.New(clock), Loads: e.loads, CacheIndex: waxcache.NewIndex(),
		Crashes: waxcrash.New(clock, func(uint64) int { return 0 }), Limits: waxlimit.New(clock), Freshness: freshness,
		Servers: NewServers(clock, placeProtocol{}, waxpool.NewBudget(1_000), func() bool { return false }),
		Origins: waxorigin.NewStreams(clock), Versions: waxorigin.NewVersions(clock),
		InstancesUnreachable: func(string) bool { return false }, HearsFleet: func() bool { return true },
		FlushUpdates: func() { e.flushes++ },
		Table:        func() *waxtable.Table { return table },
		Bounds:       func() Bounds { return Bounds{ColdOvershoot: 1.5, ColdSlack: 5, MaxConfigDelay: 2_000} },
		Instances:    func() []string { return []string{"router-1"} },
		AskOrigin: func(context.Context, uint64) (waxorigin.Origin, bool) {
			panic("an instance was asked for an origin")
		},
	})
	return e
}

// state returns all that the decision depends on, or that it could change.
func (e *placeEnv) state() string {
	s := e.f.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	for id, state := range s.servers {
		lines = append(lines, fmt.Sprintf("server %s: %+v", id, *state))
	}
	for name, v := range s.services {
		lines = append(lines, fmt.Sprintf("service %s: %+v", name, *v))
	}
	for name, d := range s.domains {
		lines = append(lines, fmt.Sprintf("domain %s: %+v", name, *d))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n") + fmt.Sprintf("\ncosts %d, flushes %d, active %d, limits %v, crashes %v, cached %v\n%s",
		s.cost.costs.Len(), e.flushes, e.f.Active(), e.f.opts.Limits.All(), e.f.opts.Crashes.All(), e.f.opts.CacheIndex.All(), e.log)
}

// request returns the request of a command.
func (e *placeEnv) request(t *testing.T, d *datadriven.TestData) *http.Request {
	path, key, id, host := "/chat", "secret", "1", "fleet.example"
	for name, v := range map[string]*string{"path": &path, "key": &key, "id": &id, "host": &host} {
		d.MaybeScanArgs(t, name, v)
	}
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.RequestURI, r.Host = path, host
	r.Header.Set("Attempt", id)
	r.Header.Set("Key", key)
	r.Header.Set("Parts", strings.TrimSpace(d.Input))
	var after string
	if d.MaybeScanArgs(t, "after", &after); after != "" {
		r.Header.Set("After", after)
	}
	return r
}

// place returns the placement of a request, and fails if it left a trace.
func (e *placeEnv) place(t *testing.T, r *http.Request) Placement {
	t.Helper()
	before := e.state()
	p := e.f.Place(r)
	if after := e.state(); after != before {
		t.Fatalf("the inspection has changed the state from\n%s\nto\n%s", before, after)
	}
	return p
}

func formatPlacement(p Placement) string {
	out := fmt.Sprintf("route=%s service=%s workspace=%s priority=%d\n", p.Route, p.Service, p.Workspace, p.Priority)
	if p.Err != nil {
		out += fmt.Sprintf("rejected: status %d, %v, retry after %d ms\n", p.Status, p.Err, p.RetryAfter)
	}
	for i, s := range p.Eligible {
		out += fmt.Sprintf("%d %s %s load=%d pending=%d cached=%d cold=%v\n", i+1, s.Candidate.ID, s.Reason,
			s.Candidate.Load, s.Candidate.PendingTokens, s.Candidate.CachedTokens, s.Candidate.Cold)
	}
	for _, s := range p.Excluded {
		out += fmt.Sprintf("- %s %s load=%d\n", s.Candidate.ID, s.Reason, s.Candidate.Load)
	}
	return out
}

// TestPlace runs the script in testdata/place.txt. It guards against an inspection that takes a
// token, a share or a slot or leaves another trace, that names another server than the one that
// the request then gets, and against replies that hold the key.
func TestPlace(t *testing.T) {
	e := newPlaceEnv()
	datadriven.RunTest(t, "testdata/place.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "servers":
			var records []waxfleet.Record[waxfleet.BackendServerEntry]
			for i, line := range strings.Split(d.Input, "\n") {
				var name, service, domain, state string
				var slots, cold int
				if _, err := fmt.Sscan(line, &name, &service, &domain, &state, &slots, &cold); err != nil {
					t.Fatal(err)
				}
				server := waxfleet.NewBackendServer(name, service, domain, "10.0.0.1:80", waxfleet.State(state))
				records = append(records, waxfleet.Record[waxfleet.BackendServerEntry]{
					Name: name, Revision: waxfleet.Revision(i + 1), Decoded: true,
					Value: waxfleet.NewBackendServerEntry(server, slots, waxfleet.Millis(cold), 1).WithSoftwareVersion("v1"),
				})
			}
			e.f.opts.Directory.ApplyList(records)
			return ""
		case "evacuate":
			e.f.opts.Directory.SetEvacuated(map[string]bool{strings.TrimSpace(d.Input): true})
			return ""
		case "advance":
			var ms int
			d.ScanArgs(t, "ms", &ms)
			e.clock.Advance(waxfleet.Millis(ms))
			return ""
		case "crash":
			for server := range uint64(2) {
				e.clock.Advance(100)
				e.f.opts.Crashes.RecordCrash(server+1, []waxcrash.Trait{waxcrash.PartTrait(strings.TrimSpace(d.Input), 0)}, e.clock.Now()-50, e.clock.Now())
			}
			return ""
		case "place":
			p := e.place(t, e.request(t, d))
			if text := fmt.Sprintf("%+v", p); strings.Contains(text, "secret") {
				t.Fatalf("the reply holds the key: %s", text)
			}
			return formatPlacement(p)
		case "send":
			// The request gets the server that the inspection names first.
			r := e.request(t, d)
			p := e.place(t, r)
			req := &requestState{
				inbound: placeProtocol{}.DecodeRequest(r), arrivedAt: e.clock.Now(), method: r.Method, target: r.RequestURI, host: r.Host,
				triedServers: map[string]bool{}, response: newResponseWriter(httptest.NewRecorder(), r, placeProtocol{}, e.clock),
			}
			if err := e.f.match(req); err != nil {
				return err.Error() + "\n"
			}
			state, choice := e.f.selectServer(req)
			if state == nil {
				return fmt.Sprintf("none: %s, as placed: %v\n", choice.Reason, len(p.Eligible) == 0)
			}
			return fmt.Sprintf("%s %s, as placed: %v\n", choice.ID, choice.Reason, p.Eligible[0].Candidate.ID == choice.ID && p.Eligible[0].Reason == string(choice.Reason))
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
	if text := e.log.String(); strings.Contains(text, "secret") {
		t.Errorf("the log holds the key: %s", text)
	}
}
