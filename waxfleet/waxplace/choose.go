package waxplace

// Candidate is the state of a backend server that the choice depends on.
type Candidate struct {
	ID string
	// Load is the number of requests running and queued at the server, as last
	// reported.
	Load int
	// Capacity is the load from which the server has no capacity: the lower of the load
	// limit and the concurrency window.
	Capacity int
}

// hasCapacity reports whether the last reported load is below the bound.
func (c Candidate) hasCapacity() bool { return c.Load < c.Capacity }

// Choice is the result of Choose.
type Choice struct {
	ID string
	// CacheExpected is set if the chat's prefix cache is expected at ID. It is then worth
	// queueing there for as long as the caller allows.
	CacheExpected bool
	Reason        string
}

// Values of Choice.Reason, which appear in logs.
const (
	ReasonHolder    = "holder"
	ReasonFirst     = "first-choice"
	ReasonOverflow  = "spill"
	ReasonFull      = "all-full"
	ReasonNoServers = "no-servers"
)

// Choose selects the backend server for a chat. ranked holds the eligible servers in
// rendezvous order, and excluded the servers that have refused this request. holder is
// the server of the chat's exception, or "".
//
// Choose prefers the server with the chat's cache: holder, or the first server in
// rendezvous order if holder isn't eligible. It does so even if that server looks full,
// because its owner knows the exact load and the request may queue there. If that server
// has refused, Choose returns the first server in rendezvous order with capacity. If none
// has capacity, it returns the preferred server with ReasonFull; the request waits there
// until its deadline.
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
