package waxclaim

import (
	"context"

	"waxwingdrift.org/waxfleet"
)

// maxTakes bounds the writes of one Begin, for a store that answers none.
const maxTakes = 8

// begin is one try to take the claim of a key.
type begin struct {
	s             *Store
	key           parsedKey
	name          string
	token         string
	requestDigest string
	// undetermined is true while a write of this attempt may still take effect.
	undetermined bool
}

// run takes the claim, or follows what other attempts made of it.
func (b *begin) run(ctx context.Context) (waxfleet.Claim, error) {
	var version uint64
	for range maxTakes {
		taken, err := b.take(ctx, version)
		if err != nil {
			return waxfleet.Claim{}, err
		}
		if taken {
			return b.confirm()
		}
		rec, found, err := b.s.readFew(ctx, b.name)
		if waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound {
			version = 0
			continue
		}
		if err != nil {
			return waxfleet.Claim{}, unavailable(err)
		}
		if rec.Token == b.token {
			b.s.hold(b.token, heldClaim{version: found, record: rec})
			return b.confirm()
		}
		// A write on condition of a version that has passed has no effect.
		if found != version {
			b.undetermined = false
		}
		rec, found, err = b.follow(ctx, rec, found)
		if err != nil {
			return waxfleet.Claim{}, err
		}
		if rec.State == stateDone {
			return b.stored(rec)
		}
		version = found
	}
	return waxfleet.Claim{}, waxfleet.NewError(waxfleet.CodeClaimsUnavailable, "the claim could not be taken")
}

// take writes the claim on condition of the version, and reports false when the
// claim has to be read to tell what happened.
func (b *begin) take(ctx context.Context, version uint64) (taken bool, err error) {
	rec := b.s.newRecord(b.token, b.requestDigest, stateRunning)
	err = b.s.retryFew(ctx, func() (again bool, err error) {
		err = b.s.write(ctx, b.name, version, rec)
		return waxfleet.CodeOf(err) == waxfleet.CodePlatformRateLimited, err
	})
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeOK:
		return true, nil
	case waxfleet.CodeObjectConflict:
		return false, nil
	case waxfleet.CodePlatformUnknown:
		b.undetermined = true
		return false, nil
	}
	return false, unavailable(err)
}

// confirm returns the claim that this attempt holds. It checks the key's time
// again: after a pause of this process the claim of an earlier run may have been
// deleted before ours was written.
func (b *begin) confirm() (waxfleet.Claim, error) {
	if err := b.key.check(b.s.clock.Wall()); err != nil {
		b.undetermined = true
		return waxfleet.Claim{}, err
	}
	return waxfleet.NewHeldClaim(b.name, b.token), nil
}

// follow waits until the claim of another attempt is done or released.
func (b *begin) follow(ctx context.Context, rec record, version uint64) (record, uint64, error) {
	pauses := newPauses(0)
	for {
		if rec.RequestDigest != b.requestDigest {
			return record{}, 0, waxfleet.NewError(waxfleet.CodeKeyReused, "the idempotency key was used with another request")
		}
		if rec.State != stateRunning {
			return rec, version, nil
		}
		if b.s.abandoned(rec) {
			fresh, now, err := b.s.readFew(ctx, b.name)
			if err != nil || now == version {
				return record{}, 0, waxfleet.NewError(waxfleet.CodeOutcomeUnknown, "the instance that ran the request is gone and left no result")
			}
			rec, version = fresh, now
			continue
		}
		o, err := b.s.store.Watch(ctx, waxfleet.ObjectKindClaim, b.name, version)
		if ctx.Err() != nil {
			return record{}, 0, waxfleet.NewError(waxfleet.CodeStillRunning, "the first call with this idempotency key still runs")
		}
		if waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound {
			return record{}, 0, waxfleet.NewError(waxfleet.CodeOutcomeUnknown, "the claim of the running request was deleted")
		}
		if err != nil {
			_ = b.s.clock.Sleep(ctx, waxfleet.MillisOf(pauses.NextBackOff()))
			continue
		}
		if rec, version, err = decodeObject(o); err != nil {
			return record{}, 0, err
		}
	}
}

func (b *begin) stored(rec record) (waxfleet.Claim, error) {
	if rec.Result.Digest != "" {
		return waxfleet.Claim{}, waxfleet.NewError(waxfleet.CodeResultNotKept, "the request ran, but its result was too large to be kept")
	}
	return waxfleet.NewStoredClaim(b.name, rec.Result.Status, rec.Result.ContentType, rec.Result.body), nil
}

// unavailable is the answer when the store can't tell whether the claim is free.
// Nothing was sent, so it says "not run". A malformed claim keeps its own error.
func unavailable(err error) error {
	if waxfleet.CodeOf(err) == waxfleet.CodeOutcomeUnknown {
		return err
	}
	return waxfleet.WrapError(err, waxfleet.CodeClaimsUnavailable, "the platform does not confirm the claim")
}
