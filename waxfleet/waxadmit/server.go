package waxadmit

import (
	"waxwingdrift.org/waxfleet"
)

// Ticket is a request that asks for a place at a backend server.
type Ticket struct {
	id        uint64
	workspace string
	share     float64
	priority  int
	// spillAt is when the wait at this server ends, deadline when the request
	// can no longer start.
	spillAt  waxfleet.Millis
	deadline waxfleet.Millis
	queuedAt waxfleet.Millis
}

// NewTicket returns a ticket. id is unique at the server; spillAt and deadline
// are clock times.
func NewTicket(id uint64, workspace string, share float64, priority int, spillAt, deadline waxfleet.Millis) Ticket {
	return Ticket{id: id, workspace: workspace, share: max(share, 0.001), priority: priority, spillAt: spillAt, deadline: deadline}
}

// ID returns the number that is unique at the server.
func (t Ticket) ID() uint64 { return t.id }

// WithID returns the ticket with another id.
func (t Ticket) WithID(id uint64) Ticket {
	t.id = id
	return t
}

// Verdict is the answer to a ticket.
type Verdict int

// Verdicts. Spill means that the request should go elsewhere or, with nothing
// left, be refused.
const (
	Admit Verdict = iota
	Wait
	Spill
)

// String returns the name for records.
func (v Verdict) String() string { return [...]string{"admit", "wait", "spill"}[v] }

const (
	// servedDecay halves the memory of served work about every 70 requests.
	servedDecay = 0.99
	// intervalWeight is the weight of a new sample of the time between ends.
	intervalWeight = 0.2
)

// Server is the admission state of one backend server at its owner. The caller
// serializes access.
type Server struct {
	window      *Window
	queueLength int
	inFlight    int
	external    int
	queue       []Ticket
	served      map[string]float64
	lastEnd     waxfleet.Millis
	interval    float64
}

// NewServer returns the state of a server of which nothing is known.
func NewServer(limits waxfleet.Limits) *Server {
	return &Server{
		window:      NewWindow(limits.ColdWindow()),
		queueLength: limits.QueueLength(),
		served:      map[string]float64{},
	}
}

// Window returns the concurrency window.
func (s *Server) Window() *Window { return s.window }

// InFlight returns the number of requests admitted here that have not ended.
func (s *Server) InFlight() int { return s.inFlight }

// Load returns the requests in flight, with those of earlier owners.
func (s *Server) Load() int { return s.inFlight + s.external }

// Queued returns the number of waiting requests.
func (s *Server) Queued() int { return len(s.queue) }

// SetExternal sets the number of requests in flight that other instances have
// admitted.
func (s *Server) SetExternal(n int) { s.external = max(n, 0) }

// Bound returns the number of requests that may be in flight under the limit.
func (s *Server) Bound(limit int) int { return min(limit, s.window.Size()) }

// Offer decides on a new request. A request that may wait is queued when the
// queue has room and its turn is expected to come before its deadline. The end of
// its wait here is not compared with the expected one: places come irregularly,
// and a try costs no more than the patience that the caller has offered.
func (s *Server) Offer(t Ticket, now waxfleet.Millis, limit int) Verdict {
	if len(s.queue) == 0 && s.Load() < s.Bound(limit) {
		s.admit(t)
		return Admit
	}
	if t.spillAt <= now || t.deadline <= now || len(s.queue) >= s.queueLength {
		return Spill
	}
	if now+s.expectedWait(t) > t.deadline {
		return Spill
	}
	t.queuedAt = now
	s.queue = append(s.queue, t)
	return Wait
}

// expectedWait estimates the wait from the number of requests that go first and
// the usual time between ends. Without a sample it is zero.
func (s *Server) expectedWait(t Ticket) waxfleet.Millis {
	ahead := 1
	for _, q := range s.queue {
		if q.priority <= t.priority {
			ahead++
		}
	}
	return waxfleet.Millis(float64(ahead) * s.interval)
}

// End takes the end of an admitted request. The time between ends is learned only
// while requests wait.
func (s *Server) End(o Outcome, now waxfleet.Millis) {
	s.inFlight--
	s.window.Done(o)
	if len(s.queue) == 0 {
		s.lastEnd = 0 // the time until the next end may hold idle time
		return
	}
	if s.lastEnd != 0 {
		sample := float64(now - s.lastEnd)
		s.interval += intervalWeight * (sample - s.interval)
	}
	s.lastEnd = now
}

// Cancel returns the place of an admitted request that was never sent.
func (s *Server) Cancel() { s.inFlight-- }

// Remove takes a waiting request out of the queue and reports whether it was
// still there.
func (s *Server) Remove(id uint64) bool {
	for i, q := range s.queue {
		if q.id == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Next admits the waiting requests that have a place now, in order: lower
// priority number, then the workspace that was served least for its share, then
// the earliest deadline. Expire comes first, so that none of them is too late.
func (s *Server) Next(limit int) []Ticket {
	var admitted []Ticket
	for len(s.queue) > 0 && s.Load() < s.Bound(limit) {
		best := 0
		for i := range s.queue {
			if s.before(s.queue[i], s.queue[best]) {
				best = i
			}
		}
		t := s.queue[best]
		s.queue = append(s.queue[:best], s.queue[best+1:]...)
		s.admit(t)
		admitted = append(admitted, t)
	}
	return admitted
}

// Expire removes and returns the waiting requests whose wait here is over.
func (s *Server) Expire(now waxfleet.Millis) []Ticket {
	var expired []Ticket
	kept := s.queue[:0]
	for _, q := range s.queue {
		if q.spillAt <= now || q.deadline <= now {
			expired = append(expired, q)
			continue
		}
		kept = append(kept, q)
	}
	s.queue = kept
	return expired
}

// Flush empties the queue and returns what waited.
func (s *Server) Flush() []Ticket {
	waiting := s.queue
	s.queue = nil
	return waiting
}

func (s *Server) admit(t Ticket) {
	s.inFlight++
	for w := range s.served {
		s.served[w] *= servedDecay
		if s.served[w] < 0.001 {
			delete(s.served, w)
		}
	}
	s.served[t.workspace] += 1 / t.share
}

func (s *Server) before(a, b Ticket) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if sa, sb := s.served[a.workspace], s.served[b.workspace]; sa != sb {
		return sa < sb
	}
	return a.deadline < b.deadline
}
