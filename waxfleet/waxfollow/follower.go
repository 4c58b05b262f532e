// Package waxfollow keeps a local copy of one kind of objects of the platform's
// store: it lists them once and then watches for changes, at the store itself or
// at the copy of another instance.
package waxfollow

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cenkalti/backoff/v4"

	"waxwingdrift.org/waxfleet"
)

const (
	// copyPause is the pause after the second and each further copy that fails, in ms.
	// Meanwhile other instances tell whether the store answers them.
	copyPause waxfleet.Millis = 200
	// answerTime is how long an answer may take beyond the wait of a watch, in ms.
	// A slow store takes some hundred ms. With the shortest wait it bounds how long
	// a silent store goes unnoticed, which has to stay clearly below the two seconds
	// within which changes are in force.
	answerTime waxfleet.Millis = 700
	// peerAnswerTime is the same for the copy of another instance, in ms.
	peerAnswerTime waxfleet.Millis = 500
)

// Source is where the next call goes.
type Source[T any] struct {
	Feed waxfleet.Feed[T]
	// Peer is the instance whose copy is followed; empty for the store itself.
	Peer string
	// Wait is the longest wait of a watch. It bounds how long a silent connection
	// goes unnoticed, and the age of the confirmed state.
	Wait waxfleet.Millis
	// MaxLag is the age from which a copy counts as failed; 0 for no bound.
	MaxLag waxfleet.Millis
}

// Options configure a Follower.
type Options[T any] struct {
	// Name is the name of the feed in logs.
	Name  string
	Clock *waxfleet.Clock
	Log   *slog.Logger
	// Source is asked before each call.
	Source func() Source[T]
	// Apply takes each batch, also those without records, with the clock time at
	// which the store had the state for certain. Calls do not overlap.
	Apply func(b waxfleet.Batch[T], asOf waxfleet.Millis)
	// PeerFailed is called when a peer's copy can't be followed.
	PeerFailed func(peer string, err error)
	// Pace is the least time between two calls, in ms, so that changes which come
	// close together cost one call.
	Pace waxfleet.Millis
	// Retry returns the bounds of the pause after a failed call, in ms. The instance
	// and feed with the shortest one find out first that the store is back; Interrupt
	// ends the pauses of the others.
	Retry func() (first, longest waxfleet.Millis)
	// StoreFailed is called after each failed call to the store.
	StoreFailed func()
	// Lost is called when the store fails, and Regained when the copy is current
	// again, by the store's answer or by the copy of the instance named.
	Lost     func(err error)
	Regained func(peer string)
}

// Follower keeps a copy of a feed current.
type Follower[T any] struct {
	opts Options[T]
	lost bool
	done chan struct{}

	mu          sync.Mutex
	cancel      context.CancelFunc
	interrupted bool
}

// New returns a follower that runs until ctx ends.
func New[T any](ctx context.Context, opts Options[T]) *Follower[T] {
	f := &Follower[T]{opts: opts, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Done is closed when the follower has ended.
func (f *Follower[T]) Done() <-chan struct{} { return f.done }

// Interrupt ends the present call or pause, so that the next call is made at once.
func (f *Follower[T]) Interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.interrupted = true
		f.cancel()
	}
}

func (f *Follower[T]) run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff(backoff.WithMaxElapsedTime(0))
	pausing := false
	copiesFailed := 0
	var revision uint64
	listed := false
	for ctx.Err() == nil {
		source := f.opts.Source()
		started := f.opts.Clock.Now()
		next, err := f.step(ctx, source, listed, revision)
		switch {
		case err == nil:
			pausing, copiesFailed = false, 0
			listed, revision = true, next
			if left := f.opts.Pace - (f.opts.Clock.Now() - started); left > 0 {
				_ = f.opts.Clock.Sleep(ctx, left)
			}
		case ctx.Err() != nil || f.wasInterrupted():
		case waxfleet.CodeOf(err) == waxfleet.CodeHistoryGone:
			f.opts.Log.Warn("history gone, listing again", "feed", f.opts.Name, "revision", revision)
			listed = false
		case source.Peer != "":
			f.opts.Log.Warn("copy failed", "feed", f.opts.Name, "peer", source.Peer, "error", err.Error())
			f.opts.PeerFailed(source.Peer, err)
			if copiesFailed++; copiesFailed > 1 {
				f.rest(ctx, copyPause)
			}
		default:
			f.failed(err)
			if f.opts.Source().Peer != "" {
				continue
			}
			first, longest := f.opts.Retry()
			pause.InitialInterval, pause.MaxInterval = first.Duration(), longest.Duration()
			if !pausing {
				pause.Reset()
				pausing = true
			}
			f.rest(ctx, waxfleet.MillisOf(pause.NextBackOff()))
		}
	}
}

// rest waits before the next call, unless Interrupt is called.
func (f *Follower[T]) rest(ctx context.Context, pause waxfleet.Millis) {
	restCtx, cancel := f.begin(ctx, pause)
	defer cancel()
	<-restCtx.Done()
}

func (f *Follower[T]) wasInterrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	interrupted := f.interrupted
	f.interrupted = false
	return interrupted
}

// begin returns the context of a call or pause, which Interrupt ends.
func (f *Follower[T]) begin(ctx context.Context, timeout waxfleet.Millis) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.interrupted = cancel, false
	return callCtx, cancel
}

// step makes one call and applies its answer.
func (f *Follower[T]) step(ctx context.Context, source Source[T], listed bool, revision uint64) (uint64, error) {
	sent := f.opts.Clock.Now()
	answer := answerTime
	if source.Peer != "" {
		answer = peerAnswerTime
	}
	var b waxfleet.Batch[T]
	var err error
	if f.lost {
		// The copy is not passed on until this call returns.
		source.Wait = 0
	}
	if listed {
		callCtx, cancel := f.begin(ctx, source.Wait+answer)
		defer cancel()
		b, err = source.Feed.Watch(callCtx, revision, source.Wait)
	} else {
		callCtx, cancel := f.begin(ctx, 2*answer)
		defer cancel()
		b, err = source.Feed.List(callCtx)
	}
	if err != nil {
		return 0, err
	}
	if source.MaxLag > 0 && b.Lag > source.MaxLag {
		return 0, waxfleet.NewError(waxfleet.CodePeerUnreachable, "the copy is %d ms old", b.Lag)
	}
	f.regained(source.Peer)
	f.report(b.Records)
	f.opts.Apply(b, sent-b.Lag)
	return b.Revision, nil
}

// report logs the records that can't be decoded.
func (f *Follower[T]) report(records []waxfleet.Record[T]) {
	for _, r := range records {
		if !r.Deleted && !r.Readable {
			f.opts.Log.Warn("object unreadable", "feed", f.opts.Name, "object", r.Name, "revision", r.Revision,
				"code", int(waxfleet.CodeObjectUnreadable), "problem", r.Problem)
		}
	}
}

func (f *Follower[T]) failed(err error) {
	f.opts.StoreFailed()
	if f.lost {
		return
	}
	f.lost = true
	f.opts.Log.Warn("dependency lost", "dependency", "store", "feed", f.opts.Name, "error", err.Error())
	if f.opts.Lost != nil {
		f.opts.Lost(err)
	}
}

func (f *Follower[T]) regained(peer string) {
	if !f.lost {
		return
	}
	f.lost = false
	f.opts.Log.Info("dependency regained", "dependency", "store", "feed", f.opts.Name, "peer", peer)
	if f.opts.Regained != nil {
		f.opts.Regained(peer)
	}
}
