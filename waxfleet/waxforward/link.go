package waxforward

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxpeer"
)

// maxLinkTargets is the number of servers to which a check of the link opens connections.
const maxLinkTargets = 3

// CheckLinks checks for each service whether this instance is cut off from all of its
// servers, if that is due. It is called periodically.
func (f *Forwarder) CheckLinks(ctx context.Context) {
	var wg sync.WaitGroup
	for _, service := range f.servers.startLinkChecks() {
		wg.Go(func() { f.checkLink(ctx, service) })
	}
	wg.Wait()
}

// checkLink checks whether this instance is cut off from all servers of a service.
func (f *Forwarder) checkLink(ctx context.Context, service string) {
	targets := f.linkTargets(service, nil)
	reachable := len(targets) == 0 || f.connects(ctx, targets)
	if !f.servers.endLinkCheck(service, reachable) {
		return
	}
	reaching, cutOff := f.opts.Loads.ServiceLinks(waxpeer.NameHash(service))
	f.opts.Log.Warn("reachability of backend servers changed", "service", service, "reachable", reachable, "tried", len(targets),
		"instances-reaching", reaching, "instances-cut-off", cutOff)
}

// connects opens new connections to servers, and reports whether any of them may be
// reachable.
func (f *Forwarder) connects(ctx context.Context, targets []*serverState) bool {
	var wg sync.WaitGroup
	errs := make([]error, len(targets))
	for i, state := range targets {
		wg.Go(func() { errs[i] = state.pool.Probe(ctx) })
	}
	wg.Wait()
	return slices.ContainsFunc(errs, func(err error) bool { return waxfleet.CodeOf(err) != waxfleet.CodePeerUnreachable })
}

// reachProbe is a connection attempt that shows whether a server is there.
type reachProbe struct {
	startedAt waxfleet.Millis
	// done is closed at the end; reachable is set then.
	done      chan struct{}
	reachable bool
}

// reachProbeTTL is the time for which the result of a reachProbe holds. Many streams at a server
// fall silent together.
const reachProbeTTL waxfleet.Millis = 200

// reachable opens a connection to a server, unless that was done just now, and reports whether
// the server may be there. A server that is only silent is: its machine accepts connections.
func (f *Forwarder) reachable(ctx context.Context, state *serverState) bool {
	f.servers.mu.Lock()
	p, now := state.probe, f.opts.Clock.Now()
	first := p == nil || now-p.startedAt >= reachProbeTTL
	if first {
		p = &reachProbe{startedAt: now, done: make(chan struct{})}
		state.probe = p
	}
	f.servers.mu.Unlock()
	if first {
		err := state.pool.Probe(context.WithoutCancel(ctx))
		if p.reachable = waxfleet.CodeOf(err) != waxfleet.CodePeerUnreachable; !p.reachable {
			f.servers.recordUnreachable(state, isTimeout(err))
		}
		close(p.done)
	}
	select {
	case <-p.done:
		return p.reachable
	case <-ctx.Done():
		return true
	}
}

// recordUnreachable records that a server that is silent accepts no connections either.
func (s *Servers) recordUnreachable(state *serverState, timedOut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, now := state.entry.Server(), s.clock.Now()
	if timedOut {
		s.domainState(server.FailureDomain()).health.RecordTimeout(now, server.ID())
	}
	s.serviceState(server.Service()).link.RecordConnection(server.ID(), false)
	state.health.RecordUnreachable(now)
}

// UnreachableServices returns the hashes of the services from all of whose servers this
// instance is cut off.
func (s *Servers) UnreachableServices() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []uint64
	for name, svc := range s.services {
		if svc.link.CutOff() {
			out = append(out, waxpeer.NameHash(name))
		}
	}
	return out
}

// cutOff reports whether this instance is cut off from all servers of a service.
func (s *Servers) cutOff(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.services[service]
	return svc != nil && svc.link.CutOff()
}

// startLinkChecks returns the services for which a check of the link is due.
func (s *Servers) startLinkChecks() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var due []string
	for name, svc := range s.services {
		if svc.link.StartCheck(now) {
			due = append(due, name)
		}
	}
	return due
}

// linkTargets returns servers of a service that may get requests, whose connections show
// whether this instance reaches any, but for one: those that are not known to be down first,
// in different failure domains.
func (f *Forwarder) linkTargets(service string, except *serverState) []*serverState {
	s := f.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.linkChecks++
	type target struct {
		state *serverState
		// order is the position in the failure domain.
		order int
		// down is 1 for a server that is known to be down.
		down int
		tie  uint32
	}
	var targets []target
	for id, state := range s.servers {
		if state == except || state.entry.Server().Service() != service || !f.opts.Directory.AcceptsWork(id, state.entry.StartUnixMilli()) {
			continue
		}
		// An odd factor gives each check another order.
		t := target{state: state, tie: state.incarnationHash * (2*s.linkChecks + 1)}
		if state.health.Down(now) {
			t.down = 1
		}
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b target) int { return cmp.Or(cmp.Compare(a.down, b.down), cmp.Compare(a.tie, b.tie)) })
	seen := map[string]int{}
	for i, t := range targets {
		domain := t.state.entry.Server().FailureDomain()
		targets[i].order = seen[domain]
		seen[domain]++
	}
	slices.SortStableFunc(targets, func(a, b target) int { return cmp.Compare(a.order, b.order) })
	var out []*serverState
	for _, t := range targets[:min(maxLinkTargets, len(targets))] {
		out = append(out, t.state)
	}
	return out
}

// endLinkCheck records the result of a check. It reports whether the instance is now cut
// off and was not, or the reverse.
func (s *Servers) endLinkCheck(service string, reachable bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serviceState(service).link.EndCheck(s.clock.Now(), reachable) {
		return false
	}
	for _, state := range s.servers {
		switch {
		case state.entry.Server().Service() != service:
		case reachable:
			state.health.RecordReachable()
		default:
			// Requests on idle connections would hang, also for a while after the cut.
			state.pool.CloseIdle()
		}
	}
	return true
}
