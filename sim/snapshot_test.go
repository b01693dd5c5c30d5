package sim

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
	"fernlink/core/store"
	"fernlink/shell/disk"
)

// bulky puts plans of many routes, so that the state takes many pieces.
func (s *story) bulky(n int) {
	s.Helper()
	for v := uint64(1); v <= uint64(n); v++ {
		p := PlanDoc("bulky")
		for i := 0; i < 3000; i++ {
			p.Routes = append(p.Routes, api.Route{Name: fmt.Sprintf("r%d-%d", v, i), Path: fmt.Sprintf("/bulky-%d/%d", v, i), Verbs: []string{"GET"}, Pool: AppPool})
		}
		r := s.ask(s.disp(0), Call("plan.put", nil, map[string]any{"read": v, "request": fmt.Sprint("bulky", v), "plan": slim(p)}))
		s.then(r.Code == 200, "plan %d is taken: %d %.200s", v, r.Code, r.Body)
	}
}

func (s *story) stats(h *Host) *store.Stats { return h.Node.Stats(h.clock()).Store }

// behind replaces a follower by an empty machine, runs until the new one is in
// the midst of its snapshot, and gives it.
func (s *story) behind() *Host {
	s.Helper()
	s.train("one")
	s.a.Consume(50 * time.Millisecond)
	s.bulky(6)
	s.snapshoted()
	dead := s.follower()
	dead.Lose(true)
	dead.Retired = true
	h := s.fresh("store-new", 1, dead.Config.Zone)
	s.then(s.w.Until(budget.Heal, func() bool { return h.Up && s.stats(h).Pulled > 3 }), "it fetches a snapshot")
	return h
}

// snapshoted runs until the leader's log stands for all but the last entries.
func (s *story) snapshoted() {
	s.Helper()
	was := s.stats(s.w.Leader()).Snapshot
	s.then(s.w.Until(time.Minute, func() bool { l := s.w.Leader(); return l != nil && s.stats(l).Snapshot != was }), "a snapshot is made")
}

func (s *story) caughtUp(h *Host) {
	s.Helper()
	id := h.ID()
	s.then(s.w.Until(3*budget.Heal, func() bool { return s.members()[id].Voter && s.settled() && s.voters() == 3 }), "it becomes a voter: %v", s.members())
	for _, x := range s.w.By("store") {
		if x != h && x.Up && x == s.w.Leader() {
			x.Lose(true) // what it alone would have is gone
			x.Retired = true
		}
	}
	s.then(s.w.Until(budget.Heal, func() bool { return s.w.Leader() != nil }), "the others go on")
	s.end()
}

// Given a state of many pieces, when an empty machine takes a lost one's place,
// then it catches up while heartbeats, traffic and steps go on, and nothing is
// missing on it (design 4.10).
func TestSnapshotInPieces(t *testing.T) {
	t.Parallel()
	s := given(t, 210)
	h := s.behind()
	l, term := s.w.Leader(), s.stats(s.w.Leader()).Term
	listed := s.a.Listed
	s.then(s.w.Until(budget.Heal, func() bool { return s.stats(h).Pulling == false }), "it has the snapshot")
	s.w.Run(2 * time.Second)
	s.then(s.w.Leader() == l && s.stats(l).Term == term, "the leader kept its office")
	s.then(s.a.Listed > listed, "steps went on")
	s.caughtUp(h)
}

// Given a machine in the midst of a snapshot, when the leader dies, then it goes
// on with the next leader's, and what it had stays.
func TestLeaderDiesMidSnapshot(t *testing.T) {
	t.Parallel()
	s := given(t, 211)
	h := s.behind()
	l := s.w.Leader()
	l.Kill()
	s.w.After(3*time.Second, l.Start)
	s.then(s.w.Until(3*budget.Heal, func() bool { return !s.stats(h).Pulling && s.stats(h).Applied > 0 }), "it has the snapshot")
	s.caughtUp(h)
}

// Given a machine in the midst of a snapshot, when its power goes, then it starts
// with what was synced, and never with half a snapshot.
func TestPowerLossMidSnapshot(t *testing.T) {
	t.Parallel()
	for seed := int64(212); seed < 215; seed++ {
		s := given(t, seed)
		h := s.behind()
		s.w.Run(s.w.between(0, 60*time.Millisecond))
		h.Lose(false)
		s.w.Run(time.Second)
		h.Start()
		s.then(h.Up, "it starts: %q", h.Notes)
		s.then(s.w.Until(3*budget.Heal, func() bool { return !s.stats(h).Pulling && s.stats(h).Applied > 0 }), "it has the snapshot")
		s.caughtUp(h)
	}
}

// Given pieces that are old, doubled or of another leader, when they come, then
// they are dropped and counted, and the snapshot is whole.
func TestStrayPieces(t *testing.T) {
	t.Parallel()
	s := given(t, 219)
	s.w.Net.Twice, s.w.Net.Late = 0.5, 0.05
	h := s.behind()
	// A second start of it hears another's pieces before the leader's.
	h.Lose(true)
	h.Start()
	for i := 0; i < 20000 && !(s.stats(h).Pulling && s.stats(h).Pulled == 0); i++ {
		s.w.Run(time.Millisecond)
	}
	index := 0
	_, _ = fmt.Sscanf(h.Notes[len(h.Notes)-1][strings.Index(h.Notes[len(h.Notes)-1], "[index"):], "[index %d]", &index)
	body, _ := json.Marshal(map[string]any{"i": index, "f": "nobody", "at": 0, "n": 4, "s": []byte("null")})
	h.offer(h.life, flow.Event{Line: &flow.Line{Ver: flow.Version, Kind: "piece", Addr: "10.9.9.9:1", Body: body}})
	s.then(s.w.Until(2*budget.Heal, func() bool { return !s.stats(h).Pulling && s.stats(h).Applied > 0 }), "it has the snapshot")
	s.then(s.stats(h).Strays > 0, "strays are counted")
	s.then(!strings.Contains(strings.Join(h.Notes, " "), "does not read"), "and none is taken for the leader's: %q", h.Notes)
	s.w.Net.Twice, s.w.Net.Late = 0, 0
	s.caughtUp(h)
}

// sameItems fails where an item of a machine's newest snapshot is not as it is on
// another machine, and gives how many were compared.
func (s *story) sameItems(of, other *Host) (compared int) {
	s.Helper()
	_, kept, err := disk.Open(of.Disk.Copy())
	s.then(err == nil && kept.Snapshot != nil, "%s has a snapshot: %v", of.Name, err)
	state, err := ledger.Load(kept.Snapshot.State, kept.Items)
	s.then(err == nil, "its snapshot loads: %v", err)
	for kind, ids := range state.Items() {
		for _, id := range ids {
			want := flow.Fetch{Refs: []flow.Ref{{Kind: kind, ID: id}}}
			here, err := of.log.Fetch(want)
			s.then(err == nil, "%s reads %v: %v", of.Name, want.Refs, err)
			there, err := other.log.Fetch(want)
			s.then(err == nil, "%s reads %v: %v", other.Name, want.Refs, err)
			if len(here.Parts)+len(there.Parts) < 2 {
				continue // one of them needs it no more
			}
			s.then(bytes.Equal(here.Parts[0].Body, there.Parts[0].Body), "%s has the same %s %d as %s", of.Name, kind, id, other.Name)
			compared++
		}
	}
	return compared
}

// Given pieces of which each third is damaged on its way, when an empty machine
// fetches a snapshot, then it counts them, and ends with the leader's state.
func TestDamagedPieces(t *testing.T) {
	t.Parallel()
	pieces, damaged, items := 0, 0, 0
	for seed := int64(221); seed < 227; seed++ {
		s := given(t, seed)
		s.w.Net.Damage = s.w.damagedPiece
		h := s.behind()
		s.then(s.w.Until(2*budget.Heal, func() bool { return !s.stats(h).Pulling && s.stats(h).Applied > 0 }), "it has the snapshot: %d of its pieces were damaged", s.stats(h).Damaged)
		s.then(!strings.Contains(strings.Join(h.Notes, " "), "does not"), "no damaged piece is taken: %q", h.Notes)
		pieces, damaged = pieces+s.stats(h).Pulled, damaged+s.stats(h).Damaged
		s.w.Net.Damage = nil
		s.w.Run(time.Second)
		items += s.sameItems(h, s.w.Leader())
		s.caughtUp(h)
	}
	t.Logf("%d pieces, %d damaged, %d items are the same", pieces, damaged, items)
	if damaged < 15 || items < 50 {
		t.Errorf("too little was tried: %d damaged pieces, %d items", damaged, items)
	}
}

// Given one damaged byte among a store's results, when they are read or the
// store starts, then that store stops rather than serve it, and the results are
// read from the others.
func TestDamagedResult(t *testing.T) {
	t.Parallel()
	s := given(t, 220)
	s.train("one")
	s.a.Consume(50 * time.Millisecond)
	s.snapshoted()
	l := s.w.Leader()
	n := 0
	for name, x := range l.Disk.names {
		if strings.HasPrefix(name, "shelf-text-") && len(x.data) > 200 {
			x.data[120] ^= 4
			x.safe = append([]byte(nil), x.data...)
			n++
		}
	}
	s.then(n > 0, "something was damaged")
	c := Call("step.results", map[string]string{"id": s.a.Order[0]}, nil)
	s.w.Ask(s.disp(0), c, 3*time.Second)
	s.then(!l.Up && strings.Contains(strings.Join(l.Notes, " "), "damaged"), "it stopped: %q", l.Notes)
	l.Start()
	s.w.Run(time.Second)
	s.then(!l.Up, "and does not start")
	heal, ok := s.a.Healed(2 * budget.Heal)
	s.then(ok && heal <= budget.Heal, "service is back: %v", heal)
	s.end()
}

// Given a dispatcher that dies between its claim and the outcome, when the key
// is said again for long enough, then it is unknown, not in progress for ever;
// and one that lives settles what the store could not hear at the time.
func TestClaimOfADeadDispatcher(t *testing.T) {
	t.Parallel()
	s := given(t, 221)
	for _, a := range s.w.Out.Apps() {
		a.Slow = 800 * time.Millisecond
	}
	d := s.disp(0)
	d.Call(Web("POST", "/book/x", map[string]string{"id": "x"}, "k1"), func(flow.Reply) {})
	s.then(s.w.Until(time.Second, func() bool { return s.claims() == 1 }), "the key is claimed")
	d.Kill()
	s.then(s.w.Until(3*budget.Heal, func() bool { return s.claims() == 0 }), "it is settled")
	r := s.ask(s.disp(1), Web("POST", "/book/x", map[string]string{"id": "x"}, "k1"))
	s.then(r.Code == 502 && strings.Contains(string(r.Body), "unknown"), "a repeat is told: %d %s", r.Code, r.Body)
	d.Start()
	s.w.Run(2 * time.Second)
	// The stores are gone just when the outcome is to be recorded.
	s.disp(1).Call(Web("POST", "/book/x", map[string]string{"id": "y"}, "k2"), func(flow.Reply) {})
	s.then(s.w.Until(time.Second, func() bool { return s.claims() == 1 }), "the key is claimed")
	for _, h := range s.w.By("store") {
		h.Kill()
	}
	s.w.Run(4 * time.Second)
	for _, h := range s.w.By("store") {
		h.Start()
	}
	s.then(s.w.Until(2*budget.Heal, func() bool { return s.w.Leader() != nil && s.w.Serving() && s.claims() == 0 }), "it is settled")
	r = s.ask(s.disp(1), Web("POST", "/book/x", map[string]string{"id": "y"}, "k2"))
	s.then(r.Code == 200 && r.Head["Idempotent-Replay"] == "true", "with its true outcome: %d %s", r.Code, r.Body)
	s.end()
}

// claims counts the claims that the leader has as under way.
func (s *story) claims() int {
	l := s.w.Leader()
	if l == nil {
		return -1
	}
	return l.Node.Stats(l.clock()).Rows["claims_open"]
}

// Given a trainer that comes back after its results' time, when it reads them or
// uses the id again, then it is told 410, whoever leads by then.
func TestRetiredStep(t *testing.T) {
	t.Parallel()
	shape := Small
	shape.Bounds = ledger.Usual
	shape.Bounds.Age = 30_000
	s := givenShape(t, 222, shape)
	doc := doc(s.a, "old", 1, 1, 8)
	s.open(doc)
	s.w.Run(3 * time.Second)
	s.ask(s.disp(0), Call("step.end", map[string]string{"id": "old"}, nil))
	read := func() int { return s.ask(s.disp(1), Call("step.results", map[string]string{"id": "old"}, nil)).Code }
	s.w.Run(20 * time.Second)
	s.then(read() == 200, "it is there after a while")
	s.train("one")
	s.w.Run(15 * time.Second)
	s.w.Leader().Kill()
	s.w.Run(4 * time.Second)
	s.then(read() == 410, "later it is retired: %d", read())
	r := s.ask(s.disp(0), Call("step.open", nil, doc))
	s.then(r.Code == 410, "and its id is not taken again: %d %s", r.Code, r.Body)
	s.a.Order = s.a.Order[1:] // the others are still there at the end
	s.end()
}

// Given a table of keys that fills up, when four fifths are there, then the
// status warns; when it is full, bookings with new keys are refused at once, with
// the bound's name and when to come back, and none of them runs.
func TestKeysNearTheBound(t *testing.T) {
	t.Parallel()
	shape := Small
	shape.Bounds = ledger.Usual
	shape.Bounds.Keys = 1200
	s := givenShape(t, 223, shape)
	codes, warned := map[int]int{}, 0
	var last flow.Reply
	book := func(i int) {
		h := s.disp(i % 2)
		h.Call(Web("POST", "/book/x", map[string]string{"id": fmt.Sprint("b", i)}, fmt.Sprint("k", i)), func(r flow.Reply) {
			codes[r.Code]++
			if r.Code != 200 {
				last = r
			}
		})
	}
	for i := 0; i < 1300; i++ {
		book(i)
		s.w.Run(10 * time.Millisecond)
		if l := s.w.Leader(); warned == 0 && s.stats(l).Warning != "" {
			warned = s.stats(l).Keys
		}
	}
	s.w.Run(2 * time.Second)
	s.then(warned > 900 && warned < 1000, "it warns at four fifths: %d", warned)
	s.then(codes[200] == 1200 && codes[503] == 100, "all that fit run: %v", codes)
	s.then(strings.Contains(string(last.Body), "keys_most") && last.Head["Retry-After"] != "", "and the others are told why: %s", last.Body)
	ran := 0
	for _, a := range s.w.Out.Apps() {
		ran += len(a.Ran)
	}
	s.then(ran == 1200, "what was refused did not run: %d", ran)
	s.end()
}

// full makes a state of a day's keys and an hour's results, with the items that
// it names, as a store's disk has it.
func full(keys, steps int) (*ledger.Ledger, json.RawMessage, []flow.BlobChange) {
	l := ledger.New()
	var blobs []flow.BlobChange
	do := func(kind ledger.Kind, at int64, body any) {
		b, _ := json.Marshal(body)
		c, _ := json.Marshal(ledger.Command{Kind: kind, At: at, Body: b})
		l.Apply(l.Index+1, c)
		if x, any := l.Box(); any {
			blobs = append(blobs, x)
		}
	}
	for i := 0; i < keys; i++ {
		at := 1_700_000_000_000 + int64(i)*166
		k := ledger.Claim{Key: fmt.Sprint("full", i), Hash: "h", Owner: "d/1"}
		do("claim.take", at, k)
		k.State, k.Code, k.Body = "done", 200, []byte(strings.Repeat("answer ", 30))
		do("claim.done", at, k)
	}
	for i := 0; i < steps; i++ {
		at, id := 1_700_000_000_000+int64(keys)*166, fmt.Sprint("full", i)
		do("step.open", at, ledger.StepDoc{ID: id, Trainer: "full", Pool: "old", Revision: 1, Groups: []ledger.Group{{ID: "g", Prompt: "p", Samples: 96}}})
		for n := 0; n < 96; n++ {
			text := strings.Repeat("lorem ", 64)
			do("result.add", at, ledger.AddEntry{Step: id, Entry: ledger.Entry{Group: "g", Sample: n, Text: text, Finish: "stop",
				Spans: []ledger.Span{{To: len(text), Revision: 1}}, Verdict: ledger.Verdict{State: "none", Hash: ledger.Hash([]byte(text))}}})
		}
		do("step.end", at, id)
	}
	d := l.Snapshot()
	if x, any := l.Box(); any {
		blobs = append(blobs, x)
	}
	return l, d, blobs
}

// Given stores that hold a day's keys and an hour's results, when one is lost
// with its disk, then an empty machine has all of it and votes inside the repair
// budget, while traffic goes on. FULL=1 takes the day at the brief's rate; usually
// it is a tenth.
func TestFullStateIsRepaired(t *testing.T) {
	t.Parallel()
	keys, steps := 51_840, 120
	if os.Getenv("FULL") != "" {
		keys, steps = 518_400, 1200
	}
	l, state, blobs := full(keys, steps)
	w := Prepare(224, FibrArmor)
	var conf raft.Conf
	conf.Cluster, conf.Want = "c-full", 3
	stores := w.By("store")
	for i, h := range stores {
		conf = conf.With(raft.Member{ID: fmt.Sprint("s", i), Addr: h.Config.Addr, Zone: h.Config.Zone, Voter: true})
	}
	raw, _ := json.Marshal(conf)
	for i, h := range stores {
		h.Disk.prime(fmt.Sprint("s", i), conf.Cluster, blobs, flow.Snapshot{Index: l.Index, Term: 1, Conf: raw, State: state})
	}
	for _, h := range w.Hosts {
		h.Start()
	}
	s := &story{t, w, NewActors(w)}
	s.then(w.Until(2*budget.Heal, func() bool { return w.Serving() && w.Acting() != nil }), "the fleet serves")
	s.a.Plan("first", 0, true, nil)
	w.Run(budget.Plan)
	s.train("one")
	s.a.Consume(80 * time.Millisecond)
	w.Run(2 * time.Second)
	lead := w.Leader()
	rows := lead.Node.Stats(lead.clock()).Rows
	dead := s.follower()
	dead.Lose(true)
	dead.Retired = true
	from, done := w.Now, s.a.Done
	h := s.fresh("store-new", 1, dead.Config.Zone)
	s.then(w.Until(5*budget.Heal, func() bool { return s.members()[h.ID()].Voter && s.settled() }), "an empty machine takes its place: %v", s.members())
	t.Logf("%d keys, %d results: a snapshot of %d bytes, %d pieces; a voter again after %v, %d steps meanwhile", rows["keys"], rows["results"],
		s.stats(lead).Snapshot, s.stats(h).Pulled, w.Now-from, s.a.Done-done)
	s.then(w.Now-from < 2*budget.Heal, "inside the budget: %v", w.Now-from)
	s.then(w.Leader() == lead && s.a.Done > done, "the leader kept its office and steps went on")
	w.Run(time.Second)
	lead.Kill()
	s.then(w.Until(budget.Heal, func() bool { return w.Leader() != nil && w.Serving() }), "the others go on")
	r := s.ask(s.disp(0), Web("POST", "/book/x", map[string]string{"id": "x"}, "k"))
	s.then(r.Code == 200 || r.Code == 503, "%d", r.Code)
	c := Call("step.results", map[string]string{"id": fmt.Sprint("full", steps-1)}, nil)
	r = s.ask(s.disp(1), c)
	s.then(r.Code == 200 && strings.Contains(string(r.Body), "lorem"), "old results are there: %d", r.Code)
	s.end()
}
