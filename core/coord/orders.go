package coord

import (
	"net/http"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/index/policy"
	"fernlink/core/ledger"
	"fernlink/core/resend"
	"fernlink/core/sorted"
)

// orderPhase is how far a weight order has come.
type orderPhase string

// The phases of a weight order, in this order.
const (
	phaseCommit  orderPhase = "commit"  // the ledger is to commit it
	phaseTell    orderPhase = "tell"    // dispatchers are to stop using the engine
	phaseGrace   orderPhase = "grace"   // running streams may end
	phaseSend    orderPhase = "send"    // the engine is told
	phaseConfirm orderPhase = "confirm" // the engine is to serve the new weights
	phaseClose   orderPhase = "close"   // the ledger is to commit how it ended
)

// How an order ends, as the ledger names it.
const (
	orderOpen    = "ordered"
	orderDone    = "done"
	orderDropped = "dropped"
)

// pendingOrder is one weight order on its way (design 8.5). It goes through its
// phases one after the other, and every send is under a fresh lease.
type pendingOrder struct {
	order  ledger.Order
	url    string // the engine's base URL
	phase  orderPhase
	since  flow.Time // when the phase was entered
	dueAt  flow.Time // when the phase's next step is due
	open   bool      // an ask or a send is under way
	result string    // how the order is closed
}

// startOrder begins an order that a policy wants: it is committed before anything
// is sent.
func (c *Coord) startOrder(action policy.Action) {
	if c.pending[action.Engine] != nil {
		return
	}
	row := c.views.Registry[action.Engine]
	order := ledger.Order{Engine: action.Engine, Inc: action.Inc, Pool: action.Pool, Revision: action.Revision, Term: c.term}
	c.pending[action.Engine] = &pendingOrder{order: order, url: row.Seat.URL, phase: phaseCommit}
}

// inheritOrders takes over orders that an earlier term left open. By now its
// lease and its longest send are over (design 9.2).
func (c *Coord) inheritOrders() {
	for _, id := range sorted.Keys(c.fleet.Orders) {
		order, row := c.fleet.Orders[id], c.views.Registry[id]
		if order.State != orderOpen || c.pending[id] != nil || row == nil {
			continue
		}
		pending := &pendingOrder{order: order, url: row.Seat.URL, phase: phaseConfirm, since: c.now - budget.Heal/4 + budget.Listed}
		pending.order.Term = c.term
		if row.Inc != order.Inc {
			pending.phase, pending.result = phaseClose, orderDropped // that start of the engine is gone
		}
		c.pending[id] = pending
	}
}

var phaseHandlers = map[orderPhase]func(*Coord, *pendingOrder){
	phaseCommit:  (*Coord).commitOrder,
	phaseTell:    (*Coord).tellOrder,
	phaseGrace:   (*Coord).graceOrder,
	phaseSend:    (*Coord).sendOrder,
	phaseConfirm: (*Coord).confirmOrder,
	phaseClose:   (*Coord).closeOrder,
}

func (c *Coord) advanceOrders() {
	c.inheritOrders()
	for _, id := range sorted.Keys(c.pending) {
		pending := c.pending[id]
		if !pending.open && c.now >= pending.dueAt {
			phaseHandlers[pending.phase](c, pending)
		}
	}
}

// enter moves the order to a phase whose first step is due after a wait.
func (p *pendingOrder) enter(now flow.Time, phase orderPhase, wait flow.Time) {
	p.phase, p.since, p.dueAt = phase, now, now+wait
}

// end moves the order to its last phase.
func (p *pendingOrder) end(now flow.Time, result string) {
	p.result = result
	p.enter(now, phaseClose, 0)
}

func (c *Coord) commitOrder(pending *pendingOrder) {
	pending.open = true
	term := c.term
	c.config.Asker.Ask(c.now, budget.AskTimeout, ledger.PutOrder(pending.order), func(now flow.Time, answer ask.Answer) {
		c.now = now
		pending.open = false
		if c.term != term || c.pending[pending.order.Engine] != pending {
			return
		}
		if answer.Code == ledger.Accepted {
			c.counts["orders"]++
			_ = json.Unmarshal(answer.Body, &pending.order)
			pending.enter(c.now, phaseTell, 0)
			return
		}
		delete(c.pending, pending.order.Engine) // the policy will ask again if need be
	})
}

// tellOrder waits until no dispatcher can start work on the engine any more:
// each has read the order, or its lease from before the order is over.
func (c *Coord) tellOrder(pending *pendingOrder) {
	if c.readUpTo >= pending.order.Mod || c.now-pending.since >= budget.LeaseDuration {
		pending.enter(c.now, phaseGrace, 0)
	}
}

// graceOrder lets streams on the engine end, for a while.
func (c *Coord) graceOrder(pending *pendingOrder) {
	c.readLoad(pending, func(load dialect.Load) {
		idle := load.Running == 0 && load.Waiting == 0
		if idle || c.now-pending.since >= budget.Listed {
			pending.phase, pending.dueAt = phaseSend, c.now
		}
	})
}

// readLoad reads the engine's own state. A new start of the engine, or weights that
// are new enough, end the order; anything else goes to next.
func (c *Coord) readLoad(pending *pendingOrder, next func(dialect.Load)) {
	pending.open = true
	pending.dueAt = c.now + budget.RenewInterval/4
	term := c.term
	limit := c.now + budget.PollTimeout
	read := flow.Send{Verb: "GET", URL: dialect.LoadURL(pending.url), Until: min(c.leaseUntil, limit), Limit: limit}
	c.send(read, func(back flow.Back) {
		pending.open = false
		if c.term != term {
			return
		}
		load, err := dialect.ReadLoad(back.Body)
		if back.Err != "" || back.Code != http.StatusOK || err != nil {
			c.counts["order_reads_failed"]++
			if c.views.Registry[pending.order.Engine] == nil {
				pending.end(c.now, orderDropped)
			}
			return
		}
		switch {
		case load.Inc != pending.order.Inc:
			pending.end(c.now, orderDropped)
		case load.Revision >= pending.order.Revision:
			pending.end(c.now, orderDone)
		default:
			next(load)
		}
	})
}

func (c *Coord) sendOrder(pending *pendingOrder) {
	if !c.Acting(c.now) {
		return
	}
	pending.open = true
	term := c.term
	body, _ := json.Marshal(dialect.Order{Revision: pending.order.Revision, Fence: c.term, Inc: pending.order.Inc})
	limit := c.now + budget.OrderSendTimeout
	post := flow.Send{
		Verb: "POST", URL: dialect.WeightsURL(pending.url), Head: map[string]string{"Content-Type": "application/json"},
		Body: body, Until: min(c.leaseUntil, limit), Limit: limit, Once: true,
	}
	var id uint64
	id = c.send(post, func(back flow.Back) {
		evidence := resend.Protocol{}.Observe(back)
		c.config.Orders.Ended(id, evidence)
		pending.open = false
		if c.term != term {
			return
		}
		c.counts["order_sends"]++
		if resend.Decide(resend.WeightOrder, evidence) == resend.Resend {
			pending.phase, pending.dueAt = phaseGrace, c.now+budget.RenewInterval/2
			return
		}
		pending.enter(c.now, phaseConfirm, budget.RenewInterval/4)
	})
	c.config.Orders.Sent(c.now, id)
}

// confirmOrder reads the engine until it serves the new weights. What never
// gets there is ordered again, under this term.
func (c *Coord) confirmOrder(pending *pendingOrder) {
	c.readLoad(pending, func(dialect.Load) {
		if c.now-pending.since > budget.Heal/4 {
			pending.enter(c.now, phaseCommit, 0)
		}
	})
}

func (c *Coord) closeOrder(pending *pendingOrder) {
	pending.open = true
	term := c.term
	order := pending.order
	order.State = pending.result
	c.config.Asker.Ask(c.now, budget.AskTimeout, ledger.StateOrder(order), func(now flow.Time, answer ask.Answer) {
		c.now = now
		pending.open = false
		if c.term != term || c.pending[order.Engine] != pending {
			return
		}
		if answer.Code == ledger.Unanswered {
			return // no answer: asked again at the next Advance
		}
		c.counts["orders_"+pending.result]++
		delete(c.pending, order.Engine)
		c.noteClosed(order)
	})
}

// noteClosed brings the views up to date with an order that was just closed.
func (c *Coord) noteClosed(order ledger.Order) {
	known, found := c.fleet.Orders[order.Engine]
	if found && known.Inc == order.Inc && known.Revision == order.Revision {
		known.State = order.State
		c.fleet.Orders[order.Engine] = known
	}
	row := c.views.Registry[order.Engine]
	if row != nil && order.State == orderDone && row.Inc == order.Inc {
		c.views.Weights(order.Engine, max(row.Load.Revision, order.Revision))
	}
}

// send starts a request; done gets its end.
func (c *Coord) send(request flow.Send, done func(flow.Back)) (id uint64) {
	request.ID = c.config.IDs()
	c.sends[request.ID] = done
	c.outbox.Sends = append(c.outbox.Sends, request)
	return request.ID
}

// Back takes news of a request that this coordinator sent.
func (c *Coord) Back(now flow.Time, back flow.Back, outbox *flow.Outbox) {
	c.now, c.outbox = now, outbox
	done, ok := c.sends[back.ID]
	if !ok || !back.End {
		return
	}
	delete(c.sends, back.ID)
	done(back)
}
