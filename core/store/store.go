// Package store is the store role (design 4): Raft and the ledger together,
// answering asks, forming the cluster and changing its members.
package store

import (
	"encoding/json"
	"math/rand"
	"slices"
	"sort"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/raft"
	"fernlink/core/sorted"
)

// Disk is what a data folder gave at the start.
type Disk struct {
	Hard     flow.Hard
	Snapshot *flow.Snapshot
	Entries  []flow.Entry
	Items    map[flow.Ref][]byte // what the snapshot needs to be loaded
}

// Config are the options of a store.
type Config struct {
	ID, Addr, Area string
	Form           []string // the addresses expected at first formation
	First          bool     // this is the first start of all, with empty disks: it forms without waiting for others to speak up
	Want           int      // voters wanted, where that is more than were formed (design 4.8)
	Keep           int      // log entries kept before a snapshot is made
	Bounds         ledger.Bounds
	Rand           *rand.Rand
	Disk           Disk
}

// leaseHolder is a dispatcher's last renewal and how much of the ledger it had.
type leaseHolder struct {
	at      flow.Time
	have    uint64
	addr    string
	left    bool
	contact contact
}

// contact tells whether somebody who asks hears the answers, too. One who does not
// is answered no more, so that the time of the last answer bounds what it may
// still hold, and its place can be taken (design 5.2).
type contact struct {
	heard uint64
	moved flow.Time // when that grew
}

func (e *contact) lost(now flow.Time, heard uint64, first bool) bool {
	if first || heard != e.heard {
		e.heard, e.moved = heard, now
	}
	return now-e.moved > budget.Lease
}

// KeepBytes is how much the log may hold before a snapshot is made, whatever the
// number of its entries.
const KeepBytes = 2 << 20

type wait struct {
	addr string
	ask  ask.Ask
	term uint64
	at   flow.Time
}

// Store is one store machine.
type Store struct {
	p           Config
	raft        *raft.Raft
	ledger      *ledger.Ledger
	addrs       map[string]string
	writes      map[uint64]wait
	reads       map[uint64]wait
	token       uint64
	seen        map[string]leaseHolder // dispatchers by their last renewal
	coord       flow.Time              // the coordinator's last renewal
	grant       uint64                 // the term whose successor is being committed
	stamp       int64                  // the ledger's time when this member took the lead
	lead        flow.Time              // and when that was
	news        bool                   // something was applied that others should hear of
	heardMore   bool                   // a dispatcher has read further
	timed       uint64                 // the term that the two are of
	formed      flow.Time
	look        flow.Time         // when the membership is looked at next
	taken       map[string]string // who speaks from an address now
	role        string
	now         flow.Time
	counts      map[string]int
	fetches     map[uint64]func(flow.Fetched, *flow.Outbox)
	fetchID     uint64
	pull        *pull
	blob        []byte // the newest snapshot as it is sent in pieces
	blobAt      uint64
	checked     bool                 // the blob store was told what must be there
	bounded     uint64               // the term in which the bounds were looked at
	contact     contact              // of the acting coordinator
	contactTerm uint64               // its term
	able        map[string]bool      // dispatchers on machines that are large enough
	freed       uint64               // the term whose holder gave it up
	moved       flow.Time            // when leadership is handed on next
	orphan      flow.Time            // when lost claims are looked for next
	lots        map[string]given     // when this leader gave a lot another owner
	silent      map[string]flow.Time // when silent members were taken out
	owned       flow.Time            // when owners of lots are looked at next
}

// New starts a store from its disk.
func New(now flow.Time, p Config) (*Store, error) {
	s := &Store{p: p, ledger: ledger.New(), addrs: map[string]string{}, writes: map[uint64]wait{},
		reads: map[uint64]wait{}, seen: map[string]leaseHolder{}, counts: map[string]int{},
		fetches: map[uint64]func(flow.Fetched, *flow.Outbox){}, lots: map[string]given{}, silent: map[string]flow.Time{}}
	if d := p.Disk.Snapshot; d != nil {
		l, err := ledger.Load(d.State, p.Disk.Items)
		if err != nil {
			return nil, err
		}
		s.ledger = l
	}
	s.raft = raft.New(now, raft.Config{ID: p.ID, Rand: p.Rand, Beat: budget.Beat, Elect: budget.Elect,
		Hard: p.Disk.Hard, Snapshot: p.Disk.Snapshot, Entries: p.Disk.Entries})
	return s, nil
}

// Blank says that this machine has not been part of a cluster yet.
func (s *Store) Blank() bool { return s.raft.Blank() }

// Mark and Synced follow a batch of saves to the disk (design 4.2).
func (s *Store) Mark(batch uint64)   { s.raft.Mark(batch) }
func (s *Store) Synced(batch uint64) { s.raft.Synced(batch) }

// Known gives the cluster as this member's log has it.
func (s *Store) Known() gossip.Known {
	c := s.raft.Conf()
	k := gossip.Known{Cluster: s.raft.Cluster(), At: s.raft.ConfAt()}
	for _, m := range c.Members {
		k.Stores = append(k.Stores, m.Addr)
	}
	if len(k.Stores) == 0 {
		k.At = 0
	}
	return k
}

// Stats is the store's part of the one snapshot (design 10.4).
type Stats struct {
	ID       string        `json:"id"`
	Role     string        `json:"role"`
	Term     uint64        `json:"term"`
	Commit   uint64        `json:"commit"`
	Applied  uint64        `json:"applied"`
	Log      int           `json:"log_entries"`
	Leader   string        `json:"leader"`
	Members  []raft.Member `json:"members"`
	Changing bool          `json:"membership_changing"`
	Writes   int           `json:"writes_total"`
	Reads    int           `json:"reads_total"`
	Steps    int           `json:"steps"`
	Keys     int           `json:"keys"`
	Warning  string        `json:"warning,omitempty"`
	Unsure   bool          `json:"unsure_of_its_tail,omitempty"`
	Pulling  bool          `json:"fetching_snapshot,omitempty"`
	Pulled   int           `json:"pieces_total"`
	Strays   int           `json:"stray_pieces_total"`
	Snapshot int           `json:"snapshot_bytes"`
}

// Stats gives the snapshot.
func (s *Store) Stats() Stats {
	return Stats{s.p.ID, s.raft.Role(), s.raft.Term(), s.raft.Commit(), s.raft.Applied(), s.raft.LogLen(),
		s.raft.LeaderAddr(), s.raft.Conf().Members, s.raft.Busy(), s.counts["writes"], s.counts["reads"], len(s.ledger.Steps), s.ledger.Keys.Len(), s.keysFull(), s.raft.Unsure(),
		s.pull != nil, s.counts["pieces"], s.counts["stray_pieces"] + s.counts["stray_pulls"], s.snapshotSize()}
}

// Raft takes a Raft line.
func (s *Store) Raft(now flow.Time, l flow.Line) {
	var m raft.Msg
	if json.Unmarshal(l.Body, &m) != nil || m.ToID != s.p.ID {
		s.counts["strays"]++
		return
	}
	if s.raft.Blank() && l.Cluster != "" {
		s.raft.Adopt(l.Cluster)
	}
	s.addrs[m.From] = l.Addr
	s.raft.Now(now)
	s.raft.Step(m)
}

// Ask takes a question.
func (s *Store) Ask(now flow.Time, l flow.Line, out *flow.Outbox) {
	var a ask.Ask
	if json.Unmarshal(l.Body, &a) != nil {
		return
	}
	s.now = now
	w := wait{addr: l.Addr, ask: a, at: now}
	if s.open(w) {
		return // a second try of what is under way: one answer serves both
	}
	if a.Kind == "plan.seen" {
		s.planSeen(w, out)
		return
	}
	if s.raft.Role() != raft.Leader || !s.raft.Ready() {
		s.retry(w, out)
		return
	}
	if f, ok := own[a.Kind]; ok {
		f(s, now, w, out)
		return
	}
	if ledger.Asks(a.Kind) {
		s.read(w, out)
		return
	}
	if ledger.Knows(a.Kind) {
		s.write(w, a.Kind, a.Body, out)
		return
	}
	s.tell(w, 400, map[string]string{"error": "no such ask"}, out)
}

// planSeen gives the plan that this member knows to be committed, whoever leads
// and whether anybody does. A node that has just started may serve repeatable
// and other plain requests by it until it has a lease (design 12.4).
func (s *Store) planSeen(w wait, out *flow.Outbox) {
	p := s.ledger.Plan()
	if p.Version == 0 {
		s.retry(w, out)
		return
	}
	raw, _ := json.Marshal(p)
	out.Line(w.addr, "told", ask.Told{ID: w.ask.ID, Code: 200, Body: raw, Any: true})
}

func (s *Store) open(w wait) bool {
	for _, m := range []map[uint64]wait{s.writes, s.reads} {
		for _, o := range m {
			if o.addr == w.addr && o.ask.ID == w.ask.ID {
				return true
			}
		}
	}
	return false
}

var own map[string]func(*Store, flow.Time, wait, *flow.Outbox)

func init() {
	own = map[string]func(*Store, flow.Time, wait, *flow.Outbox){
		"renew":         (*Store).renew,
		"coord.renew":   (*Store).renewCoord,
		"coord.take":    (*Store).takeCoord,
		"coord.leave":   (*Store).leaveCoord,
		"gone":          (*Store).goneDisp,
		"coord.grant":   (*Store).refuse,
		"claim.lost":    (*Store).refuse,
		"bounds.put":    (*Store).refuse,
		"lot.own":       (*Store).refuse,
		"store.list":    (*Store).readOwn,
		"store.add":     (*Store).add,
		"store.promote": (*Store).promote,
		"store.remove":  (*Store).remove,
	}
}

func (s *Store) refuse(_ flow.Time, w wait, out *flow.Outbox) {
	s.tell(w, 400, map[string]string{"error": "only the leader says this"}, out)
}

func (s *Store) retry(w wait, out *flow.Outbox) {
	lead := s.raft.LeaderAddr()
	if lead == s.p.Addr {
		lead = ""
	}
	out.Line(w.addr, "told", ask.Told{ID: w.ask.ID, Retry: true, Leader: lead})
}

func (s *Store) tell(w wait, code int, body any, out *flow.Outbox) {
	raw, _ := json.Marshal(body)
	out.Line(w.addr, "told", ask.Told{ID: w.ask.ID, Code: code, Body: raw})
}

func (s *Store) write(w wait, kind string, body json.RawMessage, out *flow.Outbox) {
	data, _ := json.Marshal(ledger.Command{Kind: kind, At: s.time(), Body: body})
	at, term, err := s.raft.Propose("cmd", data)
	s.hold(w, at, term, err, out)
}

// time is the ledger's own: it goes on from the last stamp by the leader's
// elapsed time, and so never jumps with a wall clock. While nobody leads it
// stands still, which keeps things for longer, never for less.
func (s *Store) time() int64 { return s.stamp + (s.now - s.lead).Milliseconds() }

func (s *Store) hold(w wait, at, term uint64, err error, out *flow.Outbox) {
	if err != nil {
		s.tell(w, 409, map[string]string{"error": err.Error()}, out)
		return
	}
	s.counts["writes"]++
	w.term = term
	s.writes[at] = w
}

func (s *Store) read(w wait, out *flow.Outbox) {
	s.token++
	s.counts["reads"]++
	if !s.raft.Read(s.token) {
		s.retry(w, out)
		return
	}
	s.reads[s.token] = w
}

func (s *Store) readOwn(_ flow.Time, w wait, out *flow.Outbox) { s.read(w, out) }

// Renew asks for a dispatcher's lease (design 5.2).
type Renew struct {
	ID    string `json:"id"`
	Have  uint64 `json:"have"`
	Left  bool   `json:"left,omitempty"` // it stops: its work falls to others
	Heard uint64 `json:"heard"`          // how many answers it got
}

func (s *Store) renew(_ flow.Time, w wait, out *flow.Outbox) { s.read(w, out) }

// CoordRenew asks to keep the coordinator's lease.
type CoordRenew struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Term  uint64 `json:"term"`
	Plan  uint64 `json:"plan"` // the version that it has
	Heard uint64 `json:"heard"`
}

func (s *Store) renewCoord(now flow.Time, w wait, out *flow.Outbox) {
	var c CoordRenew
	_ = json.Unmarshal(w.ask.Body, &c)
	if c.Term == 0 || c.Term != s.ledger.Coord.Term || c.ID != s.ledger.Coord.ID || s.grant == c.Term {
		s.tell(w, 409, s.ledger.Coord, out)
		return
	}
	if s.contact.lost(now, c.Heard, s.contactTerm != c.Term) {
		s.contactTerm = c.Term
		s.tell(w, 503, map[string]string{"error": "earlier answers were not heard"}, out)
		return
	}
	s.contactTerm = c.Term
	s.coord = now // counted from its coming in, before any proof: the safe side
	s.read(w, out)
}

// takeCoord grants the lease once the holder was silent for long enough on
// this leader's own clock (design 9.2).
func (s *Store) takeCoord(now flow.Time, w wait, out *flow.Outbox) {
	var c CoordRenew
	_ = json.Unmarshal(w.ask.Body, &c)
	have := s.ledger.Coord
	quiet := now-max(s.coord, s.raft.Since()) >= budget.Take || s.freed == have.Term
	if have.Term != 0 && !quiet || s.grant == have.Term && have.Term != 0 {
		s.tell(w, 409, have, out)
		return
	}
	s.grant = have.Term
	body, _ := json.Marshal(ledger.GrantCoord{Term: have.Term, ID: c.ID, Addr: c.Addr})
	s.coord = now
	s.write(w, "coord.grant", body, out)
}

// leaveCoord frees the lease of a coordinator that stops. It orders nothing any
// more, and nothing of it is under way, so its successor need not wait.
func (s *Store) leaveCoord(_ flow.Time, w wait, out *flow.Outbox) {
	var c CoordRenew
	_ = json.Unmarshal(w.ask.Body, &c)
	if c.Term == s.ledger.Coord.Term && c.ID == s.ledger.Coord.ID {
		s.freed = c.Term
	}
	s.tell(w, 200, struct{}{}, out)
}

// goneDisp forgets a dispatcher that stopped: it has cut all that it sent.
func (s *Store) goneDisp(now flow.Time, w wait, out *flow.Outbox) {
	var id string
	_ = json.Unmarshal(w.ask.Body, &id)
	delete(s.seen, id)
	s.heardMore = true
	s.disown(now, id)
	s.tell(w, 200, struct{}{}, out)
}

// Leave hands leadership on, again now and then; Left says that it is done.
func (s *Store) Leave(now flow.Time) {
	if s.raft.Role() == raft.Leader && now >= s.moved {
		s.moved = now + budget.Elect/2
		s.raft.Transfer()
	}
}

// Left says that this store leads no more, or that nobody else could.
func (s *Store) Left() bool {
	return s.raft.Role() != raft.Leader || !slices.ContainsFunc(s.raft.Conf().Members, func(m raft.Member) bool { return m.Voter && m.ID != s.p.ID })
}

// Advance runs the store's systems.
func (s *Store) Advance(now flow.Time, wall int64, live []gossip.Entry, self gossip.Entry, out *flow.Outbox) {
	s.now = now
	if !s.checked && s.p.Disk.Snapshot != nil {
		out.Blobs = append(out.Blobs, flow.BlobChange{Only: s.ledger.Items()})
	}
	s.checked, s.p.Disk = true, Disk{} // it is not needed any more
	s.form(now, live, self, out)
	s.repair(now, live, out)
	o := s.raft.Advance(now)
	out.Save = append(out.Save, o.Saves...)
	for _, d := range o.Msgs {
		if d.Addr == "" {
			d.Addr = s.addrs[d.Msg.ToID]
		}
		if d.Addr != "" {
			kind := "raft"
			if len(d.Msg.Add) > 0 {
				kind = flow.Entries
			}
			out.Line(d.Addr, kind, d.Msg)
		}
	}
	if o.Lost {
		s.void(out)
	}
	for _, a := range o.Applied {
		s.apply(a, out)
	}
	sort.Slice(o.Reads, func(i, j int) bool { return o.Reads[i] < o.Reads[j] })
	for _, t := range o.Reads {
		w := s.reads[t]
		delete(s.reads, t)
		s.answer(now, w, out)
	}
	s.nudge(now, out)
	if o.Offer != nil {
		s.offered(*o.Offer, out)
	}
	s.pulling(out)
	if s.raft.Unsnapshoted() > s.p.Keep || s.raft.Weight() > KeepBytes {
		s.raft.Compact(s.ledger.Snapshot(), s.p.Keep/4, KeepBytes/4)
		s.storeBlobs(out)
		out.Save = append(out.Save, s.raft.Advance(now).Saves...)
	}
	s.orphans(now)
	s.owners(now, append(live[:len(live):len(live)], self))
	if s.raft.Ready() && s.timed != s.raft.Term() {
		// Only now is all that was committed before in the ledger.
		s.timed, s.stamp, s.lead = s.raft.Term(), s.ledger.Clock, now
		if s.stamp == 0 {
			s.stamp = wall // a new cluster's time starts at the date
		}
	}
	if r := s.raft.Role(); r != s.role {
		if r == raft.Leader || s.role == raft.Leader {
			flow.Warn.Note(out, "store", "role changed", "role", r, "term", s.raft.Term())
		}
		s.role = r
	}
}

// void gives back what a lost leadership left open. Whether a write took
// effect is not known here; the asker tries again and the ledger sorts it out.
func (s *Store) void(out *flow.Outbox) {
	for _, at := range sorted.Keys(s.writes) {
		s.retry(s.writes[at], out)
	}
	for _, t := range sorted.Keys(s.reads) {
		s.retry(s.reads[t], out)
	}
	s.writes, s.reads = map[uint64]wait{}, map[uint64]wait{}
	s.seen = map[string]leaseHolder{}
	s.grant = 0
	s.lots = map[string]given{}
}

func (s *Store) apply(a raft.Applied, out *flow.Outbox) {
	e := a.Entry
	res := ledger.Result{Code: 200, Body: json.RawMessage(`{}`)}
	if e.Kind == "cmd" {
		res = s.ledger.Apply(e.Index, e.Data)
		s.news = s.news || nudges[s.ledger.Last] && res.Code == 200
		s.storeBlobs(out)
	} else {
		s.ledger.Index = e.Index
	}
	if s.grant != 0 && s.ledger.Coord.Term > s.grant {
		s.grant = 0
	}
	w, ok := s.writes[e.Index]
	if !ok {
		return
	}
	delete(s.writes, e.Index)
	if w.term != e.Term {
		s.retry(w, out) // another leader's entry stands here
		return
	}
	s.reply(w, res, out)
}

// reply tells a result, once what it needs was read from the blob store.
func (s *Store) reply(w wait, res ledger.Result, out *flow.Outbox) {
	if len(res.Need) == 0 {
		out.Line(w.addr, "told", ask.Told{ID: w.ask.ID, Code: res.Code, Body: res.Body})
		return
	}
	s.fetch(flow.Fetch{Refs: res.Need}, out, func(got flow.Fetched, out *flow.Outbox) {
		if len(got.Missing) > 0 {
			s.tell(w, 410, map[string]string{"error": "this was retired just now"}, out)
			return
		}
		var items [][]byte
		for _, p := range got.Parts {
			items = append(items, p.Body)
		}
		s.reply(w, res.With(items), out)
	})
}

func (s *Store) fetch(f flow.Fetch, out *flow.Outbox, then func(flow.Fetched, *flow.Outbox)) {
	s.fetchID++
	f.ID = s.fetchID
	s.fetches[f.ID] = then
	out.Fetch = append(out.Fetch, f)
}

// Fetched takes what was read from the blob store.
func (s *Store) Fetched(now flow.Time, got flow.Fetched, out *flow.Outbox) {
	s.now = now
	if f := s.fetches[got.ID]; f != nil {
		delete(s.fetches, got.ID)
		f(got, out)
	}
}

var answers map[string]func(*Store, flow.Time, wait) ledger.Result

func init() {
	answers = map[string]func(*Store, flow.Time, wait) ledger.Result{
		"renew":       (*Store).renewed,
		"coord.renew": (*Store).renewedCoord,
		"store.list":  (*Store).list,
	}
}

func (s *Store) answer(now flow.Time, w wait, out *flow.Outbox) {
	f, ok := answers[w.ask.Kind]
	if !ok {
		f = func(s *Store, _ flow.Time, w wait) ledger.Result { return s.ledger.Query(w.ask.Kind, w.ask.Body) }
	}
	s.reply(w, f(s, now, w), out)
}

func body(v any) json.RawMessage { b, _ := json.Marshal(v); return b }

func (s *Store) renewed(now flow.Time, w wait) ledger.Result {
	var r Renew
	_ = json.Unmarshal(w.ask.Body, &r)
	was, known := s.seen[r.ID]
	if was.contact.lost(now, r.Heard, !known) {
		s.counts["unheard_answers"]++
		return ledger.Result{Code: 503, Body: body(map[string]string{"error": "earlier answers were not heard"})}
	}
	s.seen[r.ID] = leaseHolder{now, max(was.have, r.Have), w.addr, was.left || r.Left, was.contact}
	if r.Have > was.have {
		s.heardMore = true // an order may be known to all by now
	}
	d := s.ledger.Since(r.Have)
	d.Wall = s.time()
	for id, x := range s.seen {
		if now-x.at > 2*budget.Lease {
			delete(s.seen, id)
		}
		if now-x.at > budget.Lease || x.left || len(d.Open) == 0 {
			continue // only steps are shared out by the roster
		}
		d.Roster = append(d.Roster, id)
	}
	sort.Strings(d.Roster)
	return ledger.Result{Code: 200, Body: body(d)}
}

// nudges are the commands that others should hear of soon. They renew at once
// then; what is promised rests on the renewals alone (design 5.2).
var nudges = map[string]bool{"plan.put": true, "step.open": true, "step.end": true, "order.put": true, "order.state": true,
	"target.put": true, "drain.put": true, "lot.put": true, "lot.end": true, "lot.own": true}

func (s *Store) nudge(now flow.Time, out *flow.Outbox) {
	if s.raft.Role() != raft.Leader {
		s.news, s.heardMore = false, false
		return
	}
	if s.news {
		for _, id := range sorted.Keys(s.seen) {
			if x := s.seen[id]; now-x.at <= budget.Lease {
				out.Line(x.addr, "nudge", struct{}{})
			}
		}
	}
	if s.ledger.Coord.Addr != "" && (s.news || s.heardMore && s.ledger.Ordered()) {
		out.Line(s.ledger.Coord.Addr, "nudge", struct{}{})
	}
	s.news, s.heardMore = false, false
}

// known is how far every dispatcher that may hold a lease has read. A leader
// that is new may not have heard them all yet.
func (s *Store) known(now flow.Time) uint64 {
	if now-s.raft.Since() <= 2*budget.Lease {
		return 0
	}
	least := s.ledger.Index
	for _, x := range s.seen {
		if now-x.at <= 2*budget.Lease {
			least = min(least, x.have)
		}
	}
	return least
}

func (s *Store) renewedCoord(now flow.Time, w wait) ledger.Result {
	var c CoordRenew
	_ = json.Unmarshal(w.ask.Body, &c)
	if c.Term != s.ledger.Coord.Term || c.ID != s.ledger.Coord.ID {
		return ledger.Result{Code: 409, Body: body(s.ledger.Coord)}
	}
	d := s.ledger.Since(0)
	d.Wall, d.Known = s.time(), s.known(now)
	for i := range d.Steps {
		d.Steps[i].Groups = nil // policies need no prompts
	}
	d.Listed, d.Lots = nil, nil
	if d.Plan != nil && d.Plan.Version == c.Plan {
		d.Plan = nil
	}
	return ledger.Result{Code: 200, Body: body(d)}
}

// Rows counts what each table keeps.
func (s *Store) Rows(to map[string]int) {
	l := s.ledger
	to["log"], to["waiting_writes"], to["waiting_reads"], to["dispatchers"] = s.raft.LogLen(), len(s.writes), len(s.reads), len(s.seen)
	to["plans"], to["steps"], to["keys"], to["orders"], to["drains"] = len(l.Plans), len(l.Steps), l.Keys.Len(), len(l.Orders), len(l.Drains)
	to["claims_open"], to["member_addresses"], to["fetches"] = len(l.Owners), len(s.addrs), len(s.fetches)
	to["lots"] = len(l.Lots)
	for _, x := range l.Lots {
		to["lot_results"] += len(x.List)
	}
	for _, x := range l.Steps {
		to["results"] += len(x.List)
	}
}
