package raft

import (
	"encoding/json"
	"math/rand"

	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// Roles of a member.
const (
	Follower  = "follower"
	Pre       = "pre"
	Candidate = "candidate"
	Leader    = "leader"
)

// Failures of this layer.
var (
	ErrNotLeader = errors.New("raft: not the leader")
	ErrBusy      = errors.New("raft: a change of membership is under way")
	ErrEarly     = errors.New("raft: the leader has not yet committed an entry of its own term")
)

type mark struct{ batch, last uint64 }

// Raft is one member.
type Raft struct {
	id          string
	rand        *rand.Rand
	beat, elect flow.Time

	hard     flow.Hard
	base     flow.Entry // index and term that the snapshot stands for
	snapshot *flow.Snapshot
	log      []flow.Entry
	conf     Conf
	confAt   uint64
	confs    map[uint64]Conf // configurations still in the log, by index

	role        string
	leader      string
	commit      uint64
	applied     uint64
	stable      uint64
	weight      int
	marks       []mark // saves that are on their way to the disk
	votes       map[string]bool
	doubts      map[string]bool // those who vote and are unsure
	peers       map[string]*progress
	met         bool // a leader was heard since the start
	round       uint64
	reads       []read
	due         flow.Time
	heartbeat   flow.Time // when the next heartbeat is due
	heartbeatAt flow.Time // when the last one went out
	heard       flow.Time
	quorum      flow.Time
	since       flow.Time
	now         flow.Time
	out         Out
	handle      map[string]func(*Raft, Msg)
}

// New starts a member from what its disk holds.
func New(now flow.Time, p Config) *Raft {
	r := &Raft{id: p.ID, rand: p.Rand, beat: p.Beat, elect: p.Elect, hard: p.Hard, now: now,
		role: Follower, confs: map[uint64]Conf{}, peers: map[string]*progress{}}
	r.handle = map[string]func(*Raft, Msg){
		"pre": (*Raft).onPre, "prer": (*Raft).onPreBack,
		"vote": (*Raft).onVote, "voter": (*Raft).onVoteBack,
		"app": (*Raft).onAppend, "appr": (*Raft).onAppendBack, "dig": (*Raft).onSnapshot, "now": (*Raft).onNow,
	}
	if p.Snapshot != nil {
		r.setSnapshot(p.Snapshot)
	}
	for _, e := range p.Entries {
		if e.Index == r.last()+1 {
			r.push(e)
		}
	}
	r.stable = r.last()
	r.heard = now
	// What was known to be committed is applied at once, and not when the first
	// leader speaks: then others wait for it.
	r.commit = max(r.commit, min(p.Hard.Commit, r.last()))
	r.reset()
	return r
}

func (r *Raft) push(e flow.Entry) {
	r.log = append(r.log, e)
	if e.Kind == "conf" {
		var c Conf
		if json.Unmarshal(e.Data, &c) == nil {
			r.confs[e.Index] = c
			r.pickConf()
		}
	}
}

func (r *Raft) last() uint64 { return r.base.Index + uint64(len(r.log)) }

func (r *Raft) term(i uint64) (uint64, bool) {
	if i == r.base.Index {
		return r.base.Term, true
	}
	if i < r.base.Index || i > r.last() {
		return 0, false
	}
	return r.log[i-r.base.Index-1].Term, true
}

// Plain readings of the state.
func (r *Raft) Role() string     { return r.role }
func (r *Raft) Term() uint64     { return r.hard.Term }
func (r *Raft) Cluster() string  { return r.hard.Cluster }
func (r *Raft) Conf() Conf       { return r.conf }
func (r *Raft) Applied() uint64  { return r.applied }
func (r *Raft) Commit() uint64   { return r.commit }
func (r *Raft) Since() flow.Time { return r.since }
func (r *Raft) Blank() bool      { return r.hard.Cluster == "" }
func (r *Raft) LogLen() int      { return len(r.log) }
func (r *Raft) LeaderID() string { return r.leader }
func (r *Raft) Unsure() bool     { return r.hard.Unsure }
func (r *Raft) Match(id string) uint64 {
	if p := r.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// LeaderAddr gives where the leader is thought to be.
func (r *Raft) LeaderAddr() string {
	if i := r.conf.Find(r.leader); i >= 0 {
		return r.conf.Members[i].Addr
	}
	return ""
}

// Ready says that the leader has committed in its own term (design 4.3).
func (r *Raft) Ready() bool {
	t, ok := r.term(r.commit)
	return r.role == Leader && ok && t == r.hard.Term
}

func (r *Raft) hardCopy() *flow.Hard {
	h := r.hard
	h.Commit = r.commit
	return &h
}

func (r *Raft) save(s flow.Save) { r.out.Saves = append(r.out.Saves, s) }

// Propose appends a command and gives its index and term.
func (r *Raft) Propose(kind string, data json.RawMessage) (uint64, uint64, error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	e := flow.Entry{Index: r.last() + 1, Term: r.hard.Term, Kind: kind, Data: data}
	r.push(e)
	r.save(flow.Save{Hard: r.hardCopy(), Add: []flow.Entry{e}})
	for _, m := range r.conf.Members {
		r.feed(m.ID, false)
	}
	return e.Index, e.Term, nil
}

// Mark notes that all that was given out to be saved so far is in the batch of
// this number; Synced says that batches up to a number are on disk.
func (r *Raft) Mark(batch uint64) { r.marks = append(r.marks, mark{batch, r.last()}) }

// Synced: see Mark.
func (r *Raft) Synced(batch uint64) {
	for len(r.marks) > 0 && r.marks[0].batch <= batch {
		r.stable = max(r.stable, r.marks[0].last)
		r.marks = r.marks[1:]
	}
}

// Step takes one message.
func (r *Raft) Step(m Msg) {
	if m.ToID != r.id {
		return
	}
	h, ok := r.handle[m.Kind]
	if !ok {
		return
	}
	// A vote asked for while a leader is being heard is passed over: a
	// member that was cut off does not disturb the others (design 4.1).
	ask := m.Kind == "pre" || m.Kind == "vote"
	if ask && !m.Move && r.leader != "" && r.now-r.heard < r.elect && r.leader != m.From {
		return
	}
	if m.Term > r.hard.Term && m.Kind != "pre" && !(m.Kind == "prer" && m.OK) {
		lead := ""
		if m.Kind == "app" || m.Kind == "dig" {
			lead = m.From
		}
		r.follow(m.Term, lead)
	}
	h(r, m)
}

func (r *Raft) follow(term uint64, leader string) {
	if r.role == Leader {
		r.out.Lost = true
		r.reads = nil
	}
	r.role, r.leader = Follower, leader
	if term > r.hard.Term {
		r.hard.Term, r.hard.Vote = term, ""
		r.save(flow.Save{Hard: r.hardCopy()})
	}
	r.reset()
}

// Advance runs the member's systems and gives what is to be done.
func (r *Raft) Advance(now flow.Time) Out {
	r.now = now
	if r.role == Leader {
		r.lead()
	} else if now >= r.due {
		r.campaign(true, false)
	}
	r.apply()
	out := r.out
	r.out = Out{}
	return out
}

// Now sets the time that messages stepped from here on are taken at.
func (r *Raft) Now(now flow.Time) { r.now = now }

// One message has so many entries, and about so many bytes of them, at most: over
// a thin link each still arrives, and is acknowledged, before it is sent again.
const (
	most      = 64
	mostBytes = 64 << 10
	// So many messages follow an acknowledgement at most.
	refillMessages = 4
	// So many bytes of entries are on their way to one member at most: what a slow
	// way can't carry yet would only fill this member's memory.
	windowMost = 512 << 10
	// It halves when nothing is heard of them, and grows with each acknowledgement.
	windowLeast  = mostBytes
	windowGrowth = 8 << 10
)
