package waxlease

import "waxwingdrift.org/waxfleet"

// Share tells how much of a backend server's load limit an instance may use.
type Share int

// Shares, from least to most. The sum over all instances never exceeds the
// limit: Reserve goes with LessReserve, and Full with None everywhere else.
const (
	// None admits nothing.
	None Share = iota
	// Reserve admits up to the reserve of the limit.
	Reserve
	// LessReserve admits up to the limit without its reserve.
	LessReserve
	// Full admits up to the limit.
	Full
)

// String returns the name for records and status pages.
func (s Share) String() string {
	return [...]string{"none", "reserve", "less-reserve", "full"}[s]
}

const (
	// LeaseDuration is how long a renewal lasts on the holder's clock, counted
	// from before it was sent.
	LeaseDuration waxfleet.Millis = 15_000
	// LeaseRenewal is the time between renewals.
	LeaseRenewal waxfleet.Millis = 5_000
	// LeaseLapse is how long an observer waits without a change of a lease before
	// the holder must have stopped: the duration, 1% for the difference of clock
	// rates, and 1 s for the observer's own rounding and scheduling.
	LeaseLapse waxfleet.Millis = LeaseDuration + LeaseDuration/100 + 1_000
	// SecondContact is how old the second's last acknowledgement may be before
	// the owner leaves the reserve alone.
	SecondContact waxfleet.Millis = 2_500
	// SecondSilence is how long the second hears nothing from the owner before it
	// uses the reserve. It exceeds SecondContact by more than 1% of clock rate, so
	// that the owner has stopped using the reserve first.
	SecondSilence waxfleet.Millis = 5_000
	// GoneFromList is how long an instance is missing from the instance list
	// before it counts as stopped.
	GoneFromList waxfleet.Millis = 10_000
)

// Facts is what an instance knows of the others when it decides what it may
// admit. Implementations answer from memory.
type Facts interface {
	// Departed reports whether the member has announced that it stopped admitting.
	Departed(m Member) bool
	// Confirmed reports whether the member is known to have adopted the epoch or
	// a later one, and so to have stopped under earlier ones.
	Confirmed(m Member, epoch uint64) bool
	// Stopped reports proof that the member's process has ended.
	Stopped(m Member) bool
	// Lapsed reports whether the member's lease must have lapsed on its own clock.
	Lapsed(m Member) bool
	// Heard returns when the last message of the member arrived, or a negative time.
	Heard(m Member) waxfleet.Millis
	// Acknowledged returns when this instance sent the newest message that the
	// member has acknowledged, or a negative time.
	Acknowledged(m Member) waxfleet.Millis
}

// Line is the succession of one backend server: in the current epoch, and in the
// earlier epochs that are not settled.
type Line struct {
	order   []Member
	history [][]Member
}

// LineOf returns the succession of a backend server under an assignment.
func LineOf(server string, a Assignment, departed func(Member) bool) Line {
	l := Line{order: succession(server, a.members, departed)}
	for _, group := range a.history {
		l.history = append(l.history, succession(server, group, departed))
	}
	return l
}

// Allowance decides which share of a backend server's limit self may use at the
// time now. line is the server's succession in the epoch; leaseUntil is the end of
// self's own lease; since is when self's view of the succession last changed, by
// an assignment or a departure. The silence of an owner counts from then: before,
// another member was the second whose acknowledgement the owner relied on.
func Allowance(self Member, line Line, epoch uint64, now, leaseUntil, since waxfleet.Millis, f Facts) Share {
	switch {
	case len(line.order) > 0 && line.order[0] == self:
		return ownerShare(self, line, epoch, now, leaseUntil, f)
	case len(line.order) > 1 && line.order[1] == self:
		return secondShare(self, line, epoch, now, since, f)
	default:
		return None
	}
}

// ownerShare is the share of the first in the succession of the epoch.
func ownerShare(self Member, line Line, epoch uint64, now, leaseUntil waxfleet.Millis, f Facts) Share {
	inherited := inheritedShare(self, line, epoch, f)
	if inherited != Full {
		return inherited
	}
	if now >= leaseUntil {
		return LessReserve // detached: a successor may be using the reserve
	}
	if !secondHears(line.order, now, f) {
		return LessReserve // the second may take this owner for silent
	}
	return Full
}

// secondHears reports whether the second in the succession has lately
// acknowledged a digest of the owner. One whose process has ended may have
// departed before, so that the next in line is the second.
func secondHears(order []Member, now waxfleet.Millis, f Facts) bool {
	for _, m := range order[1:] {
		if !f.Stopped(m) {
			return now-f.Acknowledged(m) <= SecondContact
		}
	}
	return true
}

// inheritedShare is what the members of earlier epochs leave to self. A member
// that has not confirmed the current epoch may act under an earlier one: as its
// owner, up to the limit without its reserve once its lease has lapsed, or as
// its second, with the reserve. Those before it in the succession may have
// departed without self knowing it, unless they have confirmed the epoch: a
// departure after that is not applied under an earlier epoch.
func inheritedShare(self Member, line Line, epoch uint64, f Facts) Share {
	owners := map[Member]bool{}
	seconds := map[Member]bool{}
	for _, group := range line.history {
		confirmed := 0
		for _, m := range group {
			switch {
			case m == self || f.Confirmed(m, epoch):
				confirmed++
			case f.Stopped(m):
			case confirmed == 0:
				owners[m] = true
			case confirmed == 1:
				seconds[m] = true
			}
		}
	}
	for m := range owners {
		if !f.Lapsed(m) {
			return None
		}
		delete(seconds, m)
	}
	switch {
	case len(owners)+len(seconds) > 1:
		return None
	case len(owners) == 1:
		return Reserve
	case len(seconds) == 1:
		return LessReserve
	default:
		return Full
	}
}

// secondShare is the share of the second in the succession, which uses the
// reserve while the owner is silent.
func secondShare(self Member, line Line, epoch uint64, now, since waxfleet.Millis, f Facts) Share {
	owner := line.order[0]
	silent := f.Stopped(owner) || now-max(f.Heard(owner), since) > SecondSilence
	if !silent || inheritedShare(self, line, epoch, f) != Full {
		return None
	}
	return Reserve
}
