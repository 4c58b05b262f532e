package waxpeer

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxcrash"
	"waxwingdrift.org/waxfleet/waxgossip"
	"waxwingdrift.org/waxfleet/waxlimit"
	"waxwingdrift.org/waxfleet/waxorigin"
	"waxwingdrift.org/waxfleet/waxserverload"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// minGroupSendInterval is the minimum interval between two datagrams to a peer of the
	// own group. In groups that are larger than a full mesh, the interval grows so that
	// the datagram rate of an instance is that of a group of constantRateGroupSize. Only
	// new cache entries are sent earlier, after flushDelay.
	minGroupSendInterval waxfleet.Millis = 200
	// constantRateGroupSize is a number of instances.
	constantRateGroupSize = 8
	// remoteSendInterval is the interval between two datagrams to another failure domain.
	remoteSendInterval waxfleet.Millis = 500
	// repeatInterval is the interval after which a datagram with unchanged counts is sent
	// again. Peers drop counts older than peerTimeout, and stop following the replicas of
	// an instance earlier.
	repeatInterval waxfleet.Millis = 400
	// maxMissedDatagrams is the number of consecutive missed datagrams after which the
	// replica of an instance is no longer followed. A paused instance keeps its
	// connections open, so that calls to it would time out much later. A change has to be
	// in force within two seconds.
	maxMissedDatagrams = 2
	// maxDatagramSize is a datagram size that fits an Ethernet frame, in bytes.
	maxDatagramSize = 1_400
	// maxEntries is the maximum number of cache entries in a datagram; each takes 12
	// bytes.
	maxEntries = 60
	// maxEntryDatagrams is the maximum number of further datagrams with cache entries
	// after a regular one. While a fleet of hundreds of instances starts, its prompts are
	// new to all engines, and the entries of a failure domain pass through its gateways.
	maxEntryDatagrams = 16
	// flushDelay is the delay before new cache entries are sent, so that one datagram
	// carries several. Until a peer knows an entry, it may have the same prompt prefilled
	// again elsewhere.
	flushDelay waxfleet.Millis = 20
	// maxReports is the maximum number of crash reports in a datagram; each takes up to 35
	// bytes. A crash brings up to four for each request that was beginning at the server.
	maxReports = 36
	// maxTrials is the maximum number of trials of banned traits in a datagram; each takes about
	// 15 bytes.
	maxTrials = 40
	// maxLimits is the maximum number of rate limits in a datagram; each takes up to 25
	// bytes.
	maxLimits = 40
	// maxStatedLoads is the maximum number of statements of servers in a regular datagram, and
	// maxFurtherStatedLoads that in a further one without counts; each takes up to 21 bytes.
	maxStatedLoads        = 16
	maxFurtherStatedLoads = 60
	// maxReportDatagrams is the maximum number of datagrams with crash reports, and of
	// those with rate limits, that are sent at once.
	maxReportDatagrams = 16
	// maxReaching and maxUnknown are the maximum numbers of instances that ReachingService
	// returns: if servers are down for all instances, each of them would refuse the request.
	maxReaching = 3
	maxUnknown  = 2
	// snapshotSenders is the number of instances that send all cache entries, crash reports
	// and rate limits to a peer that has just started.
	snapshotSenders = 2
)

// Abilities holds what this version does for other instances.
var Abilities = []waxwire.Ability{
	waxwire.Ability_ABILITY_RECORDS_ORIGINS,
	waxwire.Ability_ABILITY_TELLS_AGES,
	waxwire.Ability_ABILITY_GIVES_SNAPSHOTS,
	waxwire.Ability_ABILITY_CONFIRMS_ORIGINS,
}

// Options configures an Exchanger.
type Options struct {
	Self  Peer
	Clock *waxfleet.Clock
	Log   *slog.Logger
	// Counts returns the load of this instance by backend server, keyed by ServerHash.
	Counts func() map[uint32]ServerLoad
	// Revisions returns the revision of the latest change seen in each feed.
	Revisions func() []waxfleet.Revision
	// Ages returns the age of the copy of each feed against the store; -1 for one that is not
	// loaded.
	Ages func() []waxfleet.Millis
	// ConfigVersion returns the version of the configuration in force; 0 before the first.
	ConfigVersion func() uint64
	// StoreReachable reports whether the store responds to this instance.
	StoreReachable func() bool
	// UnreachableServices returns the hashes of the services from all of whose servers this
	// instance is cut off.
	UnreachableServices func() []uint64
	// CacheIndex records which engines have which prompt parts in their caches.
	CacheIndex *waxcache.Index
	// Limits holds the rate limits that backend servers name.
	Limits *waxlimit.Limits
	// ServerLoads holds what backend servers say of their load. It may be nil.
	ServerLoads *waxserverload.Loads
	// Crashes holds the evidence about requests that crash backend servers.
	Crashes *waxcrash.Ledger
	// Origins holds the software versions at which streams began.
	Origins *waxorigin.Streams
	// RecordOrigins is called with origins that this instance is asked to write to the store.
	// It calls confirm once they are there.
	RecordOrigins func(origins []waxorigin.Origin, confirm func())
	// OriginsRecorded is called with streams whose origins another instance has written to the
	// store for this one.
	OriginsRecorded func(streams ...uint64)
	// RolloutReports returns the reports on rollouts that are due for peers of the scope, and
	// MergeRollouts takes in those that others have sent with the scope. Both are nil in a
	// deployment without rollouts.
	RolloutReports func(scope waxgossip.Scope) []*waxwire.RolloutReport
	MergeRollouts  func(reports []*waxwire.RolloutReport, scope waxgossip.Scope)
}

// Exchanger sends the load of this instance to its peers and receives theirs. It is safe
// for concurrent use.
type Exchanger struct {
	opts        Options
	loads       *Loads
	conn        *net.UDPConn
	startedAt   waxfleet.Millis
	incarnation int64
	flush       chan struct{}
	queries     originQueries

	mu        sync.Mutex
	peers     []Peer
	addresses map[string]*net.UDPAddr
	sequence  uint64
}

// NewExchanger opens the UDP socket of opts.Self and runs until ctx ends.
//
// Errors: CodeSettingInvalid when the address can't be parsed or opened.
func NewExchanger(ctx context.Context, loads *Loads, opts Options) (*Exchanger, error) {
	addr, err := net.ResolveUDPAddr("udp4", opts.Self.Address)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "UDP address is %q; expected ip:port", opts.Self.Address)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "failed to open UDP address %q", opts.Self.Address)
	}
	e := &Exchanger{
		opts:        opts,
		loads:       loads,
		conn:        conn,
		startedAt:   opts.Clock.Now(),
		incarnation: int64(opts.Clock.Wall()),
		flush:       make(chan struct{}, 1),
		addresses:   map[string]*net.UDPAddr{},
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go func() { e.receive(ctx) }()
	go func() { e.broadcastGroup(ctx) }()
	go func() { e.broadcastRemote(ctx) }()
	return e, nil
}

// SetPeers replaces the set of peers. It leaves out this instance and peers whose address
// can't be parsed.
func (e *Exchanger) SetPeers(peers []Peer) {
	var others []Peer
	addresses := make(map[string]*net.UDPAddr, len(peers))
	for _, p := range peers {
		if p.Name == e.opts.Self.Name {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			e.opts.Log.Warn("invalid peer address", "peer", p.Name, "address", p.Address)
			continue
		}
		others, addresses[p.Name] = append(others, p), addr
	}
	e.mu.Lock()
	first := len(e.peers) == 0
	e.peers, e.addresses = others, addresses
	e.mu.Unlock()
	if first {
		e.Flush() // others reply with what this instance has missed
	}
}

// Topology returns the peers that the instance sends to at present.
func (e *Exchanger) Topology() Topology {
	return NewTopology(e.opts.Self, e.otherPeers(), e.loads.Alive)
}

// otherPeers returns the peers that SetPeers set.
func (e *Exchanger) otherPeers() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers
}

// Flush requests a datagram after flushDelay, because there are new cache entries. It
// doesn't block.
func (e *Exchanger) Flush() {
	select {
	case e.flush <- struct{}{}:
	default:
	}
}

// receive applies the datagrams that arrive until ctx ends.
func (e *Exchanger) receive(ctx context.Context) {
	buf := make([]byte, maxDatagramSize*4)
	for {
		n, sender, err := e.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				e.opts.Log.Error("failed to receive datagrams", "error", err.Error())
			}
			return
		}
		var d waxwire.LoadDatagram
		if err := proto.Unmarshal(buf[:n], &d); err != nil {
			e.opts.Log.Warn("failed to decode datagram", "bytes", n, "error", err.Error())
			continue
		}
		e.apply(&d, sender)
	}
}

// apply applies a datagram. It queues new cache entries and crash reports from another
// failure domain for the own group, and those from the own group for the other failure
// domains.
func (e *Exchanger) apply(d *waxwire.LoadDatagram, sender *net.UDPAddr) {
	e.applyOrigins(d, sender)
	scope := waxgossip.ScopeRemote
	if d.GetOwn() == nil {
		scope = waxgossip.ScopeGroup
	}
	added := false
	for i, part := range d.GetHeldParts() {
		if i < len(d.GetHolders()) {
			added = e.opts.CacheIndex.Merge(waxcache.Entry{Part: part, Server: d.GetHolders()[i]}, scope) || added
		}
	}
	updated, changes := e.opts.Crashes.Merge(decodeReports(d), scope)
	waxcrash.LogChanges(e.opts.Log, changes)
	tried := e.opts.Crashes.MergeTrials(decodeTrials(d), scope)
	limitsChanged := e.opts.Limits.Merge(decodeLimits(d), scope)
	if len(d.GetRollouts()) > 0 && e.opts.MergeRollouts != nil {
		e.opts.MergeRollouts(d.GetRollouts(), scope)
	}
	if e.opts.ServerLoads != nil {
		e.opts.ServerLoads.Merge(decodeStatedLoads(d), scope)
	}
	if (added || updated || tried || limitsChanged) && scope == waxgossip.ScopeGroup {
		e.Flush()
	}
	if d.GetSequence() == 0 {
		return
	}
	if e.loads.Merge(d) && e.repliesTo(d.GetInstance()) {
		e.sendSnapshot(d.GetInstance(), sender)
	}
}

// broadcastGroup periodically sends the load of this instance to its group.
func (e *Exchanger) broadcastGroup(ctx context.Context) {
	var last map[uint32]ServerLoad
	var lastRevisions []waxfleet.Revision
	var lastAt waxfleet.Millis
	for e.waitInterval(ctx, groupSendInterval(len(e.Topology().Group))) {
		group := e.Topology().Group
		e.sendQueued(group, waxgossip.ScopeGroup)
		e.sendRollouts(group, waxgossip.ScopeGroup)
		counts, revisions := e.opts.Counts(), e.opts.Revisions()
		entries := e.opts.CacheIndex.NextUpdates(waxgossip.ScopeGroup, maxEntries)
		relayed := e.loads.relayCounts()
		stated := e.nextStatedLoads(waxgossip.ScopeGroup, maxStatedLoads)
		now := e.opts.Clock.Now()
		if now-lastAt < repeatInterval && len(entries) == 0 && len(relayed) == 0 && len(stated) == 0 &&
			maps.Equal(counts, last) && slices.Equal(revisions, lastRevisions) {
			continue
		}
		last, lastRevisions, lastAt = counts, revisions, now
		d := e.newDatagram(entries, true)
		d.Own = encodeCounts(NameHash(e.opts.Self.FailureDomain), 0, counts)
		d.Domains = relayed
		d.StatedLoads = stated
		e.sendTo(group, d)
		e.sendEntries(group, waxgossip.ScopeGroup, len(entries))
		e.sendStatedLoads(group, waxgossip.ScopeGroup, len(stated))
	}
}

// sendEntries sends the cache entries that did not fit the last datagram, which had
// included of them.
func (e *Exchanger) sendEntries(peers []Peer, scope waxgossip.Scope, included int) {
	for n := 0; n < maxEntryDatagrams && included == maxEntries; n++ {
		entries := e.opts.CacheIndex.NextUpdates(scope, maxEntries)
		included = len(entries)
		if included > 0 {
			e.sendTo(peers, e.newEntriesDatagram(entries, scope))
		}
	}
}

// sendStatedLoads sends the statements of servers that did not fit the last datagram, which
// had included of them.
func (e *Exchanger) sendStatedLoads(peers []Peer, scope waxgossip.Scope, included int) {
	if included < maxStatedLoads {
		return
	}
	for range maxReportDatagrams {
		stated := e.nextStatedLoads(scope, maxFurtherStatedLoads)
		if len(stated) == 0 {
			return
		}
		d := e.newEntriesDatagram(nil, scope)
		d.StatedLoads = stated
		e.sendTo(peers, d)
	}
}

// nextStatedLoads returns at most limit statements of servers for the next datagram of the
// scope.
func (e *Exchanger) nextStatedLoads(scope waxgossip.Scope, limit int) []*waxwire.StatedLoad {
	if e.opts.ServerLoads == nil {
		return nil
	}
	var out []*waxwire.StatedLoad
	for _, s := range e.opts.ServerLoads.Next(scope, limit) {
		out = append(out, &waxwire.StatedLoad{
			Server: s.Server(), Running: uint32(s.Running()), Waiting: uint32(s.Waiting()),
			PacePercent: uint32(max(100*s.Pace()+0.5, 1)), AgoMs: uint32(s.Ago()),
		})
	}
	return out
}

// decodeStatedLoads returns the statements of servers in a datagram.
func decodeStatedLoads(d *waxwire.LoadDatagram) []waxserverload.Statement {
	out := make([]waxserverload.Statement, 0, len(d.GetStatedLoads()))
	for _, v := range d.GetStatedLoads() {
		out = append(out, waxserverload.NewStatement(v.GetServer(), int(v.GetRunning()), int(v.GetWaiting()),
			float64(v.GetPacePercent())/100, waxfleet.Millis(v.GetAgoMs())))
	}
	return out
}

// sendQueued sends the crash reports, trials and rate limits that are queued for the scope.
func (e *Exchanger) sendQueued(peers []Peer, scope waxgossip.Scope) {
	for range maxReportDatagrams {
		reports, limits := e.opts.Crashes.NextReports(scope, maxReports), e.opts.Limits.Next(scope, maxLimits)
		if trials := e.opts.Crashes.NextTrials(scope, maxTrials); len(trials) > 0 {
			e.sendTo(peers, e.newTrialsDatagram(trials, scope))
		}
		if len(reports) > 0 {
			e.sendTo(peers, e.newReportsDatagram(reports, scope))
		}
		if len(limits) > 0 {
			e.sendTo(peers, e.newLimitsDatagram(limits, scope))
		}
		if len(reports) == 0 && len(limits) == 0 {
			return
		}
	}
}

// sendRollouts sends the reports on rollouts that are due, each in a datagram of its own.
func (e *Exchanger) sendRollouts(peers []Peer, scope waxgossip.Scope) {
	if e.opts.RolloutReports == nil || len(peers) == 0 {
		return
	}
	for _, r := range e.opts.RolloutReports(scope) {
		d := e.newEntriesDatagram(nil, scope)
		d.Rollouts = []*waxwire.RolloutReport{r}
		e.sendTo(peers, d)
	}
}

// newLimitsDatagram returns a datagram with rate limits and without counts.
func (e *Exchanger) newLimitsDatagram(limits []waxlimit.Statement, scope waxgossip.Scope) *waxwire.LoadDatagram {
	d := e.newEntriesDatagram(nil, scope)
	for _, s := range limits {
		perSecond, limited := s.Limit()
		d.RateLimits = append(d.RateLimits, &waxwire.RateLimit{
			Server: s.Server(), Limited: limited, PerSecond: perSecond, AgoMs: int64(s.Ago()),
		})
	}
	return d
}

// decodeLimits returns the rate limits of a datagram.
func decodeLimits(d *waxwire.LoadDatagram) []waxlimit.Statement {
	limits := make([]waxlimit.Statement, 0, len(d.GetRateLimits()))
	for _, v := range d.GetRateLimits() {
		limits = append(limits, waxlimit.NewStatement(v.GetServer(), v.GetPerSecond(), v.GetLimited(), waxfleet.Millis(v.GetAgoMs())))
	}
	return limits
}

// newReportsDatagram returns a datagram with crash reports and without counts.
func (e *Exchanger) newReportsDatagram(reports []waxcrash.Report, scope waxgossip.Scope) *waxwire.LoadDatagram {
	d := e.newEntriesDatagram(nil, scope)
	for _, r := range reports {
		d.CrashReports = append(d.CrashReports, &waxwire.CrashReport{
			Trait: r.Trait().Hash(), Specificity: uint32(r.Trait().Specificity()), Server: r.Server(),
			SentAgoMs: int64(r.SentAgo()), AgoMs: int64(r.Ago()),
		})
	}
	return d
}

// decodeReports returns the crash reports of a datagram.
func decodeReports(d *waxwire.LoadDatagram) []waxcrash.Report {
	reports := make([]waxcrash.Report, 0, len(d.GetCrashReports()))
	for _, v := range d.GetCrashReports() {
		trait := waxcrash.NewTrait(v.GetTrait(), int(v.GetSpecificity()))
		reports = append(reports, waxcrash.NewReport(trait, v.GetServer(), waxfleet.Millis(v.GetSentAgoMs()), waxfleet.Millis(v.GetAgoMs())))
	}
	return reports
}

// newTrialsDatagram returns a datagram with trials of banned traits and without counts.
func (e *Exchanger) newTrialsDatagram(trials []waxcrash.Trial, scope waxgossip.Scope) *waxwire.LoadDatagram {
	d := e.newEntriesDatagram(nil, scope)
	for _, t := range trials {
		d.Trials = append(d.Trials, &waxwire.Trial{Trait: t.Trait(), AgoMs: int64(t.Ago())})
	}
	return d
}

// decodeTrials returns the trials of banned traits of a datagram.
func decodeTrials(d *waxwire.LoadDatagram) []waxcrash.Trial {
	trials := make([]waxcrash.Trial, 0, len(d.GetTrials()))
	for _, v := range d.GetTrials() {
		trials = append(trials, waxcrash.NewTrial(v.GetTrait(), waxfleet.Millis(v.GetAgoMs())))
	}
	return trials
}

// newEntriesDatagram returns a datagram with cache entries and without counts.
func (e *Exchanger) newEntriesDatagram(entries []waxcache.Entry, scope waxgossip.Scope) *waxwire.LoadDatagram {
	d := e.newDatagram(entries, false)
	if scope == waxgossip.ScopeGroup {
		d.Own = &waxwire.Counts{}
	}
	return d
}

// groupSendInterval returns the minimum interval between two datagrams to a group with
// this many other instances.
func groupSendInterval(others int) waxfleet.Millis {
	if isFullMesh(others) {
		return minGroupSendInterval
	}
	return minGroupSendInterval * waxfleet.Millis(others+1) / constantRateGroupSize
}

// Gap returns the time between two datagrams of an instance of the group without news.
func (t Topology) Gap() waxfleet.Millis { return datagramGap(len(t.Group)) }

// datagramGap returns the time between two datagrams without news of an instance whose group
// has this many others. A repeated datagram waits for the next send interval.
func datagramGap(others int) waxfleet.Millis {
	interval := groupSendInterval(others)
	return (repeatInterval + interval - 1) / interval * interval
}

// FollowTimeout returns the time without a datagram after which the replica of an
// instance of the group is no longer followed.
func (t Topology) FollowTimeout() waxfleet.Millis { return followTimeout(len(t.Group)) }

// followTimeout returns the FollowTimeout of a group with this many other instances.
func followTimeout(others int) waxfleet.Millis {
	return min(peerTimeout, maxMissedDatagrams*datagramGap(others))
}

// domainTimeout is the time without totals from another failure domain after which its
// instances count as unreachable: three send intervals of its gateways.
const domainTimeout = 3 * remoteSendInterval

// InstancesUnreachable reports whether the failure domain has instances, but none was
// heard from recently. In a fleet larger than maxMeshSize, it reports whether the domain
// has sent totals before, but none recently.
func (e *Exchanger) InstancesUnreachable(domain string) bool {
	others := e.otherPeers()
	if !isFullMesh(len(others)) {
		return e.loads.totalsStale(domain, domainTimeout)
	}
	timeout, known := followTimeout(len(others)), false
	for _, p := range others {
		if p.FailureDomain != domain {
			continue
		}
		if e.loads.heardWithin(p.Name, timeout) {
			return false
		}
		known = true
	}
	return known
}

// ReachingService returns other instances that may reach servers of a service while this one
// does not, each part in the rendezvous order of the key: those of the group that are not
// cut off, and then those outside of the group, of which this instance doesn't know.
func (e *Exchanger) ReachingService(service string, key uint64) []Peer {
	group := e.Topology().Group
	timeout, hash := followTimeout(len(group)), NameHash(service)
	var reaching []Peer
	for _, p := range group {
		if !p.Stopping && e.loads.reachesService(p.Name, hash, timeout) {
			reaching = append(reaching, p)
		}
	}
	sortByWeight(key, reaching)
	return append(reaching[:min(maxReaching, len(reaching))], e.Outsiders(key, maxUnknown)...)
}

// Keeps reports whether this instance is one of those that keep the records with a key, which
// outlast all instances. Until it may have heard from the others, it takes them as alive.
func (e *Exchanger) Keeps(key uint64, keepers int) bool {
	alive := e.loads.Alive
	if e.opts.Clock.Now()-e.startedAt < peerTimeout {
		alive = func(string) bool { return true }
	}
	return IsKeeper(e.opts.Self, e.otherPeers(), key, keepers, alive)
}

// Outsiders returns at most n instances outside of the group that are not stopping, of which
// this instance does not know whether they are alive, in the rendezvous order of the key.
func (e *Exchanger) Outsiders(key uint64, n int) []Peer {
	inGroup := map[string]bool{}
	for _, p := range e.Topology().Group {
		inGroup[p.Name] = true
	}
	var outsiders []Peer
	for _, p := range e.otherPeers() {
		if !inGroup[p.Name] && !p.Stopping {
			outsiders = append(outsiders, p)
		}
	}
	sortByWeight(key, outsiders)
	return outsiders[:min(n, len(outsiders))]
}

// Address returns the address of another instance; empty if it is not known.
func (e *Exchanger) Address(name string) string {
	for _, p := range e.otherPeers() {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

// HearsFleet reports whether at least half of the instances of the group were heard from
// recently, so that this instance is not cut off.
func (e *Exchanger) HearsFleet() bool {
	group := e.Topology().Group
	timeout, heard := followTimeout(len(group)), 0
	for _, p := range group {
		if e.loads.heardWithin(p.Name, timeout) {
			heard++
		}
	}
	return heard > 0 && 2*heard >= len(group)
}

// broadcastRemote periodically sends the totals of the own failure domain to the others
// while the instance is a gateway.
func (e *Exchanger) broadcastRemote(ctx context.Context) {
	for e.opts.Clock.Sleep(ctx, remoteSendInterval) == nil {
		t := e.Topology()
		entries := e.opts.CacheIndex.NextUpdates(waxgossip.ScopeRemote, maxEntries)
		if !t.Gateway || len(t.Remote) == 0 {
			e.opts.Crashes.NextReports(waxgossip.ScopeRemote, maxReports*maxReportDatagrams)
			e.opts.Crashes.NextTrials(waxgossip.ScopeRemote, maxTrials*maxReportDatagrams)
			e.opts.Limits.Next(waxgossip.ScopeRemote, maxLimits*maxReportDatagrams)
			e.nextStatedLoads(waxgossip.ScopeRemote, maxFurtherStatedLoads*maxReportDatagrams)
			continue
		}
		e.sendQueued(t.Remote, waxgossip.ScopeRemote)
		e.sendRollouts(t.Remote, waxgossip.ScopeRemote)
		d := e.newDatagram(entries, true)
		d.Domains = []*waxwire.Counts{e.loads.domainTotal(e.opts.Counts())}
		d.StatedLoads = e.nextStatedLoads(waxgossip.ScopeRemote, maxStatedLoads)
		e.sendTo(t.Remote, d)
		e.sendEntries(t.Remote, waxgossip.ScopeRemote, len(entries))
		e.sendStatedLoads(t.Remote, waxgossip.ScopeRemote, len(d.StatedLoads))
	}
}

// waitInterval waits for the interval, or for flushDelay after a call to Flush. It
// returns false when ctx has ended.
func (e *Exchanger) waitInterval(ctx context.Context, interval waxfleet.Millis) bool {
	timer := time.NewTimer(interval.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-e.flush:
		return e.opts.Clock.Sleep(ctx, flushDelay) == nil
	}
}

// repliesTo reports whether this instance is one of the snapshotSenders of the group that
// reply to an instance that has just started.
func (e *Exchanger) repliesTo(instance uint64) bool {
	rank := 0
	own := NameHash(e.opts.Self.Name) ^ instance
	for _, p := range e.Topology().Group {
		if hash := NameHash(p.Name); hash != instance && hash^instance < own {
			rank++
		}
	}
	return rank < snapshotSenders
}

// sendSnapshot sends the load of this instance to the address of an instance that has just
// started, which may not be in the registry yet. A peer also gets all cache entries, crash
// reports and rate limits.
func (e *Exchanger) sendSnapshot(instance uint64, address *net.UDPAddr) {
	d := e.newDatagram(nil, true)
	d.Own = encodeCounts(NameHash(e.opts.Self.FailureDomain), 0, e.opts.Counts())
	e.send(d, address)
	group := e.Topology().Group
	i := slices.IndexFunc(group, func(p Peer) bool { return NameHash(p.Name) == instance })
	if i < 0 {
		return
	}
	to := group[i : i+1]
	for entries := range slices.Chunk(e.opts.CacheIndex.All(), maxEntries) {
		e.sendTo(to, e.newEntriesDatagram(entries, waxgossip.ScopeGroup))
	}
	for reports := range slices.Chunk(e.opts.Crashes.All(), maxReports) {
		e.sendTo(to, e.newReportsDatagram(reports, waxgossip.ScopeGroup))
	}
	for limits := range slices.Chunk(e.opts.Limits.All(), maxLimits) {
		e.sendTo(to, e.newLimitsDatagram(limits, waxgossip.ScopeGroup))
	}
}

// newDatagram returns a datagram with the cache entries and the feed revisions. Receivers ignore the counts of a datagram without a sequence number.
func (e *Exchanger) newDatagram(entries []waxcache.Entry, sequenced bool) *waxwire.LoadDatagram {
	d := &waxwire.LoadDatagram{
		Instance:      NameHash(e.opts.Self.Name),
		Incarnation:   e.incarnation,
		AgesMs:        encodeAges(e.opts.Ages()),
		Revisions:     encodeRevisions(e.opts.Revisions()),
		ConfigVersion: e.opts.ConfigVersion(),
		StoreAnswers:  e.opts.StoreReachable(),

		UnreachableServices: e.opts.UnreachableServices(),
		Abilities:           Abilities,
	}
	if sequenced {
		e.mu.Lock()
		e.sequence++
		d.Sequence = e.sequence
		e.mu.Unlock()
	}
	for _, entry := range entries {
		d.HeldParts = append(d.HeldParts, entry.Part)
		d.Holders = append(d.Holders, entry.Server)
	}
	return d
}

// sendTo sends a datagram to each of the peers.
func (e *Exchanger) sendTo(peers []Peer, d *waxwire.LoadDatagram) {
	e.mu.Lock()
	addresses := make([]*net.UDPAddr, len(peers))
	for i, p := range peers {
		addresses[i] = e.addresses[p.Name]
	}
	e.mu.Unlock()
	e.send(d, addresses...)
}

// send sends a datagram to each of the addresses.
func (e *Exchanger) send(d *waxwire.LoadDatagram, addresses ...*net.UDPAddr) {
	raw, err := proto.Marshal(d)
	if err != nil {
		e.opts.Log.Error("failed to encode datagram", "error", err.Error())
		return
	}
	for _, address := range addresses {
		// A send error, such as an unreachable network, is only logged: the next datagram
		// replaces a lost one.
		if _, err := e.conn.WriteToUDP(raw, address); err != nil {
			e.opts.Log.Debug("failed to send datagram", "address", address.String(), "error", err.Error())
		}
	}
}
