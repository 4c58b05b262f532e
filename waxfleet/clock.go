package waxfleet

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time on a Clock, or a duration, in milliseconds.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MillisOf converts d to milliseconds, truncating toward zero.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock is a monotonic clock. The system clock includes the time that the
// machine is suspended, because leases held by other instances expire
// meanwhile. A manual clock, for tests, moves only when Advance is called. A
// Clock is safe for concurrent use.
type Clock struct {
	manual bool

	mu  sync.Mutex
	now Millis
	// wallStep is what StepWall has added to the wall-clock time.
	wallStep Millis
	timers   []manualTimer
}

type manualTimer struct {
	at Millis
	ch chan struct{}
}

// NewClock returns the system clock.
func NewClock() *Clock { return &Clock{} }

// NewManualClock returns a clock that stays at start until Advance is called.
func NewManualClock(start Millis) *Clock { return &Clock{manual: true, now: start} }

// Now returns the current time. Its epoch is unspecified; only differences are
// meaningful.
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

// Wall returns the wall-clock time since the Unix epoch, or the time of a
// manual clock. It is for records and identifiers only: leases need the
// monotonic time of Now.
func (c *Clock) Wall() Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		return c.now + c.wallStep
	}
	return Millis(time.Now().UnixMilli()) + c.wallStep
}

// StepWall adds d to the wall-clock time and leaves the monotonic time as it
// is, for tests: the wall clock of a machine may jump while a process runs.
func (c *Clock) StepWall(d Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallStep += d
}

// Advance moves a manual clock forward by d and fires the timers that expire.
func (c *Clock) Advance(d Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
	pending := c.timers[:0]
	for _, t := range c.timers {
		if t.at <= c.now {
			close(t.ch)
			continue
		}
		pending = append(pending, t)
	}
	c.timers = pending
}

// Sleep waits for d. It returns early with the error of ctx when ctx is done.
func (c *Clock) Sleep(ctx context.Context, d Millis) error {
	if !c.manual {
		t := time.NewTimer(d.Duration())
		defer t.Stop()
		select {
		case <-t.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-c.after(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// after returns a channel that is closed when a manual clock has advanced by d.
func (c *Clock) after(d Millis) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	if d <= 0 {
		close(ch)
		return ch
	}
	c.timers = append(c.timers, manualTimer{at: c.now + d, ch: ch})
	return ch
}
