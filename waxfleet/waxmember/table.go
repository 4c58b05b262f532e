// Package waxmember keeps what this instance knows of its peers. Instances swap
// digests: differences within a failure domain, totals between domains.
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
	// FreshFor is how long a peer's counts are used after its last digest.
	FreshFor waxfleet.Millis = 3_000
	// sentHistory is the number of own digests whose send time is remembered.
	sentHistory = 512
	// never is the time of something that has not happened.
	never waxfleet.Millis = -1 << 40
)

// Local is what this instance puts into its digests.
type Local interface {
	// BackendStates returns the state of the backend servers that this instance
	// owns or still runs work at.
	BackendStates() []*waxwire.BackendState
	// Assignment returns the newest assignment object of this failure domain, its
	// version and its epoch.
	Assignment() (value []byte, version, epoch uint64)
	// TakeAssignment adopts an assignment of this failure domain that a peer sent,
	// if it is newer.
	TakeAssignment(value []byte, version uint64)
	ConfigVersion() uint64
	// PlatformReachable reports whether the last platform call succeeded.
	PlatformReachable() bool
	// Suspects returns the suspect records that changed in the last seconds, or
	// all of them.
	Suspects(all bool) []*waxwire.Suspect
	TakeSuspects(list []*waxwire.Suspect)
}

type peerState struct {
	instance    waxfleet.Instance
	incarnation string
	heard       waxfleet.Millis
	digestAt    waxfleet.Millis
	acked       waxfleet.Millis
	ackedSeq    uint64
	receivedSeq uint64
	epoch       uint64
	config      uint64
	leaving     bool
	platform    bool
	load        peerLoad
	servers     map[string]*waxwire.BackendState
}

func newPeerState(i waxfleet.Instance) *peerState {
	return &peerState{instance: i, heard: never, digestAt: never, acked: never, servers: map[string]*waxwire.BackendState{}}
}

func (p *peerState) member() string {
	return waxlease.NewMember(p.instance.ID(), p.incarnation).String()
}

type totalKey struct{ service, failureDomain string }

type domainTotal struct {
	total waxfleet.ServiceTotal
	at    waxfleet.Millis
}

type ownState struct {
	state *waxwire.BackendState
	seq   uint64
}

type assignmentState struct {
	copy   *waxwire.AssignmentCopy
	parsed waxlease.Assignment
	seq    uint64
}

// Table is the view of the fleet that this instance has. It is safe for
// concurrent use.
type Table struct {
	clock       *waxfleet.Clock
	self        waxfleet.Instance
	incarnation string
	started     waxfleet.Millis
	local       Local

	mu      sync.Mutex
	seq     uint64
	sentAt  map[uint64]waxfleet.Millis
	own     map[string]ownState
	peers   map[string]*peerState
	servers map[string]waxfleet.BackendServer
	// list holds servers in the order of the instance list. It is replaced, never
	// changed, because each request reads it without the lock.
	list        []waxfleet.BackendServer
	totals      map[totalKey]domainTotal
	assignments map[string]assignmentState
	departed    map[string]bool
	departedAt  waxfleet.Millis
	departures  uint64
	// elsewhere holds the departed members of other failure domains. It only
	// guides routing, so that it needs no epoch.
	elsewhere map[string]bool
	leaving   bool
}

// NewTable returns a table that knows only this instance. Bind comes before use.
func NewTable(clock *waxfleet.Clock, self waxfleet.Instance, incarnation string) *Table {
	return &Table{
		clock: clock, self: self, incarnation: incarnation, started: clock.Now(),
		sentAt: map[uint64]waxfleet.Millis{}, own: map[string]ownState{},
		peers: map[string]*peerState{}, servers: map[string]waxfleet.BackendServer{},
		totals: map[totalKey]domainTotal{}, assignments: map[string]assignmentState{},
		departed: map[string]bool{}, elsewhere: map[string]bool{},
	}
}

// Bind sets the source of this instance's own state.
func (t *Table) Bind(local Local) { t.local = local }

// Self returns this instance.
func (t *Table) Self() waxfleet.Instance { return t.self }

// SetList takes the platform's instance list. Peers that are missing are kept
// while they are heard from, because the list lags.
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
		if !listed[id] && now-p.heard > FreshFor {
			delete(t.peers, id)
		}
	}
	t.servers = make(map[string]waxfleet.BackendServer, len(servers))
	t.list = make([]waxfleet.BackendServer, 0, len(servers))
	for _, b := range servers {
		if _, twice := t.servers[b.ID()]; twice {
			continue
		}
		t.servers[b.ID()] = b
		t.list = append(t.list, b)
	}
}

// Servers returns the backend servers of the instance list. The caller must not
// change the slice.
func (t *Table) Servers() []waxfleet.BackendServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list
}

// Server finds a backend server by id.
func (t *Table) Server(id string) (waxfleet.BackendServer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.servers[id]
	return b, ok
}

// Peer finds a peer by instance id.
func (t *Table) Peer(id string) (waxfleet.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[id]
	if !ok {
		return waxfleet.Instance{}, false
	}
	return p.instance, true
}

// Links returns the state of the links to all known peers.
func (t *Table) Links() []waxfleet.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	links := make([]waxfleet.Link, 0, len(t.peers))
	for _, p := range t.peers {
		links = append(links, waxfleet.NewLink(p.instance, p.heard, now-p.heard <= FreshFor))
	}
	slices.SortFunc(links, func(a, b waxfleet.Link) int {
		if a.Peer().ID() < b.Peer().ID() {
			return -1
		}
		return 1
	})
	return links
}

// LiveMembers returns "instance@incarnation" of the peers of this failure
// domain that were heard lately and are not leaving.
func (t *Table) LiveMembers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var live []string
	for _, p := range t.peers {
		if p.instance.FailureDomain() != t.self.FailureDomain() || p.leaving || p.incarnation == "" {
			continue
		}
		if now-p.heard <= FreshFor && !t.departed[p.member()] {
			live = append(live, p.member())
		}
	}
	slices.Sort(live)
	return live
}

// Heard returns when the last digest of the member arrived, or a very early
// time.
func (t *Table) LastHeard(member string) waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.find(member); p != nil {
		return p.heard
	}
	return never
}

// Acknowledged returns when this instance sent the newest digest that the
// member has acknowledged, or a very early time.
func (t *Table) LastAcknowledged(member string) waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.find(member); p != nil {
		return p.acked
	}
	return never
}

// Epoch returns the highest epoch that the member has reported.
func (t *Table) Epoch(member string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.find(member); p != nil {
		return p.epoch
	}
	return 0
}

// Departed reports whether the member has announced that it stopped admitting.
func (t *Table) Departed(member string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departed[member]
}

// LastDeparture returns when this instance learned of the latest departure in
// its failure domain.
func (t *Table) LastDeparture() waxfleet.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departedAt
}

// Departures changes whenever the set of departed members does.
func (t *Table) Departures() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departures
}

// Restarted reports whether a later incarnation of the member's instance has
// been heard.
func (t *Table) Restarted(member string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := waxlease.ParseMember(member)
	p, ok := t.peers[m.Instance()]
	return ok && p.incarnation != "" && p.incarnation > m.Incarnation()
}

func (t *Table) find(member string) *peerState {
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

// Depart announces in all later digests that this instance has stopped
// admitting. The caller has stopped before.
func (t *Table) Depart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.departed[t.selfMember()] = true
	t.departures++
}

// SetLeaving announces that this instance takes no more calls from callers.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// External returns the requests in flight at the backend server that fresh
// peers have reported: as its owner, or from an earlier ownership.
func (t *Table) External(server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	sum := 0
	for _, p := range t.peers {
		if s, ok := p.servers[server]; ok && now-p.heard <= FreshFor {
			sum += int(s.GetInFlight())
		}
	}
	return sum
}

// ServerAt returns the state of a backend server as its owner last reported it.
func (t *Table) ServerAt(owner, server string) (*waxwire.BackendState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[owner]
	if !ok || t.clock.Now()-p.heard > FreshFor {
		return nil, false
	}
	s, ok := p.servers[server]
	return s, ok && !s.GetResidual()
}

// Assignment returns the newest known assignment of a failure domain.
func (t *Table) Assignment(failureDomain string) waxlease.Assignment {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.assignments[failureDomain].parsed
}

// DepartedAnywhere reports whether a member of any failure domain has announced
// that it stopped admitting.
func (t *Table) DepartedAnywhere(member string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departed[member] || t.elsewhere[member]
}

// Totals returns the load of a service by failure domain: this domain from the
// counts of its instances, others from their totals.
func (t *Table) Totals(service string) []waxfleet.ServiceTotal {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := []waxfleet.ServiceTotal{t.ownTotal(service)}
	now := t.clock.Now()
	for key, d := range t.totals {
		if key.service == service && key.failureDomain != t.self.FailureDomain() && now-d.at <= FreshFor*2 {
			totals = append(totals, d.total)
		}
	}
	return totals
}

// Silent reports whether nothing has been heard of another failure domain for
// as long as totals are used.
func (t *Table) Silent(failureDomain string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if failureDomain == t.self.FailureDomain() {
		return false
	}
	heard := t.started
	for key, d := range t.totals {
		if key.failureDomain == failureDomain {
			heard = max(heard, d.at)
		}
	}
	return t.clock.Now()-heard > FreshFor*2
}

// ownTotal sums the counts of this failure domain over the backend servers that
// the mean load is taken over.
func (t *Table) ownTotal(service string) waxfleet.ServiceTotal {
	now := t.clock.Now()
	inFlight, free, servers := t.ownCounts(service)
	for _, p := range t.peers {
		if now-p.heard > FreshFor {
			continue
		}
		for _, s := range p.servers {
			free += freePlaces(service, s)
		}
	}
	inFlight, servers = t.addDomainPeers(service, inFlight, servers)
	return waxfleet.NewServiceTotal(service, t.self.FailureDomain(), inFlight, servers, free)
}

// ownCounts sums this instance's own counts.
func (t *Table) ownCounts(service string) (inFlight, free, servers int) {
	for _, o := range t.own {
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
		free += freePlaces(service, s)
	}
	return inFlight, free, servers
}

// freePlaces returns the requests that could start at the backend server now.
func freePlaces(service string, s *waxwire.BackendState) int {
	if s.GetService() != service || s.GetResidual() || s.GetLeaving() || s.GetDead() {
		return 0
	}
	bound := min(int(s.GetLimit()), int(s.GetWindow()))
	return max(bound-int(s.GetInFlight())-int(s.GetQueued()), 0)
}

func (t *Table) refresh(states []*waxwire.BackendState) {
	present := map[string]bool{}
	for _, s := range states {
		present[s.GetId()] = true
		old, ok := t.own[s.GetId()]
		if ok && proto.Equal(old.state, s) {
			continue
		}
		t.own[s.GetId()] = ownState{state: s, seq: t.seq + 1}
	}
	for id, o := range t.own {
		if present[id] || o.state.GetGone() {
			continue
		}
		gone := &waxwire.BackendState{Id: id, Gone: true}
		t.own[id] = ownState{state: gone, seq: t.seq + 1}
	}
}

// PlatformReachable reports whether the peer said that it reaches the platform.
func (t *Table) PlatformReachable(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[instance]
	return ok && p.platform
}
