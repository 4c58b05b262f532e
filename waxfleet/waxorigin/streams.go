// Package waxorigin knows at which software version of its service a stream began, and
// which versions may have begun one that is unknown. What two versions write doesn't fit
// together, so a stream goes on only at the version that began it. It does no I/O.
package waxorigin

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

// maxStreams bounds the origins that are kept. Beyond it, new ones are dropped.
const maxStreams = 50_000

// StreamHash returns the hash that stands for a stream, which is identified by the attempt
// that brought its first event.
func StreamHash(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// Origin is the beginning of a stream.
type Origin struct {
	stream    uint64
	service   string
	version   string
	expiresAt waxfleet.Millis
	// grace is how long the origin is kept after expiresAt, and storedExpiry the Unix time at
	// which it expires as stored. Both are 0 for an origin that was not read from the store.
	grace, storedExpiry waxfleet.Millis
}

// NewOrigin returns the origin of a stream. After expiresAt, the caller no longer takes the
// stream up.
func NewOrigin(stream uint64, service, version string, expiresAt waxfleet.Millis) Origin {
	return Origin{stream: stream, service: service, version: version, expiresAt: expiresAt}
}

// Stream returns the hash of the stream.
func (o Origin) Stream() uint64 { return o.stream }

// Service returns the service that began the stream.
func (o Origin) Service() string { return o.service }

// Version returns the software version that began the stream.
func (o Origin) Version() string { return o.version }

// ExpiresAt returns the time after which the caller no longer takes the stream up. For an
// origin that was read from the store, it is as wrong as the wall clocks of the writer and of
// this instance are.
func (o Origin) ExpiresAt() waxfleet.Millis { return o.expiresAt }

// KeptUntil returns the time up to which the origin is kept: ExpiresAt, and wallTolerance more
// if it was read from the store.
func (o Origin) KeptUntil() waxfleet.Millis { return o.expiresAt + o.grace }

// Streams holds the origins of streams that began at this instance, or of which others
// have told it. It is safe for concurrent use.
type Streams struct {
	clock *waxfleet.Clock

	mu      sync.Mutex
	origins map[uint64]Origin
}

// NewStreams returns an empty Streams.
func NewStreams(clock *waxfleet.Clock) *Streams {
	return &Streams{clock: clock, origins: map[uint64]Origin{}}
}

// Record records an origin. The first one of a stream stays.
func (s *Streams) Record(o Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.origins[o.stream]; ok {
		if o.KeptUntil() > known.KeptUntil() {
			known.expiresAt, known.grace, known.storedExpiry = o.expiresAt, o.grace, o.storedExpiry
			s.origins[o.stream] = known
		}
		return
	}
	if len(s.origins) < maxStreams {
		s.origins[o.stream] = o
	}
}

// Origin returns the origin of a stream.
func (s *Streams) Origin(stream uint64) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.origins[stream]
	return o, ok && s.clock.Now() < o.KeptUntil()
}

// Of returns the origins of the streams of a service.
func (s *Streams) Of(service string) []Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Origin
	for _, o := range s.origins {
		if o.service == service && s.clock.Now() < o.KeptUntil() {
			out = append(out, o)
		}
	}
	return out
}

// Prune drops expired origins.
func (s *Streams) Prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for stream, o := range s.origins {
		if now >= o.KeptUntil() {
			delete(s.origins, stream)
		}
	}
}
