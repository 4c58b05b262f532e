package waxorigin

import (
	"context"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// ResendInterval is the time after which an origin that was not confirmed is handed over
	// again: datagrams may be lost.
	ResendInterval waxfleet.Millis = 40
	// maxPendingAge is the age up to which an origin is handed over again.
	maxPendingAge waxfleet.Millis = 2_000
	// skipWaits is the time for which nobody waits after a wait was in vain, as while the
	// store is away.
	skipWaits waxfleet.Millis = 1_000
)

// Pending holds the origins of streams of this instance until they are in the store. It is
// safe for concurrent use.
type Pending struct {
	clock *waxfleet.Clock
	// added signals that an origin was added.
	added chan struct{}

	mu      sync.Mutex
	origins map[uint64]*pendingOrigin
	// skipUntil is the time until which Wait does not wait.
	skipUntil waxfleet.Millis
}

// pendingOrigin is an origin that is not confirmed to be in the store.
type pendingOrigin struct {
	origin  Origin
	addedAt waxfleet.Millis
	// dueAt is the time at which the origin is handed over next.
	dueAt waxfleet.Millis
	// done is closed when the origin is confirmed, or no longer handed over.
	done      chan struct{}
	confirmed bool
}

// NewPending returns an empty Pending.
func NewPending(clock *waxfleet.Clock) *Pending {
	return &Pending{clock: clock, added: make(chan struct{}, 1), origins: map[uint64]*pendingOrigin{}}
}

// Added receives a value after origins were added.
func (p *Pending) Added() <-chan struct{} { return p.added }

// Add adds origins of streams that are under way.
func (p *Pending) Add(origins ...Origin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, origin := range origins {
		if _, known := p.origins[origin.stream]; !known && len(p.origins) < maxStreams {
			p.origins[origin.stream] = &pendingOrigin{origin: origin, addedAt: now, dueAt: now, done: make(chan struct{})}
		}
	}
	select {
	case p.added <- struct{}{}:
	default:
	}
}

// Due returns the origins that are to be handed over now to the instance that writes them,
// and whether others are waiting to be confirmed or handed over again.
func (p *Pending) Due() (due []Origin, waiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for stream, o := range p.origins {
		switch {
		case now-o.addedAt >= maxPendingAge || now >= o.origin.expiresAt:
			p.end(stream, false)
		case now >= o.dueAt:
			o.dueAt = now + ResendInterval
			due = append(due, o.origin)
		}
	}
	return due, len(p.origins) > 0
}

// Confirm states that the origins of the streams are in the store.
func (p *Pending) Confirm(streams ...uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stream := range streams {
		p.end(stream, true)
	}
}

// Remove removes a stream whose caller got all of it.
func (p *Pending) Remove(stream uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(stream, false)
}

// end ends the handing over of an origin. The caller holds the lock.
func (p *Pending) end(stream uint64, confirmed bool) {
	o, ok := p.origins[stream]
	if !ok {
		return
	}
	o.confirmed = confirmed
	close(o.done)
	delete(p.origins, stream)
}

// Wait waits until the origin of a stream is in the store, until ctx ends or for timeout,
// and reports whether it is. It does not wait shortly after another wait was in vain.
func (p *Pending) Wait(ctx context.Context, stream uint64, timeout waxfleet.Millis) bool {
	p.mu.Lock()
	o, ok := p.origins[stream]
	skip := p.clock.Now() < p.skipUntil
	p.mu.Unlock()
	if !ok || skip {
		return !ok
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	select {
	case <-o.done:
	case <-timeoutCtx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !o.confirmed && ctx.Err() == nil {
		p.skipUntil = p.clock.Now() + skipWaits
	}
	return o.confirmed
}
