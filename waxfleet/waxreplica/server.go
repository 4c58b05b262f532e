package waxreplica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

// longestWait bounds the wait of a call, in ms.
const longestWait waxfleet.Millis = 30_000

// Server serves the copies of this instance by the names of their feeds.
type Server struct {
	replicas map[string]*Replica
}

// NewServer returns a handler with its path.
func NewServer(replicas map[string]*Replica) (string, http.Handler) {
	return waxwireconnect.NewReplicaHandler(&Server{replicas: replicas})
}

// Follow implements waxwireconnect.ReplicaHandler.
func (s *Server) Follow(ctx context.Context, req *connect.Request[waxwire.FollowRequest]) (*connect.Response[waxwire.FollowReply], error) {
	r := s.replicas[req.Msg.GetFeed()]
	if r == nil {
		return nil, connect.NewError(connect.CodeNotFound, waxfleet.NewError(waxfleet.CodeObjectNotFound, "no feed %q", req.Msg.GetFeed()))
	}
	wait := min(max(waxfleet.Millis(req.Msg.GetWaitMs()), 0), longestWait)
	reply, err := r.follow(ctx, req.Msg.GetAfter(), wait)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(reply), nil
}

const (
	// peerDial is how long a connection to another instance may take to open.
	peerDial = 300 * time.Millisecond
	// peerIdle is how long an idle connection to another instance is kept.
	peerIdle = 10 * time.Second
)

// Peers holds the connections to other instances.
type Peers struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]waxwireconnect.ReplicaClient
}

// NewPeers returns a set without connections.
func NewPeers() *Peers {
	dialer := net.Dialer{Timeout: peerDial}
	return &Peers{
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, IdleConnTimeout: peerIdle, MaxIdleConnsPerHost: 4, DisableCompression: true,
		}},
		clients: map[string]waxwireconnect.ReplicaClient{},
	}
}

// client returns the client of the instance at "ip:port".
func (p *Peers) client(address string) waxwireconnect.ReplicaClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = waxwireconnect.NewReplicaClient(p.http, "http://"+address)
		p.clients[address] = c
	}
	return c
}

// Feed is another instance's copy of a feed.
type Feed[T any] struct {
	waxfleet.Feed[T]
	peers   *Peers
	address string
	name    string
}

// NewFeed returns the copy of the feed with the given name at "ip:port". The
// store's own feed decodes its objects.
func NewFeed[T any](store waxfleet.Feed[T], peers *Peers, address, name string) Feed[T] {
	return Feed[T]{Feed: store, peers: peers, address: address, name: name}
}

// List implements waxfleet.Feed.
func (f Feed[T]) List(ctx context.Context) (waxfleet.Batch[T], error) { return f.follow(ctx, 0, 0) }

// Watch implements waxfleet.Feed.
func (f Feed[T]) Watch(ctx context.Context, after uint64, wait waxfleet.Millis) (waxfleet.Batch[T], error) {
	return f.follow(ctx, after, wait)
}

func (f Feed[T]) follow(ctx context.Context, after uint64, wait waxfleet.Millis) (waxfleet.Batch[T], error) {
	resp, err := f.peers.client(f.address).Follow(ctx, connect.NewRequest(&waxwire.FollowRequest{
		Feed: f.name, After: after, WaitMs: int64(wait),
	}))
	if err != nil {
		return waxfleet.Batch[T]{}, waxfleet.WrapError(err, waxfleet.CodePeerUnreachable, "no copy from %s", f.address)
	}
	m := resp.Msg
	if m.GetRevision() < after {
		return waxfleet.Batch[T]{}, waxfleet.NewError(waxfleet.CodePeerUnreachable, "the copy at %s is behind", f.address)
	}
	b := waxfleet.Batch[T]{
		Full: m.GetFull(), Revision: m.GetRevision(),
		// The reply was made at the earliest WaitedMs after the call was sent.
		Lag: waxfleet.Millis(m.GetAgeMs() - m.GetWaitedMs()),
	}
	for _, r := range m.GetRecords() {
		if r.GetDeleted() {
			b.Records = append(b.Records, waxfleet.Record[T]{Name: r.GetName(), Revision: r.GetRevision(), Deleted: true})
			continue
		}
		b.Records = append(b.Records, f.Decode(r.GetName(), r.GetRevision(), r.GetRaw()))
	}
	return b, nil
}
