package waxfollow

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// scriptFeed responds to each call with the next line of a script.
type scriptFeed struct {
	name  string
	mu    sync.Mutex
	lines []string
	trace *trace
}

// trace records what the follower did, and stops it at the end of the script.
type trace struct {
	mu   sync.Mutex
	text strings.Builder
	stop context.CancelFunc
}

func (t *trace) add(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(&t.text, format+"\n", args...)
}

func (f *scriptFeed) next(ctx context.Context, call string) (waxfleet.Batch[string], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lines) == 0 {
		f.trace.stop()
		<-ctx.Done()
		return waxfleet.Batch[string]{}, ctx.Err()
	}
	line := f.lines[0]
	f.lines = f.lines[1:]
	f.trace.add("%s %s -> %s", f.name, call, line)
	var code, revision, lag int
	if n, _ := fmt.Sscanf(line, "error %d", &code); n == 1 {
		return waxfleet.Batch[string]{}, waxfleet.NewError(waxfleet.Code(code), "scripted")
	}
	if _, err := fmt.Sscanf(line, "revision %d lag %d", &revision, &lag); err != nil {
		panic(err)
	}
	return waxfleet.Batch[string]{Full: call == "list", Revision: waxfleet.Revision(revision), Lag: waxfleet.Millis(lag)}, nil
}

func (f *scriptFeed) List(ctx context.Context) (waxfleet.Batch[string], error) {
	return f.next(ctx, "list")
}

func (f *scriptFeed) ListStale(ctx context.Context) (waxfleet.Batch[string], error) {
	b, err := f.next(ctx, "stale list")
	b.Full = true
	return b, err
}

func (f *scriptFeed) Watch(ctx context.Context, after waxfleet.Revision, wait waxfleet.Millis) (waxfleet.Batch[string], error) {
	if wait == 0 {
		return f.next(ctx, fmt.Sprintf("watch after %d without wait", after))
	}
	return f.next(ctx, fmt.Sprintf("watch after %d", after))
}

func (f *scriptFeed) Decode(name string, revision waxfleet.Revision, _ []byte) waxfleet.Record[string] {
	return waxfleet.Record[string]{Name: name, Revision: revision}
}

// TestFollower runs scripts against a store and the replica of another instance. They
// guard against a follower that does not list again after a gap in the history, an
// undetected loss of the store, and the use of an outdated replica.
func TestFollower(t *testing.T) {
	datadriven.RunTest(t, "testdata/follower", func(t *testing.T, d *datadriven.TestData) string {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		tr := &trace{stop: cancel}
		store, peer := &scriptFeed{name: "store", trace: tr}, &scriptFeed{name: "peer", trace: tr}
		for _, line := range strings.Split(d.Input, "\n") {
			who, what, _ := strings.Cut(line, " ")
			if who == "peer" {
				peer.lines = append(peer.lines, what)
			} else {
				store.lines = append(store.lines, what)
			}
		}
		followPeer := len(peer.lines) > 0
		f := New(ctx, Options[string]{
			Name: "texts", Clock: waxfleet.NewClock(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			StaleList:   d.HasArg("stale-list"),
			RetryDelays: func() (waxfleet.Millis, waxfleet.Millis) { return 1, 1 }, StoreFailed: func() {},
			Source: func() Source[string] {
				if followPeer {
					return Source[string]{Feed: peer, Peer: "r2", Wait: 1000, MaxLag: 1000}
				}
				return Source[string]{Feed: store, Wait: 1000}
			},
			Apply: func(b waxfleet.Batch[string], _ waxfleet.Millis) {
				tr.add("apply full=%v revision=%d", b.Full, b.Revision)
			},
			PeerFailed: func(name string, err error) {
				tr.add("%s failed: %d", name, int(waxfleet.CodeOf(err)))
				followPeer = false
			},
			StoreLost:      func(err error) { tr.add("lost: %d", int(waxfleet.CodeOf(err))) },
			StoreRecovered: func(string) { tr.add("regained") },
		})
		<-f.Done()
		return tr.text.String()
	})
}

// waitFeed records the waits of watches, and answers them at once.
type waitFeed struct {
	scriptFeed
	waits chan waxfleet.Millis
}

// List implements waxfleet.Feed.
func (f *waitFeed) List(context.Context) (waxfleet.Batch[string], error) {
	return waxfleet.Batch[string]{Full: true, Revision: 1}, nil
}

// Watch implements waxfleet.Feed.
func (f *waitFeed) Watch(ctx context.Context, after waxfleet.Revision, wait waxfleet.Millis) (waxfleet.Batch[string], error) {
	select {
	case f.waits <- wait:
		return waxfleet.Batch[string]{Revision: after + 1}, nil
	case <-ctx.Done():
		return waxfleet.Batch[string]{}, ctx.Err()
	}
}

// TestPauseIsPartOfWait guards against a copy that is confirmed later than others expect,
// because a change came early and a pause follows it.
func TestPauseIsPartOfWait(t *testing.T) {
	is := is.New(t)
	const wait, pause waxfleet.Millis = 500, 100
	feed := &waitFeed{waits: make(chan waxfleet.Millis)}
	New(t.Context(), Options[string]{
		Name: "texts", Clock: waxfleet.NewClock(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), MinInterval: pause,
		Source: func() Source[string] { return Source[string]{Feed: feed, Wait: wait} },
		Apply:  func(waxfleet.Batch[string], waxfleet.Millis) {},
	})
	for range 3 {
		got := <-feed.waits
		is.True(got >= wait-pause && got < wait)
	}
}
