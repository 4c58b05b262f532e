package waxforward

import (
	"sync/atomic"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcost"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxpick"
	"waxwingdrift.org/waxfleet/waxpool"
	"waxwingdrift.org/waxfleet/waxserverload"
)

const (
	// paceCheckInterval is the interval between two checks whether a service states a pace.
	paceCheckInterval waxfleet.Millis = 250
	// workInterval is the time for which the work left at a server is not computed again
	// unless a request ends.
	workInterval waxfleet.Millis = 20
)

// flight is a request in flight at a server of a service that states a pace.
type flight struct {
	subject waxcost.Subject
	// expected is the cost of the whole request, and maximum the highest one that the request
	// names, or 0: output tokens, or ms of service time at the usual pace if plain is set.
	expected, maximum float64
	hint              int
	plain             bool
	// received is the number of events that earlier servers have brought, and events the
	// number of those of this server.
	received  float64
	events    atomic.Int64
	startedAt waxfleet.Millis
	// tokens is the number of prompt tokens that the server reads until the first event, and
	// immediate is true if the request should not have to wait for a slot.
	tokens    float64
	immediate bool
	// status is the status of the response, and lastEventAt the time of its last event.
	status      int
	lastEventAt waxfleet.Millis
	// pace and workLeft are those of the server when it was chosen.
	pace, workLeft float64
	// predicted is the predicted time to the first event at this server; -1 if not known.
	predicted waxfleet.Millis
}

// used returns what the request has used up of its cost.
func (fl *flight) used(now waxfleet.Millis, pace float64) float64 {
	if fl.plain {
		return float64(now-fl.startedAt) / pace
	}
	return fl.received + float64(fl.events.Load())
}

// costState is what an instance knows of the load of servers and of the cost of requests.
type costState struct {
	loads  *waxserverload.Loads
	costs  *waxcost.Estimator
	speeds *waxcost.Speeds
}

func newCostState(clock *waxfleet.Clock) costState {
	return costState{loads: waxserverload.New(clock), costs: waxcost.NewEstimator(), speeds: waxcost.NewSpeeds()}
}

// Loads returns what backend servers say of their load.
func (s *Servers) Loads() *waxserverload.Loads { return s.cost.loads }

// PaceSummary summarizes the paces of the servers in use that state one.
type PaceSummary struct {
	Servers          int
	Min, Mean, Max   float64
	MalformedReports int
}

// PaceSummary returns the summary of the paces.
func (s *Servers) PaceSummary() PaceSummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := PaceSummary{MalformedReports: s.cost.loads.Malformed()}
	for _, state := range s.servers {
		if v := s.services[state.entry.Server().Service()]; v == nil || !v.statesPace {
			continue
		}
		pace := s.cost.loads.Pace(state.incarnationHash)
		if out.Servers == 0 || pace < out.Min {
			out.Min = pace
		}
		out.Max = max(out.Max, pace)
		out.Mean += pace
		out.Servers++
	}
	if out.Servers > 0 {
		out.Mean /= float64(out.Servers)
	}
	return out
}

// statesPace reports whether servers of a service state a pace. The caller holds the lock.
func (s *Servers) statesPace(name string, svc *serviceState, known map[string]*serverState, now waxfleet.Millis) bool {
	if svc.paceCheckedAt > 0 && now-svc.paceCheckedAt < paceCheckInterval {
		return svc.statesPace
	}
	hashes := make([]uint32, 0, len(known))
	for _, state := range known {
		hashes = append(hashes, state.incarnationHash)
	}
	svc.paceCheckedAt, svc.statesPace = now, s.cost.loads.StatesPace(name, hashes)
	return svc.statesPace
}

// workLeft returns the work that the requests of this instance leave at a server, and their
// number. The caller holds the lock of the Servers.
func (s *Servers) workLeft(state *serverState, now waxfleet.Millis) (work float64, requests int) {
	if now-state.workAt >= workInterval {
		pace := s.cost.loads.Pace(state.incarnationHash)
		state.work = 0
		for fl := range state.flights {
			state.work += max(s.cost.costs.Remaining(fl.subject, fl.expected, fl.used(now, pace), fl.maximum), 1)
		}
		state.workAt = now
	}
	return state.work, len(state.flights)
}

// plainService reports whether the choice for the request is that of a plain service.
func (req *requestState) plainService(spec waxfleet.ServiceSpec) bool {
	return spec.KVCacheTokens <= 0 && req.promptKey.Empty()
}

// newFlight returns the flight of the request, which is not counted yet.
func (s *Servers) newFlight(req *requestState, spec waxfleet.ServiceSpec, now waxfleet.Millis) *flight {
	fl := &flight{
		subject: waxcost.Subject{Service: req.service, Route: req.route.Name(), Workspace: req.workspace.Name},
		plain:   req.plainService(spec), startedAt: now, predicted: -1,
	}
	if !fl.plain {
		fl.maximum, fl.hint = float64(req.inbound.MaxTokens), req.inbound.LengthHint
		fl.received = float64(max(req.inbound.LastEventID, req.lastEvent(), 0))
	}
	fl.expected = s.cost.costs.Estimate(fl.subject, fl.hint, fl.maximum).Mean
	return fl
}

// applyCosts sets pace and work left of the candidates, and the prediction of the request, if
// the servers of the service state a pace. The caller holds the lock of the Servers.
func (f *Forwarder) applyCosts(req *requestState, sel *selection) {
	now, candidates := sel.now, sel.candidates
	req.prediction, req.flight, req.outlooks = prediction{}, nil, nil
	s := f.servers
	if !s.statesPace(req.service, sel.svc, sel.known, now) {
		return
	}
	req.flight = s.newFlight(req, sel.spec, now)
	mean := s.cost.costs.Estimate(waxcost.Subject{Service: req.service}, 0, req.flight.maximum).Mean
	stale := f.countsStale()
	decisive := f.predictionDecides(req, stale, now)
	req.outlooks = make(map[string]outlook, len(candidates))
	bestDegraded := true
	for i := range candidates {
		c := &candidates[i]
		state := sel.stateByID(c.ID)
		if state == nil {
			continue
		}
		others := sel.counts[waxpeer.ServerHash(c.ID)]
		own, ownKnown := s.workLeft(state, now)
		// Requests whose cost is not known are taken to be half done.
		untold := max(others.InFlight-others.WorkTold, 0) + max(state.inFlight-ownKnown, 0)
		c.WorkLeft = own + float64(others.ExpectedOutput) + float64(untold)*mean/2
		c.WorkLeft = max(c.WorkLeft, req.flight.queuedWork(c, mean))
		c.Pace = s.cost.loads.Pace(state.incarnationHash)
		if c.Closed || c.Down || req.triedServers[c.ID] {
			continue
		}
		o, ok := s.outlook(req, c, state, mean)
		if !ok {
			continue
		}
		req.outlooks[c.ID] = o
		first, ownPrompt := o.times()
		c.Late = o.plain && decisive && now+first > req.deadline
		if c.OverLimit || c.Cold && !c.WithinColdRate {
			continue
		}
		p := &req.prediction
		if !p.known || bestDegraded && !c.Degraded || bestDegraded == c.Degraded && first < p.firstEvent {
			p.firstEvent, p.ownPrompt, bestDegraded = first, ownPrompt, c.Degraded
		}
		p.known, p.stale = true, stale
		p.freeSlot = p.freeSlot || o.free
	}
}

// predictionDecides reports whether a plain server counts as full because of the prediction.
// The first send is left to the admission, which knows the error of predictions.
func (f *Forwarder) predictionDecides(req *requestState, stale bool, now waxfleet.Millis) bool {
	return !stale && now-f.startedAt >= startPeriod && (f.opts.Admission == nil || req.sends > 0)
}

// queuedWork returns the work that the calls at a plain server leave at least; 0 for engines.
// A call that waits for a slot has used up nothing, however long it has been there.
func (fl *flight) queuedWork(c *waxpick.Candidate, mean float64) float64 {
	if !fl.plain || c.Slots <= 0 {
		return 0
	}
	return (float64(c.Load) - float64(c.Slots)/2) * mean
}

// outlook returns what the time of a response at a server depends on; ok is false until that
// is learned. The caller holds the lock.
func (s *Servers) outlook(req *requestState, c *waxpick.Candidate, state *serverState, mean float64) (o outlook, ok bool) {
	o = outlook{
		slots: c.Slots, load: c.Load, free: c.Slots <= 0 || c.Load < c.Slots,
		pace: c.Pace, workLeft: c.WorkLeft, meanWork: mean, plain: req.flight.plain,
	}
	if said, ok := s.cost.loads.Latest(state.incarnationHash); ok && said.Ago() <= statementAge && c.Slots > 0 {
		o.free = said.Waiting() == 0 && said.Running() < c.Slots
	}
	if o.plain {
		o.ownWork = req.flight.expected
		return o, s.cost.costs.Learned(req.service)
	}
	o.speed, ok = s.cost.speeds.Speed(req.service, state.incarnationHash)
	o.pendingTokens = float64(c.PendingTokens)
	o.ownTokens = float64(max(0, req.inbound.PromptTokens-c.CachedTokens))
	return o, ok
}

// startFlight counts the flight of the request at the chosen server. The caller holds the
// lock.
func (s *Servers) startFlight(req *requestState, choice waxpick.Choice, state *serverState) {
	fl := req.flight
	if fl == nil {
		return
	}
	if o, ok := req.outlooks[choice.ID]; ok {
		fl.predicted, _ = o.times()
		fl.pace, fl.workLeft = o.pace, o.workLeft
	}
	fl.immediate = state.entry.Slots() <= 0 || choice.Load < state.entry.Slots()
	if state.flights == nil {
		state.flights = map[*flight]struct{}{}
	}
	state.flights[fl] = struct{}{}
	state.work += max(fl.expected-fl.received, 1)
}

// observeLoad records what a server says of its load.
func (f *Forwarder) observeLoad(req *requestState, state *serverState, said waxfleet.ServerLoadStatement) {
	if f.servers.cost.loads.Record(req.service, state.incarnationHash, said) {
		f.opts.Log.Warn("malformed load statement ignored",
			"request", req.inbound.ID, "service", req.service, "server", req.entry.Server().ID())
	}
}

// recordLoad records what the server says of its load, and the status of the response.
func (f *Forwarder) recordLoad(req *requestState, state *serverState, resp *waxpool.Response) {
	f.observeLoad(req, state, resp.Head.Load)
	if said := resp.Head.Load; said.Valid && req.meanLoad >= 0 {
		f.servers.mu.Lock()
		f.servers.serviceState(req.service).counts.RecordStated(f.opts.Clock.Now(), said.Running+said.Waiting, req.meanLoad)
		f.servers.mu.Unlock()
	}
	if req.flight == nil && resp.Head.Load.HasPace {
		// The service states a pace for the first time: the next request checks it at once.
		f.servers.mu.Lock()
		f.servers.serviceState(req.service).paceCheckedAt = 0
		f.servers.mu.Unlock()
	}
	if fl := req.flight; fl != nil {
		fl.status = resp.Status
		if said := resp.Head.Load; said.Valid && said.Waiting > 0 {
			fl.immediate = false
		}
	}
}

// recordEvent records an event of a stream for the cost of its request.
func (f *Forwarder) recordEvent(req *requestState, now waxfleet.Millis) {
	fl := req.flight
	if fl == nil {
		return
	}
	fl.lastEventAt = now
	if fl.events.Add(1) > 1 || !fl.immediate || fl.plain || req.cacheSource != "" {
		return
	}
	s := f.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	pace := s.cost.loads.Pace(req.state.incarnationHash)
	s.cost.speeds.RecordFirstEvent(now, req.service, req.state.incarnationHash, fl.tokens, float64(now-req.sentAt), pace)
}

// endFlight ends the flight of the last send, and records the cost of the request if its
// response is complete.
func (f *Forwarder) endFlight(req *requestState, state *serverState, res result) {
	fl := req.flight
	if fl == nil {
		return
	}
	s := f.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(state.flights, fl)
	state.workAt = 0
	if res != resultComplete || fl.status < 200 || fl.status >= 300 {
		return
	}
	now, pace := s.clock.Now(), s.cost.loads.Pace(state.incarnationHash)
	switch {
	case fl.plain && fl.immediate:
		end := req.headerAt
		if req.route.Kind() == waxfleet.KindStream {
			end = now
		}
		s.cost.costs.Record(now, fl.subject, float64(end-req.sentAt)/pace, 0)
	case !fl.plain && fl.events.Load() > 0:
		s.cost.costs.Record(now, fl.subject, fl.received+float64(fl.events.Load()), fl.hint)
		s.cost.speeds.RecordEvents(now, req.service, state.incarnationHash, int(fl.events.Load()), float64(fl.lastEventAt-req.firstEventAt), pace)
	}
}

// predictedTime returns the predicted time of the last send; -1 if not known.
func (req *requestState) predictedTime() waxfleet.Millis {
	if req.flight == nil {
		return -1
	}
	return req.flight.predicted
}

// firstTime returns the time from sending the last send to the first event, or to the response
// of a plain service; -1 if there was none.
func (req *requestState) firstTime() waxfleet.Millis {
	end := req.firstEventAt
	if req.flight != nil && req.flight.plain {
		end = req.headerAt
	}
	if end == 0 {
		return -1
	}
	return end - req.sentAt
}

// costAttrs returns the fields of the line of a placed request that its cost adds.
func (req *requestState) costAttrs() []any {
	fl := req.flight
	if fl == nil {
		return nil
	}
	return []any{
		"pace", roundToTenth(fl.pace), "work-left", int64(fl.workLeft), "expected-output", int64(fl.expected),
		"predicted-ms", int64(fl.predicted), "best-ms", int64(req.prediction.firstEvent), "prediction-known", req.prediction.known,
		"free-slot", req.prediction.freeSlot, "stale", req.prediction.stale,
	}
}
