// Lines from other nodes.

package node

import (
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/serve"
)

// Foreign says why a line must not be heard, or "".
func Foreign(l flow.Line, cluster string) string {
	if l.Ver != flow.Version {
		return "speaks another version"
	}
	if l.Cluster != "" && cluster != "" && l.Cluster != cluster {
		return "belongs to another cluster"
	}
	return ""
}

func raftLine(n *Node, now flow.Time, _ int64, l flow.Line, _ *flow.Outbox) {
	if n.store != nil && !n.choked() {
		n.store.Raft(now, l)
	}
}

func askLine(n *Node, now flow.Time, _ int64, l flow.Line, _ *flow.Outbox) {
	if n.store != nil && !n.choked() {
		n.store.Ask(now, l, &n.box)
	}
}

// urgent are the kinds of lines that elections, leases and membership rest on.
var urgent = map[string]bool{"raft": true, flow.Entries: true, ask.LeaseLine: true, "told": true, "gossip": true, "nudge": true}

// Urgent says whether an event goes before all requests, streams and questions in a
// node that has more to do than it can (design 3.1).
func Urgent(e flow.Event) bool {
	return e.Saved != 0 || e.Blobs != nil || e.Full || e.Stop || e.Line != nil && urgent[e.Line.Kind]
}

var lines map[string]func(*Node, flow.Time, int64, flow.Line, *flow.Outbox)

func init() {
	lines = map[string]func(*Node, flow.Time, int64, flow.Line, *flow.Outbox){
		"gossip": func(n *Node, now flow.Time, _ int64, l flow.Line, _ *flow.Outbox) {
			var b gossip.Body
			if n.parse(l, &b) {
				n.gossip.Take(now, l.Addr, b)
			}
		},
		serve.RetireLine: func(n *Node, _ flow.Time, _ int64, _ flow.Line, _ *flow.Outbox) { n.gossip.Retire() },
		"raft":           raftLine,
		flow.Entries:     raftLine,
		ask.Line:         askLine,
		ask.LeaseLine:    askLine,
		"pull": func(n *Node, now flow.Time, _ int64, l flow.Line, _ *flow.Outbox) {
			if n.store != nil && !n.choked() {
				n.store.Pulled(now, l, &n.box)
			}
		},
		"piece": func(n *Node, now flow.Time, _ int64, l flow.Line, _ *flow.Outbox) {
			if n.store != nil && !n.choked() {
				n.store.Piece(now, l, &n.box)
			}
		},
		"told": func(n *Node, now flow.Time, _ int64, l flow.Line, _ *flow.Outbox) {
			var t ask.Told
			if n.parse(l, &t) {
				n.asker.Take(now, l.Addr, t)
			}
		},
		"nudge": func(n *Node, _ flow.Time, _ int64, _ flow.Line, _ *flow.Outbox) {
			if n.disp != nil {
				n.disp.Nudge()
			}
			if n.coord != nil {
				n.coord.Nudge()
			}
		},
		"events": func(n *Node, now flow.Time, _ int64, l flow.Line, out *flow.Outbox) {
			var b disp.Batches
			if n.coord != nil && n.parse(l, &b) {
				n.coord.Events(now, l.Addr, b, out)
			}
		},
		"acked": func(n *Node, _ flow.Time, _ int64, l flow.Line, _ *flow.Outbox) {
			var a disp.Ack
			if n.disp != nil && n.parse(l, &a) {
				n.disp.Acked(a)
				if n.serve != nil {
					n.serve.Acked(a)
				}
			}
		},
		"handed": func(n *Node, _ flow.Time, _ int64, l flow.Line, _ *flow.Outbox) {
			var h disp.Handed
			if n.disp != nil && n.parse(l, &h) {
				n.disp.Handed(h)
			}
		},
		"lookup": func(n *Node, now flow.Time, _ int64, l flow.Line, out *flow.Outbox) {
			var q disp.Lookup
			if n.coord != nil && n.parse(l, &q) {
				n.coord.Lookup(now, l.Addr, q, out)
			}
		},
		"looked": func(n *Node, now flow.Time, _ int64, l flow.Line, out *flow.Outbox) {
			var q disp.Looked
			if n.disp != nil && n.parse(l, &q) {
				n.disp.Looked(now, q)
				if n.serve != nil {
					n.serve.Looked(now, q, out)
				}
			}
		},
	}
}

func (n *Node) parse(l flow.Line, into any) bool {
	if flow.Decode(l.Body, into) != nil {
		n.counts["malformed_lines"]++
		return false
	}
	return true
}

func (n *Node) line(now flow.Time, wall int64, l flow.Line, out *flow.Outbox) {
	if why := Foreign(l, n.Cluster()); why != "" {
		n.counts["foreign_lines"]++
		if now-n.burst[l.Addr] > budget.Heal || n.burst[l.Addr] == 0 {
			flow.Warn.Note(out, "node", "a peer "+why, "addr", l.Addr, "version", l.Ver)
		}
		if len(n.burst) > 256 {
			n.burst = map[string]flow.Time{}
		}
		n.burst[l.Addr] = now
		return
	}
	f, ok := lines[l.Kind]
	if !ok && n.serve != nil && n.serve.Line(now, l, out) {
		return
	}
	if !ok {
		n.counts["malformed_lines"]++
		return
	}
	f(n, now, wall, l, out)
}
