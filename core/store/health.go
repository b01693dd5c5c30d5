package store

import (
	"fmt"
	"strings"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/raft"
)

// What a store machine says when it has no leader, or when nothing commits (design 10.4).

const (
	// A trouble is logged once it has lasted for troubleNoted, and again after twice as
	// long each time, up to troubleNotedMost.
	troubleNoted     = budget.FailureTimeout
	troubleNotedMost = 8 * budget.FailureTimeout
)

// VoterHealth is what this store machine knows of a voter.
type VoterHealth struct {
	ID        string  `json:"id"`
	Zone      string  `json:"zone"`
	Addr      string  `json:"addr"`                 // where it is sought, by the membership
	SpokeFrom string  `json:"spoke_from,omitempty"` // where it was heard from, if elsewhere
	Silent    float64 `json:"silent_seconds"`       // since it was heard, below zero if never since the start
	Vote      string  `json:"vote,omitempty"`       // its answer in the newest election of this machine
	Match     uint64  `json:"match,omitempty"`      // what it has of the log, on the leader
}

// Health is what keeps a store from working, or what would.
type Health struct {
	Leaderless      float64       `json:"leaderless_seconds"`     // since a leader was heard
	CommitStalled   float64       `json:"commit_stalled_seconds"` // since the oldest uncommitted entry waits, on the leader
	LastIndex       uint64        `json:"last_index"`
	LastTerm        uint64        `json:"last_term"`
	MembershipIndex uint64        `json:"membership_index"`
	MembershipTerm  uint64        `json:"membership_term"` // 0 where the entry is in a snapshot
	ElectionTerm    uint64        `json:"election_term,omitempty"`
	Voters          []VoterHealth `json:"voters"`
}

// health follows the troubles of a store machine for its log.
type health struct {
	commit    uint64    // as it was when it last moved
	commitAt  flow.Time // or when nothing waited to be committed
	noLeader  trouble
	noCommits trouble
}

// trouble is noted in the log more and more rarely while it lasts.
type trouble struct {
	next  flow.Time // of its duration, when it is noted again
	noted bool
}

// due says whether a trouble that has lasted so long is to be noted now.
func (t *trouble) due(lasted flow.Time) bool {
	if lasted < troubleNoted {
		return false
	}
	if t.noted && lasted < t.next {
		return false
	}
	t.noted, t.next = true, lasted+min(lasted, troubleNotedMost)
	return true
}

// ended says whether a trouble that was noted is over.
func (t *trouble) ended(lasted flow.Time) bool {
	if lasted >= troubleNoted || !t.noted {
		return false
	}
	*t = trouble{}
	return true
}

// watchHealth notes in the log that no leader is heard, or that this leader commits
// nothing. A machine that the newest membership it knows of does not have expects none.
func (s *Store) watchHealth(now flow.Time, self gossip.Entry, out *flow.Outbox) {
	if s.raft.Blank() || !self.Member {
		s.health = health{commitAt: now}
		return
	}
	leaderless, stalled := now-s.raft.LeaderHeardAt(), s.commitStalled(now)
	if s.health.noLeader.due(leaderless) {
		flow.Warn.Note(out, "store", "no leader is heard", s.healthArgs(now, leaderless)...)
	}
	if s.health.noLeader.ended(leaderless) {
		flow.Warn.Note(out, "store", "a leader is heard again", "leader", s.raft.LeaderAddr(), "term", s.raft.Term())
	}
	if s.health.noCommits.due(stalled) {
		flow.Warn.Note(out, "store", "this leader commits nothing", s.healthArgs(now, stalled)...)
	}
	if s.health.noCommits.ended(stalled) {
		flow.Warn.Note(out, "store", "commits go on", "commit", s.raft.Commit(), "term", s.raft.Term())
	}
}

// commitStalled is for how long an entry of this leader has waited without any commit.
func (s *Store) commitStalled(now flow.Time) flow.Time {
	last, _ := s.raft.LastEntry()
	if s.raft.Role() != raft.Leader || s.raft.Commit() >= last || s.raft.Commit() != s.health.commit {
		s.health.commit, s.health.commitAt = s.raft.Commit(), now
	}
	return now - s.health.commitAt
}

func (s *Store) healthArgs(now, lasted flow.Time) []any {
	h := s.Health()
	return []any{
		"seconds", seconds(lasted), "role", s.raft.Role(), "votes", s.votes(), "term", s.raft.Term(), "commit", s.raft.Commit(),
		"last", fmt.Sprintf("%d/%d", h.LastTerm, h.LastIndex), "unsure", s.raft.Unsure(), "fetching", s.pull != nil,
		"membership", fmt.Sprintf("%d/%d", h.MembershipTerm, h.MembershipIndex), "election_term", h.ElectionTerm, "voters", votersText(h.Voters),
	}
}

func seconds(t flow.Time) string { return fmt.Sprintf("%.1f", t.Seconds()) }

func votersText(voters []VoterHealth) string {
	var texts []string
	for _, v := range voters {
		text := fmt.Sprintf("%s %s %s", v.ID, v.Zone, v.Addr)
		if v.SpokeFrom != "" {
			text += " spoke from " + v.SpokeFrom
		}
		if v.Silent < 0 {
			text += " never heard"
		} else {
			text += fmt.Sprintf(" silent %.1f", v.Silent)
		}
		if v.Match > 0 {
			text += fmt.Sprintf(" match %d", v.Match)
		}
		texts = append(texts, text+" vote "+v.Vote)
	}
	return strings.Join(texts, "; ")
}

// Health tells which voters this machine knows, which of them it hears, and what they
// answered when it last asked for their votes.
func (s *Store) Health() Health {
	h := Health{
		Leaderless: (s.now - s.raft.LeaderHeardAt()).Seconds(), CommitStalled: (s.now - s.health.commitAt).Seconds(),
		MembershipIndex: s.raft.ConfAt(), MembershipTerm: s.raft.ConfTerm(), ElectionTerm: s.raft.LastElection().Term,
	}
	if s.raft.Role() != raft.Leader {
		h.CommitStalled = 0
	}
	h.LastIndex, h.LastTerm = s.raft.LastEntry()
	for _, m := range s.raft.Conf().Members {
		if m.Voter {
			h.Voters = append(h.Voters, s.voterHealth(m))
		}
	}
	return h
}

func (s *Store) voterHealth(m raft.Member) VoterHealth {
	v := VoterHealth{ID: m.ID, Zone: m.Zone, Addr: m.Addr, Silent: -1, Vote: s.voteOf(m.ID)}
	if s.raft.Role() == raft.Leader {
		v.Match = s.raft.Match(m.ID)
	}
	if addr := s.addrs[m.ID]; addr != m.Addr {
		v.SpokeFrom = addr
	}
	if m.ID == s.p.ID {
		v.Silent = 0
	} else if at, heard := s.raft.HeardAt(m.ID); heard {
		v.Silent = (s.now - at).Seconds()
	}
	return v
}

// voteOf tells a voter's answer in the newest election of this machine.
func (s *Store) voteOf(id string) string {
	election := s.raft.LastElection()
	answer, answered := election.Answers[id]
	switch {
	case election.Answers == nil:
		return "not asked"
	case id == s.p.ID:
		return "own"
	case !answered:
		return "no answer"
	case !answer.Granted:
		return "refused: " + string(answer.Refusal)
	case answer.Uncertain:
		return "granted without weight"
	default:
		return "granted"
	}
}

// SilentVoters counts the voters that were not heard for the time after which a peer
// counts as lost.
func (h Health) SilentVoters() (count int) {
	for _, v := range h.Voters {
		if v.Silent < 0 || v.Silent >= budget.FailureTimeout.Seconds() {
			count++
		}
	}
	return count
}

// changedText names the member in which two memberships differ, and what became of it.
func changedText(from, to raft.Conf) string {
	var texts []string
	for _, m := range to.Members {
		if at := from.Find(m.ID); at < 0 || from.Members[at] != m {
			texts = append(texts, memberText(m))
		}
	}
	for _, m := range from.Members {
		if to.Find(m.ID) < 0 {
			texts = append(texts, memberText(m)+" is out")
		}
	}
	return strings.Join(texts, "; ")
}

func memberText(m raft.Member) string {
	role := "learner"
	if m.Voter {
		role = "voter"
	}
	if m.Leave {
		role += " to be emptied"
	}
	return fmt.Sprintf("%s %s %s %s", m.ID, m.Zone, m.Addr, role)
}
