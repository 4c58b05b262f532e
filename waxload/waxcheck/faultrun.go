package waxcheck

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
)

const (
	// chatInterval is the interval between the starts of chats.
	chatInterval = 4 * time.Millisecond
	// depositInterval is longer, so that the faults occur between deposits.
	depositInterval = 15 * time.Millisecond
	// faultDelay is the delay between the start of a run and DuringCalls of its faults.
	faultDelay = 60 * time.Millisecond
	// poisonAttempts is the number of attempts of the caller of a poison request.
	poisonAttempts = 6
)

// FaultRun is a run of calls under a set of faults, with the outcomes of the calls.
type FaultRun struct {
	Faults []Fault
	Calls  []*Call
	// PoisonCalls are the calls of poison requests; nil without any.
	PoisonCalls []*Call
	killed      map[string]bool
}

// Name returns the names of the faults, joined by "+".
func (r *FaultRun) Name() string {
	names := make([]string, len(r.Faults))
	for i, f := range r.Faults {
		names[i] = f.Name
	}
	return strings.Join(names, "+")
}

// Killed reports whether the router with this ID was killed during the run.
func (r *FaultRun) Killed(router string) bool { return r.killed[router] }

// MustSucceed returns the calls that must have succeeded: those through entry
// instances that were not killed, if the run has a single, survivable fault.
func (r *FaultRun) MustSucceed() []*Call {
	var calls []*Call
	for _, c := range r.Calls {
		if len(r.Faults) == 1 && r.Faults[0].Survivable && !r.Killed(c.Router) {
			calls = append(calls, c)
		}
	}
	return calls
}

// SingleFaults returns one set per fault, with this fault alone.
func SingleFaults(faults []Fault) [][]Fault {
	sets := make([][]Fault, len(faults))
	for i, f := range faults {
		sets[i] = []Fault{f}
	}
	return sets
}

// FaultPairs returns every nth pair of different faults, starting at index
// from%nth, to divide the pairs among several seeds.
func FaultPairs(faults []Fault, from, nth int) [][]Fault {
	var sets [][]Fault
	i := 0
	for a := range faults {
		for b := a + 1; b < len(faults); b++ {
			if i%nth == from%nth {
				sets = append(sets, []Fault{faults[a], faults[b]})
			}
			i++
		}
	}
	return sets
}

// batch is a run in progress.
type batch struct {
	h   *Harness
	run *FaultRun
	wg  sync.WaitGroup
	mu  sync.Mutex
}

func (h *Harness) startBatch(faults []Fault) *batch {
	b := &batch{h: h, run: &FaultRun{Faults: faults}}
	h.faultTarget = h.random.IntN(len(h.fleet.Routers()))
	for _, f := range faults {
		if f.BeforeCalls != nil {
			f.BeforeCalls(h)
		}
		if f.DuringCalls != nil {
			b.wg.Go(func() {
				if !f.Immediate {
					time.Sleep(faultDelay)
				}
				f.DuringCalls(h.ctx, h)
			})
		}
	}
	return b
}

// send makes a call in the background.
func (b *batch) send(i int, r Request) {
	for _, f := range b.run.Faults {
		if f.ChangeRequest != nil {
			f.ChangeRequest(b.h, i, &r)
		}
	}
	b.wg.Go(func() { b.addCall(b.h.caller.send(b.h.ctx, r)) })
}

func (b *batch) addCall(c *Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.run.Calls = append(b.run.Calls, c)
}

// wait waits for the end of all calls and faults and returns the run.
func (b *batch) wait() *FaultRun {
	b.wg.Wait()
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	b.run.killed = map[string]bool{}
	for id := range b.h.killed {
		b.run.killed[id] = true
	}
	return b.run
}

// newChat returns a request for a unique chat through the next router.
func (h *Harness) newChat(stream bool, tokens int) Request {
	h.sequence++
	r := h.router(h.sequence)
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"chat":"chat-%d","messages":[{"role":"user","content":"question %d of %d"}]}`,
		waxembed.ChatModel, stream, tokens, h.sequence, h.sequence, h.random.Uint64())
	return Request{Router: r.ID, Address: r.Node.CallerAddress(), Stream: stream, Body: []byte(body)}
}

// RunChats sends n repeatable chats under faults; one in four is not streamed.
func (h *Harness) RunChats(ctx context.Context, faults []Fault, n int, tier string) (*FaultRun, error) {
	b := h.startBatch(faults)
	for i := range n {
		r := h.newChat(i%4 != 0, 20+h.random.IntN(20))
		r.Tier = tier
		b.send(i, r)
		time.Sleep(chatInterval)
	}
	run := b.wait()
	return run, h.finish(ctx)
}

// finish restores the harness after a run, unless ctx was cancelled.
func (h *Harness) finish(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return h.restore()
}

// RunDeposits sends n deposits under faults, each concurrently to two routers. After
// the faults it retries each once, through any router.
func (h *Harness) RunDeposits(ctx context.Context, faults []Fault, n int) (*FaultRun, error) {
	b := h.startBatch(faults)
	retries := make([]Request, 0, n)
	for i := range n {
		h.sequence++
		r := Request{
			Tier: "brief",
			Key:  ulid.Make().String(),
			Body: []byte(fmt.Sprintf(`{"deposit":%d,"salt":%d}`, h.sequence, h.random.Uint64())),
		}
		for k := range 2 {
			b.send(i, h.routeVia(r, h.sequence+k))
		}
		retries = append(retries, h.routeVia(r, h.sequence+2))
		time.Sleep(depositInterval)
	}
	run := b.wait()
	if err := h.restore(); err != nil {
		return nil, err
	}
	retryBatch := h.startBatch(nil)
	for i, r := range retries {
		retryBatch.send(i, h.routeVia(r, h.sequence+i))
	}
	run.Calls = append(run.Calls, retryBatch.wait().Calls...)
	return run, ctx.Err()
}

// routeVia returns the request with the router at index i, as in Harness.router, as
// its entry instance.
func (h *Harness) routeVia(r Request, i int) Request {
	router := h.router(i)
	r.Router, r.Address = router.ID, router.Node.CallerAddress()
	return r
}

// RunPoison sends n chats under faults: unique ones, copies of one chat, and copies
// of a chat that recurs in all runs of the harness. Concurrently a caller sends a
// poison request to one router after another.
func (h *Harness) RunPoison(ctx context.Context, faults []Fault, n int) (*FaultRun, error) {
	h.changeAllEngineFaults(func(f *waxengine.Faults) { f.PoisonMarker = poisonMarker })
	b := h.startBatch(faults)
	if h.recurringChat.Body == nil {
		h.recurringChat = h.newChat(true, 60)
	}
	duplicate := h.newChat(true, 60)
	poison := h.newChat(true, 60)
	poison.Body = []byte(strings.Replace(string(poison.Body), "question", poisonMarker, 1))
	for i := range n {
		r := h.newChat(true, 60)
		switch i % 8 {
		case 0, 1:
			r = h.routeVia(duplicate, i)
		case 2:
			r = h.routeVia(h.recurringChat, i)
		}
		b.send(i, r)
		if i == n/2 {
			b.wg.Go(func() { b.sendPoison(poison) })
		}
		time.Sleep(chatInterval)
	}
	run := b.wait()
	return run, h.finish(ctx)
}

// sendPoison sends a poison request to one router after another.
func (b *batch) sendPoison(r Request) {
	for i := range poisonAttempts {
		c := b.h.caller.send(b.h.ctx, b.h.routeVia(r, i))
		b.mu.Lock()
		b.run.PoisonCalls = append(b.run.PoisonCalls, c)
		b.mu.Unlock()
	}
}
