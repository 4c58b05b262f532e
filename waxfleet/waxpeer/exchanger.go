package waxpeer

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"waxwingdrift.org/waxfleet"
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
)

// Options configure an Exchanger.
type Options struct {
	Instance string
	// Address is "ip:port" for datagrams.
	Address string
	Clock   *waxfleet.Clock
	Log     *slog.Logger
	// InFlight returns the own requests in flight by backend server.
	InFlight func() map[string]int
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
	e := &Exchanger{opts: opts, loads: loads, conn: conn, peers: map[string]*net.UDPAddr{}, start: int64(opts.Clock.Wall())}
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
		e.loads.Take(&d)
	}
}

func (e *Exchanger) send(ctx context.Context) {
	var last map[string]int
	var lastAt waxfleet.Millis
	for {
		peers := e.peerList()
		pause := sendInterval
		if n := len(peers) + 1; n > smallFleet {
			pause = sendInterval * waxfleet.Millis(n) / smallFleet
		}
		if e.opts.Clock.Sleep(ctx, pause) != nil {
			return
		}
		counts := e.opts.InFlight()
		now := e.opts.Clock.Now()
		if now-lastAt < repeatInterval && maps.Equal(counts, last) {
			continue
		}
		last, lastAt = counts, now
		e.broadcast(peers, counts)
	}
}

func (e *Exchanger) peerList() []*net.UDPAddr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.peers))
}

func (e *Exchanger) broadcast(peers []*net.UDPAddr, counts map[string]int) {
	e.sequence++
	d := &waxwire.LoadDatagram{Instance: HashOf(e.opts.Instance), Incarnation: e.start, Sequence: e.sequence}
	for id, n := range counts {
		d.Servers = append(d.Servers, serverHash(id))
		d.InFlight = append(d.InFlight, uint32(n))
	}
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
