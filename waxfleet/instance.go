package waxfleet

// State is the state of a router instance or a backend server in the
// platform's instance list.
type State string

// States of instances and backend servers.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is a machine that runs the router.
type Instance struct {
	id            string
	failureDomain string
	peerAddress   string
	state         State
}

// NewInstance returns an instance. peerAddress is "ip:port" of its Peer service.
func NewInstance(id, failureDomain, peerAddress string, state State) Instance {
	return Instance{id: id, failureDomain: failureDomain, peerAddress: peerAddress, state: state}
}

// ID returns the name that is unique in the fleet.
func (i Instance) ID() string { return i.id }

// FailureDomain returns the name of the failure domain it runs in.
func (i Instance) FailureDomain() string { return i.failureDomain }

// PeerAddress returns "ip:port" of its Peer service.
func (i Instance) PeerAddress() string { return i.peerAddress }

// State returns the state that the instance list shows.
func (i Instance) State() State { return i.state }
