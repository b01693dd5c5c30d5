package lots

import (
	"strconv"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/httpstatus"
	"fernlink/core/ledger"
	"fernlink/core/serve/env"
	"fernlink/core/serve/route"
	"fernlink/core/sorted"
)

// Put hands a lot in: it is kept by the ledger before it is accepted.
func (t *Table) Put(c flow.Call, r *route.Route, keep flow.Time) {
	id := flow.Get(c.Fields, t.env.Codec.Attempt)
	if why := t.busy(len(c.Body)); why != "" {
		if t.env.Debug {
			t.env.Trace("lots", "refused", "lot", id, "why", why)
		}
		t.env.Refuse(c.ID, why, budget.RenewInterval)
		return
	}
	if id != "" && len(c.Body) > wholeMost && t.env.Codec.OpenLot != nil {
		t.beginHandIn(c, id, r, keep)
		return
	}
	doc, err := t.env.Codec.ReadLot(id, c.Body)
	if id == "" || err != nil {
		if t.env.Debug {
			t.env.Trace("lots", "refused", "lot", id, "why", env.BadLot.Reason)
		}
		t.env.Answer(c.ID, env.BadLot)
		return
	}
	var memory int64
	for _, item := range doc.Items {
		memory += memoryOf(item)
	}
	if !t.fillHead(&doc, c, r, keep, memory) {
		t.env.Refuse(c.ID, env.NoMemory, budget.Listed)
		return
	}
	t.putWhole(c, doc, t.env.Now)
}

// fillHead fills in what a lot does not say itself. It gives false where no process has the
// memory to run it.
func (t *Table) fillHead(doc *ledger.LotDoc, c flow.Call, r *route.Route, keep flow.Time, memory int64) bool {
	doc.Host, doc.Path, doc.Route, doc.Pool, doc.Plan = c.Host, c.Path, r.Name, r.Pool, t.routes().Version
	doc.Single, doc.Tries, doc.WaitMS, doc.DueMS, doc.KeepMS = r.Single, r.Tries, int64(r.WaitMS), int64(r.DueMS), keep.Milliseconds()
	doc.Owner = t.ownerOf(r.Pool, doc.Model, memory)
	return doc.Owner != ""
}

// putWhole hands a lot in as one command.
func (t *Table) putWhole(c flow.Call, doc ledger.LotDoc, came flow.Time) {
	t.putting[c.ID] = len(c.Body)
	packed := ledger.PackLot(doc)
	t.env.Ask(budget.AskTimeout, packed, func(a ask.Answer) {
		delete(t.putting, c.ID)
		t.handedIn(c, doc, len(doc.Items), a, func() { t.hand(doc, packed, t.env.Now-came) })
	})
}

// handedIn answers a hand-in as the store did. fresh is called for a lot that is taken just
// now.
func (t *Table) handedIn(c flow.Call, doc ledger.LotDoc, items int, a ask.Answer, fresh func()) {
	if t.env.Debug {
		t.env.Trace("lots", handInTold[a.Code == ledger.Accepted], "lot", doc.ID, "code", a.Code, "items", items)
	}
	var put ledger.LotPut
	if a.Code != ledger.Accepted || json.Unmarshal(a.Body, &put) != nil {
		t.notTaken(c, a)
		return
	}
	t.env.Counts["lots_taken"]++
	t.env.Out.Answer(c.ID, env.StatusLotTaken, struct{}{}, nil)
	if put.Fresh {
		fresh()
	}
}

// handInBytes is how many bytes of lots may be under way to the store from one node: what
// waits for a peer beyond 4 MB is dropped, the oldest first (design 5.1). One lot is
// taken whatever its size.
const handInBytes = 4 << 20

// busy says why a lot can't be taken in time, before any of it is read, or "".
func (t *Table) busy(size int) env.Reason {
	if !t.env.Fresh() || t.leaving {
		return env.StoreUnheard
	}
	under := 0
	for _, bytes := range t.putting {
		under += bytes
	}
	if under > 0 && under+size > handInBytes {
		return env.LotsUnderWay
	}
	return ""
}

// notTaken answers a hand-in that the store did not accept.
func (t *Table) notTaken(c flow.Call, a ask.Answer) {
	switch a.Code {
	case ledger.Full:
		t.env.Refuse(c.ID, env.OpenLotsFull, budget.Listed)
	case ledger.Oversized, ledger.Rejected: // it never reached the store
		t.env.Refuse(c.ID, env.TooLargeToKeep, budget.Listed)
	case ledger.Invalid, ledger.Conflict:
		t.env.Out.Answer(c.ID, httpstatus.Of(a.Code), a.Body, nil)
	case ledger.Unavailable:
		// The store says why, but an earlier try may yet be taken: no promise goes
		// with this.
		t.env.Out.Answer(c.ID, env.LotMayBeTaken.Status, a.Body, nil)
	default:
		// Whether the store took it is not known: no promise goes with this.
		t.env.Answer(c.ID, env.LotMayBeTaken)
	}
}

// hand gives a lot that was just committed to its owner.
func (t *Table) hand(doc ledger.LotDoc, packed ledger.PackedLot, age flow.Time) {
	if doc.Owner == t.env.Me {
		t.Adopt(doc, age)
		return
	}
	if to := t.addr(doc.Owner); to != "" {
		t.env.Out.EncodedLine(to, "lot.hand", packed.EncodeWhole(age.Milliseconds()), nil)
	}
}

// Handed takes a lot from the node that took it. Where it is moved later, the next
// renewal takes it away again.
func (t *Table) Handed(doc ledger.LotDoc) {
	if doc.Owner == t.env.Me && !t.leaving {
		t.Adopt(doc, flow.Time(doc.AgeMS)*time.Millisecond)
	}
}

// superseded says whether this node has heard that a lot is over or another's. A
// hand-over, or the store's answer with a lot's items, may be on its way for longer
// than a lot lasts; nothing would take the lot away again.
func (t *Table) superseded(id string) bool {
	x, known := t.open[id]
	_, over := t.over[id]
	return over || known && x.owner != t.env.Me
}

// handInTold names what came of a hand-in.
var handInTold = map[bool]string{true: "accepted", false: "refused"}

// End ends a lot for its trainer.
func (t *Table) End(c flow.Call) {
	id := c.Vars["id"]
	t.env.Ask(budget.AskTimeout, ledger.EndLot(id), func(a ask.Answer) {
		if t.env.Debug {
			t.env.Trace("lots", "ended", "lot", id, "code", a.Code)
		}
		if a.Code == ledger.Accepted {
			t.drop(id)
			t.cutAtOwner(id)
			t.env.Out.Answer(c.ID, env.StatusDone, struct{}{}, nil)
			return
		}
		t.told(c, a)
	})
}

// CutLine is the kind of the line that tells a lot's owner that it was ended.
const CutLine = "lot.cut"

// cutAtOwner tells the owner of a lot that was just ended, so far as this node
// knows it; the owner's next renewal says the same (design 12.5).
func (t *Table) cutAtOwner(id string) {
	owner := t.open[id].owner
	if owner == t.env.Me {
		return
	}
	if to := t.addr(owner); to != "" {
		t.env.Out.Line(to, CutLine, id)
	}
}

// Cut ends all work on a lot that its trainer ended at another node.
func (t *Table) Cut(id string) {
	t.heardEnd(id)
	delete(t.wanted, id)
	t.drop(id)
}

// told passes a store's other answer on: 404 only as its own word.
func (t *Table) told(c flow.Call, a ask.Answer) {
	if a.Code == ledger.NotFound || a.Code == ledger.Invalid {
		t.env.Out.Answer(c.ID, httpstatus.Of(a.Code), a.Body, nil)
		return
	}
	t.env.Refuse(c.ID, env.StoreSilent, budget.RenewInterval)
}

// PageBytes bounds the results in one answer, encoded, to the megabyte that an answer may
// have; one that is larger comes alone. Who reads a lot comes back some time after each
// answer, so a page that is smaller than what there is holds up all that comes after it.
const PageBytes = 960 << 10

// readersMost bounds the readers that wait, readerWaitMost how long one does.
const (
	readersMost    = 1024
	readerWaitMost = 5 * time.Second
)

// reader is a call that reads results, and may wait for some.
type reader struct {
	call flow.Call
	from int
	till flow.Time
	next flow.Time
	open bool
}

// Read gives the results of a lot from a position on.
func (t *Table) Read(c flow.Call) {
	from, err := 0, error(nil)
	if word := c.Query[t.env.Codec.After]; word != "" {
		from, err = strconv.Atoi(word)
	}
	if err != nil || from < 0 {
		t.env.Answer(c.ID, env.BadPosition)
		return
	}
	wait, _ := env.Milliseconds(flow.Get(c.Fields, t.env.Codec.Wait))
	if len(t.readers) >= readersMost || t.leaving {
		wait = 0
	}
	r := &reader{call: c, from: from, till: t.env.Now + min(max(wait, 0), readerWaitMost)}
	t.readers[c.ID] = r
	t.ask(r)
}

func (t *Table) ask(r *reader) {
	r.open = true
	id := r.call.Vars["id"]
	t.env.Ask(budget.Listed, ledger.ReadLot{Lot: id, From: r.from, Bytes: PageBytes}, func(a ask.Answer) {
		r.open = false
		if t.readers[r.call.ID] != r {
			return
		}
		var x ledger.EncodedRead
		if a.Code != ledger.Accepted || flow.Decode(a.Body, &x) != nil {
			delete(t.readers, r.call.ID)
			t.told(r.call, a)
			return
		}
		if len(x.Results) == 0 && !x.Ended && x.Listed < x.Total && t.env.Now < r.till {
			r.next = t.env.Now + budget.Listed/6
			return
		}
		delete(t.readers, r.call.ID)
		t.env.Out.Replies = append(t.env.Out.Replies, flow.Reply{ID: r.call.ID, Code: env.StatusDone,
			Fields: []flow.Field{{Name: "Content-Type", Value: "application/json"}},
			Body:   t.env.Codec.WritePage(dialect.LotPage{Total: x.Total, Next: x.Next, Results: x.Results})})
	})
}

// wake asks again for readers that wait.
func (t *Table) wake() {
	for _, id := range sorted.Keys(t.readers) {
		if r := t.readers[id]; !r.open && t.env.Now >= r.next {
			t.ask(r)
		}
	}
}

// Gone hears that a reader, or the trainer of a hand-in, went away.
func (t *Table) Gone(call uint64) {
	delete(t.readers, call)
	t.goneHandIn(call)
}

// Bounds of one listing. While items of a lot finish one after the other, each
// command lists those of an eighth of a second: a command costs the leader and every
// voter about the same, whatever number of results it has.
const (
	flushEvery = budget.Listed / 8
	flushLast  = budget.Listed / 25 // once all items are finished
	flushBytes = 256 << 10
)

// mayFlush says whether a lot's finished items are to be listed now.
func (t *Table) mayFlush(l *lot) bool {
	if l.flight > 0 || len(l.ready) == 0 && !t.mustKeep(l) {
		return false
	}
	if l.left == 0 {
		return t.env.Now-l.flushed >= flushLast
	}
	return t.env.Now-l.flushed >= flushEvery
}

// flush lists finished items, one command at a time for each lot, so that their
// order is this node's.
func (t *Table) flush() {
	for _, id := range sorted.Keys(t.rows) {
		l := t.rows[id]
		if !t.mayFlush(l) {
			continue
		}
		n, size := 0, 0
		for n < len(l.ready) && (n == 0 || size < flushBytes) {
			size += len(l.ready[n].Text)
			n++
		}
		keep := t.unsaved(l, flushBytes-size)
		l.flight, l.flushed = n+len(keep), t.env.Now
		t.env.Ask(budget.AskTimeout, ledger.ListLot{Lot: id, Results: l.ready[:n:n], Whole: keep}, func(a ask.Answer) {
			l.flight = 0
			if a.Code.Retryable() {
				return // it is said again
			}
			l.saved(keep)
			if t.env.Debug {
				for _, r := range l.ready[:n] {
					t.env.Trace("lots", "listed", "lot", id, "item", r.Item, "state", r.State, "code", a.Code)
				}
			}
			t.env.Counts["items_listed"] += int64(n)
			l.ready = l.ready[n:]
			if l.left == 0 && len(l.ready) == 0 && t.rows[id] == l {
				l.items, l.groups = nil, nil // all is listed; the lot stays until it is ended
			}
		})
	}
}
