package waxforward

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpool"
)

// maxPeerErrorBytes is the maximum size of an error response of another instance.
const maxPeerErrorBytes = 16 << 10

// PeerHandler returns the handler for requests that other instances send on, because they
// are cut off from the servers of the service. Such a request is not sent on again.
func (f *Forwarder) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, true) })
}

// forwardToPeers sends the request to other instances while this one is cut off from all
// servers of its service. It reports false if none got the request.
func (f *Forwarder) forwardToPeers(ctx context.Context, req *requestState) (handled bool, err error) {
	if !f.sendsToPeers(req) {
		return false, nil
	}
	defer func() { req.peer = "" }()
	var last error
	for _, p := range f.opts.Peers(req.service, xxhash.Sum64String(req.inbound.ID)) {
		req.peer = p.Name
		res, err := f.sendToPeer(ctx, req, p)
		if res == resultComplete {
			f.opts.Log.Info("sent to another instance", "request", req.inbound.ID, "peer", p.Name, "result", res.String())
			return true, nil
		}
		retry := ctx.Err() == nil && (res == resultNotSent || res == resultNotRun || f.mayRetry(req, res))
		f.opts.Log.Warn("sent to another instance", "request", req.inbound.ID, "peer", p.Name, "result", res.String(),
			"error", err.Error(), "again", retry)
		if ctx.Err() != nil {
			return true, f.contextError(ctx, req)
		}
		if !retry {
			return true, err
		}
		if res != resultNotSent {
			last = err
		}
	}
	if last != nil && req.runs > 0 {
		last = waxfleet.WrapError(last, waxfleet.CodeOutcomeUnknown, "an earlier attempt may have run")
	}
	return last != nil, last
}

// sendsToPeers reports whether the request goes to other instances.
func (f *Forwarder) sendsToPeers(req *requestState) bool {
	return !req.fromPeer && f.servers.cutOff(req.service)
}

// sendToPeer sends the request to another instance and relays its response. The error is
// nil only with resultComplete.
func (f *Forwarder) sendToPeer(ctx context.Context, req *requestState, p waxpeer.Peer) (result, error) {
	if err := f.recheckKey(req); err != nil {
		return resultNotSent, err
	}
	// A connection carries one request, so that none is lost with a reused one.
	pool := waxpool.New(f.opts.Clock, f.opts.Protocol, f.servers.budget, p.Address, 1)
	defer pool.Close()
	conn, err := pool.Get(ctx)
	if err != nil {
		return resultNotSent, err
	}
	defer conn.Discard()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(sendCtx, conn.Discard)()
	req.sends++
	req.runs++
	req.sentAt, req.headerAt, req.firstEventAt, req.framed = f.opts.Clock.Now(), 0, 0, false
	req.watch = nil // the other instance watches its server
	resp, err := conn.RoundTrip(f.peerRequest(req))
	if err != nil {
		return resultMayHaveRun, err
	}
	req.headerAt, req.framed = f.opts.Clock.Now(), resp.Framed()
	if !resp.Head.Signed {
		return f.peerError(req, resp)
	}
	return f.relay(sendCtx, req, resp)
}

// peerRequest builds the request for another instance: that of the caller, or the take-up
// of a stream that broke off.
func (f *Forwarder) peerRequest(req *requestState) waxpool.Request {
	in := req.inbound
	in.Timeout = max(req.deadline-f.opts.Clock.Now(), 1)
	if last := req.lastEvent(); last >= 0 {
		in.LastEventID, in.Resumes = last, req.streamID()
	}
	return waxpool.Request{
		ID: in.ID, Method: req.method, Target: req.target, Host: req.host,
		Header: f.opts.Protocol.PeerHeader(in), Body: req.body, HasBody: req.hasBody,
	}
}

// peerError returns the result of a request that another instance has refused, or that
// failed there.
func (f *Forwarder) peerError(req *requestState, resp *waxpool.Response) (result, error) {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerErrorBytes))
	if err != nil {
		return resultMayHaveRun, waxfleet.WrapError(err, waxfleet.CodeBackendDied, "error response of %s ended early", req.peer)
	}
	var body errorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Error.Code == 0 {
		return resultMayHaveRun, waxfleet.NewError(waxfleet.CodeBackendError, "%s responded with status %d", req.peer, resp.Status)
	}
	e := waxfleet.NewError(waxfleet.Code(body.Error.Code), "%s: %s", req.peer, body.Error.Message)
	if !body.Error.NotRun {
		return resultPeerFailure, e.WithoutNotRun()
	}
	req.runs--
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		req.retryAfter = waxfleet.Millis(seconds * 1000)
	}
	if resp.Status != http.StatusServiceUnavailable {
		return resultPeerFailure, e
	}
	return resultNotRun, e
}
