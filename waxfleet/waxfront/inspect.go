package waxfront

import (
	"context"
	"runtime/debug"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

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
