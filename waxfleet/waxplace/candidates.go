package waxplace

// Candidate is the state of a backend server that the choice depends on.
type Candidate struct {
	ID string
	// Load is the number of requests running and queued at the server, as last
	// reported.
	Load int
	// Bound is the lower of the load limit and the concurrency window.
	Bound int
}

// hasCapacity reports whether the last reported load is below the bound.
func (c Candidate) hasCapacity() bool { return c.Load < c.Bound }

// Choice is the result of Choose.
type Choice struct {
	ID string
	// CacheExpected is set if the chat's prefix cache is expected at ID, so that the
	// request should queue there for as long as the client allows.
	CacheExpected bool
	Reason        string
}

// Values of Choice.Reason.
const (
	ReasonHolder    = "holder"
	ReasonFirst     = "first-choice"
	ReasonOverflow  = "spill"
	ReasonFull      = "all-full"
	ReasonNoServers = "no-servers"
)

// Choose selects the backend server for a chat. ranked are the eligible servers
// in rendezvous order, holder is the server of the chat's exception or "", and
// excluded are the servers that have refused this request.
//
// The server with the chat's cache is tried first, even if it looks full: its
// owner knows the exact load and the request may queue there. If it has
// refused, the first server in rendezvous order with capacity is chosen. If
// none has capacity, it is the server with the cache again with ReasonFull,
// where the request waits until its deadline.
func Choose(ranked []Candidate, holder string, excluded map[string]bool) Choice {
	if len(ranked) == 0 {
		return Choice{Reason: ReasonNoServers}
	}
	preferred := Choice{ID: ranked[0].ID, CacheExpected: true, Reason: ReasonFirst}
	for _, c := range ranked {
		if c.ID == holder {
			preferred = Choice{ID: holder, CacheExpected: true, Reason: ReasonHolder}
		}
	}
	if !excluded[preferred.ID] {
		return preferred
	}
	for _, c := range ranked {
		if !excluded[c.ID] && c.hasCapacity() {
			return Choice{ID: c.ID, Reason: ReasonOverflow}
		}
	}
	preferred.Reason = ReasonFull
	return preferred
}
