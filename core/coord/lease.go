package coord

import (
	"slices"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/prefix"
	"fernlink/core/sorted"
	"fernlink/core/store"
)

// Acting says whether this coordinator holds a fresh lease.
func (c *Coord) Acting(now flow.Time) bool { return c.term > 0 && now < c.leaseUntil }

// Lease gives the term, until when the lease holds, and whether this coordinator acts
// and is not about to stop.
func (c *Coord) Lease(now flow.Time) (uint64, flow.Time, bool) {
	return c.term, c.leaseUntil, c.Acting(now) && !c.leaving
}

// Leave stops ordering. Once nothing is under way the lease is given back, so
// that a successor need not wait for it to lapse (design 5.5).
func (c *Coord) Leave() { c.leaving = true }

// Left says that this coordinator holds nothing.
func (c *Coord) Left(now flow.Time) bool { return c.term == 0 || !c.released && !c.Acting(now) }

// releaseLease gives the lease back, unless something that was sent under it may still arrive:
// then it is kept, and where this process ends before, it lapses.
func (c *Coord) releaseLease() {
	if len(c.sends) > 0 || !c.config.Orders.None(c.now) || c.released {
		return
	}
	c.released = true
	body := store.CoordRenew{ID: c.config.ID, Addr: c.config.Addr, Term: c.term}
	c.leaseUntil = c.now // nothing is ordered from here on, whatever the answer
	c.config.Asker.Ask(c.now, budget.LeaseDuration, store.LeaveCoord(body), func(now flow.Time, _ ask.Answer) {
		c.now = now
		c.standDown()
	})
}

// Nudge brings the next renewal forward, since the ledger has something new.
func (c *Coord) Nudge() {
	if c.term > 0 {
		c.renewAt = min(c.renewAt, c.renewedAt+budget.RenewMinInterval)
	}
}

// takeInterval is how often a coordinator that stands by asks for the lease.
const takeInterval = budget.LeaseTakeoverTimeout / 12

func (c *Coord) renew() {
	if c.now < c.renewAt || c.leaving && c.term == 0 {
		return
	}
	c.renewedAt = c.now
	lease := store.CoordRenew{ID: c.config.ID, Addr: c.config.Addr, Term: c.term, Plan: c.planVersion, Heard: c.answeredRenewals}
	if c.term == 0 {
		c.takeLease(store.TakeCoord(lease))
		return
	}
	c.renewAt = c.now + budget.RenewInterval
	c.config.Asker.Ask(c.now, budget.LeaseDuration, lease, func(now flow.Time, answer ask.Answer) {
		c.now = now
		if answer.Code != ledger.Unanswered {
			c.answeredRenewals++
		}
		if answer.Code == ledger.Unavailable {
			c.renewAt = now
		}
		c.leaseRenewed(lease.Term, answer)
	})
}

// takeLease asks for the lease while nobody is known to have it.
func (c *Coord) takeLease(lease store.TakeCoord) {
	c.renewAt = c.now + takeInterval
	c.config.Asker.Ask(c.now, budget.LeaseDuration, lease, func(now flow.Time, answer ask.Answer) {
		c.now = now
		c.leaseGranted(answer)
	})
}

func (c *Coord) leaseGranted(answer ask.Answer) {
	var lease ledger.Coord
	if answer.Code != ledger.Accepted || json.Unmarshal(answer.Body, &lease) != nil {
		return
	}
	if lease.ID != c.config.ID || c.term != 0 {
		return
	}
	c.reset()
	c.restore()
	c.term = lease.Term
	c.leaseUntil = 0 // acts from the first renewal on, which also brings the fleet
	c.renewAt = c.now
	c.checkpointAt = c.now + budget.CheckpointInterval
	c.sweepAt = c.now + budget.SweepInterval
	flow.Warn.Note(c.outbox, "coord", "took the lease", "term", c.term, "cold", c.coldStart)
}

func (c *Coord) leaseRenewed(term uint64, answer ask.Answer) {
	if term != c.term || c.term == 0 {
		return
	}
	if answer.Code == ledger.Conflict {
		c.standDown()
		return
	}
	var delta ledger.Delta
	if answer.Code != ledger.Accepted || json.Unmarshal(answer.Body, &delta) != nil {
		return
	}
	if !c.released {
		c.leaseUntil = max(c.leaseUntil, answer.Sent+budget.LeaseDuration)
	}
	c.policiesAt = c.now // policies look at what is new
	c.fleet.Steps, c.readUpTo = delta.Steps, delta.Known
	c.fleet.Orders, c.fleet.Targets = map[string]ledger.Order{}, map[string]ledger.Target{}
	for _, order := range delta.Orders {
		c.fleet.Orders[order.Engine] = order
	}
	for _, target := range delta.Targets {
		c.fleet.Targets[target.Pool] = target
	}
	if version, plan, newer := api.Follow(c.planVersion, c.plan, delta.Plan, delta.Changes); newer {
		c.takePlan(version, plan)
	}
}

// takePlan reads from a plan what the policies need.
func (c *Coord) takePlan(version uint64, plan *api.Plan) {
	c.planVersion, c.plan = version, plan
	c.fleet.Keep, c.fleet.Pins = map[string]float64{}, map[string]bool{}
	for _, pool := range plan.Pools {
		if pool.Keep > 0 {
			c.fleet.Keep[pool.Name] = pool.Keep
		}
	}
	for _, pin := range plan.Pins {
		for _, block := range prefix.Blocks(pin.Prefix) {
			c.fleet.Pins[block] = true
		}
	}
}

// standDown gives up all that was done under the lease.
func (c *Coord) standDown() {
	flow.Warn.Note(c.outbox, "coord", "stood down", "term", c.term)
	c.term, c.leaseUntil, c.planVersion, c.plan = 0, 0, 0, nil
	for _, id := range sorted.Keys(c.watchers) {
		c.closeWatch(id, "this coordinator stood down")
	}
	for id := range c.sends {
		c.config.Orders.Cut(id)
		delete(c.sends, id)
		c.outbox.Cuts = append(c.outbox.Cuts, id)
	}
	slices.Sort(c.outbox.Cuts)
	c.reset()
}
