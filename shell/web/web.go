// Package web takes HTTP/1.1 from callers, trainers and operators (design
// 10.1), turns each request into a Call and writes its answer.
package web

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"fernlink/api"
	"fernlink/core/flow"
)

// BodyMost is the largest request; WatchMost the lines a slow watcher may lag.
const (
	BodyMost  = 8 << 20
	WatchMost = 256
)

// Web is the server.
type Web struct {
	In func(flow.Event) bool

	ids  atomic.Uint64
	mu   sync.Mutex
	open map[uint64]*call
	srv  *http.Server
	ear  net.Listener
}

type call struct {
	parts chan flow.Reply
	slow  bool
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

// Open listens and serves.
func Open(addr string, in func(flow.Event) bool) (*Web, error) {
	ear, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "web: listen")
	}
	w := &Web{In: in, open: map[uint64]*call{}, ear: ear}
	w.srv = &http.Server{Handler: w.router(), ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10}
	go func() { _ = w.srv.Serve(ear) }()
	return w, nil
}

// Close stops taking requests and gives open ones a moment to end.
func (w *Web) Close(ctx context.Context) {
	if w.srv.Shutdown(ctx) != nil {
		_ = w.srv.Close()
	}
}

func problem(rw http.ResponseWriter, code int, text string, more ...string) {
	rw.Header().Set("Content-Type", "application/json")
	for i := 0; i+1 < len(more); i += 2 {
		rw.Header().Set(more[i], more[i+1])
	}
	rw.WriteHeader(code)
	_ = json.NewEncoder(rw).Encode(map[string]string{"error": text})
}

func (w *Web) router() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	allow := map[string][]string{}
	for _, x := range Routes {
		r.Methods(x.verb).Path(x.path).HandlerFunc(w.serve(x.name))
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
	r.PathPrefix("/v1/").HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { problem(rw, 404, "no such door in the API") })
	r.PathPrefix("/").HandlerFunc(w.serve("app"))
	return r
}

func (w *Web) serve(name string) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, BodyMost))
		if err != nil {
			var big *http.MaxBytesError
			if errors.As(err, &big) {
				problem(rw, 413, "larger than is taken here")
				return
			}
			problem(rw, 400, "the request broke off")
			return
		}
		c := flow.Call{ID: w.ids.Add(1), Name: name, Vars: mux.Vars(req), Query: map[string]string{}, Head: map[string]string{},
			Verb: req.Method, Path: req.URL.EscapedPath(), Body: body}
		for k, v := range req.URL.Query() {
			c.Query[k] = v[0]
		}
		c.Query["?"] = req.URL.RawQuery
		for _, k := range []string{"Content-Type", "Accept", "Idempotency-Key"} {
			if v := req.Header.Get(k); v != "" {
				c.Head[k] = v
			}
		}
		x := &call{parts: make(chan flow.Reply, WatchMost)}
		w.mu.Lock()
		w.open[c.ID] = x
		w.mu.Unlock()
		defer func() {
			w.mu.Lock()
			delete(w.open, c.ID)
			w.mu.Unlock()
		}()
		if !w.In(flow.Event{Call: &c}) {
			problem(rw, 503, "too much at once", "Retry-After", "1")
			return
		}
		w.answer(rw, req, c.ID, x)
	}
}

func (w *Web) answer(rw http.ResponseWriter, req *http.Request, id uint64, x *call) {
	first := true
	for {
		select {
		case <-req.Context().Done():
			w.In(flow.Event{Gone: id})
			return
		case p, ok := <-x.parts:
			if !ok {
				// Only a watcher that lags gets here: the reason, then the end.
				_, _ = rw.Write([]byte(`{"end":"too slow: the watcher fell behind"}` + "\n"))
				w.In(flow.Event{Gone: id})
				return
			}
			if first {
				for k, v := range p.Head {
					rw.Header().Set(k, v)
				}
				rw.WriteHeader(p.Code)
				first = false
			}
			ctl := http.NewResponseController(rw)
			if p.More {
				_ = ctl.SetWriteDeadline(time.Now().Add(10 * time.Second))
			}
			if _, err := rw.Write(p.Body); err != nil {
				w.In(flow.Event{Gone: id})
				return
			}
			if !p.More {
				return
			}
			_ = ctl.Flush()
		}
	}
}

// Reply hands an answer to the task that owns the request. It never waits.
func (w *Web) Reply(p flow.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.open[p.ID]
	if x == nil || x.slow {
		return
	}
	select {
	case x.parts <- p:
	default:
		x.slow = true
		close(x.parts)
	}
}
