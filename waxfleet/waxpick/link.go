package waxpick

import "waxwingdrift.org/waxfleet"

const (
	// linkSilence is the time without a byte from any server of the service after which this
	// instance may be cut off from all of them, if several have not answered for so long.
	// It is longer for a single one, which may be slow.
	linkSilence       waxfleet.Millis = 500
	linkSilenceSingle waxfleet.Millis = 1_000
	// minUnreachableServers is the number of servers that refuse connections, without an
	// open one in between, after which the instance may be cut off.
	minUnreachableServers = 2
	// linkCheckInterval is the minimum interval between two checks of the link.
	linkCheckInterval waxfleet.Millis = 500
)

// LinkHealth detects that this instance is partitioned from all servers of a service, while
// callers and other instances still reach it. What it sees itself only raises a suspicion:
// a check, which opens connections to several servers, decides. It isn't safe for
// concurrent use.
type LinkHealth struct {
	lastActivity waxfleet.Millis
	// unanswered holds the servers that were sent a request since lastActivity, with the
	// time of the first one.
	unanswered map[string]waxfleet.Millis
	// unreachable holds the servers to which no connection could be opened, since one could.
	unreachable map[string]bool
	lastCheck   waxfleet.Millis
	checking    bool
	cutOff      bool
}

// RecordActivity records that bytes arrived from a server.
func (l *LinkHealth) RecordActivity(now waxfleet.Millis) {
	l.lastActivity = now
	clear(l.unanswered)
}

// RecordSent records that a request was sent to a server.
func (l *LinkHealth) RecordSent(now waxfleet.Millis, server string) {
	if l.unanswered == nil {
		l.unanswered = map[string]waxfleet.Millis{}
	}
	if _, ok := l.unanswered[server]; !ok {
		l.unanswered[server] = now
	}
}

// RecordConnection records whether a connection to a server could be opened.
func (l *LinkHealth) RecordConnection(server string, opened bool) {
	if opened {
		clear(l.unreachable)
		return
	}
	if l.unreachable == nil {
		l.unreachable = map[string]bool{}
	}
	l.unreachable[server] = true
}

// suspected reports whether the instance may be cut off.
func (l *LinkHealth) suspected(now waxfleet.Millis) bool {
	if len(l.unreachable) >= minUnreachableServers {
		return true
	}
	silent, oldest := 0, now
	for _, at := range l.unanswered {
		if now-at >= linkSilence {
			silent++
		}
		oldest = min(oldest, at)
	}
	return now-l.lastActivity >= linkSilence && (silent >= 2 || silent == 1 && now-oldest >= linkSilenceSingle)
}

// StartCheck reports whether a check of the link is due, and records its start.
func (l *LinkHealth) StartCheck(now waxfleet.Millis) bool {
	if l.checking || now-l.lastCheck < linkCheckInterval || !l.cutOff && !l.suspected(now) {
		return false
	}
	l.checking, l.lastCheck = true, now
	return true
}

// EndCheck records the result of a check: whether a connection to any server could be
// opened. It reports whether the instance is now cut off and was not, or the reverse.
func (l *LinkHealth) EndCheck(now waxfleet.Millis, reachable bool) (changed bool) {
	l.checking = false
	changed = l.cutOff == reachable
	l.cutOff = !reachable
	if reachable {
		clear(l.unreachable)
		clear(l.unanswered)
		l.lastActivity = now
	}
	return changed
}

// CutOff reports whether no server could be reached at the last check.
func (l *LinkHealth) CutOff() bool { return l.cutOff }
