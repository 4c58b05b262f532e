package waxforward

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

// linkTargets is the number of servers to which a check of the link opens connections.
const linkTargets = 3

// CheckLink checks whether this instance is cut off from all backend servers, if that is
// due. It is called periodically.
func (f *Forwarder) CheckLink(ctx context.Context) {
	targets := f.servers.startLinkCheck()
	if targets == nil {
		return
	}
	var wg sync.WaitGroup
	errs := make([]error, len(targets))
	for i, state := range targets {
		wg.Go(func() { errs[i] = state.pool.Probe(ctx) })
	}
	wg.Wait()
	unreachable := 0
	for _, err := range errs {
		if waxfleet.CodeOf(err) == waxfleet.CodePeerUnreachable {
			unreachable++
		}
	}
	reachable := unreachable < len(targets)
	if !f.servers.endLinkCheck(reachable) {
		return
	}
	reaching, cutOff := f.opts.Loads.ServerLinks()
	f.opts.Log.Warn("reachability of backend servers changed", "reachable", reachable, "tried", len(targets),
		"instances-reaching", reaching, "instances-cut-off", cutOff)
}

// CutOff reports whether this instance is cut off from all backend servers.
func (s *Servers) CutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.CutOff()
}

// startLinkCheck returns servers to connect to, if a check of the link is due: those that
// are not known to be down first, in different failure domains.
func (s *Servers) startLinkCheck() []*serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if len(s.servers) == 0 || !s.link.StartCheck(now) {
		return nil
	}
	s.linkChecks++
	states := make([]*serverState, 0, len(s.servers))
	for _, state := range s.servers {
		states = append(states, state)
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
	return states[:min(linkTargets, len(states))]
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
