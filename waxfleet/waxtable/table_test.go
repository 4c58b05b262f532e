package waxtable

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

func route(name, host, prefix string) waxfleet.Route {
	return waxfleet.NewRoute(waxfleet.RouteSpec{
		Name:         name,
		Host:         host,
		Prefix:       prefix,
		TrafficSplit: []waxfleet.WeightedService{{Service: name, Weight: 1}},
	})
}

// TestRoute guards against routing a request to a service of another host or of
// a shorter path prefix.
func TestRoute(t *testing.T) {
	table := New(Spec{Routes: []waxfleet.Route{
		route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/"),
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/y/z/1", "long"},
		{"A.Example:8080", "/x/1", "short"},
		{"b.example", "/x/y/z/", "other"},
		{"b.example", "/x/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "/q?p=/x/", ""},
		{"a.example", "/x/?p=/x/y/", "short"},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got, ok := table.Route(c.host, c.path)
			is.New(t).Equal(ok, c.want != "")
			is.New(t).Equal(got.Name(), c.want)
		})
	}
}

// TestKeys guards against attributing a request to the wrong workspace or
// priority.
func TestKeys(t *testing.T) {
	is := is.New(t)
	table := New(Spec{Workspaces: []Workspace{{
		Name:        "a",
		APIKeys:     []string{"k1", "k2"},
		Priority:    3,
		HasPriority: true,
	}, {Name: "b", APIKeys: []string{"k3"}}}})
	w, ok := table.WorkspaceByKey("k2")
	is.True(ok)
	is.Equal(w.Name, "a")
	_, ok = table.WorkspaceByKey("")
	is.True(!ok)
	r := waxfleet.NewRoute(waxfleet.RouteSpec{Priority: 1})
	is.Equal(Priority(r, w), 3)
	w, _ = table.WorkspaceByKey("k3")
	is.Equal(Priority(r, w), 1)
	is.True(table.RequiresKey(r))
	is.True(!New(Spec{}).RequiresKey(r)) // no workspaces, so no key is needed
}

// TestSplit guards against a traffic split that deviates from its weights, and
// against instances that disagree on a request.
func TestSplit(t *testing.T) {
	is := is.New(t)
	r := waxfleet.NewRoute(waxfleet.RouteSpec{TrafficSplit: []waxfleet.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}})
	n := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprintf("request-%d", i)
		is.Equal(ServiceOf(r, id), ServiceOf(r, id))
		n[ServiceOf(r, id)]++
	}
	is.True(n["b"] > 850 && n["b"] < 1_150) // 1,000, within five standard deviations
}
