package raft

import (
	"math/rand"
	"sort"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/invariant"
)

// Member is one store machine of the cluster.
type Member struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Zone  string `json:"area"` // the name on the wire and on disk: builds of both names must read each other
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

// isMajority says whether so many voters are more than half of them.
func (c Conf) isMajority(count int) bool { return count*2 > c.Voters() }

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

// Offer is a snapshot that the leader has instead of entries this member lacks.
type Offer struct {
	From  string
	Index uint64
	Term  uint64 // of the snapshot's last entry
}

// Config are the options of a member, and what its disk held at the start.
type Config struct {
	ID                string
	Rand              *rand.Rand // draws election time-outs
	HeartbeatInterval flow.Time
	ElectionTimeout   flow.Time
	MaxMessageEntries int // entries of one message; maxMessageEntries when zero
	Hard              flow.Hard
	Snapshot          *flow.Snapshot
	Entries           []flow.Entry
	Invariants        *invariant.Monitor // counts broken promises; nil panics at one
}

// Applied is a committed entry on its way to the ledger.
type Applied struct{ Entry flow.Entry }

// Out is what one Advance wants done. Saves come first, always.
type Out struct {
	Saves    []flow.Save
	Messages []Envelope
	Applied  []Applied
	Reads    []uint64 // tokens of reads that may be answered now
	Offer    *Offer
	Lost     bool // leadership was lost: pending proposals and reads are void
}

// encode gives a configuration as the data of an entry.
func encode(conf Conf) json.RawMessage {
	data, err := json.Marshal(conf)
	if err != nil {
		panic(err) // a Conf has only strings, numbers and booleans
	}
	return data
}

// decodeConf reads the configuration that an entry or a snapshot carries.
func decodeConf(data json.RawMessage) (conf Conf, ok bool) {
	err := json.Unmarshal(data, &conf)
	return conf, err == nil
}
