// Package waxtable holds one version of the operators' routing configuration
// and finds the route and the workspace of a request. It does no I/O.
package waxtable

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

// Workspace is a customer as the routing configuration lists it.
type Workspace struct {
	// Name is unique in the configuration.
	Name string
	// Priority is the rank of the workspace's requests; 0 is the most urgent. It
	// counts only if Ranked is true, and then before the route's.
	Priority int
	Ranked   bool
	Keys     []string
}

// Spec holds the parts of a Table.
type Spec struct {
	Version    uint64
	Routes     []waxfleet.Route
	Services   []waxfleet.ServiceContract
	Workspaces []Workspace
	Limits     waxfleet.ClientLimits
}

// Table is one immutable version of the routing configuration.
type Table struct {
	version  uint64
	hosts    map[string][]waxfleet.Route
	services map[string]waxfleet.ServiceContract
	keys     map[string]Workspace
	limits   waxfleet.ClientLimits
	keyed    bool
}

// New returns a table. Routes of one host are tried from the longest prefix to
// the shortest.
func New(spec Spec) *Table {
	t := &Table{
		version: spec.Version, limits: spec.Limits, keyed: len(spec.Workspaces) > 0,
		hosts:    map[string][]waxfleet.Route{},
		services: map[string]waxfleet.ServiceContract{},
		keys:     map[string]Workspace{},
	}
	for _, r := range spec.Routes {
		host := strings.ToLower(r.Host())
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b waxfleet.Route) int {
			return cmp.Compare(len(b.Prefix()), len(a.Prefix()))
		})
	}
	for _, s := range spec.Services {
		t.services[s.Name] = s
	}
	for _, w := range spec.Workspaces {
		for _, key := range w.Keys {
			t.keys[key] = w
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on what a client may send.
func (t *Table) Limits() waxfleet.ClientLimits { return t.limits }

// Service returns the contract of a service.
func (t *Table) Service(name string) (waxfleet.ServiceContract, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the number of services.
func (t *Table) Services() int { return len(t.services) }

// Route finds the route of a request: the one of the host with the longest
// prefix that begins the path. path may have a query.
func (t *Table) Route(host, path string) (waxfleet.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return waxfleet.Route{}, false
}

// NeedsKey reports whether requests of the route carry a key.
func (t *Table) NeedsKey(r waxfleet.Route) bool { return t.keyed && !r.Public() }

// Workspace finds the workspace that holds a key.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}

// Priority returns the rank of a request; a ranked workspace goes before the
// route.
func Priority(r waxfleet.Route, w Workspace) int {
	if w.Ranked {
		return w.Priority
	}
	return r.Priority()
}

// ServiceOf returns the service of a request on the route. A split route gives
// each request id the same service at all instances.
func ServiceOf(r waxfleet.Route, requestID string) string {
	shares := r.Shares()
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, s := range shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return shares[len(shares)-1].Service
}
