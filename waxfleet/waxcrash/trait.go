// Package waxcrash decides which requests must not reach backend servers because they
// would crash them. It collects, for each trait of the requests that were beginning when
// a server crashed, the crashes and the answers, and bans the traits that explain the
// crashes. Instances exchange the evidence. It does no I/O.
package waxcrash

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Trait is a property that requests share and that may be the cause of a crash: a part of
// their prompts, or the digest of a whole request and its retries.
type Trait struct {
	hash        uint64
	specificity int
}

// PartTrait returns the trait of the prompts that contain a part. position is that of the
// part in the prompt; later parts are shared by fewer requests.
func PartTrait(id string, position int) Trait {
	return Trait{hash: xxhash.Sum64String("part\x00" + id), specificity: position}
}

// RequestTrait returns the trait of a request and its retries.
func RequestTrait(digest string) Trait {
	return Trait{hash: xxhash.Sum64String("request\x00" + digest), specificity: math.MaxInt32}
}

// NewTrait returns a trait as received from another instance.
func NewTrait(hash uint64, specificity int) Trait {
	return Trait{hash: hash, specificity: specificity}
}

// Hash identifies the trait.
func (t Trait) Hash() uint64 { return t.hash }

// Specificity orders traits that explain the same crashes: the one with the highest is
// banned, because that affects the fewest requests.
func (t Trait) Specificity() int { return t.specificity }

// IsRequest reports whether the trait is that of a whole request.
func (t Trait) IsRequest() bool { return t.specificity == math.MaxInt32 }

// String returns the form that appears in logs.
func (t Trait) String() string { return strconv.FormatUint(t.hash, 16) }
