// Package waxreplica replicates the objects of the store from the instances that watch
// the store to the other instances. The store counts each call, and its rate limits do
// not grow with the fleet.
package waxreplica

import (
	"context"
	"maps"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

// changeLogSize is the number of changes that a replica keeps for its followers. A
// follower that is further behind gets all records.
const changeLogSize = 200

// Replica is the copy of one feed at this instance, with the records in their stored
// form. It is safe for concurrent use.
type Replica struct {
	clock *waxfleet.Clock
	// serves reports whether other instances may follow this replica.
	serves func() bool

	mu      sync.Mutex
	records map[string]*waxwire.ReplicaRecord
	changes []*waxwire.ReplicaRecord
	// compactedTo is the revision up to which the changes were dropped.
	compactedTo waxfleet.Revision
	revision    waxfleet.Revision
	// lastChangeRevision is the revision of the latest change.
	lastChangeRevision waxfleet.Revision
	// asOf is the latest clock time at which the store is known to have had this state.
	asOf waxfleet.Millis
	// seenAt is the same, taking the sources at their word. It proves nothing.
	seenAt    waxfleet.Millis
	loaded    bool
	storeLost bool
	changed   chan struct{}
}

// New returns an empty replica. The replica refuses followers while serves returns false.
func New(clock *waxfleet.Clock, serves func() bool) *Replica {
	return &Replica{clock: clock, serves: serves, records: map[string]*waxwire.ReplicaRecord{}, changed: make(chan struct{})}
}

// Revision returns the store revision that the replica has reached; 0 before the first
// list.
func (r *Replica) Revision() waxfleet.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// LastChangeRevision returns the store revision of the latest change; 0 before the first.
func (r *Replica) LastChangeRevision() waxfleet.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastChangeRevision
}

// Update applies a batch that the store had at the clock time asOf, and wakes the
// followers that wait for changes.
func Update[T any](r *Replica, b waxfleet.Batch[T], asOf waxfleet.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Full {
		r.records = make(map[string]*waxwire.ReplicaRecord, len(b.Records))
		r.changes, r.compactedTo = nil, b.Revision
	}
	for _, v := range b.Records {
		r.lastChangeRevision = max(r.lastChangeRevision, v.Revision)
		record := &waxwire.ReplicaRecord{Name: v.Name, Revision: uint64(v.Revision), Deleted: v.Deleted, Raw: v.Raw}
		if v.Deleted {
			delete(r.records, v.Name)
		} else {
			r.records[v.Name] = record
		}
		if !b.Full {
			r.changes = append(r.changes, record)
		}
	}
	if drop := len(r.changes) - changeLogSize; drop > 0 {
		r.compactedTo = waxfleet.Revision(r.changes[drop-1].GetRevision())
		r.changes = slices.Clone(r.changes[drop:])
	}
	r.revision, r.asOf, r.loaded = max(r.revision, b.Revision), max(r.asOf, asOf), true
	r.seenAt = max(r.seenAt, asOf+b.Lag-b.SeenLag)
	if len(b.Records) > 0 || b.Full {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// Age returns the age of the copy against the store, taking the sources at their word; -1
// before the first list.
func (r *Replica) Age() waxfleet.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return -1
	}
	return r.clock.Now() - r.seenAt
}

// Seen records that, by the word of a source, the store had no change after a revision at a
// time. It has no effect on a copy that lacks the change of that revision, and on what the
// copy proves.
func (r *Replica) Seen(revision waxfleet.Revision, at waxfleet.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && r.lastChangeRevision >= revision {
		r.seenAt = max(r.seenAt, at)
	}
}

// SetStoreLost records whether this instance has lost the store. While it has, the
// replica refuses followers, so that they switch to another source.
func (r *Replica) SetStoreLost(lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = lost
	if lost {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// changesAfter returns the changes after a revision. It waits at most wait for them.
//
// Errors: CodePlatformUnreachable when the replica refuses followers or is not loaded.
func (r *Replica) changesAfter(ctx context.Context, after waxfleet.Revision, wait waxfleet.Millis) (*waxwire.FollowReply, error) {
	started := r.clock.Now()
	timeout, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		r.mu.Lock()
		reply, changed, lost := r.replyAfter(after), r.changed, r.storeLost
		r.mu.Unlock()
		if lost || !r.serves() {
			return nil, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "this instance has lost the store or does not serve its replicas")
		}
		if reply != nil && (len(reply.GetRecords()) > 0 || reply.GetFull() || timeout.Err() != nil) {
			reply.WaitedMs = int64(r.clock.Now() - started)
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout.Done():
			if ctx.Err() != nil || reply == nil {
				return nil, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "replica has not been loaded yet")
			}
		}
	}
}

// snapshot returns the changes after a revision at once, whether or not the replica serves
// followers.
//
// Errors: CodePlatformUnreachable when the replica is not loaded.
func (r *Replica) snapshot(after waxfleet.Revision) (*waxwire.FollowReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.replyAfter(after)
	if reply == nil {
		return nil, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "replica has not been loaded yet")
	}
	return reply, nil
}

// replyAfter returns the changes after a revision, or all records when the replica no
// longer has the changes. It returns nil before the first list. The caller holds the
// lock.
func (r *Replica) replyAfter(after waxfleet.Revision) *waxwire.FollowReply {
	if !r.loaded {
		return nil
	}
	out := &waxwire.FollowReply{
		Revision: uint64(max(r.revision, after)), AgeMs: int64(r.clock.Now() - r.asOf), Eras: true,
		SeenAgeMs: int64(r.clock.Now() - r.seenAt), Seen: true,
	}
	if after == 0 || after < r.compactedTo {
		out.Full, out.Revision = true, uint64(r.revision)
		out.Records = slices.Collect(maps.Values(r.records))
		return out
	}
	for _, c := range r.changes {
		if c.GetRevision() > uint64(after) {
			out.Records = append(out.Records, c)
		}
	}
	return out
}
