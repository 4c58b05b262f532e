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
	// Writer is the header X-Wax-Instance of the call.
	Writer string `json:"writer"`
}

type objectKey struct {
	kind string
	name string
}

type outcome int

const (
	outcomeDone outcome = iota
	outcomeMissing
	outcomeConflict
)

// store holds the objects. One counter gives the versions of all of them, so
// that a version is never used twice, also not after a delete.
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

// watch returns the object and a channel that closes at its next change.
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
	return s.write(kind, name, value, writer)
}

// putIf writes on condition of the current version; 0 stands for no object.
func (s *store) putIf(kind, name string, value []byte, version uint64, writer string) (uint64, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[objectKey{kind, name}].Version() != version {
		return 0, outcomeConflict
	}
	return s.write(kind, name, value, writer), outcomeDone
}

func (s *store) deleteIf(kind, name string, version uint64, writer string) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{kind, name}
	o, ok := s.objects[key]
	if !ok {
		return outcomeMissing
	}
	if o.Version() != version {
		return outcomeConflict
	}
	s.version++
	delete(s.objects, key)
	s.record(Event{Kind: kind, Name: name, Version: s.version, Deleted: true, Writer: writer})
	return outcomeDone
}

func (s *store) events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.history...)
}

func (s *store) write(kind, name string, value []byte, writer string) uint64 {
	s.version++
	s.objects[objectKey{kind, name}] = waxfleet.NewObject(kind, name, value, s.version)
	s.record(Event{Kind: kind, Name: name, Version: s.version, Value: value, Writer: writer})
	return s.version
}

func (s *store) record(e Event) {
	e.At = s.clock.Now()
	s.history = append(s.history, e)
	key := objectKey{e.Kind, e.Name}
	if ch, ok := s.watchers[key]; ok {
		close(ch)
		delete(s.watchers, key)
	}
}
