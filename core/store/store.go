// Package store is the store role (design 4): Raft and the ledger together,
// answering asks, forming the cluster and changing its members. A Store owns one
// member's raft, ledger and leases; core/node calls it, one call at a time.
package store

import (
	"math/rand"
	"sort"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/invariant"
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
	ID, Addr, Zone string
	Form           []string // the addresses expected at first formation
	First          bool     // this is the first start of all, with empty disks: it forms without waiting for others to speak up
	Want           int      // voters wanted, where that is more than were formed (design 4.8)
	Keep           int      // log entries kept before a snapshot is made
	Bounds         ledger.Bounds
	Rand           *rand.Rand
	Disk           Disk
	Invariants     *invariant.Monitor
}

// Store is one store machine.
type Store struct {
	p           Config
	raft        *raft.Raft
	ledger      *ledger.Ledger
	addrs       map[string]string
	writes      map[uint64]wait
	lotRepeats  lotRepeats
	reads       map[uint64]wait
	renewals    renewals
	repeats     repeats
	entries     sharedEntries
	largeOrder  uint64 // the index of the newest large order in the log
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
	role        raft.Role
	now         flow.Time
	counts      map[string]int
	fetches     map[uint64]func(flow.Fetched, *flow.Outbox)
	fetchID     uint64
	pull        *pull
	retention   retention
	blob        []byte // the newest snapshot as it is sent in pieces
	blobAt      uint64
	checked     bool           // the blob store was told what must be there
	bounded     flow.Time      // when the bounds are looked at next
	contact     contact        // of the acting coordinator
	contactTerm uint64         // its term
	live        []gossip.Entry // the peers heard of late, and this machine
	self        gossip.Entry
	freed       uint64                  // the term whose holder gave it up
	moved       flow.Time               // when leadership is handed on next
	orphan      flow.Time               // when lost claims are looked for next
	lots        map[string]given        // when this leader gave a lot another owner
	silent      map[string]flow.Time    // when silent members were taken out
	stopping    map[string]flow.Time    // when members last said that they stop
	caughtUp    catchUpTarget           // what a learner has to have
	leaveBy     flow.Time               // until when this member waits for another to take its vote
	owned       flow.Time               // when owners of lots are looked at next
	placement   placement               // how the leader judges store machines
	machines    map[string]gossip.Entry // what they said of themselves, by identity
	health      health
}

// New starts a store from its disk.
func New(now flow.Time, p Config) (*Store, error) {
	s := &Store{p: p, ledger: ledger.New(), addrs: map[string]string{}, writes: map[uint64]wait{}, lotRepeats: newLotRepeats(),
		reads: map[uint64]wait{}, renewals: renewals{proving: map[uint64][]wait{}}, seen: map[string]leaseHolder{}, counts: map[string]int{},
		fetches: map[uint64]func(flow.Fetched, *flow.Outbox){}, retention: newRetention(), repeats: newRepeats(), lots: map[string]given{}, health: health{commitAt: now}, machines: map[string]gossip.Entry{}, silent: map[string]flow.Time{}, stopping: map[string]flow.Time{}}
	if d := p.Disk.Snapshot; d != nil {
		l, err := ledger.Load(d.State, p.Disk.Items)
		if err != nil {
			return nil, err
		}
		s.ledger = l
	}
	s.raft = raft.New(now, raft.Config{ID: p.ID, Rand: p.Rand, HeartbeatInterval: budget.HeartbeatInterval, ElectionTimeout: budget.ElectionTimeout,
		Hard: p.Disk.Hard, Snapshot: p.Disk.Snapshot, Entries: p.Disk.Entries, Invariants: p.Invariants})
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

// Raft takes a Raft line.
func (s *Store) Raft(now flow.Time, l flow.Line) {
	var m raft.Message
	if flow.Decode(l.Body, &m) != nil || m.ToID != s.p.ID {
		s.counts["strays"]++
		return
	}
	if s.raft.Blank() && l.Cluster != "" {
		s.raft.Adopt(l.Cluster)
	}
	s.learnAddress(m.From, l.Addr)
	s.raft.Now(now)
	s.raft.Step(m)
}

// learnAddress notes where a member speaks from. Somebody who is no member here may
// be one by a change that this member has not heard of yet, or claim an identity that
// was lost: it is counted, heard by the rules of elections, and forgotten again.
func (s *Store) learnAddress(id, addr string) {
	conf := s.raft.Conf()
	if len(conf.Members) > 0 && conf.Find(id) < 0 {
		s.counts["strangers"]++
		s.forgetStrangers(conf)
	}
	s.addrs[id] = addr
}

// forgetStrangers keeps the table of addresses bounded.
func (s *Store) forgetStrangers(conf raft.Conf) {
	if len(s.addrs) < 2*mostMembers {
		return
	}
	for id := range s.addrs {
		if conf.Find(id) < 0 {
			delete(s.addrs, id)
		}
	}
}

// time is the ledger's own: it goes on from the last stamp by the leader's
// elapsed time, and so never jumps with a wall clock. While nobody leads it
// stands still, which keeps things for longer, never for less.
func (s *Store) time() int64 { return s.stamp + (s.now - s.lead).Milliseconds() }

// Resting says that this store follows a leader and waits for nothing of its own.
func (s *Store) Resting() bool {
	return s.raft.Role() == raft.Follower && s.raft.LeaderID() != "" && len(s.fetches) == 0 && s.pull == nil
}

// Advance runs the store's systems.
func (s *Store) Advance(now flow.Time, wall int64, live []gossip.Entry, self gossip.Entry, out *flow.Outbox) {
	s.now = now
	if !s.checked && s.p.Disk.Snapshot != nil {
		// What an unfinished fetch brought stays until the next snapshot.
		out.Blobs = append(out.Blobs, flow.BlobChange{Only: s.ledger.Items(), At: s.raft.Snapshot().Index})
	}
	s.checked, s.p.Disk = true, Disk{} // it is not needed any more
	s.live, s.self = live, self
	s.form(now, live, self, out)
	if s.raft.Ready() {
		s.caughtUp.note(now, s.raft.Term(), s.raft.Commit())
	}
	s.repair(now, live, out)
	s.proveRenewals(now, out)
	o := s.raft.Advance(now)
	out.Save = append(out.Save, o.Saves...)
	for _, d := range o.Messages {
		if d.Addr == "" {
			d.Addr = s.addrs[d.Message.ToID]
		}
		if d.Addr != "" {
			s.sendRaft(d, out)
		}
	}
	s.entries.forget(s.ledger.Index)
	if o.Lost {
		s.void(out)
	}
	for _, a := range o.Applied {
		s.apply(a, out)
	}
	sort.Slice(o.Reads, func(i, j int) bool { return o.Reads[i] < o.Reads[j] })
	for _, t := range o.Reads {
		if batch, ok := s.renewals.proving[t]; ok {
			delete(s.renewals.proving, t)
			s.answerRenewals(now, batch, out)
			continue
		}
		if w, ok := s.repeats.proved[t]; ok {
			delete(s.repeats.proved, t)
			s.answerProved(w, out)
			continue
		}
		w := s.reads[t]
		delete(s.reads, t)
		s.answer(now, w, out)
	}
	s.nudge(now, out)
	if o.Offer != nil {
		s.offered(*o.Offer, out)
	}
	s.pulling(out)
	s.compact(now, out)
	s.orphans(now)
	s.owners(now)
	if s.raft.Ready() && s.timed != s.raft.Term() {
		// Only now is all that was committed before in the ledger.
		s.timed, s.stamp, s.lead = s.raft.Term(), s.ledger.Clock, now
		if s.stamp == 0 {
			s.stamp = wall // a new cluster's time starts at the date
		}
	}
	s.watchHealth(now, self, out)
	if r := s.raft.Role(); r != s.role {
		if r == raft.Leader || s.role == raft.Leader {
			flow.Warn.Note(out, "store", "role changed", "role", r, "term", s.raft.Term(), "voters", votersText(s.Health().Voters))
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
	s.voidRenewals(out)
	s.voidLotRepeats(out)
	s.voidRepeats(out)
	s.seen = map[string]leaseHolder{}
	s.grant = 0
	s.lots = map[string]given{}
	s.stopping = map[string]flow.Time{}
	s.placement = placement{}
	s.retention = newRetention()
}

func (s *Store) apply(a raft.Applied, out *flow.Outbox) {
	e := a.Entry
	res := ledger.Result{Code: ledger.Accepted, Body: json.RawMessage(`{}`)}
	if e.Kind == commandEntry {
		res = s.ledger.Apply(e.Index, e.Data)
		s.news = s.news || nudges[s.ledger.Last] && res.Code == ledger.Accepted
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
		s.retryJoined(e.Index, out)
		s.lotRepeats.forget(e.Index, w, func(other wait) { s.retry(other, out) })
		return
	}
	s.reply(w, res, out)
	s.answerJoined(e.Index, res, out)
	s.lotApplied(e.Index, w, res, out)
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
