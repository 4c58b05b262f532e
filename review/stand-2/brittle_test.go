package main

import (
	"fmt"
	"sync"
	"time"
)

// brittle: the engines of a service are brittle, and say so; a client sends prompts that are
// larger than an engine's memory. Rule LIMIT: in that time the engines fall over at most 2 + a
// tenth of their number times.
func brittle(w *world) bool {
	const (
		engines  = 18
		n        = 5
		oversize = 20 // requests a second
		length   = 20 * time.Second
	)
	w.putConfig(map[string]any{"timeout_ms": 6000, "slo_ms": 600, "max_attempts": 1, "resumable": false})
	var all []*engine
	for i := range engines {
		all = append(all, newEngine(w, engineSpec{
			id: fmt.Sprintf("i-%08x", 0x9c41d07b+i), service: "geiriau", zone: zones[i%len(zones)], slots: 64, events: 40, interval: 50 * time.Millisecond,
			back: 3 * time.Second, brittle: n,
		}))
	}
	w.startRouters(7, zones)
	time.Sleep(2 * time.Second)
	w.say("the %d engines are brittle: Server-Brittle: %d", engines, n)
	stop := make(chan struct{})
	wait := w.traffic(40, stop, func(i int) *attempt {
		return &attempt{id: fmt.Sprintf("a%015x", i), path: fmt.Sprintf("/notes/%d", i%7), prefix: fmt.Sprintf("5c1e07a%x:240,91bd3f0%x:120,%08x:90", i%5, i%11, i), tokens: 450, deadline: 6 * time.Second, events: 40}
	})
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	if w.trouble {
		w.say("a client sends %d prompts a second that are larger than an engine's memory", oversize)
	}
	began := time.Now()
	for i := 0; time.Since(began) < length; i++ {
		if w.trouble {
			r := w.anyRouter(i)
			wg.Add(1)
			go func() {
				defer wg.Done()
				w.send(&attempt{id: fmt.Sprintf("b%015x", i), router: r, path: "/notes/large", prefix: fmt.Sprintf("%08x:%d", 1<<24+i, kvCapacity+1), tokens: kvCapacity + 1, deadline: 6 * time.Second, events: 40})
			}()
		}
		time.Sleep(time.Second / oversize)
	}
	time.Sleep(time.Second)
	close(stop)
	served, sent := 0, wait()
	for _, a := range sent {
		if a.complete {
			served++
		}
	}
	wg.Wait()
	falls, rejections := 0, 0
	for _, e := range all {
		e.mu.Lock()
		falls, rejections = falls+e.crashes, rejections+len(e.rejected)
		e.mu.Unlock()
	}
	bound := 2 + engines/10.0
	w.say("%d of %d other streams were complete; engines turned %d requests away and fell over %d times; allowed are %.1f", served, len(sent), rejections, falls, bound)
	return float64(falls) > bound
}
