package waxclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxfleet"
)

const (
	// KeyTTL is how long an idempotency key is valid after the time that it carries.
	KeyTTL waxfleet.Millis = 24 * 3_600_000
	// MaxFutureSkew is how far in the future the time of a key may be.
	MaxFutureSkew waxfleet.Millis = 5 * 60_000

	uuidLength  = 36
	uuidVersion = 7
)

// parsedKey is an idempotency key in canonical form, so that a retry whose key differs
// in letter case finds the claim of the first attempt.
type parsedKey struct {
	format byte
	value  [16]byte
}

// time returns the time that the key carries. Both formats start with 48 bits of
// Unix milliseconds.
func (k parsedKey) time() waxfleet.Millis {
	return waxfleet.Millis(binary.BigEndian.Uint64(k.value[:8]) >> 16)
}

func parseKey(key string) (parsedKey, error) {
	if len(key) == ulid.EncodedSize {
		id, err := ulid.ParseStrict(key)
		if err != nil {
			return parsedKey{}, keyFormatError(err)
		}
		return parsedKey{format: 'l', value: id}, nil
	}
	if len(key) != uuidLength {
		return parsedKey{}, keyFormatError(nil)
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return parsedKey{}, keyFormatError(err)
	}
	return parsedKey{format: 'u', value: id}, nil
}

func keyFormatError(cause error) error {
	return waxfleet.WrapError(cause, waxfleet.CodeKeyFormat, "the idempotency key is neither a ULID nor a UUID version 7")
}

// CheckKey validates the format of an idempotency key, and the time that it
// carries against now, in Unix milliseconds.
//
// Errors: CodeKeyFormat, CodeKeyExpired, CodeKeyInFuture.
func CheckKey(key string, now waxfleet.Millis) error {
	k, err := parseKey(key)
	if err != nil {
		return err
	}
	return k.check(now)
}

func (k parsedKey) check(now waxfleet.Millis) error {
	if k.time() < now-KeyTTL {
		return waxfleet.NewError(waxfleet.CodeKeyExpired, "the idempotency key is older than 24 hours")
	}
	if k.time() > now+MaxFutureSkew {
		return waxfleet.NewError(waxfleet.CodeKeyInFuture, "the idempotency key is more than 5 minutes in the future")
	}
	return nil
}

// claimName returns the object name of the claim for a workspace's key.
func claimName(workspace string, k parsedKey) string {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(workspace))))
	h.Write([]byte(workspace))
	h.Write([]byte{k.format})
	h.Write(k.value[:])
	return hex.EncodeToString(h.Sum(nil))
}
