package waxbound

import (
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxservice"
)

// Start is the start of one run at a backend server, as the stand-in saw it.
type Start struct {
	At            waxfleet.Millis
	Server        string
	FailureDomain string
	Chat          string
}

// EngineStarts returns the starts in the histories of engines, in time order.
func EngineStarts(engines []*waxengine.Engine) []Start {
	var starts []Start
	for _, e := range engines {
		for _, ev := range e.History() {
			if ev.Kind == waxengine.EventStart {
				starts = append(starts, Start{At: ev.At, Server: e.ID(), FailureDomain: e.FailureDomain(), Chat: ev.Chat})
			}
		}
	}
	sortStarts(starts)
	return starts
}

// ServiceStarts returns the starts in the histories of plain servers, in time
// order.
func ServiceStarts(services []*waxservice.Service) []Start {
	var starts []Start
	for _, s := range services {
		for _, ev := range s.History() {
			if ev.Kind == waxservice.EventStart {
				starts = append(starts, Start{At: ev.At, Server: s.ID(), FailureDomain: s.FailureDomain()})
			}
		}
	}
	sortStarts(starts)
	return starts
}

func sortStarts(starts []Start) {
	slices.SortStableFunc(starts, func(a, b Start) int { return int(a.At - b.At) })
}

// Quiet says that backend servers get no new work from Since + Grace until
// Until. The zero Until is the end of the history.
type Quiet struct {
	// Server is a backend server; empty is all of FailureDomain.
	Server        string
	FailureDomain string
	Since         waxfleet.Millis
	Until         waxfleet.Millis
	Grace         waxfleet.Millis
}

func (q Quiet) covers(s Start) bool {
	if q.Server != "" {
		return s.Server == q.Server
	}
	return s.FailureDomain == q.FailureDomain
}

// CheckQuiet returns the starts that a quiet time forbids.
func CheckQuiet(starts []Start, quiet []Quiet) []Violation {
	var found []Violation
	for _, q := range quiet {
		for _, s := range starts {
			late := s.At > q.Since+q.Grace && (q.Until == 0 || s.At < q.Until)
			if late && q.covers(s) {
				found = append(found, Violation{At: s.At, Subject: s.Server, Detail: "new work " +
					span(s.At-q.Since) + " after it was taken out or began to leave; allowed: " + span(q.Grace)})
			}
		}
	}
	return found
}

// LastStart returns the time from Since to the last start within a quiet time,
// or -1 without one.
func LastStart(starts []Start, q Quiet) waxfleet.Millis {
	last := waxfleet.Millis(-1)
	for _, s := range starts {
		if q.covers(s) && s.At > q.Since && (q.Until == 0 || s.At < q.Until) {
			last = max(last, s.At-q.Since)
		}
	}
	return last
}

// FirstStart returns the time from at to the first start in a failure domain
// after it, or -1 without one.
func FirstStart(starts []Start, failureDomain string, at waxfleet.Millis) waxfleet.Millis {
	for _, s := range starts {
		if s.FailureDomain == failureDomain && s.At >= at {
			return s.At - at
		}
	}
	return -1
}

// CheckReturn demands a start in each of the servers between at and at + within.
func CheckReturn(starts []Start, servers []string, at, within waxfleet.Millis) []Violation {
	var found []Violation
	for _, id := range servers {
		started := slices.ContainsFunc(starts, func(s Start) bool {
			return s.Server == id && s.At >= at && s.At <= at+within
		})
		if !started {
			found = append(found, Violation{At: at, Subject: id, Detail: "no work within " + span(within) + " of its return"})
		}
	}
	return found
}

// Attempt is the time at which a caller asked for work at a backend server.
type Attempt struct {
	At     waxfleet.Millis
	Server string
}

// CheckGaps demands that no server goes without a start for longer than allowed
// while callers ask for it, between from and until.
func CheckGaps(starts []Start, attempts []Attempt, from, until, allowed waxfleet.Millis) []Violation {
	var found []Violation
	for server, gap := range Gaps(starts, attempts, from, until) {
		if gap > allowed {
			found = append(found, Violation{At: from, Subject: server, Detail: "no new work for " + span(gap) + "; allowed: " + span(allowed)})
		}
	}
	return found
}

// Gaps returns for each server the longest time between the first unanswered
// attempt and the next start. An attempt that no start follows counts until the
// end.
func Gaps(starts []Start, attempts []Attempt, from, until waxfleet.Millis) map[string]waxfleet.Millis {
	gaps := map[string]waxfleet.Millis{}
	byServer := map[string][]waxfleet.Millis{}
	for _, s := range starts {
		byServer[s.Server] = append(byServer[s.Server], s.At)
	}
	for _, a := range attempts {
		if a.At < from || a.At >= until {
			continue
		}
		end := until
		if i, _ := slices.BinarySearch(byServer[a.Server], a.At); i < len(byServer[a.Server]) {
			end = min(end, byServer[a.Server][i])
		}
		gaps[a.Server] = max(gaps[a.Server], end-a.At)
	}
	return gaps
}

func span(m waxfleet.Millis) string { return m.Duration().String() }
