// Package waxmember maintains this instance's view of its peers by anti-entropy
// gossip. Instances exchange digests: state changes within a failure domain, and
// totals between domains.
package waxmember

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// PeerTimeout is how long a peer counts as live, and its counts are used, after its
	// last message.
	PeerTimeout waxfleet.Millis = 3_000
	// maxSentDigests is the number of sent digests whose send time is remembered.
	maxSentDigests = 512
	// never is the time of an event that has not happened: before any real time, so
	// that its age exceeds every timeout.
	never waxfleet.Millis = -1 << 40
)

// Local is the local state that goes into digests, and receives what digests bring.
type Local interface {
	// BackendStates returns the state of the backend servers that this instance owns
	// or where its requests are still in flight.
	BackendStates() []*waxwire.BackendState
	// Assignment returns the newest encoded assignment of this failure domain, its
	// object version and its epoch.
	Assignment() (value []byte, version, epoch uint64)
	// AdoptAssignment adopts an assignment of this failure domain that a peer sent,
	// if it is newer.
	AdoptAssignment(value []byte, version uint64)
	ConfigVersion() uint64
	// ConfigVersionSeen is called with the configuration version of each digest that
	// arrives. It must not block.
	ConfigVersionSeen(version uint64)
	// PlatformReachable reports whether the last call to the platform succeeded.
	PlatformReachable() bool
	// Suspects returns the suspect records that changed recently, or all of them if
	// all is set.
	Suspects(all bool) []*waxwire.Suspect
	MergeSuspects(list []*waxwire.Suspect)
}

// peerState is what this instance knows about a peer.
type peerState struct {
	instance      waxfleet.Instance
	incarnation   string
	lastMessageAt waxfleet.Millis
	lastDigestAt  waxfleet.Millis
	// ackedSeq is the sequence number of the newest own digest that the peer has
	// acknowledged, and ackedSentAt when it was sent.
	ackedSeq    uint64
	ackedSentAt waxfleet.Millis
	// receivedSeq is the sequence number of the newest digest received from the peer.
	receivedSeq       uint64
	epoch             uint64
	configVersion     uint64
	leaving           bool
	platformReachable bool
	load              reportedLoad
	servers           map[string]*waxwire.BackendState
}

func newPeerState(i waxfleet.Instance) *peerState {
	return &peerState{
		instance:      i,
		lastMessageAt: never,
		lastDigestAt:  never,
		ackedSentAt:   never,
		servers:       map[string]*waxwire.BackendState{},
	}
}

func (p *peerState) member() string {
	return waxlease.NewMember(p.instance.ID(), p.incarnation).String()
}

type totalKey struct{ service, failureDomain string }

type domainTotal struct {
	total      waxfleet.ServiceTotal
	measuredAt waxfleet.Millis
}

// ownState is the state of an own backend server. seq is the number of the first digest
// that contains it.
type ownState struct {
	state *waxwire.BackendState
	seq   uint64
}

// assignmentState is the assignment of a failure domain. seq is the number of the first
// digest that contains it.
type assignmentState struct {
	copy   *waxwire.AssignmentCopy
	parsed waxlease.Assignment
	seq    uint64
}

// Table is the membership table: this instance's view of the fleet. It is safe for
// concurrent use.
type Table struct {
	clock       *waxfleet.Clock
	self        waxfleet.Instance
	incarnation string
	startedAt   waxfleet.Millis
	local       Local

	mu sync.Mutex
	// seq is the sequence number of the last digest built, and sentAt holds the send
	// times of the newest maxSentDigests by sequence number.
	seq       uint64
	sentAt    map[uint64]waxfleet.Millis
	ownStates map[string]ownState
	peers     map[string]*peerState
	servers   map[string]waxfleet.BackendServer
	// serverList holds servers in the order of the instance list. It is replaced,
	// never modified, because requests read it without holding the lock.
	serverList  []waxfleet.BackendServer
	totals      map[totalKey]domainTotal
	assignments map[string]assignmentState
	// departedLocal holds the departed members of this failure domain. lastDepartureAt
	// is when the latest departure of another member was recorded, and
	// departuresVersion changes whenever the set does.
	departedLocal     map[string]bool
	lastDepartureAt   waxfleet.Millis
	departuresVersion uint64
	// departedRemote holds the departed members of other failure domains. It only
	// affects routing, so it is independent of epochs.
	departedRemote map[string]bool
	leaving        bool
}

// NewTable returns a table that knows only this instance. SetLocal must be called before
// digests are built or merged.
func NewTable(clock *waxfleet.Clock, self waxfleet.Instance, incarnation string) *Table {
	return &Table{
		clock: clock, self: self, incarnation: incarnation, startedAt: clock.Now(),
		sentAt: map[uint64]waxfleet.Millis{}, ownStates: map[string]ownState{},
		peers: map[string]*peerState{}, servers: map[string]waxfleet.BackendServer{},
		totals: map[totalKey]domainTotal{}, assignments: map[string]assignmentState{},
		departedLocal: map[string]bool{}, departedRemote: map[string]bool{},
	}
}

// SetLocal sets the source of this instance's own state.
func (t *Table) SetLocal(local Local) { t.local = local }

// Self returns this instance.
func (t *Table) Self() waxfleet.Instance { return t.self }

// SetList applies the platform's instance list. Peers missing from it are kept while
// they are live, because the list lags.
func (t *Table) SetList(instances []waxfleet.Instance, servers []waxfleet.BackendServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, i := range instances {
		if i.ID() == t.self.ID() {
			continue
		}
		listed[i.ID()] = true
		if p, ok := t.peers[i.ID()]; ok {
			p.instance = i
			continue
		}
		t.peers[i.ID()] = newPeerState(i)
	}
	now := t.clock.Now()
	for id, p := range t.peers {
		if !listed[id] && now-p.lastMessageAt > PeerTimeout {
			delete(t.peers, id)
		}
	}
	t.servers = make(map[string]waxfleet.BackendServer, len(servers))
	t.serverList = make([]waxfleet.BackendServer, 0, len(servers))
	for _, b := range servers {
		if _, duplicate := t.servers[b.ID()]; duplicate {
			continue
		}
		t.servers[b.ID()] = b
		t.serverList = append(t.serverList, b)
	}
}

// Servers returns the backend servers on the instance list. The caller must not
// modify the slice.
func (t *Table) Servers() []waxfleet.BackendServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serverList
}

// Server returns the backend server with the ID, and whether it is on the instance
// list.
func (t *Table) Server(id string) (waxfleet.BackendServer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.servers[id]
	return b, ok
}

// Peer returns the peer with the instance ID, and whether it is known.
func (t *Table) Peer(id string) (waxfleet.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[id]
	if !ok {
		return waxfleet.Instance{}, false
	}
	return p.instance, true
}

// Links returns the state of the links to all known peers, sorted by instance ID.
func (t *Table) Links() []waxfleet.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	links := make([]waxfleet.Link, 0, len(t.peers))
	for _, p := range t.peers {
		links = append(links, waxfleet.NewLink(p.instance, p.lastMessageAt, now-p.lastMessageAt <= PeerTimeout))
	}
	slices.SortFunc(links, func(a, b waxfleet.Link) int {
		if a.Peer().ID() < b.Peer().ID() {
			return -1
		}
		return 1
	})
	return links
}

// LiveMembers returns the peers of this failure domain that are live and neither
// leaving nor departed, as sorted "instance@incarnation" strings.
func (t *Table) LiveMembers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var live []string
	for _, p := range t.peers {
		if p.instance.FailureDomain() != t.self.FailureDomain() || p.leaving || p.incarnation == "" {
			continue
		}
		if now-p.lastMessageAt <= PeerTimeout && !t.departedLocal[p.member()] {
			live = append(live, p.member())
		}
	}
	slices.Sort(live)
	return live
}

// LastHeard returns when the last message from the member arrived, or a large
// negative time if no message has arrived.
func (t *Table) LastHeard(member string) waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.findPeer(member); p != nil {
		return p.lastMessageAt
	}
	return never
}

// LastAcknowledged returns when this instance sent the newest digest that the member
// has acknowledged, or a large negative time if there is none.
func (t *Table) LastAcknowledged(member string) waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.findPeer(member); p != nil {
		return p.ackedSentAt
	}
	return never
}

// Epoch returns the highest epoch that the member has reported, or 0.
func (t *Table) Epoch(member string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.findPeer(member); p != nil {
		return p.epoch
	}
	return 0
}

// Departed reports whether the member, of this failure domain, has announced that it
// stopped admitting requests.
func (t *Table) Departed(member string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departedLocal[member]
}

// LastDepartureAt returns when this instance recorded the latest departure of another
// member of its failure domain, or 0 if there was none.
func (t *Table) LastDepartureAt() waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastDepartureAt
}

// DeparturesVersion returns a counter that changes whenever the set of departed
// members of this failure domain does.
func (t *Table) DeparturesVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departuresVersion
}

// Restarted reports whether a later incarnation of the member's instance is known.
func (t *Table) Restarted(member string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := waxlease.ParseMember(member)
	p, ok := t.peers[m.Instance()]
	return ok && p.incarnation != "" && p.incarnation > m.Incarnation()
}

func (t *Table) findPeer(member string) *peerState {
	m := waxlease.ParseMember(member)
	p, ok := t.peers[m.Instance()]
	if !ok || p.incarnation != m.Incarnation() {
		return nil
	}
	return p
}

func (t *Table) selfMember() string {
	return waxlease.NewMember(t.self.ID(), t.incarnation).String()
}

// Depart makes all later digests announce that this instance has stopped admitting
// requests. The caller must have stopped admitting before.
func (t *Table) Depart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.departedLocal[t.selfMember()] = true
	t.departuresVersion++
}

// SetLeaving makes all later digests announce that this instance accepts no more
// requests from callers.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// External returns the number of requests in flight at the backend server that live
// peers have reported, as its owner or from an earlier ownership.
func (t *Table) External(server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	sum := 0
	for _, p := range t.peers {
		if s, ok := p.servers[server]; ok && now-p.lastMessageAt <= PeerTimeout {
			sum += int(s.GetInFlight())
		}
	}
	return sum
}

// ServerState returns the state of a backend server as last reported by its owner. It
// returns false if the owner is not live or has not reported it as owned.
func (t *Table) ServerState(owner, server string) (*waxwire.BackendState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[owner]
	if !ok || t.clock.Now()-p.lastMessageAt > PeerTimeout {
		return nil, false
	}
	s, ok := p.servers[server]
	return s, ok && !s.GetResidual()
}

// Assignment returns the newest known assignment of a failure domain; its epoch is 0
// if none is known.
func (t *Table) Assignment(failureDomain string) waxlease.Assignment {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.assignments[failureDomain].parsed
}

// DepartedAnywhere reports whether the member, of any failure domain, has announced
// that it stopped admitting requests.
func (t *Table) DepartedAnywhere(member string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departedLocal[member] || t.departedRemote[member]
}

// Totals returns the load of a service per failure domain: for this domain from the
// counts of its instances, for others from the totals in digests.
func (t *Table) Totals(service string) []waxfleet.ServiceTotal {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := []waxfleet.ServiceTotal{t.ownTotal(service)}
	now := t.clock.Now()
	for key, d := range t.totals {
		if key.service == service && key.failureDomain != t.self.FailureDomain() && now-d.measuredAt <= PeerTimeout*2 {
			totals = append(totals, d.total)
		}
	}
	return totals
}

// DomainTimedOut reports whether the newest totals of another failure domain are too
// old to be used, or none have arrived for that long since the start. It is false for
// this failure domain.
func (t *Table) DomainTimedOut(failureDomain string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if failureDomain == t.self.FailureDomain() {
		return false
	}
	newest := t.startedAt
	for key, d := range t.totals {
		if key.failureDomain == failureDomain {
			newest = max(newest, d.measuredAt)
		}
	}
	return t.clock.Now()-newest > PeerTimeout*2
}

// ownTotal returns the total of this failure domain for a service. It counts the servers
// for which countsForMean is true and the requests in flight there, and also the
// requests that remain from earlier ownerships. The caller holds the lock.
func (t *Table) ownTotal(service string) waxfleet.ServiceTotal {
	now := t.clock.Now()
	inFlight, free, servers := t.ownCounts(service)
	for _, p := range t.peers {
		if now-p.lastMessageAt > PeerTimeout {
			continue
		}
		for _, s := range p.servers {
			free += freeSlots(service, s)
		}
	}
	inFlight, servers = t.addDigestLoads(service, inFlight, servers)
	return waxfleet.NewServiceTotal(service, t.self.FailureDomain(), inFlight, servers, free)
}

// ownCounts sums the counts of this instance. The caller holds the lock.
func (t *Table) ownCounts(service string) (inFlight, free, servers int) {
	for _, o := range t.ownStates {
		s := o.state
		if s.GetService() != service {
			continue
		}
		if countsForMean(s) {
			servers++
		}
		if countsForMean(s) || s.GetResidual() {
			inFlight += int(s.GetInFlight())
		}
		free += freeSlots(service, s)
	}
	return inFlight, free, servers
}

// freeSlots returns the number of requests that could start at the backend server
// now, or 0 if it belongs to another service.
func freeSlots(service string, s *waxwire.BackendState) int {
	if s.GetService() != service || s.GetResidual() || s.GetLeaving() || s.GetDead() {
		return 0
	}
	bound := min(int(s.GetLimit()), int(s.GetWindow()))
	return max(bound-int(s.GetInFlight())-int(s.GetQueued()), 0)
}

// updateOwnStates records the own backend server states that changed, and replaces
// those no longer present by a state with Gone set. The caller holds the lock.
func (t *Table) updateOwnStates(states []*waxwire.BackendState) {
	present := map[string]bool{}
	for _, s := range states {
		present[s.GetId()] = true
		old, ok := t.ownStates[s.GetId()]
		if ok && proto.Equal(old.state, s) {
			continue
		}
		t.ownStates[s.GetId()] = ownState{state: s, seq: t.seq + 1}
	}
	for id, o := range t.ownStates {
		if present[id] || o.state.GetGone() {
			continue
		}
		removed := &waxwire.BackendState{Id: id, Gone: true}
		t.ownStates[id] = ownState{state: removed, seq: t.seq + 1}
	}
}

// PlatformReachable reports whether the peer last reported that it can reach the
// platform.
func (t *Table) PlatformReachable(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[instance]
	return ok && p.platformReachable
}
