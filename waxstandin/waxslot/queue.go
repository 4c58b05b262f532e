// Package waxslot holds the slots of fakes of backend servers, and the requests that wait for
// one.
package waxslot

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Queue holds the requests that run at a backend server and those that wait for a slot. The
// zero value has no limit.
type Queue struct {
	mu sync.Mutex
	// slots is the number of requests that may run at once; 0 for no limit.
	slots       int
	pacePercent float64
	running     int
	waiting     []*waiter
	// reading is held while an engine reads a prompt.
	reading sync.Mutex
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	// started is closed when the request has got a slot.
	started chan struct{}
}

// Set limits the requests that run at once, and sets the pace of work in percent; 0 for none.
func (q *Queue) Set(slots int, pacePercent float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots, q.pacePercent = slots, pacePercent
}

// State sets a field of a header to the requests that run and wait, the slots and the pace,
// separated by commas, if there is a limit.
func (q *Queue) State(h http.Header, field string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.slots == 0 {
		return
	}
	text := fmt.Sprintf("%d,%d,%d", q.running, len(q.waiting), q.slots)
	if q.pacePercent > 0 {
		text += fmt.Sprintf(",%g", q.pacePercent)
	}
	h.Set(field, text)
}

// Scale returns the time that work takes at the current pace.
func (q *Queue) Scale(d time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.slots == 0 || q.pacePercent == 0 {
		return d
	}
	return time.Duration(float64(d) * q.pacePercent / 100)
}

// Process calls work. Prompts are processed one after the other while there is a limit, as
// engines read them.
func (q *Queue) Process(prompt bool, work func() bool) bool {
	if prompt && q.limited() {
		q.reading.Lock()
		defer q.reading.Unlock()
	}
	return work()
}

func (q *Queue) limited() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots > 0
}

// Begin waits for a slot. Lower priority numbers go first; a priority that is no number counts
// as the lowest. It returns false if ctx is done first.
func (q *Queue) Begin(ctx context.Context, priority string) bool {
	n, err := strconv.Atoi(priority)
	if err != nil {
		n = math.MaxInt
	}
	w := q.enter(n)
	if w == nil {
		return true
	}
	select {
	case <-w.started:
		return true
	case <-ctx.Done():
		q.leave(w)
		return false
	}
}

// enter gives a request a slot, or returns the waiter that it becomes.
func (q *Queue) enter(priority int) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.slots == 0 || q.running < q.slots {
		q.running++
		return nil
	}
	w := &waiter{priority: priority, started: make(chan struct{})}
	i := len(q.waiting)
	for i > 0 && q.waiting[i-1].priority > priority {
		i--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = w
	return w
}

// leave removes a waiter that gives up, or frees the slot that it got meanwhile.
func (q *Queue) leave(w *waiter) {
	q.mu.Lock()
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.mu.Unlock()
			return
		}
	}
	q.mu.Unlock()
	q.End()
}

// End frees the slot of a request.
func (q *Queue) End() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if len(q.waiting) > 0 && (q.slots == 0 || q.running < q.slots) {
		q.running++
		close(q.waiting[0].started)
		q.waiting = q.waiting[1:]
	}
}
