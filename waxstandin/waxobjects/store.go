// Package waxobjects is an in-memory store of objects by kind and name, with one revision
// counter and a history of changes. Fakes of platforms serve it in their own protocols.
package waxobjects

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

// Object is an object of the store.
type Object struct {
	Kind     string
	Name     string
	Revision uint64
	Spec     json.RawMessage
}

// Event is a change of an object.
type Event struct {
	Object
	Deleted bool
}

// Changes is the part of the history that a watch asks for.
type Changes struct {
	Events []Event
	// Revision is that of the last change of any kind.
	Revision uint64
	// Gone is true if the history does not reach back so far.
	Gone bool
	// Next is closed at the next change.
	Next <-chan struct{}
}

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	mu             sync.Mutex
	era            uint64
	revision       uint64
	oldestRevision uint64
	objects        map[string]map[string]Object
	history        []Event
	changed        chan struct{}
}

// New returns an empty store in its first era.
func New() *Store {
	return &Store{era: 1, revision: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// Put creates or replaces an object and returns its revision. spec is JSON.
func (s *Store) Put(kind, name, spec string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(Event{Object: Object{Kind: kind, Name: name, Revision: s.revision + 1, Spec: json.RawMessage(spec)}})
	return s.revision
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// applyLocked applies a change and adds it to the history.
func (s *Store) applyLocked(e Event) {
	if s.objects[e.Kind] == nil {
		s.objects[e.Kind] = map[string]Object{}
	}
	s.objects[e.Kind][e.Name] = e.Object
	if e.Deleted {
		delete(s.objects[e.Kind], e.Name)
	}
	s.revision, s.history = e.Revision, append(s.history, e)
	s.notifyLocked()
}

// Delete removes an object if it exists.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		o.Revision = s.revision + 1
		s.applyLocked(Event{Object: o, Deleted: true})
	}
}

// DiscardHistory discards the history, so that no watch can go on from an older revision.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.revision++
	s.oldestRevision = s.revision
	s.notifyLocked()
}

// Restore returns the store to its state at a revision, as a copy of that time would. What
// was written since is lost, and its revisions are given out again.
func (s *Store) Restore(to waxfleet.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.history
	s.era, s.revision, s.objects, s.history = s.era+1, to.Number(), map[string]map[string]Object{}, nil
	for _, e := range history {
		if e.Revision <= to.Number() {
			s.applyLocked(e)
		}
	}
	s.notifyLocked()
}

// Names returns the sorted names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// List returns at most limit objects of a kind in the order of their names, from the first
// one after a name, and the revision of the last change.
func (s *Store) List(kind, after string, limit int) (objects []Object, more bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.objects[kind])), func(name string) bool { return name <= after })
	for _, name := range names[:min(limit, len(names))] {
		objects = append(objects, s.objects[kind][name])
	}
	return objects, len(names) > limit, s.revision
}

// Changes returns the changes of a kind after a revision.
func (s *Store) Changes(kind string, after uint64) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{Revision: s.revision, Gone: after < s.oldestRevision || after > s.revision, Next: s.changed}
	for _, e := range s.history {
		if e.Kind == kind && e.Revision > after {
			c.Events = append(c.Events, e)
		}
	}
	return c
}

// Notify wakes all that wait for a change.
func (s *Store) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the revision of the last change, with the era.
func (s *Store) Revision() waxfleet.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return waxfleet.NewRevision(s.era, s.revision)
}
