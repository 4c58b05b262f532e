// Package waxfollow keeps a local copy of one feed of the platform's store up to date. It
// lists the objects once and then watches for changes, at the store itself or at the
// replica of another instance.
package waxfollow

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cenkalti/backoff/v4"

	"waxwingdrift.org/waxfleet"
)

const (
	// peerRetryDelay is the delay after each failed replica from the second one on.
	// Meanwhile other instances report whether they reach the store.
	peerRetryDelay waxfleet.Millis = 200
	// storeResponseTimeout is the timeout for a response of the store, in addition to the
	// wait of a watch. A slow store takes some hundred ms. An unresponsive store is
	// detected after this timeout and the shortest wait. That has to be well below the
	// two seconds within which changes are in force.
	storeResponseTimeout waxfleet.Millis = 700
	// peerResponseTimeout is the same for the replica of another instance.
	peerResponseTimeout waxfleet.Millis = 500
)

// Source is the target of the next call.
type Source[T any] struct {
	Feed waxfleet.Feed[T]
	// Peer is the instance whose replica is followed; empty for the store itself.
	Peer string
	// Wait is the maximum wait of a watch. It bounds how long a broken connection goes
	// undetected, and the age of the confirmed state.
	Wait waxfleet.Millis
	// MaxLag is the lag above which a replica counts as failed; 0 for no limit.
	MaxLag waxfleet.Millis
	// Winner is set if the feed asks several sources at once, and returns the one whose answer
	// was taken, like Peer.
	Winner func() string
}

// Options configures a Follower.
type Options[T any] struct {
	// Name is the name of the feed in log lines.
	Name  string
	Clock *waxfleet.Clock
	Log   *slog.Logger
	// Source returns the target of the next call. It is called before each call, and
	// again after a failed call to the store.
	Source func() Source[T]
	// Apply receives each batch, including those without records. asOf is the latest
	// clock time at which the store is known to have had that state. Calls do not
	// overlap.
	Apply func(b waxfleet.Batch[T], asOf waxfleet.Millis)
	// PeerFailed is called when the replica of a peer can't be followed.
	PeerFailed func(peer string, err error)
	// StaleList makes the first list of the store a stale one, which costs less, followed
	// at once by a watch that returns the changes since.
	StaleList bool
	// MinInterval is the minimum interval between two calls, so that changes in quick
	// succession cost one call.
	MinInterval waxfleet.Millis
	// RetryDelays returns the bounds of the retry delay after a failed call to the store.
	// The instance and feed with the shortest delay detect first that the store has
	// recovered; Interrupt ends the delays of the others.
	RetryDelays func() (shortest, longest waxfleet.Millis)
	// StoreFailed is called after each failed call to the store.
	StoreFailed func()
	// StoreLost is called after the first failed call to the store, and StoreRecovered
	// when the local copy is up to date again. peer is the instance whose replica it
	// comes from, or empty for the store. Both may be nil.
	StoreLost      func(err error)
	StoreRecovered func(peer string)
}

// Follower keeps the local copy of a feed up to date. It is safe for concurrent use.
type Follower[T any] struct {
	opts      Options[T]
	storeLost bool
	// noStaleList is set once a list of the store has failed or the store has discarded
	// its history. It may then lack the changes since a stale state.
	noStaleList bool
	done        chan struct{}

	mu          sync.Mutex
	cancel      context.CancelFunc
	interrupted bool
}

// New starts a follower that runs until ctx ends.
func New[T any](ctx context.Context, opts Options[T]) *Follower[T] {
	f := &Follower[T]{opts: opts, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Done returns a channel that is closed when the follower has ended.
func (f *Follower[T]) Done() <-chan struct{} { return f.done }

// Interrupt ends the current call or delay, so that the next call is made at once.
func (f *Follower[T]) Interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.interrupted = true
		f.cancel()
	}
}

func (f *Follower[T]) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff(backoff.WithMaxElapsedTime(0))
	retrying := false
	peerFailures := 0
	var revision waxfleet.Revision
	var pause waxfleet.Millis
	listed := false
	for ctx.Err() == nil {
		source := f.opts.Source()
		// Records are confirmed once in a wait, including the pause before the call.
		source.Wait, pause = max(source.Wait-pause, 0), 0
		started := f.opts.Clock.Now()
		next, err := f.callOnce(ctx, source, listed, revision)
		switch {
		case err == nil:
			retrying, peerFailures = false, 0
			listed, revision = true, next
			if pause = max(f.opts.MinInterval-(f.opts.Clock.Now()-started), 0); pause > 0 {
				_ = f.opts.Clock.Sleep(ctx, pause)
			}
		case ctx.Err() != nil || f.takeInterrupt():
		case waxfleet.CodeOf(err) == waxfleet.CodeHistoryGone:
			f.opts.Log.Warn("store history discarded; listing again", "feed", f.opts.Name, "revision", revision)
			listed, f.noStaleList = false, true
		case source.Winner != nil:
			f.opts.Log.Warn("no recent copy found", "feed", f.opts.Name, "error", err.Error())
		case source.Peer != "":
			f.opts.Log.Warn("failed to follow replica", "feed", f.opts.Name, "peer", source.Peer, "error", err.Error())
			f.opts.PeerFailed(source.Peer, err)
			if peerFailures++; peerFailures > 1 {
				f.sleep(ctx, peerRetryDelay)
			}
		default:
			f.noteStoreFailure(err)
			if f.opts.Source().Peer != "" {
				continue
			}
			shortest, longest := f.opts.RetryDelays()
			retry.InitialInterval, retry.MaxInterval = shortest.Duration(), longest.Duration()
			if !retrying {
				retry.Reset()
				retrying = true
			}
			f.sleep(ctx, waxfleet.MillisOf(retry.NextBackOff()))
		}
	}
}

// sleep waits for the delay before the next call. Interrupt ends the wait.
func (f *Follower[T]) sleep(ctx context.Context, delay waxfleet.Millis) {
	delayCtx, cancel := f.newCallContext(ctx, delay)
	defer cancel()
	<-delayCtx.Done()
}

// takeInterrupt reports whether Interrupt ended the last call, and resets that state.
func (f *Follower[T]) takeInterrupt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	interrupted := f.interrupted
	f.interrupted = false
	return interrupted
}

// newCallContext returns the context of a call or delay, which Interrupt cancels.
func (f *Follower[T]) newCallContext(ctx context.Context, timeout waxfleet.Millis) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.interrupted = cancel, false
	return callCtx, cancel
}

// callOnce makes one call and applies the batch. It returns the revision of the batch.
func (f *Follower[T]) callOnce(ctx context.Context, source Source[T], listed bool, revision waxfleet.Revision) (waxfleet.Revision, error) {
	sent := f.opts.Clock.Now()
	responseTimeout := storeResponseTimeout
	if source.Peer != "" {
		responseTimeout = peerResponseTimeout
	}
	var b waxfleet.Batch[T]
	var err error
	if f.storeLost {
		// Don't wait for a change: until the call returns, this instance does not serve
		// its replica.
		source.Wait = 0
	}
	if listed {
		callCtx, cancel := f.newCallContext(ctx, source.Wait+responseTimeout)
		defer cancel()
		b, err = source.Feed.Watch(callCtx, revision, source.Wait)
	} else {
		callCtx, cancel := f.newCallContext(ctx, 2*responseTimeout)
		defer cancel()
		b, err = f.list(callCtx, source)
	}
	if err != nil {
		return 0, err
	}
	if listed && source.Peer == "" && source.Winner == nil {
		// The store has answered when a change came, or when the wait was over.
		b.SeenLag = b.Lag - min(f.opts.Clock.Now()-sent, source.Wait)
	}
	if source.MaxLag > 0 && b.Lag > source.MaxLag {
		return 0, waxfleet.NewError(waxfleet.CodePeerUnreachable, "replica is %d ms behind the store", b.Lag)
	}
	peer := source.Peer
	if source.Winner != nil {
		peer = source.Winner()
	}
	f.noteStoreRecovered(peer)
	b.Restored = revision > 0 && b.Revision.Era() > revision.Era()
	if b.Restored {
		f.opts.Log.Warn("store restored from a copy", "feed", f.opts.Name, "revision", b.Revision, "previous-revision", revision)
	}
	f.logUnreadable(b.Records)
	f.opts.Apply(b, sent-b.Lag)
	return b.Revision, nil
}

// list returns all records of the source.
func (f *Follower[T]) list(ctx context.Context, source Source[T]) (waxfleet.Batch[T], error) {
	if !f.opts.StaleList || f.noStaleList || source.Peer != "" || source.Winner != nil {
		return source.Feed.List(ctx)
	}
	b, err := source.Feed.ListStale(ctx)
	var changes waxfleet.Batch[T]
	if err == nil {
		changes, err = source.Feed.Watch(ctx, b.Revision, 0)
	}
	if err != nil {
		f.noStaleList = true
		return waxfleet.Batch[T]{}, err
	}
	return b.With(changes), nil
}

// logUnreadable logs the records that can't be decoded.
func (f *Follower[T]) logUnreadable(records []waxfleet.Record[T]) {
	for _, r := range records {
		if !r.Deleted && !r.Decoded {
			f.opts.Log.Warn("failed to decode object", "feed", f.opts.Name, "object", r.Name, "revision", r.Revision,
				"code", int(waxfleet.CodeObjectUnreadable), "problem", r.DecodeError)
		}
	}
}

// noteStoreFailure reports a failed call to the store, and the loss of the store after
// the first one.
func (f *Follower[T]) noteStoreFailure(err error) {
	f.opts.StoreFailed()
	if f.storeLost {
		return
	}
	f.storeLost = true
	f.opts.Log.Warn("dependency lost", "dependency", "store", "feed", f.opts.Name, "error", err.Error())
	if f.opts.StoreLost != nil {
		f.opts.StoreLost(err)
	}
}

// noteStoreRecovered reports the recovery of the store after a loss.
func (f *Follower[T]) noteStoreRecovered(peer string) {
	if !f.storeLost {
		return
	}
	f.storeLost = false
	f.opts.Log.Info("dependency regained", "dependency", "store", "feed", f.opts.Name, "peer", peer)
	if f.opts.StoreRecovered != nil {
		f.opts.StoreRecovered(peer)
	}
}
