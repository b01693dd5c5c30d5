package web

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/gorilla/mux"

	"fernlink/api"
)

func (w *Web) admin(shared side) http.Handler {
	router := mux.NewRouter()
	router.UseEncodedPath()
	allow := map[string][]string{}
	plain := func(name string) http.HandlerFunc {
		named := &Route{Name: name}
		return func(rw http.ResponseWriter, req *http.Request) { w.serve(rw, req, named, mux.Vars(req), shared) }
	}
	for _, route := range Routes {
		router.Methods(route.verb).Path(route.path).HandlerFunc(plain(route.name))
		allow[route.path] = append(allow[route.path], route.verb)
	}
	router.Methods("GET").Path("/v1/schema").HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/schema+json")
		_, _ = rw.Write(api.Schema)
	})
	for _, route := range Routes {
		verbs := strings.Join(allow[route.path], ", ")
		router.Path(route.path).HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			problem(rw, 405, "this method is not allowed here", "Allow", verbs)
		})
	}
	router.PathPrefix("/v1/").HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { problem(rw, 404, "no such listener in the API") })
	router.PathPrefix("/").HandlerFunc(plain("app"))
	return router
}

// verbPath is what a fixed route is found by; the verb "" stands for any.
type verbPath struct{ verb, path string }

// matcher finds the route of a request at one listener.
type matcher struct {
	fixed     map[verbPath]*Route
	router    *mux.Router // of paths with variables
	templates map[*mux.Route]*Route
	rest      *Route // of all other paths, or nil
}

func newMatcher(listener Listener) *matcher {
	m := &matcher{fixed: map[verbPath]*Route{}, router: mux.NewRouter(), templates: map[*mux.Route]*Route{}}
	for i := range listener.Routes {
		m.add(&listener.Routes[i])
	}
	if listener.Rest != "" {
		m.rest = &Route{Name: listener.Rest}
	}
	return m
}

// add takes a route in; of two with one verb and fixed path the first counts.
func (m *matcher) add(route *Route) {
	if !strings.Contains(route.Path, "{") {
		key := verbPath{route.Verb, route.Path}
		if m.fixed[key] == nil {
			m.fixed[key] = route
		}
		return
	}
	template := m.router.NewRoute().Path(route.Path).HandlerFunc(http.NotFound)
	if route.Verb != "" {
		template.Methods(route.Verb)
	}
	m.templates[template] = route
}

// find gives a request's route and its path's variables, or nil.
func (m *matcher) find(req *http.Request) (*Route, map[string]string) {
	path := pathOf(req)
	if route := m.fixed[verbPath{req.Method, path}]; route != nil {
		return route, nil
	}
	if route := m.fixed[verbPath{"", path}]; route != nil {
		return route, nil
	}
	if len(m.templates) > 0 {
		var match mux.RouteMatch
		asWritten := &http.Request{Method: req.Method, Host: req.Host, Header: req.Header, URL: &url.URL{Path: path}}
		if m.router.Match(asWritten, &match) && match.MatchErr == nil {
			return m.templates[match.Route], match.Vars
		}
	}
	return m.rest, nil
}

// listener serves one listener's routes.
func (w *Web) listener(listener Listener, shared side) http.Handler {
	matcher := newMatcher(listener)
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		route, vars := matcher.find(req)
		if route == nil {
			problem(rw, 404, "there is nothing here")
			return
		}
		w.serve(rw, req, route, vars, shared)
	})
}

// pathOf is a request's path as it was written.
func pathOf(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		path, _, _ := strings.Cut(req.RequestURI, "?")
		return path
	}
	return req.URL.EscapedPath()
}
