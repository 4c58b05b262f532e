package waxplatform

import (
	"sort"
	"sync"

	"waxwingdrift.org/waxfleet"
)

// Router is a router instance as GET /instances shows it.
type Router struct {
	ID            string         `json:"id"`
	FailureDomain string         `json:"failure-domain"`
	PeerAddress   string         `json:"peer-address"`
	CallerAddress string         `json:"caller-address"`
	State         waxfleet.State `json:"state"`
}

// BackendServer is a backend server as GET /instances shows it.
type BackendServer struct {
	ID            string         `json:"id"`
	Service       string         `json:"service"`
	FailureDomain string         `json:"failure-domain"`
	Address       string         `json:"address"`
	State         waxfleet.State `json:"state"`
}

// Instances is the answer of GET /instances.
type Instances struct {
	Routers        []Router        `json:"routers"`
	BackendServers []BackendServer `json:"backend-servers"`
}

// listed is a router, a backend server, or neither after a removal.
type listed struct {
	router *Router
	server *BackendServer
}

type listChange struct {
	at    waxfleet.Millis
	id    string
	entry listed
}

// instanceList shows each change only after its lag.
type instanceList struct {
	clock *waxfleet.Clock
	lag   waxfleet.Millis

	mu      sync.Mutex
	newest  map[string]listed
	visible map[string]listed
	pending []listChange
}

func newInstanceList(clock *waxfleet.Clock, lag waxfleet.Millis) *instanceList {
	return &instanceList{clock: clock, lag: lag, newest: map[string]listed{}, visible: map[string]listed{}}
}

func (l *instanceList) set(id string, entry listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(id, entry)
}

func (l *instanceList) setState(id string, state waxfleet.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.newest[id]
	switch {
	case entry.router != nil:
		r := *entry.router
		r.State = state
		l.change(id, listed{router: &r})
	case entry.server != nil:
		b := *entry.server
		b.State = state
		l.change(id, listed{server: &b})
	}
}

func (l *instanceList) setLag(lag waxfleet.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.lag = lag
}

func (l *instanceList) show() Instances {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	shown := Instances{Routers: []Router{}, BackendServers: []BackendServer{}}
	for _, entry := range l.visible {
		if entry.router != nil {
			shown.Routers = append(shown.Routers, *entry.router)
		}
		if entry.server != nil {
			shown.BackendServers = append(shown.BackendServers, *entry.server)
		}
	}
	sort.Slice(shown.Routers, func(i, j int) bool { return shown.Routers[i].ID < shown.Routers[j].ID })
	sort.Slice(shown.BackendServers, func(i, j int) bool {
		return shown.BackendServers[i].ID < shown.BackendServers[j].ID
	})
	return shown
}

func (l *instanceList) change(id string, entry listed) {
	l.newest[id] = entry
	l.pending = append(l.pending, listChange{at: l.clock.Now(), id: id, entry: entry})
}

func (l *instanceList) settle() {
	now := l.clock.Now()
	for len(l.pending) > 0 && l.pending[0].at+l.lag <= now {
		l.visible[l.pending[0].id] = l.pending[0].entry
		l.pending = l.pending[1:]
	}
}
