package lots

import (
	"net/http"
	"slices"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/invariant"
	"fernlink/core/ledger"
	"fernlink/core/serve/policy"
	"fernlink/core/serve/requests"
	"fernlink/core/serve/route"
)

// Rewards (design 12.10): an item that carries a reward call is listed with the seal of that
// call's answer. The call goes out once the text is whole; core/serve/requests carries it as
// any other call of its route.

// scoreCall is an item's wait for its score.
type scoreCall struct {
	result   ledger.LotResult // the text, without its score
	since    flow.Time        // when the text was whole here
	call     uint64           // the call that is under way, 0 for none
	again    flow.Time        // when the next may go out
	failures int              // answers of 500 so far
	kept     bool             // the ledger has the text
}

// unsaved says that only this node has the text.
func (s *scoreCall) unsaved() bool { return s != nil && !s.kept }

// made takes a text that is whole: it is listed, or its score is asked for first.
func (t *Table) made(i *item, r ledger.LotResult) {
	if i.Reward == nil {
		t.finish(i, r)
		return
	}
	t.stop(i)
	t.await(i, r, false)
}

// await has an item wait for its score; kept says that the ledger has its text.
func (t *Table) await(i *item, r ledger.LotResult, kept bool) {
	r.State, r.Score = ledger.LotUnscored, ""
	i.state, i.kept = scoring, text{last: -1}
	i.score = &scoreCall{result: r, since: t.env.Now, kept: kept}
	i.lot.unmade--
	i.lot.whole = append(i.lot.whole, i)
	t.changed = true
}

// unscore ends an item's wait for its score. A text that has none may serve a later lot.
func (t *Table) unscore(i *item) {
	if i.score == nil {
		return
	}
	if i.score.call != 0 {
		t.calls.Cancel(i.score.call)
	}
	if i.state == scoring && t.rows[i.lot.doc.ID] != i.lot {
		t.partials.putWhole(i.score.result, t.env.Now)
	}
	i.score = nil
	i.lot.whole = slices.DeleteFunc(i.lot.whole, func(x *item) bool { return x == i })
}

// score sends reward calls while engines have room for them: lots by when they are due, each
// lot's texts in the order in which they became whole.
func (t *Table) score() {
	if t.leaving || !t.env.Fresh() {
		return
	}
	room := map[string]int{}
	for _, l := range t.ordered() {
		for _, i := range l.whole {
			if i.score.call != 0 || t.env.Now < i.score.again {
				continue
			}
			r := t.rewardRoute(i)
			if r == nil {
				continue // it comes with a later plan, or the lot's time runs out
			}
			left, known := room[r.Name]
			if !known {
				left = t.rewardRoom(r)
			}
			if left > 0 {
				t.callScorer(i, r)
				left--
			}
			room[r.Name] = left
		}
	}
}

// rewardRoute is the route of an item's reward call, or nil where none serves it.
func (t *Table) rewardRoute(i *item) *route.Route {
	r := t.routes().Find(i.Reward.Host, i.Reward.Path)
	if r == nil || r.Kind == route.Samples || r.Kind == route.Stream {
		return nil
	}
	return r
}

// callersSlots is how many slots of each engine are left to callers: an engine runs what
// comes in its order, so a reward call that fills it holds up a caller.
const callersSlots = 1

// rewardRoom is how many more reward calls the engines of a route may be given now.
func (t *Table) rewardRoom(r *route.Route) int {
	room, kept := 0, callersSlots
	if !t.env.Policies.On(policy.CallersSlots) {
		kept = 0
	}
	for _, e := range t.pools(r) {
		if t.engines.Usable(e) {
			room += max(0, e.Slots-kept-t.engines.Busy(e))
		}
	}
	return room
}

// callScorer makes an item's reward call.
func (t *Table) callScorer(i *item, r *route.Route) {
	if i.state != scoring || !t.env.Fresh() || t.rows[i.lot.doc.ID] != i.lot {
		t.env.Invariants.Violated(invariant.SentWithoutLease, "lot", i.lot.doc.ID, "item", i.ID, "reward", i.Reward.ID)
	}
	t.env.Counts["reward_calls"]++
	if t.env.Debug {
		t.trace(i, "score asked for", "reward", i.Reward.ID)
	}
	call := flow.Call{Verb: http.MethodPost, Host: i.Reward.Host, Path: i.Reward.Path, Body: i.Reward.Body,
		Fields: []flow.Field{{Name: t.env.Codec.Attempt, Value: i.Reward.ID}}}
	s := i.score
	s.call = t.calls.Call(call, r, func(o requests.Outcome) {
		s.call = 0
		if i.score == s {
			t.scored(i, r, o)
		}
	})
}

// rewardPause is how long after a reward call that brought no score the next may go out.
const rewardPause = budget.Listed / 10

// scored takes what became of an item's reward call.
func (t *Table) scored(i *item, r *route.Route, o requests.Outcome) {
	t.changed = true
	seal := flow.Get(o.Answer.Fields, t.env.Codec.Seal)
	if o.Answer.Code/100 == 2 && seal != "" {
		result := i.score.result
		result.State, result.Score = ledger.LotComplete, seal
		t.finish(i, result)
		return
	}
	t.env.Counts["rewards_failed"]++
	if t.env.Debug {
		t.trace(i, "no score", "reward", i.Reward.ID, "code", o.Answer.Code, "failures", o.Failures)
	}
	i.score.failures += o.Failures
	if i.score.failures >= max(i.lot.doc.Tries, r.Tries, 1) {
		t.finish(i, ledger.LotResult{Item: i.ID, State: ledger.LotAbandoned})
		return
	}
	i.score.again = t.env.Now + rewardPause
}

// checkScored finds a result that is to be listed as complete without its score.
func (t *Table) checkScored(i *item, r ledger.LotResult) {
	if r.State == ledger.LotComplete && (i.Reward != nil) != (r.Score != "") {
		t.env.Invariants.Violated(invariant.ListedWithoutScore, "lot", i.lot.doc.ID, "item", i.ID)
	}
}

// mustKeep says that a lot has a text that has waited for its score for longer than results
// wait for their listing. Texts that are scored sooner are never kept apart.
func (t *Table) mustKeep(l *lot) bool {
	return t.env.Policies.On(policy.KeptTexts) && slices.ContainsFunc(l.whole, func(i *item) bool {
		return i.score.unsaved() && (t.leaving || t.env.Now-i.score.since >= flushEvery)
	})
}

// unsaved gives the texts that wait for their scores and that the ledger is to keep with the
// next listing, of so many bytes at most, but one at least.
func (t *Table) unsaved(l *lot, most int) []ledger.LotResult {
	if !t.mustKeep(l) {
		return nil
	}
	var out []ledger.LotResult
	for _, i := range l.whole {
		if !i.score.unsaved() {
			continue
		}
		if most -= len(i.score.result.Text); most < 0 && len(out) > 0 {
			break
		}
		out = append(out, i.score.result)
	}
	t.env.Counts["texts_kept"] += int64(len(out))
	return out
}

// saved hears that the ledger has texts that wait for their scores.
func (l *lot) saved(texts []ledger.LotResult) {
	for _, r := range texts {
		if i := l.byID[r.Item]; i != nil && i.score != nil {
			i.score.kept = true
		}
	}
}
