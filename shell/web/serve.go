package web

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/shell/field"
)

// call is a request that is being answered. The parts wait under the web's lock.
type call struct {
	parts []flow.Reply
	bytes int
	most  int
	slow  bool
	wake  chan struct{}
}

// serve turns a request into a call and writes its answer.
func (w *Web) serve(rw http.ResponseWriter, req *http.Request, r *Route, vars map[string]string, s side) {
	if !w.bodies.room(req.ContentLength) {
		problem(rw, 503, "too much at once", "Retry-After", "1", "Connection", "close")
		return
	}
	body, err := w.body(rw, req, s.limits.Load())
	if err == errLarge {
		problem(rw, 413, "larger than is taken here", "Connection", "close")
		return
	}
	if err != nil {
		problem(rw, 400, "the request broke off", "Connection", "close")
		return
	}
	defer w.bodies.hold(len(body))()
	c := &flow.Call{ID: w.ids.Add(1), Name: r.Name, Host: hostOf(req.Host), Vars: vars, Query: map[string]string{}, Head: map[string]string{},
		Fields: fieldsOf(req.Header), Verb: req.Method, Path: pathOf(req), Body: body}
	if req.URL.RawQuery != "" {
		for k, v := range req.URL.Query() {
			c.Query[k] = v[0]
		}
	}
	c.Query["?"] = req.URL.RawQuery
	for _, k := range []string{"Content-Type", "Accept", "Idempotency-Key"} {
		if v := req.Header.Get(k); v != "" {
			c.Head[k] = v
		}
	}
	id := c.ID
	if r.Into != nil {
		if p := r.Into(c); p != nil {
			p.More = false
			_ = w.write(rw, req, *p, true)
			return
		}
		c.ID = id
	}
	x := &call{most: s.most, wake: make(chan struct{}, 1)}
	w.mu.Lock()
	w.open[id] = x
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.open, id)
		w.mu.Unlock()
	}()
	if !w.In(flow.Event{Call: c}) {
		problem(rw, 503, "too much at once", "Retry-After", "1")
		return
	}
	w.answer(rw, req, id, x, r.Back)
}

// fieldsOf gives the headers that pass on, in the order of their names.
func fieldsOf(h http.Header) []flow.Field {
	var skip []string
	for _, v := range h["Connection"] {
		skip = append(skip, field.Named(v)...)
	}
	out := make([]flow.Field, 0, len(h))
	for k, vs := range h {
		if field.Hop(k) || k == "Host" || slices.Contains(skip, k) {
			continue
		}
		for _, v := range vs {
			out = append(out, flow.Field{Name: k, Value: v})
		}
	}
	slices.SortStableFunc(out, func(a, b flow.Field) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// answer writes the parts of an answer as they come.
func (w *Web) answer(rw http.ResponseWriter, req *http.Request, id uint64, x *call, back func(flow.Reply) flow.Reply) {
	gone := func() { w.In(flow.Event{Gone: id}) }
	for first := true; ; {
		select {
		case <-req.Context().Done():
			gone()
			return
		case <-x.wake:
		}
		w.mu.Lock()
		parts, slow := x.parts, x.slow
		x.parts, x.bytes = nil, 0
		w.mu.Unlock()
		for _, p := range parts {
			if first && back != nil && !p.More && !p.Cut {
				p = back(p)
			}
			if err := w.write(rw, req, p, first); err != nil {
				gone()
				return
			}
			first = false
			if !p.More {
				return
			}
		}
		if slow {
			gone()
			if x.most == StreamMost {
				panic(http.ErrAbortHandler) // what was sent must not look whole
			}
			// A watcher that lags: the reason, then the end.
			_ = http.NewResponseController(rw).SetWriteDeadline(time.Now().Add(writeWait))
			_, _ = rw.Write([]byte(`{"end":"too slow: the watcher fell behind"}` + "\n"))
			return
		}
	}
}

// write writes one part of an answer. It has only the headers that were given,
// and its connection's own.
func (w *Web) write(rw http.ResponseWriter, req *http.Request, p flow.Reply, first bool) error {
	if p.Cut {
		panic(http.ErrAbortHandler) // the connection closes without an end mark
	}
	if first {
		if p.Code < 200 || p.Code > 999 {
			p.Code = 500
		}
		h := rw.Header()
		h["Content-Type"] = nil // else the server guesses one
		for k, v := range p.Head {
			h.Set(k, v)
		}
		for _, f := range p.Fields {
			if !field.Hop(textproto.CanonicalMIMEHeaderKey(f.Name)) {
				h[f.Name] = append(h[f.Name], f.Value)
			}
		}
		if !p.More && p.Code != 204 && p.Code != 304 && (len(p.Body) > 0 || req.Method != "HEAD") {
			h["Content-Length"] = []string{strconv.Itoa(len(p.Body))}
		}
		rw.WriteHeader(p.Code)
	}
	if first && !p.More && len(p.Body) <= 64<<10 {
		return writeBody(rw, p.Body) // it goes out at once, and bounds no task
	}
	ctl := http.NewResponseController(rw)
	_ = ctl.SetWriteDeadline(time.Now().Add(writeWait))
	err := writeBody(rw, p.Body)
	if err == nil && p.More {
		err = ctl.Flush()
	}
	return err
}

// writeBody writes bytes where the answer may have any.
func writeBody(rw http.ResponseWriter, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	_, err := rw.Write(b)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil
	}
	return err
}

// Reply hands an answer to the task that owns the request. It never waits. A
// reader that lags too far hears no more.
func (w *Web) Reply(p flow.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.open[p.ID]
	if x == nil || x.slow {
		return
	}
	if len(x.parts) >= x.most || len(x.parts) > 0 && x.bytes+len(p.Body) > LagMost && x.most == StreamMost {
		x.slow = true
	} else {
		x.parts, x.bytes = append(x.parts, p), x.bytes+len(p.Body)
	}
	select {
	case x.wake <- struct{}{}:
	default:
	}
}
