package waxbound

import (
	"slices"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxservice"
)

// Start is the start of one run on a backend server, from the history of the
// stand-in.
type Start struct {
	At            waxfleet.Millis
	Server        string
	FailureDomain string
	Chat          string
}

// EngineStarts returns the starts in the histories of engines, by time.
func EngineStarts(engines []*waxengine.Engine) []Start {
	var starts []Start
	for _, e := range engines {
		for _, ev := range e.History() {
			if ev.Kind == waxengine.EventStart {
				starts = append(starts, Start{
					At:            ev.At,
					Server:        e.ID(),
					FailureDomain: e.FailureDomain(),
					Chat:          ev.Chat,
				})
			}
		}
	}
	sortStarts(starts)
	return starts
}

// ServiceStarts returns the starts in the histories of the servers of a plain
// service, by time.
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

// Exclusion is a period in which backend servers must get no new work. It lasts from
// Since+GracePeriod to Until; an Until of 0 is the end of the history.
type Exclusion struct {
	// Server is a backend server; empty stands for all in FailureDomain.
	Server        string
	FailureDomain string
	Since         waxfleet.Millis
	Until         waxfleet.Millis
	GracePeriod   waxfleet.Millis
}

// covers reports whether the exclusion applies to the server of the start,
// regardless of the time.
func (e Exclusion) covers(s Start) bool {
	if e.Server != "" {
		return s.Server == e.Server
	}
	return s.FailureDomain == e.FailureDomain
}

// CheckExclusions returns the starts that the exclusions forbid as violations.
func CheckExclusions(starts []Start, exclusions []Exclusion) []Violation {
	var violations []Violation
	for _, e := range exclusions {
		for _, s := range starts {
			excluded := s.At > e.Since+e.GracePeriod && (e.Until == 0 || s.At < e.Until)
			if excluded && e.covers(s) {
				violations = append(violations, Violation{
					At:      s.At,
					Subject: s.Server,
					Detail: "new work " + formatDuration(s.At-e.Since) +
						" after evacuation or state leaving; allowed: " + formatDuration(e.GracePeriod),
				})
			}
		}
	}
	return violations
}

// LastStartDelay returns the time from Since to the last start of an excluded
// server before Until, or -1 if there is none.
func LastStartDelay(starts []Start, e Exclusion) waxfleet.Millis {
	last := waxfleet.Millis(-1)
	for _, s := range starts {
		if e.covers(s) && s.At > e.Since && (e.Until == 0 || s.At < e.Until) {
			last = max(last, s.At-e.Since)
		}
	}
	return last
}

// FirstStartDelay returns the time from at to the next start in a failure domain,
// or -1 if there is none.
func FirstStartDelay(starts []Start, failureDomain string, at waxfleet.Millis) waxfleet.Millis {
	for _, s := range starts {
		if s.FailureDomain == failureDomain && s.At >= at {
			return s.At - at
		}
	}
	return -1
}

// CheckReturnedToService checks that each server, which returned to service at at,
// has a start between at and at+within.
func CheckReturnedToService(starts []Start, servers []string, at, within waxfleet.Millis) []Violation {
	var violations []Violation
	for _, id := range servers {
		started := slices.ContainsFunc(starts, func(s Start) bool {
			return s.Server == id && s.At >= at && s.At <= at+within
		})
		if !started {
			violations = append(violations, Violation{
				At:      at,
				Subject: id,
				Detail:  "no work within " + formatDuration(within) + " after its return",
			})
		}
	}
	return violations
}

// Attempt is a call of a chat that was selected because Server is its first choice.
type Attempt struct {
	At     waxfleet.Millis
	Server string
}

// CheckGaps checks that no server is without a start for longer than allowed after
// an attempt in [from, until).
func CheckGaps(starts []Start, attempts []Attempt, from, until, allowed waxfleet.Millis) []Violation {
	var violations []Violation
	for server, gap := range Gaps(starts, attempts, from, until) {
		if gap > allowed {
			violations = append(violations, Violation{
				At:      from,
				Subject: server,
				Detail:  "no new work for " + formatDuration(gap) + "; allowed: " + formatDuration(allowed),
			})
		}
	}
	return violations
}

// Gaps returns for each server the longest time from an attempt in [from, until)
// to the next start. Without a later start, the gap lasts until until.
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

func formatDuration(m waxfleet.Millis) string { return m.Duration().String() }
