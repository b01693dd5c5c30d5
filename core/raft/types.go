// Package raft is fernlink's own replicated log (design 4): pre-vote,
// check-quorum, read-index reads, learners, one change of membership at a
// time. It is a deterministic state machine.
package raft

import (
	"encoding/json"
	"math/rand"
	"sort"

	"fernlink/core/flow"
)

// Member is one store machine of the cluster.
type Member struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Area  string `json:"area"`
	Voter bool   `json:"voter"`
	Leave bool   `json:"leaving,omitempty"` // an operator wants it emptied
}

// Conf is a cluster's membership: its members, how many voters are wanted,
// and whom an operator retired, so that nobody takes them in again.
type Conf struct {
	Cluster string   `json:"cluster"`
	Want    int      `json:"want"`
	Members []Member `json:"members"`
	Retired []string `json:"retired,omitempty"`
}

// Find gives a member's place, or -1.
func (c Conf) Find(id string) int {
	for i, m := range c.Members {
		if m.ID == id {
			return i
		}
	}
	return -1
}

// Voters counts the voters.
func (c Conf) Voters() int {
	n := 0
	for _, m := range c.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// With gives a copy with one member put in or replaced.
func (c Conf) With(m Member) Conf {
	out := c.Without(m.ID)
	out.Members = append(out.Members, m)
	sort.Slice(out.Members, func(a, b int) bool { return out.Members[a].ID < out.Members[b].ID })
	return out
}

// Without gives a copy that lacks one member.
func (c Conf) Without(id string) Conf {
	out := Conf{Cluster: c.Cluster, Want: c.Want, Retired: c.Retired}
	for _, m := range c.Members {
		if m.ID != id {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// Msg is one Raft message. ToID fences a machine that came back blank: its
// new identity is never the old voter.
type Msg struct {
	Kind    string       `json:"k"`
	From    string       `json:"f"`
	ToID    string       `json:"to"`
	Term    uint64       `json:"t"`
	Index   uint64       `json:"i,omitempty"`
	LogTerm uint64       `json:"lt,omitempty"`
	Commit  uint64       `json:"c,omitempty"`
	Round   uint64       `json:"r,omitempty"`
	OK      bool         `json:"ok,omitempty"`
	Hint    uint64       `json:"h,omitempty"`
	Add     []flow.Entry `json:"e,omitempty"`
	Unsure  bool         `json:"u,omitempty"`
	Move    bool         `json:"mv,omitempty"` // the leader asked for this vote
}

// Offer is a snapshot that the leader has instead of entries this member lacks.
type Offer struct {
	From  string
	Index uint64
	Term  uint64 // of the snapshot's last entry
}

// Config are the options of a member.
type Config struct {
	ID       string
	Rand     *rand.Rand
	Beat     flow.Time
	Elect    flow.Time
	Hard     flow.Hard
	Snapshot *flow.Snapshot
	Entries  []flow.Entry
}

// Applied is a committed entry on its way to the ledger.
type Applied struct{ Entry flow.Entry }

// Out is what one Advance wants done. Saves come first, always.
type Out struct {
	Saves   []flow.Save
	Msgs    []Dest
	Applied []Applied
	Reads   []uint64
	Offer   *Offer
	Lost    bool // leadership was lost: pending proposals and reads are void
}

// Dest is a message and the address it goes to.
type Dest struct {
	Addr string
	Msg  Msg
}

func raw(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain structs of this package come here
	}
	return b
}
