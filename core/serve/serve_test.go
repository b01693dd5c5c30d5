package serve

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/serve/route"
)

var (
	many    = api.Route{Name: "r", Host: "h", Path: "/a/", Kind: route.Again, Pool: "app", Timeout: 1000, TargetMS: 150, Tries: 2}
	once    = api.Route{Name: "o", Host: "h", Path: "/o/", Kind: route.Once, Pool: "app", Timeout: 1000, TargetMS: 150, Tries: 3}
	stream  = api.Route{Name: "s", Host: "h", Path: "/s/", Kind: route.Stream, Pool: "llm", Timeout: 5000, TargetMS: 400, Tries: 3, Resumable: true}
	samples = api.Route{Name: "l", Host: "h", Path: "/l/", Kind: route.Samples, Pool: "llm", Timeout: 5000, TargetMS: 500, Tries: 2, DueMS: 4000, WaitMS: 40000, Single: true}
)

func given(t *testing.T, seats ...dialect.Seat) *world {
	w := newWorld(t)
	w.list(seats...)
	w.renew(plan(many, once, stream, samples))
	return w
}

func two(t *testing.T) *world {
	return given(t, seat("e1", "10.0.0.1:1", "app", 4), seat("e2", "10.0.0.2:1", "app", 4),
		seat("m1", "10.0.1.1:1", "llm", 4, "m"), seat("m2", "10.0.1.2:1", "llm", 4, "m"))
}

func (w *world) app() []flow.Send { return append(w.at("10.0.0.1:1"), w.at("10.0.0.2:1")...) }
func (w *world) llm() []flow.Send { return append(w.at("10.0.1.1:1"), w.at("10.0.1.2:1")...) }

func TestAnAnswerPassesAsItCame(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/a/x", 500)
	x := w.app()
	w.want(len(x) == 1 && x[0].Match == "t1", "one send with the try's id: %v", x)
	w.want(flow.Get(x[0].Fields, "Expect") != "", "names the engine's start")
	left, _ := strconv.Atoi(flow.Get(x[0].Fields, "Left"))
	w.want(left > 400 && left <= 500, "carries the deadline on: %d", left)
	w.end(x[0], 201, "body", flow.Field{Name: "Seal", Value: "s"})
	r := w.reply(id)
	w.want(r.Code == 201 && string(r.Body) == "body" && flow.Get(r.Fields, "Seal") == "s", "%+v", r)
}

func TestTheLongestPrefixOfTheHostServes(t *testing.T) {
	w := newWorld(t)
	w.list(seat("e1", "10.0.0.1:1", "app", 4), seat("m1", "10.0.1.1:1", "llm", 4, "m"))
	deep := many
	deep.Name, deep.Path, deep.Pool = "d", "/a/b/", "llm"
	w.renew(plan(many, deep))
	w.ask("h", "/a/b/c", 500)
	w.want(len(w.llm()) == 1 && len(w.app()) == 0, "the deeper route")
	w.ask("h", "/a/bc", 500)
	w.want(len(w.app()) == 1, "a prefix ends with a slash")
	w.want(w.reply(w.ask("other", "/a/b", 500)).Code == 404, "hosts differ")
	w.fresh = false
	r := w.reply(w.ask("other", "/a/b", 500))
	w.want(r.Code == 503 && r.Head["Retry-After"] != "", "a node that may be behind does not say 404: %+v", r)
}

func TestWhatDidNotRunGoesToAnotherEngine(t *testing.T) {
	for _, code := range []int{503, 429, 421} {
		w := two(t)
		id := w.ask("h", "/o/x", 500)
		x := w.app()[0]
		f := flow.Field{Name: "Not-Run", Value: "1"}
		if code == 421 {
			f = flow.Field{Name: "Inst", Value: "other"}
		}
		w.end(x, code, "", f)
		y := w.app()
		w.want(len(y) == 1 && y[0].URL != x.URL, "%d: another engine is asked", code)
		w.end(y[0], 200, "ok")
		w.want(w.reply(id).Code == 200, "%d: answered", code)
	}
}

func TestOnceIsNeverSentAgainAfterDoubt(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/o/x", 500)
	w.fail(w.app()[0], false)
	w.pass(time.Second)
	w.want(len(w.app()) == 0, "no second send")
	w.want(w.reply(id).Code == 502, "no promise: %d", w.reply(id).Code)
}

func TestOnceThatNeverLeftIsSentAgain(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/o/x", 500)
	w.fail(w.app()[0], true)
	w.end(w.app()[0], 200, "ok")
	w.want(w.reply(id).Code == 200, "answered")
}

func TestRepeatableGoesOnAfterDoubt(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/a/x", 500)
	w.fail(w.app()[0], false)
	w.end(w.app()[0], 200, "ok")
	w.want(w.reply(id).Code == 200, "answered")
}

func TestASlowEngineIsHedgedWithinTheTries(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/a/x", 900)
	w.pass(60 * time.Millisecond)
	w.want(len(w.app()) == 2, "a second engine after a third of the target")
	w.pass(300 * time.Millisecond)
	w.want(len(w.app()) == 2, "no more than the tries")
	x := w.app()
	w.end(x[1], 200, "fast")
	w.want(string(w.reply(id).Body) == "fast", "the first answer is passed on")
	n := len(w.replies)
	w.end(x[0], 200, "slow")
	w.want(len(w.replies) == n, "and only that one")
}

func TestRefusedEarlyWithWhenToComeBack(t *testing.T) {
	w := given(t)
	id := w.ask("h", "/a/x", 900)
	w.pass(40 * time.Millisecond)
	r := w.reply(id)
	w.want(r.Code == 503 && r.Head["Retry-After"] != "", "refused within a quarter of its target: %+v", r)
}

func TestRefusedNeverRunsLater(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/o/x", 900)
	for range 3 {
		for _, x := range w.app() {
			w.end(x, 503, "", flow.Field{Name: "Not-Run", Value: "1"})
		}
		w.pass(50 * time.Millisecond)
	}
	w.want(w.reply(id).Code == 503, "refused: %d", w.reply(id).Code)
	w.pass(2 * time.Second)
	w.want(len(w.app()) == 0, "and never sent")
}

func TestADrainingEngineGetsNothing(t *testing.T) {
	w := two(t)
	s := seat("e1", "10.0.0.1:1", "app", 4)
	s.Draining = true
	w.list(s, seat("e2", "10.0.0.2:1", "app", 4))
	for range 8 {
		w.ask("h", "/a/x", 500)
	}
	w.want(len(w.at("10.0.0.1:1")) == 0 && len(w.at("10.0.0.2:1")) == 8, "only the other")
}

func TestAStreamGoesOnAtAnotherEngine(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/s/x", 5000)
	x := w.llm()[0]
	w.head(x, 1)
	w.event(x, 0, "a")
	w.event(x, 1, "b")
	w.fail(x, false)
	y := w.llm()
	w.want(len(y) == 1 && flow.Get(y[0].Fields, "Last-Event-Id") == "1", "asked to go on after 1: %+v", y)
	w.head(y[0], 1)
	w.event(y[0], 2, "c")
	w.done(y[0])
	heads, text, ends := 0, "", 0
	for _, r := range w.replies {
		if r.ID != id {
			continue
		}
		if r.Code != 0 {
			heads++
		}
		text += string(r.Body)
		if !r.More {
			ends++
		}
	}
	w.want(heads == 1 && ends == 1 && text == "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n", "%d heads, %d ends, %q", heads, ends, text)
}

func TestAStreamThatCanNotGoOnDoesNotLookComplete(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/s/x", 5000)
	for range 3 {
		for _, x := range w.llm() {
			w.head(x, 1)
			w.event(x, 0, "a")
			w.fail(x, false)
		}
		w.pass(400 * time.Millisecond)
	}
	w.want(w.reply(id).Cut, "cut: %+v", w.reply(id))
}

func TestWeightsReachAThirdAtATime(t *testing.T) {
	w := newWorld(t)
	w.acting = true
	var seats []dialect.Seat
	for n := range 6 {
		seats = append(seats, seat(fmt.Sprint("m", n), fmt.Sprintf("10.0.1.%d:1", n), "llm", 4, "m"))
	}
	w.list(seats...)
	b, _ := json.Marshal(ledger.Target{Pool: "m", Revision: 2})
	c, _ := json.Marshal(ledger.Command{Kind: "target.put", At: 1, Body: b})
	w.index++
	w.led.Apply(w.index, c)
	w.renew(plan(samples))
	most, done := 0, map[string]bool{}
	for range 400 {
		w.turn(10 * time.Millisecond)
		orders := 0
		for n := range 6 {
			at := fmt.Sprintf("10.0.1.%d:1", n)
			for _, x := range w.at(at) {
				if x.Verb == "POST" {
					var o dialect.WeightOrder
					_ = json.Unmarshal(x.Body, &o)
					w.want(o.Fence == 7 && o.Revision == 2 && o.Mode == "hold" && o.Expected == 3, "%+v", o)
					w.want(!done[at], "ordered twice")
					done[at] = true
					w.end(x, 202, "")
					continue
				}
				orders++
				if !done[at] {
					rep, _ := json.Marshal(dialect.Report{Models: map[string]int{"m": 1}, Orders: 3})
					w.end(x, 200, string(rep))
				} else if w.now.Milliseconds()%300 < 10 {
					rep, _ := json.Marshal(dialect.Report{Models: map[string]int{"m": 2}})
					w.end(x, 200, string(rep))
				}
			}
		}
		most = max(most, orders)
	}
	w.want(len(done) == 6, "all were ordered: %d", len(done))
	w.want(most <= 2, "a third at once: %d", most)
}

// The head of a stream tells an engine's load at its beginning; when the stream
// ends that is old, and must not keep slots from the next items.
func TestAnOldWordOnLoadKeepsNoSlots(t *testing.T) {
	hasty := samples
	hasty.DueMS = 400 // all slots are needed
	w := newWorld(t)
	w.list(seat("m1", "10.0.1.1:1", "llm", 4, "m"), seat("m2", "10.0.1.2:1", "llm", 4, "m"))
	w.renew(plan(hasty))
	w.lot(6, 4, 1)
	f := []flow.Field{{Name: "Weights", Value: "1"}, {Name: "Load", Value: "4,0,4"}}
	x := w.at("10.0.1.1:1")
	w.want(len(x) == 4, "full: %d", len(x))
	for _, s := range x {
		w.back(flow.Back{ID: s.ID, Open: true, Code: 200, Fields: f})
		w.event(s, 0, "a")
	}
	w.pass(350 * time.Millisecond)
	for _, s := range x {
		w.back(flow.Back{ID: s.ID, End: true, Code: 200, Fields: f})
	}
	w.turn(10 * time.Millisecond)
	w.want(len(w.at("10.0.1.1:1")) == 4, "its slots are filled again: %d", len(w.at("10.0.1.1:1")))
}

// Where lots allow one version less than the newest, an engine of two models takes
// every other version; once the newest has stood for long, all take it.
func TestEnginesTakeNoMoreVersionsThanLotsNeed(t *testing.T) {
	w := newWorld(t)
	w.acting = true
	var seats []dialect.Seat
	for n := range 4 {
		seats = append(seats, seat(fmt.Sprint("m", n), fmt.Sprintf("10.0.1.%d:1", n), "llm", 4, "m", "other"))
	}
	w.list(seats...)
	held := map[string]int{}
	orders := 0
	run := func(d time.Duration) {
		for ; d > 0; d -= 10 * time.Millisecond {
			w.turn(10 * time.Millisecond)
			for n := range 4 {
				at := fmt.Sprintf("10.0.1.%d:1", n)
				for _, x := range w.at(at) {
					switch x.URL {
					case "http://" + at + "/order":
						var o dialect.WeightOrder
						_ = json.Unmarshal(x.Body, &o)
						held[at] = o.Revision
						orders++
						w.end(x, 202, "")
					case "http://" + at + "/report":
						rep, _ := json.Marshal(dialect.Report{Models: map[string]int{"m": held[at], "other": 1}})
						w.end(x, 200, string(rep))
					}
				}
			}
		}
	}
	say := func(kind ledger.Kind, v any) {
		b, _ := json.Marshal(v)
		c, _ := json.Marshal(ledger.Command{Kind: kind, At: w.now.Milliseconds(), Body: b})
		w.index++
		w.want(w.led.Apply(w.index, c).Code == 200, "%s", kind)
		w.renew(nil)
	}
	w.renew(plan(samples))
	for v := 2; v <= 9; v++ {
		say("target.put", ledger.Target{Pool: "m", Revision: v})
		run(time.Second)
		say("lot.put", ledger.LotDoc{ID: fmt.Sprint("l", v), Owner: "other", Model: "m", Least: v - 1, KeepMS: 1000, Items: []ledger.LotItem{{ID: "i", Path: "/l/i"}}})
		run(time.Second)
		for at, h := range held {
			w.want(h >= v-1, "%s holds %d when %d is allowed", at, h, v-1)
		}
		if v == 3 {
			orders = 0 // from here on it is known what lots allow
		}
	}
	w.want(orders > 0 && orders <= 6*2+2, "half of the engines a version: %d orders for six versions", orders)
	run(13 * time.Second)
	for at, h := range held {
		w.want(h == 9, "%s holds %d after the newest stood for long", at, h)
	}
}

// Given a node that has just started and has no lease, when calls come, then it
// asks no store for a plan and serves nothing; its first plan comes with its
// first renewal.
func TestTheFirstPlanComesWithALease(t *testing.T) {
	w := newWorld(t)
	w.fresh = false
	w.list(seat("e1", "10.0.0.1:1", "app", 4))
	w.pass(time.Second)
	w.want(w.asker.Open() == 0, "no store is asked: %d", w.asker.Open())
	for _, path := range []string{"/a/x", "/none/", "/l/x"} {
		r := w.reply(w.ask("h", path, 500))
		w.want(r.Code == 503 && r.Head["Retry-After"] != "", "%s is refused: %d", path, r.Code)
	}
	w.want(w.reply(w.call("ready", flow.Call{})).Code == 503, "and it is not ready")
	w.fresh = true
	w.renew(plan(many, samples))
	id := w.ask("h", "/a/x", 500)
	w.end(w.app()[0], 200, "ok")
	w.want(w.reply(id).Code == 200, "served: %d", w.reply(id).Code)
	w.want(w.reply(w.call("ready", flow.Call{})).Code == 200, "and is ready")
}

// Given a node without a lease, when an operator wants a machine emptied or asks
// how far that is, then the answer is 503.
func TestNoWordOnMachinesWithoutALease(t *testing.T) {
	w := newWorld(t)
	w.fresh = false
	for _, name := range []string{"machine.empty", "machine.state"} {
		r := w.reply(w.call(name, flow.Call{Vars: map[string]string{"id": "storage-1"}}))
		w.want(r.Code == 503 && r.Head["Retry-After"] != "", "%s: %d", name, r.Code)
	}
}

// A stream that was open and then ends as a failure is not complete.
func TestAFailureAfterTheHeadIsNoCleanEnd(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/s/x", 5000)
	x := w.llm()[0]
	w.head(x, 1)
	w.event(x, 0, "a")
	w.end(x, 504, "deadline")
	w.want(w.reply(id).More && !w.reply(id).Cut, "not ended: %+v", w.reply(id))
	y := w.llm()
	w.want(len(y) == 1 && flow.Get(y[0].Fields, "Last-Event-Id") == "0", "it goes on elsewhere")
}

// A group whose prompt lies in a pool that its route no longer uses goes to the
// route's pool: a configuration counts for more than a prefix.
func TestAPlaceInAPoolThatTheRouteLeftIsNoPlace(t *testing.T) {
	w := newWorld(t)
	w.list(seat("m1", "10.0.1.1:1", "llm", 1, "m"), seat("n1", "10.0.2.1:1", "llm2", 1, "m"))
	w.renew(plan(samples))
	w.prompted("a", "g", "p1", 3)
	w.want(len(w.at("10.0.1.1:1")) == 1, "the first is placed")
	moved := samples
	moved.Pool = "llm2"
	w.renew(plan(moved))
	w.serveItem(w.at("10.0.1.1:1")[0], 1)
	w.turn(10 * time.Millisecond)
	w.want(len(w.at("10.0.1.1:1")) == 0 && len(w.at("10.0.2.1:1")) == 1, "the next goes to the new pool")
}

// A node that is cut off from the stores for long sends callers elsewhere.
func TestNotReadyWithoutALeaseForLong(t *testing.T) {
	w := two(t)
	w.want(w.reply(w.call("ready", flow.Call{})).Code == 200, "ready")
	w.fresh = false
	w.pass(2900 * time.Millisecond)
	w.want(w.reply(w.call("ready", flow.Call{})).Code == 200, "still ready after less than 3 s")
	w.pass(200 * time.Millisecond)
	w.want(w.reply(w.call("ready", flow.Call{})).Code == 503, "not ready")
	w.fresh = true
	w.turn(10 * time.Millisecond)
	w.want(w.reply(w.call("ready", flow.Call{})).Code == 200, "ready again")
}

// A stream whose time is over before its first event leaves no engine at work.
func TestALateStreamLeavesNothingBehind(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/s/x", 150)
	w.pass(200 * time.Millisecond)
	w.want(w.reply(id).Code == 504 && len(w.llm()) == 0, "%d, %d at engines", w.reply(id).Code, len(w.llm()))
}

// Where another start answers without its name, it is not asked again at once.
func TestAnAddressOfAnotherStartRests(t *testing.T) {
	w := two(t)
	w.lot(1, 1, 1)
	x := w.llm()[0]
	w.end(x, 421, "")
	w.pass(300 * time.Millisecond)
	for _, y := range w.llm() {
		w.want(y.URL != x.URL, "the same address again")
	}
	w.want(len(w.llm()) == 1, "elsewhere")
}
