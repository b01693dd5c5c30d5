// Elections (design 4.1).

package raft

import (
	"fernlink/core/flow"
)

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
