// Package web takes HTTP/1.1 from callers, trainers and operators (design 10.1), turns
// each request into a flow.Call and writes its answer. It owns the listeners, their
// connections and the limits of what a client may send, and decides nothing about a
// request. shell/run opens it and hands it the core's replies.
package web

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/core/listener"
	"fernlink/shell/room"
)

// WatchMost is the lines a slow watcher may lag, StreamMost the parts that a
// slow reader at a listener may lag, and LagMost how many bytes of them. Where the answers of
// all have no room any more, a reader that lags by more than its part of it, and by LagLeast,
// gets no more either.
const (
	WatchMost  = 256
	StreamMost = 1024
	LagMost    = 16 << 20
	LagLeast   = 32 << 10
)

// writeWait is how long one part of an answer may take to be written.
const writeWait = 10 * time.Second

// Options say where a web listens. In takes what comes, and is false when there
// is too much to do. Addr is the administration API's.
type Options struct {
	Addr      string
	In        func(flow.Event) bool
	Listeners []Listener
	Files     int        // descriptors of the process, 0 for what the system lets it have
	Memory    int64      // bytes that the process may have, 0 where unknown
	Answers   *room.Room // for answers that wait for their readers; nil for LagMost
	Logger    log.Logger // of what the HTTP server has to say; nil for nobody
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
	usual   limits // of all others
	bodies  bodies
	answers *room.Room
	ending  atomic.Bool
	gate    sync.RWMutex // held for reading while a call is put in
	refuses bool         // no more calls are put in
	mu      sync.Mutex
	open    map[uint64]*call
	large   chan struct{} // has an element while a large call is under way
	servers []*http.Server
	sockets []net.Listener

	connections []*connections // of each listener
}

// limits are those in force at some listeners.
type limits = atomic.Pointer[Limits]

// side is what requests of one listener share: the parts that a slow reader may lag,
// and the limits.
type side struct {
	most   int
	limits *limits
}

// adminRoute is one route of the administration API, with the name of its calls.
type adminRoute struct{ verb, path, name string }

// Routes are the administration API.
var Routes = []adminRoute{
	{"GET", "/healthz", "healthz"},
	{"GET", "/status", "status"},
	{"GET", "/metrics", "metrics"},
	{"GET", "/v1/plan", "plan.get"},
	{"PUT", "/v1/plan", "plan.put"},
	{"PATCH", "/v1/plan", "plan.patch"},
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
func OpenListeners(options Options) (*Web, error) {
	web := &Web{In: options.In, open: map[uint64]*call{}, large: make(chan struct{}, 1)}
	web.bodies.most = options.Memory / bodiesPart
	if web.answers = options.Answers; web.answers == nil {
		web.answers = room.New(LagMost)
	}
	web.limits.Store(&Usual)
	web.usual.Store(&Usual)
	files, err := filesOf(options.Files)
	if err != nil {
		return nil, err
	}
	admin := side{WatchMost, &web.usual}
	callersToo := len(options.Listeners) == 0 // then callers and trainers come here as well
	sites := []site{{options.Addr, admin, web.admin(admin), connectionsMost(files, callersToo)}}
	for _, listener := range options.Listeners {
		shared := side{StreamMost, &web.usual}
		if listener.Rest != "" {
			shared.limits = &web.limits
		}
		sites = append(sites, site{listener.Addr, shared, web.listener(listener, shared), connectionsMost(files, listener.Rest != "")})
	}
	for _, site := range sites {
		socket, err := net.Listen("tcp", site.addr)
		if err != nil {
			for _, opened := range web.sockets {
				_ = opened.Close()
			}
			return nil, errors.Wrap(err, "web: listen")
		}
		web.sockets = append(web.sockets, socket)
	}
	for i, socket := range web.sockets {
		web.start(sites[i], socket, options.Logger)
	}
	return web, nil
}

// site is one address that is listened at.
type site struct {
	addr    string
	shared  side
	handler http.Handler
	most    int // connections
}

// start serves one address in a goroutine of its own.
func (w *Web) start(site site, socket net.Listener, logger log.Logger) {
	server := &http.Server{
		Handler: w.guard(site.handler, site.shared.limits), MaxHeaderBytes: headerMost,
		ConnState: state, ConnContext: withConn, DisableGeneralOptionsHandler: true,
	}
	if logger != nil {
		server.ErrorLog = stdlog.New(log.NewStdlibAdapter(log.With(level.Warn(logger), "part", "web")), "", 0)
	}
	w.servers = append(w.servers, server)
	open := &connections{most: site.most, open: map[*conn]struct{}{}}
	w.connections = append(w.connections, open)
	go func() { _ = server.Serve(&limitedListener{socket, site.shared.limits, open}) }()
}

// Addr is where the administration API listens (0) or a listener (1 and on, in the
// order of the options).
func (w *Web) Addr(i int) net.Addr { return w.sockets[i].Addr() }

// Drain has each answer from now on close its connection. New connections and
// requests are still served (design 5.5). Idle connections stay, since a
// request may be on its way there.
func (w *Web) Drain() { w.ending.Store(true) }

// CloseMost is how long answers that are under way at the end may take to be read. A process
// on the platform has a second for all that comes behind its core's stop.
const CloseMost = 800 * time.Millisecond

// Refuse puts no more calls in: requests that come from now on are refused, with their
// connections. Once it returns, all that were put in are.
func (w *Web) Refuse() {
	w.gate.Lock()
	defer w.gate.Unlock()
	w.refuses = true
}

// refusal is why a call is not put in, and when its caller may come again, in seconds.
type refusal struct{ why, again string }

var (
	stopping = &refusal{"this process stops", "0.05"} // elsewhere
	tooMuch  = &refusal{"too much at once", "1"}
	noLimits = &refusal{"this process knows no limits yet", "0.2"}
)

// put puts a call in, unless no more are or there is too much to do.
func (w *Web) put(call flow.Event) *refusal {
	w.gate.RLock()
	defer w.gate.RUnlock()
	if w.refuses {
		return stopping
	}
	if !w.In(call) {
		return tooMuch
	}
	return nil
}

// Close stops taking requests and gives open ones a moment to end. A client that keeps
// the server waiting is not waited for.
func (w *Web) Close(ctx context.Context) {
	w.Refuse()
	w.answerAll()
	ctx, quit := context.WithTimeout(ctx, CloseMost)
	defer quit()
	for _, open := range w.connections {
		open.endWaiting()
	}
	var wg sync.WaitGroup
	for _, server := range w.servers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		}()
	}
	wg.Wait()
}

// answerAll answers what the core has not: it ended by a failure, or too late. What became of
// such a call is not known; an answer that was begun must not look whole.
func (w *Web) answerAll() {
	w.mu.Lock()
	var begun, waiting []uint64
	for id, call := range w.open {
		if call.begun {
			begun = append(begun, id)
		} else {
			waiting = append(waiting, id)
		}
	}
	w.mu.Unlock()
	for _, id := range begun {
		w.Reply(flow.Reply{ID: id, Cut: true})
	}
	for _, id := range waiting {
		w.Reply(flow.Reply{ID: id, Code: http.StatusGatewayTimeout, Head: map[string]string{"Content-Type": "application/json"}, Body: []byte(`{"error":"this process has stopped; whether this was done is not known"}` + "\n")})
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
