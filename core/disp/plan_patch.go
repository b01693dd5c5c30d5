package disp

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/docpatch"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/place"
)

// planPatch takes a change of the plan (design 6.3): the plan that it makes is checked as a
// whole, here, and only the change goes on to the store.
func (d *Disp) planPatch(c flow.Call) {
	var p api.PlanPatch
	if !d.checked(c, "plan_patch", &p) {
		return
	}
	patch, bad := p.Document()
	if len(bad) > 0 {
		d.answerOwn(c.ID, senseless(bad))
		return
	}
	text, err := json.Marshal(patch)
	if err != nil {
		d.answerOwn(c.ID, senseless([]ledger.Fault{{Text: err.Error()}}))
		return
	}
	order := ledger.PatchPlan{Version: p.Version, Read: p.Read, Request: p.Request, Patch: text}
	if d.plan != nil && d.version == p.Read {
		d.proposePatch(c, d.plan, patch, order)
		return
	}
	if d.version > p.Read {
		d.unlessKnown(c, order, planMoved(d.version))
		return
	}
	d.patchNewest(c, patch, order)
}

// patchNewest is for a change of a plan that this node has not heard of: the store's leader
// is asked for it.
func (d *Disp) patchNewest(c flow.Call, patch docpatch.Patch, order ledger.PatchPlan) {
	d.p.Asker.Ask(d.now, patience(c), ledger.GetPlan(0), func(now flow.Time, a ask.Answer) {
		d.now = now
		var stored ledger.Plan
		if a.Code != ledger.Accepted || json.Unmarshal(a.Body, &stored) != nil {
			d.told(now, c, a)
			return
		}
		_, plan, newer := api.Follow(0, nil, &stored, nil)
		if !newer || stored.Version != order.Read {
			d.unlessKnown(c, order, planMoved(stored.Version))
			return
		}
		d.proposePatch(c, plan, patch, order)
	})
}

// proposePatch checks the plan that a change makes, and hands the change to the store.
func (d *Disp) proposePatch(c flow.Call, plan *api.Plan, patch docpatch.Patch, order ledger.PatchPlan) {
	next, err := plan.Patched(patch)
	if err != nil {
		d.answerOwn(c.ID, senseless([]ledger.Fault{{Text: err.Error()}}))
		return
	}
	if bad := next.Meaning(place.Names()); len(bad) > 0 {
		d.answerOwn(c.ID, senseless(bad))
		return
	}
	d.up(c, order)
}
