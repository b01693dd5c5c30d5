package gossip

import (
	"slices"
	"strconv"
)

// Roles that decide who may own lots.
const (
	RoleDispatcher = "dispatcher" // serves clients
	RoleWorker     = "worker"     // runs lots and serves no clients
)

// Entry is what a process says of itself.
type Entry struct {
	ID      string   `json:"id"`
	Name    string   `json:"name,omitempty"`    // the machine's, by which operators call it
	Inc     int64    `json:"inc"`               // incarnation: grows with each start
	Born    int64    `json:"born,omitempty"`    // Inc as it was at the start, where it was raised since
	Beat    uint64   `json:"beat"`              // heartbeat counter
	Changed uint64   `json:"changed,omitempty"` // the counter at the last change of anything else
	Addr    string   `json:"addr"`
	Web     string   `json:"web"`
	Zone    string   `json:"area"` // the name on the wire: builds of both names must read each other
	Roles   []string `json:"roles"`
	Cpu     int      `json:"cpu,omitempty"`    // thousandths of a core that its machine gives it, 0 where unknown
	Link    int      `json:"link,omitempty"`   // Mbit/s of its machine's link, 0 where unknown
	Disk    int      `json:"disk,omitempty"`   // MB of its machine's disk, 0 where unknown
	Memory  int      `json:"memory,omitempty"` // MB of its machine's memory, 0 where unknown
	Format  int      `json:"format,omitempty"` // newest format of the log that it applies (ledger.FormatNewest)
	Member  bool     `json:"member,omitempty"` // it keeps a copy of the state
	Leads   bool     `json:"leads,omitempty"`  // it leads the members that do
	Cluster string   `json:"cluster,omitempty"`
	Blank   bool     `json:"blank,omitempty"`   // a store machine with an empty disk
	Left    bool     `json:"left,omitempty"`    // it is stopping: nobody counts on it
	Retired bool     `json:"retired,omitempty"` // an operator empties it: it gets no more work
	Sees    []string `json:"sees,omitempty"`    // of a blank store: the others that it hears, by address
}

// Start names this very start of the process, also when its incarnation was raised.
func (e Entry) Start() string {
	born := e.Inc
	if e.Born != 0 {
		born = e.Born
	}
	return e.ID + "." + strconv.FormatInt(born, 16)
}

// RunsLots says whether the process may own lots and run their items.
func (e Entry) RunsLots() bool { return e.Has(RoleDispatcher) || e.Has(RoleWorker) }

// LotOwners gives the live processes that may own lots: those whose machines are not
// much smaller than the largest and that neither stop nor are being emptied.
// Workers, which serve no clients, come before dispatchers, and whoever leads the
// store comes last (design 12.5).
func LotOwners(live []Entry) []Entry {
	var candidates []Entry
	most := 0
	for _, e := range live {
		if e.RunsLots() && !e.Left && !e.Retired {
			candidates = append(candidates, e)
			most = max(most, e.Cpu)
		}
	}
	var workers, others []Entry
	for _, e := range candidates {
		switch {
		case 2*e.Cpu < most:
		case e.Has(RoleWorker):
			workers = append(workers, e)
		default:
			others = append(others, e)
		}
	}
	if len(workers) > 0 {
		return followers(workers)
	}
	return followers(others)
}

// lotMemoryPart is the part of its machine's memory that the requests of open lots may take
// in their owner's: the texts that come of them, their sends and all else need the rest.
const lotMemoryPart = 4

// HoldsLots says whether the process has the memory for so many bytes of requests of open
// lots. One whose memory is not known has.
func (e Entry) HoldsLots(bytes int64) bool {
	return e.Memory == 0 || bytes <= int64(e.Memory)<<20/lotMemoryPart
}

// followers leaves out whoever leads the store, where anybody else is there.
func followers(entries []Entry) []Entry {
	rest := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Leads })
	if len(rest) == 0 {
		return entries
	}
	return rest
}

// Has says whether the process runs a role.
func (e Entry) Has(role string) bool { return slices.Contains(e.Roles, role) }

// Known is what every node remembers of the cluster, so that all seeds may
// have been replaced (design 4.5).
type Known struct {
	Cluster string   `json:"cluster"`
	At      uint64   `json:"at"` // index of the membership
	Stores  []string `json:"stores"`
}

// Body is one gossip line: whole entries where something is new, heartbeats
// otherwise.
type Body struct {
	Entries []Entry    `json:"entries,omitempty"`
	Beats   Heartbeats `json:"beats,omitempty"`
	Want    []string   `json:"want,omitempty"` // addresses whose whole entries the sender lacks
	Known   Known      `json:"known"`
}

// older says whether this is an entry of an earlier start, or of before a change.
func (e Entry) older(inc int64, changed uint64) bool {
	return e.Inc < inc || e.Inc == inc && e.Changed < changed
}

// sameContent says whether two entries differ in nothing but their heartbeat counters.
func sameContent(a, b Entry) bool {
	return a.ID == b.ID && a.Inc == b.Inc && a.Web == b.Web && a.Zone == b.Zone &&
		a.Cluster == b.Cluster && a.Blank == b.Blank && a.Left == b.Left && a.Retired == b.Retired && a.Member == b.Member && a.Leads == b.Leads &&
		slices.Equal(a.Roles, b.Roles) && slices.Equal(a.Sees, b.Sees)
}
