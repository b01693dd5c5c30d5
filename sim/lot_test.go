package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/store"
)

// outsider asks the store as a dispatcher of its own would.
type outsider struct {
	*story
	name  string
	asker *ask.Asker
	heard uint64
	lots  map[string]ledger.LotRow
	have  uint64
	moves int // how often a lot was told to have another owner
	mute  bool
}

func (s *story) outsider(name string, n int) *outsider {
	o := &outsider{story: s, name: name, asker: ask.New(uint64(n) << 40), lots: map[string]ledger.LotRow{}}
	addr := fmt.Sprintf("10.7.0.%d:1", n)
	h := &Host{w: s.w, Name: name, Up: true, hear: func(l flow.Line) {
		var t ask.Told
		if json.Unmarshal(l.Body, &t) == nil {
			o.asker.Take(s.w.Now, l.Addr, t)
		}
	}}
	s.w.at[addr] = h
	var stores []string
	for _, x := range s.w.By("store") {
		stores = append(stores, x.Config.Addr)
	}
	s.w.Every(tick, func() bool {
		var out flow.Outbox
		o.asker.Advance(s.w.Now, stores, &out)
		for _, l := range out.Lines {
			to := s.w.at[l.To]
			l.Ver, l.Addr, l.From = flow.Version, addr, name
			s.w.Net.Send(name, to.Name, func() { to.offer(to.life, flow.Event{Line: &l}) })
		}
		return true
	})
	s.w.Every(budget.RenewInterval, func() bool {
		if !o.mute {
			o.asker.Put(s.w.Now, budget.LeaseDuration, "renew", store.Renew{ID: name, Have: o.have, Heard: o.heard}, func(_ time.Duration, a ask.Answer) { o.renewed(a) })
		}
		return true
	})
	return o
}

func (o *outsider) renewed(a ask.Answer) {
	var d ledger.Delta
	if a.Code != 0 {
		o.heard++
	}
	if a.Code != 200 || json.Unmarshal(a.Body, &d) != nil || d.Index < o.have {
		return
	}
	o.have = d.Index
	for _, r := range d.Lots {
		if was, ok := o.lots[r.ID]; ok && was.Owner != r.Owner {
			o.moves++
		}
		o.lots[r.ID] = r
	}
}

// tell asks and waits for the answer.
func (o *outsider) tell(kind ledger.Kind, body any, into any) ledger.Outcome {
	o.Helper()
	var got *ask.Answer
	o.asker.Put(o.w.Now, 2*budget.Heal, kind, body, func(_ time.Duration, a ask.Answer) { got = &a })
	o.then(o.w.Until(2*budget.Heal, func() bool { return got != nil }), "%s is answered", kind)
	if into != nil {
		_ = json.Unmarshal(got.Body, into)
	}
	return got.Code
}

func lotOf(id, owner string, n int) ledger.LotDoc {
	d := ledger.LotDoc{ID: id, Owner: owner, KeepMS: 600_000, WaitMS: 60_000}
	for i := 0; i < n; i++ {
		d.Items = append(d.Items, ledger.LotItem{ID: fmt.Sprint("i", i), Path: "/x", Body: []byte(strings.Repeat("b", 2000))})
	}
	return d
}

func (o *outsider) list(lot string, from, to int) int {
	o.Helper()
	x := ledger.ListLot{Lot: lot}
	for i := from; i < to; i++ {
		x.Results = append(x.Results, ledger.LotResult{Item: fmt.Sprint("i", i), State: ledger.LotComplete, Text: strings.Repeat("t", 3000), Versions: []int{1}})
	}
	var n ledger.LotCount
	o.then(o.tell("lot.list", x, &n) == 200, "results are listed")
	return n.Listed
}

// Given lots under way, when their owner falls silent, then each gets one owner
// of those that live, not before the old one's lease is over; and when an owner
// says that it is gone, its lots move at once.
func TestLotsOfALostOwner(t *testing.T) {
	t.Parallel()
	s := given(t, 420)
	a, b, c := s.outsider("a", 1), s.outsider("b", 2), s.outsider("c", 3)
	s.w.Run(2 * time.Second)
	for i := 0; i < 6; i++ {
		s.then(a.tell("lot.put", lotOf(fmt.Sprint("lot", i), "a", 10), nil) == 200, "a lot is taken")
	}
	s.then(a.list("lot0", 0, 4) == 4, "four are listed")
	s.then(a.tell("lot.end", "lot5", nil) == 200, "one ends")
	s.then(a.tell("lot.own", ledger.OwnLot{Lot: "lot0", Was: "a", Owner: "b"}, nil) == 400, "nobody but the leader moves a lot")
	s.w.Run(6 * time.Second)
	s.then(b.moves == 0, "a lot of an owner that lives stays: %v", b.lots)
	a.mute = true
	from := s.w.Now
	moved := func() bool {
		for _, r := range b.lots {
			if r.Owner == "a" && !r.Ended {
				return false
			}
		}
		return true
	}
	s.then(s.w.Until(budget.Heal, moved), "lots move: %v", b.lots)
	took := s.w.Now - from
	s.then(took > budget.OwnerTimeout-budget.RenewInterval && took < budget.LeaseDuration, "in time: %v", took)
	s.then(b.lots["lot5"].Owner == "a" && b.moves == 5, "each once, and none that ended: %d %v", b.moves, b.lots)
	var left ledger.LotItems
	s.then(b.tell("lot.items", "lot0", &left) == 200 && len(left.Doc.Items) == 6 && left.Listed == 4 && left.Doc.AgeMS > 6000, "its owner hears what is left: %d, %d ms", len(left.Doc.Items), left.Doc.AgeMS)
	s.then(b.list("lot0", 2, 10) == 10, "it goes on where the other was")
	// An owner that says so need not be waited for.
	for i := 0; i < 3; i++ {
		s.then(c.tell("lot.put", lotOf(fmt.Sprint("mine", i), "c", 2), nil) == 200, "a lot is taken")
	}
	c.mute = true
	from = s.w.Now
	s.then(c.tell("gone", "c", nil) == 200, "it says that it is gone")
	s.then(s.w.Until(budget.FailureTimeout, func() bool {
		for _, r := range b.lots {
			if r.Owner == "c" {
				return false
			}
		}
		return len(b.lots) == 9
	}), "its lots move: %v", b.lots)
	s.then(s.w.Now-from < budget.FailureTimeout/2, "at once: %v", s.w.Now-from)
	s.end()
}

// Given a leader that is new, when it has heard no owner yet, then it gives no
// lot away, and what was handed in and listed is all there.
func TestLotsOverANewLeader(t *testing.T) {
	t.Parallel()
	s := given(t, 421)
	a, b := s.outsider("a", 1), s.outsider("b", 2)
	s.w.Run(2 * time.Second)
	s.then(a.tell("lot.put", lotOf("lot", "a", 600), nil) == 200, "a lot is taken")
	listed := 0
	for i := 0; i < 5; i++ {
		listed = a.list("lot", listed, listed+50)
		l := s.w.Leader()
		l.Kill()
		s.then(s.w.Until(budget.Heal, func() bool { x := s.w.Leader(); return x != nil && x != l }), "another leads")
		l.Start()
		var put ledger.LotPut
		s.then(a.tell("lot.put", lotOf("lot", "b", 600), &put) == 200 && !put.Fresh && put.Total == 600, "the same again is a repeat: %+v", put)
		s.w.Run(3 * time.Second)
	}
	s.then(b.moves == 0, "no lot moved: %v", b.lots)
	// A machine that has none of it takes it all over.
	dead := s.follower()
	dead.Lose(true)
	dead.Start()
	s.then(s.w.Until(budget.Heal, func() bool { return s.members()[dead.ID()].Voter && s.settled() }), "an empty machine is filled: %v", s.members())
	for _, h := range s.w.By("store") {
		if l := s.w.Leader(); h == l && h != dead {
			h.Kill()
		}
	}
	s.then(s.w.Until(budget.Heal, func() bool { return s.w.Leader() != nil }), "another leads")
	seen := map[string]bool{}
	for from := 0; from < 250; {
		var r ledger.LotRead
		s.then(b.tell("lot.read", ledger.ReadLot{Lot: "lot", From: from, Bytes: 100_000}, &r) == 200 && r.Listed == 250 && r.Next > from, "results are read: %d %d", r.Listed, r.Next)
		for i, x := range r.Results {
			s.then(x.Item == fmt.Sprint("i", from+i) && len(x.Text) == 3000 && !seen[x.Item], "in their places: %s at %d", x.Item, from+i)
			seen[x.Item] = true
		}
		from = r.Next
	}
	var left ledger.LotItems
	s.then(b.tell("lot.items", "lot", &left) == 200 && len(left.Doc.Items) == 350, "what is left is there: %d", len(left.Doc.Items))
	s.end()
}

// Given lots of a start that was killed, when a later start of the same node
// renews, then they move at once, also under a leader that never heard the
// earlier one; an earlier start that is heard late takes none away.
func TestLotsOfAnEarlierStart(t *testing.T) {
	t.Parallel()
	s := given(t, 422)
	a, b := s.outsider("n1.9", 1), s.outsider("n2.a", 2)
	s.w.Run(2 * time.Second)
	put := func(owner string, ids ...string) {
		for _, id := range ids {
			d := lotOf(id, owner, 10)
			d.Pool = "p"
			s.then(b.tell("lot.put", d, nil) == 200, "a lot is taken")
		}
	}
	settled := func(x *outsider, owner string, ids ...string) func() bool {
		return func() bool {
			for _, id := range ids {
				if o := x.lots[id].Owner; o == "" || o == owner || o != x.lots[ids[0]].Owner {
					return false
				}
			}
			return true
		}
	}
	put("n1.9", "l0", "l1")
	s.w.Run(time.Second)
	a.mute = true
	later := s.outsider("n1.10", 3)
	from := s.w.Now
	s.then(s.w.Until(budget.Heal, settled(b, "n1.9", "l0", "l1")), "lots move: %v", b.lots)
	s.then(s.w.Now-from < budget.FailureTimeout/2, "at once: %v", s.w.Now-from)

	put("n1.10", "l2", "l3")
	a.mute = false // what it said before it died arrives late
	s.w.Run(time.Second)
	a.mute = true
	s.then(b.lots["l2"].Owner == "n1.10" && b.lots["l3"].Owner == "n1.10", "they stay: %v", b.lots)

	c := s.outsider("n3.1", 4)
	s.w.Run(time.Second)
	put("n3.1", "l4", "l5")
	c.mute = true
	l := s.w.Leader()
	l.Kill()
	s.outsider("n3.2", 5)
	s.then(s.w.Until(budget.Heal, func() bool { x := s.w.Leader(); return x != nil && x != l }), "another leads")
	from = s.w.Now
	s.then(s.w.Until(budget.Heal, settled(later, "n3.1", "l4", "l5")), "lots move: %v", later.lots)
	s.then(s.w.Now-from < budget.FailureTimeout/2, "at once: %v", s.w.Now-from)
	l.Start()
	s.end()
}

// Given a leader that is lost together with an owner of lots, when another leads,
// then the lots move as soon as whoever lives has renewed.
func TestLotsOfAnOwnerThatNoLeaderHears(t *testing.T) {
	t.Parallel()
	s := given(t, 423)
	a, b := s.outsider("a", 1), s.outsider("b", 2)
	s.w.Run(2 * time.Second)
	s.then(a.tell("lot.put", lotOf("lot", "a", 10), nil) == 200, "a lot is taken")
	a.mute = true
	l := s.w.Leader()
	l.Kill()
	s.then(s.w.Until(budget.Heal, func() bool { x := s.w.Leader(); return x != nil && x != l }), "another leads")
	from := s.w.Now
	s.then(s.w.Until(budget.Heal, func() bool { o := b.lots["lot"].Owner; return o != "" && o != "a" }), "it moves: %v", b.lots)
	took := s.w.Now - from
	s.then(took >= budget.OwnerTimeout-budget.HeartbeatInterval && took < budget.LeaseDuration, "in time: %v", took)
	l.Start()
	s.end()
}
