// Replication of entries (design 4.2).

package raft

import (
	"sort"

	"fernlink/core/flow"
)

type progress struct {
	match, next uint64
	flight      int       // bytes of entries sent on trust and not acknowledged
	moved       flow.Time // when it acknowledged more, or entries were first on their way
	round       uint64
	heard       flow.Time
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
			r.hurry() // the others hear of it
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

func (r *Raft) apply() {
	for r.applied < r.commit && r.applied < r.last() {
		r.applied++
		e := r.log[r.applied-r.base.Index-1]
		r.weight += len(e.Data)
		r.out.Applied = append(r.out.Applied, Applied{Entry: e})
	}
}
