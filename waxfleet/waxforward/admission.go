package waxforward

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxshed"
	"waxwingdrift.org/waxfleet/waxtable"
)

// Admission decides which requests are rejected before they are sent, because the servers
// that they may use can't serve them in time.
type Admission interface {
	// Admit decides on a request and records it. It does not block.
	Admit(waxshed.Request, waxshed.Estimate) waxshed.Decision
	// Observe records the time to the first event that was predicted for an admitted request
	// of the service, and the time that it took.
	Observe(service string, predicted, took waxfleet.Millis)
}

// admitted reports whether the request may take its place at the selected server, and
// records the decision. It is called before the place is taken, with req.prediction set.
// Only the first send is decided on: a request that another server may have run is not
// rejected as not run.
func (f *Forwarder) admitted(req *requestState, choice waxpick.Choice) bool {
	if f.opts.Admission == nil || !req.prediction.known || req.decided || req.sends > 0 {
		return true
	}
	req.decided = true
	req.decision = f.opts.Admission.Admit(f.admissionRequest(req, choice), waxshed.Estimate{
		FirstEvent: req.prediction.firstEvent, OwnPrompt: req.prediction.ownPrompt,
		FreeSlot: req.prediction.freeSlot, Stale: req.prediction.stale, Known: req.prediction.known,
	})
	return req.decision.Admitted
}

// admissionRequest returns what the decision on a request depends on.
func (f *Forwarder) admissionRequest(req *requestState, choice waxpick.Choice) waxshed.Request {
	return waxshed.Request{
		ID: req.inbound.ID, Service: req.service, Route: req.route.Name(), Workspace: req.workspace.Name,
		Priority: waxtable.Priority(req.route, req.workspace), Objective: req.route.LatencyObjective(),
		Remaining: max(req.deadline-f.opts.Clock.Now(), 0), Cost: admissionCost(req, choice),
	}
}

// admissionCost returns the expected work of a request at the chosen server, in milliseconds
// at the usual pace. An engine reads one prompt at a time, and generates one token for each of
// its slots at once.
func admissionCost(req *requestState, choice waxpick.Choice) float64 {
	o, ok := req.outlooks[choice.ID]
	switch {
	case !ok:
		return float64(max(req.prediction.ownPrompt, 1))
	case o.plain:
		return max(o.ownWork, 1)
	}
	return max(o.speed.Read(o.ownTokens, 1)+req.flight.expected*o.speed.MillisPerEvent/float64(max(o.slots, 1)), 1)
}

// rejected reports whether the request was rejected before its first send.
func (req *requestState) rejected() bool { return req.decided && !req.decision.Admitted }

// observePrediction records how long the first event of a request took that was answered after
// its first send, unless it was served before others.
func (f *Forwarder) observePrediction(req *requestState) {
	predicted, took := req.predictedTime(), req.firstTime()
	if req.decided && !req.decision.Ahead && req.sends == 1 && predicted >= 0 && took >= 0 {
		f.opts.Admission.Observe(req.service, predicted, took)
	}
}

// rejectionError logs the rejection of a request, and returns its error.
func (f *Forwarder) rejectionError(req *requestState) error {
	d := req.decision
	req.retryAfter = max(d.RetryAfter, 1)
	_, age := f.opts.Loads.ReportStats()
	f.opts.Log.Warn("rejected before the first send", "request", req.inbound.ID, "cause", string(d.Reason),
		"route", req.route.Name(), "service", req.service, "workspace", req.workspace.Name,
		"priority", waxtable.Priority(req.route, req.workspace), "predicted-ms", int64(req.prediction.firstEvent),
		"own-ms", int64(req.prediction.ownPrompt), "left-ms", int64(req.deadline-f.opts.Clock.Now()),
		"objective-ms", int64(req.route.LatencyObjective()), "usage", roundToThousandth(d.Usage), "share", roundToThousandth(d.Share),
		"more-urgent", d.Competing, "retry-after-ms", int64(req.retryAfter), "peer-age-ms", int64(age))
	return waxfleet.NewError(waxfleet.CodeLoadShed, "rejected before it was sent: %s", rejectionMessage(d.Reason))
}

// rejectionMessage returns the text for callers. It names no figures of other workspaces.
func rejectionMessage(reason waxshed.Reason) string {
	switch reason {
	case waxshed.ReasonDeadline:
		return "the response would begin after the deadline"
	case waxshed.ReasonOwnPrompt:
		return "the time left is shorter than the request itself takes"
	case waxshed.ReasonPriority:
		return "capacity is short and more urgent requests wait"
	}
	return "capacity is short and the workspace has used more than its share"
}

func roundToThousandth(x float64) float64 { return float64(int(x*1000)) / 1000 }
