package waxplace

// Candidate is a backend server as the placement decision sees it.
type Candidate struct {
	ID string
	// Load is the number of requests in flight and waiting, as last known.
	Load int
	// Bound is the smaller of the load limit and the concurrency window.
	Bound int
}

// headroom reports whether the candidate was last known to have a free place.
func (c Candidate) headroom() bool { return c.Load < c.Bound }

// Choice is the outcome of Choose.
type Choice struct {
	ID string
	// Holder is true when the chat's cache is expected at ID, so that waiting
	// there for the caller's patience is worth it.
	Holder bool
	Reason string
}

// Reasons of a choice.
const (
	ReasonHolder    = "holder"
	ReasonFirst     = "first-choice"
	ReasonSpill     = "spill"
	ReasonFull      = "all-full"
	ReasonNoServers = "no-servers"
)

// Choose picks the backend server for a chat. ranked holds the eligible servers
// in rendezvous order, holder the remembered exception or "", and excluded the
// servers that have refused this request already.
//
// The holder comes first, even when it looks full: its owner knows the exact
// count and the caller may wait there. After that the first server in rendezvous
// order with headroom takes the chat. With none, the choice is the holder again
// with ReasonFull, where the request waits until its deadline.
func Choose(ranked []Candidate, holder string, excluded map[string]bool) Choice {
	if len(ranked) == 0 {
		return Choice{Reason: ReasonNoServers}
	}
	preferred := Choice{ID: ranked[0].ID, Holder: true, Reason: ReasonFirst}
	for _, c := range ranked {
		if c.ID == holder {
			preferred = Choice{ID: holder, Holder: true, Reason: ReasonHolder}
		}
	}
	if !excluded[preferred.ID] {
		return preferred
	}
	for _, c := range ranked {
		if !excluded[c.ID] && c.headroom() {
			return Choice{ID: c.ID, Reason: ReasonSpill}
		}
	}
	preferred.Reason = ReasonFull
	return preferred
}
