package serve

import (
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/dialect"
	"fernlink/core/flow"
)

// plainStream may not be resumed, so it runs at most once.
var plainStream = func() (r api.Route) {
	r = stream
	r.Name, r.Path, r.Resumable = "p", "/p/", false
	return r
}()

// Given a stream that may not be resumed, when its engine skips an event, then it
// has run: no other engine gets it, and what was passed on does not look complete.
func TestASpoiltPlainStreamIsNotSentAgain(t *testing.T) {
	w := two(t)
	w.renew(plan(plainStream))
	id := w.ask("h", "/p/x", 5000)
	x := w.llm()[0]
	w.head(x, 1)
	w.event(x, 0, "a")
	w.event(x, 2, "c")
	w.pass(time.Second)
	w.want(len(w.llm()) == 0, "sent again: %v", w.llm())
	w.want(w.reply(id).Cut, "cut: %+v", w.reply(id))
}

// Given a call that may run once, when its engine answers with a status that
// promises that it did not run, but without the word that says so, then it may have
// run: it is not sent again, and its caller gets no such promise.
func TestOnceIsNotRefusedOnAStatusAlone(t *testing.T) {
	for _, code := range []int{408, 429, 503} {
		w := two(t)
		id := w.ask("h", "/o/x", 500)
		w.end(w.app()[0], code, "", flow.Field{Name: "Seal", Value: "s"})
		w.pass(time.Second)
		w.want(len(w.app()) == 0, "%d: sent again", code)
		r := w.reply(id)
		w.want(r.Code == 502 && flow.Get(r.Fields, "Seal") == "", "%d: no promise and no seal: %+v", code, r)
	}
}

// Given a call that was turned away by each engine, and one whose second engine fell
// silent after the first turned it away, when they end, then only the first is refused.
func TestOneDoubtOutweighsEachRefusal(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/o/x", 500)
	w.end(w.app()[0], 503, "", flow.Field{Name: "Not-Run", Value: "1"})
	w.fail(w.app()[0], false)
	w.pass(time.Second)
	w.want(len(w.app()) == 0 && w.reply(id).Code == 502, "%+v", w.reply(id))
}

// Given a call that does not name itself, when it is sent, then it has a connection
// to itself: on a kept one a surplus answer could not be told from its own.
func TestACallWithoutANameIsNotKept(t *testing.T) {
	w := two(t)
	w.call("request", flow.Call{Host: "h", Verb: "POST", Path: "/a/x", Fields: []flow.Field{{Name: "Left", Value: "500"}}})
	w.ask("h", "/a/x", 500)
	w.ask("h", "/o/x", 500)
	for _, x := range w.app() {
		named := x.Match != ""
		w.want(x.Keep == (named && !x.Once), "kept %v, named %v, once %v", x.Keep, named, x.Once)
	}
	w.want(len(w.app()) == 3, "%d sends", len(w.app()))
}

// Given a stream that was begun, when the engine that is to go on with it gives an
// answer that is no series of events, then nothing of that is passed on, and the
// stream does not look complete.
func TestAnAnswerIsNoEndOfAStream(t *testing.T) {
	for _, code := range []int{200, 404} {
		w := two(t)
		id := w.ask("h", "/s/x", 5000)
		x := w.llm()[0]
		w.head(x, 1)
		w.event(x, 0, "a")
		w.fail(x, false)
		w.end(w.llm()[0], code, "not here")
		w.want(w.reply(id).Cut && len(w.reply(id).Body) == 0, "%d: %+v", code, w.reply(id))
	}
}

// Given an engine whose address went to another one, when that answers a weight order,
// then the order is not taken for done, and neither gets more until the list is read.
func TestAnOrderToAnotherInstanceWasNotTaken(t *testing.T) {
	w := two(t)
	w.acting = true
	w.pass(100 * time.Millisecond)
	w.s.roll.Target("m", 2)
	w.pass(100 * time.Millisecond)
	w.reports(dialect.Report{Models: map[string]int{"m": 1}})
	w.pass(100 * time.Millisecond)
	orders := w.llm()
	w.want(len(orders) == 1, "one order: %v", orders)
	w.end(orders[0], 421, "")
	w.pass(200 * time.Millisecond)
	for _, x := range w.llm() {
		w.want(x.URL != "http://10.0.1.1:1/report" && x.URL != "http://10.0.1.2:1/report", "the report of another engine is read: %s", x.URL)
	}
}

// reports has the engine whose report is read answer it.
func (w *world) reports(report dialect.Report) {
	w.t.Helper()
	sent := w.llm()
	w.want(len(sent) == 1 && sent[0].Verb == "GET", "one report is read: %+v", sent)
	body, _ := json.Marshal(report)
	w.end(sent[0], 200, string(body))
}

// weightOrder gives the weight order that is under way.
func (w *world) weightOrder() (sent flow.Send, order dialect.WeightOrder) {
	w.t.Helper()
	all := w.llm()
	w.want(len(all) == 1 && all[0].Verb == "POST", "one order: %+v", all)
	_ = json.Unmarshal(all[0].Body, &order)
	return all[0], order
}

// Given an engine, when it is ordered, then the order names how many it has taken, read from it
// before; where that has changed, or another is under way, it is read again first.
func TestAnOrderNamesHowManyTheEngineHasTaken(t *testing.T) {
	w := two(t)
	w.acting = true
	w.pass(100 * time.Millisecond)
	w.s.roll.Target("m", 2)
	w.pass(100 * time.Millisecond)
	old := map[string]int{"m": 1}
	w.reports(dialect.Report{Models: old, Orders: 5, Busy: true})
	w.pass(300 * time.Millisecond)
	w.reports(dialect.Report{Models: old, Orders: 6}) // it was busy: nothing is ordered
	w.pass(100 * time.Millisecond)
	sent, order := w.weightOrder()
	w.want(order.Expected == 6, "%+v", order)
	w.end(sent, 409, "")
	w.pass(300 * time.Millisecond)
	w.reports(dialect.Report{Models: old, Orders: 7})
	w.pass(100 * time.Millisecond)
	_, order = w.weightOrder()
	w.want(order.Expected == 7, "%+v", order)
}
