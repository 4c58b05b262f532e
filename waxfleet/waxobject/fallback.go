package waxobject

import (
	"context"

	"waxwingdrift.org/waxfleet"
)

// maxRelays bounds the relays that one call tries. If one can't reach the
// platform either, further ones are unlikely to.
const maxRelays = 2

// Fallback is an ObjectStore that uses peers as relays when this instance can't
// reach the platform.
type Fallback struct {
	primary waxfleet.ObjectStore
	relays  func() []waxfleet.ObjectStore
}

var _ waxfleet.ObjectStore = (*Fallback)(nil)

// NewFallback returns a store that calls primary first. relays returns the stores
// of peers in order of preference. A relay must return CodePlatformUnreachable
// only if nothing was written.
func NewFallback(primary waxfleet.ObjectStore, relays func() []waxfleet.ObjectStore) *Fallback {
	return &Fallback{primary: primary, relays: relays}
}

// Get implements waxfleet.ObjectStore.
func (f *Fallback) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	return firstReachable(ctx, f, func(s waxfleet.ObjectStore) (waxfleet.Object, error) {
		return s.Get(ctx, kind, name)
	})
}

// Put implements waxfleet.ObjectStore.
func (f *Fallback) Put(ctx context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	return firstReachable(ctx, f, func(s waxfleet.ObjectStore) (waxfleet.Object, error) {
		return s.Put(ctx, kind, name, value, version)
	})
}

// Delete implements waxfleet.ObjectStore.
func (f *Fallback) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := firstReachable(ctx, f, func(s waxfleet.ObjectStore) (struct{}, error) {
		return struct{}{}, s.Delete(ctx, kind, name, version)
	})
	return err
}

// List implements waxfleet.ObjectStore.
func (f *Fallback) List(ctx context.Context, kind string) ([]waxfleet.Object, error) {
	return firstReachable(ctx, f, func(s waxfleet.ObjectStore) ([]waxfleet.Object, error) {
		return s.List(ctx, kind)
	})
}

// Watch implements waxfleet.ObjectStore.
func (f *Fallback) Watch(ctx context.Context, kind, name string, after uint64) (waxfleet.Object, error) {
	return firstReachable(ctx, f, func(s waxfleet.ObjectStore) (waxfleet.Object, error) {
		return s.Watch(ctx, kind, name, after)
	})
}

// firstReachable tries the primary, then the relays. It tries the next store only
// after CodePlatformUnreachable: after CodePlatformUnknown a write may have taken
// effect, and a second one could return a misleading conflict.
func firstReachable[T any](ctx context.Context, f *Fallback, do func(waxfleet.ObjectStore) (T, error)) (T, error) {
	result, err := do(f.primary)
	if waxfleet.CodeOf(err) != waxfleet.CodePlatformUnreachable {
		return result, err
	}
	relays := f.relays()
	for _, relay := range relays[:min(len(relays), maxRelays)] {
		if ctx.Err() != nil {
			break
		}
		result, err = do(relay)
		if waxfleet.CodeOf(err) != waxfleet.CodePlatformUnreachable {
			break
		}
	}
	return result, err
}
