package waxfleet

// Link is the state of the connection from this instance to a peer.
type Link struct {
	peer      Instance
	lastHeard Millis
	healthy   bool
}

// NewLink returns a link to a peer. lastHeard is the clock time of the last message
// from the peer.
func NewLink(peer Instance, lastHeard Millis, healthy bool) Link {
	return Link{peer: peer, lastHeard: lastHeard, healthy: healthy}
}

// Peer returns the remote instance.
func (l Link) Peer() Instance { return l.peer }

// LastHeard returns the clock time of the last message from the peer.
func (l Link) LastHeard() Millis { return l.lastHeard }

// Healthy reports whether the peer is reachable.
func (l Link) Healthy() bool { return l.healthy }

// FailureDomain is a part of the fleet that can fail or become unreachable as a
// whole.
type FailureDomain struct {
	name      string
	inService bool
}

// NewFailureDomain returns a failure domain. inService is false while operators
// have taken it out of service.
func NewFailureDomain(name string, inService bool) FailureDomain {
	return FailureDomain{name: name, inService: inService}
}

// Name returns the fleet-wide unique name.
func (f FailureDomain) Name() string { return f.name }

// InService reports whether the failure domain is in service. Operators can take it out
// of service.
func (f FailureDomain) InService() bool { return f.inService }
