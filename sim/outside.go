package sim

import (
	"fmt"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/sorted"
	"fernlink/rig/standin"
)

// Outside is engines, judge and platform list in virtual time, with the truth
// about what reached them.
type Outside struct {
	w       *World
	Model   map[string]*Model // by host part of the URL
	App     map[string]*AppHost
	Judge   *standin.Judge
	Hang    bool // the judge answers nothing
	List    standin.Platform
	ListLag time.Duration
	shown   standin.Platform

	Gone map[string]time.Duration // engine id: since when the shown list says draining or nothing
	Ends map[string]time.Duration // step: when its end was acknowledged
	Runs int
	// OnSend sees each send as it is made, before it is written.
	OnSend func(*Host, flow.Send)
	// Whole checks a text that the judge is sent, if set.
	Whole func(dialect.JudgeAsk) error
	Site  *Site // the users' platform, where the fleet serves on it
	conns *connections
}

// Model is a model engine on its machine.
type Model struct {
	*standin.Engine
	Name  string
	Zone  string
	Up    bool
	Slow  float64
	Stale time.Duration // how old its load reports are when they arrive
	Gone  time.Duration // when it vanishes, if it was told
	Lie   string        // "", midway, weights, early, garbage
	jobs  map[uint64]*stream
	next  uint64
	life  int
	Begun []Begun
}

// Begun is one start of work on an engine.
type Begun struct {
	At     time.Duration
	Prompt string
}

type stream struct {
	said bool // a finish was passed on
	h    *Host
	life int
	id   uint64
	sent int
}

// over passes a finish on, once, and swallows what comes after it.
func (s *stream) over(*standin.Event) bool {
	was := s.said
	s.said = true
	return was
}

// AppHost is an application engine on its machine.
type AppHost struct {
	*standin.App
	Name  string
	Up    bool
	Slow  time.Duration
	Break bool // runs the request, then breaks the connection
	life  int
	Begun []time.Duration
}

func newOutside(w *World) *Outside {
	return &Outside{w: w, Model: map[string]*Model{}, App: map[string]*AppHost{}, Judge: standin.NewJudge(), conns: newConnections(),
		Gone: map[string]time.Duration{}, Ends: map[string]time.Duration{}}
}

// AddModel puts a model engine into the world and on the list.
func (o *Outside) AddModel(id, pool, zone string, rev int) *Model {
	addr := fmt.Sprintf("10.1.0.%d:80", len(o.Model)+1)
	m := &Model{Engine: standin.NewEngine(id, id+"-1", pool, rev), Name: id, Zone: zone, Up: true, Slow: 1, jobs: map[uint64]*stream{}, life: 1}
	o.Model[addr] = m
	o.List.Engines = append(o.List.Engines, dialect.Listed{ID: id, URL: "http://" + addr, Kind: "model", Pool: pool, Zone: zone, State: "ready"})
	o.shown.Engines = append([]dialect.Listed(nil), o.List.Engines...)
	o.w.Every(10*time.Millisecond, func() bool {
		if m.Up {
			m.Pace.Decode = time.Duration(float64(standin.Usual.Decode) * m.Slow)
			o.give(m, m.Advance(o.w.Now))
		}
		return true
	})
	return m
}

// AddApp puts an application engine into the world and on the list.
func (o *Outside) AddApp(id, pool, zone string) *AppHost {
	addr := fmt.Sprintf("10.2.0.%d:80", len(o.App)+1)
	a := &AppHost{App: standin.NewApp(id, id+"-1"), Name: id, Up: true, life: 1}
	o.App[addr] = a
	o.List.Engines = append(o.List.Engines, dialect.Listed{ID: id, URL: "http://" + addr, Kind: "app", Pool: pool, Zone: zone, State: "ready"})
	o.shown.Engines = append([]dialect.Listed(nil), o.List.Engines...)
	return a
}

// Relist changes the platform list; it is shown after the list's own lag.
func (o *Outside) Relist(f func(*dialect.Listed) bool) {
	var next []dialect.Listed
	for _, l := range o.List.Engines {
		if f(&l) {
			next = append(next, l)
		}
	}
	o.List.Engines = next
	o.w.After(o.ListLag, func() {
		o.shown.Engines = append([]dialect.Listed(nil), next...)
		ready := map[string]bool{}
		for _, l := range next {
			ready[l.ID] = l.State == "ready"
		}
		for _, m := range o.names() {
			if ready[m] {
				delete(o.Gone, m)
			} else if _, ok := o.Gone[m]; !ok {
				o.Gone[m] = o.w.Now
			}
		}
	})
}

func (o *Outside) names() []string {
	var out []string
	for _, m := range o.Model {
		out = append(out, m.Name)
	}
	for _, a := range o.App {
		out = append(out, a.Name)
	}
	sort.Strings(out)
	return out
}

// Models lists the model engines in order.
func (o *Outside) Models() []*Model {
	var out []*Model
	for _, m := range o.Model {
		out = append(out, m)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Apps lists the application engines in order.
func (o *Outside) Apps() []*AppHost {
	var out []*AppHost
	for _, a := range o.App {
		out = append(out, a)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Crash ends an engine; its streams break and its cache is gone. The next
// start is a new incarnation with the weights it was installed with.
func (o *Outside) Crash(m *Model, rev int) {
	m.Up = false
	m.life++
	for _, id := range sorted.Keys(m.jobs) {
		o.broken(m, id)
	}
	e := standin.NewEngine(m.ID, fmt.Sprintf("%s-%d", m.ID, m.life), m.Pool, rev)
	e.KeepCache, e.Blocks, e.Slots = m.KeepCache, m.Blocks, m.Slots
	e.Reused, e.Orders, e.Starts, e.Swaps = m.Reused, m.Orders, m.Starts, m.Swaps
	e.Hits, e.Prefills, e.Made = m.Hits, m.Prefills, m.Made
	m.Engine, m.jobs = e, map[uint64]*stream{}
}

// Rise starts a crashed engine.
func (o *Outside) Rise(m *Model) { m.Up = true }

func (o *Outside) broken(m *Model, id uint64) {
	s := m.jobs[id]
	delete(m.jobs, id)
	o.back(m.Name, s.h, s.life, flow.Back{ID: s.id, End: true, Err: "connection reset", Failure: flow.Reset})
}

// back tells a host's process what came of its send.
func (o *Outside) back(from string, h *Host, life int, b flow.Back) {
	if h.life == life && h.mute[b.ID] {
		return // bytes of this connection were lost before: it hangs
	}
	passed := o.w.Net.Flow(from, h.Name, func() { o.took(h, life, b) })
	if !passed && h.life == life {
		h.mute[b.ID] = true
	}
}

// took has a host's process hear news of a send that is open.
func (o *Outside) took(h *Host, life int, b flow.Back) {
	if h.life != life {
		return
	}
	if _, open := h.sends[b.ID]; !open {
		return
	}
	if b.End {
		delete(h.sends, b.ID)
		o.conns.ended(h, life, b.ID, b.Err == "")
	}
	o.w.trace(h.Name, "back", b.ID, len(b.Event), b.Code, b.Err)
	h.offer(life, flow.Event{Back: &b})
}

// send carries out a Send of a host. Between its making and its writing the
// host may freeze; the gate on its own clock decides then.
func (o *Outside) send(h *Host, life int, s flow.Send) {
	h.sends[s.ID] = func() {}
	if o.OnSend != nil {
		o.OnSend(h, s)
	}
	// A limit ends what nobody ended before.
	o.w.After(time.Duration(float64(s.Limit-h.clock())/h.rate)+time.Millisecond, func() { o.limit(h, life, s.ID) })
	o.w.After(o.w.between(50*time.Microsecond, 400*time.Microsecond), func() { o.write(h, life, s) })
}

func (o *Outside) limit(h *Host, life int, id uint64) {
	if h.life != life {
		return
	}
	f, open := h.sends[id]
	if !open {
		return
	}
	if h.Froze {
		// The timer goes off on waking, before or after other tasks go on.
		o.w.After(o.w.between(500*time.Microsecond, 3*time.Millisecond), func() { o.limit(h, life, id) })
		return
	}
	f()
	delete(h.sends, id)
	o.conns.ended(h, life, id, false)
	h.offer(life, flow.Event{Back: &flow.Back{ID: id, End: true, Err: "limit", Failure: flow.TimedOut}})
}

func (o *Outside) write(h *Host, life int, s flow.Send) {
	if h.life != life {
		return
	}
	if _, open := h.sends[s.ID]; !open {
		return
	}
	if h.Froze {
		o.w.After(time.Millisecond, func() { o.write(h, life, s) })
		return
	}
	fail := func(why string) {
		delete(h.sends, s.ID)
		h.offer(life, flow.Event{Back: &flow.Back{ID: s.ID, End: true, Err: why, Failure: flow.Unsent}})
	}
	if h.clock() >= s.Until {
		fail("too late to start")
		return
	}
	u, err := url.Parse(s.URL)
	if err != nil {
		fail("bad address")
		return
	}
	to := o.target(u.Host)
	if to.name == "" || !to.up {
		if o.w.Rand.Intn(2) == 0 || to.name == "" {
			fail("connection refused")
		}
		return // the machine is gone: nothing answers until the limit
	}
	if !o.w.Net.Open(h.Name, to.name) || !o.w.Net.Open(to.name, h.Name) {
		return // no connection comes about
	}
	o.w.Net.Flow(h.Name, to.name, func() {
		if h.life != life || h.sends[s.ID] == nil {
			return
		}
		o.conns.carry(h, life, u.Host, s)
		to.serve(h, life, s, u.Path)
	})
}

// asked checks that the judge only ever sees whole texts.
func (o *Outside) asked(body []byte) {
	var a dialect.JudgeAsk
	_ = json.Unmarshal(body, &a)
	if o.Whole == nil {
		return
	}
	if err := o.Whole(a); err != nil {
		o.w.Wrong("the judge was sent %s/%s/%d: %v", a.Step, a.Group, a.Sample, err)
	}
}

type target struct {
	name  string
	up    bool
	serve func(*Host, int, flow.Send, string)
}

func (o *Outside) target(host string) target {
	if o.Site != nil {
		return o.Site.target(host)
	}
	if m := o.Model[host]; m != nil {
		return target{m.Name, m.Up, func(h *Host, life int, s flow.Send, path string) { o.model(m, h, life, s, path) }}
	}
	if a := o.App[host]; a != nil {
		return target{a.Name, a.Up, func(h *Host, life int, s flow.Send, path string) { o.app(a, h, life, s, path) }}
	}
	if host == "10.3.0.1:80" {
		return target{"judge", true, func(h *Host, life int, s flow.Send, _ string) {
			if o.Hang {
				return
			}
			o.asked(s.Body)
			code, b := o.Judge.Score(s.Body)
			o.w.After(o.w.between(time.Millisecond, 50*time.Millisecond), func() {
				o.back("judge", h, life, flow.Back{ID: s.ID, End: true, Code: code, Body: b})
			})
		}}
	}
	if host == "10.3.0.2:80" {
		return target{"platform", true, func(h *Host, life int, s flow.Send, _ string) {
			o.back("platform", h, life, flow.Back{ID: s.ID, End: true, Code: 200, Body: o.shown.Body()})
		}}
	}
	return target{}
}

func toJSON(v any) []byte { b, _ := json.Marshal(v); return b }

func (o *Outside) model(m *Model, h *Host, life int, s flow.Send, path string) {
	if !m.Up {
		return
	}
	listeners := map[string]func(){
		"/load": func() {
			if m.Leaves = 0; m.Gone > o.w.Now {
				m.Leaves = (m.Gone - o.w.Now).Milliseconds()
			}
			b := flow.Back{ID: s.ID, End: true, Code: 200, Body: toJSON(m.Load())}
			late := m.Stale
			if !h.Has("dispatcher") {
				late = 0 // the slow way is the dispatchers'
			}
			o.w.After(late, func() { o.back(m.Name, h, life, b) })
		},
		"/weights": func() {
			code, evs := m.Order(o.w.Now, s.Body)
			o.give(m, evs)
			o.back(m.Name, h, life, flow.Back{ID: s.ID, End: true, Code: code, Body: []byte("{}")})
		},
		"/v1/completions": func() { o.complete(m, h, life, s) },
	}
	if f, ok := listeners[path]; ok {
		f()
		return
	}
	o.back(m.Name, h, life, flow.Back{ID: s.ID, End: true, Code: 404})
}

func (o *Outside) complete(m *Model, h *Host, life int, s flow.Send) {
	var a struct {
		Prompt string `json:"prompt"`
	}
	_ = json.Unmarshal(s.Body, &a)
	m.Begun = append(m.Begun, Begun{o.w.Now, a.Prompt})
	o.Runs++
	m.next++
	id := m.next
	if !m.Start(o.w.Now, id, s.Body) {
		o.back(m.Name, h, life, flow.Back{ID: s.ID, End: true, Code: 503})
		return
	}
	m.jobs[id] = &stream{h: h, life: life, id: s.ID}
	now := m.life
	h.sends[s.ID] = func() {
		// The end of the connection gets there if the way is open.
		o.w.Net.Flow(h.Name, m.Name, func() {
			if m.life == now && m.jobs[id] != nil {
				delete(m.jobs, id)
				m.Stop(o.w.Now, id)
			}
		})
	}
}

// give streams an engine's events, as truly as the engine is honest.
func (o *Outside) give(m *Model, evs []standin.Event) {
	for _, e := range evs {
		s := m.jobs[e.Job]
		if s == nil {
			continue
		}
		s.sent++
		if f, ok := lies[m.Lie]; ok && f(o, m, s, &e) {
			continue
		}
		if e.End {
			delete(m.jobs, e.Job)
			o.back(m.Name, s.h, s.life, flow.Back{ID: s.id, End: true, Code: 200})
			continue
		}
		o.back(m.Name, s.h, s.life, flow.Back{ID: s.id, Event: e.Data, Code: 200})
	}
}

// lies are what a faulty engine does; true means the event is used up.
var lies map[string]func(*Outside, *Model, *stream, *standin.Event) bool

func init() {
	lies = map[string]func(*Outside, *Model, *stream, *standin.Event) bool{
		"early": func(o *Outside, m *Model, s *stream, e *standin.Event) bool {
			if s.sent < 5 {
				return false
			}
			job := e.Job
			delete(m.jobs, job)
			m.Stop(o.w.Now, job)
			o.back(m.Name, s.h, s.life, flow.Back{ID: s.id, End: true, Code: 200}) // a clean end, too soon
			return true
		},
		"lastword": func(o *Outside, m *Model, s *stream, e *standin.Event) bool {
			// Everything but the end mark: the text was said to be finished.
			return !strings.Contains(string(e.Data), `"finish_reason":null`) && !e.End && s.over(e)
		},
		"garbage": func(o *Outside, m *Model, s *stream, e *standin.Event) bool {
			if s.sent == 4 {
				e.Data = []byte(`{"choices":[{"text":`)
			}
			return false
		},
		"weights": func(o *Outside, m *Model, s *stream, e *standin.Event) bool {
			if s.sent > 3 && !e.End {
				e.Data = []byte(strings.Replace(string(e.Data), fmt.Sprintf(`"weights_revision":%d`, m.Rev), fmt.Sprintf(`"weights_revision":%d`, m.Rev+1), 1))
			}
			return false
		},
		"silent": func(o *Outside, m *Model, s *stream, e *standin.Event) bool {
			e.Data = []byte(strings.Replace(string(e.Data), `"weights_revision"`, `"other"`, 1))
			return false
		},
	}
}

func (o *Outside) app(a *AppHost, h *Host, life int, s flow.Send, path string) {
	if !a.Up {
		return
	}
	if path == "/load" {
		o.back(a.Name, h, life, flow.Back{ID: s.ID, End: true, Code: 200, Body: toJSON(a.Load())})
		return
	}
	a.Begun = append(a.Begun, o.w.Now)
	a.Open++
	now := a.life
	o.w.After(o.w.between(time.Millisecond, 20*time.Millisecond)+a.Slow, func() {
		if a.life != now {
			return // it crashed before it ran this
		}
		a.Open--
		b := a.Serve(s.Verb, path, s.Body)
		if a.Break {
			o.back(a.Name, h, life, flow.Back{ID: s.ID, End: true, Err: "connection reset", Failure: flow.Reset})
			return
		}
		o.back(a.Name, h, life, flow.Back{ID: s.ID, End: true, Code: 200, Head: map[string]string{"Content-Type": "application/json"}, Body: b})
	})
}

// CrashApp ends an application engine and what is under way on it.
func (o *Outside) CrashApp(a *AppHost) { a.Up = false; a.life++; a.Open = 0 }

// RiseApp starts it again.
func (o *Outside) RiseApp(a *AppHost) {
	a.Up = true
	a.Inc = fmt.Sprintf("%s-%d", a.ID, a.life)
}
