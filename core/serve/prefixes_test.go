package serve

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/dialect"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/index/gate"
	"fernlink/core/index/journal"
	"fernlink/core/index/view"
	"fernlink/core/ledger"
)

// coordinator stands in for the acting one: the real gate and views, by hand.
type coordinator struct {
	w     *world
	gate  *gate.Gate
	views *view.Views
	at    uint64
}

func withCoordinator(w *world) *coordinator {
	b, _ := json.Marshal(ledger.GrantCoord{ID: "c", Addr: "coord"})
	c, _ := json.Marshal(ledger.Command{Kind: "coord.grant", At: 1, Body: b})
	w.index++
	w.want(w.led.Apply(w.index, c).Code == 200, "granted")
	w.renew(nil)
	return &coordinator{w: w, gate: gate.New(), views: view.New()}
}

// hear takes what was said to it, and answers unless the answers are lost.
func (c *coordinator) hear(lost bool) (kinds []string) {
	lines := c.w.lines
	c.w.lines = nil
	for _, l := range lines {
		if l.To != "coord" {
			continue
		}
		switch l.Kind {
		case "events":
			var b disp.Batches
			_ = json.Unmarshal(l.Body, &b)
			a := disp.Ack{Term: b.Term}
			for _, x := range b.Batches {
				for _, e := range x.Events {
					kinds = append(kinds, e.Kind)
				}
				if v := c.gate.Check(x); v == gate.Admit || v == gate.Gap || v == gate.Fresh {
					c.at++
					c.views.Fold(journal.Record{Offset: c.at, At: c.w.now, Kind: journal.Batch, Engine: x.Engine, Batch: &x})
				}
				q := disp.Seq{Engine: x.Engine, Inc: x.Inc, Seq: c.gate.Seq(x)}
				a.Seqs = append(a.Seqs, q)
				if c.gate.Stale(x) {
					a.Stale = append(a.Stale, q)
				}
			}
			if !lost {
				c.w.s.Acked(a)
			}
		case "lookup":
			var q disp.Lookup
			_ = json.Unmarshal(l.Body, &q)
			kinds = append(kinds, "lookup")
			if !lost {
				var out flow.Outbox
				c.w.s.Looked(c.w.now, disp.Looked{ID: q.ID, Term: 1, Hits: c.views.Hits(q.Blocks)}, &out)
				c.w.take(&out)
			}
		}
	}
	return kinds
}

// prompted hands in a lot of one group whose prompt has one shared part.
func (w *world) prompted(lot, group, part string, size int) {
	var items []ledger.LotItem
	for n := range size {
		items = append(items, ledger.LotItem{ID: fmt.Sprintf("%s-%s-%d", lot, group, n), Group: group, Path: "/l/i",
			Fields: []flow.Field{{Name: "Prompt", Value: part + ":1000,own:16"}}})
	}
	b, _ := json.Marshal(ledger.LotDoc{Model: "m", Least: 1, Items: items})
	w.call("request", flow.Call{Host: "h", Verb: "POST", Path: "/l/x", Body: b, Fields: []flow.Field{{Name: "Try", Value: lot}}})
	w.turn(0)
}

func count(all []string, kind string) (n int) {
	for _, k := range all {
		if k == kind {
			n++
		}
	}
	return n
}

func TestEventsOfPromptsReachTheIndex(t *testing.T) {
	w := two(t)
	c := withCoordinator(w)
	w.prompted("a", "g", "p1", 2)
	for _, x := range w.llm() {
		w.serveItem(x, 1)
	}
	w.pass(1100 * time.Millisecond)
	k := c.hear(false)
	w.want(count(k, "store") == 1 && count(k, "read") == 1 && count(k, "sign") == 1, "stored at the first token, read by the next: %v", k)
	w.want(len(c.views.Hits([]string{"m/p1"})) == 1, "the index knows: %v", c.views.Directory)
	// New weights drop it.
	for _, id := range []string{"m1", "m2"} {
		w.s.engines.Weights(id, "m", 2, false)
	}
	w.pass(1100 * time.Millisecond)
	w.want(count(c.hear(false), "drop") == 1 && len(c.views.Hits([]string{"m/p1"})) == 0, "dropped: %v", c.views.Directory)
}

func TestLostBatchesAreSaidAgainAndGapsAreMended(t *testing.T) {
	w := two(t)
	c := withCoordinator(w)
	for n := range 12 {
		w.prompted(fmt.Sprint("l", n), fmt.Sprint("g", n), fmt.Sprint("p", n), 1)
		for _, x := range w.llm() {
			w.serveItem(x, 1)
		}
		w.pass(1100 * time.Millisecond)
		w.lines = nil // nothing reaches it
	}
	w.pass(1100 * time.Millisecond)
	c.hear(false)
	w.prompted("more", "more", "more", 1)
	for _, x := range w.llm() {
		w.serveItem(x, 1)
	}
	w.pass(2200 * time.Millisecond)
	c.hear(false)
	w.pass(2200 * time.Millisecond)
	c.hear(false)
	known := 0
	for n := range 12 {
		known += len(c.views.Hits([]string{fmt.Sprint("m/p", n)}))
	}
	w.want(known == 12, "all that is held is known in the end: %d of 12", known)
}

func TestAnotherNodesPromptIsFoundAndNobodyWaitsForIt(t *testing.T) {
	w := two(t)
	c := withCoordinator(w)
	// Another node told that m2 holds p1.
	c.views.Fold(journal.Record{Kind: journal.Batch, Engine: "m2/m", Batch: &disp.Batch{Engine: "m2/m", Inc: "m2", Writer: "other", Seq: 1,
		Events: []disp.Event{{Kind: "store", Rev: 1, Blocks: []string{"m/p1"}},
			{Kind: "sign", Rev: 1, Load: &dialect.Load{Inc: "m2", Revision: 1}, Seat: &disp.Seat{Ready: true}}}}})
	// Its slots are full, so that the group waits.
	w.lot(2, 4, 1)
	w.want(len(w.llm()) == 8, "full")
	w.prompted("b", "g", "p1", 1)
	w.want(count(c.hear(false), "lookup") == 1, "the index is asked")
	for _, x := range w.llm() {
		w.serveItem(x, 1)
	}
	w.turn(10 * time.Millisecond)
	found := false
	for _, s := range w.at("10.0.1.2:1") {
		found = found || s.Match == "b-g-0"
	}
	w.want(found, "it goes where its prompt is")
	// With nobody to ask it goes at once.
	w.prompted("c", "g2", "p2", 1)
	c.hear(true)
	w.turn(10 * time.Millisecond)
	found = false
	for _, s := range w.llm() {
		found = found || s.Match == "c-g2-0"
	}
	w.want(found, "a send never waits for the index")
}
