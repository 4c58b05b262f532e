package waxengine

import (
	"bytes"
	"container/heap"
	"context"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// resumeWindow is how long a stream that has ended can be resumed after its last
	// reader disconnected.
	resumeWindow waxfleet.Millis = 30_000

	// abandonTimeout is how long a stream runs without a reader before it is cancelled.
	abandonTimeout waxfleet.Millis = 2_000

	// sweepInterval is the minimum time between two sweeps of expired runs.
	sweepInterval waxfleet.Millis = 1_000
)

type runState int

const (
	runRunning runState = iota
	runDone
	runCancelled
	runAborted
)

// run is the execution of one request.
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
	started     chan struct{}
	// beforeCold is true if the run arrived before the engine became cold. ColdWindow does
	// not limit such runs. The mutex of the engine guards beforeCold and cachedTokens.
	beforeCold   bool
	cachedTokens int

	mu         sync.Mutex
	produced   int
	state      runState
	changed    chan struct{}
	readers    int
	lastDetach waxfleet.Millis
	detaches   int
}

// progress is a snapshot of a run. changed is closed when the run changes.
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

// produce sets the number of generated tokens, unless it would decrease.
func (r *run) produce(total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if total > r.produced {
		r.produced = total
		r.notifyLocked()
	}
}

// end ends the run unless it has already ended.
func (r *run) end(state runState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != runRunning {
		return
	}
	r.state = state
	r.notifyLocked()
	r.cancel()
}

func (r *run) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// detach removes a reader. If the run has not ended and has no reader left, detach
// returns the number of detaches so far, for abandoned; otherwise it returns 0.
func (r *run) detach(now waxfleet.Millis) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.lastDetach = now
	r.detaches++
	if r.readers > 0 || r.state != runRunning {
		return 0
	}
	return r.detaches
}

// abandoned reports whether the run has had no reader since the detach with this number.
func (r *run) abandoned(detaches int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && r.detaches == detaches
}

// expired reports whether the run has ended and can no longer be resumed.
func (r *run) expired(now waxfleet.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && r.state != runRunning && now-r.lastDetach >= resumeWindow
}

// runQueue is a heap of queued runs, ordered by priority, then by arrival.
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

type rejection string

const (
	rejectionStarting rejection = "engine is starting"
	rejectionByFault  rejection = "engine rejects new requests"
)

// admit starts a run with one reader attached, or returns the reason why it is rejected.
// A run that was started may already have ended, if it overloaded a cold engine.
func (e *Engine) admit(r *run) rejection {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweepLocked()
	e.updateColdLocked()
	if e.process.down || e.clock.Now() < e.unavailableUntil {
		return rejectionStarting
	}
	if e.faults.RejectRequests {
		return rejectionByFault
	}
	e.lastArrival++
	r.arrival = e.lastArrival
	r.incarnation = e.process.incarnation
	r.ctx, r.cancel = context.WithCancel(e.process.ctx)
	r.produced = r.prompt.firstToken
	r.readers = 1
	e.inFlight[r] = struct{}{}
	e.runsByID[r.id] = r
	e.recordLocked(EventStart, r)
	if e.cold && e.coldLoadLocked() > e.opts.ColdWindow {
		e.overloadLocked()
		return ""
	}
	heap.Push(&e.queue, r)
	e.scheduleLocked()
	e.recordLoadLocked()
	go e.runToEnd(r)
	return ""
}

// coldLoadLocked returns the number of requests in flight that arrived after the engine
// became cold.
func (e *Engine) coldLoadLocked() int {
	if !e.cold {
		return 0
	}
	n := 0
	for r := range e.inFlight {
		if !r.beforeCold {
			n++
		}
	}
	return n
}

// scheduleLocked starts queued runs while the batch has free slots.
func (e *Engine) scheduleLocked() {
	for e.running < e.opts.MaxBatch && len(e.queue) > 0 {
		r := heap.Pop(&e.queue).(*run)
		if r.progress().state != runRunning {
			continue
		}
		e.running++
		close(r.started)
	}
}

// runToEnd waits for a slot in the batch, computes the prompt and then generates the
// tokens.
func (e *Engine) runToEnd(r *run) {
	select {
	case <-r.started:
	case <-r.ctx.Done():
		e.finish(r)
		return
	}
	if e.crashIfPoisoned(r) {
		return
	}
	if e.prefill(r) == nil {
		e.decode(r)
	}
	e.finish(r)
}

// crashIfPoisoned crashes the engine if the request has the poison marker, and reports
// whether it did.
func (e *Engine) crashIfPoisoned(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	marker := e.faults.PoisonMarker
	if marker == "" || !bytes.Contains(r.body, []byte(marker)) || r.progress().state != runRunning {
		return false
	}
	e.crashLocked()
	return true
}

// prefill waits for the time that the uncached part of the prompt takes, and caches the
// prompt. It returns an error if the run was cancelled.
func (e *Engine) prefill(r *run) error {
	e.mu.Lock()
	r.cachedTokens = min(e.cache.cachedTokens(r.prompt.blocks), r.prompt.tokens)
	uncached := r.prompt.tokens - r.cachedTokens
	e.mu.Unlock()
	wait := waxfleet.Millis(float64(uncached) / e.opts.PrefillTokensPerSecond * 1000)
	if err := e.clock.Sleep(r.ctx, wait); err != nil {
		return err
	}
	if _, err := e.freezeGate.Wait(r.ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.incarnation == e.process.incarnation {
		e.cache.insert(r.request.Chat, r.prompt.blocks)
	}
	return nil
}

// decode generates the first token at once and another one after each TokenInterval. If
// it wakes up late, it generates all tokens that are due.
func (e *Engine) decode(r *run) {
	base := e.clock.Now()
	from := r.prompt.firstToken
	for {
		due := from + 1 + int((e.clock.Now()-base)/e.opts.TokenInterval)
		r.produce(min(due, r.prompt.endToken))
		if due >= r.prompt.endToken {
			return
		}
		next := base + waxfleet.Millis(due-from)*e.opts.TokenInterval
		if e.clock.Sleep(r.ctx, next-e.clock.Now()) != nil {
			return
		}
		waited, err := e.freezeGate.Wait(r.ctx)
		if err != nil {
			return
		}
		if waited {
			from, base = due, e.clock.Now()
		}
	}
}

// finish ends a run and frees its slot. A run that ended with its incarnation has no slot
// any more.
func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := runCancelled
	complete := r.progress().produced == r.prompt.endToken && r.ctx.Err() == nil
	if complete {
		state = runDone
	}
	r.end(state)
	if _, ok := e.inFlight[r]; !ok {
		return
	}
	delete(e.inFlight, r)
	e.recordLocked(EventEnd, r)
	select {
	case <-r.started:
		e.running--
	default:
	}
	if complete && e.cold {
		e.completedWhileCold++
		e.updateColdLocked()
	}
	e.scheduleLocked()
	e.recordLoadLocked()
}

// detach removes a reader from a run. A stream without readers is cancelled after
// abandonTimeout, any other run at once.
func (e *Engine) detach(r *run) {
	detaches := r.detach(e.clock.Now())
	if detaches == 0 {
		return
	}
	if !r.request.Stream {
		r.cancel()
		return
	}
	go func() {
		if e.clock.Sleep(r.ctx, abandonTimeout) == nil && r.abandoned(detaches) {
			r.cancel()
		}
	}()
}

// attachStream attaches a reader to a stream. It returns nil if the stream can't be
// resumed.
func (e *Engine) attachStream(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runsByID[id]
	if !ok || !r.request.Stream || r.expired(e.clock.Now()) || r.progress().state == runCancelled {
		return nil
	}
	r.attach()
	return r
}

// sweepLocked removes expired runs, at most once per sweepInterval.
func (e *Engine) sweepLocked() {
	now := e.clock.Now()
	if now-e.lastSweep < sweepInterval {
		return
	}
	e.lastSweep = now
	for id, r := range e.runsByID {
		if r.expired(now) {
			delete(e.runsByID, id)
		}
	}
}
