// Package inflight knows the weight orders of one process that may still be on their way to
// an engine. Two parts order engines under one lease, core/coord and core/serve/rollout; the
// lease may be given back only when nothing that either has sent can arrive any more
// (design 5.5). It sends nothing and has no clock.
package inflight

import (
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/resend"
)

// onItsWay is how long after it was sent an order may still arrive at its engine, where the
// engine did not answer. It is the silence that covers such an order when a lease lapses.
const onItsWay = budget.LeaseTakeoverTimeout

// order is one send of a weight order.
type order struct {
	sent flow.Time
	over bool // its send has ended without an answer
}

// Orders are the weight orders that may be on their way. A nil one knows none.
type Orders struct{ rows map[uint64]order }

// New knows no orders.
func New() *Orders { return &Orders{rows: map[uint64]order{}} }

// Sent hears that an order was sent. Each must be heard of again by Ended or Cut.
func (o *Orders) Sent(now flow.Time, id uint64) {
	if o == nil {
		return
	}
	o.forget(now)
	o.rows[id] = order{sent: now}
}

// Ended hears what the end of an order's send has shown.
func (o *Orders) Ended(id uint64, evidence resend.Evidence) {
	if o == nil {
		return
	}
	if evidence.Settled() {
		delete(o.rows, id)
		return
	}
	o.Cut(id)
}

// Cut hears that nobody waits for an order's answer any more.
func (o *Orders) Cut(id uint64) {
	if o == nil {
		return
	}
	if row, known := o.rows[id]; known {
		row.over = true
		o.rows[id] = row
	}
}

// None says that no order can arrive any more.
func (o *Orders) None(now flow.Time) bool {
	if o == nil {
		return true
	}
	o.forget(now)
	return len(o.rows) == 0
}

// forget drops orders that were not answered and can't arrive any more.
func (o *Orders) forget(now flow.Time) {
	for id, row := range o.rows {
		if row.over && now-row.sent >= onItsWay {
			delete(o.rows, id)
		}
	}
}
