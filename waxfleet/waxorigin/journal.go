package waxorigin

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// JournalSegments is the number of segments of a journal, and segmentPeriod the time for
	// which one of them gets the new origins. An origin that lives longer than all periods
	// together is carried over.
	JournalSegments                 = 16
	segmentPeriod   waxfleet.Millis = 1_000
	// maxLifetime bounds the remaining time of an origin that was read from a segment, whose
	// writer may have another clock.
	maxLifetime waxfleet.Millis = 600_000
	// wallTolerance is how long an origin that was read from the store is kept after its stored
	// expiry, a Unix time: the wall clock of the writer may have been 7 s behind, and that of
	// the reader may be 7 s ahead. An origin that is kept too long does no harm.
	wallTolerance waxfleet.Millis = 15_000
)

// segment holds the origins that are stored as one text.
type segment struct {
	// period is the number of the period in which it got origins last.
	period  int64
	origins map[uint64]Origin
	// dirty is true if the stored text is not up to date.
	dirty bool
}

// Journal holds the origins that this instance keeps in the store, so that they outlast all
// instances. They are divided into segments, so that a write holds new origins, and few of
// before. It is safe for concurrent use.
type Journal struct {
	clock *waxfleet.Clock

	mu       sync.Mutex
	segments [JournalSegments]segment
}

// NewJournal returns an empty journal.
func NewJournal(clock *waxfleet.Clock) *Journal { return &Journal{clock: clock} }

// Add adds origins to the segment of the current period.
func (j *Journal) Add(origins ...Origin) {
	j.mu.Lock()
	defer j.mu.Unlock()
	period := int64(j.clock.Now() / segmentPeriod)
	s := &j.segments[period%JournalSegments]
	if s.period != period {
		s.period = period
		j.dropExpired(s)
	}
	for _, o := range origins {
		if len(s.origins) < maxStreams {
			s.add(o)
			s.dirty = true
		}
	}
}

// add adds an origin to the segment.
func (s *segment) add(o Origin) {
	if s.origins == nil {
		s.origins = map[uint64]Origin{}
	}
	s.origins[o.stream] = o
}

// dropExpired drops the expired origins of a segment. The caller holds the lock.
func (j *Journal) dropExpired(s *segment) {
	now := j.clock.Now()
	maps.DeleteFunc(s.origins, func(_ uint64, o Origin) bool { return now >= o.KeptUntil() })
}

// Dirty reports whether a segment has to be written.
func (j *Journal) Dirty() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.segments {
		if s.dirty {
			return true
		}
	}
	return false
}

// Next returns the number and the text of a segment that has to be written, and marks it as
// written. It reports false if there is none.
func (j *Journal) Next() (number int, text string, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.segments {
		s := &j.segments[i]
		if s.dirty {
			s.dirty = false
			return i, encodeOrigins(slices.Collect(maps.Values(s.origins)), j.clock), true
		}
	}
	return 0, "", false
}

// WriteFailed marks a segment as not written.
func (j *Journal) WriteFailed(number int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.segments[number].dirty = true
}

// Restore adds the origins of a segment that an earlier process of this instance wrote, so
// that the next write of the segment keeps them.
func (j *Journal) Restore(number int, origins []Origin) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, o := range origins {
		j.segments[number].add(o)
	}
}

// encodedOrigins holds the origins of a service at a version, each as the hash of the stream
// and the Unix time in ms at which it expires, "hash@expiry" in hexadecimal.
type encodedOrigins struct {
	Service string   `json:"service"`
	Version string   `json:"version"`
	Streams []string `json:"streams"`
}

// encodeOrigins returns origins as text that outlasts the process. An origin that was read from
// the store keeps its stored expiry, so that writing it again after each start of an instance
// does not prolong it.
func encodeOrigins(origins []Origin, clock *waxfleet.Clock) string {
	slices.SortFunc(origins, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.version, b.version), cmp.Compare(a.stream, b.stream))
	})
	var groups []encodedOrigins
	now, wall := clock.Now(), clock.Wall()
	for _, o := range origins {
		last := len(groups) - 1
		if last < 0 || groups[last].Service != o.service || groups[last].Version != o.version {
			groups = append(groups, encodedOrigins{Service: o.service, Version: o.version})
			last++
		}
		expiry := o.storedExpiry
		if expiry == 0 {
			expiry = wall + o.expiresAt - now
		}
		groups[last].Streams = append(groups[last].Streams,
			strconv.FormatUint(o.stream, 16)+"@"+strconv.FormatInt(int64(expiry), 16))
	}
	text, err := json.Marshal(groups)
	if err != nil {
		return "[]" // unreachable: the type always marshals
	}
	return string(text)
}

// DecodeOrigins returns the origins of the text of a segment that expired less than
// wallTolerance ago, or not yet. Parts that it can't read, such as those of a later version of this program, are left out.
func DecodeOrigins(text string, clock *waxfleet.Clock) ([]Origin, error) {
	var groups []encodedOrigins
	if err := json.Unmarshal([]byte(text), &groups); err != nil {
		return nil, err
	}
	var origins []Origin
	now, wall := clock.Now(), clock.Wall()
	for _, g := range groups {
		for _, field := range g.Streams {
			hash, expiry, _ := strings.Cut(field, "@")
			stream, err := strconv.ParseUint(hash, 16, 64)
			expiresAt, perr := strconv.ParseInt(expiry, 16, 64)
			remaining := min(waxfleet.Millis(expiresAt)-wall, maxLifetime)
			if err != nil || perr != nil || remaining <= -wallTolerance {
				continue
			}
			o := NewOrigin(stream, g.Service, g.Version, now+remaining)
			o.grace, o.storedExpiry = wallTolerance, wall+remaining
			origins = append(origins, o)
		}
	}
	return origins, nil
}
