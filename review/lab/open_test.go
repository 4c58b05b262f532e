package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["killed-router"] = killedRouter
	cases["killed-engine"] = killedEngine
}

const config = `{"version": 1, "routes": [
 {"name": "redeem", "host": "fleet.example", "path_prefix": "/redeem/", "route_kind": "non_idempotent", "timeout_ms": 1200, "slo_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1, "public": false, "sticky": false, "resumable": false},
 {"name": "balance", "host": "fleet.example", "path_prefix": "/balance/", "route_kind": "idempotent", "timeout_ms": 1200, "slo_ms": 150, "priority": 2, "service": "desk", "max_attempts": 2, "public": false, "sticky": false, "resumable": false},
 {"name": "note", "host": "fleet.example", "path_prefix": "/stream/", "route_kind": "streaming", "timeout_ms": 15000, "slo_ms": 300, "priority": 2, "service": "model", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "itl_target_ms": 200}],
 "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 100, "cold_start_s": 0, "cold_per_s": 0}, {"name": "model", "health_path": "/healthz", "max_conns": 360, "cold_start_s": 0, "cold_per_s": 0, "engine_id": {"kv_capacity": 296443}}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
 "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}]}`

const (
	// events is the number of events of a stream, and eventGap the time between two.
	events   = 93
	eventGap = 50 * time.Millisecond
	// engineCount is the number of model engines.
	engineCount = 6
	// episodes is how often the trouble comes.
	episodes = 4
)

// zones are the zones of engines and routers, in turn.
var zones = []string{"caerdydd", "abertawe"}

// startModelEngine starts a model engine.
func startModelEngine(f *fleet, id string, i int, flags ...string) (*process, error) {
	return f.startEngine(id, "model", zones[i%2], append([]string{"-events", fmt.Sprint(events), "-gap", eventGap.String()}, flags...)...)
}

// startFleet starts model engines in two zones and three routers.
func startFleet(f *fleet, flags ...string) (engines []*process, err error) {
	f.store.put("config", "main", rawJSON(config))
	for i := range engineCount {
		p, err := startModelEngine(f, fmt.Sprintf("i-%d", i+1), i, flags...)
		if err != nil {
			return nil, err
		}
		engines = append(engines, p)
	}
	if err := f.startRouters(3); err != nil {
		return nil, err
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2500 * time.Millisecond)
	return engines, nil
}

// openAnswers lets half of the engines, from the first one on, send some of their answers
// without length and chunks for five seconds.
func openAnswers(f *fleet, engines []*process, first int) {
	for i := range engineCount / 2 {
		p := engines[(first+i)%engineCount]
		f.rec.printf("%s: one answer in 20 has no length and no chunks, for 5 s", p.name)
		p.signal(syscall.SIGUSR1)
	}
}

type rawJSON string

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// streams sends streams to the routers in turn, one every gap, for a time, and returns how
// many answers look complete and lack events.
func streams(f *fleet, gap, length time.Duration) (truncated int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	byEnd := map[string]int{}
	started := time.Now()
	for i := 0; time.Since(started) < length; i++ {
		r := f.routers[i%len(f.routers)]
		a := attempt{
			id: fmt.Sprintf("a%06d", i), method: "POST", path: "/stream/2f", body: fmt.Sprintf("prompt %d", i), deadline: 15 * time.Second,
			header: []string{"X-Model: m", "X-Token-Usage: 713,120", fmt.Sprintf("X-Prefix-Hash: 5c1e07a2:103,91bd3f%02x:500,%x:110", i%8, 0xe4402b00+i)},
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.rec.printf("client sends %s to %s", a.id, r.name)
			o := send(f.frontend(r), a)
			f.rec.printf("client got %s from %s: %v", a.id, r.name, o)
			mu.Lock()
			defer mu.Unlock()
			byEnd[fmt.Sprintf("status %d, framing %s, end %s, whole %v", o.status, o.framing, o.end, o.events == events)]++
			if o.status == 200 && o.end == "complete" && o.events < events {
				truncated++
				f.rec.printf("BROKEN: %s ended as complete after %d of %d events", a.id, o.events, events)
			}
		}()
		time.Sleep(gap)
	}
	wg.Wait()
	for end, n := range byEnd {
		f.rec.say("%d answers: %s", n, end)
	}
	return truncated
}

// killedRouter kills one router (SIGKILL) while it carries streams, and starts it again
// after a second; then the next one.
func killedRouter(f *fleet, trouble bool) (bool, error) {
	engines, err := startFleet(f, "-open-every", "20", "-open-for", "5s")
	if err != nil {
		return false, err
	}
	go func() {
		for i := range episodes {
			time.Sleep(3 * time.Second)
			openAnswers(f, engines, i)
			time.Sleep(4500 * time.Millisecond)
			if !trouble {
				continue
			}
			victim := f.routers[i%len(f.routers)]
			f.rec.say("kill -KILL %s", victim.name)
			victim.proc.signal(syscall.SIGKILL)
			<-victim.proc.done
			time.Sleep(time.Second)
			if err := f.startRouter(victim); err != nil {
				f.rec.say("%v", err)
			}
		}
	}()
	n := streams(f, 15*time.Millisecond, episodes*8500*time.Millisecond)
	f.rec.say("%d answers ended as complete before their last event", n)
	return n > 0, nil
}

// killedEngine kills one engine (SIGKILL) while it runs streams; another one takes its place
// after four seconds. Then the next one.
func killedEngine(f *fleet, trouble bool) (bool, error) {
	engines, err := startFleet(f, "-open-every", "2")
	if err != nil {
		return false, err
	}
	go func() {
		for i := range episodes {
			time.Sleep(2 * time.Second)
			time.Sleep(4500 * time.Millisecond)
			if !trouble {
				time.Sleep(4 * time.Second)
				continue
			}
			victim := engines[i]
			f.rec.say("kill -KILL %s", victim.name)
			victim.signal(syscall.SIGKILL)
			time.Sleep(4 * time.Second)
			f.store.remove("servers", victim.name)
			if engines[i], err = startModelEngine(f, fmt.Sprintf("j-%d", i+1), i, "-open-every", "2"); err != nil {
				f.rec.say("%v", err)
				return
			}
		}
	}()
	n := streams(f, 15*time.Millisecond, episodes*10500*time.Millisecond)
	f.rec.say("%d answers ended as complete before their last event", n)
	return n > 0, nil
}
