package waxreplica

import (
	"context"
	"slices"
	"time"

	"waxwingdrift.org/waxfleet"
)

const (
	// freshestTimeout is the timeout of a query of several sources at once.
	freshestTimeout waxfleet.Millis = 300
	// goodAge is the age of a copy for which no further answer is awaited.
	goodAge waxfleet.Millis = 400
)

// NamedFeed is a source of a feed: the store, with an empty name, or the copy of an instance.
type NamedFeed[T any] struct {
	Name string
	// Outsider is set for an instance outside of the own group.
	Outsider bool
	Feed     waxfleet.Feed[T]
}

// QueryResult is the result of a query of several sources.
type QueryResult struct {
	// Found is true if an answer was taken, from Winner: an instance, or "" for the store.
	// Outsider is true if that is outside of the own group, and Recent if its copy is so
	// recent that it gets changes without delay.
	Found    bool
	Winner   string
	Outsider bool
	Recent   bool
	// Old holds the instances that gave no recent answer.
	Old []string
	// StoreFailed is true if the store was asked and did not respond, or refused.
	StoreFailed bool
}

// Freshest is a feed that asks several sources at once, because the one that was followed is
// gone or out of date, and returns the most recent answer.
type Freshest[T any] struct {
	waxfleet.Feed[T]
	sources []NamedFeed[T]
	// maxLag is the lag from which an answer is too old to be of use.
	maxLag waxfleet.Millis
	ended  func(QueryResult)
}

// NewFreshest returns a feed that asks the sources. The feed of the store decodes records.
// An answer whose lag is not below maxLag counts as none. ended is called after each query.
func NewFreshest[T any](store waxfleet.Feed[T], sources []NamedFeed[T], maxLag waxfleet.Millis, ended func(QueryResult)) *Freshest[T] {
	return &Freshest[T]{Feed: store, sources: sources, maxLag: maxLag, ended: ended}
}

// List implements waxfleet.Feed.
func (f *Freshest[T]) List(ctx context.Context) (waxfleet.Batch[T], error) {
	return f.ask(ctx, func(ctx context.Context, feed waxfleet.Feed[T]) (waxfleet.Batch[T], error) { return feed.List(ctx) })
}

// Watch implements waxfleet.Feed. It does not wait for changes.
func (f *Freshest[T]) Watch(ctx context.Context, after waxfleet.Revision, _ waxfleet.Millis) (waxfleet.Batch[T], error) {
	return f.ask(ctx, func(ctx context.Context, feed waxfleet.Feed[T]) (waxfleet.Batch[T], error) {
		return feed.Watch(ctx, after, 0)
	})
}

// answer is the answer of a source.
type answer[T any] struct {
	source NamedFeed[T]
	batch  waxfleet.Batch[T]
	err    error
}

// ask makes a call to all sources, and returns the answer with the least lag once it is good
// enough, all have answered or freshestTimeout is over.
//
// Errors: CodePeerUnreachable when no answer is recent enough.
func (f *Freshest[T]) ask(ctx context.Context, call func(context.Context, waxfleet.Feed[T]) (waxfleet.Batch[T], error)) (waxfleet.Batch[T], error) {
	ctx, cancel := context.WithTimeout(ctx, freshestTimeout.Duration())
	defer cancel()
	started := time.Now()
	answers := make(chan answer[T], len(f.sources))
	for _, s := range f.sources {
		go func() {
			b, err := call(ctx, s.Feed)
			answers <- answer[T]{source: s, batch: b, err: err}
		}()
	}
	lags := map[string]waxfleet.Millis{}
	storeAsked := slices.ContainsFunc(f.sources, func(s NamedFeed[T]) bool { return s.Name == "" })
	storeAnswered, storeFailed := false, false
	var best *answer[T]
	for range f.sources {
		var a answer[T]
		select {
		case a = <-answers:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		if a.source.Name == "" {
			storeAnswered, storeFailed = a.err == nil, a.err != nil
		}
		if a.err != nil || a.batch.SeenLag >= f.maxLag {
			continue
		}
		lags[a.source.Name] = a.batch.SeenLag
		if best == nil || a.batch.SeenLag < best.batch.SeenLag {
			best = &a
		}
		if waxfleet.MillisOf(time.Since(started))+best.batch.SeenLag <= goodAge {
			break
		}
	}
	storeFailed = storeFailed || storeAsked && !storeAnswered && ctx.Err() != nil
	if best == nil {
		f.ended(QueryResult{Old: f.old(lags, 0, true), StoreFailed: storeFailed})
		return waxfleet.Batch[T]{}, waxfleet.NewError(waxfleet.CodePeerUnreachable, "none of %d sources has a copy younger than %d ms", len(f.sources), f.maxLag)
	}
	f.ended(QueryResult{
		Found: true, Winner: best.source.Name, Outsider: best.source.Outsider, Recent: best.batch.SeenLag <= goodAge,
		Old: f.old(lags, best.batch.SeenLag+goodAge, ctx.Err() != nil), StoreFailed: storeFailed,
	})
	return best.batch, nil
}

// old returns the instances whose answers had more than the lag and, if silent is set, those
// that gave none.
func (f *Freshest[T]) old(lags map[string]waxfleet.Millis, lag waxfleet.Millis, silent bool) []string {
	var names []string
	for _, s := range f.sources {
		l, ok := lags[s.Name]
		if s.Name != "" && (ok && l > lag || !ok && silent) {
			names = append(names, s.Name)
		}
	}
	return names
}
