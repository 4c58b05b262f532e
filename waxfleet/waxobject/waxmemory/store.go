// Package waxmemory is an Object API in memory, with an instance list and
// faults that a caller switches on. It serves tests and embedded fleets.
package waxmemory

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

// Verb names a call of the Object API.
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

// Call is one call, as a fault hook sees it before it runs. Version is the
// condition of a write, or the version after which a watch waits.
type Call struct {
	Verb    Verb
	Kind    string
	Name    string
	Version uint64
}

// Fault tells what goes wrong with a call.
type Fault int

// Faults. Those of answers apply to Put and Delete; reads that get one of them
// fail with CodePlatformUnreachable.
const (
	// FaultNone lets the call run.
	FaultNone Fault = iota
	// FaultOutage fails the call with CodePlatformUnreachable; it does not run.
	FaultOutage
	// FaultRateLimited fails the call with CodePlatformRateLimited; it does not run.
	FaultRateLimited
	// FaultConflict fails a write with CodeObjectConflict; it does not run.
	FaultConflict
	// FaultLostAnswer runs the write and fails it with CodePlatformUnknown.
	FaultLostAnswer
	// FaultLostCall fails the write with CodePlatformUnknown; it never runs.
	FaultLostCall
	// FaultLateWrite fails the write with CodePlatformUnknown and runs it, with
	// its condition, after the next write that runs, or at RunLateWrites.
	FaultLateWrite
)

// watchLimit is the longest wait of a watch.
const watchLimit = waxfleet.Millis(30_000)

type objectKey struct {
	kind string
	name string
}

// Store implements waxfleet.ObjectStore and waxfleet.InstanceLister. Versions
// come from one counter for all names, so successive versions of a name need
// not be adjacent and none is used again after a delete.
type Store struct {
	clock *waxfleet.Clock

	mu        sync.Mutex
	objects   map[objectKey]waxfleet.Object
	version   uint64
	changed   chan struct{}
	outage    bool
	fault     func(Call) Fault
	late      []func()
	calls     map[Verb]int
	instances []waxfleet.Instance
	servers   []waxfleet.BackendServer
}

var (
	_ waxfleet.ObjectStore    = (*Store)(nil)
	_ waxfleet.InstanceLister = (*Store)(nil)
)

// NewStore returns an empty store. The clock bounds the wait of watches.
func NewStore(clock *waxfleet.Clock) *Store {
	return &Store{
		clock:   clock,
		objects: map[objectKey]waxfleet.Object{},
		changed: make(chan struct{}),
		calls:   map[Verb]int{},
	}
}

// SetOutage makes all calls fail with CodePlatformUnreachable, waiting watches
// included, until it is switched off.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.wake()
}

// SetFault sets the hook that chooses the fault of each call; nil removes it.
// The hook runs under the store's lock and must not call the store.
func (s *Store) SetFault(hook func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = hook
}

// RunLateWrites runs the writes that FaultLateWrite holds back.
func (s *Store) RunLateWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runLate()
}

// Calls returns the number of calls of a verb so far, failed ones included.
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
	if err := s.read(ctx, Call{Verb: VerbInstances}); err != nil {
		return nil, nil, err
	}
	return slices.Clone(s.instances), slices.Clone(s.servers), nil
}

// Get implements waxfleet.ObjectStore.
func (s *Store) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.read(ctx, Call{Verb: VerbGet, Kind: kind, Name: name}); err != nil {
		return waxfleet.Object{}, err
	}
	return s.get(kind, name)
}

// List implements waxfleet.ObjectStore; the objects are sorted by name.
func (s *Store) List(ctx context.Context, kind string) ([]waxfleet.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.read(ctx, Call{Verb: VerbList, Kind: kind}); err != nil {
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
	err := s.write(ctx, Call{Verb: VerbPut, Kind: kind, Name: name, Version: version}, func() (err error) {
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
	return s.write(ctx, Call{Verb: VerbDelete, Kind: kind, Name: name, Version: version}, func() error {
		obj, err := s.get(kind, name)
		if err != nil {
			return err
		}
		if obj.Version() != version {
			return conflict(kind, name, obj.Version(), version)
		}
		delete(s.objects, objectKey{kind: kind, name: name})
		s.wake()
		return nil
	})
}

// Watch implements waxfleet.ObjectStore. After 30 s on the store's clock it
// returns the object as it is, or CodeObjectNotFound.
func (s *Store) Watch(ctx context.Context, kind, name string, after uint64) (waxfleet.Object, error) {
	call := Call{Verb: VerbWatch, Kind: kind, Name: name, Version: after}
	s.mu.Lock()
	err := s.read(ctx, call)
	s.mu.Unlock()
	if err != nil {
		return waxfleet.Object{}, err
	}
	limit, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = s.clock.Sleep(limit, watchLimit)
	}()
	for {
		obj, changed, err := s.look(kind, name)
		if err == nil && obj.Version() > after {
			return obj, nil
		}
		if waxfleet.CodeOf(err) == waxfleet.CodePlatformUnreachable {
			return waxfleet.Object{}, err
		}
		select {
		case <-changed:
		case <-limit.Done():
			if ctx.Err() != nil {
				return waxfleet.Object{}, unreachable(call, ctx.Err())
			}
			return obj, err
		}
	}
}

// look returns an object and a channel that the next change closes.
func (s *Store) look(kind, name string) (waxfleet.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return waxfleet.Object{}, s.changed, unreachable(Call{Verb: VerbWatch, Kind: kind, Name: name}, nil)
	}
	obj, err := s.get(kind, name)
	return obj, s.changed, err
}

// read counts a read and returns its fault.
func (s *Store) read(ctx context.Context, call Call) error {
	switch s.begin(call) {
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

// write counts a write and runs it as its fault says.
func (s *Store) write(ctx context.Context, call Call, run func() error) error {
	unknown := waxfleet.NewError(waxfleet.CodePlatformUnknown, "%s %s/%s: answer lost", call.Verb, call.Kind, call.Name)
	fault := s.begin(call)
	if fault == FaultNone && ctx.Err() != nil {
		return unreachable(call, ctx.Err())
	}
	switch fault {
	case FaultOutage:
		return unreachable(call, nil)
	case FaultRateLimited:
		return waxfleet.NewError(waxfleet.CodePlatformRateLimited, "%s %s/%s", call.Verb, call.Kind, call.Name)
	case FaultConflict:
		return waxfleet.NewError(waxfleet.CodeObjectConflict, "%s %s/%s: injected", call.Verb, call.Kind, call.Name)
	case FaultLostCall:
		return unknown
	case FaultLateWrite:
		s.late = append(s.late, func() { _ = run() })
		return unknown
	}
	err := run()
	s.runLate()
	if fault == FaultLostAnswer {
		return unknown
	}
	return err
}

func (s *Store) begin(call Call) Fault {
	s.calls[call.Verb]++
	if s.outage {
		return FaultOutage
	}
	if s.fault == nil {
		return FaultNone
	}
	return s.fault(call)
}

func (s *Store) runLate() {
	late := s.late
	s.late = nil
	for _, run := range late {
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
	if held := s.objects[objectKey{kind: kind, name: name}].Version(); held != version {
		return waxfleet.Object{}, conflict(kind, name, held, version)
	}
	s.version++
	obj := waxfleet.NewObject(kind, name, value, s.version)
	s.objects[objectKey{kind: kind, name: name}] = obj
	s.wake()
	return obj, nil
}

func conflict(kind, name string, held, version uint64) error {
	return waxfleet.NewError(waxfleet.CodeObjectConflict, "%s/%s has version %d, not %d", kind, name, held, version)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func unreachable(call Call, cause error) error {
	if cause == nil {
		return waxfleet.NewError(waxfleet.CodePlatformUnreachable, "%s %s/%s: outage", call.Verb, call.Kind, call.Name)
	}
	return waxfleet.WrapError(cause, waxfleet.CodePlatformUnreachable, "%s %s/%s", call.Verb, call.Kind, call.Name)
}
