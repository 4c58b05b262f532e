package waxpick

import "waxwingdrift.org/waxfleet"

const (
	// quietTime is how long nothing may have come from the servers of a failure domain
	// until it can be suspected, in ms. Running streams send an event each 50 ms or
	// so, and plain answers take less.
	quietTime waxfleet.Millis = 500
	// unansweredTime is how long the first request without an answer has been waiting
	// until the domain can be suspected, in ms.
	unansweredTime waxfleet.Millis = 250
	// suspectServers is the number of servers of a domain that time out, with no
	// answer from any in between, until the domain is suspected, and suspectTime how
	// long that lasts, in ms. Then requests try it again.
	suspectServers                 = 2
	suspectTime    waxfleet.Millis = 1_000
	// tryTime is the time after which one request tries a suspected domain again, in
	// ms: its instances may be gone and its servers live.
	tryTime waxfleet.Millis = 1_000
)

// DomainHealth remembers when the servers of one failure domain last gave a sign.
// It answers the pattern of a failure domain that loses power or is cut off: its
// servers fall silent together, and requests that are sent to one after the other
// of them are lost. The caller serializes access.
type DomainHealth struct {
	sign waxfleet.Millis
	// waiting is the time of the first request since the last sign, last that of the
	// last one.
	waiting waxfleet.Millis
	last    waxfleet.Millis
	failed  map[string]bool
	until   waxfleet.Millis
}

// Sign notes that bytes came from a server of the domain.
func (d *DomainHealth) Sign(now waxfleet.Millis) {
	d.sign, d.waiting, d.until = now, 0, 0
	clear(d.failed)
}

// LastSign returns the time of the last sign.
func (d *DomainHealth) LastSign() waxfleet.Millis { return d.sign }

// Sent notes that a request was sent to a server of the domain.
func (d *DomainHealth) Sent(now waxfleet.Millis) {
	if d.waiting == 0 {
		d.waiting = now
	}
	d.last = now
}

// TimedOut notes that a server of the domain did not answer in time. One that
// refuses connections gives a sign: its machine is reached.
func (d *DomainHealth) TimedOut(now waxfleet.Millis, server string) {
	if d.failed == nil {
		d.failed = map[string]bool{}
	}
	d.failed[server] = true
	if len(d.failed) >= suspectServers {
		d.until = now + suspectTime
	}
}

// Suspect reports whether the domain can't be reached. instancesSilent tells that
// no instance there was heard lately; it is asked only when nothing else speaks for
// the domain.
func (d *DomainHealth) Suspect(now waxfleet.Millis, instancesSilent func() bool) bool {
	if now < d.until {
		return true
	}
	return now-d.sign > quietTime && d.waiting > 0 && now-d.waiting > unansweredTime && now-d.last < tryTime && instancesSilent()
}
