package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: objects by kind and name, one
// revision counter, lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	history  []storeEvent
	changed  chan struct{}
}

type storeMeta struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type storedObject struct {
	Meta   storeMeta       `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind    string
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
}

// put creates or replaces an object, as operators and servers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, raw)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) storedObject {
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	o := storedObject{Meta: storeMeta{Name: name, Created: old.Meta.Created, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	s.applyLocked(kind, o, false)
	return s.objects[kind][name]
}

func (s *store) applyLocked(kind string, o storedObject, deleted bool) {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	if deleted {
		delete(s.objects[kind], o.Meta.Name)
	} else {
		s.objects[kind][o.Meta.Name] = o
	}
	s.history = append(s.history, storeEvent{kind: kind, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes an object if there is one.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if ok {
		s.applyLocked(kind, o, true)
	}
	return ok
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodDelete:
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storedObject{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Meta.Name < items[b].Meta.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "more_pages": false, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "current_rev": revision}
		if len(events) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, answer)
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o storedObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
