package waxengine

import (
	"bytes"
	"container/heap"
	"context"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// resumeTime is the time that a stream can be resumed after a cut.
	resumeTime waxfleet.Millis = 30_000

	// abandonTime is the time after which a stream without a reader is
	// cancelled.
	abandonTime waxfleet.Millis = 2_000

	// sweepInterval is the time between two searches for streams that can no
	// longer be resumed.
	sweepInterval waxfleet.Millis = 1_000
)

type runState int

const (
	runActive runState = iota
	runDone
	runCancelled
	runDied
)

// run is one request in the engine.
type run struct {
	id          string
	attempt     string
	body        []byte
	request     chatRequest
	prompt      prompt
	incarnation string
	arrival     uint64
	ctx         context.Context
	cancel      context.CancelFunc
	slot        chan struct{}
	// borne marks a run from before the engine turned cold; the cold window
	// does not count it. Guarded by the engine's mutex, as are the cached tokens.
	borne        bool
	cachedTokens int

	mu       sync.Mutex
	produced int
	state    runState
	changed  chan struct{}
	readers  int
	detached waxfleet.Millis
	detaches int
}

// progress is the state of a run at one moment; changed closes with the next.
type progress struct {
	produced int
	state    runState
	changed  <-chan struct{}
}

func (r *run) progress() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return progress{produced: r.produced, state: r.state, changed: r.changed}
}

func (r *run) produce(total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if total > r.produced {
		r.produced = total
		r.wakeLocked()
	}
}

// stop ends the run, unless it has ended already.
func (r *run) stop(state runState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != runActive {
		return
	}
	r.state = state
	r.wakeLocked()
	r.cancel()
}

func (r *run) wakeLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// detach counts off a reader. It returns the number of detaches when the run is
// active without a reader now, and 0 otherwise.
func (r *run) detach(now waxfleet.Millis) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.detached = now
	r.detaches++
	if r.readers > 0 || r.state != runActive {
		return 0
	}
	return r.detaches
}

func (r *run) abandoned(detaches int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && r.detaches == detaches
}

func (r *run) expired(now waxfleet.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && r.state != runActive && now-r.detached >= resumeTime
}

// runQueue orders waiting runs by priority, then by arrival.
type runQueue []*run

func (q runQueue) Len() int { return len(q) }
func (q runQueue) Less(i, j int) bool {
	if q[i].request.Priority != q[j].request.Priority {
		return q[i].request.Priority < q[j].request.Priority
	}
	return q[i].arrival < q[j].arrival
}
func (q runQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *runQueue) Push(x any) { *q = append(*q, x.(*run)) }

// Pop implements heap.Interface.
func (q *runQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	*q = (*q)[:last]
	return r
}

type refusal string

const (
	refusalFallen  refusal = "the engine is starting"
	refusalRefuses refusal = "the engine takes no work"
)

// start takes a request into the engine, with one reader attached. An empty
// refusal means that the run has started; it may have ended again by making a
// cold engine fall over.
func (e *Engine) start(r *run) refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweepLocked()
	e.warmUpLocked()
	if e.life.down || e.clock.Now() < e.fallenUntil {
		return refusalFallen
	}
	if e.faults.Refuse {
		return refusalRefuses
	}
	e.arrivals++
	r.arrival = e.arrivals
	r.incarnation = e.life.incarnation
	r.ctx, r.cancel = context.WithCancel(e.life.ctx)
	r.produced = r.prompt.first
	r.readers = 1
	e.inFlight[r] = struct{}{}
	e.runs[r.id] = r
	e.recordLocked(EventStart, r)
	if e.cold && e.coldLoadLocked() > e.opts.ColdWindow {
		e.fallOverLocked()
		return ""
	}
	heap.Push(&e.queue, r)
	e.scheduleLocked()
	e.reportLocked()
	go e.execute(r)
	return ""
}

// coldLoadLocked counts the requests in flight that came since the engine is
// cold.
func (e *Engine) coldLoadLocked() int {
	if !e.cold {
		return 0
	}
	n := 0
	for r := range e.inFlight {
		if !r.borne {
			n++
		}
	}
	return n
}

func (e *Engine) scheduleLocked() {
	for e.running < e.opts.MaxBatch && len(e.queue) > 0 {
		r := heap.Pop(&e.queue).(*run)
		if r.progress().state != runActive {
			continue
		}
		e.running++
		close(r.slot)
	}
}

// execute waits for a place in the batch, computes the prompt and then produces
// tokens at their times.
func (e *Engine) execute(r *run) {
	select {
	case <-r.slot:
	case <-r.ctx.Done():
		e.finish(r)
		return
	}
	if e.poisoned(r) {
		return
	}
	if e.prefill(r) == nil {
		e.decode(r)
	}
	e.finish(r)
}

func (e *Engine) poisoned(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	marker := e.faults.PoisonMarker
	if marker == "" || !bytes.Contains(r.body, []byte(marker)) || r.progress().state != runActive {
		return false
	}
	e.crashLocked()
	return true
}

func (e *Engine) prefill(r *run) error {
	e.mu.Lock()
	r.cachedTokens = min(e.cache.match(r.prompt.blocks), r.prompt.tokens)
	uncached := r.prompt.tokens - r.cachedTokens
	e.mu.Unlock()
	wait := waxfleet.Millis(float64(uncached) / e.opts.PrefillTokensPerSecond * 1000)
	if err := e.clock.Sleep(r.ctx, wait); err != nil {
		return err
	}
	if _, err := e.freezer.Wait(r.ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.incarnation == e.life.incarnation {
		e.cache.insert(r.request.Chat, r.prompt.blocks)
	}
	return nil
}

// decode produces the first token at once and each next one an interval later.
// A late wake-up produces all tokens that are due.
func (e *Engine) decode(r *run) {
	base := e.clock.Now()
	from := r.prompt.first
	for {
		due := from + 1 + int((e.clock.Now()-base)/e.opts.TokenInterval)
		r.produce(min(due, r.prompt.total))
		if due >= r.prompt.total {
			return
		}
		next := base + waxfleet.Millis(due-from)*e.opts.TokenInterval
		if e.clock.Sleep(r.ctx, next-e.clock.Now()) != nil {
			return
		}
		waited, err := e.freezer.Wait(r.ctx)
		if err != nil {
			return
		}
		if waited {
			from, base = due, e.clock.Now()
		}
	}
}

// finish ends a run that was not ended by the death of its incarnation.
func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := runCancelled
	whole := r.progress().produced == r.prompt.total && r.ctx.Err() == nil
	if whole {
		state = runDone
	}
	r.stop(state)
	if _, ok := e.inFlight[r]; !ok {
		return
	}
	delete(e.inFlight, r)
	e.recordLocked(EventEnd, r)
	select {
	case <-r.slot:
		e.running--
	default:
	}
	if whole && e.cold {
		e.coldDone++
		e.warmUpLocked()
	}
	e.scheduleLocked()
	e.reportLocked()
}

// leave ends the interest of a reader. A stream without readers is cancelled
// after abandonTime, and any other request at once.
func (e *Engine) leave(r *run) {
	detaches := r.detach(e.clock.Now())
	if detaches == 0 {
		return
	}
	if !r.request.Stream {
		r.cancel()
		return
	}
	go func() {
		if e.clock.Sleep(r.ctx, abandonTime) == nil && r.abandoned(detaches) {
			r.cancel()
		}
	}()
}

// resume finds a stream that can be resumed and attaches a reader.
func (e *Engine) resume(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	if !ok || !r.request.Stream || r.expired(e.clock.Now()) || r.progress().state == runCancelled {
		return nil
	}
	r.attach()
	return r
}

func (e *Engine) sweepLocked() {
	now := e.clock.Now()
	if now-e.swept < sweepInterval {
		return
	}
	e.swept = now
	for id, r := range e.runs {
		if r.expired(now) {
			delete(e.runs, id)
		}
	}
}
