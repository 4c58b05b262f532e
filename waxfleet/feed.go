package waxfleet

import "context"

// Record is one object of a feed.
type Record[T any] struct {
	// Name is unique in the feed.
	Name     string
	Revision uint64
	// Deleted records have no value.
	Deleted bool
	// Readable is false when the object's value could not be decoded; Problem
	// then says why.
	Readable bool
	Problem  string
	Value    T
	// Raw is the stored form, for other instances.
	Raw []byte
}

// Batch is the answer of a feed.
type Batch[T any] struct {
	Records []Record[T]
	// Full batches hold all records; others hold changes in order.
	Full bool
	// Revision is the store's revision to go on from.
	Revision uint64
	// Lag says how old the state may be: the store had it at a moment at most Lag
	// before the call was sent. It is negative when the moment is known to be later.
	Lag Millis
}

// Feed is a kind of objects in the platform's store.
//
// Errors: CodeHistoryGone when the revision is too old to watch from,
// CodePlatformRateLimited, CodePlatformUnreachable and CodePlatformUnknown when
// there was no usable answer.
type Feed[T any] interface {
	// List returns all records.
	List(ctx context.Context) (Batch[T], error)
	// Watch waits at most wait for changes after the revision. A source that no
	// longer has all changes may return a full batch.
	Watch(ctx context.Context, after uint64, wait Millis) (Batch[T], error)
	// Decode returns the record of an object with the given stored form.
	Decode(name string, revision uint64, raw []byte) Record[T]
}

// EngineEntry is what a backend server says of itself in the store.
type EngineEntry struct {
	server BackendServer
	slots  int
	cold   Millis
	born   int64
}

// NewEngineEntry returns an entry. cold is how much longer the server is cold
// at the time of the entry, born the Unix millisecond of its start.
func NewEngineEntry(server BackendServer, slots int, cold Millis, born int64) EngineEntry {
	return EngineEntry{server: server, slots: slots, cold: cold, born: born}
}

// Server returns the backend server.
func (e EngineEntry) Server() BackendServer { return e.server }

// Slots returns the number of requests that the server processes at once.
func (e EngineEntry) Slots() int { return e.slots }

// Cold returns how much longer the server was cold when it wrote the entry.
func (e EngineEntry) Cold() Millis { return e.cold }

// Born returns the Unix millisecond of the server's start; it tells
// incarnations under one id apart.
func (e EngineEntry) Born() int64 { return e.born }

// Evacuation asks that a failure domain gets no work. The name of its record is
// the failure domain.
type Evacuation struct{}

// PeerEntry is what a router instance says of itself in the store.
type PeerEntry struct {
	// Address is "ip:port" for datagrams of other instances.
	Address string
	// FailureDomain is where the instance runs.
	FailureDomain string
}

// PeerRegistry holds the entries of all router instances.
type PeerRegistry interface {
	Feed[PeerEntry]
	// Announce writes the entry of an instance, whatever stood there.
	Announce(ctx context.Context, instance string, entry PeerEntry) error
	// Withdraw removes the entry of an instance. A missing entry is no error.
	Withdraw(ctx context.Context, instance string) error
}
