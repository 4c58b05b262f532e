package waxlease

import "waxwingdrift.org/waxfleet"

// Share is the part of a backend server's load limit that an instance may use.
type Share int

// Shares in increasing order. The shares of all instances together never exceed
// the limit: Reserve is only held beside LessReserve, and Full only while every
// other instance has None.
const (
	// None admits no requests.
	None Share = iota
	// Reserve admits up to the reserved part of the limit.
	Reserve
	// LessReserve admits up to the limit minus the reserve.
	LessReserve
	// Full admits up to the full limit.
	Full
)

// String returns the name used in records and on status pages.
func (s Share) String() string {
	return [...]string{"none", "reserve", "less-reserve", "full"}[s]
}

const (
	// LeaseTTL is how long a renewal is valid on the holder's clock, counted
	// from before the request was sent.
	LeaseTTL waxfleet.Millis = 15_000
	// LeaseRenewalInterval is the interval between renewals.
	LeaseRenewalInterval waxfleet.Millis = 5_000
	// LeaseExpiryTimeout is how long a lease must stay unchanged before an observer
	// may treat it as expired on the holder's clock: its TTL, 1% for clock
	// drift, and 1 s for the observer's own rounding and scheduling.
	LeaseExpiryTimeout waxfleet.Millis = LeaseTTL + LeaseTTL/100 + 1_000
	// StandbyAckMaxAge is the age of the standby's last acknowledgement beyond
	// which the owner no longer uses the reserve.
	StandbyAckMaxAge waxfleet.Millis = 2_500
	// OwnerTimeout is the time since the owner's last message after which the
	// standby uses the reserve. It exceeds StandbyAckMaxAge by more than 1% clock
	// drift, so that the owner has stopped using the reserve by then.
	OwnerTimeout waxfleet.Millis = 5_000
	// UnlistedTimeout is how long an instance must be missing from the instance list
	// before its process counts as terminated.
	UnlistedTimeout waxfleet.Millis = 10_000
)

// MembershipView is what this instance knows about other members when it decides
// what it may admit. Implementations answer from memory, without I/O.
type MembershipView interface {
	// Departed reports whether the member has announced that it stopped admitting
	// requests.
	Departed(m Member) bool
	// AdoptedEpoch reports whether the member is known to have adopted the epoch or
	// a later one. It then no longer acts under earlier epochs.
	AdoptedEpoch(m Member, epoch uint64) bool
	// Terminated reports whether there is proof that the member's process has ended.
	Terminated(m Member) bool
	// LeaseExpired reports whether the member's lease must have expired on its own
	// clock.
	LeaseExpired(m Member) bool
	// LastHeard returns when the last message from the member arrived, or a negative
	// time if no message has arrived.
	LastHeard(m Member) waxfleet.Millis
	// LastAcknowledged returns when this instance sent the newest message that the
	// member has acknowledged, or a negative time if there is none.
	LastAcknowledged(m Member) waxfleet.Millis
}

// PreferenceList is the order in which members own one backend server: the owner, the
// standby and the members after them, in the current epoch and in the earlier epochs
// that may still be active.
type PreferenceList struct {
	members []Member
	history [][]Member
}

// PreferenceListOf returns the preference list of a backend server under an assignment,
// without the departed members.
func PreferenceListOf(server string, a Assignment, departed func(Member) bool) PreferenceList {
	list := PreferenceList{members: rankMembers(server, a.members, departed)}
	for _, group := range a.history {
		list.history = append(list.history, rankMembers(server, group, departed))
	}
	return list
}

// Allowance returns the share of a backend server's limit that self may use at the
// time now. list is the preference list of the server in the epoch;
// leaseUntil is when self's own lease expires; changedAt is when an assignment or a
// departure last changed self's view of the list. OwnerTimeout counts from changedAt
// at the earliest, because the owner relied on the acknowledgements of another
// standby before.
func Allowance(self Member, list PreferenceList, epoch uint64, now, leaseUntil, changedAt waxfleet.Millis, view MembershipView) Share {
	switch {
	case len(list.members) > 0 && list.members[0] == self:
		return ownerShare(self, list, epoch, now, leaseUntil, view)
	case len(list.members) > 1 && list.members[1] == self:
		return standbyShare(self, list, epoch, now, changedAt, view)
	default:
		return None
	}
}

// ownerShare returns the share of the owner in the current epoch.
func ownerShare(self Member, list PreferenceList, epoch uint64, now, leaseUntil waxfleet.Millis, view MembershipView) Share {
	remaining := remainingShare(self, list, epoch, view)
	if remaining != Full {
		return remaining
	}
	if now >= leaseUntil {
		return LessReserve // own lease expired: the standby or a later owner may be using the reserve
	}
	if !standbyReachable(list.members, now, view) {
		return LessReserve // the standby may have stopped hearing this owner
	}
	return Full
}

// standbyReachable reports whether the standby has recently acknowledged a digest
// of the owner. Members whose process has ended are skipped: they may have departed
// before, which makes the next member the standby.
func standbyReachable(members []Member, now waxfleet.Millis, view MembershipView) bool {
	for _, m := range members[1:] {
		if !view.Terminated(m) {
			return now-view.LastAcknowledged(m) <= StandbyAckMaxAge
		}
	}
	return true
}

// remainingShare returns the share that members of earlier epochs leave to self. A
// member that is not known to have adopted the current epoch may act under an
// earlier one, as the owner or as the standby. An owner uses at most the limit minus
// the reserve once its lease has expired; a standby uses the reserve. The members
// before it in the list may have departed without self's knowledge, which moves it
// up. Members that have adopted the current epoch keep their place, because a
// departure after that is not applied under earlier epochs.
func remainingShare(self Member, list PreferenceList, epoch uint64, view MembershipView) Share {
	owners := map[Member]bool{}
	standbys := map[Member]bool{}
	for _, group := range list.history {
		adopted := 0
		for _, m := range group {
			switch {
			case m == self || view.AdoptedEpoch(m, epoch):
				adopted++
			case view.Terminated(m):
			case adopted == 0:
				owners[m] = true
			case adopted == 1:
				standbys[m] = true
			}
		}
	}
	for m := range owners {
		if !view.LeaseExpired(m) {
			return None
		}
		delete(standbys, m)
	}
	switch {
	case len(owners)+len(standbys) > 1:
		return None
	case len(owners) == 1:
		return Reserve
	case len(standbys) == 1:
		return LessReserve
	default:
		return Full
	}
}

// standbyShare returns the share of the standby, which uses the reserve while the
// owner is timed out or terminated.
func standbyShare(self Member, list PreferenceList, epoch uint64, now, changedAt waxfleet.Millis, view MembershipView) Share {
	owner := list.members[0]
	ownerFailed := view.Terminated(owner) || now-max(view.LastHeard(owner), changedAt) > OwnerTimeout
	if !ownerFailed || remainingShare(self, list, epoch, view) != Full {
		return None
	}
	return Reserve
}
