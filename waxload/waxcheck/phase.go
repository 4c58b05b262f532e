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
	// stagger is the time between the starts of calls, and faultAfter the time
	// from the first start to the faults during the run.
	stagger = 4 * time.Millisecond
	// depositStagger is longer, so that faults come among the deposits.
	depositStagger = 15 * time.Millisecond
	faultAfter     = 60 * time.Millisecond
	// poisonSends is how often the caller of a poison request sends it.
	poisonSends = 6
)

// Phase is a run under some faults.
type Phase struct {
	Faults []Fault
	Calls  []*Call
	// Poison are the calls with the poison marker, in a run that has them.
	Poison []*Call
	killed map[string]bool
}

// Name joins the names of the faults.
func (p *Phase) Name() string {
	names := make([]string, len(p.Faults))
	for i, f := range p.Faults {
		names[i] = f.Name
	}
	return strings.Join(names, "+")
}

// Killed reports whether the router was killed during the run.
func (p *Phase) Killed(router string) bool { return p.killed[router] }

// Spared returns the calls that must have succeeded: all those whose entry
// instance lived, when the faults of the run spare them.
func (p *Phase) Spared() []*Call {
	var spared []*Call
	for _, c := range p.Calls {
		if len(p.Faults) == 1 && p.Faults[0].Spares && !p.Killed(c.Router) {
			spared = append(spared, c)
		}
	}
	return spared
}

// Singles returns each fault alone, and Pairs the share of all pairs that falls
// to one of several seeds.
func Singles(faults []Fault) [][]Fault {
	sets := make([][]Fault, len(faults))
	for i, f := range faults {
		sets[i] = []Fault{f}
	}
	return sets
}

// Pairs returns every nth pair of two different faults, from the given one on.
func Pairs(faults []Fault, from, nth int) [][]Fault {
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

// batch is the calls of a phase under way.
type batch struct {
	w     *World
	phase *Phase
	wg    sync.WaitGroup
	mu    sync.Mutex
}

func (w *World) begin(faults []Fault) *batch {
	b := &batch{w: w, phase: &Phase{Faults: faults}}
	w.pick = w.random.IntN(len(w.fleet.Routers()))
	for _, f := range faults {
		if f.Before != nil {
			f.Before(w)
		}
		if f.During != nil {
			b.wg.Go(func() {
				if !f.AtOnce {
					time.Sleep(faultAfter)
				}
				f.During(w.ctx, w)
			})
		}
	}
	return b
}

// send starts a call.
func (b *batch) send(i int, r Request) {
	for _, f := range b.phase.Faults {
		if f.Shape != nil {
			f.Shape(b.w, i, &r)
		}
	}
	b.wg.Go(func() { b.keep(b.w.caller.do(b.w.ctx, r)) })
}

func (b *batch) keep(c *Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.phase.Calls = append(b.phase.Calls, c)
}

// end waits for all calls and faults.
func (b *batch) end() *Phase {
	b.wg.Wait()
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	b.phase.killed = map[string]bool{}
	for id := range b.w.killed {
		b.phase.killed[id] = true
	}
	return b.phase
}

// chat returns a chat that no other call has.
func (w *World) chat(stream bool, tokens int) Request {
	w.serial++
	r := w.router(w.serial)
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"chat":"chat-%d","messages":[{"role":"user","content":"question %d of %d"}]}`,
		waxembed.ChatModel, stream, tokens, w.serial, w.serial, w.random.Uint64())
	return Request{Router: r.ID, Address: r.Node.CallerAddress(), Stream: stream, Body: []byte(body)}
}

// Chats sends repeatable chats, one in four of them not streamed.
func (w *World) Chats(ctx context.Context, faults []Fault, n int, tier string) (*Phase, error) {
	b := w.begin(faults)
	for i := range n {
		r := w.chat(i%4 != 0, 20+w.random.IntN(20))
		r.Tier = tier
		b.send(i, r)
		time.Sleep(stagger)
	}
	p := b.end()
	return p, w.end(ctx)
}

func (w *World) end(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return w.restore()
}

// Deposits sends deposits: each key at once to two routers, and again to a third
// one after the faults.
func (w *World) Deposits(ctx context.Context, faults []Fault, n int) (*Phase, error) {
	b := w.begin(faults)
	again := make([]Request, 0, n)
	for i := range n {
		w.serial++
		r := Request{
			Tier: "brief", Key: ulid.Make().String(),
			Body: []byte(fmt.Sprintf(`{"deposit":%d,"salt":%d}`, w.serial, w.random.Uint64())),
		}
		for k := range 2 {
			b.send(i, w.through(r, w.serial+k))
		}
		again = append(again, w.through(r, w.serial+2))
		time.Sleep(depositStagger)
	}
	p := b.end()
	if err := w.restore(); err != nil {
		return nil, err
	}
	late := w.begin(nil)
	for i, r := range again {
		late.send(i, w.through(r, w.serial+i))
	}
	p.Calls = append(p.Calls, late.end().Calls...)
	return p, ctx.Err()
}

func (w *World) through(r Request, router int) Request {
	to := w.router(router)
	r.Router, r.Address = to.ID, to.Node.CallerAddress()
	return r
}

// Poison sends chats, of which some are the same and one is the same in all runs,
// and beside them a poison request that its caller sends again and again to one
// router after the other.
func (w *World) Poison(ctx context.Context, faults []Fault, n int) (*Phase, error) {
	w.setEngines(func(f *waxengine.Faults) { f.PoisonMarker = poisonMarker })
	b := w.begin(faults)
	if w.regular.Body == nil {
		w.regular = w.chat(true, 60)
	}
	twin := w.chat(true, 60)
	poison := w.chat(true, 60)
	poison.Body = []byte(strings.Replace(string(poison.Body), "question", poisonMarker, 1))
	for i := range n {
		r := w.chat(true, 60)
		switch i % 8 {
		case 0, 1:
			r = w.through(twin, i)
		case 2:
			r = w.through(w.regular, i)
		}
		b.send(i, r)
		if i == n/2 {
			b.wg.Go(func() { b.repeat(poison) })
		}
		time.Sleep(stagger)
	}
	p := b.end()
	return p, w.end(ctx)
}

// repeat sends a poison request to one router after the other.
func (b *batch) repeat(r Request) {
	for i := range poisonSends {
		c := b.w.caller.do(b.w.ctx, b.w.through(r, i))
		b.mu.Lock()
		b.phase.Poison = append(b.phase.Poison, c)
		b.mu.Unlock()
	}
}
