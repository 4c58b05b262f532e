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
	"waxwingdrift.org/waxfleet/waxsuspect"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// groupInterval is the least time between two datagrams to an instance of the
	// own group of up to meshSize instances, in ms. It grows in proportion in larger
	// groups, so that an instance sends and receives as many as before.
	groupInterval waxfleet.Millis = 200
	// remoteInterval is the least time between two datagrams to another failure
	// domain, in ms.
	remoteInterval waxfleet.Millis = 500
	// repeatInterval is the longest time between two datagrams with the same
	// counts, in ms; peers drop counts that are older than silence, and stop following
	// the copies of an instance earlier.
	repeatInterval waxfleet.Millis = 400
	// followDatagrams is the number of datagrams without which the copy of an instance
	// is no longer followed. A paused instance keeps its connections, so that calls to
	// it end much later; two seconds are allowed until a change is in force.
	followDatagrams = 3
	// maxDatagram fits an Ethernet frame.
	maxDatagram = 1_400
	// maxHoldings is the number of holdings in a datagram, of 12 bytes each.
	maxHoldings = 60
	// flushInterval is the least time between datagrams that carry new holdings, in
	// ms. Until peers know of one, they may have a prompt read a second time.
	flushInterval waxfleet.Millis = 20
	// suspicionTime is how long a new suspicion stands in datagrams, in ms.
	suspicionTime waxfleet.Millis = 2_000
	// maxSuspicions is the number of suspicions in a datagram.
	maxSuspicions = 10
	// snapshotSenders is the number of instances that send all holdings to one that has
	// just started.
	snapshotSenders = 2
)

// Options configure an Exchanger.
type Options struct {
	Self  Peer
	Clock *waxfleet.Clock
	Log   *slog.Logger
	// Counts returns the own counts by the hash of the backend server's name.
	Counts func() map[uint32]Count
	// Revisions returns the revisions of the last changes that were seen, by feed.
	Revisions func() []uint64
	// StoreAnswers reports whether the store answers the own calls.
	StoreAnswers func() bool
	// Holders is the table of the engines' caches.
	Holders *waxcache.Holders
	// Suspects is the register of requests that may end backend servers.
	Suspects *waxsuspect.Register
}

// Exchanger sends the own counts to other instances and receives theirs.
type Exchanger struct {
	opts  Options
	loads *Loads
	conn  *net.UDPConn
	start int64
	flush chan struct{}

	mu        sync.Mutex
	peers     []Peer
	addresses map[string]*net.UDPAddr
	sequence  uint64
}

// NewExchanger opens the datagram address and runs until ctx ends.
func NewExchanger(ctx context.Context, loads *Loads, opts Options) (*Exchanger, error) {
	addr, err := net.ResolveUDPAddr("udp4", opts.Self.Address)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "the datagram address is %q; allowed: ip:port", opts.Self.Address)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "the datagram address %q can't be opened", opts.Self.Address)
	}
	e := &Exchanger{
		opts: opts, loads: loads, conn: conn, start: int64(opts.Clock.Wall()), flush: make(chan struct{}, 1),
		addresses: map[string]*net.UDPAddr{},
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go func() { e.receive(ctx) }()
	go func() { e.broadcastGroup(ctx) }()
	go func() { e.broadcastRemote(ctx) }()
	return e, nil
}

// SetPeers replaces the other instances; the own one is left out.
func (e *Exchanger) SetPeers(peers []Peer) {
	var others []Peer
	addresses := make(map[string]*net.UDPAddr, len(peers))
	for _, p := range peers {
		if p.Name == e.opts.Self.Name {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			e.opts.Log.Warn("peer address unreadable", "peer", p.Name, "address", p.Address)
			continue
		}
		others, addresses[p.Name] = append(others, p), addr
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers, e.addresses = others, addresses
}

// Topology returns whom the instance tells now.
func (e *Exchanger) Topology() Topology { return Plan(e.opts.Self, e.others(), e.loads.Alive) }

// others returns all other instances.
func (e *Exchanger) others() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers
}

// Flush asks for a datagram soon, because there are new holdings.
func (e *Exchanger) Flush() {
	select {
	case e.flush <- struct{}{}:
	default:
	}
}

func (e *Exchanger) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram*4)
	for {
		n, _, err := e.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				e.opts.Log.Error("datagrams can't be received", "error", err.Error())
			}
			return
		}
		var d waxwire.LoadDatagram
		if err := proto.Unmarshal(buf[:n], &d); err != nil {
			e.opts.Log.Warn("datagram unreadable", "bytes", n, "error", err.Error())
			continue
		}
		e.merge(&d)
	}
}

// merge applies a datagram. Holdings from another failure domain are broadcast to
// the own group, and those of the own group to other failure domains.
func (e *Exchanger) merge(d *waxwire.LoadDatagram) {
	scope := waxcache.ToRemote
	if d.GetOwn() == nil {
		scope = waxcache.ToGroup
	}
	fresh := false
	for i, part := range d.GetHeldParts() {
		if i < len(d.GetHolders()) {
			fresh = e.opts.Holders.Merge(waxcache.Holding{Part: part, Server: d.GetHolders()[i]}, scope) || fresh
		}
	}
	if fresh && scope == waxcache.ToGroup {
		e.Flush()
	}
	for _, v := range d.GetSuspicions() {
		if e.opts.Suspects.Merge(v.GetDigest(), int(v.GetDeaths()), int(v.GetCleared()), waxfleet.Millis(v.GetRemainingMs())) {
			e.opts.Log.Info("suspicion told", "digest", v.GetDigest(), "deaths", v.GetDeaths(), "cleared", v.GetCleared())
		}
	}
	if d.GetSequence() == 0 {
		return
	}
	if e.loads.Merge(d) {
		e.sendSnapshot(d.GetInstance())
	}
}

// broadcastGroup sends the own counts to the group.
func (e *Exchanger) broadcastGroup(ctx context.Context) {
	var last map[uint32]Count
	var lastRevisions []uint64
	var lastAt waxfleet.Millis
	for e.wait(ctx, groupPause(len(e.Topology().Group))) {
		counts, revisions := e.opts.Counts(), e.opts.Revisions()
		holdings := e.opts.Holders.Updates(waxcache.ToGroup, maxHoldings)
		relayed := e.loads.relayed()
		now := e.opts.Clock.Now()
		if now-lastAt < repeatInterval && len(holdings) == 0 && len(relayed) == 0 &&
			len(e.opts.Suspects.Changed(suspicionTime)) == 0 && maps.Equal(counts, last) && slices.Equal(revisions, lastRevisions) {
			continue
		}
		last, lastRevisions, lastAt = counts, revisions, now
		d := e.datagram(holdings, true)
		d.Own = encode(HashOf(e.opts.Self.FailureDomain), 0, counts)
		d.Domains = relayed
		e.write(e.Topology().Group, d)
	}
}

// groupPause is the time between two datagrams to a group of so many others.
func groupPause(others int) waxfleet.Millis {
	return groupInterval * waxfleet.Millis(max(others+1, meshSize)) / meshSize
}

// FollowSilence is the time without a datagram after which the copy of an instance
// of the group is no longer followed, in ms.
func (t Topology) FollowSilence() waxfleet.Millis { return followSilence(len(t.Group)) }

// followSilence is FollowSilence in a group of so many others.
func followSilence(others int) waxfleet.Millis {
	pause := groupPause(others)
	// A datagram that repeats the counts waits for the next turn.
	gap := (repeatInterval + pause - 1) / pause * pause
	return min(silence, followDatagrams*gap)
}

// remoteSilence is the time without sums from another failure domain after which its
// instances count as silent, in ms: three turns of its gateways.
const remoteSilence = 3 * remoteInterval

// DomainSilent reports whether there are instances in a failure domain and none of
// them was heard lately.
func (e *Exchanger) DomainSilent(domain string) bool {
	others := e.others()
	if !isMesh(len(others)) {
		return e.loads.sumsOlder(domain, remoteSilence)
	}
	within, known := followSilence(len(others)), false
	for _, p := range others {
		if p.FailureDomain != domain {
			continue
		}
		if e.loads.heard(p.Name, within) {
			return false
		}
		known = true
	}
	return known
}

// broadcastRemote sends the sums of the own failure domain to the others, if the
// instance is a gateway.
func (e *Exchanger) broadcastRemote(ctx context.Context) {
	for e.opts.Clock.Sleep(ctx, remoteInterval) == nil {
		t := e.Topology()
		holdings := e.opts.Holders.Updates(waxcache.ToRemote, maxHoldings)
		if !t.Gateway || len(t.Remote) == 0 {
			continue
		}
		d := e.datagram(holdings, true)
		d.Domains = []*waxwire.Counts{e.loads.domainSum(e.opts.Counts())}
		e.write(t.Remote, d)
	}
}

// wait sleeps for the pause, or shorter when there are new holdings. It returns
// false when ctx has ended.
func (e *Exchanger) wait(ctx context.Context, pause waxfleet.Millis) bool {
	timer := time.NewTimer(pause.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-e.flush:
		return e.opts.Clock.Sleep(ctx, flushInterval) == nil
	}
}

// sendSnapshot sends all holdings to an instance that has just started, if this
// instance is one of its senders.
func (e *Exchanger) sendSnapshot(instance uint64) {
	var to *Peer
	before := 0
	mine := HashOf(e.opts.Self.Name) ^ instance
	for _, p := range e.Topology().Group {
		switch hash := HashOf(p.Name); {
		case hash == instance:
			to = &p
		case hash^instance < mine:
			before++
		}
	}
	if to == nil || before >= snapshotSenders {
		return
	}
	for holdings := range slices.Chunk(e.opts.Holders.All(), maxHoldings) {
		d := e.datagram(holdings, false)
		d.Own = &waxwire.Counts{}
		e.write([]Peer{*to}, d)
	}
}

// datagram returns one with holdings. Without a sequence number its counts are
// not used.
func (e *Exchanger) datagram(holdings []waxcache.Holding, counted bool) *waxwire.LoadDatagram {
	d := &waxwire.LoadDatagram{Instance: HashOf(e.opts.Self.Name), Incarnation: e.start, Revisions: e.opts.Revisions(), StoreAnswers: e.opts.StoreAnswers()}
	if counted {
		e.mu.Lock()
		e.sequence++
		d.Sequence = e.sequence
		e.mu.Unlock()
	}
	suspicions := e.opts.Suspects.Changed(suspicionTime)
	for _, r := range suspicions[:min(maxSuspicions, len(suspicions))] {
		d.Suspicions = append(d.Suspicions, &waxwire.Suspicion{
			Digest: r.Digest(), Deaths: uint32(r.Deaths()), Cleared: uint32(r.Cleared()), RemainingMs: int64(r.Remaining()),
		})
	}
	for _, h := range holdings {
		d.HeldParts = append(d.HeldParts, h.Part)
		d.Holders = append(d.Holders, h.Server)
	}
	return d
}

func (e *Exchanger) write(peers []Peer, d *waxwire.LoadDatagram) {
	raw, err := proto.Marshal(d)
	if err != nil {
		e.opts.Log.Error("datagram can't be encoded", "error", err.Error())
		return
	}
	e.mu.Lock()
	addresses := e.addresses
	e.mu.Unlock()
	for _, p := range peers {
		// A lost datagram is replaced by the next one, so that errors of single
		// sends, such as an unreachable network, need no action.
		if _, err := e.conn.WriteToUDP(raw, addresses[p.Name]); err != nil {
			e.opts.Log.Debug("datagram not sent", "peer", p.Name, "error", err.Error())
		}
	}
}
