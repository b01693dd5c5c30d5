package node

import (
	"fernlink/core/coord"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/invariant"
	"fernlink/core/serve"
	"fernlink/core/store"
)

// Stats is the one snapshot behind /status and /metrics (design 10.4).
type Stats struct {
	ID      string           `json:"id"`
	Addr    string           `json:"addr"`
	Zone    string           `json:"zone"`
	Roles   []string         `json:"roles"`
	Cluster string           `json:"cluster"`
	Up      float64          `json:"up_seconds"`
	Live    []gossip.Entry   `json:"peers"`
	Asks    int              `json:"asks_open"`
	Counts  map[string]int64 `json:"counts"`
	Rows    map[string]int   `json:"rows"` // entities in each table
	Full    bool             `json:"disk_full,omitempty"`

	Invariants map[invariant.Name]int64 `json:"invariant_violations"`

	Store *store.Stats `json:"store,omitempty"`
	Disp  *disp.Stats  `json:"dispatcher,omitempty"`
	Coord *coord.Stats `json:"coordinator,omitempty"`
	Serve *serve.Stats `json:"serving,omitempty"`
}

// Stats gives the snapshot.
func (n *Node) Stats(now flow.Time) Stats {
	s := Stats{ID: n.p.ID, Addr: n.p.Addr, Zone: n.p.Zone, Roles: n.p.Roles, Cluster: n.Cluster(), Up: (now - n.began).Seconds(),
		Live: n.gossip.Live(now), Asks: n.asker.Open(), Counts: map[string]int64{}, Invariants: n.p.Invariants.Counts()}
	for k, v := range n.counts {
		s.Counts[k] = v
	}
	s.Full = n.full
	s.Rows = map[string]int{"peers": n.gossip.Rows(), "bursts": len(n.burst), "waits_for_disk": len(n.held)}
	if n.store != nil {
		x := n.store.Stats()
		s.Store = &x
		n.store.Rows(s.Rows)
	}
	if n.disp != nil {
		x := n.disp.Stats(now)
		s.Disp = &x
		n.disp.Rows(s.Rows)
	}
	if n.coord != nil {
		x := n.coord.Stats(now)
		s.Coord = &x
		n.coord.Rows(s.Rows)
	}
	if n.serve != nil {
		x := n.serve.Stats()
		s.Serve = &x
	}
	return s
}
