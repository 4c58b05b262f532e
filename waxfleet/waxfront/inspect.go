package waxfront

import (
	"context"

	"connectrpc.com/connect"

	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxwire"
)

// inspection serves the state of the instance to operators.
type inspection struct {
	front *Instance
}

// State implements waxwireconnect.InspectionHandler.
func (i *inspection) State(context.Context, *connect.Request[waxwire.StateRequest]) (*connect.Response[waxwire.StateReply], error) {
	f := i.front
	ready, reason := f.Ready()
	known, evacuated := f.directory.All()
	out := &waxwire.StateReply{
		Instance: f.opts.Settings.Instance, FailureDomain: f.opts.Settings.FailureDomain, Ready: ready, Reason: reason,
		ProofAgeMs: -1, Followed: f.replicas.selector.Followed(), Evacuated: evacuated,
	}
	if table := f.table.Load(); table != nil {
		out.ConfigVersion = table.Version()
	}
	if age, ok := f.freshness.Age(); ok {
		out.ProofAgeMs = int64(age)
	}
	now, own, others := f.opts.Clock.Now(), f.servers.Counts(), f.loads.Counts()
	for _, s := range known {
		server, hash := s.Entry().Server(), waxpeer.ServerHash(s.ID())
		out.Servers = append(out.Servers, &waxwire.ServerView{
			Id: s.ID(), Service: server.Service(), FailureDomain: server.FailureDomain(), Address: server.Address(),
			State: string(server.State()), InFlight: uint32(own[hash].InFlight), FleetInFlight: uint32(own[hash].InFlight + others[hash].InFlight),
			Slots: uint32(s.Entry().Slots()), Cold: s.Cold(now), Missing: s.Missing(), Down: f.servers.Down(s.ID()),
		})
	}
	return connect.NewResponse(out), nil
}
