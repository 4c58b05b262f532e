// Package waxtable holds a version of the routing configuration and looks up
// the route and the workspace of a request. It does no I/O.
package waxtable

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

// Workspace is a customer in the routing configuration.
type Workspace struct {
	// Name is unique within the configuration.
	Name string
	// Priority is the queue priority of the workspace's requests; 0 is the
	// highest. It overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// APIKeys holds the keys that identify the workspace.
	APIKeys []string
}

// Spec is the content of a Table.
type Spec struct {
	Version    uint64
	Routes     []waxfleet.Route
	Services   []waxfleet.ServiceSpec
	Workspaces []Workspace
	Limits     waxfleet.CallerLimits
}

// Table is an immutable version of the routing configuration. It is safe for
// concurrent use.
type Table struct {
	version         uint64
	routesByHost    map[string][]waxfleet.Route
	services        map[string]waxfleet.ServiceSpec
	workspacesByKey map[string]Workspace
	limits          waxfleet.CallerLimits
	hasWorkspaces   bool
}

// New returns a Table. Host names are compared without regard to case. If
// several workspaces have the same key, it belongs to the last one.
func New(spec Spec) *Table {
	t := &Table{
		version: spec.Version, limits: spec.Limits, hasWorkspaces: len(spec.Workspaces) > 0,
		routesByHost:    map[string][]waxfleet.Route{},
		services:        map[string]waxfleet.ServiceSpec{},
		workspacesByKey: map[string]Workspace{},
	}
	for _, r := range spec.Routes {
		host := strings.ToLower(r.Host())
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b waxfleet.Route) int {
			return cmp.Compare(len(b.Prefix()), len(a.Prefix()))
		})
	}
	for _, s := range spec.Services {
		t.services[s.Name] = s
	}
	for _, w := range spec.Workspaces {
		for _, key := range w.APIKeys {
			t.workspacesByKey[key] = w
		}
	}
	return t
}

// Version returns the version number of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the size limits and timeouts of the connections of callers.
func (t *Table) Limits() waxfleet.CallerLimits { return t.limits }

// Service returns the configuration of a service, and whether there is one.
func (t *Table) Service(name string) (waxfleet.ServiceSpec, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ServiceCount returns the number of configured services.
func (t *Table) ServiceCount() int { return len(t.services) }

// Route returns the route of the host with the longest matching path prefix,
// and whether there is one. host may have a port and path a query; both are
// ignored.
func (t *Table) Route(host, path string) (waxfleet.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return waxfleet.Route{}, false
}

// RequiresKey reports whether requests on the route need an API key. None do if
// no workspaces are configured.
func (t *Table) RequiresKey(r waxfleet.Route) bool { return t.hasWorkspaces && !r.Public() }

// WorkspaceByKey returns the workspace that the API key belongs to, and whether
// there is one.
func (t *Table) WorkspaceByKey(key string) (Workspace, bool) {
	w, ok := t.workspacesByKey[key]
	return w, ok
}

// Priority returns the queue priority of a request: that of the workspace if it
// has one, otherwise that of the route.
func Priority(r waxfleet.Route, w Workspace) int {
	if w.HasPriority {
		return w.Priority
	}
	return r.Priority()
}

// ServiceOf returns the service of a request on the route. If the route splits
// its traffic, the service depends on the request id, so that all instances
// agree.
func ServiceOf(r waxfleet.Route, requestID string) string {
	split := r.TrafficSplit()
	if len(split) == 1 {
		return split[0].Service
	}
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, s := range split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return split[len(split)-1].Service
}
