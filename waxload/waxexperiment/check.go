package waxexperiment

import (
	"fmt"
	"io"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxstandin/waxengine"
)

const (
	// meanWindow is how far back the mean load of the promise reaches: a load limit
	// at a moment is a multiple of the highest mean of the window before it, since
	// no instance can know the loads of others sooner.
	meanWindow waxfleet.Millis = 500
	// outGrace is how long a failure domain that was taken out may get new work.
	outGrace waxfleet.Millis = 3_000
)

// promised are the limits of the promise: 1.25 times the mean load, with a floor
// of 8 requests.
var promised = waxfleet.NewLimits(1.25, 8, 64, 8, 1<<20)

// Checks are the counts that the engines' histories give.
type Checks struct {
	// Starts is the number of runs that the engines started. OverLimit of them were
	// above the load limit of the last half second, at most by the factor
	// LimitRatio; OverInstant above the limit by the mean of that very moment.
	Starts      int
	OverLimit   int
	LimitRatio  float64
	OverInstant int
	// ColdExcess counts starts above what a cold engine bears.
	ColdExcess int
	// LateStarts counts starts in a failure domain later than 3 s after it was
	// taken out.
	LateStarts int
	// Findings describe the first starts that break a promise.
	Findings []string
}

// maxFindings bounds the descriptions.
const maxFindings = 10

func (c *Checks) find(ev waxengine.Event, promise string, bound int) {
	if len(c.Findings) < maxFindings {
		c.Findings = append(c.Findings, fmt.Sprintf("%s: %s at %d ms, %d in flight, %d allowed, request %s", promise, ev.Engine, ev.At, ev.InFlight, bound, ev.RequestID))
	}
}

// Write prints the checks in one line.
func (c Checks) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "engine starts           %d; above the load limit %d (largest load / limit %.2f; by the mean of the very moment %d), above a cold window %d, late in a domain that is out %d\n",
		c.Starts, c.OverLimit, c.LimitRatio, c.OverInstant, c.ColdExcess, c.LateStarts)
	return err
}

// Move tells when the engines of a failure domain were out of service. OutAt 0
// means never, BackAt 0 that they did not return.
type Move struct {
	OutAt   waxfleet.Millis
	BackAt  waxfleet.Millis
	Engines map[string]bool
}

func (m Move) late(ev waxengine.Event) bool {
	return m.OutAt != 0 && m.Engines[ev.Engine] && ev.At > m.OutAt+outGrace && (m.BackAt == 0 || ev.At < m.BackAt)
}

type engineState struct {
	inFlight int
	warm     bool
}

type meanSample struct {
	at    waxfleet.Millis
	limit int
}

// Check replays the events of all engines in the order of time.
func Check(events []waxengine.Event, engines []string, startWarm bool, move Move) Checks {
	state := map[string]*engineState{}
	for _, id := range engines {
		state[id] = &engineState{warm: startWarm}
	}
	var c Checks
	var recent []meanSample
	for _, ev := range events {
		s := state[ev.Engine]
		before := limitOf(state, move, ev.At)
		recent = append(recent, meanSample{at: ev.At, limit: before})
		for recent[0].at < ev.At-meanWindow {
			recent = recent[1:]
		}
		s.warm = !ev.Cold
		if ev.Kind == waxengine.EventEnd {
			s.inFlight = max(s.inFlight-1, 0)
			// A dead engine is not warm, though it starts nothing that would tell.
			s.warm = s.warm && !ev.EngineDied
			continue
		}
		s.inFlight = ev.InFlight
		c.start(ev, before, highest(recent), move)
	}
	return c
}

func (c *Checks) start(ev waxengine.Event, instant, limit int, move Move) {
	c.Starts++
	if ev.InFlight > instant {
		c.OverInstant++
	}
	if ev.InFlight > limit {
		c.OverLimit++
		c.find(ev, "load limit", limit)
	}
	c.LimitRatio = max(c.LimitRatio, float64(ev.InFlight)/float64(limit))
	if ev.Cold && ev.ColdInFlight > ev.Window {
		c.ColdExcess++
		c.find(ev, "cold window", ev.Window)
	}
	if move.late(ev) {
		c.LateStarts++
		c.find(ev, "domain out", 0)
	}
}

func highest(samples []meanSample) int {
	limit := 0
	for _, s := range samples {
		limit = max(limit, s.limit)
	}
	return limit
}

// limitOf is the load limit by the mean over the warm engines in service.
func limitOf(state map[string]*engineState, move Move, now waxfleet.Millis) int {
	total, warm := 0, 0
	for id, s := range state {
		out := move.OutAt != 0 && move.Engines[id] && now > move.OutAt && (move.BackAt == 0 || now < move.BackAt)
		if s.warm && !out {
			total += s.inFlight
			warm++
		}
	}
	return waxplace.LoadLimit(promised, total, warm)
}
