package waxservice

import (
	"maps"

	"waxwingdrift.org/waxfleet"
)

// EventKind distinguishes the start of an execution from its end.
type EventKind string

// Event kinds.
const (
	EventStart EventKind = "start"
	EventEnd   EventKind = "end"
)

// Event is the start or the end of one execution of a request.
type Event struct {
	At        waxfleet.Millis `json:"at"`
	Kind      EventKind       `json:"kind"`
	Service   string          `json:"service"`
	RequestID string          `json:"request-id"`
	Attempt   string          `json:"attempt"`
	// Key is the idempotency key, or the body digest of a request without one.
	Key        string `json:"key"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest string `json:"body-digest"`
	// InFlight is the number of requests being executed, including this one.
	InFlight int  `json:"in-flight"`
	Leaving  bool `json:"leaving"`
	// Complete is set at the end if all of the response was written to the connection.
	Complete bool `json:"whole"`
}

// Runs returns the number of executions by Event.Key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runCounts)
}

// History returns the starts and ends of all executions in order.
func (s *Service) History() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.history...)
}

// recordStart records the start of an execution and returns the current incarnation, for
// recordEnd.
func (s *Service) recordStart(e Event) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.runCounts[e.Key]++
	s.recordLocked(EventStart, e)
	return s.incarnation
}

func (s *Service) recordEnd(e Event, incarnation int) {
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
