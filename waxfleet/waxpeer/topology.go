package waxpeer

import (
	"cmp"
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
	// Stopping is true once the instance was told to stop. It still takes part, but is not to
	// get new work.
	Stopping bool
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

// IsKeeper reports whether the instance self is one of those that keep the records with a key:
// the first ones of a fleet that is one group, and as many of each failure domain of a larger
// one that together they are no fewer. peers holds all other instances. Those that are
// stopping, or not alive, keep nothing.
func IsKeeper(self Peer, peers []Peer, key uint64, keepers int, alive func(name string) bool) bool {
	if !isFullMesh(len(peers)) {
		domains := map[string]bool{self.FailureDomain: true}
		for _, p := range peers {
			domains[p.FailureDomain] = true
		}
		keepers = (keepers + len(domains) - 1) / len(domains)
	}
	preceding := 0
	for _, p := range peers {
		inGroup := isFullMesh(len(peers)) || p.FailureDomain == self.FailureDomain
		if inGroup && !p.Stopping && alive(p.Name) && compareWeights(key, p, self) < 0 {
			preceding++
		}
	}
	return preceding < keepers
}

// compareWeights compares peers by descending rendezvous weight for the key.
func compareWeights(key uint64, a, b Peer) int {
	return -cmp.Compare(waxplace.Weight(key, NameHash(a.Name)), waxplace.Weight(key, NameHash(b.Name)))
}
