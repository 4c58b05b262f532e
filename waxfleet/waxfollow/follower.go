// Package waxfollow keeps a local copy of one kind of objects of the platform's
// store: it lists them once and then watches for changes.
package waxfollow

import (
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v4"

	"waxwingdrift.org/waxfleet"
)

const (
	// firstRetry and longestRetry bound the pause after a failed call. The store's
	// answers take milliseconds, and a change has to be in force within seconds.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 500 * time.Millisecond
	// answerTime is how long an answer may take beyond the wait of a watch, in ms.
	// A slow store takes some hundred ms; a silent connection is given up after it.
	answerTime waxfleet.Millis = 1_200
)

// Update is a change of the local copy.
type Update[T any] struct {
	// Full updates hold all records; others hold changes in order.
	Full    bool
	Records []waxfleet.Record[T]
	// Revision is the store's revision that the copy has reached.
	Revision uint64
	// Sent is the clock time at which the call was sent that confirmed the state.
	Sent waxfleet.Millis
}

// Options configure a Follower.
type Options[T any] struct {
	// Name is the name of the feed in logs.
	Name  string
	Clock *waxfleet.Clock
	Log   *slog.Logger
	// Wait is the longest wait of a watch. It bounds how long a silent connection
	// goes unnoticed, and the age of the confirmed state.
	Wait waxfleet.Millis
	// Apply takes each update, also those without records. Calls do not overlap.
	Apply func(Update[T])
	// Lost is called when the store fails and Regained when it answers again.
	Lost     func(err error)
	Regained func()
}

// Follower keeps a copy of a feed current.
type Follower[T any] struct {
	opts Options[T]
	feed waxfleet.Feed[T]
	lost bool
	done chan struct{}
}

// New returns a follower that runs until ctx ends.
func New[T any](ctx context.Context, feed waxfleet.Feed[T], opts Options[T]) *Follower[T] {
	f := &Follower[T]{opts: opts, feed: feed, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Done is closed when the follower has ended.
func (f *Follower[T]) Done() <-chan struct{} { return f.done }

func (f *Follower[T]) run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff(backoff.WithInitialInterval(firstRetry),
		backoff.WithMaxInterval(longestRetry), backoff.WithMaxElapsedTime(0))
	var revision uint64
	listed := false
	for ctx.Err() == nil {
		next, err := f.step(ctx, listed, revision)
		if err == nil {
			pause.Reset()
			listed, revision = true, next
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if waxfleet.CodeOf(err) == waxfleet.CodeHistoryGone {
			f.opts.Log.Warn("history gone, listing again", "feed", f.opts.Name, "revision", revision)
			listed = false
			continue
		}
		f.failed(err)
		_ = f.opts.Clock.Sleep(ctx, waxfleet.MillisOf(pause.NextBackOff()))
	}
}

// step makes one call and applies its answer.
func (f *Follower[T]) step(ctx context.Context, listed bool, revision uint64) (uint64, error) {
	sent := f.opts.Clock.Now()
	var records []waxfleet.Record[T]
	var err error
	if listed {
		callCtx, cancel := context.WithTimeout(ctx, (f.opts.Wait + answerTime).Duration())
		defer cancel()
		records, revision, err = f.feed.Watch(callCtx, revision, f.opts.Wait)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, (answerTime + answerTime).Duration())
		defer cancel()
		records, revision, err = f.feed.List(callCtx)
	}
	if err != nil {
		return 0, err
	}
	f.regained()
	f.report(records)
	f.opts.Apply(Update[T]{Full: !listed, Records: records, Revision: revision, Sent: sent})
	return revision, nil
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
	if f.lost {
		return
	}
	f.lost = true
	f.opts.Log.Warn("dependency lost", "dependency", "store", "feed", f.opts.Name, "error", err.Error())
	if f.opts.Lost != nil {
		f.opts.Lost(err)
	}
}

func (f *Follower[T]) regained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.opts.Log.Info("dependency regained", "dependency", "store", "feed", f.opts.Name)
	if f.opts.Regained != nil {
		f.opts.Regained()
	}
}
