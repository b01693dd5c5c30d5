package serve

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
)

// world is one serving side over a real ledger that commits at once, with
// engines that the story drives by hand.
type world struct {
	t      testing.TB
	s      *Serve
	asker  *ask.Asker
	now    flow.Time
	led    *ledger.Ledger
	index  uint64
	blobs  map[flow.Ref][]byte
	have   uint64
	fresh  bool
	acting bool
	viewed flow.Time                     // when the newest renewal was sent
	silent bool                          // the store answers nothing
	told   map[ledger.Kind]ledger.Result // what the store's leader answers to asks that are not the ledger's
	others []gossip.Entry                // other live dispatchers
	cpu    int
	lines  []flow.Line // what was said to other nodes
	seats  []dialect.Seat

	sends   map[uint64]flow.Send
	order   []uint64
	cuts    map[uint64]bool
	replies []flow.Reply
	notes   []flow.Note
	calls   uint64
	version uint64
}

func words() dialect.Codec {
	return dialect.Codec{
		Words: dialect.Words{Attempt: "Try", TimeLeft: "Left", Instance: "Inst", Expect: "Expect", ExpectWeights: "Expect-W", NotRun: "Not-Run",
			Seal: "Seal", Load: "Load", LastEvent: "Last-Event-Id", Weights: "Weights", Model: "Model", Tokens: "Tokens", Prompt: "Prompt", Wait: "Wait",
			After: "after", Item: "item"},
		ListURL: "http://list/engines", ListQuery: func(p string) string { return "" },
		ReadList:   func(b []byte) (s []dialect.Seat, next string, err error) { err = json.Unmarshal(b, &s); return },
		ReadReport: func(b []byte) (r dialect.Report, err error) { err = json.Unmarshal(b, &r); return },
		ReportPath: "/report", OrderPath: "/order",
		WriteOrder: func(o dialect.WeightOrder) []byte { b, _ := json.Marshal(o); return b },
		ReadLot: func(id string, b []byte) (d ledger.LotDoc, err error) {
			err = json.Unmarshal(b, &d)
			d.ID = id
			return
		},
		WritePage: func(p dialect.LotPage) []byte { b, _ := json.Marshal(p); return b },
	}
}

func newWorld(t testing.TB) *world { return newWorldOf(t, "me.0") }

// newWorldOf is the world of a node of another name.
func newWorldOf(t testing.TB, id string) *world {
	w := &world{t: t, asker: ask.New(0), led: ledger.New(), blobs: map[flow.Ref][]byte{}, fresh: true, now: time.Second,
		sends: map[uint64]flow.Send{}, cuts: map[uint64]bool{}}
	ids := uint64(0)
	w.s = New(Config{ID: id, Zone: "a", Codec: words(), Asker: w.asker, Rand: rand.New(rand.NewSource(1)), Keep: time.Minute,
		IDs:    func() uint64 { ids++; return ids },
		Fresh:  func() bool { return w.fresh },
		ViewAt: func() flow.Time { return w.viewed },
		Acting: func() (uint64, flow.Time, bool) { return 7, w.now + time.Second, w.acting }})
	w.turn(0)
	return w
}

// turn lets time go on by d and runs one tick, and what it asks of the store.
func (w *world) turn(d flow.Time) {
	w.now += d
	var out flow.Outbox
	w.s.Advance(w.now, append(w.others, gossip.Entry{ID: "me", Addr: "me", Roles: []string{"dispatcher"}, Cpu: w.cpu}), &out)
	w.take(&out)
}

// pass runs ticks until d is over.
func (w *world) pass(d flow.Time) {
	for ; d > 0; d -= 10 * time.Millisecond {
		w.turn(10 * time.Millisecond)
	}
}

func (w *world) take(out *flow.Outbox) {
	for range 8 {
		w.asker.Advance(w.now, []string{"store"}, out)
		lines := out.Lines
		out.Lines = nil
		for _, x := range out.Sends {
			if strings.HasPrefix(x.URL, "http://list") {
				b, _ := json.Marshal(w.seats)
				w.s.Back(w.now, flow.Back{ID: x.ID, End: true, Code: 200, Body: b}, out)
				continue
			}
			w.sends[x.ID] = x
			w.order = append(w.order, x.ID)
		}
		out.Sends = nil
		for _, id := range out.Cuts {
			w.cuts[id] = true
			delete(w.sends, id)
		}
		out.Cuts = nil
		w.replies = append(w.replies, out.Replies...)
		out.Replies = nil
		w.s.Bind(w.now, out)
		w.lines = append(w.lines, lines...)
		for _, l := range lines {
			if l.Kind == "ask" && !w.silent {
				var a ask.Ask
				_ = json.Unmarshal(l.Body, &a)
				r := w.answer(a)
				w.asker.Take(w.now, "store", ask.Told{ID: a.ID, Code: r.Code, Body: r.Body})
			}
		}
		w.notes, out.Notes = append(w.notes, out.Notes...), nil
		if len(out.Lines)+len(out.Sends)+len(out.Replies)+len(out.Cuts) == 0 {
			return
		}
	}
}

func (w *world) answer(a ask.Ask) ledger.Result {
	var r ledger.Result
	if told, ok := w.told[a.Kind]; ok {
		return told
	}
	if ledger.Knows(a.Kind) {
		w.index++
		b, _ := json.Marshal(ledger.Command{Kind: a.Kind, At: w.now.Milliseconds(), Body: a.Body})
		r = w.led.Apply(w.index, b)
		if x, any := w.led.Box(); any {
			for _, i := range x.Put {
				w.blobs[i.Ref] = i.Body
			}
		}
	} else {
		r = w.led.Query(a.Kind, a.Body)
	}
	if len(r.Need) > 0 {
		var items [][]byte
		for _, n := range r.Need {
			items = append(items, w.blobs[n])
		}
		r = r.With(items)
	}
	return r
}

// renew tells the serving side what changed in the ledger.
func (w *world) renew(p *api.Plan) {
	if p != nil {
		w.version++
	}
	d := w.led.Since(w.have)
	w.have, w.viewed = d.Index, w.now
	var out flow.Outbox
	w.s.Bind(w.now, &out)
	w.s.Heard(w.now, d, w.version, p)
	w.take(&out)
}

// list puts engines on the platform's list and has them read.
func (w *world) list(seats ...dialect.Seat) {
	w.seats = seats
	w.pass(2 * time.Second)
}

// line has another node say something.
func (w *world) line(kind string, body any) {
	var out flow.Outbox
	raw, _ := json.Marshal(body)
	w.s.Line(w.now, flow.Line{Kind: kind, Addr: "other", Body: raw}, &out)
	w.take(&out)
	w.turn(0)
}

func (w *world) call(name string, c flow.Call) uint64 {
	w.calls++
	c.ID, c.Name = w.calls, name
	if c.Query == nil {
		c.Query = map[string]string{}
	}
	var out flow.Outbox
	w.s.Call(w.now, c, &out)
	w.take(&out)
	return c.ID
}

// ask makes a plain request on a host's path.
func (w *world) ask(host, path string, left int) uint64 {
	id := strconv.FormatUint(w.calls+1, 10)
	return w.call("request", flow.Call{Host: host, Verb: "POST", Path: path, Body: []byte("q"),
		Fields: []flow.Field{{Name: "Try", Value: "t" + id}, {Name: "Left", Value: strconv.Itoa(left)}}})
}

// reply gives the newest answer to a call, or code 0.
func (w *world) reply(id uint64) flow.Reply {
	for i := len(w.replies) - 1; i >= 0; i-- {
		if w.replies[i].ID == id {
			return w.replies[i]
		}
	}
	return flow.Reply{}
}

// at gives the open sends to an engine's address, oldest first.
func (w *world) at(addr string) []flow.Send {
	var out []flow.Send
	for _, id := range w.order {
		if x, ok := w.sends[id]; ok && strings.HasPrefix(x.URL, "http://"+addr+"/") {
			out = append(out, x)
		}
	}
	return out
}

func (w *world) back(b flow.Back) {
	if b.End {
		delete(w.sends, b.ID)
	}
	var out flow.Outbox
	w.s.Back(w.now, b, &out)
	w.take(&out)
}

// end answers a send whole.
func (w *world) end(x flow.Send, code int, body string, fields ...flow.Field) {
	w.back(flow.Back{ID: x.ID, End: true, Code: code, Body: []byte(body), Fields: fields})
}

// fail breaks a send off.
func (w *world) fail(x flow.Send, unsent bool) {
	why := flow.Reset
	if unsent {
		why = flow.Unsent
	}
	w.back(flow.Back{ID: x.ID, End: true, Err: why.String(), Failure: why})
}

// head opens a stream under a version of the weights.
func (w *world) head(x flow.Send, v int) {
	w.back(flow.Back{ID: x.ID, Open: true, Code: 200, Fields: []flow.Field{{Name: "Weights", Value: strconv.Itoa(v)}}})
}

// event sends one event of a stream.
func (w *world) event(x flow.Send, id int, data string, more ...string) {
	w.back(flow.Back{ID: x.ID, Event: []byte(strings.Join(append(more, fmt.Sprintf("id: %d\ndata: %s", id, data)), "\n"))})
}

// done ends a stream cleanly.
func (w *world) done(x flow.Send) { w.back(flow.Back{ID: x.ID, End: true, Code: 200}) }

func seat(id, addr, pool string, slots int, models ...string) dialect.Seat {
	s := dialect.Seat{ID: id, Addr: addr, Pool: pool, Zone: "a", Slots: slots}
	for _, m := range models {
		if s.Models == nil {
			s.Models = map[string]int{}
		}
		s.Models[m] = 1
	}
	return s
}

func plan(routes ...api.Route) *api.Plan {
	return &api.Plan{Pools: []api.Pool{{Name: "app", Kind: "app"}, {Name: "llm", Kind: "model", Models: []string{"m"}}}, Routes: routes}
}

func (w *world) want(ok bool, text string, args ...any) {
	w.t.Helper()
	if !ok {
		w.t.Fatalf(text, args...)
	}
}

// gone has the caller of a call go away.
func (w *world) gone(call uint64) {
	var out flow.Outbox
	w.s.Gone(w.now, call, &out)
	w.take(&out)
}
