package waxrollout

import "sync"

// reserve is the part of the exposure bound that is used. The rest covers requests that are
// under way, and counts that are lost when an instance ends.
const reserve = 0.8

// Bounds are the limits of a deployment on rollouts.
type Bounds struct {
	// ExposureRatio and ExposureSlack limit the requests at a new version before it is
	// proved: ExposureRatio x the requests of the service since the order + ExposureSlack.
	ExposureRatio float64
	ExposureSlack float64
}

// Exist reports whether the deployment uses rollouts.
func (b Bounds) Exist() bool { return b.ExposureRatio > 0 }

// ProbingShare returns the share of requests that a new version gets at first.
func (b Bounds) ProbingShare() float64 { return b.ExposureRatio / 2 }

// Allowed returns the number of requests that the new version may have got when the service
// has got a number of requests since the order.
func (b Bounds) Allowed(requests uint64) float64 {
	return reserve * (b.ExposureRatio*float64(requests) + b.ExposureSlack)
}

// Budget is the own part of an instance of the exposure bound. The parts of all instances sum
// up to less than the bound whatever each instance believes about the others. It is safe for
// concurrent use.
type Budget struct {
	bounds Bounds
	slack  float64

	mu       sync.Mutex
	requests uint64
	exposed  uint64
}

// NewBudget returns the budget of an instance for an order. instances is the number of
// instances when the order was first seen. sinceOrder is false for an instance that started
// after the order: the one before it may have used the slack, so it has none.
func NewBudget(bounds Bounds, instances int, sinceOrder bool) *Budget {
	b := &Budget{bounds: bounds}
	if sinceOrder {
		b.slack = bounds.ExposureSlack / float64(max(instances, 1))
	}
	return b
}

// Count counts a request that has reached the service at this instance.
func (b *Budget) Count() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
}

// Take reports whether the budget allows one more request at the new version, and counts it.
// enforce is false where the bound does not apply (Split.Enforced); the request is then
// counted and allowed.
func (b *Budget) Take(enforce bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if enforce && float64(b.exposed+1) > reserve*(b.bounds.ExposureRatio*float64(b.requests)+b.slack) {
		return false
	}
	b.exposed++
	return true
}

// Return gives a request back that was not sent to the new version after all.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.exposed > 0 {
		b.exposed--
	}
}

// Figures returns the requests of the service at this instance and those that it has sent to
// the new version.
func (b *Budget) Figures() (requests, exposed uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.exposed
}
