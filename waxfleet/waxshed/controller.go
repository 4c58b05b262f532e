// Package waxshed decides which requests are rejected before they are sent, because
// backend servers can't serve them in time. It does no I/O, and its clock is passed in.
package waxshed

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingdrift.org/waxfleet"
)

const (
	// warmupDuration is the time after the start of an instance for which nothing is
	// rejected on a prediction: the counts of other instances arrive five times a second,
	// and the speed of the servers is learned from responses.
	warmupDuration waxfleet.Millis = 2_000
	// minMargin and maxMargin bound the part of a prediction by which it may be too high. A
	// request is rejected only if what remains is later than its deadline. The margin is
	// marginFactor x the mean excess of the last predictions, because half of the errors are
	// above their mean.
	minMargin    = 0.2
	maxMargin    = 0.6
	marginFactor = 1.5
	// errorWeight is the weight of a new observation in the mean excess, and minObserved the
	// shortest prediction that counts: the clock has a resolution of 1 ms, and the network
	// takes some.
	errorWeight                 = 0.05
	minObserved waxfleet.Millis = 50
	// shortageStart is the part of the objective from which capacity is short. With
	// shareTolerance, workspaces of equal usage are rejected from 0.8 x the objective on, and
	// those with more usage before. Counts of other instances are 0.2 s old, so that the
	// queue hovers around the bound. In the simulation of a workspace at ten times its load,
	// 1,349 of 6,256 requests of the others were late with 0.8, and none with 0.65.
	shortageStart = 0.65
	// contestedStart applies instead to requests that compete with more urgent ones: plain
	// servers have no priorities, so that urgent requests wait as long as others there.
	contestedStart = 0.6
	// shareTolerance is how many times its share a workspace may use before it is rejected
	// while no other priority competes. The usage of an instance that handles a few requests
	// a second is noisy.
	shareTolerance = 1.25
	// urgentShareTolerance applies instead to requests that compete with less urgent ones,
	// which are rejected first.
	urgentShareTolerance = 2.0
	// priorityPeriod is the time after a request for which its priority counts as
	// competing.
	priorityPeriod waxfleet.Millis = 3_000
	// maxRouteDenial is the time after which a request of a route whose requests were all
	// rejected is admitted, unless its deadline would pass, and maxWorkspaceDenial the one
	// for a workspace. The latter is longer because each instance counts for itself: 84
	// instances with 24 workspaces may admit 202 such requests a second.
	maxRouteDenial     waxfleet.Millis = 2_000
	maxWorkspaceDenial waxfleet.Millis = 10_000
	// maxServices is the number of services with state, and lowestPriority the highest
	// priority number; higher ones count as it.
	maxServices    = 64
	lowestPriority = 9
)

// Request is a request that is to be admitted or rejected.
type Request struct {
	// ID identifies the caller's attempt.
	ID        string
	Service   string
	Route     string
	Workspace string
	// Weight is the weight of the workspace; 0 counts as 1.
	Weight float64
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Objective is the target for the time to the first event; 0 when there is none.
	Objective waxfleet.Millis
	// Remaining is the time until the deadline.
	Remaining waxfleet.Millis
	// Cost is the expected work of the request. Its unit is the same for all requests of a
	// service.
	Cost float64
}

// Estimate is what is expected of a request at the best server that it may use.
type Estimate struct {
	// FirstEvent is the time until the first event of the response; for plain services until
	// the response.
	FirstEvent waxfleet.Millis
	// OwnPrompt is the part of FirstEvent that the request itself takes.
	OwnPrompt waxfleet.Millis
	// FreeSlot is set if some server that the request may use has a free slot and no request
	// waiting.
	FreeSlot bool
	// Stale is set if the counts that the estimate is based on are too old to reject a
	// request.
	Stale bool
	// Known is set for services whose servers state their pace. Requests of others are
	// always admitted.
	Known bool
}

// Reason is the cause of a rejection. It appears in logs and metrics.
type Reason string

// Reasons of a Decision.
const (
	// ReasonNone is that of an admitted request.
	ReasonNone Reason = ""
	// ReasonDeadline means that the first event would come later than the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonOwnPrompt means that the time left is shorter than the request itself takes.
	ReasonOwnPrompt Reason = "own-prompt"
	// ReasonPriority means that the first event would come later than the objective, and
	// that more urgent requests compete.
	ReasonPriority Reason = "priority"
	// ReasonShare means that capacity is short and the workspace has used more than its
	// share.
	ReasonShare Reason = "share"
)

// Decision is the decision on a request, with the figures that decided.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is the time after which a rejected caller should return.
	RetryAfter waxfleet.Millis
	// Short is set if capacity is short: the first event is expected close to the objective
	// or later.
	Short bool
	// Pressure is the expected time to the first event divided by the objective; 0 without
	// one.
	Pressure float64
	// Usage is what the workspace was admitted lately, and Share what it may use while
	// capacity is short, both as parts of what all workspaces were admitted. They are set
	// while Short is.
	Usage, Share float64
	// Competing is set if more urgent requests compete, and Ahead if less urgent ones do.
	// A request that is ahead of others may be served before the prediction, which knows no
	// priorities. They are set while Short is.
	Competing, Ahead bool
}

// Controller decides on the requests of one instance. It is safe for concurrent use.
type Controller struct {
	clock     *waxfleet.Clock
	startedAt waxfleet.Millis

	mu       sync.Mutex
	services *lru.LRU[string, *service]
}

// NewController returns the controller of an instance that starts now.
func NewController(clock *waxfleet.Clock) *Controller {
	services, err := lru.NewLRU[string, *service](maxServices, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Controller{clock: clock, startedAt: clock.Now(), services: services}
}

// Admit decides on a request and records it.
func (c *Controller) Admit(r Request, e Estimate) Decision {
	if !e.Known {
		return Decision{Admitted: true}
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	svc, ok := c.services.Get(r.Service)
	if !ok {
		svc = newService()
		c.services.Add(r.Service, svc)
	}
	d := c.decide(svc, r, e, now)
	svc.recordOffer(r, now)
	if d.Admitted {
		svc.recordAdmission(r, now)
	}
	return d
}

// Preview returns the decision that Admit would make, and records nothing.
func (c *Controller) Preview(r Request, e Estimate) Decision {
	if !e.Known {
		return Decision{Admitted: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	svc, ok := c.services.Peek(r.Service)
	if !ok {
		svc = newService()
	}
	return c.decide(svc, r, e, c.clock.Now())
}

// decide returns the decision on a request. It changes nothing.
func (c *Controller) decide(svc *service, r Request, e Estimate, now waxfleet.Millis) Decision {
	var d Decision
	if r.Objective > 0 {
		d.Pressure = float64(e.FirstEvent) / float64(r.Objective)
	}
	trusted := !e.Stale && now-c.startedAt >= warmupDuration
	switch {
	case trusted && svc.lowerBound(e.OwnPrompt) > r.Remaining:
		d.Reason = ReasonOwnPrompt
	case e.FreeSlot:
		// Rejecting would leave the slot idle.
	case trusted && svc.lowerBound(e.FirstEvent) > r.Remaining:
		d.Reason = ReasonDeadline
	default:
		// Without a wait, the request is late by itself, and rejecting others gains nothing.
		d.Short = d.Pressure > svc.shortageStart(r, now) && e.FirstEvent > e.OwnPrompt
		if d.Short {
			d.Reason = svc.shortageReason(&d, r, e, now)
		}
		if !trusted {
			d.Reason = ReasonNone
		}
	}
	d.Admitted = d.Reason == ReasonNone
	if !d.Admitted {
		d.RetryAfter = retryAfter(r, e)
	}
	return d
}

// Observe records the time to the first event that was predicted for an admitted request, and
// the time that it took.
func (c *Controller) Observe(serviceName string, predicted, took waxfleet.Millis) {
	if predicted < minObserved {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	svc, ok := c.services.Peek(serviceName)
	if !ok {
		return
	}
	excess := max(0, 1-float64(max(took, 0))/float64(predicted))
	svc.excess += errorWeight * (excess - svc.excess)
}

// ServiceShares describes how the capacity of a service is divided.
type ServiceShares struct {
	Service string
	// Workspaces is the number of workspaces with requests lately.
	Workspaces int
	// Largest holds the parts that the workspaces with the highest usage have of what was
	// admitted, in descending order: at most MaxLargest.
	Largest []float64
}

// Shares returns how the capacity of each service is divided.
func (c *Controller) Shares() []ServiceShares {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ServiceShares
	for _, name := range c.services.Keys() {
		svc, _ := c.services.Peek(name)
		out = append(out, svc.shares(name, now))
	}
	return out
}
