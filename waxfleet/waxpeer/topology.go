package waxpeer

import (
	"slices"

	"waxwingdrift.org/waxfleet/waxplace"
)

const (
	// maxMeshSize is the largest fleet in which every instance sends to every other one.
	// In larger fleets, instances send within their own failure domain, and gateways
	// send its totals to the other failure domains, so that the traffic between failure
	// domains does not grow with the square of the fleet size.
	maxMeshSize = 16
	// gatewaysPerDomain is the number of instances of a failure domain that send its
	// totals to other failure domains.
	gatewaysPerDomain = 2
	// receiversPerDomain is the number of instances of a failure domain that receive the
	// totals of other domains. It exceeds gatewaysPerDomain because the sender does not
	// know which instances are alive.
	receiversPerDomain = 3
)

// Peer is a router instance that takes part in the exchange.
type Peer struct {
	Name          string
	FailureDomain string
	// Address is the UDP address, as "ip:port".
	Address string
}

// Topology lists the peers that an instance sends to.
type Topology struct {
	// Group receives the load of this instance.
	Group []Peer
	// Remote receives the totals of the own failure domain. It is empty unless Gateway is
	// true.
	Remote []Peer
	// WholeFleet is true when the group is the whole fleet.
	WholeFleet bool
	// Gateway is true when the instance is a gateway of its failure domain. It is always
	// false when WholeFleet is true.
	Gateway bool
}

// NewTopology returns the topology of the instance self. peers holds all other instances,
// and alive reports whether the named instance was heard from recently.
func NewTopology(self Peer, peers []Peer, alive func(name string) bool) Topology {
	if isFullMesh(len(peers)) {
		return Topology{Group: peers, WholeFleet: true}
	}
	var t Topology
	preceding := 0
	remote := map[string][]Peer{}
	for _, p := range peers {
		if p.FailureDomain != self.FailureDomain {
			remote[p.FailureDomain] = append(remote[p.FailureDomain], p)
			continue
		}
		t.Group = append(t.Group, p)
		if alive(p.Name) && electionOrder(p, self) < 0 {
			preceding++
		}
	}
	t.Gateway = preceding < gatewaysPerDomain
	if !t.Gateway {
		return t
	}
	for _, members := range remote {
		slices.SortFunc(members, electionOrder)
		t.Remote = append(t.Remote, members[:min(receiversPerDomain, len(members))]...)
	}
	return t
}

// electionOrder compares instances in the order in which they become gateways and
// receivers.
func electionOrder(a, b Peer) int { return waxplace.CompareByHash(a.Name, b.Name) }

// isFullMesh reports whether an instance with this many peers sends to each of them.
func isFullMesh(others int) bool { return others+1 <= maxMeshSize }
