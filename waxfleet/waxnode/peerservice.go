package waxnode

import (
	"context"

	"connectrpc.com/connect"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxobject"
	"waxwingdrift.org/waxfleet/waxwire"
)

// peerService answers other instances and the operators' command.
type peerService struct {
	node *Node
}

// Serve runs one request as admitting instance. Drain waits for its end: after
// the backend server is done, the result is still stored and passed on.
func (p *peerService) Serve(ctx context.Context, req *connect.Request[waxwire.ServeRequest], stream *connect.ServerStream[waxwire.ServeReply]) error {
	p.node.active.Add(1)
	defer p.node.active.Add(-1)
	return p.node.owner.Serve(ctx, req.Msg, stream)
}

// Exchange swaps digests.
func (p *peerService) Exchange(ctx context.Context, req *connect.Request[waxwire.Digest]) (*connect.Response[waxwire.Digest], error) {
	countControl(ctx)
	return connect.NewResponse(p.node.table.Answer(req.Msg)), nil
}

// Loads takes the loads of a peer as they change.
func (p *peerService) Loads(ctx context.Context, stream *connect.ClientStream[waxwire.OwnedLoads]) (*connect.Response[waxwire.LoadsEnd], error) {
	countControl(ctx)
	if err := p.node.table.Receive(stream); err != nil {
		return nil, err
	}
	return connect.NewResponse(&waxwire.LoadsEnd{}), nil
}

// FetchConfig returns the configuration in force, or an empty copy when the
// caller has it.
func (p *peerService) FetchConfig(ctx context.Context, req *connect.Request[waxwire.FetchConfigRequest]) (*connect.Response[waxwire.ConfigCopy], error) {
	countControl(ctx)
	c := p.node.config.Copy()
	if c.Version() <= req.Msg.GetHaveVersion() {
		return connect.NewResponse(&waxwire.ConfigCopy{Version: c.Version()}), nil
	}
	return connect.NewResponse(&waxwire.ConfigCopy{Version: c.Version(), Head: c.Head(), Sections: c.Sections()}), nil
}

// SpreadSuspect records a suspect and passes it on inside this failure domain.
func (p *peerService) SpreadSuspect(ctx context.Context, req *connect.Request[waxwire.Suspect]) (*connect.Response[waxwire.SpreadReply], error) {
	countControl(ctx)
	s := req.Msg
	changed := p.node.suspects.Merge(s.GetDigest(), int(s.GetDeaths()), int(s.GetCleared()), waxfleet.Millis(s.GetRemainingMs()))
	if changed && s.GetRelay() {
		p.node.send(ctx, s, false)
	}
	return connect.NewResponse(&waxwire.SpreadReply{}), nil
}

// RelayObject performs an object call for an instance that is cut off from the
// platform. It never goes through another relay.
func (p *peerService) RelayObject(ctx context.Context, req *connect.Request[waxwire.ObjectCall]) (*connect.Response[waxwire.ObjectResult], error) {
	countControl(ctx)
	return connect.NewResponse(waxobject.ServeRelay(ctx, p.node.platform, req.Msg)), nil
}

// Explain returns the decisions that this instance took for a request.
func (p *peerService) Explain(_ context.Context, req *connect.Request[waxwire.ExplainRequest]) (*connect.Response[waxwire.ExplainReply], error) {
	reply := &waxwire.ExplainReply{}
	for _, d := range p.node.recorder.Decisions(req.Msg.GetRequestId()) {
		reply.Decisions = append(reply.Decisions, &waxwire.Decision{AtMs: int64(d.At), Instance: d.Instance, Step: d.Step, Detail: d.Detail})
	}
	return connect.NewResponse(reply), nil
}

// Status returns this instance's view.
func (p *peerService) Status(_ context.Context, _ *connect.Request[waxwire.StatusRequest]) (*connect.Response[waxwire.StatusReply], error) {
	n := p.node
	_, _, epoch := n.keeper.Stored()
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

// mode names the state of the instance for operators.
func (n *Node) mode() string {
	switch {
	case n.draining.Load():
		return "draining"
	case n.keeper.Attached():
		return "attached"
	default:
		return "detached"
	}
}
