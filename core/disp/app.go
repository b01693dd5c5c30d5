package disp

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/invariant"
	"fernlink/core/ledger"
	"fernlink/core/resend"
	"fernlink/core/sorted"
)

// The states of a request. A refusal is only given from held, and a send
// only made from held; both leave it, so never both (design 7.1).
const (
	held    = "held"
	sent    = "sent"
	refused = "refused"
	over    = "over"
)

type req struct {
	call  flow.Call
	route api.Route
	state string
	key   string
	owner string
	hash  string
	tried map[string]bool
	send  uint64
	limit flow.Time
	known resend.Call // what its sends have shown
}

func (d *Disp) app(c flow.Call) {
	if !d.fresh() || d.plan == nil {
		d.counts["refused"]++
		d.answerOwn(c.ID, notServing)
		return
	}
	r := d.plan.Find(c.Verb, c.Path)
	if r == nil {
		d.answerOwn(c.ID, noRoute)
		return
	}
	most, limit := r.Most, r.Timeout
	if most == 0 {
		most = api.RouteMost
	}
	if limit == 0 {
		limit = api.RouteTimeout
	}
	if d.busy[r.Name] >= most {
		d.counts["refused"]++
		d.answerOwn(c.ID, routeFull)
		return
	}
	q := &req{call: c, route: *r, state: held, tried: map[string]bool{}, limit: d.now + flow.Time(limit)*1e6, known: resend.Call{Kind: resend.Repeatable}}
	if r.Once {
		q.known.Kind = resend.RunOnce
	}
	d.reqs[c.ID] = q
	d.busy[r.Name]++
	if k := c.Head["Idempotency-Key"]; r.Once && k != "" {
		d.claim(q, k)
		return
	}
	d.forward(q)
}

// claim commits the key before anything is sent (design 7.2).
func (d *Disp) claim(q *req, key string) {
	q.key = q.route.Name + "/" + key
	d.tries++
	q.owner = d.p.ID + "/" + ledger.Hash([]byte(q.call.Verb + q.call.Path))[:8] + "/" + itoa(d.tries)
	q.hash = ledger.Hash(append([]byte(q.call.Verb+" "+q.call.Path+"\n"), q.call.Body...))
	k := ledger.Claim{Key: q.key, Hash: q.hash, Owner: q.owner}
	d.p.Asker.Ask(d.now, min(budget.AskRetryInterval*2, q.limit-d.now), ledger.TakeClaim(k), func(now flow.Time, a ask.Answer) {
		d.now = now
		if q.state != held {
			d.settle(q, ledger.Claim{State: refused}, nil)
			return
		}
		if a.Code != ledger.Accepted {
			// It may have been taken all the same: it is never used, so
			// this request never runs.
			var why answer
			_ = json.Unmarshal(a.Body, &why)
			if why.Error == "" {
				why.Error = "the store did not answer in time"
			}
			d.refuse(q, keyUnrecorded+refusalReason(why.Error))
			return
		}
		var have ledger.Claim
		_ = json.Unmarshal(a.Body, &have)
		if have.Owner == q.owner {
			d.forward(q)
			return
		}
		d.repeat(q, have, k.Hash)
	})
}

// repeat answers a key that somebody claimed before.
func (d *Disp) repeat(q *req, have ledger.Claim, hash string) {
	if have.Hash != hash {
		d.finish(q, otherUse)
		return
	}
	if f, ok := repeats[have.State]; ok {
		f(d, q, have)
	}
}

var repeats = map[string]func(*Disp, *req, ledger.Claim){
	"done": func(d *Disp, q *req, k ledger.Claim) {
		d.counts["replayed"]++
		if k.Body == nil {
			d.finish(q, ranUnkept)
			return
		}
		d.pass(q, k.Code, map[string]string{"Content-Type": k.Type, "Idempotent-Replay": "true"}, k.Body)
	},
	"refused": func(d *Disp, q *req, _ ledger.Claim) {
		d.finish(q, keyRefused)
	},
	"unknown": func(d *Disp, q *req, _ ledger.Claim) {
		d.finish(q, mayHaveRun)
	},
	"claimed": func(d *Disp, q *req, k ledger.Claim) {
		for _, id := range d.roster {
			if len(k.Owner) > len(id) && k.Owner[:len(id)+1] == id+"/" {
				d.finish(q, inProgress)
				return
			}
		}
		d.finish(q, mayHaveRun)
	},
}

// forward sends a held request on to an engine.
func (d *Disp) forward(q *req) {
	if !d.fresh() || d.now >= q.limit {
		d.refuse(q, givenUp)
		return
	}
	var best *engine
	for _, id := range sorted.Keys(d.engines) {
		e := d.engines[id]
		if e.Kind != "app" || e.Pool != q.route.Pool || q.tried[id] || !d.usable(e) {
			continue
		}
		if best == nil || e.busy()*best.load.Slots < best.busy()*e.load.Slots {
			best = e
		}
	}
	if best == nil {
		d.refuse(q, noEngine)
		return
	}
	q.tried[best.ID] = true
	q.state = sent
	best.mine++
	head := map[string]string{}
	for _, k := range []string{"Content-Type", "Accept", "Idempotency-Key"} {
		if v := q.call.Head[k]; v != "" {
			head[k] = v
		}
	}
	if q.route.Once && !q.known.DidNotRun() {
		d.p.Invariants.Violated(invariant.RunOnceSentAgain, "call", q.call.ID, "path", q.call.Path, "engine", best.ID)
	}
	q.send = d.sendWork(flow.Send{Verb: q.call.Verb, URL: best.URL + q.call.Path + query(q.call), Head: head, Body: q.call.Body,
		Until: min(d.till, q.limit), Limit: q.limit, Once: q.route.Once}, func(b flow.Back) {
		best.mine--
		if b.Err != "" {
			best.bad = best.bad || b.Failure == flow.Unsent && d.now < q.limit && d.fresh()
		} else {
			best.good = d.now
		}
		d.returned(q, b)
	})
}

func query(c flow.Call) string {
	if s := c.Query["?"]; s != "" {
		return "?" + s
	}
	return ""
}

// triesMost is how many engines one request is sent to.
const triesMost = 3

// returned decides on a request after a send (design 7.4).
func (d *Disp) returned(q *req, b flow.Back) {
	evidence := resend.Protocol{}.Observe(b)
	decision := q.known.Saw(evidence)
	if decision == resend.Resend && d.again(q, evidence) {
		return
	}
	if b.Err == "" {
		d.answered(q, b)
		return
	}
	if q.known.DidNotRun() {
		d.refuse(q, noEngineTook)
		return
	}
	q.state = over
	if decision == resend.Resend {
		d.counts["broken"]++
		d.finish(q, unanswered)
		return
	}
	d.counts["unknown"]++
	d.settle(q, ledger.Claim{State: "unknown"}, func() {
		d.finish(q, mayHaveRun)
	})
}

// again holds a request that may be sent again, and sends it where an engine is left.
func (d *Disp) again(q *req, evidence resend.Evidence) bool {
	if evidence == resend.Failed && len(q.tried) >= triesMost {
		return false // the answer stands
	}
	q.state = held
	if len(q.tried) >= triesMost || d.now >= q.limit || !d.other(q) {
		return false
	}
	d.counts["retried"]++
	d.forward(q)
	return true
}

// answered passes an engine's answer on, and records it under the request's key.
func (d *Disp) answered(q *req, b flow.Back) {
	q.state = over
	d.counts["answered"]++
	k := ledger.Claim{State: "done", Code: b.Code, Type: b.Head["Content-Type"], Body: b.Body}
	if k.Body == nil {
		k.Body = []byte{}
	}
	if len(k.Body) > 64<<10 {
		k.Body = nil
	}
	d.settle(q, k, func() { d.pass(q, b.Code, b.Head, b.Body) })
}

// other says whether an engine is left that was not tried.
func (d *Disp) other(q *req) bool {
	for _, e := range d.engines {
		if e.Kind == "app" && e.Pool == q.route.Pool && !q.tried[e.ID] && d.usable(e) {
			return true
		}
	}
	return false
}

// refuse wins held -> refused, and so the request never runs.
func (d *Disp) refuse(q *req, why refusalReason) {
	if q.state != held {
		return
	}
	if !q.known.MayResend() {
		d.p.Invariants.Violated(invariant.RefusedMayHaveRun, "call", q.call.ID, "path", q.call.Path)
	}
	q.state = refused
	d.counts["refused"]++
	d.settle(q, ledger.Claim{State: refused}, nil)
	d.finish(q, refusedFor(why))
}

// settle records what became of a claimed key, then goes on.
func (d *Disp) settle(q *req, k ledger.Claim, then func()) {
	if then == nil {
		then = func() {}
	}
	if q.key == "" {
		then()
		return
	}
	k.Key, k.Owner, k.Hash = q.key, q.owner, q.hash
	d.p.Asker.Ask(d.now, budget.AskRetryInterval*2, ledger.DoneClaim(k), func(now flow.Time, a ask.Answer) {
		d.now = now
		if a.Code == ledger.Unanswered || a.Code == ledger.Unavailable {
			d.owe(k)
		}
		then()
	})
}

// owedMost bounds what is still to be settled; beyond it the store's leader
// settles it, once this start of the dispatcher is gone.
const owedMost = 4096

// owe goes on saying what became of a claim: the caller has its answer, but a
// repeat of the key must not find it in progress for ever.
func (d *Disp) owe(k ledger.Claim) {
	if d.owed >= owedMost {
		d.counts["claims_left"]++
		return
	}
	d.owed++
	d.p.Asker.Ask(d.now, budget.Heal, ledger.DoneClaim(k), func(now flow.Time, a ask.Answer) {
		d.now = now
		d.owed--
		if a.Code == ledger.Unanswered || a.Code == ledger.Unavailable {
			d.owe(k)
		}
	})
}

func (d *Disp) finish(q *req, a ownAnswer) {
	d.close(q)
	d.answerOwn(q.call.ID, a)
}

func (d *Disp) pass(q *req, code int, head map[string]string, body []byte) {
	d.close(q)
	keep := map[string]string{}
	for _, k := range []string{"Content-Type", "Idempotent-Replay", "Retry-After", "Location"} {
		if v := head[k]; v != "" {
			keep[k] = v
		}
	}
	d.out.Replies = append(d.out.Replies, flow.Reply{ID: q.call.ID, Code: code, Head: keep, Body: body})
}

func (d *Disp) close(q *req) {
	if d.reqs[q.call.ID] == q {
		delete(d.reqs, q.call.ID)
		d.busy[q.route.Name]--
		if d.busy[q.route.Name] == 0 {
			delete(d.busy, q.route.Name)
		}
	}
}

// Gone hears that a client went away. What is held is never sent; what was
// sent and may run once is seen to its end, so that its outcome is recorded.
func (d *Disp) Gone(now flow.Time, id uint64, out *flow.Outbox) {
	d.now, d.out = now, out
	delete(d.parked, id)
	delete(d.doubts, id)
	q := d.reqs[id]
	if q == nil {
		return
	}
	if q.state == held {
		q.state = refused
		d.settle(q, ledger.Claim{State: refused}, nil)
		d.close(q)
		return
	}
	if q.state == sent && !q.route.Once {
		d.cut(q.send)
		q.state = over
		d.close(q)
	}
}
