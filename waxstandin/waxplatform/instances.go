package waxplatform

import (
	"sort"
	"sync"

	"waxwingdrift.org/waxfleet"
)

// Router is a router instance in the response of GET /instances.
type Router struct {
	ID            string         `json:"id"`
	FailureDomain string         `json:"failure-domain"`
	PeerAddress   string         `json:"peer-address"`
	CallerAddress string         `json:"caller-address"`
	State         waxfleet.State `json:"state"`
}

// BackendServer is a backend server in the response of GET /instances.
type BackendServer struct {
	ID            string         `json:"id"`
	Service       string         `json:"service"`
	FailureDomain string         `json:"failure-domain"`
	Address       string         `json:"address"`
	State         waxfleet.State `json:"state"`
}

// Instances is the response of GET /instances.
type Instances struct {
	Routers        []Router        `json:"routers"`
	BackendServers []BackendServer `json:"backend-servers"`
}

// listEntry is a router or a backend server. The zero value stands for a removed one.
type listEntry struct {
	router *Router
	server *BackendServer
}

type listChange struct {
	at    waxfleet.Millis
	id    string
	entry listEntry
}

// instanceList is the instance list. A change becomes visible only after the delay lag;
// until then it is in latest and pending only.
type instanceList struct {
	clock *waxfleet.Clock
	lag   waxfleet.Millis

	mu      sync.Mutex
	latest  map[string]listEntry
	visible map[string]listEntry
	pending []listChange
}

func newInstanceList(clock *waxfleet.Clock, lag waxfleet.Millis) *instanceList {
	return &instanceList{
		clock:   clock,
		lag:     lag,
		latest:  map[string]listEntry{},
		visible: map[string]listEntry{},
	}
}

func (l *instanceList) set(id string, entry listEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changeLocked(id, entry)
}

func (l *instanceList) setState(id string, state waxfleet.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.latest[id]
	switch {
	case entry.router != nil:
		r := *entry.router
		r.State = state
		l.changeLocked(id, listEntry{router: &r})
	case entry.server != nil:
		b := *entry.server
		b.State = state
		l.changeLocked(id, listEntry{server: &b})
	}
}

func (l *instanceList) setLag(lag waxfleet.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDueLocked()
	l.lag = lag
}

func (l *instanceList) visibleInstances() Instances {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDueLocked()
	visible := Instances{Routers: []Router{}, BackendServers: []BackendServer{}}
	for _, entry := range l.visible {
		if entry.router != nil {
			visible.Routers = append(visible.Routers, *entry.router)
		}
		if entry.server != nil {
			visible.BackendServers = append(visible.BackendServers, *entry.server)
		}
	}
	sort.Slice(visible.Routers, func(i, j int) bool { return visible.Routers[i].ID < visible.Routers[j].ID })
	sort.Slice(visible.BackendServers, func(i, j int) bool {
		return visible.BackendServers[i].ID < visible.BackendServers[j].ID
	})
	return visible
}

func (l *instanceList) changeLocked(id string, entry listEntry) {
	l.latest[id] = entry
	l.pending = append(l.pending, listChange{at: l.clock.Now(), id: id, entry: entry})
}

func (l *instanceList) applyDueLocked() {
	now := l.clock.Now()
	for len(l.pending) > 0 && l.pending[0].at+l.lag <= now {
		l.visible[l.pending[0].id] = l.pending[0].entry
		l.pending = l.pending[1:]
	}
}
