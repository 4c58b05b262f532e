package waxfleet

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a time on a Clock, or a span of time, in milliseconds.
type Millis int64

// Duration converts m for use with the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MillisOf converts a standard duration, rounding down.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock is a monotonic clock in milliseconds. The system clock counts the time
// that the machine spent suspended, because leases of other instances lapse
// meanwhile. A manual clock moves only when it is advanced.
type Clock struct {
	manual bool

	mu     sync.Mutex
	now    Millis
	timers []manualTimer
}

type manualTimer struct {
	at Millis
	ch chan struct{}
}

// NewClock returns the system's clock.
func NewClock() *Clock { return &Clock{} }

// NewManualClock returns a clock that stands at start until Advance is called.
func NewManualClock(start Millis) *Clock { return &Clock{manual: true, now: start} }

// Now returns the current time. Only differences have a meaning.
func (c *Clock) Now() Millis {
	if c.manual {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.now
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Millis(time.Now().UnixMilli())
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}

// Wall returns the time of day in milliseconds since the Unix epoch. It is for
// records and identifiers, never for leases.
func (c *Clock) Wall() Millis {
	if c.manual {
		return c.Now()
	}
	return Millis(time.Now().UnixMilli())
}

// Advance moves a manual clock and fires the timers that come due.
func (c *Clock) Advance(m Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += m
	kept := c.timers[:0]
	for _, t := range c.timers {
		if t.at <= c.now {
			close(t.ch)
			continue
		}
		kept = append(kept, t)
	}
	c.timers = kept
}

// Sleep waits for m, or until ctx ends and then returns its error.
func (c *Clock) Sleep(ctx context.Context, m Millis) error {
	if !c.manual {
		t := time.NewTimer(m.Duration())
		defer t.Stop()
		select {
		case <-t.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-c.after(m):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Clock) after(m Millis) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	if m <= 0 {
		close(ch)
		return ch
	}
	c.timers = append(c.timers, manualTimer{at: c.now + m, ch: ch})
	return ch
}
