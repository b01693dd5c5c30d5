package serve

import (
	"fmt"
	"testing"
	"time"

	"fernlink/core/flow"
)

// silence is longer than a stream with events each few milliseconds is waited for before
// another engine is asked to go on.
const silence = 300 * time.Millisecond

// text gives what a caller got of a stream: its events, how many heads, and its end.
func (w *world) text(id uint64) (events string, heads int, whole, cut bool) {
	for _, r := range w.replies {
		if r.ID != id {
			continue
		}
		if r.Code != 0 {
			heads++
		}
		events += string(r.Body)
		whole = whole || !r.More && !r.Cut
		cut = cut || r.Cut
	}
	return events, heads, whole, cut
}

// events are those from one id to another as a caller gets them.
func events(from, to int) string {
	all := ""
	for n := from; n <= to; n++ {
		all += fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
	}
	return all
}

// say has an engine make events of a stream.
func (w *world) say(x flow.Send, from, to int) {
	for n := from; n <= to; n++ {
		w.turn(5 * time.Millisecond)
		w.event(x, n, fmt.Sprint(n))
	}
}

// silent is a stream that falls silent after three events, and the engine that is asked to go
// on with it.
func silent(t *testing.T) (w *world, id uint64, first, second flow.Send) {
	w = two(t)
	id = w.ask("h", "/s/x", 5000)
	first = w.llm()[0]
	w.head(first, 1)
	w.say(first, 0, 2)
	w.pass(silence)
	sent := w.llm()
	w.want(!w.cuts[first.ID], "the engine at work is cut before another has taken the stream over")
	w.want(len(sent) == 2, "%d engines are at work on a silent stream", len(sent))
	second = sent[0]
	if second.ID == first.ID {
		second = sent[1]
	}
	w.want(flow.Get(second.Fields, "Last-Event-Id") == "2", "asked to go on after 2: %+v", second)
	return w, id, first, second
}

// Guards against review/7: a stream that paused was cut at its engine before another had taken
// it over, and broken off where none could.
//
// Given a stream that falls silent, when the engine that is asked to go on declines, fails, ends
// without an event, or gives no series of events, then the first goes on, and the stream ends
// whole.
func TestASilentStreamKeepsItsEngine(t *testing.T) {
	for name, refuse := range map[string]func(*world, flow.Send){
		"full":           func(w *world, x flow.Send) { w.end(x, 503, "", flow.Field{Name: "Not-Run", Value: "1"}) },
		"failed":         func(w *world, x flow.Send) { w.end(x, 500, "") },
		"reset":          func(w *world, x flow.Send) { w.fail(x, false) },
		"never sent":     func(w *world, x flow.Send) { w.fail(x, true) },
		"another answer": func(w *world, x flow.Send) { w.end(x, 404, "not here") },
		"a gap":          func(w *world, x flow.Send) { w.head(x, 1); w.event(x, 7, "7") },
		"no event":       func(w *world, x flow.Send) { w.head(x, 1); w.done(x) },
		"cut short":      func(w *world, x flow.Send) { w.head(x, 1); w.fail(x, false) },
	} {
		t.Run(name, func(t *testing.T) {
			w, id, first, second := silent(t)
			refuse(w, second)
			w.pass(silence)
			w.want(!w.cuts[first.ID], "the engine at work is cut")
			w.say(first, 3, 5)
			w.done(first)
			text, heads, whole, cut := w.text(id)
			w.want(text == events(0, 5) && heads == 1 && whole && !cut, "%q, %d heads, whole %v, cut %v", text, heads, whole, cut)
			w.want(len(w.llm()) == 0, "%d engines are still at work", len(w.llm()))
		})
	}
}

// Given a stream that falls silent, when the engine that is asked to go on makes the next event,
// then the first is cut, and the text goes on with the second's events alone.
func TestAnotherEngineTakesASilentStreamOver(t *testing.T) {
	w, id, first, second := silent(t)
	w.head(second, 1)
	w.pass(20 * time.Millisecond)
	w.want(!w.cuts[first.ID], "a head is no event")
	w.say(second, 3, 3)
	w.want(w.cuts[first.ID], "the first goes on beside the second")
	w.say(second, 4, 6)
	w.done(second)
	text, heads, whole, cut := w.text(id)
	w.want(text == events(0, 6) && heads == 1 && whole && !cut, "%q, %d heads, whole %v, cut %v", text, heads, whole, cut)
}

// Given a stream that falls silent, when its engine goes on before the second has made an event,
// then the second is cut.
func TestAnEngineThatGoesOnKeepsItsStream(t *testing.T) {
	w, id, first, second := silent(t)
	w.head(second, 1)
	w.say(first, 3, 3)
	w.want(w.cuts[second.ID] && !w.cuts[first.ID], "second cut %v, first cut %v", w.cuts[second.ID], w.cuts[first.ID])
	w.say(first, 4, 5)
	w.done(first)
	text, _, whole, _ := w.text(id)
	w.want(text == events(0, 5) && whole, "%q, whole %v", text, whole)
}

// Given a silent stream that a second engine was asked to go on with, when the first breaks off,
// then the second goes on, also where its head came before.
func TestTheSecondEngineGoesOnWhereTheFirstBreaksOff(t *testing.T) {
	for _, opened := range []bool{false, true} {
		w, id, first, second := silent(t)
		if opened {
			w.head(second, 1)
		}
		w.fail(first, false)
		w.pass(50 * time.Millisecond)
		if !opened {
			w.head(second, 1)
		}
		w.say(second, 3, 5)
		w.done(second)
		text, heads, whole, cut := w.text(id)
		w.want(text == events(0, 5) && heads == 1 && whole && !cut, "head first %v: %q, %d heads, whole %v, cut %v", opened, text, heads, whole, cut)
	}
}

// Given a stream before whose first event another engine is asked as well, when both answer,
// then one head and the events of one of them are passed on, and the other is cut.
func TestTwoEnginesBeforeTheFirstEvent(t *testing.T) {
	w := two(t)
	id := w.ask("h", "/s/x", 5000)
	w.pass(400 * time.Millisecond)
	sent := w.llm()
	w.want(len(sent) == 2, "%d engines are at work on a stream that does not begin", len(sent))
	w.head(sent[0], 1)
	w.head(sent[1], 1)
	w.say(sent[1], 0, 2)
	w.want(w.cuts[sent[0].ID], "the other goes on")
	w.done(sent[1])
	text, heads, whole, _ := w.text(id)
	w.want(text == events(0, 2) && heads == 1 && whole, "%q, %d heads, whole %v", text, heads, whole)
}

// Given a stream that pauses again and again while all other engines are full, when its sends
// are used up, then its engine goes on to the end.
func TestAStreamOutlastsItsTries(t *testing.T) {
	w := given(t, seat("m1", "10.0.1.1:1", "llm", 4, "m"), seat("m2", "10.0.1.2:1", "llm", 4, "m"), seat("m3", "10.0.1.3:1", "llm", 4, "m"), seat("m4", "10.0.1.4:1", "llm", 4, "m"))
	id := w.ask("h", "/s/x", 20_000)
	at := func() (all []flow.Send) {
		for n := 1; n <= 4; n++ {
			all = append(all, w.at(fmt.Sprintf("10.0.1.%d:1", n))...)
		}
		return all
	}
	first := at()[0]
	w.head(first, 1)
	asked := 0
	for round := range 6 {
		w.say(first, 2*round, 2*round+1)
		for range 30 {
			w.turn(10 * time.Millisecond)
			for _, x := range at() {
				if x.ID != first.ID {
					asked++
					w.end(x, 503, "", flow.Field{Name: "Not-Run", Value: "1"})
				}
			}
		}
	}
	w.done(first)
	text, _, whole, cut := w.text(id)
	w.want(asked == stream.Tries-1, "%d engines were asked beside the first", asked)
	w.want(text == events(0, 11) && whole && !cut, "%q, whole %v, cut %v", text, whole, cut)
}
