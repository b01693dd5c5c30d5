// Package serve puts the stand-ins behind HTTP, each in a process of its own.
package serve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/dialect"
	"fernlink/rig/standin"
	"fernlink/shell/clock"
)

// Run serves until the process is ended.
func Run(addr string, h http.Handler) error {
	socket, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return http.Serve(socket, h)
}

func give(w http.ResponseWriter, code int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(code)
	_, _ = w.Write(body)
}

func toJSON(v any) []byte { b, _ := json.Marshal(v); return b }

// Engine serves a model engine.
type Engine struct {
	mu   sync.Mutex
	core *standin.Engine
	outs map[uint64]chan standin.Event
	next uint64
}

// NewEngine starts the engine's own time.
func NewEngine(core *standin.Engine) *Engine {
	engine := &Engine{core: core, outs: map[uint64]chan standin.Event{}}
	go func() {
		for range time.Tick(time.Millisecond) {
			engine.mu.Lock()
			engine.give(engine.core.Advance(clock.Now()))
			engine.mu.Unlock()
		}
	}()
	return engine
}

func (e *Engine) give(evs []standin.Event) {
	for _, ev := range evs {
		if c := e.outs[ev.Job]; c != nil {
			select {
			case c <- ev:
			default: // a reader this slow is as good as gone
			}
		}
	}
}

// ServeHTTP is the engine's listeners.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	listeners := map[string]http.HandlerFunc{
		"GET /load": func(w http.ResponseWriter, _ *http.Request) {
			e.mu.Lock()
			defer e.mu.Unlock()
			give(w, 200, toJSON(e.core.Load()))
		},
		"GET /truth": func(w http.ResponseWriter, _ *http.Request) {
			e.mu.Lock()
			defer e.mu.Unlock()
			give(w, 200, toJSON(map[string]int{"reused": e.core.Reused, "prefill_tokens": e.core.Prefills, "hit_tokens": e.core.Hits,
				"starts": e.core.Starts, "swaps": e.core.Swaps, "orders": len(e.core.Orders)}))
		},
		"POST /weights": func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			e.mu.Lock()
			defer e.mu.Unlock()
			code, evs := e.core.Order(clock.Now(), b)
			e.give(evs)
			give(w, code, []byte(`{}`))
		},
		"POST /v1/completions": e.complete,
	}
	if f, ok := listeners[r.Method+" "+r.URL.Path]; ok {
		f(w, r)
		return
	}
	give(w, 404, []byte(`{}`))
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	events := make(chan standin.Event, 4096)
	e.mu.Lock()
	e.next++
	id := e.next
	ok := e.core.Start(clock.Now(), id, body)
	if ok {
		e.outs[id] = events
	}
	e.mu.Unlock()
	if !ok {
		give(w, 503, []byte(`{"error":"loading weights"}`))
		return
	}
	defer func() {
		e.mu.Lock()
		delete(e.outs, id)
		e.core.Stop(clock.Now(), id)
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	ctl := http.NewResponseController(w)
	_ = ctl.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case ev := <-events:
			if ev.End {
				return
			}
			if _, err := fmt.Fprintf(w, "data: %s\n\n", ev.Data); err != nil {
				return
			}
			_ = ctl.Flush()
		}
	}
}

// App serves an application engine.
func App(core *standin.App) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		switch r.URL.Path {
		case "/load":
			give(w, 200, toJSON(core.Load()))
		case "/truth":
			give(w, 200, toJSON(core.Ran))
		default:
			give(w, 200, core.Serve(r.Method, r.URL.Path, body))
		}
	})
}

// Judge serves a judge.
func Judge(core *standin.Judge) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		mu.Lock()
		code, out := core.Score(b)
		mu.Unlock()
		give(w, code, out)
	})
}

// Platform serves the platform list; PUT /engines replaces it.
func Platform(core *standin.Platform) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.Method == "PUT" {
			b, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			list, err := dialect.List(b)
			if err != nil {
				give(w, 400, []byte(`{}`))
				return
			}
			core.Engines = list
		}
		give(w, 200, core.Body())
	})
}
