package waxpeer

import (
	"slices"

	"waxwingdrift.org/waxfleet/waxplace"
)

const (
	// meshSize is the largest fleet in which every instance tells every other. In
	// larger ones instances tell those of their own failure domain, and gateways
	// tell the sums to other failure domains, so that the bytes between failure
	// domains do not grow with the square of the fleet.
	meshSize = 8
	// gateways is the number of instances of a failure domain that tell others.
	gateways = 2
	// receivers is the number of instances of a failure domain that are told. One
	// more than there are gateways, because the sender does not know which live.
	receivers = 3
)

// Peer is another instance.
type Peer struct {
	Name          string
	FailureDomain string
	// Address is "ip:port" for datagrams.
	Address string
}

// Topology says whom an instance tells what.
type Topology struct {
	// Group is told the own counts.
	Group []Peer
	// Remote is told the sums of the own failure domain; only gateways do so.
	Remote []Peer
	// Whole is true when the group is the whole fleet.
	Whole bool
	// Gateway is true when the instance is a gateway of its failure domain.
	Gateway bool
}

// Plan returns the topology of an instance. peers holds all others, alive says
// which of them were heard lately.
func Plan(self Peer, peers []Peer, alive func(name string) bool) Topology {
	if isMesh(len(peers)) {
		return Topology{Group: peers, Whole: true}
	}
	var t Topology
	rivals := 0
	remote := map[string][]Peer{}
	for _, p := range peers {
		if p.FailureDomain != self.FailureDomain {
			remote[p.FailureDomain] = append(remote[p.FailureDomain], p)
			continue
		}
		t.Group = append(t.Group, p)
		if alive(p.Name) && order(p, self) < 0 {
			rivals++
		}
	}
	t.Gateway = rivals < gateways
	if !t.Gateway {
		return t
	}
	for _, members := range remote {
		slices.SortFunc(members, order)
		t.Remote = append(t.Remote, members[:min(receivers, len(members))]...)
	}
	return t
}

// order is the one in which instances become gateways and receivers.
func order(a, b Peer) int { return waxplace.CompareHashed(a.Name, b.Name) }

// isMesh reports whether an instance with so many others tells each of them.
func isMesh(others int) bool { return others+1 <= meshSize }
