package waxnode

import (
	"context"

	"connectrpc.com/connect"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxobject"
	"waxwingdrift.org/waxfleet/waxwire"
)

// peerService implements the Peer RPC service, for other instances and waxctl.
type peerService struct {
	node *Node
}

// Serve admits and runs one request at this instance. Drain waits for its end, because
// the result is stored and sent after the backend server is done.
func (p *peerService) Serve(ctx context.Context, req *connect.Request[waxwire.ServeRequest], stream *connect.ServerStream[waxwire.ServeReply]) error {
	p.node.activeCalls.Add(1)
	defer p.node.activeCalls.Add(-1)
	return p.node.owner.Serve(ctx, req.Msg, stream)
}

// Exchange merges the peer's digest and returns this instance's.
func (p *peerService) Exchange(ctx context.Context, req *connect.Request[waxwire.Digest]) (*connect.Response[waxwire.Digest], error) {
	markControlTraffic(ctx)
	return connect.NewResponse(p.node.table.HandleExchange(req.Msg)), nil
}

// Loads receives the load changes of a peer.
func (p *peerService) Loads(ctx context.Context, stream *connect.ClientStream[waxwire.OwnedLoads]) (*connect.Response[waxwire.LoadsEnd], error) {
	markControlTraffic(ctx)
	if err := p.node.table.ReceiveLoads(stream); err != nil {
		return nil, err
	}
	return connect.NewResponse(&waxwire.LoadsEnd{}), nil
}

// FetchConfig returns the configuration in force, or only its version if the peer
// already has that version or a newer one.
func (p *peerService) FetchConfig(ctx context.Context, req *connect.Request[waxwire.FetchConfigRequest]) (*connect.Response[waxwire.ConfigCopy], error) {
	markControlTraffic(ctx)
	c := p.node.config.Copy()
	if c.Version() <= req.Msg.GetHaveVersion() {
		return connect.NewResponse(&waxwire.ConfigCopy{Version: c.Version()}), nil
	}
	return connect.NewResponse(&waxwire.ConfigCopy{Version: c.Version(), Head: c.Head(), Sections: c.Sections()}), nil
}

// SpreadSuspect merges a suspect record and, if the sender asks for it, forwards
// a changed one to the peers of this failure domain.
func (p *peerService) SpreadSuspect(ctx context.Context, req *connect.Request[waxwire.Suspect]) (*connect.Response[waxwire.SpreadReply], error) {
	markControlTraffic(ctx)
	s := req.Msg
	changed := p.node.suspects.Merge(s.GetDigest(), int(s.GetDeaths()), int(s.GetCleared()), waxfleet.Millis(s.GetRemainingMs()))
	if changed && s.GetRelay() {
		p.node.broadcastSuspect(ctx, s, false)
	}
	return connect.NewResponse(&waxwire.SpreadReply{}), nil
}

// RelayObject performs an object call for an instance that can't reach the
// platform. It calls the platform directly, never through another peer.
func (p *peerService) RelayObject(ctx context.Context, req *connect.Request[waxwire.ObjectCall]) (*connect.Response[waxwire.ObjectResult], error) {
	markControlTraffic(ctx)
	return connect.NewResponse(waxobject.ServeRelay(ctx, p.node.platform, req.Msg)), nil
}

// Explain returns the recorded decisions of this instance for a request.
func (p *peerService) Explain(_ context.Context, req *connect.Request[waxwire.ExplainRequest]) (*connect.Response[waxwire.ExplainReply], error) {
	reply := &waxwire.ExplainReply{}
	for _, d := range p.node.recorder.Decisions(req.Msg.GetRequestId()) {
		reply.Decisions = append(reply.Decisions, &waxwire.Decision{AtMs: int64(d.At), Instance: d.Instance, Step: d.Step, Detail: d.Detail})
	}
	return connect.NewResponse(reply), nil
}

// Status returns the state of this instance and its view of the fleet.
func (p *peerService) Status(_ context.Context, _ *connect.Request[waxwire.StatusRequest]) (*connect.Response[waxwire.StatusReply], error) {
	n := p.node
	_, _, epoch := n.keeper.EncodedAssignment()
	reply := &waxwire.StatusReply{
		Instance: n.self.ID(), FailureDomain: n.self.FailureDomain(), Incarnation: n.incarnation,
		Epoch: epoch, ConfigVersion: n.ConfigVersion(), Mode: n.mode(), BackendServers: n.owner.BackendStates(),
	}
	for _, link := range n.table.Links() {
		if link.Healthy() {
			reply.Peers = append(reply.Peers, link.Peer().ID())
		}
	}
	return connect.NewResponse(reply), nil
}

// mode returns the lifecycle state that operators see: draining, attached or
// detached.
func (n *Node) mode() string {
	switch {
	case n.draining.Load():
		return "draining"
	case n.keeper.LeaseValid():
		return "attached"
	default:
		return "detached"
	}
}
