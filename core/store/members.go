package store

import (
	"slices"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

// form starts a cluster, once, and only when every expected store is blank
// and they all hear each other, and nobody knows a cluster (design 4.5).
func (s *Store) form(now flow.Time, live []gossip.Entry, self gossip.Entry, out *flow.Outbox) {
	if !s.raft.Blank() || len(s.p.Form) == 0 || self.Cluster != "" {
		return
	}
	if !slices.Contains(s.p.Form, s.p.Addr) {
		return
	}
	at := map[string]gossip.Entry{}
	for _, e := range append(live, self) {
		if e.Cluster != "" {
			return
		}
		at[e.Addr] = e
	}
	form := s.expected(at)
	if len(form) == 0 {
		return
	}
	least := form[0]
	for _, addr := range form {
		e, ok := at[addr]
		if !ok || !e.Has("store") || !e.Blank {
			return
		}
		least = min(least, addr)
		for _, other := range form {
			if other != addr && !slices.Contains(e.Sees, other) {
				return
			}
		}
	}
	if least != s.p.Addr {
		return
	}
	if s.formed == 0 {
		s.formed = now + budget.FailureTimeout // a node that knows a cluster may still speak up
		if s.p.First {
			s.formed = now + 2*budget.HeartbeatInterval
		}
	}
	if now < s.formed {
		return
	}
	c := raft.Conf{Cluster: "c-" + s.p.ID, Want: len(form)}
	for _, addr := range form {
		e := at[addr]
		c = c.With(raft.Member{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Voter: true})
	}
	s.raft.Now(now)
	s.raft.Form(c)
	out.Note("store", "formed a cluster", "cluster", c.Cluster, "voters", len(c.Members))
}

// expected gives the stores that form the cluster together. At the first start of
// all the machines that are named may be seeds that run no store: once all are
// heard, those are left out, by everybody alike.
func (s *Store) expected(at map[string]gossip.Entry) []string {
	if !s.p.First {
		return s.p.Form
	}
	var out []string
	for _, addr := range s.p.Form {
		e, ok := at[addr]
		if !ok {
			return nil
		}
		if e.Has("store") {
			out = append(out, addr)
		}
	}
	return out
}

// MemberView is one store machine as operators see it.
type MemberView struct {
	raft.Member
	Match  uint64 `json:"match"`
	Leader bool   `json:"leader"`
}

// ListMembers asks for the store machines (design 4.4).
type ListMembers struct{ ledger.NoBody }

// Kind names the ask.
func (ListMembers) Kind() ledger.Kind { return ask.KindMembers }

func (s *Store) list(_ flow.Time, _ ListMembers) ledger.Result {
	out := []MemberView{}
	for _, m := range s.raft.Conf().Members {
		v := MemberView{Member: m, Match: s.raft.Match(m.ID), Leader: m.ID == s.p.ID}
		if v.Leader {
			v.Match = s.raft.Commit()
		}
		out = append(out, v)
	}
	return ledger.Result{Code: ledger.Accepted, Body: body(map[string]any{"stores": out, "commit": s.raft.Commit()})}
}

// repeat acknowledges a change of membership that was made before, but not while
// that is still on its way: it may yet be undone by another leader.
func (s *Store) repeat(w wait, body any, out *flow.Outbox) {
	if s.raft.Busy() {
		s.refuse(w, changeUnderWay, out)
		return
	}
	s.tell(w, ledger.Accepted, body, out)
}

// removal tells that a store machine is out for good.
type removal struct {
	State string `json:"state"`
	ID    string `json:"id"`
}

func removed(id string) removal { return removal{"removed", id} }

// AddMember asks to take a machine in as a learner (design 4.4).
type AddMember raft.Member

// Kind names the ask.
func (AddMember) Kind() ledger.Kind { return ask.KindMemberAdd }

// add takes a blank machine in as a learner (design 4.4).
func (s *Store) add(_ flow.Time, w wait, machine AddMember, out *flow.Outbox) {
	m := raft.Member(machine)
	if m.Addr == "" {
		s.refuse(w, memberWithoutAddress, out)
		return
	}
	c := s.raft.Conf()
	for _, known := range c.Members {
		if known.ID == m.ID || m.ID == "" && known.Addr == m.Addr {
			s.repeat(w, known, out)
			return
		}
	}
	switch {
	case m.ID == "":
		s.refuse(w, nobodyThere, out)
		return
	case slices.Contains(c.Retired, m.ID):
		s.repeat(w, removed(m.ID), out) // it was taken in once, and is out for good
		return
	}
	m.Voter = false
	at, term, err := s.raft.Change(c.With(m))
	s.hold(w, at, term, err, out)
}

// PromoteMember asks to make the learner of this identity a voter (design 4.4).
type PromoteMember string

// Kind names the ask.
func (PromoteMember) Kind() ledger.Kind { return ask.KindMemberPromote }

// promote makes a learner that has caught up a voter.
func (s *Store) promote(now flow.Time, w wait, learner PromoteMember, out *flow.Outbox) {
	id, c := string(learner), s.raft.Conf()
	i := c.Find(id)
	if i < 0 && slices.Contains(c.Retired, id) {
		s.repeat(w, removed(id), out)
		return
	}
	if i < 0 {
		s.refuse(w, noSuchMember, out)
		return
	}
	m := c.Members[i]
	if m.Voter {
		s.repeat(w, m, out)
		return
	}
	if !s.ready(id, now) {
		s.refuse(w, learnerBehind, out)
		return
	}
	m.Voter = true
	at, term, err := s.raft.Change(c.With(m))
	s.hold(w, at, term, err, out)
}

// ready says whether a member may take a voter's place: it is heard, does not
// stop, and has all that was committed an election timeout ago on its disk
// (design 4.8). Match counts what a member acknowledged to this leader in this
// term, and a member acknowledges only what is synced: its log, and the snapshot
// with every blob that it names.
func (s *Store) ready(id string, now flow.Time) bool {
	target, known := s.caughtUp.target(s.raft.Term())
	return known && s.raft.Live(id, now) && !s.isStopping(id, now) && s.raft.Match(id) >= target
}

// catchUpTarget remembers what was committed a while ago, so that a learner is
// held against the log's progress and not against a number of entries.
type catchUpTarget struct {
	term         uint64
	notedAt      flow.Time
	older, newer uint64 // commit indexes, the older of them up to an election timeout old
}

// note takes the leader's commit index of now.
func (t *catchUpTarget) note(now flow.Time, term, commit uint64) {
	if t.term != term {
		*t = catchUpTarget{term: term, notedAt: now, older: commit, newer: commit}
		return
	}
	if now-t.notedAt >= budget.ElectionTimeout/2 {
		t.older, t.newer, t.notedAt = t.newer, commit, now
	}
}

// target is the index that a learner must have; none is known in another term.
func (t *catchUpTarget) target(term uint64) (uint64, bool) { return t.older, t.term == term }

// RemoveMember asks to empty the store machine of this identity (design 4.8).
type RemoveMember string

// Kind names the ask.
func (RemoveMember) Kind() ledger.Kind { return ask.KindMemberRemove }

// remove empties a machine. A learner leaves at once; a voter is marked, and
// leaves when another has taken its place (repair.go). What would leave too
// few voters is refused.
func (s *Store) remove(now flow.Time, w wait, machine RemoveMember, out *flow.Outbox) {
	id, c := string(machine), s.raft.Conf()
	i := c.Find(id)
	if i < 0 {
		s.repeat(w, removed(id), out)
		return
	}
	m := c.Members[i]
	if !m.Voter {
		if s.needed(now, c, id) {
			s.refuse(w, lastReadyLearner, out)
			return
		}
		at, term, err := s.raft.Change(retire(c, id))
		s.hold(w, at, term, err, out)
		return
	}
	if m.Leave {
		s.repeat(w, m, out) // it is on its way out
		return
	}
	if c.Voters() == 1 && len(c.Members) == 1 {
		s.refuse(w, lastCopy, out)
		return
	}
	if s.spares(now, c, "")+s.standIns(c, id) <= s.voidVotes(now, c) && c.Voters() <= want(c) {
		s.refuse(w, noSuccessor, out)
		return
	}
	m.Leave = true
	at, term, err := s.raft.Change(c.With(m))
	s.hold(w, at, term, err, out)
}

// needed says that a learner is the last that can take a lost voter's place.
func (s *Store) needed(now flow.Time, c raft.Conf, id string) bool {
	return s.ready(id, now) && s.spares(now, c, id) < s.voidVotes(now, c)
}

// spares counts the learners that stand ready, but for one.
func (s *Store) spares(now flow.Time, c raft.Conf, except string) (count int) {
	for _, m := range c.Members {
		if !m.Voter && !m.Leave && m.ID != except && s.ready(m.ID, now) {
			count++
		}
	}
	return count
}

// voidVotes counts the voters whose place a learner is to take, or may soon have to.
func (s *Store) voidVotes(now flow.Time, c raft.Conf) (count int) {
	for _, m := range c.Members {
		if m.Voter && (s.gone(m, now) || s.raft.Silent(m.ID, now) >= budget.FailureTimeout/4) {
			count++
		}
	}
	return count
}

const keepRetired = 32

// retire takes a member out for good.
func retire(c raft.Conf, id string) raft.Conf {
	out := c.Without(id)
	out.Retired = append(append([]string(nil), c.Retired...), id)
	if n := len(out.Retired); n > keepRetired {
		out.Retired = out.Retired[n-keepRetired:]
	}
	return out
}
