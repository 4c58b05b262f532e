package waxexperiment

import (
	"fmt"
	"io"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxstandin/waxengine"
)

const (
	// limitWindow is the sliding window of the load limit. A start is checked against
	// the highest limit within the window before it, because instances receive the
	// loads of others with a delay.
	limitWindow waxfleet.Millis = 500
	// evacuationGracePeriod is the time for which engines may get new work after their
	// failure domain was evacuated.
	evacuationGracePeriod waxfleet.Millis = 3_000
)

// loadLimits are the guaranteed limits: 1.25 times the mean load, with a floor of 8
// requests.
var loadLimits = waxfleet.NewLimits(1.25, 8, 64, 8, 1<<20)

// Checks counts the violations of guarantees in the histories of the engines.
type Checks struct {
	// Starts is the number of requests that the engines started. OverLimit counts the
	// starts above the highest load limit of the last limitWindow, OverInstantLimit
	// those above the limit at the time of the start. MaxLimitRatio is the highest
	// ratio of the load to the highest limit of the window.
	Starts           int
	OverLimit        int
	MaxLimitRatio    float64
	OverInstantLimit int
	// OverColdWindow counts the starts above the concurrency window of a cold engine.
	OverColdWindow int
	// StartsAfterEvacuation counts the starts in an evacuated failure domain after the
	// evacuationGracePeriod.
	StartsAfterEvacuation int
	// Violations describes the first maxViolations starts that violate a guarantee.
	Violations []string
}

// maxViolations is the maximum number of described violations.
const maxViolations = 10

func (c *Checks) addViolation(ev waxengine.Event, guarantee string, limit int) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, fmt.Sprintf("%s: %s at %d ms, %d in flight, %d allowed, request %s",
			guarantee, ev.Engine, ev.At, ev.InFlight, limit, ev.RequestID))
	}
}

// WriteText writes the counts as one line of text.
func (c Checks) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "engine starts                   %d; above the load limit %d "+
		"(highest load / limit %.2f; above the instantaneous limit %d), "+
		"above a cold window %d, after an evacuation %d\n",
		c.Starts, c.OverLimit, c.MaxLimitRatio, c.OverInstantLimit, c.OverColdWindow, c.StartsAfterEvacuation)
	return err
}

// Evacuation is the period in which the engines of a failure domain were out of
// service. EvacuatedAt is 0 if they never were, ReturnedAt is 0 if they did not
// return. Both are clock times like waxengine.Event.At.
type Evacuation struct {
	EvacuatedAt waxfleet.Millis
	ReturnedAt  waxfleet.Millis
	Engines     map[string]bool
}

// forbids reports whether the evacuation forbids a start at the engine and the time of
// the event.
func (e Evacuation) forbids(ev waxengine.Event) bool {
	return e.EvacuatedAt != 0 && e.Engines[ev.Engine] && ev.At > e.EvacuatedAt+evacuationGracePeriod && (e.ReturnedAt == 0 || ev.At < e.ReturnedAt)
}

type engineState struct {
	inFlight int
	warm     bool
}

type limitSample struct {
	at    waxfleet.Millis
	limit int
}

// CheckHistory checks the events of all engines, which must be in time order.
// startWarm reports whether the engines were warm at first.
func CheckHistory(events []waxengine.Event, engines []string, startWarm bool, evacuation Evacuation) Checks {
	states := map[string]*engineState{}
	for _, id := range engines {
		states[id] = &engineState{warm: startWarm}
	}
	var c Checks
	var recent []limitSample
	for _, ev := range events {
		s := states[ev.Engine]
		instantLimit := currentLimit(states, evacuation, ev.At)
		recent = append(recent, limitSample{at: ev.At, limit: instantLimit})
		for recent[0].at < ev.At-limitWindow {
			recent = recent[1:]
		}
		s.warm = !ev.Cold
		if ev.Kind == waxengine.EventEnd {
			s.inFlight = max(s.inFlight-1, 0)
			// An engine that died is not warm, although no later event reports it as
			// cold.
			s.warm = s.warm && !ev.EngineDied
			continue
		}
		s.inFlight = ev.InFlight
		c.recordStart(ev, instantLimit, maxLimit(recent), evacuation)
	}
	return c
}

func (c *Checks) recordStart(ev waxengine.Event, instantLimit, limit int, evacuation Evacuation) {
	c.Starts++
	if ev.InFlight > instantLimit {
		c.OverInstantLimit++
	}
	if ev.InFlight > limit {
		c.OverLimit++
		c.addViolation(ev, "load limit", limit)
	}
	c.MaxLimitRatio = max(c.MaxLimitRatio, float64(ev.InFlight)/float64(limit))
	if ev.Cold && ev.ColdInFlight > ev.Window {
		c.OverColdWindow++
		c.addViolation(ev, "cold window", ev.Window)
	}
	if evacuation.forbids(ev) {
		c.StartsAfterEvacuation++
		c.addViolation(ev, "evacuated domain", 0)
	}
}

func maxLimit(samples []limitSample) int {
	limit := 0
	for _, s := range samples {
		limit = max(limit, s.limit)
	}
	return limit
}

// currentLimit returns the load limit for the mean load over the warm engines in
// service.
func currentLimit(states map[string]*engineState, evacuation Evacuation, now waxfleet.Millis) int {
	total, warm := 0, 0
	for id, s := range states {
		evacuated := evacuation.EvacuatedAt != 0 && evacuation.Engines[id] && now > evacuation.EvacuatedAt &&
			(evacuation.ReturnedAt == 0 || now < evacuation.ReturnedAt)
		if s.warm && !evacuated {
			total += s.inFlight
			warm++
		}
	}
	return waxplace.LoadLimit(loadLimits, total, warm)
}
