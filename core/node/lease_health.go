package node

import (
	"fmt"
	"strings"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// How often a missing lease is noted in the log: once it has lasted for leaseNoted, and
// again after twice as long each time, up to leaseNotedMost.
const (
	leaseNoted     = budget.FailureTimeout
	leaseNotedMost = 8 * budget.FailureTimeout
)

// leaseHealth follows the lease of this node's dispatcher for the log.
type leaseHealth struct {
	missedAt flow.Time // when the lease was first missed, 0 while it holds
	noteAt   flow.Time
}

// watchLease notes in the log that this node has no lease, and whose word is lacking.
func (n *Node) watchLease(now flow.Time, out *flow.Outbox) {
	if n.disp == nil || n.stop != 0 {
		return
	}
	h := &n.lease
	if n.disp.Fresh(now) {
		if h.noteAt > h.missedAt+leaseNoted {
			flow.Warn.Note(out, "node", "the lease is back", "seconds", seconds(now-h.missedAt))
		}
		*h = leaseHealth{}
		return
	}
	if h.missedAt == 0 {
		*h = leaseHealth{missedAt: now, noteAt: now + leaseNoted}
	}
	if now < h.noteAt {
		return
	}
	lasted := now - h.missedAt
	h.noteAt = now + min(lasted, leaseNotedMost)
	flow.Warn.Note(out, "node", "no lease", "seconds", seconds(lasted), "lacking", n.lackingWord(), "asked", n.asker.Asked(),
		"stores", strings.Join(n.gossip.Known().Stores, " "), "membership", n.gossip.Known().At, "heard", n.storesHeard(now))
}

// lackingWord tells why the newest renewal gave no lease.
func (n *Node) lackingWord() string {
	switch code := n.disp.LastRenewal(); code {
	case ledger.Unanswered:
		return "no store answers"
	case ledger.Accepted:
		return "the answer came too late"
	default:
		return fmt.Sprintf("the store's leader says %d", code)
	}
}

// storesHeard gives the addresses of store machines that gossip.
func (n *Node) storesHeard(now flow.Time) string {
	var heard []string
	for _, entry := range n.gossip.Live(now) {
		if !entry.Has("store") {
			continue
		}
		text := entry.Addr
		if entry.Leads {
			text += " (leads)"
		}
		heard = append(heard, text)
	}
	return strings.Join(heard, " ")
}

func seconds(t flow.Time) string { return fmt.Sprintf("%.1f", t.Seconds()) }
