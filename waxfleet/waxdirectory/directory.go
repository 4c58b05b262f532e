// Package waxdirectory keeps the list of backend servers that may get new work.
// It applies what the store says of them and does no I/O.
package waxdirectory

import (
	"maps"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
)

const (
	// returnGrace is how long after a store outage a missing server is still used:
	// servers that live write their lapsed entries again within two seconds.
	returnGrace waxfleet.Millis = 2_500
	// coldAfterReturn is how long the servers of a failure domain that was taken
	// back count as cold. Their entries say so only after a heartbeat and its lag.
	coldAfterReturn waxfleet.Millis = 2_500
)

// Server is a backend server as the directory knows it.
type Server struct {
	entry     waxfleet.EngineEntry
	revision  uint64
	coldUntil waxfleet.Millis
	// missing is true when the entry vanished during a store outage.
	missing bool
}

// Entry returns what the server says of itself.
func (s Server) Entry() waxfleet.EngineEntry { return s.entry }

// ID returns the name of the server.
func (s Server) ID() string { return s.entry.Server().ID() }

// Revision returns the store's revision of the entry.
func (s Server) Revision() uint64 { return s.revision }

// Cold reports whether the server bears only a little work at the given time.
func (s Server) Cold(now waxfleet.Millis) bool { return now < s.coldUntil }

// Missing reports whether the entry vanished during a store outage, so that the
// server may be gone.
func (s Server) Missing() bool { return s.missing }

// Change names a server that became known, changed its incarnation or went away.
type Change struct {
	Server waxfleet.BackendServer
	What   string
	// Revision is the store's revision of the entry that decided.
	Revision uint64
}

// Kinds of changes.
const (
	ChangeAdded     = "added"
	ChangeRestarted = "restarted"
	ChangeLeaving   = "leaving"
	ChangeRemoved   = "removed"
	ChangeMissing   = "missing"
	ChangeReturned  = "returned"
)

// Directory holds the backend servers. It is safe for concurrent use.
type Directory struct {
	clock *waxfleet.Clock

	mu        sync.Mutex
	servers   map[string]*Server
	evacuated map[string]bool
	coldUntil map[string]waxfleet.Millis
	loaded    bool
	storeLost bool
	storeBack waxfleet.Millis
	hadOutage bool
}

// New returns an empty directory.
func New(clock *waxfleet.Clock) *Directory {
	return &Directory{
		clock: clock, servers: map[string]*Server{}, evacuated: map[string]bool{},
		coldUntil: map[string]waxfleet.Millis{},
	}
}

// Loaded reports whether the list was read once.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// StoreLost notes that the store's answers ended.
func (d *Directory) StoreLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeLost, d.hadOutage = true, true
}

// StoreRegained notes that the store answers again.
func (d *Directory) StoreRegained() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeLost, d.storeBack = false, d.clock.Now()
}

// ApplyList replaces all entries by those of a full list.
func (d *Directory) ApplyList(records []waxfleet.Record[waxfleet.EngineEntry]) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	var changes []Change
	for _, r := range records {
		listed[r.Name] = true
		changes = d.put(changes, r)
	}
	for id, s := range d.servers {
		if !listed[id] {
			changes = d.drop(changes, s, 0)
		}
	}
	d.loaded = true
	return changes
}

// ApplyChanges applies changes in order.
func (d *Directory) ApplyChanges(records []waxfleet.Record[waxfleet.EngineEntry]) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, r := range records {
		if !r.Deleted {
			changes = d.put(changes, r)
			continue
		}
		if s := d.servers[r.Name]; s != nil {
			changes = d.drop(changes, s, r.Revision)
		}
	}
	return changes
}

// put applies an entry. An unreadable one names no server to use, and a server
// that wrote a readable one before keeps it.
func (d *Directory) put(changes []Change, r waxfleet.Record[waxfleet.EngineEntry]) []Change {
	if !r.Readable {
		return changes
	}
	now := d.clock.Now()
	server := r.Value.Server()
	old := d.servers[r.Name]
	s := &Server{entry: r.Value, revision: r.Revision}
	if c := r.Value.Cold(); c > 0 {
		s.coldUntil = now + c
	}
	d.servers[r.Name] = s
	change := Change{Server: server, Revision: r.Revision}
	switch {
	case server.State() == waxfleet.StateLeaving && (old == nil || old.entry.Server().State() != waxfleet.StateLeaving):
		change.What = ChangeLeaving
	case old == nil:
		change.What = ChangeAdded
	case old.entry.Born() != r.Value.Born() || old.entry.Server().Address() != server.Address():
		change.What = ChangeRestarted
	case old.missing:
		change.What = ChangeReturned
	default:
		return changes
	}
	return append(changes, change)
}

// drop removes an entry, or marks it as missing while the store's list may lack
// servers that live.
func (d *Directory) drop(changes []Change, s *Server, revision uint64) []Change {
	now := d.clock.Now()
	change := Change{Server: s.entry.Server(), Revision: revision}
	if d.hadOutage && (d.storeLost || now-d.storeBack < returnGrace) {
		if s.missing {
			return changes
		}
		s.missing = true
		change.What = ChangeMissing
		return append(changes, change)
	}
	delete(d.servers, s.ID())
	change.What = ChangeRemoved
	return append(changes, change)
}

// Sweep removes the servers whose entries did not come back after an outage.
func (d *Directory) Sweep() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	if d.storeLost || d.clock.Now() < d.storeBack+returnGrace {
		return nil
	}
	for id, s := range d.servers {
		if s.missing {
			delete(d.servers, id)
			changes = append(changes, Change{Server: s.entry.Server(), What: ChangeRemoved, Revision: s.revision})
		}
	}
	return changes
}

// Evacuate sets the failure domains that get no new work, and returns those
// that were taken out and those that were taken back.
func (d *Directory) Evacuate(domains map[string]bool) (out, back []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for domain := range domains {
		if !d.evacuated[domain] {
			out = append(out, domain)
		}
	}
	for domain := range d.evacuated {
		if !domains[domain] {
			back = append(back, domain)
			d.coldUntil[domain] = d.clock.Now() + coldAfterReturn
		}
	}
	d.evacuated = domains
	return out, back
}

// Servers returns the servers of a service that may get new work.
func (d *Directory) Servers(service string) []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		if s.entry.Server().Service() == service && d.takesWork(s) {
			out = append(out, d.view(s))
		}
	}
	return out
}

// takesWork reports whether a server may get new work. The caller holds the lock.
func (d *Directory) takesWork(s *Server) bool {
	server := s.entry.Server()
	return server.State() == waxfleet.StateLive && !d.evacuated[server.FailureDomain()]
}

// view returns a server as it counts now, in a failure domain that may have been
// taken back. The caller holds the lock.
func (d *Directory) view(s *Server) Server {
	c := *s
	c.coldUntil = max(c.coldUntil, d.coldUntil[s.entry.Server().FailureDomain()])
	return c
}

// find returns an incarnation, or nil. The caller holds the lock.
func (d *Directory) find(id string, born int64) *Server {
	if s := d.servers[id]; s != nil && s.entry.Born() == born {
		return s
	}
	return nil
}

// All returns all known servers and the failure domains that get no new work, both
// in the order of their names.
func (d *Directory) All() ([]Server, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var servers []Server
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		servers = append(servers, d.view(d.servers[id]))
	}
	return servers, slices.Sorted(maps.Keys(d.evacuated))
}

// Usable reports whether the server may still get new work. It is asked right
// before a request is sent.
func (d *Directory) Usable(id string, born int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.find(id, born)
	return s != nil && d.takesWork(s)
}

// Count returns the number of known servers.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.servers)
}

// Known reports whether the incarnation is in the directory, in any state.
func (d *Directory) Known(id string, born int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.find(id, born) != nil
}

// InService reports whether the incarnation is in the directory and its failure
// domain is not taken out. It may be leaving.
func (d *Directory) InService(id string, born int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.find(id, born)
	return s != nil && !s.missing && !d.evacuated[s.entry.Server().FailureDomain()]
}
