package waxplatform

import (
	"sort"
	"sync"

	"waxwingdrift.org/waxfleet"
)

// Event is one write that took effect.
type Event struct {
	At      waxfleet.Millis `json:"at"`
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   []byte          `json:"value"`
	Deleted bool            `json:"deleted"`
	// Writer is the value of the header X-Wax-Instance.
	Writer string `json:"writer"`
}

type objectKey struct {
	kind string
	name string
}

type writeResult int

const (
	writeApplied writeResult = iota
	writeNotFound
	writeConflict
)

// store holds the objects in memory. All versions come from one counter, so that a
// version is never reused, even after a delete.
type store struct {
	clock *waxfleet.Clock

	mu       sync.Mutex
	version  uint64
	objects  map[objectKey]waxfleet.Object
	watchers map[objectKey]chan struct{}
	history  []Event
}

func newStore(clock *waxfleet.Clock) *store {
	return &store{
		clock:    clock,
		objects:  map[objectKey]waxfleet.Object{},
		watchers: map[objectKey]chan struct{}{},
	}
}

func (s *store) get(kind, name string) (waxfleet.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	return o, ok
}

// watch returns the object and a channel that is closed at its next change.
func (s *store) watch(kind, name string) (waxfleet.Object, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{kind, name}
	ch, ok := s.watchers[key]
	if !ok {
		ch = make(chan struct{})
		s.watchers[key] = ch
	}
	return s.objects[key], ch
}

func (s *store) list(kind string) []waxfleet.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []waxfleet.Object
	for key, o := range s.objects {
		if key.kind == kind {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name() < found[j].Name() })
	return found
}

func (s *store) put(kind, name string, value []byte, writer string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(kind, name, value, writer)
}

// compareAndPut writes the object if it has the given version. Version 0 means that the
// object doesn't exist.
func (s *store) compareAndPut(kind, name string, value []byte, version uint64, writer string) (uint64, writeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[objectKey{kind, name}].Version() != version {
		return 0, writeConflict
	}
	return s.writeLocked(kind, name, value, writer), writeApplied
}

func (s *store) compareAndDelete(kind, name string, version uint64, writer string) writeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{kind, name}
	o, ok := s.objects[key]
	if !ok {
		return writeNotFound
	}
	if o.Version() != version {
		return writeConflict
	}
	s.version++
	delete(s.objects, key)
	s.recordLocked(Event{
		Kind:    kind,
		Name:    name,
		Version: s.version,
		Deleted: true,
		Writer:  writer,
	})
	return writeApplied
}

func (s *store) events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.history...)
}

func (s *store) writeLocked(kind, name string, value []byte, writer string) uint64 {
	s.version++
	s.objects[objectKey{kind, name}] = waxfleet.NewObject(kind, name, value, s.version)
	s.recordLocked(Event{
		Kind:    kind,
		Name:    name,
		Version: s.version,
		Value:   value,
		Writer:  writer,
	})
	return s.version
}

func (s *store) recordLocked(e Event) {
	e.At = s.clock.Now()
	s.history = append(s.history, e)
	key := objectKey{e.Kind, e.Name}
	if ch, ok := s.watchers[key]; ok {
		close(ch)
		delete(s.watchers, key)
	}
}
