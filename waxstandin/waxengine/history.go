package waxengine

import "waxwingdrift.org/waxfleet"

// EventKind tells the start of a run from its end.
type EventKind string

// Kinds of events. A run that waits in the engine has started.
const (
	EventStart EventKind = "start"
	EventEnd   EventKind = "end"
)

// Event is the start or the end of one run.
type Event struct {
	At          waxfleet.Millis `json:"at"`
	Kind        EventKind       `json:"kind"`
	Engine      string          `json:"engine"`
	Incarnation string          `json:"incarnation"`
	// RequestID is the header X-Request-Id, and Attempt the header
	// X-Wax-Attempt.
	RequestID string `json:"request-id"`
	Attempt   string `json:"attempt"`
	// InFlight counts the requests that run or wait, including this one.
	InFlight int `json:"in-flight"`
	// Cold, Window and Leaving are the state of the engine at the time. Window
	// is the number of requests that it bears.
	Cold    bool `json:"cold"`
	Window  int  `json:"window"`
	Leaving bool `json:"leaving"`
	// ColdInFlight counts those of InFlight that came since the engine is cold;
	// the cold window bounds them. It is 0 while the engine is warm.
	ColdInFlight int `json:"cold-in-flight"`
	// PromptTokens and CachedTokens are known at the end; a run that never
	// left the queue has no cached tokens.
	PromptTokens int    `json:"prompt-tokens"`
	CachedTokens int    `json:"cached-tokens"`
	PromptDigest string `json:"prompt-digest"`
	// Whole, at the end, says that all tokens were produced.
	Whole bool `json:"whole"`
	// Died, at the end, says that the incarnation ended with the run.
	Died bool `json:"died"`
	// FirstToken and Tokens, at the end, are the index of the first token of
	// the answer and the number of tokens that were produced.
	FirstToken int `json:"first-token"`
	Tokens     int `json:"tokens"`
	// Chat is the field chat of the body.
	Chat string `json:"chat"`
}

// History returns the starts and ends of all runs, in their order.
func (e *Engine) History() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Event(nil), e.history...)
}

func (e *Engine) recordLocked(kind EventKind, r *run) {
	now := r.progress()
	e.history = append(e.history, Event{
		At:           e.clock.Now(),
		Kind:         kind,
		Engine:       e.opts.ID,
		Incarnation:  r.incarnation,
		RequestID:    r.id,
		Attempt:      r.attempt,
		InFlight:     len(e.inFlight),
		Cold:         e.cold,
		Window:       e.windowLocked(),
		Leaving:      e.faults.Leaving,
		ColdInFlight: e.coldLoadLocked(),
		PromptTokens: r.prompt.tokens,
		CachedTokens: r.cachedTokens,
		PromptDigest: r.prompt.digest,
		Whole:        kind == EventEnd && now.state == runDone,
		Died:         kind == EventEnd && now.state == runDied,
		FirstToken:   r.prompt.first,
		Tokens:       now.produced - r.prompt.first,
		Chat:         r.request.Chat,
	})
}
