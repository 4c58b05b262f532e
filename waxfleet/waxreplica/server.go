package waxreplica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxhead"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

// maxFollowWait is the maximum wait of a Follow call.
const maxFollowWait waxfleet.Millis = 30_000

// Server serves the replicas of this instance by the names of their feeds.
type Server struct {
	replicas map[string]*Replica
}

// NewServer returns the path of the replica service and its handler. replicas is keyed
// by feed name.
func NewServer(replicas map[string]*Replica) (string, http.Handler) {
	return waxwireconnect.NewReplicaHandler(&Server{replicas: replicas}, connect.WithReadMaxBytes(maxRequestBytes))
}

// Follow implements waxwireconnect.ReplicaHandler.
func (s *Server) Follow(ctx context.Context, req *connect.Request[waxwire.FollowRequest]) (*connect.Response[waxwire.FollowReply], error) {
	r := s.replicas[req.Msg.GetFeed()]
	if r == nil {
		return nil, connect.NewError(connect.CodeNotFound, waxfleet.NewError(waxfleet.CodeObjectNotFound, "no feed %q", req.Msg.GetFeed()))
	}
	wait := min(max(waxfleet.Millis(req.Msg.GetWaitMs()), 0), maxFollowWait)
	var reply *waxwire.FollowReply
	var err error
	if after := waxfleet.Revision(req.Msg.GetAfter()); req.Msg.GetSnapshot() {
		reply, err = r.snapshot(after)
	} else {
		reply, err = r.changesAfter(ctx, after, wait)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(reply), nil
}

const (
	// maxRequestBytes is the maximum size of a request for changes.
	maxRequestBytes = 4 << 10
	// peerDialTimeout is the timeout for connecting to another instance.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is the timeout after which an idle connection to another instance
	// is closed.
	peerIdleTimeout = 10 * time.Second
)

// Clients holds the RPC clients for the replicas of other instances. They share their
// connections. It is safe for concurrent use.
type Clients struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]waxwireconnect.ReplicaClient
}

// NewClients returns an empty set of clients.
func NewClients() *Clients {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	return &Clients{
		http: &http.Client{Transport: waxhead.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     peerIdleTimeout,
			MaxIdleConnsPerHost: 4,
			DisableCompression:  true,
		})},
		clients: map[string]waxwireconnect.ReplicaClient{},
	}
}

// client returns the client for the instance at "ip:port", created if needed.
func (cs *Clients) client(address string) waxwireconnect.ReplicaClient {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c := cs.clients[address]
	if c == nil {
		c = waxwireconnect.NewReplicaClient(cs.http, "http://"+address)
		cs.clients[address] = c
	}
	return c
}

// Feed reads a feed from the replica of another instance.
type Feed[T any] struct {
	waxfleet.Feed[T]
	clients *Clients
	address string
	name    string
	// snapshot is set if the copy is wanted at once, whatever its age.
	snapshot bool
}

// NewFeed returns the named feed of the instance at address, an "ip:port". The feed of
// the store decodes its records.
func NewFeed[T any](store waxfleet.Feed[T], clients *Clients, address, name string) Feed[T] {
	return Feed[T]{Feed: store, clients: clients, address: address, name: name}
}

// Snapshot returns a feed that asks for the copy at once, whatever its age.
func (f Feed[T]) Snapshot() Feed[T] {
	f.snapshot = true
	return f
}

// List implements waxfleet.Feed.
func (f Feed[T]) List(ctx context.Context) (waxfleet.Batch[T], error) { return f.follow(ctx, 0, 0) }

// Watch implements waxfleet.Feed.
func (f Feed[T]) Watch(ctx context.Context, after waxfleet.Revision, wait waxfleet.Millis) (waxfleet.Batch[T], error) {
	return f.follow(ctx, after, wait)
}

// follow calls the replica of the instance. after 0 requests all records.
//
// Errors: CodePeerUnreachable when the call fails, the replica is behind after, or its
// revisions don't include the era of the store.
func (f Feed[T]) follow(ctx context.Context, after waxfleet.Revision, wait waxfleet.Millis) (waxfleet.Batch[T], error) {
	resp, err := f.clients.client(f.address).Follow(ctx, connect.NewRequest(&waxwire.FollowRequest{
		Feed: f.name, After: uint64(after), WaitMs: int64(wait), Snapshot: f.snapshot,
	}))
	if err != nil {
		return waxfleet.Batch[T]{}, waxfleet.WrapError(err, waxfleet.CodePeerUnreachable, "failed to follow the replica at %s", f.address)
	}
	m := resp.Msg
	revision := waxfleet.Revision(m.GetRevision())
	if !m.GetEras() {
		return waxfleet.Batch[T]{}, waxfleet.NewError(waxfleet.CodePeerUnreachable, "replica at %s has revisions without era", f.address)
	}
	if revision < after {
		return waxfleet.Batch[T]{}, waxfleet.NewError(waxfleet.CodePeerUnreachable, "replica at %s is behind", f.address)
	}
	b := waxfleet.Batch[T]{
		Full: m.GetFull(), Revision: revision,
		// AgeMs is the age when the reply was made, at least WaitedMs after the call was
		// sent.
		Lag: waxfleet.Millis(m.GetAgeMs() - m.GetWaitedMs()),
	}
	b.SeenLag = b.Lag
	if m.GetSeen() {
		b.SeenLag = waxfleet.Millis(m.GetSeenAgeMs() - m.GetWaitedMs())
	}
	for _, r := range m.GetRecords() {
		if r.GetDeleted() {
			b.Records = append(b.Records, waxfleet.Record[T]{Name: r.GetName(), Revision: waxfleet.Revision(r.GetRevision()), Deleted: true})
			continue
		}
		b.Records = append(b.Records, f.Decode(r.GetName(), waxfleet.Revision(r.GetRevision()), r.GetRaw()))
	}
	return b, nil
}
