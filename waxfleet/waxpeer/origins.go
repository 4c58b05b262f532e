package waxpeer

import (
	"context"
	"net"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxorigin"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// originHolders is the number of other instances that are told of the origin of a
	// stream. Many instances may be killed at once.
	originHolders = 6
	// originTimeout is the timeout of a query for the origin of a stream.
	originTimeout waxfleet.Millis = 150
	// maxOrigins is the maximum number of origins in a datagram; each takes about 40 bytes.
	maxOrigins = 25
	// meshRecorders and domainRecorders are the numbers of instances that write origins to
	// the store: of a fleet that is one group, and of each failure domain of a larger one.
	// recordersKey is the key of their rendezvous order.
	meshRecorders   = 2
	domainRecorders = 1
	recordersKey    = 0x7265636f72646572
)

// originQueries holds the queries that wait for replies.
type originQueries struct {
	mu      sync.Mutex
	waiting map[uint64][]*originQuery
}

// originQuery is a query that waits for replies.
type originQuery struct {
	// pending is the number of holders that have not replied.
	pending int
	done    chan struct{}
}

// add adds a query of a number of holders.
func (o *originQueries) add(stream uint64, holders int) *originQuery {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &originQuery{pending: holders, done: make(chan struct{})}
	if o.waiting == nil {
		o.waiting = map[uint64][]*originQuery{}
	}
	o.waiting[stream] = append(o.waiting[stream], q)
	return q
}

// remove removes a query.
func (o *originQueries) remove(stream uint64, q *originQuery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting[stream] = slices.DeleteFunc(o.waiting[stream], func(other *originQuery) bool { return other == q })
	if len(o.waiting[stream]) == 0 {
		delete(o.waiting, stream)
	}
}

// reply ends the queries for a stream, if its origin is known or no further holder is to
// reply.
func (o *originQueries) reply(stream uint64, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, q := range o.waiting[stream] {
		if q.pending == 0 {
			continue
		}
		q.pending--
		if known {
			q.pending = 0
		}
		if q.pending == 0 {
			close(q.done)
		}
	}
}

// holders returns the instances that are told of a stream.
func (e *Exchanger) holders(stream uint64) []Peer {
	peers := slices.Clone(e.otherPeers())
	sortByWeight(stream, peers)
	return peers[:min(originHolders, len(peers))]
}

// sortByWeight sorts peers by descending rendezvous weight for the key.
func sortByWeight(key uint64, peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return compareWeights(key, a, b) })
}

// TellOrigins tells other instances of the origins of streams, so that callers can take
// them up after this instance was killed.
func (e *Exchanger) TellOrigins(origins ...waxorigin.Origin) {
	byHolder := map[string][]waxorigin.Origin{}
	for _, o := range origins {
		for _, p := range e.holders(o.Stream()) {
			byHolder[p.Name] = append(byHolder[p.Name], o)
		}
	}
	for _, p := range e.otherPeers() {
		for part := range slices.Chunk(byHolder[p.Name], maxOrigins) {
			e.sendTo([]Peer{p}, &waxwire.LoadDatagram{Instance: NameHash(e.opts.Self.Name), Origins: e.encodeOrigins(part)})
		}
	}
}

// Recorder returns the instance that writes the origins of this one to the store, whether
// that is this instance itself, and whether it says when it has written them.
func (e *Exchanger) Recorder() (recorder Peer, self, confirms bool) {
	t := e.Topology()
	timeout, recorders := t.FollowTimeout(), domainRecorders
	if t.WholeFleet {
		recorders = meshRecorders
	}
	var candidates []Peer
	if e.opts.StoreReachable() {
		candidates = append(candidates, e.opts.Self)
	}
	for _, p := range t.Group {
		if e.loads.recordsOrigins(p.Name, timeout) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return e.opts.Self, true, true
	}
	sortByWeight(recordersKey, candidates)
	candidates = candidates[:min(recorders, len(candidates))]
	if slices.ContainsFunc(candidates, func(p Peer) bool { return p.Name == e.opts.Self.Name }) {
		return e.opts.Self, true, true
	}
	sortByWeight(NameHash(e.opts.Self.Name), candidates)
	return candidates[0], false, e.loads.Able(candidates[0].Name, waxwire.Ability_ABILITY_CONFIRMS_ORIGINS)
}

// AskToRecord asks another instance to write origins to the store.
func (e *Exchanger) AskToRecord(recorder Peer, origins []waxorigin.Origin) {
	for part := range slices.Chunk(origins, maxOrigins) {
		e.sendTo([]Peer{recorder}, &waxwire.LoadDatagram{
			Instance: NameHash(e.opts.Self.Name), Origins: e.encodeOrigins(part), Record: true,
		})
	}
}

// AskOrigin asks the instances that were told of a stream for its origin.
func (e *Exchanger) AskOrigin(ctx context.Context, stream uint64) (waxorigin.Origin, bool) {
	holders := e.holders(stream)
	if len(holders) > 0 {
		q := e.queries.add(stream, len(holders))
		defer e.queries.remove(stream, q)
		e.sendTo(holders, &waxwire.LoadDatagram{Instance: NameHash(e.opts.Self.Name), OriginQueries: []uint64{stream}})
		ctx, cancel := context.WithTimeout(ctx, originTimeout.Duration())
		defer cancel()
		select {
		case <-q.done:
		case <-ctx.Done():
		}
	}
	return e.opts.Origins.Origin(stream)
}

// encodeOrigins returns the origins in wire format.
func (e *Exchanger) encodeOrigins(origins []waxorigin.Origin) []*waxwire.StreamOrigin {
	now := e.opts.Clock.Now()
	out := make([]*waxwire.StreamOrigin, 0, len(origins))
	for _, o := range origins {
		out = append(out, &waxwire.StreamOrigin{Stream: o.Stream(), Service: o.Service(), Version: o.Version(), RemainingMs: int64(o.KeptUntil() - now)})
	}
	return out
}

// applyOrigins records the origins of a datagram and replies to its queries.
func (e *Exchanger) applyOrigins(d *waxwire.LoadDatagram, sender *net.UDPAddr) {
	now := e.opts.Clock.Now()
	recorded := &waxwire.LoadDatagram{Instance: NameHash(e.opts.Self.Name)}
	origins := make([]waxorigin.Origin, 0, len(d.GetOrigins()))
	for _, v := range d.GetOrigins() {
		o := waxorigin.NewOrigin(v.GetStream(), v.GetService(), v.GetVersion(), now+waxfleet.Millis(v.GetRemainingMs()))
		e.opts.Origins.Record(o)
		e.queries.reply(o.Stream(), true)
		origins = append(origins, o)
		recorded.RecordedOrigins = append(recorded.RecordedOrigins, o.Stream())
	}
	if d.GetRecord() && len(origins) > 0 {
		e.opts.RecordOrigins(origins, func() { e.send(recorded, sender) })
	}
	if len(d.GetRecordedOrigins()) > 0 {
		e.opts.OriginsRecorded(d.GetRecordedOrigins()...)
	}
	for _, stream := range d.GetUnknownOrigins() {
		e.queries.reply(stream, false)
	}
	if len(d.GetOriginQueries()) == 0 {
		return
	}
	reply := &waxwire.LoadDatagram{Instance: NameHash(e.opts.Self.Name)}
	var known []waxorigin.Origin
	for _, stream := range d.GetOriginQueries() {
		if o, ok := e.opts.Origins.Origin(stream); ok {
			known = append(known, o)
			continue
		}
		reply.UnknownOrigins = append(reply.UnknownOrigins, stream)
	}
	reply.Origins = e.encodeOrigins(known)
	e.send(reply, sender)
}
