// Calls of the administration API.

package node

import (
	"net/http"

	"fernlink/core/coord"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/serve"
)

var calls = map[string]func(*Node, flow.Time, flow.Call, *flow.Outbox){
	"healthz": func(n *Node, _ flow.Time, c flow.Call, out *flow.Outbox) {
		out.Answer(c.ID, http.StatusOK, map[string]string{"state": "up"}, nil)
	},
	"status": func(n *Node, now flow.Time, c flow.Call, out *flow.Outbox) {
		out.Answer(c.ID, http.StatusOK, n.Stats(now), nil)
	},
	"metrics": func(n *Node, now flow.Time, c flow.Call, out *flow.Outbox) {
		out.Replies = append(out.Replies, flow.Reply{ID: c.ID, Code: http.StatusOK, Body: Metrics(n.Stats(now)),
			Head: map[string]string{"Content-Type": "text/plain; version=0.0.4"}})
	},
	"watch": func(n *Node, now flow.Time, c flow.Call, out *flow.Outbox) {
		n.onCoord(now, c, out, (*coord.Coord).Watch)
	},
	"usage": func(n *Node, now flow.Time, c flow.Call, out *flow.Outbox) {
		n.onCoord(now, c, out, (*coord.Coord).Usage)
	},
}

// onCoord serves a call of the views where they are, or points there.
func (n *Node) onCoord(now flow.Time, c flow.Call, out *flow.Outbox, f func(*coord.Coord, flow.Time, flow.Call, *flow.Outbox)) {
	if n.coord != nil && n.coord.Acting(now) {
		f(n.coord, now, c, out)
		return
	}
	n.toCoord(now, c, out)
}

// toCoord points a caller to the acting coordinator, as the ledger names it under
// a lease.
func (n *Node) toCoord(now flow.Time, c flow.Call, out *flow.Outbox) {
	if n.disp != nil && n.disp.Fresh(now) {
		at := n.disp.Stats(now).Coord.Addr
		for _, e := range n.gossip.Live(now) {
			if e.Addr == at && at != "" {
				out.Answer(c.ID, http.StatusTemporaryRedirect, map[string]string{"error": "the coordinator serves this"},
					map[string]string{"Location": "http://" + e.Web + c.Path + "?" + c.Query["?"]})
				return
			}
		}
	}
	out.Answer(c.ID, http.StatusServiceUnavailable, map[string]string{"error": "no coordinator is known just now"}, map[string]string{"Retry-After": "2"})
}

func (n *Node) call(now flow.Time, c flow.Call, out *flow.Outbox) {
	if f, ok := calls[c.Name]; ok {
		f(n, now, c, out)
		return
	}
	if n.serve != nil && serve.Serves(c.Name) {
		n.serve.Call(now, c, out)
		return
	}
	if n.disp == nil || !disp.Serves(c.Name) {
		out.Answer(c.ID, http.StatusServiceUnavailable, map[string]string{"error": "this node runs no dispatcher"}, map[string]string{"Retry-After": "5"})
		return
	}
	n.disp.Call(now, c, n.gossip.Live(now), out)
}
