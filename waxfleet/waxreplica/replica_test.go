package waxreplica

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

// textFeed decodes text records and has no store.
type textFeed struct{}

func (textFeed) List(context.Context) (waxfleet.Batch[string], error) {
	return waxfleet.Batch[string]{}, nil
}

func (textFeed) ListStale(context.Context) (waxfleet.Batch[string], error) {
	return waxfleet.Batch[string]{}, nil
}

func (textFeed) Watch(context.Context, waxfleet.Revision, waxfleet.Millis) (waxfleet.Batch[string], error) {
	return waxfleet.Batch[string]{}, nil
}

func (textFeed) Decode(name string, revision waxfleet.Revision, raw []byte) waxfleet.Record[string] {
	return waxfleet.Record[string]{
		Name:     name,
		Revision: revision,
		Decoded:  true,
		Value:    string(raw),
		Raw:      raw,
	}
}

func always() bool { return true }

// serveReplica starts a server of one replica and returns the feed that follows it.
func serveReplica(t *testing.T, r *Replica) Feed[string] {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(NewServer(map[string]*Replica{"texts": r}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return NewFeed[string](textFeed{}, NewClients(), strings.TrimPrefix(s.URL, "http://"), "texts")
}

// apply applies a batch to a map, as a follower does.
func apply(state map[string]string, b waxfleet.Batch[string]) {
	if b.Full {
		clear(state)
	}
	for _, r := range b.Records {
		if r.Deleted {
			delete(state, r.Name)
			continue
		}
		state[r.Name] = r.Value
	}
}

// fullBatch returns the list of a state.
func fullBatch(state map[string]string, revision waxfleet.Revision) waxfleet.Batch[string] {
	b := waxfleet.Batch[string]{Full: true, Revision: revision}
	for name, value := range state {
		b.Records = append(b.Records, waxfleet.Record[string]{Name: name, Revision: revision, Raw: []byte(value), Value: value})
	}
	return b
}

// TestFollowersConverge guards against a follower that misses changes, applies them out
// of order or keeps deleted records, however far it is behind and whenever the store is
// restored from a copy.
func TestFollowersConverge(t *testing.T) {
	clock := waxfleet.NewManualClock(1_000)
	rapid.Check(t, func(rt *rapid.T) {
		r := New(clock, always)
		truth, copied := map[string]string{}, map[string]string{}
		revision, reached := waxfleet.NewRevision(1, 10), waxfleet.Revision(0)
		Update(r, waxfleet.Batch[string]{Full: true, Revision: revision}, clock.Now())
		backup, backupRevision := map[string]string{}, revision
		for range rapid.IntRange(1, 400).Draw(rt, "changes") {
			switch rapid.IntRange(0, 60).Draw(rt, "copy") {
			case 0:
				backup, backupRevision = maps.Clone(truth), revision
			case 1:
				// The store is restored from the copy.
				truth, revision = maps.Clone(backup), waxfleet.NewRevision(revision.Era()+1, backupRevision.Number())
				Update(r, fullBatch(truth, revision), clock.Now())
			}
			revision += waxfleet.Revision(rapid.IntRange(1, 3).Draw(rt, "step"))
			name := fmt.Sprintf("n%d", rapid.IntRange(0, 5).Draw(rt, "name"))
			record := waxfleet.Record[string]{Name: name, Revision: revision}
			if rapid.Bool().Draw(rt, "delete") {
				record.Deleted = true
			} else {
				record.Raw = fmt.Appendf(nil, "v%d", revision)
				record.Value = string(record.Raw)
			}
			b := waxfleet.Batch[string]{Records: []waxfleet.Record[string]{record}, Revision: revision}
			apply(truth, b)
			Update(r, b, clock.Now())
			if rapid.IntRange(0, 20).Draw(rt, "follow") > 0 {
				continue
			}
			reached = followOnce(rt, r, copied, reached)
		}
		followOnce(rt, r, copied, reached)
		if fmt.Sprint(truth) != fmt.Sprint(copied) {
			rt.Fatalf("the store has %v, the follower %v", truth, copied)
		}
	})
}

func followOnce(rt *rapid.T, r *Replica, copied map[string]string, reached waxfleet.Revision) waxfleet.Revision {
	reply, err := r.changesAfter(context.Background(), reached, 0)
	if err != nil {
		rt.Fatal(err)
	}
	b := waxfleet.Batch[string]{Full: reply.GetFull()}
	for _, v := range reply.GetRecords() {
		b.Records = append(b.Records, waxfleet.Record[string]{
			Name:    v.GetName(),
			Deleted: v.GetDeleted(),
			Value:   string(v.GetRaw()),
		})
	}
	apply(copied, b)
	return waxfleet.Revision(reply.GetRevision())
}

// TestLag guards against underestimating the age of the replica's state. The age counts
// from the time of the state at the store, not from the call to the followed instance.
func TestLag(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(10_000)
	r := New(clock, always)
	feed := serveReplica(t, r)
	_, err := feed.List(context.Background())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodePeerUnreachable) // not loaded yet

	Update(r, waxfleet.Batch[string]{
		Full:     true,
		Revision: 5,
		Records:  []waxfleet.Record[string]{{Name: "a", Revision: 4, Raw: []byte("x")}},
	}, clock.Now()-300)
	clock.Advance(1_000)
	b, err := feed.List(context.Background())
	is.NoErr(err)
	is.True(b.Full)
	is.Equal(b.Lag, waxfleet.Millis(1_300))
	is.Equal(b.Records[0].Value, "x")

	b, err = feed.Watch(context.Background(), 5, 0)
	is.NoErr(err)
	is.True(!b.Full && len(b.Records) == 0)
	is.Equal(b.Revision, waxfleet.Revision(5))

	// A delayed batch does not move the time of the state back.
	Update(r, waxfleet.Batch[string]{Revision: 5}, clock.Now()-5_000)
	b, err = feed.Watch(context.Background(), 5, 0)
	is.NoErr(err)
	is.Equal(b.Lag, waxfleet.Millis(1_300))
}

// TestAge guards against a copy that looks recent along a chain of copies although the first one
// is old, and against ages that count as a proof: they take sources at their word.
func TestAge(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(10_000)
	first := New(clock, always)
	is.Equal(first.Age(), waxfleet.Millis(-1)) // nothing is loaded
	b := fullBatch(map[string]string{"a": "1"}, 5)
	b.SeenLag = -600 // the store answered at the end of a watch of 600 ms
	Update(first, b, 10_000)
	clock.Advance(1_000)
	is.Equal(first.Age(), waxfleet.Millis(400))

	copied, err := serveReplica(t, first).List(t.Context())
	is.NoErr(err)
	is.Equal(copied.SeenLag, waxfleet.Millis(400))
	second := New(clock, always)
	Update(second, copied, clock.Now()-copied.Lag)
	clock.Advance(300)
	is.Equal(second.Age(), waxfleet.Millis(700)) // against the store, not against the first copy

	second.Seen(6, clock.Now())
	is.Equal(second.Age(), waxfleet.Millis(700)) // the copy lacks that change
	second.Seen(5, clock.Now()-200)
	is.Equal(second.Age(), waxfleet.Millis(200))
	copied, err = serveReplica(t, second).List(t.Context())
	is.NoErr(err)
	is.Equal(copied.Lag, waxfleet.Millis(1_300)) // what it proves is as old as before
}

// TestSelector guards against a fleet in which no instance watches the store, and
// against an instance that keeps following a replica that failed.
func TestSelector(t *testing.T) {
	is := is.New(t)
	all := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7"}
	chosen := Watchers(all, true)
	is.Equal(len(chosen), watchersPerFleet)
	is.Equal(Watchers(all, false), chosen[:watchersPerDomain])
	clock := waxfleet.NewManualClock(1_000)
	for _, name := range all {
		others := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == name })
		selector := NewSelector(clock, name)
		source := selector.Source(others, true)
		is.Equal(source == "", slices.Contains(chosen, name))
		is.Equal(selector.Source(nil, true), "") // no other instance
		if source == "" {
			continue
		}
		is.True(slices.Contains(chosen, source))
		selector.PeerFailed(source)
		next := selector.Source(others, true)
		is.True(next != source)
		clock.Advance(sourceRetryDelay)
		is.Equal(selector.Source(others, true), source)

		// A missing change: first another replica, then the store.
		selector.ReplicaBehind()
		is.True(selector.Source(others, true) != source)
		clock.Advance(duplicateLagWindow - 1)
		selector.ReplicaBehind() // another feed of the same replica
		is.Equal(selector.Source(others, true), next)
		clock.Advance(duplicateLagWindow)
		selector.ReplicaBehind()
		is.Equal(selector.Source(others, true), "")
		clock.Advance(sourceRetryDelay)
		is.Equal(selector.Source(others, true), source)

		// When all replicas and the store fail, the store remains.
		for range others {
			if from := selector.Source(others, true); from != "" {
				selector.PeerFailed(from)
			}
		}
		is.Equal(selector.Source(others, true), "")
		selector.StoreFailed()
		for range others {
			if from := selector.Source(others, true); from != "" {
				selector.PeerFailed(from)
			}
		}
		is.Equal(selector.Source(others, true), "")
		selector.StoreRecovered()
		is.Equal(selector.Source(others, true), source)
	}
}

// simulatedGroup simulates the selectors of the instances of one failure domain. refused
// holds the instances that the store refuses, storeLost those that have noticed it, and
// reportedLost those that have reported it to the others.
type simulatedGroup struct {
	clock        *waxfleet.Clock
	names        []string
	selectors    map[string]*Selector
	refused      map[string]bool
	storeLost    map[string]bool
	reportedLost map[string]bool
	nextCall     map[string]waxfleet.Millis
	calls        int
}

func newSimulatedGroup(clock *waxfleet.Clock, n int) *simulatedGroup {
	g := &simulatedGroup{
		clock:        clock,
		selectors:    map[string]*Selector{},
		refused:      map[string]bool{},
		storeLost:    map[string]bool{},
		reportedLost: map[string]bool{},
		nextCall:     map[string]waxfleet.Millis{},
	}
	for i := range n {
		name := fmt.Sprintf("edge-%d", i)
		g.names = append(g.names, name)
		g.selectors[name] = NewSelector(clock, name)
	}
	return g
}

// others returns the other instances that have not reported the loss of the store.
func (g *simulatedGroup) others(name string) []string {
	return slices.DeleteFunc(slices.Clone(g.names), func(n string) bool { return n == name || g.reportedLost[n] })
}

// step makes the next call of the instance and returns the source that responded: "" for
// the store, or another instance. ok is false when the instance has to wait.
func (g *simulatedGroup) step(name string) (source string, ok bool) {
	selector := g.selectors[name]
	for range g.names {
		source = selector.Source(g.others(name), false)
		if source == "" {
			g.calls++
			if !g.refused[name] {
				g.storeLost[name] = false
				return "", true
			}
			selector.StoreFailed()
			g.storeLost[name] = true
			if selector.Source(g.others(name), false) != "" {
				continue
			}
			shortest, _ := selector.RetryDelays(g.others(name), false, true)
			g.nextCall[name] = g.clock.Now() + shortest
			return "", false
		}
		if !g.storeLost[source] && g.selectors[source].Serves() {
			g.storeLost[name] = false
			return source, true
		}
		selector.PeerFailed(source)
	}
	return "", false
}

// run lets all instances make calls for the time t, and returns the source of the latest
// response to each instance. An instance calls again after 600 ms, or after its retry
// delay.
func (g *simulatedGroup) run(t waxfleet.Millis) map[string]string {
	sources := map[string]string{}
	for end := g.clock.Now() + t; g.clock.Now() < end; g.clock.Advance(20) {
		if g.clock.Now()%200 == 0 {
			g.reportedLost = maps.Clone(g.storeLost)
		}
		for _, name := range g.names {
			if g.clock.Now() < g.nextCall[name] {
				continue
			}
			g.nextCall[name] = g.clock.Now() + 600
			if source, ok := g.step(name); ok {
				sources[name] = source
			} else {
				delete(sources, name)
			}
		}
	}
	return sources
}

// TestWatcherTurnedAway guards against a failure domain whose instances all call the
// store for ten seconds when the store refuses the one instance that watches it. In a
// large deployment this cost a seventh of a day's calls.
func TestWatcherTurnedAway(t *testing.T) {
	for refused := range 6 {
		t.Run(fmt.Sprint(refused), func(t *testing.T) {
			is := is.New(t)
			clock := waxfleet.NewManualClock(10_000)
			g := newSimulatedGroup(clock, 14)
			g.run(2_000)
			order := slices.SortedFunc(slices.Values(g.names), waxplace.CompareByHash)
			for _, name := range order[:refused] {
				g.refused[name] = true
			}
			sources := g.run(9_000)
			is.Equal(len(sources), len(g.names)) // each instance has a current replica
			direct := 0
			for _, source := range sources {
				if source == "" {
					direct++
				}
			}
			is.Equal(direct, 1) // one instance watches the store

			// There is no cycle: each chain of followers ends at the watcher.
			for _, name := range g.names {
				hops := 0
				for at := name; sources[at] != ""; at = sources[at] {
					hops++
					is.True(hops <= len(g.names))
				}
			}
		})
	}
}

// TestStoreAwayForAll guards against instances that retry calls to an unavailable store
// without a delay: 69 instances made 2,400 calls in three seconds.
func TestStoreAwayForAll(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(10_000)
	g := newSimulatedGroup(clock, 14)
	g.run(2_000)
	for _, name := range g.names {
		g.refused[name] = true
	}
	g.calls = 0
	g.run(3_000)
	// The watcher calls at most every 100 ms, each other instance at most twice.
	is.True(g.calls <= 30+2*13)
}

// TestLostStore guards against followers that keep following an instance that the store
// refuses. When the store refused both watchers, the other instances did not get a new
// configuration.
func TestLostStore(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(10_000)
	r := New(clock, always)
	feed := serveReplica(t, r)
	Update(r, waxfleet.Batch[string]{Full: true, Revision: 5}, clock.Now())
	waiting := make(chan error, 1)
	go func() {
		_, err := feed.Watch(context.Background(), 5, 30_000)
		waiting <- err
	}()
	r.SetStoreLost(true)
	is.Equal(waxfleet.CodeOf(<-waiting), waxfleet.CodePeerUnreachable)
	_, err := feed.List(context.Background())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodePeerUnreachable)
	r.SetStoreLost(false)
	_, err = feed.List(context.Background())
	is.NoErr(err)
}

// TestSilentStore guards against a watcher that the store has stopped answering without a
// refusal: other instances report changes that it lacks, and ending its call at each of
// these reports kept the call from its timeout, so that the instance sent requests to
// servers that had left 4.5 s before.
func TestSilentStore(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(100_000)
	order := slices.SortedFunc(slices.Values([]string{"edge-1", "edge-2", "edge-3"}), waxplace.CompareByHash)
	selector := NewSelector(clock, order[0])
	is.Equal(selector.Source(order[1:], false), "")
	is.True(!selector.ReplicaBehind()) // the call goes on
	clock.Advance(400)
	is.True(!selector.ReplicaBehind())
	is.Equal(selector.Source(order[1:], false), "")
	clock.Advance(400)
	is.True(selector.ReplicaBehind())
	is.Equal(selector.Source(order[1:], false), order[1])
	is.True(!selector.Serves()) // the next instance may follow this one
	clock.Advance(sourceRetryDelay)
	is.Equal(selector.Source(order[1:], false), "")

	// A slow store, which lags now and then, is not left.
	for range 5 {
		clock.Advance(repeatedLagWindow)
		is.True(!selector.ReplicaBehind())
		is.Equal(selector.Source(order[1:], false), "")
	}

	// Nobody else reaches the store: the call gets its time.
	clock.Advance(storeLagTimeout)
	is.True(selector.ReplicaBehind())
	is.Equal(selector.Source(nil, false), "")
	for range 5 {
		clock.Advance(400)
		is.True(!selector.ReplicaBehind())
	}
}
