package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonPath  = "/notes/poison"
	poisonedBy  = "e4402b7d"
	contact     = 3 * time.Second
	maxRetries  = 3
	poisonAfter = 3 // crashes
)

// poisoned holds when the request that crashes engines reached them and crashed them.
var poisoned struct {
	mu                sync.Mutex
	arrivals, crashes []time.Time
}

// poisons reports whether the request crashes engines: without the disruption, it is sound in
// the trials, and has no prompt to speak of.
func (w *world) poisons(r *http.Request) bool {
	return !strings.HasSuffix(r.Header.Get("X-Prefix-Hash"), ":0")
}

// poisonWorld starts engines and routers with sound streams beside.
func (w *world) poisonWorld(perSecond float64, events int, interval time.Duration) (stop chan struct{}, wait func() []*attempt) {
	w.putConfig(map[string]any{"timeout_ms": 15000, "slo_ms": 600, "max_attempts": 1, "resumable": false})
	for i := range 18 {
		newEngine(w, engineSpec{
			id: fmt.Sprintf("i-%08x", 0x9c41d07b+i), service: "geiriau", zone: zones[i%len(zones)], slots: 64, events: events, interval: interval,
			back: 3 * time.Second, poison: poisonPath,
		})
	}
	w.startRouters(7, zones)
	time.Sleep(2 * time.Second)
	stop = make(chan struct{})
	wait = w.traffic(perSecond, stop, func(i int) *attempt {
		return &attempt{id: fmt.Sprintf("a%015x", i), path: fmt.Sprintf("/notes/%d", i%7), prefix: fmt.Sprintf("5c1e07a%x:240,91bd3f0%x:120,%08x:90", i%5, i%11, i), tokens: 450, deadline: 15 * time.Second, events: events}
	})
	time.Sleep(2 * time.Second)
	return stop, wait
}

// poison sends the request that crashes engines to all routers in turn, perSecond of them,
// until the time is over. It has the same path, caller and body each time.
func (w *world) poison(name string, perSecond float64, tokens int, length time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < length; i++ {
		r := w.fleet.routers[i%len(w.fleet.routers)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.send(&attempt{id: fmt.Sprintf("%s%014x", name, i), router: r, path: poisonPath, prefix: fmt.Sprintf("%s:%d", poisonedBy, tokens), tokens: tokens, deadline: 6 * time.Second, events: 20})
		}()
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	return &wg
}

// tooManyRetries checks the rule.
func (w *world) tooManyRetries(all []*attempt) bool {
	served := 0
	for _, a := range all {
		if a.complete {
			served++
		}
	}
	poisoned.mu.Lock()
	defer poisoned.mu.Unlock()
	w.say("%d other streams were complete, %d not; the request reached engines %d times and crashed %d", served, len(all)-served, len(poisoned.arrivals), len(poisoned.crashes))
	if len(poisoned.crashes) < poisonAfter {
		return false
	}
	third := poisoned.crashes[poisonAfter-1]
	late := 0
	for _, at := range poisoned.arrivals {
		if at.After(third.Add(contact)) {
			late++
			w.say("%.3f s after the third crash it reaches an engine again", at.Sub(third).Seconds())
		}
	}
	w.say("%d retries later than %v after the third crash; %d are allowed", late, contact, maxRetries)
	return late > maxRetries
}

// trials: one request crashes each engine that begins to run it, and comes again at all
// machines. Rule BUDGET: it reaches engines in at most three retries that machines in touch
// send later than contact_ms after it has crashed the third.
func trials(w *world) bool {
	began := time.Now()
	stop, wait := w.poisonWorld(20, 20, 50*time.Millisecond)
	tokens := 94_000 // read in 2.2 s
	if !w.trouble {
		tokens = 0 // crashes nothing
	}
	w.say("the request %s comes at all machines, again and again", poisonPath)
	w.poison("b", 14, tokens, 104*time.Second-time.Since(began)).Wait()
	close(stop)
	return w.tooManyRetries(wait())
}
