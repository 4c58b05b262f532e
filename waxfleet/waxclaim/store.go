// Package waxclaim makes requests run at most once. Each idempotency key has a
// claim object in the platform's store, which records the execution of its request. A
// claim is acquired by conditional update only, and its attempt token identifies
// the attempt that holds it.
package waxclaim

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxfleet"
)

const (
	// retryInitialInterval and retryMaxInterval bound the backoff between store
	// calls.
	retryInitialInterval = 50 * time.Millisecond
	retryMaxInterval     = 5 * time.Second
	// maxStoreAttempts bounds the attempts of one store call in Begin, where a
	// caller waits.
	maxStoreAttempts = 3
	// backgroundReleaseTimeout bounds the background release of a claim whose request
	// is not executed. If the release fails, retries get outcome-unknown.
	backgroundReleaseTimeout = 10 * time.Minute
	// maxBackgroundReleases bounds the concurrent background releases, which
	// accumulate in an outage.
	maxBackgroundReleases = 1_000
	// maxExecutionAge is the age after which a running claim of another instance counts as
	// abandoned. It exceeds the longest deadline of the price tiers.
	maxExecutionAge waxfleet.Millis = 15 * 60_000
	// deletionMargin is added to KeyTTL before a claim is deleted. It covers
	// clock skew between instances, keys with a time in the future and queued calls.
	deletionMargin waxfleet.Millis = 3_600_000
	// maxDeletes bounds the deletions of one call of DeleteExpired, so that they don't
	// use up the write rate of the platform.
	maxDeletes = 200
)

// Store implements waxfleet.ClaimStore.
type Store struct {
	ctx           context.Context
	store         waxfleet.ObjectStore
	clock         *waxfleet.Clock
	instance      string
	log           *slog.Logger
	holderStopped func(holder string) bool
	releaseSlots  chan struct{}

	mu sync.Mutex
	// held has the claims that this instance is acquiring, running or releasing,
	// by attempt token.
	held map[string]heldClaim
}

// heldClaim is a claim as this instance last wrote it; version is 0 before the
// first confirmed write.
type heldClaim struct {
	version uint64
	record  record
}

var _ waxfleet.ClaimStore = (*Store)(nil)

// Option configures a Store.
type Option func(*Store)

// HolderStopped sets the check that reports whether the process that acquired a claim
// is known to have stopped. holder is the instance that the acquiring process passed
// to New. Without this option, a claim of another instance is abandoned only by its
// age.
func HolderStopped(stopped func(holder string) bool) Option {
	return func(s *Store) { s.holderStopped = stopped }
}

// New returns a Store. instance identifies this process in claims and should be
// unique per incarnation. The end of ctx stops the background releases.
func New(ctx context.Context, store waxfleet.ObjectStore, clock *waxfleet.Clock, instance string, log *slog.Logger, options ...Option) *Store {
	s := &Store{
		ctx:           ctx,
		store:         store,
		clock:         clock,
		instance:      instance,
		log:           log,
		holderStopped: func(string) bool { return false },
		releaseSlots:  make(chan struct{}, maxBackgroundReleases),
		held:          make(map[string]heldClaim),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Begin implements waxfleet.ClaimStore. It waits for the result of a running
// claim until ctx ends. The caller must end a held claim by Finish, Release or
// Abandon.
//
// Errors: those of the interface, and those of CheckKey.
func (s *Store) Begin(ctx context.Context, workspace, key, requestDigest string) (waxfleet.Claim, error) {
	k, err := parseKey(key)
	if err != nil {
		return waxfleet.Claim{}, err
	}
	if err := k.check(s.clock.Wall()); err != nil {
		return waxfleet.Claim{}, err
	}
	a := &acquisition{
		claims:        s,
		key:           k,
		name:          claimName(workspace, k),
		token:         ulid.Make().String(),
		requestDigest: requestDigest,
	}
	s.setHeld(a.token, heldClaim{})
	claim, err := a.run(ctx)
	switch {
	case err == nil && claim.Held():
	case a.mayTakeEffect:
		s.releaseInBackground(a.name, a.token, requestDigest)
	default:
		s.deleteHeld(a.token)
	}
	return claim, err
}

// Finish implements waxfleet.ClaimStore. It retries until ctx ends.
//
// Errors: CodeObjectConflict when another attempt holds the claim;
// CodeObjectNotFound when it was deleted; CodeOutcomeUnknown when it is
// malformed; the last error of the store when ctx ended first.
func (s *Store) Finish(ctx context.Context, c waxfleet.Claim, status int, contentType string, body []byte) error {
	defer s.deleteHeld(c.Token())
	res := newResult(status, contentType, body)
	h := s.findHeld(c.Token())
	return s.retry(ctx, newBackoff(0), func() (again bool, err error) {
		if h.version == 0 {
			if h.record, h.version, err = s.read(ctx, c.Name()); err != nil {
				return isRetryable(err), err
			}
			if h.record.Token != c.Token() || h.record.State == stateReleased {
				return false, waxfleet.NewError(waxfleet.CodeObjectConflict, "the claim belongs to another attempt")
			}
			if h.record.State == stateDone {
				return false, nil
			}
		}
		h.record.State = stateDone
		h.record.Result = res
		err = s.write(ctx, c.Name(), h.version, h.record)
		// After any error the claim is read again: the write may have taken effect.
		h.version = 0
		return true, err
	})
}

// Release implements waxfleet.ClaimStore. When ctx ends first, the release
// continues in the background.
//
// Errors: CodeOutcomeUnknown when the claim is malformed; the last error of the
// store when ctx ended first.
func (s *Store) Release(ctx context.Context, c waxfleet.Claim) error {
	err := s.retry(ctx, newBackoff(0), func() (again bool, err error) {
		return s.release(ctx, c.Name(), c.Token(), "")
	})
	if err != nil {
		s.releaseInBackground(c.Name(), c.Token(), "")
		return err
	}
	s.deleteHeld(c.Token())
	return nil
}

// Abandon implements waxfleet.ClaimStore. It retries until ctx ends. When it
// fails, only retries at this instance see that the claim is abandoned; those at other
// instances wait until their deadline.
//
// Errors: those of Finish.
func (s *Store) Abandon(ctx context.Context, c waxfleet.Claim) error {
	defer s.deleteHeld(c.Token())
	return s.retry(ctx, newBackoff(0), func() (again bool, err error) {
		rec, version, err := s.read(ctx, c.Name())
		switch {
		case err != nil:
			return isRetryable(err), err
		case rec.Token != c.Token() || rec.State != stateRunning:
			return false, waxfleet.NewError(waxfleet.CodeObjectConflict, "the claim is not running under this attempt")
		case rec.Abandoned:
			return false, nil
		}
		rec.Abandoned = true
		return true, s.write(ctx, c.Name(), version, rec)
	})
}

// DeleteExpired deletes the claims that are older than KeyTTL plus one hour and for
// whose names accept returns true. It deletes at most 200 and returns the number.
func (s *Store) DeleteExpired(ctx context.Context, accept func(name string) bool) (deleted int, err error) {
	objects, err := s.store.List(ctx, waxfleet.ObjectKindClaim)
	if err != nil {
		return 0, err
	}
	cutoff := s.clock.Wall() - KeyTTL - deletionMargin
	for _, o := range objects {
		if deleted >= maxDeletes || !accept(o.Name()) {
			continue
		}
		rec, err := decode(o.Value())
		if err != nil {
			s.log.Warn("claim is malformed and is kept", "claim", o.Name(), "error", err)
			continue
		}
		if rec.Created >= cutoff {
			continue
		}
		err = s.store.Delete(ctx, waxfleet.ObjectKindClaim, o.Name(), o.Version())
		switch waxfleet.CodeOf(err) {
		case waxfleet.CodeOK:
			deleted++
		case waxfleet.CodeObjectConflict, waxfleet.CodeObjectNotFound:
		default:
			return deleted, err
		}
	}
	return deleted, nil
}

// releaseInBackground releases in the background a claim that this instance
// acquired, or may have acquired, without executing its request.
func (s *Store) releaseInBackground(name, token, requestDigest string) {
	select {
	case s.releaseSlots <- struct{}{}:
	default:
		s.log.Warn("too many claims wait for their release; the claim is abandoned", "claim", name)
		s.deleteHeld(token)
		return
	}
	go func() {
		defer func() { <-s.releaseSlots }()
		defer s.deleteHeld(token)
		err := s.retry(s.ctx, newBackoff(backgroundReleaseTimeout), func() (again bool, err error) {
			return s.release(s.ctx, name, token, requestDigest)
		})
		if err != nil {
			s.log.Warn("the claim could not be released and is abandoned", "claim", name, "error", err)
		}
	}()
}

// release ensures that the attempt does not hold the claim. A non-empty requestDigest
// means that a write of the attempt may still take effect. release then also writes a
// missing or released claim, so that the earlier write fails with a version conflict.
func (s *Store) release(ctx context.Context, name, token, requestDigest string) (again bool, err error) {
	mayTakeEffect := requestDigest != ""
	rec, version, err := s.read(ctx, name)
	switch {
	case waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound && mayTakeEffect:
		rec = s.newRecord(token, requestDigest, stateReleased)
	case waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound:
		return false, nil
	case err != nil:
		return isRetryable(err), err
	case rec.Token == token && rec.State != stateRunning:
		return false, nil
	case rec.Token != token && (rec.State != stateReleased || !mayTakeEffect):
		return false, nil
	}
	rec.Token = token
	rec.State = stateReleased
	return true, s.write(ctx, name, version, rec)
}

// retry calls op until op succeeds or returns again as false, or until ctx or the
// backoff ends. It returns the last error of op.
func (s *Store) retry(ctx context.Context, intervals backoff.BackOff, op func() (again bool, err error)) error {
	var last error
	err := backoff.Retry(func() error {
		var again bool
		again, last = op()
		if last != nil && !again {
			return backoff.Permanent(last)
		}
		return last
	}, backoff.WithContext(intervals, ctx))
	if err == nil {
		return nil
	}
	if last == nil {
		return waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "no call to the platform was made")
	}
	return last
}

// retryLimited is retry with at most maxStoreAttempts attempts, for calls that a
// caller waits for.
func (s *Store) retryLimited(ctx context.Context, op func() (again bool, err error)) error {
	return s.retry(ctx, backoff.WithMaxRetries(newBackoff(0), maxStoreAttempts-1), op)
}

// newBackoff returns an exponential backoff that ends after maxElapsed; with 0 it
// never ends.
func newBackoff(maxElapsed time.Duration) *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(retryInitialInterval),
		backoff.WithMaxInterval(retryMaxInterval),
		backoff.WithMaxElapsedTime(maxElapsed),
	)
}

// isRetryable reports whether a failed read may succeed when retried.
func isRetryable(err error) bool {
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeObjectNotFound, waxfleet.CodeOutcomeUnknown:
		return false
	}
	return true
}

func (s *Store) read(ctx context.Context, name string) (record, uint64, error) {
	o, err := s.store.Get(ctx, waxfleet.ObjectKindClaim, name)
	if err != nil {
		return record{}, 0, err
	}
	return decodeObject(o)
}

// readLimited is read with at most maxStoreAttempts attempts.
func (s *Store) readLimited(ctx context.Context, name string) (rec record, version uint64, err error) {
	err = s.retryLimited(ctx, func() (again bool, err error) {
		rec, version, err = s.read(ctx, name)
		return isRetryable(err), err
	})
	return rec, version, err
}

// decodeObject returns the record and the version of a claim. A malformed claim
// gives CodeOutcomeUnknown, because its request may have been executed.
func decodeObject(o waxfleet.Object) (record, uint64, error) {
	rec, err := decode(o.Value())
	if err != nil {
		return record{}, 0, waxfleet.WrapError(err, waxfleet.CodeOutcomeUnknown, "the claim is malformed")
	}
	return rec, o.Version(), nil
}

func (s *Store) write(ctx context.Context, name string, version uint64, rec record) error {
	value, err := rec.encode()
	if err != nil {
		return err
	}
	o, err := s.store.Put(ctx, waxfleet.ObjectKindClaim, name, value, version)
	if err == nil && rec.State == stateRunning && !rec.Abandoned {
		s.setHeld(rec.Token, heldClaim{version: o.Version(), record: rec})
	}
	return err
}

func (s *Store) newRecord(token, requestDigest string, st state) record {
	return record{Token: token, Holder: s.instance, RequestDigest: requestDigest, State: st, Created: s.clock.Wall()}
}

func (s *Store) setHeld(token string, h heldClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[token] = h
}

func (s *Store) deleteHeld(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, token)
}

func (s *Store) findHeld(token string) heldClaim {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[token]
}

// isAbandoned reports whether no process executes the request of the claim any more.
func (s *Store) isAbandoned(rec record) bool {
	if rec.Abandoned {
		return true
	}
	if rec.Holder == s.instance {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, held := s.held[rec.Token]
		return !held
	}
	return s.holderStopped(rec.Holder) || s.clock.Wall()-rec.Created > maxExecutionAge
}
