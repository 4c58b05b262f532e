package waxservice

import (
	"maps"

	"waxwingdrift.org/waxfleet"
)

// EventKind tells the start of a run from its end.
type EventKind string

// Kinds of events.
const (
	EventStart EventKind = "start"
	EventEnd   EventKind = "end"
)

// Event is the start or the end of one run of a call.
type Event struct {
	At        waxfleet.Millis `json:"at"`
	Kind      EventKind       `json:"kind"`
	Service   string          `json:"service"`
	RequestID string          `json:"request-id"`
	Attempt   string          `json:"attempt"`
	// Key is the idempotency key, or the body digest without one.
	Key        string `json:"key"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest string `json:"body-digest"`
	// InFlight counts the calls that run, including this one.
	InFlight int  `json:"in-flight"`
	Leaving  bool `json:"leaving"`
	// Whole, at the end, says that the whole answer was handed to the connection.
	Whole bool `json:"whole"`
}

// Runs returns how often each call ran, by idempotency key, or by body digest
// for calls without one.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// History returns the starts and ends of all runs, in their order.
func (s *Service) History() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.history...)
}

// begin counts a run and returns the incarnation that runs it.
func (s *Service) begin(e Event) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.runs[e.Key]++
	s.recordLocked(EventStart, e)
	return s.incarnation
}

func (s *Service) end(e Event, incarnation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLocked(EventEnd, e)
	if incarnation == s.incarnation {
		s.inFlight--
	}
}

func (s *Service) recordLocked(kind EventKind, e Event) {
	e.At = s.clock.Now()
	e.Kind = kind
	e.Service = s.opts.ID
	e.InFlight = s.inFlight
	e.Leaving = s.faults.Leaving
	s.history = append(s.history, e)
}
