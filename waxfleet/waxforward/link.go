package waxforward

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

// maxLinkTargets is the number of servers to which a check of the link opens connections.
const maxLinkTargets = 3

// CheckLink checks whether this instance is cut off from all backend servers, if that is
// due. It is called periodically.
func (f *Forwarder) CheckLink(ctx context.Context) {
	targets := f.servers.startLinkCheck()
	if targets == nil {
		return
	}
	reachable := f.connects(ctx, targets)
	if !f.servers.endLinkCheck(reachable) {
		return
	}
	reaching, cutOff := f.opts.Loads.ServerLinks()
	f.opts.Log.Warn("reachability of backend servers changed", "reachable", reachable, "tried", len(targets),
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

// CutOff reports whether this instance is cut off from all backend servers.
func (s *Servers) CutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.CutOff()
}

// startLinkCheck returns servers to connect to, if a check of the link is due.
func (s *Servers) startLinkCheck() []*serverState {
	s.mu.Lock()
	due := len(s.servers) > 0 && s.link.StartCheck(s.clock.Now())
	s.mu.Unlock()
	if !due {
		return nil
	}
	return s.linkTargets(nil)
}

// linkTargets returns servers whose connections show whether this instance reaches any, but
// for one: those that are not known to be down first, in different failure domains.
func (s *Servers) linkTargets(except *serverState) []*serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.linkChecks++
	states := make([]*serverState, 0, len(s.servers))
	for _, state := range s.servers {
		if state != except {
			states = append(states, state)
		}
	}
	slices.SortFunc(states, func(a, b *serverState) int {
		return cmp.Or(compareBool(a.health.Down(now), b.health.Down(now)),
			cmp.Compare(a.incarnationHash*s.linkChecks, b.incarnationHash*s.linkChecks))
	})
	seen := map[string]int{}
	order := make(map[*serverState]int, len(states))
	for _, state := range states {
		domain := state.entry.Server().FailureDomain()
		order[state] = seen[domain]
		seen[domain]++
	}
	slices.SortStableFunc(states, func(a, b *serverState) int { return cmp.Compare(order[a], order[b]) })
	return states[:min(maxLinkTargets, len(states))]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// endLinkCheck records the result of a check. It reports whether the instance is now cut
// off and was not, or the reverse.
func (s *Servers) endLinkCheck(reachable bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.link.EndCheck(s.clock.Now(), reachable)
	if !changed {
		return false
	}
	for _, state := range s.servers {
		if reachable {
			state.health.RecordReachable()
			continue
		}
		// Requests on idle connections would hang, also for a while after the cut.
		state.pool.CloseIdle()
	}
	return true
}
