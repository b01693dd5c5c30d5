package serve

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
)

// lot hands in groups of so many items.
func (w *world) lot(groups, size, least int) (string, flow.Reply) {
	return w.handIn("lot1", "m", groups, size, least)
}

// handIn hands a lot of a model in.
func (w *world) handIn(lot, model string, groups, size, least int) (string, flow.Reply) {
	var items []ledger.LotItem
	for g := range groups {
		for n := range size {
			items = append(items, ledger.LotItem{ID: fmt.Sprintf("g%d-%d", g, n), Group: fmt.Sprintf("g%d", g), Path: "/l/i", Body: []byte("p"), Tokens: 10})
		}
	}
	b, _ := json.Marshal(ledger.LotDoc{Model: model, Least: least, Wanted: groups, Items: items})
	id := w.call("request", flow.Call{Host: "h", Verb: "POST", Path: "/l/x", Body: b, Fields: []flow.Field{{Name: "Try", Value: lot}}})
	w.turn(0)
	return lot, w.reply(id)
}

// page is a dialect.LotPage as a trainer reads it.
type page struct {
	Total, Next int
	Results     []ledger.LotResult
}

func (w *world) read(lot string, from int) page {
	id := w.call("lot.read", flow.Call{Vars: map[string]string{"id": lot}, Query: map[string]string{"after": strconv.Itoa(from)}})
	var p page
	_ = json.Unmarshal(w.reply(id).Body, &p)
	return p
}

// serveItem runs a whole item.
func (w *world) serveItem(x flow.Send, v int) {
	w.head(x, v)
	w.event(x, 0, "a-"+x.Match)
	w.event(x, 1, "b")
	w.done(x)
}

func TestALotRunsAndIsListedInPlaces(t *testing.T) {
	w := two(t)
	lot, r := w.lot(3, 2, 1)
	w.want(r.Code == 202, "accepted: %+v", r)
	for n := 0; n < 6; {
		for _, x := range w.llm() {
			w.serveItem(x, 1)
			n++
		}
		w.pass(100 * time.Millisecond)
	}
	p := w.read(lot, 0)
	w.want(p.Total == 6 && p.Next == 6 && len(p.Results) == 6, "%+v", p)
	seen := map[string]bool{}
	for _, x := range p.Results {
		w.want(x.State == ledger.LotComplete && x.Text == "a-"+x.Item+"\nb" && len(x.Versions) == 1 && x.Versions[0] == 1, "%+v", x)
		seen[x.Item] = true
	}
	w.want(len(seen) == 6, "each once")
	q := w.read(lot, 4)
	w.want(len(q.Results) == 2 && q.Results[0].Item == p.Results[4].Item, "places stay")
}

func TestAGroupStaysWhereItsPromptWasRead(t *testing.T) {
	w := two(t)
	w.lot(2, 4, 1)
	for _, at := range []string{"10.0.1.1:1", "10.0.1.2:1"} {
		groups := map[string]bool{}
		for _, x := range w.at(at) {
			groups[x.Match[:2]] = true
		}
		w.want(len(w.at(at)) == 4 && len(groups) == 1, "one group an engine: %v", groups)
	}
}

func TestNoMoreThanTheSlots(t *testing.T) {
	w := two(t)
	w.lot(5, 4, 1)
	w.pass(200 * time.Millisecond)
	w.want(len(w.at("10.0.1.1:1")) <= 4 && len(w.at("10.0.1.2:1")) <= 4, "slots are kept")
}

func TestABrokenItemGoesOnFromItsText(t *testing.T) {
	w := two(t)
	lot, _ := w.lot(1, 1, 1)
	x := w.llm()[0]
	w.head(x, 1)
	w.event(x, 0, "a")
	w.event(x, 1, "b")
	w.fail(x, false)
	w.turn(10 * time.Millisecond)
	y := w.llm()
	w.want(len(y) == 1 && flow.Get(y[0].Fields, "Last-Event-Id") == "1" && flow.Get(y[0].Fields, "Expect-W") == "1", "%+v", y)
	w.head(y[0], 1)
	w.event(y[0], 2, "c")
	w.done(y[0])
	w.pass(200 * time.Millisecond)
	p := w.read(lot, 0)
	w.want(len(p.Results) == 1 && p.Results[0].Text == "a\nb\nc", "%+v", p)
}

func TestAGapIsNeverJoined(t *testing.T) {
	w := two(t)
	lot, _ := w.lot(1, 1, 1)
	x := w.llm()[0]
	w.head(x, 1)
	w.event(x, 0, "a")
	w.event(x, 2, "c")
	w.want(w.cuts[x.ID], "the run is cut")
	w.pass(100 * time.Millisecond)
	y := w.llm()
	w.want(len(y) == 1 && flow.Get(y[0].Fields, "Last-Event-Id") == "0", "it goes on after what it has: %+v", y)
	_ = lot
}

// changedAmid is a lot of one text whose engine changes weights after its first event.
func changedAmid(t *testing.T) (w *world, lot string, sent flow.Send) {
	w = two(t)
	lot, _ = w.lot(1, 1, 1)
	sent = w.llm()[0]
	w.head(sent, 1)
	w.event(sent, 0, "a")
	w.event(sent, 1, "b", "weights: 2")
	return w, lot, sent
}

// wantOneVersion wants all results of a lot to be made under one version each.
func (w *world) wantOneVersion(lot string) {
	w.t.Helper()
	for _, r := range w.read(lot, 0).Results {
		w.want(len(r.Versions) == 1, "%+v", r)
	}
}

func TestOneVersionATextAndNoneTooOld(t *testing.T) {
	w, lot, x := changedAmid(t)
	w.want(w.cuts[x.ID], "a change in mid-text ends the run")
	w.pass(100 * time.Millisecond)
	for _, y := range w.llm() {
		w.head(y, 2)
		w.event(y, 0, "x")
		w.done(y)
	}
	w.pass(300 * time.Millisecond)
	w.wantOneVersion(lot)
}

// Given a text whose engine changes weights amid it, when its run comes to its end all
// the same, then nothing of two versions is listed.
func TestATextOfTwoVersionsIsNotListed(t *testing.T) {
	w, lot, x := changedAmid(t)
	w.done(x)
	w.pass(300 * time.Millisecond)
	w.wantOneVersion(lot)
}

func TestTooOldWeightsMakeNoText(t *testing.T) {
	w := two(t)
	w.lot(1, 1, 2)
	w.want(len(w.llm()) == 0, "engines that are known to be behind get nothing")
	w.list(seat("m1", "10.0.1.1:1", "llm", 4, "m"), seat("m3", "10.0.1.3:1", "llm", 4))
	x := w.at("10.0.1.3:1")
	w.want(len(x) == 1, "one that does not say is tried")
	w.head(x[0], 1)
	w.want(w.cuts[x[0].ID], "and cut when it turns out to be behind")
}

func TestAnEndedLotStopsAtOnce(t *testing.T) {
	w := two(t)
	lot, _ := w.lot(4, 4, 1)
	n := len(w.llm())
	w.want(n == 8, "running: %d", n)
	id := w.call("lot.end", flow.Call{Vars: map[string]string{"id": lot}})
	w.pass(50 * time.Millisecond)
	w.want(w.reply(id).Code == 200 && len(w.llm()) == 0 && len(w.cuts) == 8, "all cut")
	id = w.call("lot.end", flow.Call{Vars: map[string]string{"id": lot}})
	w.want(w.reply(id).Code == 200, "said twice")
}

// The node that ends a lot tells its owner, who need not wait for a renewal.
func TestTheOwnerOfAnEndedLotIsTold(t *testing.T) {
	w := two(t)
	w.cpu = 400
	w.others = []gossip.Entry{{ID: "w1", Addr: "w1", Roles: []string{"worker"}, Cpu: 400}}
	w.turn(10 * time.Millisecond)
	lot, _ := w.lot(1, 1, 1)
	w.renew(nil)
	w.lines = nil
	w.call("lot.end", flow.Call{Vars: map[string]string{"id": lot}})
	w.turn(10 * time.Millisecond)
	w.want(slices.ContainsFunc(w.lines, func(l flow.Line) bool { return l.Kind == "lot.cut" && l.To == "w1" }), "told: %v", w.lines)
}

// An owner that is told of an end stops at once.
func TestAnOwnerThatIsToldOfAnEndStops(t *testing.T) {
	w := two(t)
	w.lot(4, 4, 1)
	w.want(len(w.llm()) == 8, "running: %d", len(w.llm()))
	w.line("lot.cut", "lot1")
	w.want(len(w.llm()) == 0, "%d run on", len(w.llm()))
}

// An owner that reads of an end with its renewal stops, whether or not a line told it.
func TestAnOwnerThatReadsOfAnEndStops(t *testing.T) {
	w := two(t)
	w.lot(4, 4, 1)
	w.want(len(w.llm()) == 8, "running: %d", len(w.llm()))
	w.want(w.answer(ask.Ask{Kind: "lot.end", Body: []byte(`"lot1"`)}).Code == 200, "ended by another")
	w.renew(nil)
	w.turn(0)
	w.want(len(w.llm()) == 0, "%d run on", len(w.llm()))
}

// A hand-over that comes after its lot's end, or after another owner was named,
// starts nothing.
func TestALateHandOverStartsNothing(t *testing.T) {
	items := []ledger.LotItem{{ID: "i", Path: "/l/i"}}
	doc := ledger.LotDoc{ID: "n", Owner: "me.0", Host: "h", Path: "/l/x", Model: "m", Least: 1, KeepMS: 1000, Items: items}
	body, _ := json.Marshal(doc)
	for what, change := range map[string]ask.Ask{
		"ended":                 {Kind: "lot.end", Body: []byte(`"n"`)},
		"the owner was changed": {Kind: "lot.own", Body: []byte(`{"lot":"n","was":"me.0","owner":"other.0"}`)},
	} {
		w := two(t)
		w.want(w.answer(ask.Ask{Kind: "lot.put", Body: body}).Code == 200, "put by another")
		w.want(w.answer(change).Code == 200, "%s", what)
		w.renew(nil)
		w.line("lot.hand", doc)
		w.pass(100 * time.Millisecond)
		w.want(len(w.llm()) == 0, "%s, and %d items run", what, len(w.llm()))
	}
}

// Items that finish one after the other are listed together: a command each would
// be the leader's whole work where hundreds finish in a second.
func TestItemsThatFinishInARowAreListedTogether(t *testing.T) {
	w := two(t)
	w.lot(8, 4, 1)
	w.lines = nil
	const finished = 30
	for range finished {
		w.serveItem(w.llm()[0], 1)
		w.turn(20 * time.Millisecond)
	}
	w.pass(200 * time.Millisecond)
	commands := 0
	for _, l := range w.lines {
		var a ask.Ask
		if l.Kind == "ask" && json.Unmarshal(l.Body, &a) == nil && a.Kind == "lot.list" {
			commands++
		}
	}
	w.want(len(w.read("lot1", 0).Results) == finished, "all are listed")
	w.want(commands <= finished/4, "%d commands for %d results", commands, finished)
}

func TestGivenUpOnlyByRule(t *testing.T) {
	w := two(t)
	lot, _ := w.lot(2, 1, 1)
	x := w.llm()
	w.end(x[0], 422, "")
	w.end(x[1], 500, "")
	w.pass(100 * time.Millisecond)
	p := w.read(lot, 0)
	w.want(len(p.Results) == 1 && p.Results[0].State == ledger.LotAbandoned && p.Results[0].Item == x[0].Match, "%+v", p)
	w.end(w.llm()[0], 500, "")
	w.pass(100 * time.Millisecond)
	p = w.read(lot, 0)
	w.want(len(p.Results) == 2 && p.Results[1].State == ledger.LotAbandoned, "after as many failures as tries: %+v", p)
}

func TestALotWithoutTheStoreGetsNoPromise(t *testing.T) {
	w := two(t)
	w.silent = true
	b, _ := json.Marshal(ledger.LotDoc{Model: "m", Items: []ledger.LotItem{{ID: "i", Path: "/l/i"}}})
	id := w.call("request", flow.Call{Host: "h", Verb: "POST", Path: "/l/x", Body: b, Fields: []flow.Field{{Name: "Try", Value: "lot1"}}})
	w.pass(4 * time.Second)
	w.want(w.reply(id).Code == 504, "in doubt: %d", w.reply(id).Code)
	w.fresh = false
	id = w.call("request", flow.Call{Host: "h", Verb: "POST", Path: "/l/x", Body: b, Fields: []flow.Field{{Name: "Try", Value: "lot2"}}})
	w.want(w.reply(id).Code == 503, "never asked, so refused")
}

// Given a node that hands a lot in, when others come that the store can't take in time,
// then they are refused unread, with a time to come back; they are taken once there is
// room, and one of any size is taken alone.
func TestLotsAreRefusedUnreadWhereTheyCannotBeTakenInTime(t *testing.T) {
	w := two(t)
	put := func(lot string, body []byte) uint64 {
		return w.call("request", flow.Call{Host: "h", Verb: "POST", Path: "/l/x", Body: body, Fields: []flow.Field{{Name: "Try", Value: lot}}})
	}
	sized := func(size int) []byte {
		b, _ := json.Marshal(ledger.LotDoc{Model: "m", Items: []ledger.LotItem{{ID: "i", Path: "/l/i", Body: make([]byte, size*3/4)}}})
		return b
	}
	unread := bytes.Repeat([]byte("x"), 3<<20)
	refused := func(id uint64) bool { return w.reply(id).Code == 503 && w.reply(id).Head["Retry-After"] != "" }
	w.silent = true
	first := put("large", sized(6<<20))
	w.want(refused(put("second", unread)), "a lot is taken beside one that fills the way")
	w.pass(4 * time.Second)
	w.want(w.reply(first).Code == 504, "the first: %d", w.reply(first).Code)
	w.silent = false
	a, b := put("a", sized(1<<20)), put("b", sized(1<<20))
	w.turn(0)
	w.want(w.reply(a).Code == 202 && w.reply(b).Code == 202, "small ones: %d %d", w.reply(a).Code, w.reply(b).Code)
	w.want(w.reply(put("c", unread)).Code == 400, "one that can't be read, where there is room")
	w.fresh = false
	w.want(refused(put("d", unread)), "a lot is read without a lease")
}

func TestALotThatMovesIsFetchedWithoutWhatIsListed(t *testing.T) {
	w := two(t)
	lot, _ := w.lot(1, 2, 1)
	w.serveItem(w.llm()[0], 1)
	w.pass(100 * time.Millisecond)
	own := func(was, to string) {
		b, _ := json.Marshal(ledger.OwnLot{Lot: lot, Was: was, Owner: to})
		c, _ := json.Marshal(ledger.Command{Kind: "lot.own", At: w.now.Milliseconds(), Body: b})
		w.index++
		w.want(w.led.Apply(w.index, c).Code == 200, "moved")
		w.renew(nil)
	}
	own("me.0", "other")
	w.want(len(w.llm()) == 0, "its runs are cut")
	own("other", "me.0")
	w.pass(50 * time.Millisecond)
	x := w.llm()
	w.want(len(x) == 1, "only what is not listed: %d", len(x))
	w.serveItem(x[0], 1)
	w.pass(100 * time.Millisecond)
	w.want(len(w.read(lot, 0).Results) == 2, "whole")
}

func TestASilentRunGetsASecondOne(t *testing.T) {
	w := two(t)
	lot, _ := w.lot(1, 1, 1)
	x := w.llm()[0]
	w.head(x, 1)
	w.event(x, 0, "a")
	w.pass(600 * time.Millisecond)
	y := w.llm()
	w.want(len(y) == 2, "a second run beside it: %d", len(y))
	second := y[0]
	if second.ID == x.ID {
		second = y[1]
	}
	w.want(flow.Get(second.Fields, "Last-Event-Id") == "0", "from its text")
	w.head(second, 1)
	w.event(second, 1, "b")
	w.done(second)
	w.want(w.cuts[x.ID], "the other is cut")
	w.pass(100 * time.Millisecond)
	w.want(w.read(lot, 0).Results[0].Text == "a\nb", "the first whole text is listed")
}

// Once it is known how long texts take, a lot uses no more slots than it needs to
// be whole in time; when time gets short, it uses all.
func TestALotUsesTheSlotsItNeeds(t *testing.T) {
	w := two(t)
	w.lot(8, 4, 1)
	w.want(len(w.llm()) == 8, "all while nothing is known: %d", len(w.llm()))
	for _, x := range w.llm() {
		w.head(x, 1)
		w.event(x, 0, "a")
	}
	w.pass(200 * time.Millisecond)
	for _, x := range w.llm() {
		w.event(x, 1, "b")
		w.done(x)
	}
	w.turn(10 * time.Millisecond)
	w.want(len(w.llm()) == 4, "24 texts of 0.2 s in 2.6 s: two an engine, not %d in all", len(w.llm()))
	for n := range 25 {
		for _, x := range w.llm() {
			w.head(x, 1)
			w.event(x, n, "c") // what runs goes on, so no engine is doubted
		}
		w.pass(100 * time.Millisecond)
	}
	w.want(len(w.llm()) == 8, "all when time is short: %d", len(w.llm()))
}

// A node whose machine is small hands the lots that it takes to one that is large
// enough, and a large one keeps them; the next lot of the pool goes the same way.
func TestLotsGoToMachinesThatAreLargeEnough(t *testing.T) {
	for _, c := range []struct {
		me, other, handed int
		role              string
	}{{64, 400, 1, "dispatcher"}, {400, 64, 0, "dispatcher"}, {400, 400, 0, "dispatcher"}, {400, 400, 1, "worker"}, {400, 300, 1, "worker"}, {400, 64, 0, "worker"}} {
		w := two(t)
		w.cpu = c.me
		w.others = []gossip.Entry{{ID: "big", Addr: "big", Roles: []string{c.role}, Cpu: c.other}}
		w.turn(10 * time.Millisecond)
		w.lines = nil
		_, r := w.lot(1, 2, 1)
		w.want(r.Code == 202, "accepted: %+v", r)
		n := 0
		for _, l := range w.lines {
			if l.Kind == "lot.hand" && l.To == "big" {
				n++
			}
		}
		w.want(n == c.handed && (len(w.llm()) == 0) == (c.handed == 1), "%+v: handed %d, sent %d", c, n, len(w.llm()))
	}
}

// A machine that an operator wants emptied is told so until it says that it is
// retired, and gets no more lots from then on.
func TestARetiredMachineGetsNoLots(t *testing.T) {
	w := two(t)
	w.cpu = 400
	worker := gossip.Entry{ID: "w1", Name: "storage-1", Addr: "w1", Roles: []string{"reserve", "worker"}, Cpu: 400}
	w.others = []gossip.Entry{worker}
	w.told = map[ledger.Kind]ledger.Result{"store.holding": {Code: 200, Body: []byte(`{}`)}}
	w.turn(10 * time.Millisecond)
	told := func(kind string) bool {
		return slices.ContainsFunc(w.lines, func(l flow.Line) bool { return l.Kind == kind && l.To == "w1" })
	}
	w.lines = nil
	w.call("machine.state", flow.Call{Vars: map[string]string{"id": "storage-1"}})
	w.pass(time.Second)
	w.want(!told(RetireLine), "a question tells it nothing: %v", w.lines)
	w.call("machine.empty", flow.Call{Vars: map[string]string{"id": "storage-1"}})
	for range 3 {
		w.lines = nil
		w.pass(retireEvery + 10*time.Millisecond)
		w.want(told(RetireLine), "it is told until it says so: %v", w.lines)
	}
	worker.Retired = true
	w.others = []gossip.Entry{worker}
	w.turn(10 * time.Millisecond)
	w.lines = nil
	w.pass(time.Second)
	w.handIn("lot2", "m", 1, 1, 1)
	w.want(!told(RetireLine) && !told("lot.hand"), "it is told no more, and gets nothing: %v", w.lines)
}

// A lot that is new and fell to this node has a moment to be handed over by the
// node that took it, before it is fetched.
func TestANewLotMayBeHandedOver(t *testing.T) {
	w := two(t)
	b, _ := json.Marshal(ledger.LotDoc{ID: "n", Owner: "me.0", Host: "h", Path: "/l/x", Model: "m", Least: 1, KeepMS: 1000, Items: []ledger.LotItem{{ID: "i", Path: "/l/i"}}})
	w.want(w.answer(ask.Ask{Kind: "lot.put", Body: b}).Code == 200, "put by another")
	w.renew(nil)
	w.pass(150 * time.Millisecond)
	w.want(len(w.llm()) == 0, "it waits for the hand-over")
	w.pass(150 * time.Millisecond)
	w.want(len(w.llm()) == 1, "and then fetches it")
}

// A large lot that is new is given the time that its bytes take on their way: while it
// comes it is not fetched, and where it does not come it is.
func TestALargeLotIsGivenLongerToBeHandedOver(t *testing.T) {
	w := two(t)
	doc := ledger.LotDoc{ID: "n", Owner: "me.0", Host: "h", Path: "/l/x", Model: "m", Least: 1, KeepMS: 10_000, DueMS: 8000, WaitMS: 9000, Items: []ledger.LotItem{{ID: "i", Path: "/l/i", Body: make([]byte, 750<<10)}}}
	w.want(w.answer(ask.Ask{Kind: ledger.KindLotPut, Body: ledger.PackLot(doc).Encode()}).Code == ledger.Accepted, "put by another")
	w.renew(nil)
	w.pass(600 * time.Millisecond)
	w.want(len(w.llm()) == 0, "a megabyte is fetched while it is on its way")
	w.pass(200 * time.Millisecond)
	w.want(len(w.llm()) == 1, "a megabyte that does not come is not fetched")
}
