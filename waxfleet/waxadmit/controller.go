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
	// overflowAt is when the request stops waiting at this server; deadline is when it
	// can no longer start at any.
	overflowAt waxfleet.Millis
	deadline   waxfleet.Millis
	queuedAt   waxfleet.Millis
}

// NewRequest returns a request. id must be unique at the server. share is the
// workspace's weight in fair queueing. Lower priority numbers go first. overflowAt is
// when the request stops waiting at this server, deadline when it can no longer
// start at any.
func NewRequest(id uint64, workspace string, share float64, priority int, overflowAt, deadline waxfleet.Millis) Request {
	return Request{
		id:         id,
		workspace:  workspace,
		share:      max(share, 0.001),
		priority:   priority,
		overflowAt: overflowAt,
		deadline:   deadline,
	}
}

// ID returns the ID, which is unique at the server.
func (r Request) ID() uint64 { return r.id }

// WithID returns a copy of the request with another ID.
func (r Request) WithID(id uint64) Request {
	r.id = id
	return r
}

// Verdict is the decision on a request.
type Verdict int

// Verdicts. Overflow means that the request should go to another backend server or, if
// none is left, be refused.
const (
	Admit Verdict = iota
	Wait
	Overflow
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
	window      *Window
	queueLength int
	inFlight    int
	external    int
	queue       []Request
	// usage is the decaying usage by workspace, in requests divided by the share.
	usage map[string]float64
	// lastCompletionAt is when a request last ended while others were queued, or 0.
	lastCompletionAt waxfleet.Millis
	// completionInterval is the moving average of the time between completions, in ms.
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
func (c *Controller) Window() *Window { return c.window }

// InFlight returns the number of requests that were admitted here and have not
// ended.
func (c *Controller) InFlight() int { return c.inFlight }

// Load returns the number of requests in flight, including those that other
// instances have admitted.
func (c *Controller) Load() int { return c.inFlight + c.external }

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return len(c.queue) }

// SetExternal sets the number of requests in flight that other instances have
// admitted.
func (c *Controller) SetExternal(n int) { c.external = max(n, 0) }

// Bound returns the maximum number of requests in flight: the smaller of limit and
// the concurrency window.
func (c *Controller) Bound(limit int) int { return min(limit, c.window.Size()) }

// Offer decides on a new request. A request that may wait is queued if the queue has
// room and its turn is expected before its deadline. The expected wait is not
// compared with overflowAt: slots become free irregularly, and waiting costs no more
// than the patience that the caller offered.
func (c *Controller) Offer(r Request, now waxfleet.Millis, limit int) Verdict {
	if len(c.queue) == 0 && c.Load() < c.Bound(limit) {
		c.admit(r)
		return Admit
	}
	if r.overflowAt <= now || r.deadline <= now || len(c.queue) >= c.queueLength {
		return Overflow
	}
	if now+c.expectedWait(r) > r.deadline {
		return Overflow
	}
	r.queuedAt = now
	c.queue = append(c.queue, r)
	return Wait
}

// expectedWait estimates the wait from the number of requests ahead and the average
// time between completions. It is zero if there are no samples.
func (c *Controller) expectedWait(r Request) waxfleet.Millis {
	ahead := 1
	for _, q := range c.queue {
		if q.priority <= r.priority {
			ahead++
		}
	}
	return waxfleet.Millis(float64(ahead) * c.completionInterval)
}

// End records the outcome of an admitted request and frees its slot. The time
// between completions is sampled only while requests are queued.
func (c *Controller) End(o Outcome, now waxfleet.Millis) {
	c.inFlight--
	c.window.RecordOutcome(o)
	if len(c.queue) == 0 {
		c.lastCompletionAt = 0 // the time until the next completion may include idle time
		return
	}
	if c.lastCompletionAt != 0 {
		sample := float64(now - c.lastCompletionAt)
		c.completionInterval += intervalSmoothing * (sample - c.completionInterval)
	}
	c.lastCompletionAt = now
}

// Cancel frees the slot of an admitted request that was never sent.
func (c *Controller) Cancel() { c.inFlight-- }

// Remove removes a request from the queue and reports whether it was still
// queued.
func (c *Controller) Remove(id uint64) bool {
	for i, q := range c.queue {
		if q.id == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// AdmitQueued admits and returns the queued requests for which a slot is free, ordered by
// lower priority number, then by the workspace with the least usage relative to its
// share, then by earliest deadline. Call Expire first, so that no expired request is
// admitted.
func (c *Controller) AdmitQueued(limit int) []Request {
	var admitted []Request
	for len(c.queue) > 0 && c.Load() < c.Bound(limit) {
		best := 0
		for i := range c.queue {
			if c.less(c.queue[i], c.queue[best]) {
				best = i
			}
		}
		r := c.queue[best]
		c.queue = append(c.queue[:best], c.queue[best+1:]...)
		c.admit(r)
		admitted = append(admitted, r)
	}
	return admitted
}

// Expire removes and returns the queued requests whose overflowAt or deadline has passed.
func (c *Controller) Expire(now waxfleet.Millis) []Request {
	var expired []Request
	kept := c.queue[:0]
	for _, q := range c.queue {
		if q.overflowAt <= now || q.deadline <= now {
			expired = append(expired, q)
			continue
		}
		kept = append(kept, q)
	}
	c.queue = kept
	return expired
}

// Flush empties the queue and returns the requests that were queued.
func (c *Controller) Flush() []Request {
	flushed := c.queue
	c.queue = nil
	return flushed
}

func (c *Controller) admit(r Request) {
	c.inFlight++
	for w := range c.usage {
		c.usage[w] *= usageDecay
		if c.usage[w] < 0.001 {
			delete(c.usage, w)
		}
	}
	c.usage[r.workspace] += 1 / r.share
}

func (c *Controller) less(a, b Request) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if sa, sb := c.usage[a.workspace], c.usage[b.workspace]; sa != sb {
		return sa < sb
	}
	return a.deadline < b.deadline
}
