package waxengine

import "waxwingdrift.org/waxfleet"

// EventKind distinguishes the start of a run from its end.
type EventKind string

// Event kinds. A queued run has started.
const (
	EventStart EventKind = "start"
	EventEnd   EventKind = "end"
)

// Event is the start or the end of a run. A run is one execution of a request.
type Event struct {
	At          waxfleet.Millis `json:"at"`
	Kind        EventKind       `json:"kind"`
	Engine      string          `json:"engine"`
	Incarnation string          `json:"incarnation"`
	// RequestID and Attempt are the values of the headers X-Request-Id and
	// X-Wax-Attempt.
	RequestID string `json:"request-id"`
	Attempt   string `json:"attempt"`
	// InFlight is the number of running and queued requests, including this one.
	InFlight int `json:"in-flight"`
	// Cold, Window and Leaving are the state of the engine at that time. Window is the
	// maximum number of concurrent requests.
	Cold    bool `json:"cold"`
	Window  int  `json:"window"`
	Leaving bool `json:"leaving"`
	// ColdInFlight is the number of those requests that arrived after the engine became
	// cold; Options.ColdWindow limits it. It is 0 while the engine is warm.
	ColdInFlight int `json:"cold-in-flight"`
	// PromptTokens is the length of the prompt, and CachedTokens that of the part found in
	// the prefix cache. CachedTokens is set at the end; it is 0 for a run that never left
	// the queue.
	PromptTokens int    `json:"prompt-tokens"`
	CachedTokens int    `json:"cached-tokens"`
	PromptDigest string `json:"prompt-digest"`
	// Complete is set at the end if all tokens were generated.
	Complete bool `json:"whole"`
	// EngineDied is set at the end if the run ended with the incarnation.
	EngineDied bool `json:"died"`
	// FirstToken is the index of the first token of the response, and Tokens the number
	// of tokens generated so far.
	FirstToken int `json:"first-token"`
	Tokens     int `json:"tokens"`
	// Chat is the field chat of the request body.
	Chat string `json:"chat"`
}

// History returns the starts and ends of all runs, in order.
func (e *Engine) History() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Event(nil), e.history...)
}

func (e *Engine) recordLocked(kind EventKind, r *run) {
	progress := r.progress()
	e.history = append(e.history, Event{
		At:           e.clock.Now(),
		Kind:         kind,
		Engine:       e.opts.ID,
		Incarnation:  r.incarnation,
		RequestID:    r.id,
		Attempt:      r.attempt,
		InFlight:     len(e.inFlight),
		Cold:         e.cold,
		Window:       e.concurrencyLimitLocked(),
		Leaving:      e.faults.Leaving,
		ColdInFlight: e.coldLoadLocked(),
		PromptTokens: r.prompt.tokens,
		CachedTokens: r.cachedTokens,
		PromptDigest: r.prompt.digest,
		Complete:     kind == EventEnd && progress.state == runDone,
		EngineDied:   kind == EventEnd && progress.state == runAborted,
		FirstToken:   r.prompt.firstToken,
		Tokens:       progress.produced - r.prompt.firstToken,
		Chat:         r.request.Chat,
	})
}
