package waxclaim

import (
	"context"

	"waxwingdrift.org/waxfleet"
)

// maxAcquireAttempts bounds the attempts of one Begin, for a store that never
// confirms a write.
const maxAcquireAttempts = 8

// acquisition is one attempt to acquire the claim of a key.
type acquisition struct {
	claims        *Store
	key           parsedKey
	name          string
	token         string
	requestDigest string
	// mayTakeEffect is true while a write of this attempt may still take effect.
	mayTakeEffect bool
}

// run acquires the claim, or waits for the result of the attempt that holds it.
func (a *acquisition) run(ctx context.Context) (waxfleet.Claim, error) {
	var version uint64
	for range maxAcquireAttempts {
		acquired, err := a.tryAcquire(ctx, version)
		if err != nil {
			return waxfleet.Claim{}, err
		}
		if acquired {
			return a.confirm()
		}
		rec, found, err := a.claims.readLimited(ctx, a.name)
		if waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound {
			version = 0
			continue
		}
		if err != nil {
			return waxfleet.Claim{}, unavailableError(err)
		}
		if rec.Token == a.token {
			a.claims.setHeld(a.token, heldClaim{version: found, record: rec})
			return a.confirm()
		}
		// The version has changed, so an earlier conditional write can't take effect.
		if found != version {
			a.mayTakeEffect = false
		}
		rec, found, err = a.waitForHolder(ctx, rec, found)
		if err != nil {
			return waxfleet.Claim{}, err
		}
		if rec.State == stateDone {
			return a.storedResult(rec)
		}
		version = found
	}
	return waxfleet.Claim{}, waxfleet.NewError(waxfleet.CodeClaimsUnavailable, "the claim could not be acquired")
}

// tryAcquire writes the claim if it still has the given version. It returns false
// when the claim must be read to determine who holds it.
func (a *acquisition) tryAcquire(ctx context.Context, version uint64) (acquired bool, err error) {
	rec := a.claims.newRecord(a.token, a.requestDigest, stateRunning)
	err = a.claims.retryLimited(ctx, func() (again bool, err error) {
		err = a.claims.write(ctx, a.name, version, rec)
		return waxfleet.CodeOf(err) == waxfleet.CodePlatformRateLimited, err
	})
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeOK:
		return true, nil
	case waxfleet.CodeObjectConflict:
		return false, nil
	case waxfleet.CodePlatformUnknown:
		a.mayTakeEffect = true
		return false, nil
	}
	return false, unavailableError(err)
}

// confirm returns the claim that this attempt holds. It checks the key's time again:
// if this process was paused, the claim of an earlier execution may have been deleted
// before the claim of this attempt was written.
func (a *acquisition) confirm() (waxfleet.Claim, error) {
	if err := a.key.check(a.claims.clock.Wall()); err != nil {
		a.mayTakeEffect = true
		return waxfleet.Claim{}, err
	}
	return waxfleet.NewHeldClaim(a.name, a.token), nil
}

// waitForHolder waits until the attempt that holds the claim finishes or releases it,
// and returns the record and version.
func (a *acquisition) waitForHolder(ctx context.Context, rec record, version uint64) (record, uint64, error) {
	watchBackoff := newBackoff(0)
	for {
		if rec.RequestDigest != a.requestDigest {
			return record{}, 0, waxfleet.NewError(waxfleet.CodeKeyReused, "the idempotency key was already used with a different request")
		}
		if rec.State != stateRunning {
			return rec, version, nil
		}
		if a.claims.isAbandoned(rec) {
			current, currentVersion, err := a.claims.readLimited(ctx, a.name)
			if err != nil || currentVersion == version {
				return record{}, 0, waxfleet.NewError(waxfleet.CodeOutcomeUnknown, "the instance that ran the request stopped without storing a result")
			}
			rec, version = current, currentVersion
			continue
		}
		o, err := a.claims.store.Watch(ctx, waxfleet.ObjectKindClaim, a.name, version)
		if ctx.Err() != nil {
			return record{}, 0, waxfleet.NewError(waxfleet.CodeStillRunning, "the first call with this idempotency key is still running")
		}
		if waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound {
			return record{}, 0, waxfleet.NewError(waxfleet.CodeOutcomeUnknown, "the claim of the running request was deleted")
		}
		if err != nil {
			_ = a.claims.clock.Sleep(ctx, waxfleet.MillisOf(watchBackoff.NextBackOff()))
			continue
		}
		if rec, version, err = decodeObject(o); err != nil {
			return record{}, 0, err
		}
	}
}

func (a *acquisition) storedResult(rec record) (waxfleet.Claim, error) {
	if rec.Result.Digest != "" {
		return waxfleet.Claim{}, waxfleet.NewError(waxfleet.CodeResultNotKept, "the request ran, but its result was too large to store")
	}
	return waxfleet.NewStoredClaim(a.name, rec.Result.Status, rec.Result.ContentType, rec.Result.body), nil
}

// unavailableError returns the error for a store that can't confirm the claim.
// The request was not sent, so the error says "not run". The error of a
// malformed claim is returned unchanged.
func unavailableError(err error) error {
	if waxfleet.CodeOf(err) == waxfleet.CodeOutcomeUnknown {
		return err
	}
	return waxfleet.WrapError(err, waxfleet.CodeClaimsUnavailable, "the platform does not confirm the claim")
}
