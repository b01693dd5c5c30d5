package node

import (
	"bytes"
	"fmt"

	"fernlink/core/coord"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/serve"
	"fernlink/core/sorted"
	"fernlink/core/store"
)

// Stats is the one snapshot behind /status and /metrics (design 10.4).
type Stats struct {
	ID      string           `json:"id"`
	Addr    string           `json:"addr"`
	Area    string           `json:"area"`
	Roles   []string         `json:"roles"`
	Cluster string           `json:"cluster"`
	Up      float64          `json:"up_seconds"`
	Live    []gossip.Entry   `json:"siblings"`
	Asks    int              `json:"asks_open"`
	Counts  map[string]int64 `json:"counts"`
	Rows    map[string]int   `json:"rows"` // entities in each table
	Full    bool             `json:"disk_full,omitempty"`
	Store   *store.Stats     `json:"store,omitempty"`
	Disp    *disp.Stats      `json:"dispatcher,omitempty"`
	Coord   *coord.Stats     `json:"coordinator,omitempty"`
	Serve   *serve.Stats     `json:"serving,omitempty"`
}

// Stats gives the snapshot.
func (n *Node) Stats(now flow.Time) Stats {
	s := Stats{ID: n.p.ID, Addr: n.p.Addr, Area: n.p.Area, Roles: n.p.Roles, Cluster: n.Cluster(), Up: (now - n.began).Seconds(),
		Live: n.gossip.Live(now), Asks: n.asker.Open(), Counts: map[string]int64{}}
	for k, v := range n.counts {
		s.Counts[k] = v
	}
	s.Full = n.full
	s.Rows = map[string]int{"siblings": n.gossip.Rows(), "bursts": len(n.burst), "waits_for_disk": len(n.held)}
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

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Metrics writes a snapshot for scraping. Labels come from fixed lists only.
func Metrics(s Stats) []byte {
	var b bytes.Buffer
	put := func(name string, v any) { fmt.Fprintf(&b, "fernlink_%s %v\n", name, v) }
	counts := func(name string, m map[string]int64) {
		for _, k := range sorted.Keys(m) {
			fmt.Fprintf(&b, "fernlink_%s{kind=%q} %d\n", name, k, m[k])
		}
	}
	put("up_seconds", s.Up)
	put("siblings", len(s.Live))
	for _, k := range sorted.Keys(s.Rows) {
		fmt.Fprintf(&b, "fernlink_rows{table=%q} %d\n", k, s.Rows[k])
	}
	put("asks_open", s.Asks)
	counts("node_total", s.Counts)
	if x := s.Store; x != nil {
		put("store_leader", flag(x.Role == "leader"))
		put("store_term", x.Term)
		put("store_commit", x.Commit)
		put("store_log_entries", x.Log)
		put("store_writes_total", x.Writes)
		put("store_reads_total", x.Reads)
	}
	if x := s.Disp; x != nil {
		put("dispatcher_serving", flag(x.Serving))
		put("dispatcher_plan_version", x.Plan)
		put("dispatcher_generations_held", x.Held)
		put("dispatcher_generations_running", x.Running)
		put("dispatcher_requests_open", x.Open)
		put("dispatcher_engines_usable", x.Engines)
		counts("dispatcher_total", x.Counts)
	}
	if x := s.Coord; x != nil {
		put("coordinator_acting", flag(x.Acting))
		put("coordinator_term", x.Term)
		put("coordinator_journal_offset", x.Offset)
		put("coordinator_stale_slices", x.Stale)
		put("coordinator_engines", x.Engines)
		put("coordinator_blocks", x.Blocks)
		put("coordinator_oldest_sign_seconds", x.Oldest)
		put("coordinator_orders_under_way", x.Moves)
		counts("coordinator_gate_total", x.Gate)
		counts("coordinator_total", x.Counts)
		for _, k := range []string{"evict-estimate", "roll-out", "silence", "checkpoint"} {
			if v, ok := x.Passed[k]; ok {
				fmt.Fprintf(&b, "fernlink_coordinator_seconds_since_pass{loop=%q} %v\n", k, v)
			}
		}
	}
	return b.Bytes()
}
