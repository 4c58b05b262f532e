// Package waxclaim makes requests run at most once. A claim object in the
// platform's store stands for the run of an idempotency key; it is taken by
// conditional update only, and its attempt token tells whose it is.
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
	// retryInitial and retryMax bound the pauses between store calls.
	retryInitial = 50 * time.Millisecond
	retryMax     = 5 * time.Second
	// maxTries bounds the tries of one store call in Begin, where a caller waits.
	maxTries = 3
	// settleTime is how long the release of a claim that nobody runs is tried in
	// the background. Repeats of the request get outcome-unknown after it.
	settleTime = 10 * time.Minute
	// maxSettling bounds the background releases, which pile up in an outage.
	maxSettling = 1_000
	// maxRun is the age from which a running claim without a known holder counts
	// as abandoned. It exceeds the longest deadline of the price tiers.
	maxRun waxfleet.Millis = 15 * 60_000
	// sweepMargin is added to the retention before a claim is deleted. It covers
	// the clocks of instances, keys ahead of their time and calls in queues.
	sweepMargin waxfleet.Millis = 3_600_000
	// maxDeletes bounds one sweep, so that sweeps leave the write rate of the
	// platform to others.
	maxDeletes = 200
)

// Store implements waxfleet.ClaimStore.
type Store struct {
	ctx      context.Context
	store    waxfleet.ObjectStore
	clock    *waxfleet.Clock
	instance string
	log      *slog.Logger
	stopped  func(holder string) bool
	settling chan struct{}

	mu sync.Mutex
	// held has the claims that this instance takes, runs or releases, by attempt
	// token.
	held map[string]heldClaim
}

// heldClaim is a claim as this instance wrote it last, with version 0 before.
type heldClaim struct {
	version uint64
	record  record
}

var _ waxfleet.ClaimStore = (*Store)(nil)

// Option changes a Store.
type Option func(*Store)

// HolderStopped gives the Store a proof that the process that took a claim has
// stopped. holder is the instance that was passed to New there. Without it, a
// claim of another instance counts as abandoned by its age only.
func HolderStopped(stopped func(holder string) bool) Option {
	return func(s *Store) { s.stopped = stopped }
}

// New returns a Store. instance names this process in claims and is best unique
// per incarnation. ctx ends the background releases.
func New(ctx context.Context, store waxfleet.ObjectStore, clock *waxfleet.Clock, instance string, log *slog.Logger, options ...Option) *Store {
	s := &Store{
		ctx:      ctx,
		store:    store,
		clock:    clock,
		instance: instance,
		log:      log,
		stopped:  func(string) bool { return false },
		settling: make(chan struct{}, maxSettling),
		held:     make(map[string]heldClaim),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Begin implements waxfleet.ClaimStore. It waits for the result of a running
// claim until ctx ends. A claim that is held must be ended by Finish or Release.
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
	b := &begin{s: s, key: k, name: claimName(workspace, k), token: ulid.Make().String(), requestDigest: requestDigest}
	s.hold(b.token, heldClaim{})
	claim, err := b.run(ctx)
	switch {
	case err == nil && claim.Held():
	case b.undetermined:
		s.settle(b.name, b.token, requestDigest)
	default:
		s.drop(b.token)
	}
	return claim, err
}

// Finish implements waxfleet.ClaimStore. It tries until ctx ends.
//
// Errors: CodeObjectConflict when the claim is not this attempt's;
// CodeObjectNotFound when it was deleted; CodeOutcomeUnknown when it is
// malformed; the last error of the store when ctx ended first.
func (s *Store) Finish(ctx context.Context, c waxfleet.Claim, status int, contentType string, body []byte) error {
	defer s.drop(c.Token())
	res := newResult(status, contentType, body)
	h := s.heldClaim(c.Token())
	return s.retry(ctx, newPauses(0), func() (again bool, err error) {
		if h.version == 0 {
			if h.record, h.version, err = s.read(ctx, c.Name()); err != nil {
				return outage(err), err
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
		// After any error the claim is read again: an answer may have been lost.
		h.version = 0
		return true, err
	})
}

// Release implements waxfleet.ClaimStore. When ctx ends first, the release goes
// on in the background.
//
// Errors: CodeOutcomeUnknown when the claim is malformed; the last error of the
// store when ctx ended first.
func (s *Store) Release(ctx context.Context, c waxfleet.Claim) error {
	err := s.retry(ctx, newPauses(0), func() (again bool, err error) {
		return s.release(ctx, c.Name(), c.Token(), "")
	})
	if err != nil {
		s.settle(c.Name(), c.Token(), "")
		return err
	}
	s.drop(c.Token())
	return nil
}

// Abandon implements waxfleet.ClaimStore. It tries until ctx ends. When that is
// too early, only repeats at this instance learn it; others wait for their
// deadline.
//
// Errors: those of Finish.
func (s *Store) Abandon(ctx context.Context, c waxfleet.Claim) error {
	defer s.drop(c.Token())
	return s.retry(ctx, newPauses(0), func() (again bool, err error) {
		rec, version, err := s.read(ctx, c.Name())
		switch {
		case err != nil:
			return outage(err), err
		case rec.Token != c.Token() || rec.State != stateRunning:
			return false, waxfleet.NewError(waxfleet.CodeObjectConflict, "the claim does not run in this attempt")
		case rec.Abandoned:
			return false, nil
		}
		rec.Abandoned = true
		return true, s.write(ctx, c.Name(), version, rec)
	})
}

// Sweep deletes claims that are older than the retention and one hour, of the
// names that mine accepts. It deletes a bounded number and returns how many.
func (s *Store) Sweep(ctx context.Context, mine func(name string) bool) (deleted int, err error) {
	objects, err := s.store.List(ctx, waxfleet.ObjectKindClaim)
	if err != nil {
		return 0, err
	}
	oldest := s.clock.Wall() - Retention - sweepMargin
	for _, o := range objects {
		if deleted >= maxDeletes || !mine(o.Name()) {
			continue
		}
		rec, err := decode(o.Value())
		if err != nil {
			s.log.Warn("claim is malformed and is kept", "claim", o.Name(), "error", err)
			continue
		}
		if rec.Created >= oldest {
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

// settle releases a claim in the background that this instance took, or may have
// taken, without running its request.
func (s *Store) settle(name, token, requestDigest string) {
	select {
	case s.settling <- struct{}{}:
	default:
		s.log.Warn("too many claims wait for their release; the claim is abandoned", "claim", name)
		s.drop(token)
		return
	}
	go func() {
		defer func() { <-s.settling }()
		defer s.drop(token)
		err := s.retry(s.ctx, newPauses(settleTime), func() (again bool, err error) {
			return s.release(s.ctx, name, token, requestDigest)
		})
		if err != nil {
			s.log.Warn("the claim could not be released and is abandoned", "claim", name, "error", err)
		}
	}()
}

// release makes sure that the attempt does not hold the claim. With a request
// digest it covers a write of the attempt that is still under way: a missing or
// released claim is written too, so that such a write finds another version.
func (s *Store) release(ctx context.Context, name, token, requestDigest string) (again bool, err error) {
	underWay := requestDigest != ""
	rec, version, err := s.read(ctx, name)
	switch {
	case waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound && underWay:
		rec = s.newRecord(token, requestDigest, stateReleased)
	case waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound:
		return false, nil
	case err != nil:
		return outage(err), err
	case rec.Token == token && rec.State != stateRunning:
		return false, nil
	case rec.Token != token && (rec.State != stateReleased || !underWay):
		return false, nil
	}
	rec.Token = token
	rec.State = stateReleased
	return true, s.write(ctx, name, version, rec)
}

// retry calls op until it succeeds or says that it can't, or ctx or the pauses
// end, and returns the last error of op.
func (s *Store) retry(ctx context.Context, pauses backoff.BackOff, op func() (again bool, err error)) error {
	var last error
	err := backoff.Retry(func() error {
		var again bool
		again, last = op()
		if last != nil && !again {
			return backoff.Permanent(last)
		}
		return last
	}, backoff.WithContext(pauses, ctx))
	if err == nil {
		return nil
	}
	if last == nil {
		return waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform was not asked")
	}
	return last
}

// retryFew is retry for calls that a caller waits for.
func (s *Store) retryFew(ctx context.Context, op func() (again bool, err error)) error {
	return s.retry(ctx, backoff.WithMaxRetries(newPauses(0), maxTries-1), op)
}

// newPauses returns the pauses between tries, until elapsed passes (0: no end).
func newPauses(elapsed time.Duration) *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(retryInitial),
		backoff.WithMaxInterval(retryMax),
		backoff.WithMaxElapsedTime(elapsed),
	)
}

// outage reports whether a read that failed may succeed later.
func outage(err error) bool {
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

// readFew is read with a few tries.
func (s *Store) readFew(ctx context.Context, name string) (rec record, version uint64, err error) {
	err = s.retryFew(ctx, func() (again bool, err error) {
		rec, version, err = s.read(ctx, name)
		return outage(err), err
	})
	return rec, version, err
}

// decodeObject returns the record and the version of a claim. Of a malformed
// claim the outcome is unknown, since something wrote it.
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
		s.hold(rec.Token, heldClaim{version: o.Version(), record: rec})
	}
	return err
}

func (s *Store) newRecord(token, requestDigest string, st state) record {
	return record{Token: token, Holder: s.instance, RequestDigest: requestDigest, State: st, Created: s.clock.Wall()}
}

func (s *Store) hold(token string, h heldClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[token] = h
}

func (s *Store) drop(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, token)
}

func (s *Store) heldClaim(token string) heldClaim {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[token]
}

// abandoned reports whether nobody runs the claim any more.
func (s *Store) abandoned(rec record) bool {
	if rec.Abandoned {
		return true
	}
	if rec.Holder == s.instance {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, held := s.held[rec.Token]
		return !held
	}
	return s.stopped(rec.Holder) || s.clock.Wall()-rec.Created > maxRun
}
