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

type verb int

const (
	verbBegin verb = iota
	verbFinish
	verbRelease
)

// input and output are one operation on a key. attempt is the token of the held
// claim; value stands for the stored result.
type input struct {
	key     int
	verb    verb
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

// stepClaim says that a claim is taken only when it is free, and that a repeat
// gets the value of the one run. An operation that failed may have taken effect,
// except for Begin: without a held claim nothing runs.
func stepClaim(s claimState, in input, out output) []any {
	mine := s.state == stateRunning && s.attempt == in.attempt
	switch {
	case in.verb == verbBegin && out.held != "":
		if s.state == stateRunning || s.state == stateDone {
			return nil
		}
		return []any{claimState{state: stateRunning, attempt: out.held}}
	case in.verb == verbBegin && out.code == waxfleet.CodeOK:
		if s.state != stateDone || s.value != out.value {
			return nil
		}
		return []any{s}
	case in.verb == verbBegin:
		return []any{s}
	case !mine:
		return nil
	}
	after := claimState{state: stateDone, value: in.value}
	if in.verb == verbRelease {
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

// history records operations on a logical clock.
type history struct {
	time atomic.Int64
	mu   sync.Mutex
	ops  []porcupine.Operation
}

func (h *history) record(client int, in input, do func() output) output {
	call := h.time.Add(1)
	out := do()
	end := h.time.Add(1)
	if in.verb != verbBegin && out.code != waxfleet.CodeOK {
		end = math.MaxInt64 // it may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
	return out
}

// worker is a sequence of processes that each run requests and may crash.
type worker struct {
	id    int
	store *memoryStore
	keys  []string
	gone  *sync.Map
	rng   *rand.Rand
	h     *history
}

func (w *worker) run(ctx context.Context, requests int) {
	clock := waxfleet.NewManualClock(testNow)
	stopped := func(holder string) bool { _, ok := w.gone.Load(holder); return ok }
	for request := 0; request < requests; {
		name := fmt.Sprintf("%d-%d", w.id, request)
		life, crash := context.WithCancel(ctx)
		s := New(life, w.store, clock, name, quietLog(), HolderStopped(stopped))
		for alive := true; alive && request < requests; request++ {
			alive = w.request(life, s, request)
		}
		crash()
		w.gone.Store(name, true)
	}
}

// request runs one request and reports false when the process crashes in it.
func (w *worker) request(life context.Context, s *Store, request int) bool {
	key := w.rng.IntN(len(w.keys))
	// The time-out bounds the waits of the test. Each way that it ends a call is a
	// legal outcome, however fast the machine is.
	ctx, cancel := context.WithTimeout(life, waxfleet.Millis(300).Duration())
	defer cancel()
	out := w.h.record(w.id, input{key: key, verb: verbBegin}, func() output {
		c, err := s.Begin(ctx, "w", w.keys[key], "digest")
		value, _, _ := c.Result()
		return output{held: c.Token(), value: value, code: waxfleet.CodeOf(err)}
	})
	if out.held == "" {
		return true
	}
	claim := waxfleet.NewHeldClaim(claimName("w", mustParse(w.keys[key])), out.held)
	in := input{key: key, verb: verbFinish, attempt: out.held, value: w.id*1_000 + request}
	switch w.rng.IntN(4) {
	case 0:
		return false
	case 1:
		in.verb = verbRelease
		w.h.record(w.id, in, func() output { return output{code: waxfleet.CodeOf(s.Release(ctx, claim))} })
	default:
		w.h.record(w.id, in, func() output {
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

// Guards against two runs of a key, and against a repeat that gets an answer
// other than that of the run, under outages, lost and late writes and crashes.
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
				return []fault{faultAnswerLost, faultRequestLost, faultDelayed}[n%3]
			}
			return faultNone
		})
		h := &history{}
		keys := make([]string, 10)
		for i := range keys {
			keys[i] = newKey(testNow)
		}
		var gone sync.Map
		var workers sync.WaitGroup
		for id := range 6 {
			w := &worker{id: id, store: m, keys: keys, gone: &gone, rng: rand.New(rand.NewPCG(seed, uint64(id+2))), h: h}
			workers.Go(func() { w.run(t.Context(), 12) })
		}
		workers.Wait()
		if !porcupine.CheckOperations(claimModel(), h.ops) {
			t.Fatalf("seed %d: the history of %d operations breaks at-most-once", seed, len(h.ops))
		}
	}
}

// Guards against a checker that accepts anything.
func TestCheckerRejectsBadHistories(t *testing.T) {
	begin := func(call, end int64, out output) porcupine.Operation {
		return porcupine.Operation{Input: input{verb: verbBegin}, Output: out, Call: call, Return: end}
	}
	finish := func(call, end int64, attempt string, value int) porcupine.Operation {
		return porcupine.Operation{Input: input{verb: verbFinish, attempt: attempt, value: value}, Output: output{}, Call: call, Return: end}
	}
	bad := map[string][]porcupine.Operation{
		"two runs at once":         {begin(1, 4, output{held: "a"}), begin(2, 3, output{held: "b"})},
		"run after done":           {begin(1, 2, output{held: "a"}), finish(3, 4, "a", 1), begin(5, 6, output{held: "b"})},
		"answer of no run":         {begin(1, 2, output{held: "a"}), finish(3, 4, "a", 1), begin(5, 6, output{value: 2})},
		"answer before the finish": {begin(1, 2, output{held: "a"}), begin(3, 4, output{value: 1}), finish(5, 6, "a", 1)},
		"finish of another's":      {begin(1, 2, output{held: "a"}), finish(3, 4, "b", 1)},
	}
	for name, ops := range bad {
		if porcupine.CheckOperations(claimModel(), ops) {
			t.Errorf("the checker accepts: %s", name)
		}
	}
}
