package waxpick

import "waxwingdrift.org/waxfleet"

const (
	// inactivityTimeout is the time without a byte from any server of a failure
	// domain after which the domain can be suspected. Running streams send an
	// event about every 50 ms, and plain responses take less.
	inactivityTimeout waxfleet.Millis = 500
	// unansweredTimeout is the time since the oldest unanswered request after
	// which the domain can be suspected.
	unansweredTimeout waxfleet.Millis = 250
	// minTimedOutServers is the number of servers of a domain that have to time out,
	// without a response from any of its servers in between, before the domain is
	// suspected.
	minTimedOutServers = 2
	// suspicionTTL is the time for which a domain is suspected after that.
	suspicionTTL waxfleet.Millis = 1_000
	// probeInterval is the time since the last request after which a request
	// probes a suspected domain: its router instances may have stopped while
	// its servers still run.
	probeInterval waxfleet.Millis = 1_000
)

// DomainHealth detects that a failure domain lost power or is partitioned from
// this instance. All of its servers are then unreachable at once, and requests
// that try one after the other would be lost. It isn't safe for concurrent use.
type DomainHealth struct {
	lastActivity waxfleet.Millis
	// firstUnanswered is when the first request after lastActivity was sent; 0
	// if none was.
	firstUnanswered waxfleet.Millis
	lastSent        waxfleet.Millis
	timedOut        map[string]bool
	suspectUntil    waxfleet.Millis
}

// RecordActivity records that bytes arrived from a server of the domain, and
// lifts the suspicion.
func (d *DomainHealth) RecordActivity(now waxfleet.Millis) {
	d.lastActivity, d.firstUnanswered, d.suspectUntil = now, 0, 0
	clear(d.timedOut)
}

// LastActivity returns when bytes last arrived from the domain.
func (d *DomainHealth) LastActivity() waxfleet.Millis { return d.lastActivity }

// RecordSent records that a request was sent to a server of the domain.
func (d *DomainHealth) RecordSent(now waxfleet.Millis) {
	if d.firstUnanswered == 0 {
		d.firstUnanswered = now
	}
	d.lastSent = now
}

// RecordTimeout records that a response or a connection attempt of a server of
// the domain timed out. A refused connection is no timeout: it shows that the
// machine is reachable.
func (d *DomainHealth) RecordTimeout(now waxfleet.Millis, server string) {
	if d.timedOut == nil {
		d.timedOut = map[string]bool{}
	}
	d.timedOut[server] = true
	if len(d.timedOut) >= minTimedOutServers {
		d.suspectUntil = now + suspicionTTL
	}
}

// Suspected reports whether the domain is considered unreachable.
// instancesUnreachable reports whether no router instance of the domain was
// heard from recently. It is called only if all other conditions hold.
func (d *DomainHealth) Suspected(now waxfleet.Millis, instancesUnreachable func() bool) bool {
	if now < d.suspectUntil {
		return true
	}
	return now-d.lastActivity > inactivityTimeout &&
		d.firstUnanswered > 0 && now-d.firstUnanswered > unansweredTimeout &&
		now-d.lastSent < probeInterval && instancesUnreachable()
}
