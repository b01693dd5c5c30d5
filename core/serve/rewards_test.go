package serve

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/serve/route"
)

// scoring is the route that reward calls go by.
var scoring = api.Route{Name: "w", Host: "h", Path: "/score/", Kind: route.Again, Pool: "app", Timeout: 1000, TargetMS: 150, Tries: 3}

// scorers are the engines of the route that reward calls go by.
var scorers = []string{"10.0.2.1:1", "10.0.2.2:1"}

// rewarded is a world with two scorers and a lot of so many items, each with a reward call.
func rewarded(t *testing.T, items int) (*world, string) {
	t.Helper()
	w := newWorld(t)
	w.renew(plan(samples, scoring))
	w.list(seat("e1", "10.0.1.1:1", "llm", 16, "m"), seat("s1", scorers[0], "app", 4), seat("s2", scorers[1], "app", 4))
	return w, w.rewardedLot("lot1", items, 1)
}

// rewardedLot hands in a lot of one group whose items carry reward calls.
func (w *world) rewardedLot(lot string, items, least int) string {
	w.t.Helper()
	doc := ledger.LotDoc{Model: "m", Least: least, Wanted: 1}
	for n := range items {
		doc.Items = append(doc.Items, ledger.LotItem{ID: fmt.Sprintf("i%d", n), Group: "g", Path: "/l/i", Body: []byte("p"), Tokens: 10,
			Reward: &ledger.RewardCall{ID: fmt.Sprintf("w%d", n), Host: "h", Path: "/score/x", Body: []byte("judge")}})
	}
	body, _ := json.Marshal(doc)
	id := w.call("request", flow.Call{Host: "h", Verb: "POST", Path: "/l/x", Body: body, Fields: []flow.Field{{Name: "Try", Value: lot}}})
	w.turn(0)
	w.want(w.reply(id).Code == 202, "accepted: %+v", w.reply(id))
	return lot
}

// scores gives the open reward calls.
func (w *world) scores() (open []flow.Send) {
	for _, at := range scorers {
		open = append(open, w.at(at)...)
	}
	return open
}

// sealedBy is the head of an answer of a scorer.
func sealedBy(seal string) flow.Field { return flow.Field{Name: "Seal", Value: seal} }

// Given an item with a reward call, when its text is not whole, then nothing is asked for;
// when it is, the call goes out with its id, body and host, and the seal of its answer is the
// score of the result, which is listed only then.
func TestATextIsListedWithItsScore(t *testing.T) {
	w, lot := rewarded(t, 1)
	text := w.at("10.0.1.1:1")[0]
	w.head(text, 1)
	w.event(text, 0, "a")
	w.pass(50 * time.Millisecond)
	w.want(len(w.scores()) == 0, "asked for before the text was whole")
	w.done(text)
	w.pass(50 * time.Millisecond)
	call := w.scores()
	w.want(len(call) == 1, "%d reward calls", len(call))
	x := call[0]
	w.want(x.Verb == "POST" && x.Host == "h" && string(x.Body) == "judge" && x.Match == "w0" && flow.Get(x.Fields, "Expect") != "", "%+v", x)
	w.pass(400 * time.Millisecond)
	w.want(len(w.read(lot, 0).Results) == 0, "listed without its score")
	w.end(w.scores()[0], 200, "ok", sealedBy("seal-7"))
	w.pass(200 * time.Millisecond)
	got := w.read(lot, 0).Results
	w.want(len(got) == 1 && got[0].State == ledger.LotComplete && got[0].Score == "seal-7" && got[0].Text == "a", "%+v", got)
}

// Given a reward call that fails, then is answered without a seal, then cut, when it is made
// again, then the item is listed by the first answer with a seal; answers of 500 up to the
// lot's and the route's tries give it up.
func TestARewardCallIsMadeAgain(t *testing.T) {
	w, lot := rewarded(t, 1)
	w.serveItem(w.at("10.0.1.1:1")[0], 1)
	w.pass(20 * time.Millisecond)
	w.end(w.scores()[0], 500, "failed", sealedBy("no"))
	w.pass(300 * time.Millisecond)
	w.fail(w.scores()[0], false)
	w.pass(300 * time.Millisecond)
	w.end(w.scores()[0], 200, "bare")
	w.pass(300 * time.Millisecond)
	w.want(len(w.read(lot, 0).Results) == 0, "listed without a score")
	w.end(w.scores()[0], 200, "ok", sealedBy("s"))
	w.pass(300 * time.Millisecond)
	got := w.read(lot, 0).Results
	w.want(len(got) == 1 && got[0].Score == "s", "%+v", got)
}

// Given a reward call that is answered 500 each time, when that was as often as its route and
// the lot allow tries, then its item is abandoned, and no more calls go out.
func TestAnItemIsGivenUpAfterItsScorerFailed(t *testing.T) {
	w, lot := rewarded(t, 1)
	w.serveItem(w.at("10.0.1.1:1")[0], 1)
	failures := 0
	for range 20 {
		w.pass(150 * time.Millisecond)
		for _, x := range w.scores() {
			w.end(x, 500, "failed", sealedBy("no"))
			failures++
		}
	}
	got := w.read(lot, 0).Results
	w.want(len(got) == 1 && got[0].State == ledger.LotAbandoned && got[0].Score == "", "%+v", got)
	w.want(failures >= scoring.Tries && failures <= 6, "%d failures", failures)
}

// Given a reward call that is under way, when its lot is ended, then the call is cut and no
// other goes out.
func TestAnEndedLotAsksForNoScore(t *testing.T) {
	w, lot := rewarded(t, 2)
	for _, x := range w.at("10.0.1.1:1") {
		w.serveItem(x, 1)
	}
	w.pass(20 * time.Millisecond)
	open := w.scores()
	w.want(len(open) == 2, "%d reward calls", len(open))
	w.call("lot.end", flow.Call{Vars: map[string]string{"id": lot}})
	w.pass(200 * time.Millisecond) // far below the route's limit
	w.want(w.cuts[open[0].ID] && w.cuts[open[1].ID] && len(w.scores()) == 0, "cut: %v", w.cuts)
}

// Given texts that wait for their scores, when the lot gets another owner, then it asks for
// the scores alone: no text is made again.
func TestAWholeTextIsNotMadeAgain(t *testing.T) {
	w, lot := rewarded(t, 2)
	for _, x := range w.at("10.0.1.1:1") {
		w.serveItem(x, 1)
	}
	w.pass(500 * time.Millisecond) // longer than results wait for their listing
	next := w.takenOver(t, lot)
	w.want(len(next.at("10.0.1.1:1")) == 0, "the texts are made again")
	asked := map[string]bool{}
	for _, x := range next.scores() {
		asked[x.Match] = true
		next.end(x, 200, "ok", sealedBy("s-"+x.Match))
	}
	w.want(len(asked) == 2, "reward calls: %v", asked)
	next.pass(300 * time.Millisecond)
	got := next.read(lot, 0).Results
	next.want(len(got) == 2 && got[0].Text == "a-"+got[0].Item+"\nb" && got[0].Score != "", "%+v", got)
}

// takenOver is the world of another node, to which the ledger has moved a lot.
func (w *world) takenOver(t *testing.T, lot string) *world {
	t.Helper()
	w.apply(ledger.OwnLot{Lot: lot, Was: "me.0", Owner: "you.0"})
	next := newWorldOf(t, "you.0")
	next.led, next.index, next.blobs = w.led, w.index, w.blobs
	next.renew(plan(samples, scoring))
	next.list(w.seats...)
	next.renew(nil)
	next.pass(100 * time.Millisecond)
	return next
}

// apply applies a command to the ledger.
func (w *world) apply(body ledger.Body) {
	w.index++
	w.led.Apply(w.index, ledger.NewCommand(w.now.Milliseconds(), body).Encode())
}

// Given a lot whose items come again in a later lot, when texts of them were whole and wait
// for their scores, then they are not made again, unless the later lot does not allow them.
func TestAWholeTextServesALaterLot(t *testing.T) {
	for least, made := range map[int]int{1: 0, 2: 1} {
		w, lot := rewarded(t, 1)
		w.serveItem(w.at("10.0.1.1:1")[0], 1)
		w.pass(20 * time.Millisecond)
		w.call("lot.end", flow.Call{Vars: map[string]string{"id": lot}})
		w.seats[0].Models = map[string]int{"m": 2}
		w.pass(2 * time.Second)
		w.rewardedLot("lot2", 1, least)
		w.pass(50 * time.Millisecond)
		w.want(len(w.at("10.0.1.1:1")) == made && len(w.scores()) == 1-made, "least %d: %d texts, %d reward calls", least, len(w.at("10.0.1.1:1")), len(w.scores()))
	}
}

// Given more texts that wait than engines have room for, when their scores are asked for,
// then a slot of each engine is left to callers.
func TestRewardCallsLeaveRoomForCallers(t *testing.T) {
	w, _ := rewarded(t, 16)
	for _, x := range w.at("10.0.1.1:1") {
		w.serveItem(x, 1)
	}
	w.pass(100 * time.Millisecond)
	for _, at := range scorers {
		w.want(len(w.at(at)) <= 3, "%d reward calls at %s of 4 slots", len(w.at(at)), at)
	}
	w.want(len(w.scores()) == 6, "%d reward calls", len(w.scores()))
}

// Given a reward call that no route serves, when a plan brings one, then it goes out.
func TestARewardCallWaitsForItsRoute(t *testing.T) {
	w := newWorld(t)
	w.renew(plan(samples))
	w.list(seat("e1", "10.0.1.1:1", "llm", 16, "m"), seat("s1", scorers[0], "app", 4))
	w.rewardedLot("lot1", 1, 1)
	w.serveItem(w.at("10.0.1.1:1")[0], 1)
	w.pass(time.Second)
	w.want(len(w.scores()) == 0, "sent without a route")
	w.renew(plan(samples, scoring))
	w.pass(100 * time.Millisecond)
	w.want(len(w.scores()) == 1, "%d reward calls", len(w.scores()))
}
