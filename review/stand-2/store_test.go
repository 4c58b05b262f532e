package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode says how the store answers.
type storeMode int

const (
	storeUp storeMode = iota
	// storeSilent accepts calls and never answers them.
	storeSilent
	// storeBusy answers 503: nothing was done.
	storeBusy
)

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Pending    bool     `json:"deletion_pending"`
}

type object struct {
	Meta   meta            `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	at      time.Time
	object  object
	deleted bool
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it: kinds,
// names, revisions, watches and conditional writes. It keeps its history for historyTime.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	mode     storeMode
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	// goneTo is the revision up to which the history was dropped.
	goneTo uint64
	next   chan struct{}
}

const (
	historyTime = 20 * time.Second
	pageSize    = 500
)

func newStore() *store {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	s := &store{listener: l, revision: 1, objects: map[string]map[string]object{}, next: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// setMode changes the mode. Watches that wait are cut off.
func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wake()
}

func (s *store) wake() {
	close(s.next)
	s.next = make(chan struct{})
}

// put writes an object as the operator or an engine does, and returns its revision. It
// reports false while the store is down.
func (s *store) put(kind, name string, spec any) (uint64, bool) {
	raw, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		return 0, false
	}
	return s.write(kind, name, raw, nil), true
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.drop(kind, o)
	}
}

func (s *store) drop(kind string, o object) {
	delete(s.objects[kind], o.Meta.Name)
	s.revision++
	o.Meta.Revision = s.revision
	s.record(change{kind: kind, at: time.Now(), object: o, deleted: true})
}

func (s *store) write(kind, name string, spec, status json.RawMessage) uint64 {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if ok && status == nil && string(o.Spec) == string(spec) {
		return o.Meta.Revision
	}
	s.revision++
	if !ok {
		o = object{Meta: meta{Name: name, Created: s.revision, Finalizers: []string{}}}
	}
	if spec != nil {
		o.Spec = spec
	}
	if status != nil {
		o.Status = status
	}
	o.Meta.Revision = s.revision
	s.objects[kind][name] = o
	s.record(change{kind: kind, at: time.Now(), object: o})
	return s.revision
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > historyTime {
		s.goneTo = s.changes[0].object.Meta.Revision
		s.changes = s.changes[1:]
	}
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case storeSilent:
		<-r.Context().Done()
		return
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, q.Get("after"))
	default:
		s.change(w, r.Method, kind, name, q.Get("revision"), body)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Meta.Name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	more := len(items) > pageSize
	items = items[:min(len(items), pageSize)]
	reply(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	expired := false
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.object.Meta.Revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		gone, revision, next, mode := after < s.goneTo, s.revision, s.next, s.mode
		s.mu.Unlock()
		switch {
		case mode != storeUp:
			panic(http.ErrAbortHandler)
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || expired:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-next:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, method, kind, name, condition string, body []byte) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := strings.HasSuffix(name, "/status")
	name = strings.TrimSuffix(name, "/status")
	if method == http.MethodPost {
		name = in.Meta.Name
	}
	if condition == "" && in.Meta.Revision != 0 {
		condition = strconv.FormatUint(in.Meta.Revision, 10)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	named := slices.Contains([]string{"config", "servers", "evacuations"}, kind)
	switch {
	case method == http.MethodGet && ok:
		reply(w, http.StatusOK, o)
	case method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
	case method == http.MethodPost && ok, condition != "" && condition != strconv.FormatUint(o.Meta.Revision, 10) && ok:
		reply(w, http.StatusConflict, o)
	case named && !status:
		w.WriteHeader(http.StatusForbidden)
	case method == http.MethodDelete:
		s.drop(kind, o)
		reply(w, http.StatusOK, o)
	case status:
		var b struct {
			Status json.RawMessage `json:"status"`
		}
		_ = json.Unmarshal(body, &b)
		s.write(kind, name, nil, b.Status)
		reply(w, http.StatusOK, s.objects[kind][name])
	default:
		s.write(kind, name, in.Spec, nil)
		reply(w, http.StatusOK, s.objects[kind][name])
	}
}
