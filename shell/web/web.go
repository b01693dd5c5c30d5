// Package web takes HTTP/1.1 from callers, trainers and operators (design
// 10.1), turns each request into a Call and writes its answer.
package web

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"fernlink/api"
	"fernlink/core/flow"
	"fernlink/core/listener"
)

// WatchMost is the lines a slow watcher may lag, StreamMost the parts that a
// slow reader at a listener may lag, and LagMost how many bytes of them.
const (
	WatchMost  = 256
	StreamMost = 1024
	LagMost    = 16 << 20
)

// writeWait is how long one part of an answer may take to be written.
const writeWait = 10 * time.Second

// Options say where a web listens. In takes what comes, and says no when there
// is no room. Addr is the administration API's.
type Options struct {
	Addr      string
	In        func(flow.Event) bool
	Listeners []Listener
}

// Listener and Route describe one more address at which a node takes requests.
type (
	Listener = listener.Listener
	Route    = listener.Route
)

// Web is the server.
type Web struct {
	In func(flow.Event) bool

	ids     atomic.Uint64
	limits  limits // of listeners that pass requests on
	own     limits // of all others
	bodies  bodies
	ending  atomic.Bool
	mu      sync.Mutex
	open    map[uint64]*call
	srvs    []*http.Server
	sockets []net.Listener
}

// limits are those in force at some listeners.
type limits = atomic.Pointer[Limits]

// side is what requests of one listener share: the parts that a slow reader may lag,
// and the limits.
type side struct {
	most   int
	limits *limits
}

type route struct{ verb, path, name string }

// Routes are the administration API.
var Routes = []route{
	{"GET", "/healthz", "healthz"},
	{"GET", "/status", "status"},
	{"GET", "/metrics", "metrics"},
	{"GET", "/v1/plan", "plan.get"},
	{"PUT", "/v1/plan", "plan.put"},
	{"GET", "/v1/plans", "plan.list"},
	{"GET", "/v1/plans/{version}", "plan.version"},
	{"POST", "/v1/steps", "step.open"},
	{"GET", "/v1/steps", "step.list"},
	{"GET", "/v1/steps/{id}", "step.get"},
	{"GET", "/v1/steps/{id}/results", "step.results"},
	{"POST", "/v1/steps/{id}/end", "step.end"},
	{"GET", "/v1/weights", "roll.get"},
	{"PUT", "/v1/weights/{pool}", "weights.put"},
	{"GET", "/v1/engines", "engine.list"},
	{"GET", "/v1/engines/{id}", "engine.get"},
	{"PUT", "/v1/engines/{id}/drain", "engine.drain"},
	{"GET", "/v1/stores", "store.list"},
	{"POST", "/v1/stores", "store.add"},
	{"POST", "/v1/stores/{id}/promote", "store.vote"},
	{"DELETE", "/v1/stores/{id}", "store.remove"},
	{"GET", "/v1/usage", "usage"},
	{"GET", "/v1/watch/{slice}", "watch"},
}

// Open listens and serves the administration API alone.
func Open(addr string, in func(flow.Event) bool) (*Web, error) {
	return OpenListeners(Options{Addr: addr, In: in})
}

// OpenListeners listens and serves the administration API and listeners.
func OpenListeners(o Options) (*Web, error) {
	w := &Web{In: o.In, open: map[uint64]*call{}}
	w.limits.Store(&Usual)
	w.own.Store(&Usual)
	sides := []side{{WatchMost, &w.own}}
	hands := []http.Handler{w.admin(sides[0])}
	addrs := []string{o.Addr}
	for _, d := range o.Listeners {
		s := side{StreamMost, &w.own}
		if d.Rest != "" {
			s.limits = &w.limits
		}
		sides, hands, addrs = append(sides, s), append(hands, w.listener(d, s)), append(addrs, d.Addr)
	}
	for _, addr := range addrs {
		socket, err := net.Listen("tcp", addr)
		if err != nil {
			for _, e := range w.sockets {
				_ = e.Close()
			}
			return nil, errors.Wrap(err, "web: listen")
		}
		w.sockets = append(w.sockets, socket)
	}
	for i, socket := range w.sockets {
		srv := &http.Server{Handler: w.guard(hands[i], sides[i].limits), MaxHeaderBytes: headerMost, ConnState: state, ConnContext: withConn, DisableGeneralOptionsHandler: true}
		w.srvs = append(w.srvs, srv)
		go func() { _ = srv.Serve(&limitedListener{socket, sides[i].limits}) }()
	}
	return w, nil
}

// Addr is where the administration API listens (0) or a listener (1 and on, in the
// order of the options).
func (w *Web) Addr(i int) net.Addr { return w.sockets[i].Addr() }

// Drain has each answer from now on close its connection. New connections and
// requests are still served (design 5.5). Idle connections stay, since a
// request may be on its way there.
func (w *Web) Drain() { w.ending.Store(true) }

// Close stops taking requests and gives open ones a moment to end.
func (w *Web) Close(ctx context.Context) {
	var wg sync.WaitGroup
	for _, srv := range w.srvs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if srv.Shutdown(ctx) != nil {
				_ = srv.Close()
			}
		}()
	}
	wg.Wait()
}

func problem(rw http.ResponseWriter, code int, text string, more ...string) {
	rw.Header().Set("Content-Type", "application/json")
	for i := 0; i+1 < len(more); i += 2 {
		rw.Header().Set(more[i], more[i+1])
	}
	rw.WriteHeader(code)
	_ = json.NewEncoder(rw).Encode(map[string]string{"error": text})
}

func (w *Web) admin(s side) http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	allow := map[string][]string{}
	plain := func(name string) http.HandlerFunc {
		x := &Route{Name: name}
		return func(rw http.ResponseWriter, req *http.Request) { w.serve(rw, req, x, mux.Vars(req), s) }
	}
	for _, x := range Routes {
		r.Methods(x.verb).Path(x.path).HandlerFunc(plain(x.name))
		allow[x.path] = append(allow[x.path], x.verb)
	}
	r.Methods("GET").Path("/v1/schema").HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/schema+json")
		_, _ = rw.Write(api.Schema)
	})
	for _, x := range Routes {
		verbs := strings.Join(allow[x.path], ", ")
		r.Path(x.path).HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			problem(rw, 405, "this method is not allowed here", "Allow", verbs)
		})
	}
	r.PathPrefix("/v1/").HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { problem(rw, 404, "no such listener in the API") })
	r.PathPrefix("/").HandlerFunc(plain("app"))
	return r
}

// listener serves one listener's routes.
func (w *Web) listener(d Listener, s side) http.Handler {
	r := mux.NewRouter()
	routes := map[*mux.Route]*Route{}
	fixed := map[[2]string]*Route{} // by verb and path
	for i := range d.Routes {
		x := &d.Routes[i]
		if key := [2]string{x.Verb, x.Path}; !strings.Contains(x.Path, "{") {
			if fixed[key] == nil {
				fixed[key] = x
			}
			continue
		}
		m := r.NewRoute().Path(x.Path).HandlerFunc(http.NotFound)
		if x.Verb != "" {
			m.Methods(x.Verb)
		}
		routes[m] = x
	}
	rest := &Route{Name: d.Rest}
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		path := pathOf(req)
		x := fixed[[2]string{req.Method, path}]
		if x == nil {
			x = fixed[[2]string{"", path}]
		}
		if x != nil {
			w.serve(rw, req, x, nil, s)
			return
		}
		if len(routes) > 0 {
			var m mux.RouteMatch
			asWritten := &http.Request{Method: req.Method, Host: req.Host, Header: req.Header, URL: &url.URL{Path: path}}
			if r.Match(asWritten, &m) && m.MatchErr == nil {
				w.serve(rw, req, routes[m.Route], m.Vars, s)
				return
			}
		}
		if d.Rest == "" {
			problem(rw, 404, "there is nothing here")
			return
		}
		w.serve(rw, req, rest, nil, s)
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
