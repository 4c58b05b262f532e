package waxforward

import (
	"cmp"
	"errors"
	"net/http"
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxdirectory"
	"waxwingdrift.org/waxfleet/waxorigin"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxtable"
)

// Reasons for which a server is excluded from a Placement.
const (
	excludedVersion   = "other-software-version"
	excludedLeaving   = "leaving"
	excludedEvacuated = "evacuated"
	excludedDown      = "down"
	excludedColdRate  = "cold-rate-used-up"
	excludedLimit     = "limit-used-up"
	excludedFull      = "full"
)

// Placement says where a request would go, and why.
type Placement struct {
	ConfigVersion uint64
	Route         string
	Service       string
	Workspace     string
	// Priority is that of the request; 0 is the highest, and -1 stands for none.
	Priority int
	// Timeout is the time that the request has from its arrival.
	Timeout waxfleet.Millis
	// Err is the error with which the request would be rejected, Status the status of the
	// response and RetryAfter the delay in it, or 0. Err is nil if the request would be sent.
	Err        error
	Status     int
	RetryAfter waxfleet.Millis
	// SoftwareVersion is the version at which the request goes on; it counts if Pinned is set.
	SoftwareVersion            string
	Pinned                     bool
	SharedTokens, PromptTokens int
	// MeanLoad and LoadLimit are those of the Choice.
	MeanLoad  float64
	LoadLimit int
	// Predicted is the predicted time to the first event at the best server; -1 if not known.
	Predicted waxfleet.Millis
	// Eligible holds the servers in the order in which the request would try them.
	Eligible, Excluded []PlacedServer
}

// PlacedServer is a server with what the choice depends on.
type PlacedServer struct {
	Entry waxfleet.BackendServerEntry
	// Reason says why the server would be chosen, or why it is excluded.
	Reason    string
	Candidate waxpick.Candidate
	// Predicted is the predicted time to the first event at the server; -1 if not known.
	Predicted waxfleet.Millis
}

// Place decides on a request like ServeHTTP, without its body, and sends nothing. It takes no
// token, share or slot, makes no trial of a ban, and asks no other instance or store for the
// origin of a stream. Requests that another instance would have to send, because this one is
// cut off from the servers, are placed as if it were not.
func (f *Forwarder) Place(r *http.Request) Placement {
	req := &requestState{
		inbound:      f.opts.Protocol.DecodeRequest(r),
		arrivedAt:    f.opts.Clock.Now(),
		method:       r.Method,
		target:       r.RequestURI,
		host:         r.Host,
		triedServers: map[string]bool{},
		response:     &responseWriter{lastEventID: -1},
	}
	out := Placement{Priority: -1, Predicted: -1}
	err := f.match(req)
	out.Route, out.Service, out.Workspace = req.route.Name(), req.service, req.workspace.Name
	if req.table != nil {
		out.ConfigVersion = req.table.Version()
	}
	if err == nil {
		out.Priority, out.Timeout = waxtable.Priority(req.route, req.workspace), req.deadline-req.arrivedAt
		out.SharedTokens, out.PromptTokens = req.promptKey.SharedTokens(), req.inbound.PromptTokens
		req.setTraits()
		err = req.checkSize()
	}
	if err == nil {
		err = req.banError(f.opts.Crashes.Peek(req.traits))
	}
	if err == nil {
		err = f.pinKnownVersion(req)
		out.SoftwareVersion, out.Pinned = req.version, req.pinned
	}
	if err == nil {
		err = f.placeAtServer(req, &out)
	}
	if err != nil {
		var e *waxfleet.Error
		if !errors.As(err, &e) {
			e = waxfleet.WrapError(err, waxfleet.CodeInternal, "internal error")
		}
		out.Err, out.Status = e, httpStatus(e)
		if out.Status == http.StatusServiceUnavailable {
			out.RetryAfter = retryAfterDelay(req, e.Code())
		}
	}
	return out
}

// pinKnownVersion is pinVersion with what this instance knows itself.
func (f *Forwarder) pinKnownVersion(req *requestState) error {
	if req.route.Kind() != waxfleet.KindStream || req.inbound.LastEventID < 0 {
		return nil
	}
	if o, known := f.opts.Origins.Origin(waxorigin.StreamHash(req.streamID())); known {
		return req.pinOrigin(o)
	}
	if version, only := f.onlyVersion(req); only {
		req.pin(version)
		return nil
	}
	return waxfleet.NewError(waxfleet.CodeOriginUnknown, "software version that began the stream is unknown to this instance; others and the store were not asked")
}

// placeAtServer runs the choice of a server on copies of what is known of the servers.
func (f *Forwarder) placeAtServer(req *requestState, out *Placement) error {
	sel, choice := f.decideOnCopies(req)
	out.MeanLoad, out.LoadLimit = choice.MeanLoad, choice.LoadLimit
	if req.prediction.known {
		out.Predicted = req.prediction.firstEvent
	}
	servers := make(map[string]waxdirectory.Server, len(sel.servers))
	for _, s := range sel.servers {
		servers[s.ID()] = s
	}
	candidates := make(map[string]waxpick.Candidate, len(sel.candidates))
	for _, c := range sel.candidates {
		candidates[c.ID] = c
	}
	placed := func(id, reason string) PlacedServer {
		p := PlacedServer{Entry: servers[id].Entry(), Reason: reason, Candidate: candidates[id], Predicted: -1}
		if o, ok := req.outlooks[id]; ok {
			p.Predicted, _ = o.times()
		}
		return p
	}
	chosen := map[string]bool{}
	for next := choice; next.Found(); next = f.pick(req, sel, chosen) {
		chosen[next.ID] = true
		out.Eligible = append(out.Eligible, placed(next.ID, string(next.Reason)))
	}
	for _, c := range sel.candidates {
		if !chosen[c.ID] {
			out.Excluded = append(out.Excluded, placed(c.ID, f.exclusion(servers[c.ID], c)))
		}
	}
	slices.SortFunc(out.Excluded, func(a, b PlacedServer) int {
		return cmp.Compare(a.Candidate.ID, b.Candidate.ID)
	})
	if choice.Found() {
		return nil
	}
	if choice.Reason == waxpick.ReasonColdRate {
		req.retryAfter = rateRetryAfter(req.rateDelay)
	}
	return f.noServerError(req, string(choice.Reason), nil)
}

// decideOnCopies chooses a server like selectServer, on copies of what is known of the servers.
func (f *Forwarder) decideOnCopies(req *requestState) (*selection, waxpick.Choice) {
	spec, _ := req.table.Service(req.service)
	now := f.opts.Clock.Now()
	sel := &selection{
		spec: spec, instances: f.opts.Instances(), now: now, servers: f.opts.Directory.Servers(req.service), svc: &serviceState{},
		counts: f.opts.Loads.Counts(), cached: f.opts.CacheIndex.PeekCachedTokens(req.promptKey),
	}
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	if svc := f.servers.services[req.service]; svc != nil {
		*sel.svc = *svc
	}
	states := make(map[string]*serverState, len(sel.servers))
	sel.state = func(s waxdirectory.Server) *serverState {
		states[s.ID()] = f.servers.copyState(s.Entry())
		return states[s.ID()]
	}
	sel.stateByID = func(id string) *serverState { return states[id] }
	sel.unreachable = func(domain string) bool {
		d := f.servers.domains[domain]
		return domain != f.opts.FailureDomain && d != nil && d.health.Suspected(now, func() bool { return f.opts.InstancesUnreachable(domain) })
	}
	return sel, f.decide(req, sel)
}

// exclusion returns why a server is not eligible.
func (f *Forwarder) exclusion(s waxdirectory.Server, c waxpick.Candidate) string {
	switch {
	case c.Closed && s.AcceptsWork():
		return excludedVersion
	case c.Closed && s.Entry().Server().State() == waxfleet.StateLive && f.opts.Directory.Evacuated(s.Entry().Server().FailureDomain()):
		return excludedEvacuated
	case c.Closed:
		return excludedLeaving
	case c.Down:
		return excludedDown
	case c.OverLimit:
		return excludedLimit
	case c.Cold && !c.WithinColdRate:
		return excludedColdRate
	}
	return excludedFull
}
