package waxclaim

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxfleet"
)

// fault is an injected fault of one memoryStore call.
type fault int

const (
	faultNone fault = iota
	faultOutage
	faultResponseLost // a write takes effect, but its response is lost
	faultRequestLost  // a write is lost, and its outcome is unknown to the caller
	faultDelayed      // a write takes effect after later calls; its outcome is unknown to the caller
)

// memoryStore is an in-memory ObjectStore with fault injection.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]waxfleet.Object
	version uint64
	changed chan struct{}
	delayed []func()
	fault   func(write bool) fault
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]waxfleet.Object), changed: make(chan struct{}), fault: func(bool) fault { return faultNone }}
}

func (m *memoryStore) setFault(f func(write bool) fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

func unreachable() error { return waxfleet.NewError(waxfleet.CodePlatformUnreachable, "outage") }

// write runs apply as the fault of the call requires.
func (m *memoryStore) write(apply func() (waxfleet.Object, error)) (waxfleet.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	unknown := waxfleet.NewError(waxfleet.CodePlatformUnknown, "response lost")
	switch m.fault(true) {
	case faultOutage:
		return waxfleet.Object{}, unreachable()
	case faultRequestLost:
		return waxfleet.Object{}, unknown
	case faultResponseLost:
		_, _ = apply()
		return waxfleet.Object{}, unknown
	case faultDelayed:
		m.delayed = append(m.delayed, func() { _, _ = apply() })
		return waxfleet.Object{}, unknown
	}
	return apply()
}

func (m *memoryStore) Get(_ context.Context, kind, name string) (waxfleet.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault(false) != faultNone {
		return waxfleet.Object{}, unreachable()
	}
	o, ok := m.objects[kind+"/"+name]
	if !ok {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectNotFound, "missing")
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	return m.write(func() (waxfleet.Object, error) {
		if m.objects[kind+"/"+name].Version() != version {
			return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectConflict, "version")
		}
		if len(value) > waxfleet.MaxObjectBytes {
			return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeBodyTooLarge, "size")
		}
		m.version++
		o := waxfleet.NewObject(kind, name, value, m.version)
		m.objects[kind+"/"+name] = o
		close(m.changed)
		m.changed = make(chan struct{})
		return o, nil
	})
}

func (m *memoryStore) Delete(_ context.Context, kind, name string, version uint64) error {
	_, err := m.write(func() (waxfleet.Object, error) {
		if m.objects[kind+"/"+name].Version() != version {
			return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectConflict, "version")
		}
		delete(m.objects, kind+"/"+name)
		return waxfleet.Object{}, nil
	})
	return err
}

func (m *memoryStore) List(_ context.Context, _ string) ([]waxfleet.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.objects)), nil
}

func (m *memoryStore) Watch(ctx context.Context, kind, name string, after uint64) (waxfleet.Object, error) {
	for {
		m.mu.Lock()
		changed := m.changed
		m.mu.Unlock()
		o, err := m.Get(ctx, kind, name)
		if err != nil || o.Version() > after {
			return o, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return waxfleet.Object{}, unreachable()
		}
	}
}

// applyDelayed runs the delayed writes.
func (m *memoryStore) applyDelayed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, apply := range m.delayed {
		apply()
	}
	m.delayed = nil
}

const testNow waxfleet.Millis = 1_700_000_000_000

func newKey(at waxfleet.Millis) string {
	return ulid.MustNew(uint64(at), ulid.DefaultEntropy()).String()
}

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func newTestStore(t *testing.T, m waxfleet.ObjectStore, instance string, options ...Option) (*Store, *waxfleet.Clock) {
	clock := waxfleet.NewManualClock(testNow)
	return New(t.Context(), m, clock, instance, quietLog(), options...), clock
}

// TestRetryGetsFirstResponse guards against a retry that is executed again, gets a
// different response, or is accepted with a different body.
func TestRetryGetsFirstResponse(t *testing.T) {
	is := is.New(t)
	m := newMemoryStore()
	a, _ := newTestStore(t, m, "a")
	b, _ := newTestStore(t, m, "b")
	ctx := t.Context()
	key := newKey(testNow)
	c, err := a.Begin(ctx, "w", key, "digest")
	is.NoErr(err)
	is.True(c.Held())
	claims := make(chan waxfleet.Claim, 1)
	go func() {
		waiting, _ := b.Begin(ctx, "w", strings.ToLower(key), "digest")
		claims <- waiting
	}()
	body := bytes.Repeat([]byte{0xff, '\n'}, maxResultBytes/2)
	is.NoErr(a.Finish(ctx, c, 201, "text/plain", body))
	for _, repeat := range []waxfleet.Claim{<-claims, must(b.Begin(ctx, "w", key, "digest"))} {
		status, contentType, stored := repeat.Result()
		is.True(!repeat.Held())
		is.Equal(status, 201)
		is.Equal(contentType, "text/plain")
		is.True(bytes.Equal(stored, body))
	}
	_, err = b.Begin(ctx, "w", key, "other digest")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeKeyReused)
	other, err := b.Begin(ctx, "other workspace", key, "digest")
	is.NoErr(err)
	is.True(other.Held())
	is.NoErr(b.Finish(ctx, other, 200, "text/plain", make([]byte, maxResultBytes+1)))
	_, err = a.Begin(ctx, "other workspace", key, "digest")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeResultNotKept)
}

func must(c waxfleet.Claim, err error) waxfleet.Claim {
	if err != nil {
		panic(err)
	}
	return c
}

// TestAbandonedClaimHasUnknownOutcome guards against retries that wait for a result of
// an abandoned claim, and against a second execution after one without a result.
func TestAbandonedClaimHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	m := newMemoryStore()
	a, _ := newTestStore(t, m, "a")
	b, _ := newTestStore(t, m, "b")
	key := newKey(testNow)
	held := must(a.Begin(t.Context(), "w", key, "digest"))
	waiting := make(chan error, 1)
	go func() {
		_, err := b.Begin(t.Context(), "w", key, "digest")
		waiting <- err
	}()
	is.NoErr(a.Abandon(t.Context(), held))
	is.Equal(waxfleet.CodeOf(<-waiting), waxfleet.CodeOutcomeUnknown)
	for _, s := range []*Store{a, b} {
		_, err := s.Begin(t.Context(), "w", key, "digest")
		is.Equal(waxfleet.CodeOf(err), waxfleet.CodeOutcomeUnknown)
	}
}

// TestRunningClaimIsNeverTakenOver guards against reporting a request as not run
// after its instance died, and against waiting for it forever.
func TestRunningClaimIsNeverTakenOver(t *testing.T) {
	is := is.New(t)
	m := newMemoryStore()
	holderStopped := false
	a, _ := newTestStore(t, m, "a")
	b, clock := newTestStore(t, m, "b", HolderStopped(func(holder string) bool { return holderStopped && holder == "a" }))
	key := newKey(testNow)
	held := must(a.Begin(t.Context(), "w", key, "digest"))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := b.Begin(ended, "w", key, "digest")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeStillRunning)
	holderStopped = true
	_, err = b.Begin(t.Context(), "w", key, "digest")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeOutcomeUnknown)
	holderStopped = false
	clock.Advance(maxExecutionAge + 1)
	_, err = b.Begin(t.Context(), "w", key, "digest")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeOutcomeUnknown)
	restarted, _ := newTestStore(t, m, "a")
	_, err = restarted.Begin(t.Context(), "w", key, "digest")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeOutcomeUnknown)
	is.NoErr(a.Finish(t.Context(), held, 200, "", []byte("late"))) // the holder was slow, not dead
	status, _, _ := must(b.Begin(t.Context(), "w", key, "digest")).Result()
	is.Equal(status, 200)
}

// TestFinishKeepsOtherAttemptsClaim guards against a former holder that overwrites
// the claim of a later attempt.
func TestFinishKeepsOtherAttemptsClaim(t *testing.T) {
	is := is.New(t)
	m := newMemoryStore()
	a, _ := newTestStore(t, m, "a")
	key := newKey(testNow)
	first := must(a.Begin(t.Context(), "w", key, "digest"))
	is.NoErr(a.Release(t.Context(), first))
	second := must(a.Begin(t.Context(), "w", key, "digest"))
	is.True(second.Held())
	is.Equal(waxfleet.CodeOf(a.Finish(t.Context(), first, 200, "", nil)), waxfleet.CodeObjectConflict)
	is.NoErr(a.Release(t.Context(), first))
	is.NoErr(a.Finish(t.Context(), second, 204, "", nil))
	status, _, _ := must(a.Begin(t.Context(), "w", key, "digest")).Result()
	is.Equal(status, 204)
}

// TestUndeterminedClaimIsReleased guards against a claim that stays running because
// its write took effect after Begin had failed.
func TestUndeterminedClaimIsReleased(t *testing.T) {
	for _, f := range []fault{faultResponseLost, faultDelayed, faultRequestLost} {
		for _, earlier := range []bool{false, true} {
			is := is.New(t)
			m := newMemoryStore()
			a, _ := newTestStore(t, m, "a")
			b, _ := newTestStore(t, m, "b")
			key := newKey(testNow)
			if earlier {
				is.NoErr(b.Release(t.Context(), must(b.Begin(t.Context(), "w", key, "digest"))))
			}
			writes := 0
			m.setFault(func(write bool) fault {
				if write {
					writes++
				}
				if write && writes == 1 {
					return f
				}
				// The claim can be read only if that does not reveal the outcome.
				if write || f == faultResponseLost {
					return faultOutage
				}
				return faultNone
			})
			_, err := a.Begin(t.Context(), "w", key, "digest")
			is.Equal(waxfleet.CodeOf(err), waxfleet.CodeClaimsUnavailable)
			m.setFault(func(bool) fault { return faultNone })
			for a.countHeld() > 0 { // wait for the background release
				_ = waxfleet.NewClock().Sleep(t.Context(), 1)
			}
			m.applyDelayed()
			c, err := b.Begin(t.Context(), "w", key, "digest")
			is.NoErr(err)
			is.True(c.Held())
			// The release of an attempt that does not hold the claim has no effect.
			_, err = a.release(t.Context(), c.Name(), "lost", "digest")
			is.NoErr(err)
			rec, _, err := a.read(t.Context(), c.Name())
			is.NoErr(err)
			is.Equal(rec.Token, c.Token())
			is.Equal(rec.State, stateRunning)
		}
	}
}

func (s *Store) countHeld() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// TestExpiredKeyIsRejected guards against a second execution after the claim of the
// first was deleted.
func TestExpiredKeyIsRejected(t *testing.T) {
	is := is.New(t)
	m := newMemoryStore()
	a, clock := newTestStore(t, m, "a")
	key := newKey(testNow + MaxFutureSkew)
	is.NoErr(a.Finish(t.Context(), must(a.Begin(t.Context(), "w", key, "digest")), 200, "", nil))
	deleteExpired := func() int {
		n, err := a.DeleteExpired(t.Context(), func(string) bool { return true })
		is.NoErr(err)
		return n
	}
	clock.Advance(KeyTTL + deletionMargin)
	is.Equal(deleteExpired(), 0)
	clock.Advance(1)
	n, err := a.DeleteExpired(t.Context(), func(string) bool { return false })
	is.NoErr(err)
	is.Equal(n, 0)
	is.Equal(deleteExpired(), 1)
	_, err = a.Begin(t.Context(), "w", key, "digest")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeKeyExpired)

	// The process is paused between the check of the key and its write.
	paused := newKey(clock.Now())
	m.setFault(func(write bool) fault {
		if write {
			m.fault = func(bool) fault { return faultNone }
			clock.Advance(KeyTTL + deletionMargin)
		}
		return faultNone
	})
	_, err = a.Begin(t.Context(), "w", paused, "digest")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeKeyExpired)
}

// TestCheckKey guards against accepting keys whose age is unknown or out of range.
func TestCheckKey(t *testing.T) {
	is := is.New(t)
	code := func(key string) waxfleet.Code { return waxfleet.CodeOf(CheckKey(key, testNow)) }
	v7 := uuid.Must(uuid.NewV7())
	copy(v7[:6], ulid.MustNew(uint64(testNow), ulid.DefaultEntropy()).Bytes())
	is.Equal(code(v7.String()), waxfleet.CodeOK)
	is.Equal(code(uuid.NewString()), waxfleet.CodeKeyFormat)
	is.Equal(code("{"+v7.String()+"}"), waxfleet.CodeKeyFormat)
	is.Equal(code(""), waxfleet.CodeKeyFormat)
	is.Equal(code("!"+newKey(testNow)[1:]), waxfleet.CodeKeyFormat)
	is.Equal(code(newKey(testNow-KeyTTL)), waxfleet.CodeOK)
	is.Equal(code(newKey(testNow-KeyTTL-1)), waxfleet.CodeKeyExpired)
	is.Equal(code(newKey(testNow+MaxFutureSkew)), waxfleet.CodeOK)
	is.Equal(code(newKey(testNow+MaxFutureSkew+1)), waxfleet.CodeKeyInFuture)
}
