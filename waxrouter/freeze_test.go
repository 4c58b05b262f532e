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
	// frozenFor exceeds the lease of 15 s, its lapse for observers and the 5 s after
	// which a second uses the reserve.
	frozenFor = 22 * time.Second
	// thawedFor is how long the load goes on after the owner has woken up.
	thawedFor = 6 * time.Second
	// workers keep the mean load of the 6 engines below 6.4, so that the limit is
	// its floor of 8 requests.
	workers    = 30
	limitFloor = 8
)

// TestFrozenOwner guards against an owner that was stopped past its lease, wakes
// up, and admits together with its successor beyond the load limit; and against
// callers of other instances that lose answers meanwhile.
func TestFrozenOwner(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, build(t))
	f.startAll()
	f.await("an owner with backend servers in router-3", func() bool {
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
	for w := range workers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				result := oneCall(f.address[fmt.Sprintf("router-%d", w%2+1)], fmt.Sprintf("w%d-%d", w, n%5))
				mu.Lock()
				results[result]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	owner := f.processes["router-3"].cmd.Process
	is.NoErr(owner.Signal(syscall.SIGSTOP))
	time.Sleep(frozenFor)
	is.NoErr(owner.Signal(syscall.SIGCONT))
	time.Sleep(thawedFor)
	close(stop)
	wg.Wait()
	t.Log(results)
	is.True(results["whole"] > workers)
	is.Equal(len(results), 1) // every caller of router-1 and router-2 got its whole answer
	highest, starts := f.highestLoad()
	t.Logf("%d starts, highest load %d", starts, highest)
	is.True(highest <= limitFloor)
}

func oneCall(address, chat string) string {
	req, body, err := chatRequest(address, "", chat, 120)
	if err != nil {
		return err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	result := (&chatCall{resp: resp, body: body, text: bufio.NewReader(resp.Body)}).finish("")
	if strings.HasSuffix(result, "whole") {
		return "whole"
	}
	return result
}

// highestLoad reads the histories of the engines.
func (f *fleet) highestLoad() (highest, starts int) {
	f.t.Helper()
	for name := range f.domain {
		resp, err := http.Get("http://" + f.address[name] + "/admin/history")
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
				highest = max(highest, ev.InFlight)
			}
		}
	}
	return highest, starts
}
