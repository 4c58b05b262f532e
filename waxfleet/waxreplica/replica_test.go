package waxreplica

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingdrift.org/waxfleet"
)

// textFeed decodes texts and has no store.
type textFeed struct{}

func (textFeed) List(context.Context) (waxfleet.Batch[string], error) {
	return waxfleet.Batch[string]{}, nil
}

func (textFeed) Watch(context.Context, uint64, waxfleet.Millis) (waxfleet.Batch[string], error) {
	return waxfleet.Batch[string]{}, nil
}

func (textFeed) Decode(name string, revision uint64, raw []byte) waxfleet.Record[string] {
	return waxfleet.Record[string]{Name: name, Revision: revision, Readable: true, Value: string(raw), Raw: raw}
}

// serve starts a server of one copy and returns the feed that follows it.
func serve(t *testing.T, r *Replica) Feed[string] {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(NewServer(map[string]*Replica{"texts": r}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return NewFeed[string](textFeed{}, NewPeers(), strings.TrimPrefix(s.URL, "http://"), "texts")
}

// apply applies a batch to a plain map, as a follower does.
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

// TestFollowersConverge guards against a follower that misses, repeats out of
// order or keeps what was deleted, however far it is behind.
func TestFollowersConverge(t *testing.T) {
	clock := waxfleet.NewManualClock(1_000)
	rapid.Check(t, func(rt *rapid.T) {
		r := New(clock)
		truth, copied := map[string]string{}, map[string]string{}
		revision, reached := uint64(10), uint64(0)
		Update(r, waxfleet.Batch[string]{Full: true, Revision: revision}, clock.Now())
		for range rapid.IntRange(1, 400).Draw(rt, "changes") {
			revision += uint64(rapid.IntRange(1, 3).Draw(rt, "step"))
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

func followOnce(rt *rapid.T, r *Replica, copied map[string]string, reached uint64) uint64 {
	reply, err := r.follow(context.Background(), reached, 0)
	if err != nil {
		rt.Fatal(err)
	}
	b := waxfleet.Batch[string]{Full: reply.GetFull()}
	for _, v := range reply.GetRecords() {
		b.Records = append(b.Records, waxfleet.Record[string]{Name: v.GetName(), Deleted: v.GetDeleted(), Value: string(v.GetRaw())})
	}
	apply(copied, b)
	return reply.GetRevision()
}

// TestLag guards against a proof that is taken for younger than it is: the age
// counts from the store's answer to the instance that is followed.
func TestLag(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(10_000)
	r := New(clock)
	feed := serve(t, r)
	_, err := feed.List(context.Background())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodePeerUnreachable) // nothing was read yet

	Update(r, waxfleet.Batch[string]{Full: true, Revision: 5, Records: []waxfleet.Record[string]{{Name: "a", Revision: 4, Raw: []byte("x")}}}, clock.Now()-300)
	clock.Advance(1_000)
	b, err := feed.List(context.Background())
	is.NoErr(err)
	is.True(b.Full)
	is.Equal(b.Lag, waxfleet.Millis(1_300))
	is.Equal(b.Records[0].Value, "x")

	b, err = feed.Watch(context.Background(), 5, 0)
	is.NoErr(err)
	is.True(!b.Full && len(b.Records) == 0)
	is.Equal(b.Revision, uint64(5))

	// An older batch that comes late does not make the state younger.
	Update(r, waxfleet.Batch[string]{Revision: 5}, clock.Now()-5_000)
	b, err = feed.Watch(context.Background(), 5, 0)
	is.NoErr(err)
	is.Equal(b.Lag, waxfleet.Millis(1_300))
}

// TestSelector guards against a fleet in which nobody watches the store, and against
// an instance that goes on following a copy that failed it.
func TestSelector(t *testing.T) {
	is := is.New(t)
	all := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7"}
	chosen := Watchers(all, true)
	is.Equal(len(chosen), watchersOfAll)
	is.Equal(Watchers(all, false), chosen[:watchersOfDomain])
	clock := waxfleet.NewManualClock(1_000)
	for _, name := range all {
		others := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == name })
		p := NewSelector(clock, name)
		source := p.Source(others, true)
		is.Equal(source == "", slices.Contains(chosen, name))
		is.Equal(p.Source(nil, true), "") // alone
		if source == "" {
			continue
		}
		is.True(slices.Contains(chosen, source))
		p.Failed(source)
		is.Equal(p.Source(others, true), "")
		clock.Advance(directTime)
		is.True(p.Source(others, true) != source)
		p.Behind()
		is.Equal(p.Source(others, true), "")
		clock.Advance(avoidTime)
		is.Equal(p.Source(others, true), source)

		// Neither the copy nor the store: the other watcher, then the store again.
		p.Failed(source)
		p.StoreFailed()
		other := p.Source(others, true)
		is.True(other != "" && other != source)
		p.Failed(other)
		is.Equal(p.Source(others, true), "")
		p.StoreReturned()
		clock.Advance(directTime)
		is.Equal(p.Source(others, true), source)
	}
}

// TestLostStore guards against followers that go on with the copy of an instance
// which the store turns away: found by a hunt in which the store turned away both
// instances that watched it, and the others did not learn of a new configuration.
func TestLostStore(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(10_000)
	r := New(clock)
	feed := serve(t, r)
	Update(r, waxfleet.Batch[string]{Full: true, Revision: 5}, clock.Now())
	waiting := make(chan error, 1)
	go func() {
		_, err := feed.Watch(context.Background(), 5, 30_000)
		waiting <- err
	}()
	r.SetLost(true)
	is.Equal(waxfleet.CodeOf(<-waiting), waxfleet.CodePeerUnreachable)
	_, err := feed.List(context.Background())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodePeerUnreachable)
	r.SetLost(false)
	_, err = feed.List(context.Background())
	is.NoErr(err)
}
