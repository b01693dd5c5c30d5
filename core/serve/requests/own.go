package requests

import (
	"net/http"
	"strconv"

	"fernlink/core/flow"
	"fernlink/core/resend"
	"fernlink/core/serve/route"
)

// Outcome is what became of a call that this node made itself.
type Outcome struct {
	Answer   flow.Back // the engine's; without a code where no whole answer came in time
	Failures int       // answers of 500 to its sends
}

// ownCall hears of a call that this node makes itself.
type ownCall struct {
	failures int
	done     func(Outcome)
}

// failed counts an answer by which an engine says that it failed.
func (o *ownCall) failed(b flow.Back) {
	if o != nil && b.Code == http.StatusInternalServerError {
		o.failures++
	}
}

func (o *ownCall) end(b flow.Back) { o.done(Outcome{b, o.failures}) }

// Call makes a call of this node's own by a route: it is placed, retried and hedged as a
// caller's, may run more than once, and is held until the route's limit where no engine can
// be had. done hears its outcome once, unless it is cancelled before.
func (t *Table) Call(c flow.Call, r *route.Route, done func(Outcome)) (id uint64) {
	c.ID = ownCalls | t.env.IDs()
	q := &Request{call: c, route: r, pool: t.turns.Pick(r), came: t.env.Now, late: t.env.Now + r.Limit,
		known: resend.Call{Kind: resend.Repeatable}, own: &ownCall{done: done}}
	t.rows[c.ID] = q
	if t.env.Debug {
		t.trace(q, "made here", "route", r.Name, "pool", q.pool, "limit_ms", strconv.FormatInt(r.Limit.Milliseconds(), 10))
	}
	t.place(q)
	return c.ID
}

// ownCalls marks the ids of calls that this node makes itself; callers' are counted from 1.
const ownCalls = 1 << 63

// Cancel ends a call that this node made itself; nothing more is heard of it.
func (t *Table) Cancel(id uint64) { t.Gone(id) }
