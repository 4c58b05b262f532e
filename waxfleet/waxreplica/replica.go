// Package waxreplica passes copies of the store's objects from the instances that
// watch the store to those that do not. The store counts each call and its rates
// do not grow with the fleet.
package waxreplica

import (
	"context"
	"maps"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

// keptChanges is the number of changes of a feed that are kept for instances
// that follow; one that is further behind gets all records.
const keptChanges = 200

// Replica is this instance's copy of one feed in its stored form.
type Replica struct {
	clock *waxfleet.Clock
	// serves reports whether other instances may follow this copy.
	serves func() bool

	mu       sync.Mutex
	records  map[string]*waxwire.ReplicaRecord
	changes  []*waxwire.ReplicaRecord
	oldest   uint64
	revision uint64
	// last is the revision of the last change.
	last uint64
	// asOf is the clock time at which the store had this state for certain.
	asOf    waxfleet.Millis
	loaded  bool
	lost    bool
	changed chan struct{}
}

// New returns an empty copy, which is passed on while serves says so.
func New(clock *waxfleet.Clock, serves func() bool) *Replica {
	return &Replica{clock: clock, serves: serves, records: map[string]*waxwire.ReplicaRecord{}, changed: make(chan struct{})}
}

// Revision returns the store's revision that the copy has reached; 0 before the
// first list.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Last returns the revision of the last change.
func (r *Replica) Last() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// Update applies a batch that the store had at the clock time asOf.
func Update[T any](r *Replica, b waxfleet.Batch[T], asOf waxfleet.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Full {
		r.records = make(map[string]*waxwire.ReplicaRecord, len(b.Records))
		r.changes, r.oldest = nil, b.Revision
	}
	for _, v := range b.Records {
		r.last = max(r.last, v.Revision)
		record := &waxwire.ReplicaRecord{Name: v.Name, Revision: v.Revision, Deleted: v.Deleted, Raw: v.Raw}
		if v.Deleted {
			delete(r.records, v.Name)
		} else {
			r.records[v.Name] = record
		}
		if !b.Full {
			r.changes = append(r.changes, record)
		}
	}
	if drop := len(r.changes) - keptChanges; drop > 0 {
		r.oldest = r.changes[drop-1].GetRevision()
		r.changes = slices.Clone(r.changes[drop:])
	}
	r.revision, r.asOf, r.loaded = max(r.revision, b.Revision), max(r.asOf, asOf), true
	if len(b.Records) > 0 || b.Full {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// SetLost notes whether the store answers this instance. Without it, the copy is
// not passed on, so that those who follow it look elsewhere.
func (r *Replica) SetLost(lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = lost
	if lost {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// follow returns the changes after a revision, waiting for them at most wait.
func (r *Replica) follow(ctx context.Context, after uint64, wait waxfleet.Millis) (*waxwire.FollowReply, error) {
	started := r.clock.Now()
	timeout, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		r.mu.Lock()
		reply, changed, lost := r.reply(after), r.changed, r.lost
		r.mu.Unlock()
		if lost || !r.serves() {
			return nil, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "the store does not answer this instance")
		}
		if reply != nil && (len(reply.GetRecords()) > 0 || reply.GetFull() || timeout.Err() != nil) {
			reply.WaitedMs = int64(r.clock.Now() - started)
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout.Done():
			if ctx.Err() != nil || reply == nil {
				return nil, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "the copy was not read yet")
			}
		}
	}
}

// reply returns what a caller at the revision lacks, or nil before the first
// list. The caller holds the lock.
func (r *Replica) reply(after uint64) *waxwire.FollowReply {
	if !r.loaded {
		return nil
	}
	out := &waxwire.FollowReply{Revision: max(r.revision, after), AgeMs: int64(r.clock.Now() - r.asOf)}
	if after == 0 || after < r.oldest {
		out.Full, out.Revision = true, r.revision
		out.Records = slices.Collect(maps.Values(r.records))
		return out
	}
	for _, c := range r.changes {
		if c.GetRevision() > after {
			out.Records = append(out.Records, c)
		}
	}
	return out
}
