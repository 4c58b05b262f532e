package waxfleet

// Link is the connection between two instances, as this instance sees it.
type Link struct {
	peer      Instance
	lastHeard Millis
	healthy   bool
}

// NewLink returns a link to a peer that was last heard at the given time.
func NewLink(peer Instance, lastHeard Millis, healthy bool) Link {
	return Link{peer: peer, lastHeard: lastHeard, healthy: healthy}
}

// Peer returns the instance at the other end.
func (l Link) Peer() Instance { return l.peer }

// LastHeard returns the clock time of the last message from the peer.
func (l Link) LastHeard() Millis { return l.lastHeard }

// Healthy reports whether the peer answers.
func (l Link) Healthy() bool { return l.healthy }

// FailureDomain is a part of the fleet that can be cut off as a whole.
type FailureDomain struct {
	name string
	in   bool
}

// NewFailureDomain returns a failure domain; in tells whether operators have it
// in service.
func NewFailureDomain(name string, in bool) FailureDomain { return FailureDomain{name: name, in: in} }

// Name returns the name that is unique in the fleet.
func (f FailureDomain) Name() string { return f.name }

// In reports whether operators have it in service.
func (f FailureDomain) In() bool { return f.in }
