package raft

import (
	"encoding/json"
	"math/rand"
	"sort"

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

type progress struct {
	match, next uint64
	flight      int       // bytes of entries sent on trust and not acknowledged
	moved       flow.Time // when it acknowledged more, or entries were first on their way
	round       uint64
	heard       flow.Time
}

type mark struct{ batch, last uint64 }

type read struct {
	token, round, index uint64
}

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

func (r *Raft) setSnapshot(d *flow.Snapshot) {
	r.snapshot, r.weight = d, 0
	r.base = flow.Entry{Index: d.Index, Term: d.Term}
	r.log = nil
	r.commit, r.applied = d.Index, d.Index
	r.confs = map[uint64]Conf{}
	var c Conf
	if json.Unmarshal(d.Conf, &c) == nil {
		r.confs[d.Index] = c
	}
	r.pickConf()
}

func (r *Raft) pickConf() {
	var top uint64
	r.conf, r.confAt = Conf{}, 0
	for at, c := range r.confs {
		if at >= top {
			top = at
			r.conf, r.confAt = c, at
		}
	}
	if r.role == Leader {
		r.track()
	}
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

// reset draws when the next election is due. A member that has heard no leader
// since its start asks sooner: where there is one, the others pass its pre-vote
// over (design 4.1).
func (r *Raft) reset() {
	least := r.elect
	if !r.met {
		least /= 4
	}
	r.due = r.now + least + flow.Time(r.rand.Int63n(int64(least)))
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

// Form writes a new cluster's first entry (design 4.5).
func (r *Raft) Form(c Conf) {
	if !r.Blank() || r.last() != 0 {
		return
	}
	r.hard = flow.Hard{Cluster: c.Cluster, Term: 1}
	e := flow.Entry{Index: 1, Term: 1, Kind: "conf", Data: raw(c)}
	r.push(e)
	r.save(flow.Save{Hard: r.hardCopy(), Add: []flow.Entry{e}})
	r.due = r.now
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

// Change proposes a membership that differs in one member (design 4.4).
func (r *Raft) Change(c Conf) (uint64, uint64, error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if !r.Ready() {
		return 0, 0, ErrEarly
	}
	if r.confAt > r.commit {
		return 0, 0, ErrBusy
	}
	return r.Propose("conf", raw(c))
}

// Read asks that token be released once the leader has proved that it still
// leads and the ledger has caught up (design 4.3).
func (r *Raft) Read(token uint64) bool {
	if !r.Ready() {
		return false
	}
	// The next round goes out soon; one proves all reads that came before it.
	r.heartbeat = min(r.heartbeat, max(r.now, r.heartbeatAt+r.beat/10))
	r.reads = append(r.reads, read{token, r.round + 1, r.commit})
	return true
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

func (r *Raft) voter() bool {
	i := r.conf.Find(r.id)
	return i >= 0 && r.conf.Members[i].Voter
}

// Transfer asks the voter that has most of the log to take over at once, for a
// leader that is about to stop (design 5.5).
func (r *Raft) Transfer() {
	best := ""
	for _, m := range r.conf.Members {
		if m.Voter && m.ID != r.id && r.Live(m.ID, r.now) && (best == "" || r.Match(m.ID) > r.Match(best)) {
			best = m.ID
		}
	}
	if r.role == Leader && best != "" {
		r.send(best, Msg{Kind: "now", Term: r.hard.Term})
	}
}

func (r *Raft) onNow(m Msg) {
	if m.Term == r.hard.Term && r.leader == m.From && r.role == Follower {
		r.campaign(false, true)
	}
}

func (r *Raft) campaign(pre, move bool) {
	r.reset()
	if !r.voter() {
		return
	}
	r.leader = ""
	r.votes, r.doubts = map[string]bool{r.id: true}, map[string]bool{r.id: r.hard.Unsure}
	kind, term := "pre", r.hard.Term+1
	r.role = Pre
	if !pre {
		kind = "vote"
		r.role = Candidate
		r.hard.Term, r.hard.Vote = term, r.id
		r.save(flow.Save{Hard: r.hardCopy()})
	}
	lt, _ := r.term(r.last())
	for _, m := range r.conf.Members {
		if m.Voter && m.ID != r.id {
			r.send(m.ID, Msg{Kind: kind, Term: term, Index: r.last(), LogTerm: lt, Move: move})
		}
	}
	r.tally()
}

// tally counts the votes. One of a member that is unsure of its log's tail only
// counts where every voter's is in: then nobody has more (design 4.6).
func (r *Raft) tally() {
	n, all := 0, 0
	for _, m := range r.conf.Members {
		if m.Voter && r.votes[m.ID] {
			all++
			if !r.doubts[m.ID] {
				n++
			}
		}
	}
	if n*2 <= r.conf.Voters() && all < r.conf.Voters() {
		return
	}
	if r.role == Pre {
		r.campaign(false, false)
		return
	}
	if r.role == Candidate {
		r.crown()
	}
}

func (r *Raft) crown() {
	r.role, r.leader, r.met = Leader, r.id, true
	r.since, r.quorum, r.heard = r.now, r.now, r.now
	r.peers = map[string]*progress{}
	r.reads = nil
	r.track()
	r.sure()
	r.heartbeat = r.now
	_, _, _ = r.Propose("noop", nil)
}

func (r *Raft) track() {
	for _, m := range r.conf.Members {
		if r.peers[m.ID] == nil {
			r.peers[m.ID] = &progress{next: r.last() + 1, heard: r.now}
		}
	}
	for id := range r.peers {
		if r.conf.Find(id) < 0 {
			delete(r.peers, id)
		}
	}
}

func (r *Raft) send(id string, m Msg) {
	i := r.conf.Find(id)
	if i < 0 {
		return
	}
	m.From, m.ToID = r.id, id
	r.out.Msgs = append(r.out.Msgs, Dest{r.conf.Members[i].Addr, m})
}

// back answers a member that this one's own configuration may not know yet.
func (r *Raft) back(to Msg, addr string, m Msg) {
	m.From, m.ToID = r.id, to.From
	r.out.Msgs = append(r.out.Msgs, Dest{addr, m})
}

func (r *Raft) fresh(m Msg) bool {
	lt, _ := r.term(r.last())
	return m.LogTerm > lt || (m.LogTerm == lt && m.Index >= r.last())
}

func (r *Raft) onPre(m Msg) {
	ok := m.Term > r.hard.Term && r.fresh(m)
	r.back(m, "", Msg{Kind: "prer", Term: map[bool]uint64{true: m.Term, false: r.hard.Term}[ok], OK: ok, Unsure: r.hard.Unsure})
}

func (r *Raft) onPreBack(m Msg) {
	if r.role == Pre && m.OK && m.Term == r.hard.Term+1 {
		r.votes[m.From], r.doubts[m.From] = true, m.Unsure
		r.tally()
	}
}

func (r *Raft) onVote(m Msg) {
	ok := m.Term == r.hard.Term && (r.hard.Vote == "" || r.hard.Vote == m.From) && r.fresh(m) && r.role == Follower
	if ok {
		r.hard.Vote = m.From
		r.save(flow.Save{Hard: r.hardCopy()})
		r.reset()
	}
	r.back(m, "", Msg{Kind: "voter", Term: r.hard.Term, OK: ok, Unsure: r.hard.Unsure})
}

func (r *Raft) onVoteBack(m Msg) {
	if r.role == Candidate && m.Term == r.hard.Term && m.OK {
		r.votes[m.From], r.doubts[m.From] = true, m.Unsure
		r.tally()
	}
}

func (r *Raft) hear(m Msg) bool {
	if m.Term < r.hard.Term {
		r.back(m, "", Msg{Kind: "appr", Term: r.hard.Term, Round: m.Round, Hint: r.last()})
		return false
	}
	r.role, r.leader, r.met = Follower, m.From, true
	r.heard = r.now
	r.reset()
	return true
}

func (r *Raft) onAppend(m Msg) {
	if !r.hear(m) {
		return
	}
	t, ok := r.term(m.Index)
	if m.Index < r.base.Index {
		// What the snapshot covers is committed: answer with where it ends.
		r.back(m, "", Msg{Kind: "appr", Term: r.hard.Term, Round: m.Round, Index: r.base.Index, OK: true})
		return
	}
	if !ok || t != m.LogTerm {
		r.back(m, "", Msg{Kind: "appr", Term: r.hard.Term, Round: m.Round, Hint: min(r.last(), m.Index-1), Unsure: r.hard.Unsure})
		return
	}
	var s flow.Save
	for _, e := range m.Add {
		if have, ok := r.term(e.Index); ok {
			if have == e.Term {
				continue
			}
			r.cut(e.Index)
			if s.Cut == 0 {
				s.Cut = e.Index
			}
		}
		r.push(e)
		s.Add = append(s.Add, e)
	}
	if s.Cut > 0 || len(s.Add) > 0 {
		s.Hard = r.hardCopy()
		r.save(s)
	}
	end := m.Index + uint64(len(m.Add))
	if t, _ := r.term(end); r.hard.Unsure && t == m.Term {
		r.sure() // it has an entry of the leader's own, and so all before it
	}
	r.commit = max(r.commit, min(m.Commit, end))
	r.back(m, "", Msg{Kind: "appr", Term: r.hard.Term, Round: m.Round, Index: end, OK: true})
}

func (r *Raft) sure() {
	if r.hard.Unsure {
		r.hard.Unsure = false
		r.save(flow.Save{Hard: r.hardCopy()})
	}
}

func (r *Raft) cut(i uint64) {
	r.log = append([]flow.Entry(nil), r.log[:i-r.base.Index-1]...)
	r.stable = min(r.stable, r.last())
	for i := range r.marks {
		r.marks[i].last = min(r.marks[i].last, r.last())
	}
	for at := range r.confs {
		if at >= i {
			delete(r.confs, at)
		}
	}
	r.pickConf()
}

// onSnapshot hears that the leader has only a snapshot for what is lacking here. The
// store fetches it in pieces and then calls Install; until then the offer is a
// heartbeat like any other (design 4.10).
func (r *Raft) onSnapshot(m Msg) {
	if !r.hear(m) {
		return
	}
	ok := m.Index <= r.commit
	back := Msg{Kind: "appr", Term: r.hard.Term, Round: m.Round, Hint: r.last()}
	if ok {
		back.OK, back.Index = true, m.Index
	} else {
		r.out.Offer = &Offer{m.From, m.Index, m.LogTerm}
	}
	r.back(m, "", back)
}

// Install puts a snapshot in the place of the log.
func (r *Raft) Install(d *flow.Snapshot) bool {
	if d.Index <= r.commit || r.role == Leader {
		return false
	}
	r.setSnapshot(d)
	r.stable, r.marks = r.last(), nil
	r.save(flow.Save{Snapshot: d, Cut: d.Index + 1})
	return true
}

// Snapshot is the newest snapshot, or nil.
func (r *Raft) Snapshot() *flow.Snapshot { return r.snapshot }

func (r *Raft) onAppendBack(m Msg) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil || m.Term != r.hard.Term {
		return
	}
	p.heard = r.now
	p.round = max(p.round, m.Round)
	if m.OK {
		for i := max(p.match, r.base.Index) + 1; i <= min(m.Index, r.last()); i++ {
			p.flight -= len(r.log[i-r.base.Index-1].Data)
		}
		if m.Index > p.match {
			p.match, p.moved = m.Index, r.now
		}
		p.next = max(p.next, p.match+1)
	} else {
		if m.Unsure {
			p.match = min(p.match, m.Hint) // what it had acknowledged is gone
		}
		p.next, p.flight = max(p.match+1, min(p.next, m.Hint+1)), 0
	}
	if p.flight < 0 || p.next == p.match+1 {
		p.flight = 0
	}
	if p.next <= r.last() {
		r.feed(m.From, false)
	}
}

// One message has so many entries, and about so many bytes of them, at most.
const (
	most      = 64
	mostBytes = 1 << 20
	// So many bytes of entries are on their way to one member at most: what a slow
	// way can't carry yet would only fill this member's memory.
	window = 2 << 20
)

func (r *Raft) feed(id string, beat bool) {
	p := r.peers[id]
	if p == nil || id == r.id {
		return
	}
	quiet := r.now-p.heard > 2*r.beat
	if quiet && !beat {
		return // the next heartbeat asks where it stands; what it lacks follows its answer
	}
	prev := p.next - 1
	if beat && p.flight > 0 && p.match > 0 {
		prev = p.match // a heartbeat may overtake what is on its way
	}
	t, ok := r.term(prev)
	if !ok {
		if r.snapshot != nil && beat {
			r.send(id, Msg{Kind: "dig", Term: r.hard.Term, Round: r.round, Index: r.snapshot.Index, LogTerm: r.snapshot.Term})
		}
		return
	}
	if !beat && (p.next > r.last() || p.flight >= window) {
		return // what is left follows the next answer
	}
	from := p.next - r.base.Index - 1
	to := min(from+most, uint64(len(r.log)))
	size := 0
	if beat {
		to = from // a heartbeat has no entries: whoever lacks some says so
	}
	for i := from; i < to; i++ {
		n := len(r.log[i].Data)
		if size+n > mostBytes && i > from {
			to = i // a line has a longest, and the rest follows
			break
		}
		size += n
	}
	add := append([]flow.Entry(nil), r.log[from:to]...)
	r.send(id, Msg{Kind: "app", Term: r.hard.Term, Index: prev, LogTerm: t, Commit: r.commit, Round: r.round, Add: add})
	if p.flight == 0 {
		p.moved = r.now
	}
	p.next += uint64(len(add)) // sent on trust; a refusal moves it back
	p.flight += size
}

func (r *Raft) lead() {
	// Commit what a majority holds, own term only.
	var have []uint64
	live := 0
	for _, m := range r.conf.Members {
		if !m.Voter {
			continue
		}
		if m.ID == r.id {
			have = append(have, r.stable)
			live++
			continue
		}
		p := r.peers[m.ID]
		have = append(have, p.match)
		if r.now-p.heard < 2*r.elect {
			live++
		}
	}
	sort.Slice(have, func(a, b int) bool { return have[a] > have[b] })
	if n := len(have); n > 0 {
		mid := have[n/2]
		if t, ok := r.term(mid); ok && mid > r.commit && t == r.hard.Term {
			r.commit = mid
			r.heartbeat = r.now
		}
	}
	// Check-quorum: a leader that hears no majority steps down.
	if live*2 > len(have) {
		r.quorum, r.heard = r.now, r.now
	} else if r.now-r.quorum >= r.elect {
		r.follow(r.hard.Term, "")
		return
	}
	// A leader that was taken out leaves once that is committed.
	if !r.voter() && r.confAt <= r.commit {
		r.follow(r.hard.Term, "")
		return
	}
	if r.now >= r.heartbeat {
		r.round++
		r.heartbeat, r.heartbeatAt = r.now+r.beat, r.now
		for _, m := range r.conf.Members {
			if p := r.peers[m.ID]; p != nil && p.next > p.match+1 && (r.now-p.heard > 2*r.beat || r.now-p.moved > 2*r.elect) {
				p.next, p.flight = p.match+1, 0 // nothing heard of what was sent on trust
			}
			r.feed(m.ID, true)
		}
	}
	r.release()
}

func (r *Raft) release() {
	for len(r.reads) > 0 {
		rd := r.reads[0]
		n := 0
		for _, m := range r.conf.Members {
			if m.Voter && (m.ID == r.id && r.round >= rd.round || m.ID != r.id && r.peers[m.ID].round >= rd.round) {
				n++
			}
		}
		if n*2 <= r.conf.Voters() || r.commit < rd.index {
			return
		}
		r.out.Reads = append(r.out.Reads, rd.token)
		r.reads = r.reads[1:]
	}
}

func (r *Raft) apply() {
	for r.applied < r.commit && r.applied < r.last() {
		r.applied++
		e := r.log[r.applied-r.base.Index-1]
		r.weight += len(e.Data)
		r.out.Applied = append(r.out.Applied, Applied{Entry: e})
	}
}

// Compact makes a snapshot of the ledger's state stand for what was applied. Some
// entries before it stay in memory, so that a member that is a little behind
// needs no snapshot.
func (r *Raft) Compact(state json.RawMessage, stay, most int) {
	at := r.applied
	t, ok := r.term(at)
	if !ok || at == r.base.Index {
		return
	}
	var c Conf
	var top uint64
	for i, x := range r.confs {
		if i <= at && i >= top {
			top, c = i, x
		}
	}
	r.snapshot = &flow.Snapshot{Index: at, Term: t, Conf: raw(c), State: state}
	from := at
	for n := 0; from > r.base.Index && at-from < uint64(stay); from-- {
		if n += len(r.log[from-r.base.Index-1].Data); n > most {
			break
		}
	}
	r.weight = 0
	ft, _ := r.term(from)
	r.log = append([]flow.Entry(nil), r.log[from-r.base.Index:]...)
	r.base = flow.Entry{Index: from, Term: ft}
	for i := range r.confs {
		if i < at {
			delete(r.confs, i)
		}
	}
	r.confs[at] = c
	r.pickConf()
	r.save(flow.Save{Snapshot: r.snapshot})
}

// Weight is how many bytes were applied since the last snapshot, Unsnapshoted how
// many entries.
func (r *Raft) Weight() int { return r.weight }

func (r *Raft) Unsnapshoted() int {
	if r.snapshot == nil {
		return int(r.applied)
	}
	return int(r.applied - min(r.applied, r.snapshot.Index))
}

// Adopt takes over a cluster's id on the first message meant for this blank
// member (design 4.5).
func (r *Raft) Adopt(cluster string) {
	if r.Blank() {
		r.hard.Cluster = cluster
		r.save(flow.Save{Hard: r.hardCopy()})
	}
}

// Live says whether a leader has heard a member of late.
func (r *Raft) Live(id string, now flow.Time) bool { return r.Silent(id, now) < 2*r.elect }

// Silent is for how long a leader has not heard a member.
func (r *Raft) Silent(id string, now flow.Time) flow.Time {
	if id == r.id {
		return 0
	}
	if p := r.peers[id]; p != nil {
		return now - p.heard
	}
	return now
}

// Busy says whether a change of membership is not committed yet.
func (r *Raft) Busy() bool { return r.confAt > r.commit }

// ConfAt is the index of the membership in force here.
func (r *Raft) ConfAt() uint64 { return r.confAt }
