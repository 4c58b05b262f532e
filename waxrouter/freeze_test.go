package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxstandin/waxengine"
)

const (
	// freezeDuration exceeds the owner's LeaseTTL of 15 s, the LeaseExpiryTimeout of
	// observers, and the OwnerTimeout of 5 s after which the standby uses the reserve.
	freezeDuration = 22 * time.Second
	// loadDurationAfterResume is how long the load continues after the owner has
	// resumed.
	loadDurationAfterResume = 6 * time.Second
	// workerCount keeps the mean load of the 6 engines below 6.4 requests, so that the
	// load limit is loadFloor.
	workerCount = 30
	loadFloor   = 8
)

// TestFrozenOwner guards against two failures around an owner that is stopped past
// the end of its lease and then resumed: owner and successor together admit more
// requests than the load limit, or callers of other instances lose responses.
func TestFrozenOwner(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, buildPrograms(t))
	f.startAll()
	f.waitFor("router-3 attached and owning backend servers", func() bool {
		for _, r := range f.instances() {
			if r.ID == "router-3" && r.Owned > 0 && r.Mode == "attached" {
				return true
			}
		}
		return false
	})
	stop := make(chan struct{})
	var mu sync.Mutex
	results := map[string]int{}
	var wg sync.WaitGroup
	for w := range workerCount {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				result := sendChat(f.addresses[fmt.Sprintf("router-%d", w%2+1)], fmt.Sprintf("w%d-%d", w, n%5))
				mu.Lock()
				results[result]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	owner := f.processes["router-3"].cmd.Process
	is.NoErr(owner.Signal(syscall.SIGSTOP))
	time.Sleep(freezeDuration)
	is.NoErr(owner.Signal(syscall.SIGCONT))
	time.Sleep(loadDurationAfterResume)
	close(stop)
	wg.Wait()
	t.Log(results)
	is.True(results["complete"] > workerCount)
	is.Equal(len(results), 1) // every caller of router-1 and router-2 got a complete response
	maxLoad, starts := f.maxInFlight()
	t.Logf("%d starts, maximum load %d", starts, maxLoad)
	is.True(maxLoad <= loadFloor)
}

// sendChat sends a chat request and returns "complete", or what went wrong.
func sendChat(address, chat string) string {
	req, body, err := newChatRequest(address, "", chat, 120)
	if err != nil {
		return err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	result := (&chatStream{resp: resp, body: body, reader: bufio.NewReader(resp.Body)}).verify("")
	if strings.HasSuffix(result, ", complete") {
		return "complete"
	}
	return result
}

// maxInFlight returns the highest number of requests in flight at any engine, and
// the number of requests started, from the histories of the engines.
func (f *fleet) maxInFlight() (maxLoad, starts int) {
	f.t.Helper()
	for name := range f.domains {
		resp, err := http.Get("http://" + f.addresses[name] + "/admin/history")
		if err != nil {
			f.t.Fatal(err)
		}
		var history []waxengine.Event
		err = json.NewDecoder(resp.Body).Decode(&history)
		_ = resp.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		for _, ev := range history {
			if ev.Kind == waxengine.EventStart {
				starts++
				maxLoad = max(maxLoad, ev.InFlight)
			}
		}
	}
	return maxLoad, starts
}
