package serve

import (
	"testing"
	"time"

	"fernlink/api"
	"fernlink/core/ledger"
	"fernlink/core/serve/route"
)

// usualPlan is the plan of the other tests with more routes.
func usualPlan(more ...api.Route) *api.Plan {
	return plan(append([]api.Route{many, once, stream, samples}, more...)...)
}

// newRoute is a route for lots that a later plan adds.
var newRoute = api.Route{Name: "n", Host: "h", Path: "/n/", Kind: route.Samples, Pool: "llm", Tries: 2, WaitMS: 40_000, DueMS: 4000, TargetMS: 200, Timeout: 60_000}

// handNew has another node, whose plan has a version, hand over a lot on the new route.
func (w *world) handNew(planVersion uint64) {
	w.line("lot.hand", ledger.LotDoc{ID: "new", Owner: "me.0", Host: "h", Path: "/n/x", Route: "n", Plan: planVersion, Pool: "llm", Model: "m", Least: 1, Wanted: 1, Tries: 2,
		Single: true, WaitMS: 40_000, DueMS: 4000, KeepMS: 60_000, Items: []ledger.LotItem{{ID: "i", Group: "g", Path: "/n/i", Body: []byte("p"), Tokens: 10}}})
}

// Guards against review/6: lots that were accepted on a route that was just added were given
// up whole by an owner that did not know the route yet.
//
// Given an owner under a lease whose plan is older than the one by which a lot was taken, when
// the lot comes, then nothing of it is given up or runs until the owner has that plan; then it
// runs.
func TestALotOfANewerPlanWaitsForIt(t *testing.T) {
	w := two(t)
	w.handNew(w.version + 1)
	w.pass(time.Second)
	w.want(w.s.env.Counts["items_abandoned"] == 0, "%d items given up", w.s.env.Counts["items_abandoned"])
	w.want(len(w.llm()) == 0, "%d items run by a plan that does not know their route", len(w.llm()))
	w.renew(usualPlan(newRoute))
	w.pass(100 * time.Millisecond)
	sent := w.llm()
	w.want(len(sent) == 1 && sent[0].Match == "i", "%+v", sent)
	w.serveItem(sent[0], 1)
	w.want(w.s.env.Counts["items_complete"] == 1, "not complete: %v", w.s.env.Counts)
}

// Given an owner whose plan is older, where a shorter prefix of the lot's path is another
// route, when the lot comes, then it does not run by that route.
func TestALotOfANewerPlanDoesNotRunByAnOlderRoute(t *testing.T) {
	w := two(t)
	older := newRoute
	older.Path = "/"
	w.renew(usualPlan(older))
	w.handNew(w.version + 1)
	w.pass(200 * time.Millisecond)
	w.want(len(w.llm()) == 0, "%d items run by another route", len(w.llm()))
}

// Given a route that is taken away, and added again by the plan of a lot, when its owner knows
// only that it was taken away, then the lot waits; when the owner's plan is as new as the
// lot's and has no such route, then the lot is given up.
func TestARouteIsGoneOnlyByAPlanAsNewAsTheLots(t *testing.T) {
	w := two(t)
	w.renew(usualPlan(newRoute))
	w.renew(usualPlan())
	w.handNew(w.version + 1)
	w.pass(500 * time.Millisecond)
	w.want(w.s.env.Counts["items_abandoned"] == 0, "given up by an older plan")
	w.renew(usualPlan())
	w.pass(500 * time.Millisecond)
	w.want(w.s.env.Counts["items_abandoned"] == 1, "the route has ended: %v", w.s.env.Counts)
}

// Given a route that was taken away and added again, when a node that knows neither yet takes a
// lot, and its owner knows only that the route was taken away, then the lot waits; the owner's
// next renewal tells.
func TestARouteIsGoneOnlyByAViewProvedAfterTheLotCame(t *testing.T) {
	w := two(t)
	w.renew(usualPlan(newRoute))
	older := w.version
	w.renew(usualPlan())
	w.pass(100 * time.Millisecond)
	w.handNew(older)
	w.pass(500 * time.Millisecond)
	w.want(w.s.env.Counts["items_abandoned"] == 0, "given up by a view from before the lot came")
	w.renew(usualPlan(newRoute))
	w.pass(100 * time.Millisecond)
	w.want(len(w.llm()) == 1 && w.s.env.Counts["items_abandoned"] == 0, "it runs: %v", w.s.env.Counts)
}

// Given a lot that is taken here, when it is kept by the store, then it names the version of
// the plan by which it was taken.
func TestALotNamesThePlanThatTookIt(t *testing.T) {
	w := two(t)
	lot, r := w.lot(1, 1, 1)
	w.want(r.Code == 202, "%+v", r)
	w.want(w.led.Lots[lot].Doc.Plan == w.version, "plan %d, want %d", w.led.Lots[lot].Doc.Plan, w.version)
}
