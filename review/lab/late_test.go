package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-rejection"] = lateRejection }

// plainEngines is the number of engines of the plain service.
const plainEngines = 7

// lateRejection lets one engine of a plain service turn requests away for a while, and send
// a part of its answers twice, the second copy late.
func lateRejection(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", "main", rawJSON(config))
	var engines []*process
	for i := range plainEngines {
		extra := "0.03"
		if !trouble {
			extra = "0"
		}
		p, err := f.startEngine(fmt.Sprintf("d-%d", i+1), "desk", zones[i%2], "-slots", "6", "-shed", "0.4", "-extra", extra, "-fault-for", "5s")
		if err != nil {
			return false, err
		}
		engines = append(engines, p)
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond)
	go func() {
		for i := 0; ; i++ {
			p := engines[i%plainEngines]
			f.rec.printf("%s turns requests away, for 5 s", p.name)
			p.signal(syscall.SIGUSR2)
			time.Sleep(6 * time.Second)
		}
	}()
	ids := redemptions(f, 36*time.Second)
	time.Sleep(time.Second)
	broken := 0
	for id, o := range ids {
		runs := f.runsOf(id)
		switch {
		case len(runs) > 1:
			broken++
			f.rec.say("BROKEN (TWICE): %s ran at %s; the client got %v", id, strings.Join(runs, " and "), o)
		case len(runs) > 0 && (o.status == 503 || o.status == 429):
			broken++
			f.rec.say("BROKEN (REFUSED): %s ran at %s; the client got %v", id, strings.Join(runs, " and "), o)
		}
	}
	f.rec.say("%d requests, %d of them against the rules", len(ids), broken)
	return broken > 0, nil
}

// redemptions sends non-idempotent requests on kept connections for a time, and returns what
// the clients got.
func redemptions(f *fleet, length time.Duration) map[string]outcome {
	var wg sync.WaitGroup
	var mu sync.Mutex
	all := map[string]outcome{}
	byStatus := map[int]int{}
	started := time.Now()
	for c := range 18 {
		r := f.routers[c%len(f.routers)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			var conn net.Conn
			var reader *bufio.Reader
			for i := 0; time.Since(started) < length; i++ {
				time.Sleep(time.Duration(10+(i*7+c*13)%40) * time.Millisecond)
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp4", f.frontend(r), time.Second); err != nil {
						conn = nil
						continue
					}
					reader = bufio.NewReader(conn)
				}
				a := attempt{id: fmt.Sprintf("c%02dn%05d", c, i), method: "POST", path: "/redeem/2f", body: "{}", deadline: 2500 * time.Millisecond}
				f.rec.printf("client sends %s to %s", a.id, r.name)
				o := sendOn(conn, reader, a)
				f.rec.printf("client got %s: %v", a.id, o)
				if o.end != "complete" || o.framing == "none" {
					_ = conn.Close()
					conn = nil
				}
				mu.Lock()
				all[a.id] = o
				byStatus[o.status]++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	f.rec.say("answers by status: %v", byStatus)
	return all
}
