// Package waxmemory is an in-memory Object API and instance list with fault
// injection, for tests and embedded fleets.
package waxmemory

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

// Verb is a call type of the Object API or the instance list.
type Verb string

// Verbs of the Object API and of the instance list.
const (
	VerbGet       Verb = "get"
	VerbPut       Verb = "put"
	VerbDelete    Verb = "delete"
	VerbList      Verb = "list"
	VerbWatch     Verb = "watch"
	VerbInstances Verb = "instances"
)

// Call is the argument of a fault hook, which runs before the call does. Version
// is the expected version of a write, or the version after which a watch waits.
type Call struct {
	Verb    Verb
	Kind    string
	Name    string
	Version uint64
}

// Fault is the injected fault of a call.
type Fault int

// Faults. FaultConflict and those after it apply to Put and Delete; a read with
// one of them fails with CodePlatformUnreachable.
const (
	// FaultNone runs the call normally.
	FaultNone Fault = iota
	// FaultOutage fails the call with CodePlatformUnreachable without running it.
	FaultOutage
	// FaultRateLimited fails the call with CodePlatformRateLimited without running
	// it.
	FaultRateLimited
	// FaultConflict fails the write with CodeObjectConflict without running it.
	FaultConflict
	// FaultResponseLost runs the write, but returns CodePlatformUnknown.
	FaultResponseLost
	// FaultRequestLost fails the write with CodePlatformUnknown without running it.
	FaultRequestLost
	// FaultDelayedWrite fails the write with CodePlatformUnknown. The write runs, with
	// its version check, after the next write that runs or in RunDelayedWrites.
	FaultDelayedWrite
)

// maxWatchTimeout is the longest wait of a watch.
const maxWatchTimeout = waxfleet.Millis(30_000)

type objectKey struct {
	kind string
	name string
}

// Store implements waxfleet.ObjectStore and waxfleet.InstanceLister. Versions
// come from one counter for all objects, so successive versions of an object
// need not be adjacent and none is reused after a delete. It is safe for
// concurrent use.
type Store struct {
	clock *waxfleet.Clock

	mu      sync.Mutex
	objects map[objectKey]waxfleet.Object
	version uint64
	// changed is closed and replaced at each change of an object or the outage.
	changed chan struct{}
	outage  bool
	fault   func(Call) Fault
	// delayed holds the writes of FaultDelayedWrite that have not run.
	delayed   []func()
	calls     map[Verb]int
	instances []waxfleet.Instance
	servers   []waxfleet.BackendServer
}

var (
	_ waxfleet.ObjectStore    = (*Store)(nil)
	_ waxfleet.InstanceLister = (*Store)(nil)
)

// NewStore returns an empty store. The wait of watches is measured on clock.
func NewStore(clock *waxfleet.Clock) *Store {
	return &Store{
		clock:   clock,
		objects: map[objectKey]waxfleet.Object{},
		changed: make(chan struct{}),
		calls:   map[Verb]int{},
	}
}

// SetOutage starts or ends an outage, during which all calls fail with
// CodePlatformUnreachable, including waiting watches.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.notifyWatches()
}

// SetFault sets the hook that selects the fault of each call; nil removes it. The
// hook runs while the store is locked and must not call the store.
func (s *Store) SetFault(hook func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = hook
}

// RunDelayedWrites runs the writes that FaultDelayedWrite has delayed.
func (s *Store) RunDelayedWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runDelayed()
}

// Calls returns the number of calls with a verb, including failed ones.
func (s *Store) Calls(v Verb) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[v]
}

// SetInstances sets what ListInstances returns.
func (s *Store) SetInstances(instances []waxfleet.Instance, servers []waxfleet.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(instances)
	s.servers = slices.Clone(servers)
}

// ListInstances implements waxfleet.InstanceLister.
func (s *Store) ListInstances(ctx context.Context) ([]waxfleet.Instance, []waxfleet.BackendServer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRead(ctx, Call{Verb: VerbInstances}); err != nil {
		return nil, nil, err
	}
	return slices.Clone(s.instances), slices.Clone(s.servers), nil
}

// Get implements waxfleet.ObjectStore.
func (s *Store) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRead(ctx, Call{Verb: VerbGet, Kind: kind, Name: name}); err != nil {
		return waxfleet.Object{}, err
	}
	return s.get(kind, name)
}

// List implements waxfleet.ObjectStore; the objects are sorted by name.
func (s *Store) List(ctx context.Context, kind string) ([]waxfleet.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRead(ctx, Call{Verb: VerbList, Kind: kind}); err != nil {
		return nil, err
	}
	var all []waxfleet.Object
	for key, obj := range s.objects {
		if key.kind == kind {
			all = append(all, obj)
		}
	}
	slices.SortFunc(all, func(a, b waxfleet.Object) int { return cmp.Compare(a.Name(), b.Name()) })
	return all, nil
}

// Put implements waxfleet.ObjectStore.
func (s *Store) Put(ctx context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	if len(value) > waxfleet.MaxObjectBytes {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeConfigTooLarge,
			"%s/%s has %d bytes; allowed: at most %d", kind, name, len(value), waxfleet.MaxObjectBytes)
	}
	value = bytes.Clone(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	var obj waxfleet.Object
	err := s.runWrite(ctx, Call{Verb: VerbPut, Kind: kind, Name: name, Version: version}, func() (err error) {
		obj, err = s.put(kind, name, value, version)
		return err
	})
	if err != nil {
		return waxfleet.Object{}, err
	}
	return obj, nil
}

// Delete implements waxfleet.ObjectStore.
func (s *Store) Delete(ctx context.Context, kind, name string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runWrite(ctx, Call{Verb: VerbDelete, Kind: kind, Name: name, Version: version}, func() error {
		obj, err := s.get(kind, name)
		if err != nil {
			return err
		}
		if obj.Version() != version {
			return conflict(kind, name, obj.Version(), version)
		}
		delete(s.objects, objectKey{kind: kind, name: name})
		s.notifyWatches()
		return nil
	})
}

// Watch implements waxfleet.ObjectStore. After 30 s on the store's clock it
// returns the current object, or CodeObjectNotFound.
func (s *Store) Watch(ctx context.Context, kind, name string, after uint64) (waxfleet.Object, error) {
	call := Call{Verb: VerbWatch, Kind: kind, Name: name, Version: after}
	s.mu.Lock()
	err := s.checkRead(ctx, call)
	s.mu.Unlock()
	if err != nil {
		return waxfleet.Object{}, err
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = s.clock.Sleep(waitCtx, maxWatchTimeout)
	}()
	for {
		obj, changed, err := s.getWithChange(kind, name)
		if err == nil && obj.Version() > after {
			return obj, nil
		}
		if waxfleet.CodeOf(err) == waxfleet.CodePlatformUnreachable {
			return waxfleet.Object{}, err
		}
		select {
		case <-changed:
		case <-waitCtx.Done():
			if ctx.Err() != nil {
				return waxfleet.Object{}, unreachable(call, ctx.Err())
			}
			return obj, err
		}
	}
}

// getWithChange returns an object and a channel that is closed at the next
// change.
func (s *Store) getWithChange(kind, name string) (waxfleet.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return waxfleet.Object{}, s.changed, unreachable(Call{Verb: VerbWatch, Kind: kind, Name: name}, nil)
	}
	obj, err := s.get(kind, name)
	return obj, s.changed, err
}

// checkRead counts a read and returns the error of its fault.
func (s *Store) checkRead(ctx context.Context, call Call) error {
	switch s.recordCall(call) {
	case FaultNone:
	case FaultRateLimited:
		return waxfleet.NewError(waxfleet.CodePlatformRateLimited, "%s %s/%s", call.Verb, call.Kind, call.Name)
	default:
		return unreachable(call, nil)
	}
	if ctx.Err() != nil {
		return unreachable(call, ctx.Err())
	}
	return nil
}

// runWrite counts a write and runs it as its fault requires.
func (s *Store) runWrite(ctx context.Context, call Call, run func() error) error {
	unknown := waxfleet.NewError(waxfleet.CodePlatformUnknown, "%s %s/%s: response lost",
		call.Verb, call.Kind, call.Name)
	fault := s.recordCall(call)
	if fault == FaultNone && ctx.Err() != nil {
		return unreachable(call, ctx.Err())
	}
	switch fault {
	case FaultOutage:
		return unreachable(call, nil)
	case FaultRateLimited:
		return waxfleet.NewError(waxfleet.CodePlatformRateLimited, "%s %s/%s", call.Verb, call.Kind, call.Name)
	case FaultConflict:
		return waxfleet.NewError(waxfleet.CodeObjectConflict, "%s %s/%s: injected conflict",
			call.Verb, call.Kind, call.Name)
	case FaultRequestLost:
		return unknown
	case FaultDelayedWrite:
		s.delayed = append(s.delayed, func() { _ = run() })
		return unknown
	}
	err := run()
	s.runDelayed()
	if fault == FaultResponseLost {
		return unknown
	}
	return err
}

// recordCall counts the call and returns its fault.
func (s *Store) recordCall(call Call) Fault {
	s.calls[call.Verb]++
	if s.outage {
		return FaultOutage
	}
	if s.fault == nil {
		return FaultNone
	}
	return s.fault(call)
}

func (s *Store) runDelayed() {
	delayed := s.delayed
	s.delayed = nil
	for _, run := range delayed {
		run()
	}
}

func (s *Store) get(kind, name string) (waxfleet.Object, error) {
	obj, ok := s.objects[objectKey{kind: kind, name: name}]
	if !ok {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectNotFound, "%s/%s", kind, name)
	}
	return obj, nil
}

func (s *Store) put(kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	if current := s.objects[objectKey{kind: kind, name: name}].Version(); current != version {
		return waxfleet.Object{}, conflict(kind, name, current, version)
	}
	s.version++
	obj := waxfleet.NewObject(kind, name, value, s.version)
	s.objects[objectKey{kind: kind, name: name}] = obj
	s.notifyWatches()
	return obj, nil
}

func conflict(kind, name string, current, version uint64) error {
	return waxfleet.NewError(waxfleet.CodeObjectConflict, "%s/%s has version %d, not %d", kind, name, current, version)
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func unreachable(call Call, cause error) error {
	if cause == nil {
		return waxfleet.NewError(waxfleet.CodePlatformUnreachable, "%s %s/%s: outage", call.Verb, call.Kind, call.Name)
	}
	return waxfleet.WrapError(cause, waxfleet.CodePlatformUnreachable, "%s %s/%s", call.Verb, call.Kind, call.Name)
}
