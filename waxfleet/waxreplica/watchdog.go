package waxreplica

import (
	"sync/atomic"

	"waxwingdrift.org/waxfleet"
)

const (
	// askInterval is the minimum interval between two queries of several sources for a feed,
	// and askAgainDelay the one after maxTries queries, or one that has asked the store, while
	// no other instance is known to have a recent copy: the store may be away for all, and a
	// call to it needs its time to fail.
	askInterval   waxfleet.Millis = 300
	askAgainDelay waxfleet.Millis = 2_000
	maxTries                      = 2
	// ageMargin allows for calls and timers that take their time.
	ageMargin waxfleet.Millis = 100
)

// View is what an instance knows of its copy of a feed and of its source.
type View struct {
	// Followed is true if another instance is followed, and false if the store is watched.
	Followed bool
	// Silent is true if the followed instance was not heard from lately.
	Silent bool
	// SourceAge is the age of the followed instance's copy, as it has told; -1 if unknown.
	SourceAge waxfleet.Millis
	// OwnAge is the age of the own copy; -1 before the first list.
	OwnAge waxfleet.Millis
	// OthersAge is the age of the youngest copy that another instance has told of; -1 if
	// none is known.
	OthersAge waxfleet.Millis
	// Gap is the time between two datagrams of an instance without news.
	Gap waxfleet.Millis
	// StoreLost is true if the store does not respond to this instance.
	StoreLost bool
}

// Reason says why several sources are asked. It appears in logs.
type Reason string

// Reasons to ask several sources.
const (
	ReasonNone Reason = ""
	// ReasonSilent is a followed instance that was not heard from lately.
	ReasonSilent Reason = "source-silent"
	// ReasonSourceOld is a followed instance whose own copy is too old.
	ReasonSourceOld Reason = "source-old"
	// ReasonOld is an own copy that is too old.
	ReasonOld Reason = "copy-old"
)

// Watchdog decides when an instance asks several sources for a feed at once, because its copy
// may have become too old, so that a change at the store is in force here in time whichever
// instances have failed. It does no I/O.
type Watchdog struct {
	wait    func() waxfleet.Millis
	askedAt waxfleet.Millis
	// tries is the number of queries in a row while no other instance was known to have a
	// recent copy.
	tries int
	// storeAsked is true if the last query has asked the store.
	storeAsked atomic.Bool
}

// NewWatchdog returns a watchdog for a feed. wait returns the time for which a watch of the
// store, or of a copy, waits for a change at most; the copy is confirmed each time.
func NewWatchdog(wait func() waxfleet.Millis) *Watchdog {
	return &Watchdog{wait: wait, askedAt: -askAgainDelay}
}

// MaxAge returns the age up to which the copy of an instance that watches the store is recent,
// as far as others can know it: gap is the time between two datagrams without news.
func (w *Watchdog) MaxAge(gap waxfleet.Millis) waxfleet.Millis { return w.wait() + gap + ageMargin }

// Check reports why several sources are to be asked now, or ReasonNone.
func (w *Watchdog) Check(now waxfleet.Millis, v View) Reason {
	maxAge := w.MaxAge(v.Gap)
	// An instance that has lost the store, as others may have, asks only if that helps.
	fresher := v.OthersAge >= 0 && v.OthersAge <= maxAge && v.OthersAge < v.OwnAge
	interval := askInterval
	if !fresher && (w.tries >= maxTries || w.storeAsked.Load()) {
		interval = askAgainDelay
	}
	if now-w.askedAt < interval || v.StoreLost && !fresher {
		return ReasonNone
	}
	reason := w.reason(v, maxAge)
	switch {
	case reason == ReasonNone:
		w.tries = 0
	case fresher:
		w.askedAt, w.tries = now, 0
	default:
		w.askedAt = now
		w.tries++
	}
	return reason
}

// Asked records that several sources were asked, and whether the store was one of them. It may
// be called concurrently with Check.
func (w *Watchdog) Asked(store bool) { w.storeAsked.Store(store) }

func (w *Watchdog) reason(v View, maxAge waxfleet.Millis) Reason {
	switch {
	case v.Followed && v.Silent:
		return ReasonSilent
	case v.Followed && v.SourceAge > maxAge:
		return ReasonSourceOld
	case v.OwnAge > maxAge+w.followedWait(v):
		return ReasonOld
	}
	return ReasonNone
}

// followedWait returns how much older than the copy of its source that of a follower may be,
// because its calls wait, too.
func (w *Watchdog) followedWait(v View) waxfleet.Millis {
	if v.Followed {
		return w.wait() + ageMargin
	}
	return 0
}
