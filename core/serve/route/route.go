// Package route finds the route of a request by host and longest path prefix
// (design 12.2). A table never changes once it is made.
package route

import (
	"strings"
	"time"

	"fernlink/api"
	"fernlink/core/flow"
)

// Kinds of routes.
const (
	Again   = "again"   // may be repeated
	Once    = "once"    // at most once a try
	Stream  = "stream"  // a series of events
	Samples = "samples" // lots
)

// Route is one route as it is used.
type Route struct {
	api.Route
	Limit  flow.Time // the longest that a request is held
	Target flow.Time // within which an answer earns its full worth
}

// Table is the routes of one plan.
type Table struct {
	Version uint64
	Pools   map[string]api.Pool
	hosts   map[string]map[string]*Route
	names   map[string]*Route
}

// New makes a table of a plan's host routes.
func New(version uint64, p *api.Plan) *Table {
	t := &Table{Version: version, Pools: map[string]api.Pool{}, hosts: map[string]map[string]*Route{}, names: map[string]*Route{}}
	for _, x := range p.Pools {
		t.Pools[x.Name] = x
	}
	for _, r := range p.Routes {
		if r.Host == "" {
			continue
		}
		r.DueMS, r.WaitMS = min(r.DueMS, api.MostMS), min(r.WaitMS, api.MostMS)
		x := &Route{Route: r, Limit: ms(r.Timeout), Target: ms(r.TargetMS)}
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		t.hosts[r.Host][r.Path] = x
		t.names[r.Name] = x
	}
	return t
}

// ms is a time of the plan's; one beyond api.MostMS counts as that.
func ms(n int) flow.Time { return flow.Time(min(n, api.MostMS)) * time.Millisecond }

// Find gives the route with the longest prefix of the path, or nil.
func (t *Table) Find(host, path string) *Route {
	if t == nil {
		return nil
	}
	at := t.hosts[host]
	for len(at) > 0 {
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		if r := at[path[:cut+1]]; r != nil {
			return r
		}
		path = path[:cut]
	}
	return nil
}

// Named gives a route by its name, or nil.
func (t *Table) Named(name string) *Route {
	if t == nil {
		return nil
	}
	return t.names[name]
}

// Uses says whether a pool may serve the route.
func (r *Route) Uses(pool string) bool {
	for _, s := range r.Split {
		if s.Pool == pool && s.Share > 0 {
			return true
		}
	}
	return len(r.Split) == 0 && r.Pool == pool
}
