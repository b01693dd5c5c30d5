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

// wholeMost is the largest body in bytes that is written without a deadline.
const wholeMost = 64 << 10

// call is a request that is being answered. The parts wait under the web's lock.
type call struct {
	parts []flow.Reply
	bytes int           // of the parts that wait or are being written: of the room
	most  int           // parts that may wait
	slow  bool          // more came than may wait: it gets no more
	begun bool          // a part came
	ended bool          // the last part came
	wake  chan struct{} // has an element when there is something to do
}

// serve turns a request into a call and writes its answer.
func (w *Web) serve(rw http.ResponseWriter, req *http.Request, route *Route, vars map[string]string, shared side) {
	if !w.bodies.room(req.ContentLength) {
		problem(rw, 503, "too much at once", "Retry-After", "1", "Connection", "close")
		return
	}
	held := &heldBody{of: &w.bodies}
	defer held.free()
	body, err := w.body(rw, req, shared.limits.Load(), held)
	if err == errLarge && w.unlimited(shared) {
		problem(rw, 503, noLimits.why, "Retry-After", noLimits.again, "Connection", "close")
		return
	}
	if err == errLarge {
		problem(rw, 413, "larger than is taken here", "Connection", "close")
		return
	}
	if err == errNoRoom {
		problem(rw, 503, "too much at once", "Retry-After", "1", "Connection", "close")
		return
	}
	if err != nil {
		problem(rw, 400, "the request broke off", "Connection", "close")
		return
	}
	if wasEvicted(req) {
		panic(http.ErrAbortHandler)
	}
	if route.Into != nil && len(body) >= largeCall {
		if !w.takeLarge(req.Context()) {
			problem(rw, 503, "too much at once", "Retry-After", "1")
			return
		}
		defer w.freeLarge()
	}
	request := callOf(req, route.Name, vars, body)
	id := w.ids.Add(1)
	request.ID = id
	if route.Into != nil {
		if reply := route.Into(request); reply != nil {
			reply.More = false
			_ = w.write(rw, req, *reply, true)
			return
		}
		request.ID = id
	}
	pending := &call{most: shared.most, wake: make(chan struct{}, 1)}
	w.track(id, pending)
	defer w.untrack(id)
	if refused := w.put(flow.Event{Call: request}); refused != nil {
		problem(rw, 503, refused.why, "Retry-After", refused.again)
		return
	}
	w.answer(rw, req, id, pending, route.Back)
}

// headOf are the headers that a call carries by name, besides all its fields.
var headOf = []string{"Content-Type", "Accept", "Idempotency-Key"}

// rawQuery is the key under which a call has its query as it was written.
const rawQuery = "?"

// callOf is a request as the core gets it.
func callOf(req *http.Request, name string, vars map[string]string, body []byte) *flow.Call {
	call := &flow.Call{
		Name: name, Host: hostOf(req.Host), Vars: vars, Query: map[string]string{}, Head: map[string]string{},
		Fields: fieldsOf(req.Header), Verb: req.Method, Path: pathOf(req), Body: body,
	}
	if req.URL.RawQuery != "" {
		for key, values := range req.URL.Query() {
			call.Query[key] = values[0]
		}
	}
	call.Query[rawQuery] = req.URL.RawQuery
	for _, key := range headOf {
		if value := req.Header.Get(key); value != "" {
			call.Head[key] = value
		}
	}
	return call
}

func (w *Web) track(id uint64, pending *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[id] = pending
}

func (w *Web) untrack(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freeParts(w.open[id])
	delete(w.open, id)
}

// freeParts gives back what the parts of a call hold; mu is held.
func (w *Web) freeParts(call *call) {
	w.answers.Free(int64(call.bytes))
	call.bytes = 0
}

// written says that a call's reader has taken a part.
func (w *Web) written(call *call, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	call.bytes -= bytes
	w.answers.Free(int64(bytes))
}

// fieldsOf gives the headers that pass on, in the order of their names.
func fieldsOf(header http.Header) []flow.Field {
	var hops []string
	for _, value := range header["Connection"] {
		hops = append(hops, field.Named(value)...)
	}
	fields := make([]flow.Field, 0, len(header))
	for name, values := range header {
		if field.Hop(name) || name == "Host" || slices.Contains(hops, name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, flow.Field{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(fields, func(a, b flow.Field) int { return strings.Compare(a.Name, b.Name) })
	return fields
}

// answer writes the parts of an answer as they come.
func (w *Web) answer(rw http.ResponseWriter, req *http.Request, id uint64, pending *call, back func(flow.Reply) flow.Reply) {
	gone := func() { w.In(flow.Event{Gone: id}) }
	for first := true; ; {
		select {
		case <-req.Context().Done():
			gone()
			return
		case <-pending.wake:
		}
		parts, slow := w.takeParts(pending)
		for _, reply := range parts {
			size := len(reply.Body)
			if first && back != nil && !reply.More && !reply.Cut {
				reply = back(reply)
			}
			if err := w.write(rw, req, reply, first); err != nil {
				gone()
				return
			}
			w.written(pending, size)
			first = false
			if !reply.More {
				return
			}
		}
		if slow {
			gone()
			endSlow(rw, pending)
			return
		}
	}
}

// takeParts takes what waits to be written, and says whether its reader lags too far.
func (w *Web) takeParts(pending *call) ([]flow.Reply, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := pending.parts
	pending.parts = nil
	return parts, pending.slow
}

// endSlow ends an answer whose reader lags: a watcher is told why.
func endSlow(rw http.ResponseWriter, pending *call) {
	if pending.most == StreamMost {
		panic(http.ErrAbortHandler) // what was sent must not look whole
	}
	_ = http.NewResponseController(rw).SetWriteDeadline(time.Now().Add(writeWait))
	_, _ = rw.Write([]byte(`{"end":"too slow: the watcher fell behind"}` + "\n"))
}

// write writes one part of an answer. It has only the headers that were given,
// and its connection's own.
func (w *Web) write(rw http.ResponseWriter, req *http.Request, reply flow.Reply, first bool) error {
	if reply.Cut {
		panic(http.ErrAbortHandler) // the connection closes without an end mark
	}
	if first {
		writeHead(rw, req, reply)
	}
	if first && !reply.More && len(reply.Body) <= wholeMost {
		return writeBody(rw, reply.Body) // it goes out at once and needs no deadline
	}
	controller := http.NewResponseController(rw)
	_ = controller.SetWriteDeadline(time.Now().Add(writeWait))
	err := writeBody(rw, reply.Body)
	if err == nil && reply.More {
		err = controller.Flush()
	}
	return err
}

// writeHead writes status and headers: those of the reply and no others.
func writeHead(rw http.ResponseWriter, req *http.Request, reply flow.Reply) {
	if reply.Code < 200 || reply.Code > 999 {
		reply.Code = 500
	}
	header := rw.Header()
	header["Content-Type"] = nil // else the server guesses one
	for key, value := range reply.Head {
		header.Set(key, value)
	}
	for _, f := range reply.Fields {
		if !field.Hop(textproto.CanonicalMIMEHeaderKey(f.Name)) {
			header[f.Name] = append(header[f.Name], f.Value)
		}
	}
	mayHaveBody := reply.Code != 204 && reply.Code != 304
	if !reply.More && mayHaveBody && (len(reply.Body) > 0 || req.Method != "HEAD") {
		header["Content-Length"] = []string{strconv.Itoa(len(reply.Body))}
	}
	rw.WriteHeader(reply.Code)
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

// lagMost is how many bytes one reader may lag now; mu is held.
func (w *Web) lagMost() int {
	if w.answers.Held() < w.answers.Most() {
		return LagMost
	}
	return max(int(w.answers.Most())/(len(w.open)+1), LagLeast)
}

// Reply hands a part of an answer to the goroutine that owns the request. It never
// waits. A reader that lags too far gets no more.
func (w *Web) Reply(reply flow.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	call := w.open[reply.ID]
	if call == nil || call.slow || call.ended {
		return
	}
	call.begun, call.ended = true, !reply.More
	tooMany := len(call.parts) >= call.most
	tooLarge := len(call.parts) > 0 && call.bytes+len(reply.Body) > w.lagMost() && call.most == StreamMost
	if tooMany || tooLarge {
		call.slow = true
	} else {
		call.parts = append(call.parts, reply)
		call.bytes += len(reply.Body)
		w.answers.Add(int64(len(reply.Body)))
	}
	select {
	case call.wake <- struct{}{}:
	default:
	}
}
