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

// move is one weight order on its way (design 8.5). It goes through its
// phases one after the other, and every send is under a fresh lease.
type move struct {
	order ledger.Order
	url   string
	phase string // commit, tell, grace, send, confirm, close
	since flow.Time
	due   flow.Time
	open  bool
	state string // what the order is closed with
}

// order commits an order before anything is sent.
func (c *Coord) order(a policy.Action) {
	if c.moves[a.Engine] != nil {
		return
	}
	r := c.views.Registry[a.Engine]
	m := &move{order: ledger.Order{Engine: a.Engine, Inc: a.Inc, Pool: a.Pool, Revision: a.Revision, Term: c.term}, url: r.Seat.URL, phase: "commit"}
	c.moves[a.Engine] = m
}

// inherit takes over orders that an earlier term left standing. By now its
// lease and its longest send are over (design 9.2).
func (c *Coord) inherit() {
	for _, id := range sorted.Keys(c.fleet.Orders) {
		o, r := c.fleet.Orders[id], c.views.Registry[id]
		if o.State != "ordered" || c.moves[id] != nil || r == nil {
			continue
		}
		m := &move{order: o, url: r.Seat.URL, phase: "confirm", since: c.now - budget.Heal/4 + budget.Listed}
		m.order.Term = c.term
		if r.Inc != o.Inc {
			m.phase, m.state = "close", "dropped" // that start of the engine is gone
		}
		c.moves[id] = m
	}
}

var phases = map[string]func(*Coord, *move){
	"commit":  (*Coord).commitOrder,
	"tell":    (*Coord).tellOrder,
	"grace":   (*Coord).graceOrder,
	"send":    (*Coord).sendOrder,
	"confirm": (*Coord).confirmOrder,
	"close":   (*Coord).closeOrder,
}

func (c *Coord) roll() {
	c.inherit()
	for _, id := range sorted.Keys(c.moves) {
		m := c.moves[id]
		if !m.open && c.now >= m.due {
			phases[m.phase](c, m)
		}
	}
}

func (m *move) to(c *Coord, phase string, wait flow.Time) {
	m.phase, m.since, m.due = phase, c.now, c.now+wait
}

func (c *Coord) commitOrder(m *move) {
	m.open = true
	term := c.term
	c.p.Asker.Ask(c.now, budget.AskTimeout, ledger.PutOrder(m.order), func(now flow.Time, a ask.Answer) {
		c.now = now
		m.open = false
		if c.term != term || c.moves[m.order.Engine] != m {
			return
		}
		if a.Code == ledger.Accepted {
			c.counts["orders"]++
			_ = json.Unmarshal(a.Body, &m.order)
			m.to(c, "tell", 0)
			return
		}
		delete(c.moves, m.order.Engine) // the policy will ask again if need be
	})
}

// tellOrder waits until no dispatcher can start work on the engine any more:
// each has read the order, or its lease from before the order is over.
func (c *Coord) tellOrder(m *move) {
	if c.known >= m.order.Mod || c.now-m.since >= budget.LeaseDuration {
		m.to(c, "grace", 0)
	}
}

// graceOrder lets streams on the engine end, for a while.
func (c *Coord) graceOrder(m *move) {
	c.readLoad(m, func(l dialect.Load) {
		if l.Running == 0 && l.Waiting == 0 || c.now-m.since >= budget.Listed {
			m.phase, m.due = "send", c.now
		}
	})
}

// readLoad reads the engine's own state; a new start ends the move.
func (c *Coord) readLoad(m *move, f func(dialect.Load)) {
	m.open = true
	m.due = c.now + budget.RenewInterval/4
	term := c.term
	c.send(flow.Send{Verb: "GET", URL: dialect.LoadURL(m.url), Until: min(c.till, c.now+budget.PollTimeout), Limit: c.now + budget.PollTimeout}, func(b flow.Back) {
		m.open = false
		if c.term != term {
			return
		}
		l, err := dialect.ReadLoad(b.Body)
		if b.Err != "" || b.Code != http.StatusOK || err != nil {
			c.counts["order_reads_failed"]++
			if c.views.Registry[m.order.Engine] == nil {
				m.state = "dropped"
				m.to(c, "close", 0)
			}
			return
		}
		if l.Inc != m.order.Inc {
			m.state = "dropped"
			m.to(c, "close", 0)
			return
		}
		if l.Revision >= m.order.Revision {
			m.state = "done"
			m.to(c, "close", 0)
			return
		}
		f(l)
	})
}

func (c *Coord) sendOrder(m *move) {
	if !c.Acting(c.now) {
		return
	}
	m.open = true
	term := c.term
	body, _ := json.Marshal(dialect.Order{Revision: m.order.Revision, Fence: c.term, Inc: m.order.Inc})
	limit := c.now + budget.OrderSendTimeout
	c.send(flow.Send{Verb: "POST", URL: dialect.WeightsURL(m.url), Head: map[string]string{"Content-Type": "application/json"},
		Body: body, Until: min(c.till, limit), Limit: limit, Once: true}, func(b flow.Back) {
		m.open = false
		if c.term != term {
			return
		}
		c.counts["order_sends"]++
		if resend.Decide(resend.WeightOrder, resend.Protocol{}.Observe(b)) == resend.Resend {
			m.phase, m.due = "grace", c.now+budget.RenewInterval/2
			return
		}
		m.to(c, "confirm", budget.RenewInterval/4)
	})
}

// confirmOrder reads the engine until it serves the new weights. What never
// gets there is ordered again, under this term.
func (c *Coord) confirmOrder(m *move) {
	c.readLoad(m, func(dialect.Load) {
		if c.now-m.since > budget.Heal/4 {
			m.to(c, "commit", 0)
		}
	})
}

func (c *Coord) closeOrder(m *move) {
	m.open = true
	term := c.term
	o := m.order
	o.State = m.state
	c.p.Asker.Ask(c.now, budget.AskTimeout, ledger.StateOrder(o), func(now flow.Time, a ask.Answer) {
		c.now = now
		m.open = false
		if c.term != term || c.moves[o.Engine] != m {
			return
		}
		if a.Code == ledger.Unanswered {
			return // again
		}
		c.counts["orders_"+m.state]++
		delete(c.moves, o.Engine)
		if x, ok := c.fleet.Orders[o.Engine]; ok && x.Inc == o.Inc && x.Revision == o.Revision {
			x.State = m.state
			c.fleet.Orders[o.Engine] = x
		}
		if r := c.views.Registry[o.Engine]; r != nil && m.state == "done" && r.Inc == o.Inc {
			c.views.Weights(o.Engine, max(r.Load.Revision, o.Revision))
		}
	})
}

func (c *Coord) send(s flow.Send, f func(flow.Back)) {
	s.ID = c.p.IDs()
	c.sends[s.ID] = f
	c.out.Sends = append(c.out.Sends, s)
}

// Back takes news of a send.
func (c *Coord) Back(now flow.Time, b flow.Back, out *flow.Outbox) {
	c.now, c.out = now, out
	f, ok := c.sends[b.ID]
	if !ok || !b.End {
		return
	}
	delete(c.sends, b.ID)
	f(b)
}
