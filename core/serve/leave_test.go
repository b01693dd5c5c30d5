package serve

import (
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// stopTime is how long a stop may take in these tests.
const stopTime = 7 * time.Second

func (w *world) leave() {
	var out flow.Outbox
	w.s.Leave(w.now, w.now+stopTime, &out)
	w.take(&out)
}

// endStop is the last moment of a stop.
func (w *world) endStop() {
	var out flow.Outbox
	w.s.Close(w.now, &out)
	w.take(&out)
}

// Guards against requests of a stop's last moments that are passed on and never answered.
//
// Given a process that stops, when bookings come on kept connections until its end, each of
// which takes its engine nearly all the time that its route leaves it, then each is either answered by its
// engine or refused before it is passed on, and none is left when the process ends.
func TestRequestsOfAStopsLastMomentsAreAnsweredOrRefused(t *testing.T) {
	w := two(t)
	w.leave()
	type booking struct {
		id   uint64
		came flow.Time
	}
	var all []booking
	answered, refused := 0, 0
	serve := func() {
		for _, x := range w.app() {
			if x.Limit-w.now <= 200*time.Millisecond {
				w.end(x, 200, "ok", flow.Field{Name: "Seal", Value: "s"})
			}
		}
	}
	for began := w.now; w.now < began+stopTime; w.turn(20 * time.Millisecond) {
		serve()
		if (w.now-began)%(160*time.Millisecond) == 0 {
			all = append(all, booking{w.ask("h", "/o/x", 2000), w.now - began})
		}
	}
	w.endStop()
	for _, b := range all {
		switch code := w.reply(b.id).Code; code {
		case 200:
			answered++
		case 503:
			refused++
		default:
			t.Errorf("a booking %v after the stop began got %d", b.came, code)
		}
	}
	if answered < len(all)/3 || refused == 0 || refused > len(all)/2 {
		t.Errorf("%d answered and %d refused of %d", answered, refused, len(all))
	}
}

// Given a process whose stop ends while requests are under way, when it ends, then what was
// passed on is answered as one that may have run, what was not is refused, a stream that was
// begun is cut, and readers and hand-ins of lots are answered.
func TestAllThatIsOpenIsAnsweredWhenAStopEnds(t *testing.T) {
	w := two(t)
	sent := w.ask("h", "/o/x", 30_000)
	stream := w.ask("h", "/s/x", 30_000)
	for _, x := range w.llm() {
		w.head(x, 1)
	}
	lot, _ := w.lot(1, 1, 1)
	reader := w.call("lot.read", flow.Call{Vars: map[string]string{"id": lot}, Query: map[string]string{"after": "0"}, Fields: []flow.Field{{Name: "Wait", Value: "5000"}}})
	w.silent = true
	body, _ := json.Marshal(ledger.LotDoc{Model: "m", Items: []ledger.LotItem{{ID: "i", Path: "/l/i"}}})
	handIn := w.call("request", flow.Call{Host: "h", Verb: "POST", Path: "/l/x", Body: body, Fields: []flow.Field{{Name: "Try", Value: "lot2"}}})
	w.leave()
	w.pass(500 * time.Millisecond)
	w.endStop()
	w.want(w.reply(sent).Code == 502, "what was passed on: %d", w.reply(sent).Code)
	w.want(w.reply(stream).Cut, "a stream that was begun: %+v", w.reply(stream))
	w.want(w.reply(reader).Code != 0, "a reader that waits: %d", w.reply(reader).Code)
	w.want(w.reply(handIn).Code == 504, "a hand-in whose fate is not known: %d", w.reply(handIn).Code)
	w.want(w.s.requests.Len()+w.s.lots.Readers() == 0, "something is left")
}
