package waxclaim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"

	"waxwingdrift.org/waxfleet"
)

type operation int

const (
	opBegin operation = iota
	opFinish
	opRelease
)

// input and output describe one operation on a key. attempt is the token of the
// held claim; value is the status of the stored result, unique per execution.
type input struct {
	key     int
	op      operation
	attempt string
	value   int
}

type output struct {
	held  string
	value int
	code  waxfleet.Code
}

type claimState struct {
	state   state
	attempt string
	value   int
}

// stepClaim specifies that a claim is acquired only when it is free, and that a retry
// gets the value of the only execution. A failed operation may have taken effect, except
// for Begin: without a held claim nothing is executed.
func stepClaim(s claimState, in input, out output) []any {
	isHolder := s.state == stateRunning && s.attempt == in.attempt
	switch {
	case in.op == opBegin && out.held != "":
		if s.state == stateRunning || s.state == stateDone {
			return nil
		}
		return []any{claimState{state: stateRunning, attempt: out.held}}
	case in.op == opBegin && out.code == waxfleet.CodeOK:
		if s.state != stateDone || s.value != out.value {
			return nil
		}
		return []any{s}
	case in.op == opBegin:
		return []any{s}
	case !isHolder:
		return nil
	}
	after := claimState{state: stateDone, value: in.value}
	if in.op == opRelease {
		after = claimState{state: stateReleased}
	}
	if out.code != waxfleet.CodeOK {
		return []any{s, after}
	}
	return []any{after}
}

func claimModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[int][]porcupine.Operation)
			for _, o := range history {
				key := o.Input.(input).key
				byKey[key] = append(byKey[key], o)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{claimState{}} },
		Step: func(s, in, out any) []any { return stepClaim(s.(claimState), in.(input), out.(output)) },
	}
	return m.ToModel()
}

// history records operations with logical timestamps.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) record(client int, in input, do func() output) output {
	call := h.clock.Add(1)
	out := do()
	end := h.clock.Add(1)
	if in.op != opBegin && out.code != waxfleet.CodeOK {
		end = math.MaxInt64 // it may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
	return out
}

// worker runs requests in a sequence of processes, each of which may crash.
type worker struct {
	id      int
	store   *memoryStore
	keys    []string
	stopped *sync.Map
	rng     *rand.Rand
	history *history
}

func (w *worker) run(ctx context.Context, requests int) {
	clock := waxfleet.NewManualClock(testNow)
	stopped := func(holder string) bool { _, ok := w.stopped.Load(holder); return ok }
	for request := 0; request < requests; {
		name := fmt.Sprintf("%d-%d", w.id, request)
		processCtx, crash := context.WithCancel(ctx)
		s := New(processCtx, w.store, clock, name, quietLog(), HolderStopped(stopped))
		for alive := true; alive && request < requests; request++ {
			alive = w.request(processCtx, s, request)
		}
		crash()
		w.stopped.Store(name, true)
	}
}

// request runs one request and returns false when the process crashes during it.
func (w *worker) request(processCtx context.Context, s *Store, request int) bool {
	key := w.rng.IntN(len(w.keys))
	// The timeout bounds the duration of the test. A call that it ends has a legal
	// outcome at any speed of the machine.
	ctx, cancel := context.WithTimeout(processCtx, waxfleet.Millis(300).Duration())
	defer cancel()
	out := w.history.record(w.id, input{key: key, op: opBegin}, func() output {
		c, err := s.Begin(ctx, "w", w.keys[key], "digest")
		value, _, _ := c.Result()
		return output{held: c.Token(), value: value, code: waxfleet.CodeOf(err)}
	})
	if out.held == "" {
		return true
	}
	claim := waxfleet.NewHeldClaim(claimName("w", mustParse(w.keys[key])), out.held)
	in := input{key: key, op: opFinish, attempt: out.held, value: w.id*1_000 + request}
	switch w.rng.IntN(4) {
	case 0:
		return false
	case 1:
		in.op = opRelease
		w.history.record(w.id, in, func() output { return output{code: waxfleet.CodeOf(s.Release(ctx, claim))} })
	default:
		w.history.record(w.id, in, func() output {
			return output{code: waxfleet.CodeOf(s.Finish(ctx, claim, in.value, "", nil))}
		})
	}
	return true
}

func mustParse(key string) parsedKey {
	k, err := parseKey(key)
	if err != nil {
		panic(err)
	}
	return k
}

// TestConcurrentHistoryIsAtMostOnce guards against two executions of a key, and
// against a retry that gets a response other than that of the execution, under outages,
// lost and delayed writes and crashes.
func TestConcurrentHistoryIsAtMostOnce(t *testing.T) {
	for seed := range uint64(4) {
		m := newMemoryStore()
		faults := rand.New(rand.NewPCG(seed, 1))
		m.setFault(func(write bool) fault {
			for _, apply := range m.delayed {
				if faults.IntN(3) == 0 {
					apply()
				}
			}
			switch n := faults.IntN(100); {
			case n < 10:
				return faultOutage
			case write && n < 40:
				return []fault{faultResponseLost, faultRequestLost, faultDelayed}[n%3]
			}
			return faultNone
		})
		h := &history{}
		keys := make([]string, 10)
		for i := range keys {
			keys[i] = newKey(testNow)
		}
		var stopped sync.Map
		var workers sync.WaitGroup
		for id := range 6 {
			w := &worker{
				id:      id,
				store:   m,
				keys:    keys,
				stopped: &stopped,
				rng:     rand.New(rand.NewPCG(seed, uint64(id+2))),
				history: h,
			}
			workers.Go(func() { w.run(t.Context(), 12) })
		}
		workers.Wait()
		if !porcupine.CheckOperations(claimModel(), h.ops) {
			t.Fatalf("seed %d: the history of %d operations violates at-most-once semantics", seed, len(h.ops))
		}
	}
}

// TestClaimModelRejectsInvalidHistories guards against a model that accepts
// invalid histories.
func TestClaimModelRejectsInvalidHistories(t *testing.T) {
	begin := func(call, end int64, out output) porcupine.Operation {
		return porcupine.Operation{Input: input{op: opBegin}, Output: out, Call: call, Return: end}
	}
	finish := func(call, end int64, attempt string, value int) porcupine.Operation {
		return porcupine.Operation{Input: input{op: opFinish, attempt: attempt, value: value}, Output: output{}, Call: call, Return: end}
	}
	invalid := map[string][]porcupine.Operation{
		"two executions at once":     {begin(1, 4, output{held: "a"}), begin(2, 3, output{held: "b"})},
		"execution after done":       {begin(1, 2, output{held: "a"}), finish(3, 4, "a", 1), begin(5, 6, output{held: "b"})},
		"response of no execution":   {begin(1, 2, output{held: "a"}), finish(3, 4, "a", 1), begin(5, 6, output{value: 2})},
		"response before the finish": {begin(1, 2, output{held: "a"}), begin(3, 4, output{value: 1}), finish(5, 6, "a", 1)},
		"finish of another's":        {begin(1, 2, output{held: "a"}), finish(3, 4, "b", 1)},
	}
	for name, ops := range invalid {
		if porcupine.CheckOperations(claimModel(), ops) {
			t.Errorf("the model accepts: %s", name)
		}
	}
}
