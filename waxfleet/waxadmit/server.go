package waxadmit

import (
	"waxwingdrift.org/waxfleet"
)

// Request is a request for a slot at a backend server.
type Request struct {
	id        uint64
	workspace string
	share     float64
	priority  int
	// spillAt is when the request stops waiting at this server; deadline is when it
	// can no longer start at any.
	spillAt  waxfleet.Millis
	deadline waxfleet.Millis
	queuedAt waxfleet.Millis
}

// NewRequest returns a ticket. id must be unique at the server. share is the
// workspace's weight in fair queueing. Lower priority numbers go first. spillAt is
// when the request stops waiting at this server, deadline when it can no longer
// start at any.
func NewRequest(id uint64, workspace string, share float64, priority int, spillAt, deadline waxfleet.Millis) Request {
	return Request{id: id, workspace: workspace, share: max(share, 0.001), priority: priority, spillAt: spillAt, deadline: deadline}
}

// ID returns the ID, which is unique at the server.
func (t Request) ID() uint64 { return t.id }

// WithID returns a copy of the ticket with another ID.
func (t Request) WithID(id uint64) Request {
	t.id = id
	return t
}

// Verdict is the decision on a ticket.
type Verdict int

// Verdicts. Spill means that the request should go to another backend server or, if
// none is left, be refused.
const (
	Admit Verdict = iota
	Wait
	Spill
)

// String returns the name used in records.
func (v Verdict) String() string { return [...]string{"admit", "wait", "spill"}[v] }

const (
	// usageDecay is the decay of the workspaces' usage per admitted request; it halves
	// the usage about every 70 requests.
	usageDecay = 0.99
	// intervalSmoothing is the weight of a new sample in the moving average of the time
	// between completions.
	intervalSmoothing = 0.2
)

// Controller is the admission controller of one backend server at its owner. It is not
// safe for concurrent use.
type Controller struct {
	window             *Window
	queueLength        int
	inFlight           int
	external           int
	queue              []Request
	usage              map[string]float64
	lastCompletion     waxfleet.Millis
	completionInterval float64
}

// NewController returns the controller of a backend server whose state is unknown.
func NewController(limits waxfleet.Limits) *Controller {
	return &Controller{
		window:      NewWindow(limits.ColdWindow()),
		queueLength: limits.QueueLength(),
		usage:       map[string]float64{},
	}
}

// Window returns the concurrency window.
func (s *Controller) Window() *Window { return s.window }

// InFlight returns the number of requests that were admitted here and have not
// ended.
func (s *Controller) InFlight() int { return s.inFlight }

// Load returns the number of requests in flight, including those that other
// instances have admitted.
func (s *Controller) Load() int { return s.inFlight + s.external }

// Queued returns the number of queued requests.
func (s *Controller) Queued() int { return len(s.queue) }

// SetExternal sets the number of requests in flight that other instances have
// admitted.
func (s *Controller) SetExternal(n int) { s.external = max(n, 0) }

// Bound returns the maximum number of requests in flight: the smaller of limit and
// the concurrency window.
func (s *Controller) Bound(limit int) int { return min(limit, s.window.Size()) }

// Offer decides on a new request. A request that may wait is queued if the queue has
// room and its turn is expected before its deadline. The expected wait is not
// compared with the time at which it stops waiting here: slots become free
// irregularly, and waiting costs no more than the patience that the caller offered.
func (s *Controller) Offer(t Request, now waxfleet.Millis, limit int) Verdict {
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

// expectedWait estimates the wait from the number of requests ahead and the average
// time between completions. It is zero if there are no samples.
func (s *Controller) expectedWait(t Request) waxfleet.Millis {
	ahead := 1
	for _, q := range s.queue {
		if q.priority <= t.priority {
			ahead++
		}
	}
	return waxfleet.Millis(float64(ahead) * s.completionInterval)
}

// End records the outcome of an admitted request and frees its slot. The time
// between completions is sampled only while requests are queued.
func (s *Controller) End(o Outcome, now waxfleet.Millis) {
	s.inFlight--
	s.window.Done(o)
	if len(s.queue) == 0 {
		s.lastCompletion = 0 // the time until the next completion may include idle time
		return
	}
	if s.lastCompletion != 0 {
		sample := float64(now - s.lastCompletion)
		s.completionInterval += intervalSmoothing * (sample - s.completionInterval)
	}
	s.lastCompletion = now
}

// Cancel frees the slot of an admitted request that was never sent.
func (s *Controller) Cancel() { s.inFlight-- }

// Remove removes a request from the queue and reports whether it was still
// queued.
func (s *Controller) Remove(id uint64) bool {
	for i, q := range s.queue {
		if q.id == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Next admits and returns the queued requests for which a slot is free, ordered by
// lower priority number, then by the workspace with the least usage relative to its
// share, then by earliest deadline. Call Expire first, so that no expired request is
// admitted.
func (s *Controller) Next(limit int) []Request {
	var admitted []Request
	for len(s.queue) > 0 && s.Load() < s.Bound(limit) {
		best := 0
		for i := range s.queue {
			if s.less(s.queue[i], s.queue[best]) {
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

// Expire removes and returns the queued requests whose wait here is over.
func (s *Controller) Expire(now waxfleet.Millis) []Request {
	var expired []Request
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

// Flush empties the queue and returns the requests that were queued.
func (s *Controller) Flush() []Request {
	waiting := s.queue
	s.queue = nil
	return waiting
}

func (s *Controller) admit(t Request) {
	s.inFlight++
	for w := range s.usage {
		s.usage[w] *= usageDecay
		if s.usage[w] < 0.001 {
			delete(s.usage, w)
		}
	}
	s.usage[t.workspace] += 1 / t.share
}

func (s *Controller) less(a, b Request) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if sa, sb := s.usage[a.workspace], s.usage[b.workspace]; sa != sb {
		return sa < sb
	}
	return a.deadline < b.deadline
}
