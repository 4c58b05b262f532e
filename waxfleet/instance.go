package waxfleet

// State is the lifecycle state of a router instance or a backend server, as
// reported by the platform's instance list.
type State string

// States of instances and backend servers.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is a machine that runs a router.
type Instance struct {
	id            string
	failureDomain string
	peerAddress   string
	state         State
}

// NewInstance returns an instance. peerAddress is the "ip:port" of its Peer
// service.
func NewInstance(id, failureDomain, peerAddress string, state State) Instance {
	return Instance{id: id, failureDomain: failureDomain, peerAddress: peerAddress, state: state}
}

// ID returns the fleet-wide unique name.
func (i Instance) ID() string { return i.id }

// FailureDomain returns the name of the failure domain the instance runs in.
func (i Instance) FailureDomain() string { return i.failureDomain }

// PeerAddress returns the "ip:port" of the Peer service.
func (i Instance) PeerAddress() string { return i.peerAddress }

// State returns the state reported by the instance list.
func (i Instance) State() State { return i.state }
