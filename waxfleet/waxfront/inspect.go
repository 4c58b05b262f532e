package waxfront

import (
	"context"
	"net/http"
	"runtime/debug"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxforward"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxwire"
)

// inspectionHandler serves the state of the instance to operators.
type inspectionHandler struct {
	instance *Instance
}

// State implements waxwireconnect.InspectionHandler.
func (h *inspectionHandler) State(context.Context, *connect.Request[waxwire.StateRequest]) (*connect.Response[waxwire.StateReply], error) {
	inst := h.instance
	ready, reason := inst.Ready()
	known, evacuated := inst.directory.All()
	out := &waxwire.StateReply{
		Instance:      inst.opts.Settings.Instance,
		FailureDomain: inst.opts.Settings.FailureDomain,
		Ready:         ready,
		Reason:        reason,
		ProofAgeMs:    -1,
		Followed:      inst.replicas.selector.Followed(),
		Evacuated:     evacuated,
		Build:         BuildVersion(),
		Abilities:     waxpeer.Abilities,
		ServersAgeMs:  proto.Int64(int64(inst.replicas.byFeed[FeedServers].Age())),
	}
	if table := inst.table.Load(); table != nil {
		out.ConfigVersion = table.Version()
	}
	if age, ok := inst.freshness.Age(); ok {
		out.ProofAgeMs = int64(age)
	}
	now, own, others := inst.opts.Clock.Now(), inst.servers.Counts(), inst.loads.Counts()
	for _, s := range known {
		server, hash := s.Entry().Server(), waxpeer.ServerHash(s.ID())
		out.Servers = append(out.Servers, &waxwire.ServerView{
			Id:            s.ID(),
			Service:       server.Service(),
			FailureDomain: server.FailureDomain(),
			Address:       server.Address(),
			State:         string(server.State()),
			InFlight:      uint32(own[hash].InFlight),
			FleetInFlight: uint32(own[hash].InFlight + others[hash].InFlight),
			Slots:         uint32(s.Entry().Slots()),
			Cold:          s.Cold(now),
			Missing:       s.Missing(),
			Down:          inst.servers.Down(s.ID()),
		})
	}
	return connect.NewResponse(out), nil
}

// Place implements waxwireconnect.InspectionHandler.
func (h *inspectionHandler) Place(_ context.Context, call *connect.Request[waxwire.PlaceRequest]) (*connect.Response[waxwire.PlaceReply], error) {
	header := http.Header{}
	for _, field := range call.Msg.GetHeader() {
		header.Add(field.GetName(), field.GetValue())
	}
	p := h.instance.forwarder.Place(&http.Request{
		Method: call.Msg.GetMethod(), Host: call.Msg.GetHost(), RequestURI: call.Msg.GetTarget(), Header: header,
	})
	out := &waxwire.PlaceReply{
		Instance: h.instance.opts.Settings.Instance, ConfigVersion: p.ConfigVersion,
		Route: p.Route, Service: p.Service, Workspace: p.Workspace, Priority: int32(p.Priority), TimeoutMs: int64(p.Timeout),
		SoftwareVersion: p.SoftwareVersion, Pinned: p.Pinned,
		SharedTokens: uint32(p.SharedTokens), PromptTokens: uint32(p.PromptTokens),
		MeanLoad: p.MeanLoad, LoadLimit: uint32(max(p.LoadLimit, 0)), PredictedMs: optionalMillis(p.Predicted),
		Eligible: placeServers(p.Eligible), Excluded: placeServers(p.Excluded),
	}
	if p.Err != nil {
		code := waxfleet.CodeOf(p.Err)
		out.Code, out.Outcome, out.Message = int32(code), code.Name(), p.Err.Error()
		out.Status, out.RetryAfterMs = int32(p.Status), int64(p.RetryAfter)
	}
	return connect.NewResponse(out), nil
}

// placeServers returns servers in wire format.
func placeServers(servers []waxforward.PlacedServer) []*waxwire.PlaceServer {
	out := make([]*waxwire.PlaceServer, 0, len(servers))
	for _, s := range servers {
		c := s.Candidate
		v := &waxwire.PlaceServer{
			Id: s.Entry.Server().ID(), FailureDomain: s.Entry.Server().FailureDomain(), SoftwareVersion: s.Entry.SoftwareVersion(),
			Reason: s.Reason, Load: uint32(max(c.Load, 0)), Slots: uint32(max(s.Entry.Slots(), 0)),
			PendingTokens: uint32(max(c.PendingTokens, 0)), CachedTokens: uint32(max(c.CachedTokens, 0)),
			Cold: c.Cold, Degraded: c.Degraded, PredictedMs: optionalMillis(s.Predicted),
		}
		if c.Pace > 0 {
			v.Pace, v.WorkLeft = proto.Float64(c.Pace), proto.Float64(c.WorkLeft)
		}
		out = append(out, v)
	}
	return out
}

// optionalMillis returns a time, or nil for one that is not known.
func optionalMillis(d waxfleet.Millis) *int64 {
	if d < 0 {
		return nil
	}
	return proto.Int64(int64(d))
}

// maxRevisionLength is the length to which the revision of the build is cut.
const maxRevisionLength = 12

// BuildVersion returns the revision that the program was built from, with a plus sign if the
// sources were changed; empty if the build does not know it.
func BuildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	revision := settings["vcs.revision"]
	if revision == "" {
		return ""
	}
	revision = revision[:min(maxRevisionLength, len(revision))]
	if settings["vcs.modified"] == "true" {
		revision += "+"
	}
	return revision
}
