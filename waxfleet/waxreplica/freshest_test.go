package waxreplica

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// scriptedFeed answers after a delay with a lag, or with an error.
type scriptedFeed struct {
	textFeed
	delay time.Duration
	lag   waxfleet.Millis
	err   error
}

// Watch implements waxfleet.Feed.
func (f scriptedFeed) Watch(ctx context.Context, _ waxfleet.Revision, _ waxfleet.Millis) (waxfleet.Batch[string], error) {
	select {
	case <-time.After(f.delay):
		return waxfleet.Batch[string]{Revision: 7, Lag: f.lag, SeenLag: f.lag}, f.err
	case <-ctx.Done():
		return waxfleet.Batch[string]{}, ctx.Err()
	}
}

// TestFreshest guards against a query that takes the copy of an instance that is itself out of
// date while another source has a recent one, and against one that waits for sources that are
// gone although it has a good answer.
func TestFreshest(t *testing.T) {
	const never = time.Hour
	gone := errors.New("gone")
	for name, test := range map[string]struct {
		sources map[string]scriptedFeed
		winner  string
		found   bool
		// quick is set if the answer must not wait for the timeout.
		quick bool
	}{
		"store":           {sources: map[string]scriptedFeed{"": {}, "a": {lag: 900}, "b": {delay: never}}, found: true, quick: true},
		"youngest copy":   {sources: map[string]scriptedFeed{"": {delay: never}, "a": {lag: 900}, "b": {lag: 200, delay: 20 * time.Millisecond}}, winner: "b", found: true, quick: true},
		"store refuses":   {sources: map[string]scriptedFeed{"": {err: gone}, "a": {lag: 700}, "b": {lag: 800}}, winner: "a", found: true, quick: true},
		"late but better": {sources: map[string]scriptedFeed{"a": {lag: 900}, "b": {lag: 600, delay: 30 * time.Millisecond}, "c": {delay: never}}, winner: "b", found: true},
		"none younger":    {sources: map[string]scriptedFeed{"a": {lag: 1_000}, "b": {lag: 2_000}}, quick: true},
		"all gone":        {sources: map[string]scriptedFeed{"": {delay: never}, "a": {err: gone}}},
		"nobody":          {quick: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var sources []NamedFeed[string]
			for source, feed := range test.sources {
				sources = append(sources, NamedFeed[string]{Name: source, Feed: feed})
			}
			winner, found, calls := "", false, 0
			f := NewFreshest[string](textFeed{}, sources, 1_000, func(r QueryResult) {
				winner, found = r.Winner, r.Found
				calls++
			})
			started := time.Now()
			b, err := f.Watch(t.Context(), 5, 30_000)
			is.Equal(found, test.found)
			is.Equal(winner, test.winner)
			is.Equal(calls, 1)
			is.Equal(err == nil, test.found)
			if test.found {
				is.Equal(b.Revision, waxfleet.Revision(7))
			}
			is.True(!test.quick || time.Since(started) < freshestTimeout.Duration())
		})
	}
}
