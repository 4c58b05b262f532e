package waxintake

import "waxwingdrift.org/waxfleet"

// Phase is what a connection of a caller is doing.
type Phase int

// Phases of a connection.
const (
	// PhaseIdle: no byte of a request has arrived since the last one ended.
	PhaseIdle Phase = iota
	// PhaseHeader: a part of a request header has arrived.
	PhaseHeader
	// PhaseBody: the body is being read.
	PhaseBody
	// PhaseAnswer: the whole request was read.
	PhaseAnswer
	// PhaseClosing: the request was refused, and nothing more is read.
	PhaseClosing
)

var phaseNames = map[Phase]string{
	PhaseIdle: "idle", PhaseHeader: "header", PhaseBody: "body", PhaseAnswer: "answer", PhaseClosing: "closing",
}

// String returns the name of the phase for logs.
func (p Phase) String() string { return phaseNames[p] }

// evictable reports whether a connection in this phase may be closed: it holds no whole
// request.
func (p Phase) evictable() bool { return p < PhaseAnswer }

// candidate is the state of a connection when an account is full.
type candidate struct {
	conn  *Conn
	id    uint64
	phase Phase
	// held is the memory that the connection holds, in bytes.
	held int64
	// waitingSince is the time at which it began to wait for a whole request, and movedAt
	// the time at which minProgress bytes had last arrived.
	waitingSince, movedAt waxfleet.Millis
}

// weight grows with the memory that the connection holds and with the time since it moved.
func (c candidate) weight(now waxfleet.Millis) int64 { return c.held * int64(now-c.movedAt+1) }

// heaviest returns the index of the candidate that holds most and moves least; -1 if no
// candidate may be evicted. Of equal ones, it is the oldest connection.
func heaviest(candidates []candidate, now waxfleet.Millis) int {
	return choose(candidates, func(a, b candidate) bool { return a.weight(now) > b.weight(now) })
}

// longestWaiting returns the index of the candidate that has waited longest for a whole
// request; -1 if no candidate may be evicted. Of equal ones, it is the oldest connection.
func longestWaiting(candidates []candidate) int {
	return choose(candidates, func(a, b candidate) bool { return a.waitingSince < b.waitingSince })
}

// choose returns the index of the evictable candidate that goes before all others.
func choose(candidates []candidate, before func(a, b candidate) bool) int {
	best := -1
	for i, c := range candidates {
		if !c.phase.evictable() {
			continue
		}
		if best < 0 || before(c, candidates[best]) || !before(candidates[best], c) && c.id < candidates[best].id {
			best = i
		}
	}
	return best
}
