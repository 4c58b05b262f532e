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
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// sendInterval is the least time between two datagrams to a peer, in ms, with
	// up to smallFleet instances. It grows in proportion with more, so that the
	// bytes that an instance sends stay the same.
	sendInterval waxfleet.Millis = 200
	smallFleet                   = 8
	// repeatInterval is the longest time between two datagrams with the same
	// counts, in ms; peers drop counts that are older than silence.
	repeatInterval waxfleet.Millis = 1_000
	// maxDatagram fits an Ethernet frame.
	maxDatagram = 1_400
	// maxHoldings is the number of holdings in a datagram, of 12 bytes each.
	maxHoldings = 60
	// newsInterval is the least time between datagrams that carry new holdings, in
	// ms. Until peers know of one, they may have a prompt read a second time.
	newsInterval waxfleet.Millis = 20
	// tellers is the number of instances that send all holdings to one that has
	// just started.
	tellers = 2
)

// Options configure an Exchanger.
type Options struct {
	Instance string
	// Address is "ip:port" for datagrams.
	Address string
	Clock   *waxfleet.Clock
	Log     *slog.Logger
	// Counts returns the own counts by backend server.
	Counts func() map[string]Count
	// Revisions returns the revisions of the last changes that were seen, by feed.
	Revisions func() []uint64
	// Holders is the table of the engines' caches.
	Holders *waxcache.Holders
}

// Exchanger sends the own counts to all peers and receives theirs.
type Exchanger struct {
	opts  Options
	loads *Loads
	conn  *net.UDPConn

	mu       sync.Mutex
	peers    map[string]*net.UDPAddr
	sequence uint64
	start    int64
	news     chan struct{}
}

// NewExchanger opens the datagram address and runs until ctx ends.
func NewExchanger(ctx context.Context, loads *Loads, opts Options) (*Exchanger, error) {
	addr, err := net.ResolveUDPAddr("udp4", opts.Address)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "the datagram address is %q; allowed: ip:port", opts.Address)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "the datagram address %q can't be opened", opts.Address)
	}
	e := &Exchanger{opts: opts, loads: loads, conn: conn, peers: map[string]*net.UDPAddr{}, start: int64(opts.Clock.Wall()), news: make(chan struct{}, 1)}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go func() { e.receive(ctx) }()
	go func() { e.send(ctx) }()
	return e, nil
}

// SetPeers replaces the peers, by name; the own name is left out.
func (e *Exchanger) SetPeers(addresses map[string]string) {
	peers := make(map[string]*net.UDPAddr, len(addresses))
	for name, address := range addresses {
		if name == e.opts.Instance {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			e.opts.Log.Warn("peer address unreadable", "peer", name, "address", address)
			continue
		}
		peers[name] = addr
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
}

func (e *Exchanger) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram*2)
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
		for i, part := range d.GetHeldParts() {
			if i < len(d.GetHolders()) {
				e.opts.Holders.Told(waxcache.Holding{Part: part, Server: d.GetHolders()[i]})
			}
		}
		if !d.GetHoldingsOnly() && e.loads.Take(&d) {
			e.tellAll(d.GetInstance())
		}
	}
}

// News asks for a datagram soon, because there are new holdings.
func (e *Exchanger) News() {
	select {
	case e.news <- struct{}{}:
	default:
	}
}

func (e *Exchanger) send(ctx context.Context) {
	var last map[string]Count
	var lastRevisions []uint64
	var lastAt waxfleet.Millis
	for {
		peers := e.peerList()
		pause := sendInterval
		if n := len(peers) + 1; n > smallFleet {
			pause = sendInterval * waxfleet.Millis(n) / smallFleet
		}
		if !e.wait(ctx, pause) {
			return
		}
		counts, revisions := e.opts.Counts(), e.opts.Revisions()
		holdings := e.opts.Holders.News(maxHoldings)
		now := e.opts.Clock.Now()
		if now-lastAt < repeatInterval && len(holdings) == 0 && maps.Equal(counts, last) && slices.Equal(revisions, lastRevisions) {
			continue
		}
		last, lastRevisions, lastAt = counts, revisions, now
		e.broadcast(peers, counts, holdings)
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
	case <-e.news:
		return e.opts.Clock.Sleep(ctx, newsInterval) == nil
	}
}

// tellAll sends all holdings to an instance that has just started, if this
// instance is one of its tellers.
func (e *Exchanger) tellAll(instance uint64) {
	e.mu.Lock()
	var to *net.UDPAddr
	before := 0
	mine := HashOf(e.opts.Instance) ^ instance
	for name, addr := range e.peers {
		switch hash := HashOf(name); {
		case hash == instance:
			to = addr
		case hash^instance < mine:
			before++
		}
	}
	e.mu.Unlock()
	if to == nil || before >= tellers {
		return
	}
	for holdings := range slices.Chunk(e.opts.Holders.All(), maxHoldings) {
		e.write([]*net.UDPAddr{to}, datagram(e.opts.Instance, e.start, holdings, true))
	}
}

func datagram(instance string, start int64, holdings []waxcache.Holding, only bool) *waxwire.LoadDatagram {
	d := &waxwire.LoadDatagram{Instance: HashOf(instance), Incarnation: start, HoldingsOnly: only}
	for _, h := range holdings {
		d.HeldParts = append(d.HeldParts, h.Part)
		d.Holders = append(d.Holders, h.Server)
	}
	return d
}

func (e *Exchanger) peerList() []*net.UDPAddr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.peers))
}

func (e *Exchanger) broadcast(peers []*net.UDPAddr, counts map[string]Count, holdings []waxcache.Holding) {
	e.sequence++
	d := datagram(e.opts.Instance, e.start, holdings, false)
	d.Sequence = e.sequence
	d.Revisions = e.opts.Revisions()
	for id, c := range counts {
		d.Servers = append(d.Servers, ServerHash(id))
		d.InFlight = append(d.InFlight, uint32(c.InFlight))
		d.PendingTokens = append(d.PendingTokens, uint32(c.Pending))
	}
	e.write(peers, d)
}

func (e *Exchanger) write(peers []*net.UDPAddr, d *waxwire.LoadDatagram) {
	raw, err := proto.Marshal(d)
	if err != nil {
		e.opts.Log.Error("datagram can't be encoded", "error", err.Error())
		return
	}
	for _, addr := range peers {
		// A lost datagram is replaced by the next one, so that errors of single
		// sends, such as an unreachable network, need no action.
		if _, err := e.conn.WriteToUDP(raw, addr); err != nil {
			e.opts.Log.Debug("datagram not sent", "peer", addr.String(), "error", err.Error())
		}
	}
}
