// Service plans and their versions (design 6.2).

package ledger

import (
	"github.com/go-json-experiment/json/v1"
)

// Plan gives the plan in force. Its document is not always at hand: PlanDoc.
func (l *Ledger) Plan() Plan {
	if n := len(l.Plans); n > 0 {
		return l.Plans[n-1]
	}
	return Plan{}
}

// PutPlan replaces the plan that stands at version Read (design 6.2). Where Version
// is above zero it is the caller's own for the new one, which must be above Read,
// and names the put when it is said again; otherwise versions go up by one, and
// Request names it. putPlan applies it; TestPlanVersions, TestPlanIsKnownAgain.
type PutPlan struct {
	Version uint64          `json:"version,omitempty"`
	Read    uint64          `json:"read"`
	Request string          `json:"request"`
	Doc     json.RawMessage `json:"doc"`
}

// Kind names the command.
func (PutPlan) Kind() Kind { return KindPlanPut }

// putPlan takes a plan if it was made from the one in force. A repeat of one that
// was taken is told its version, however many have come since.
func (l *Ledger) putPlan(p PutPlan, c Command) Result {
	hash := Hash(p.Doc)
	if answer, done := l.recallPlan(p, hash); done {
		return answer
	}
	next, why, refused := l.nextPlan(p, hash, c)
	if refused {
		return why
	}
	l.adoptPlan(next)
	next.Doc = nil
	return good(next)
}

// nextPlan is the plan that a put makes, with its receipts, or why it is refused.
func (l *Ledger) nextPlan(p PutPlan, hash string, c Command) (next Plan, why Result, refused bool) {
	now := l.Plan()
	if p.Read != now.Version {
		return next, planMoved.atVersion(now.Version), true
	}
	if p.Version != 0 && p.Version <= now.Version {
		return next, planNotAbove.atVersion(now.Version), true
	}
	request := p.Request
	if p.Version != 0 {
		request = "" // its version is its name
	}
	if !l.roomForReceipts(c.At, receiptsOf(request)) {
		return next, receiptsFull.Result(), true
	}
	next = Plan{Version: max(p.Version, now.Version+1), Request: p.Request, Hash: hash, Doc: p.Doc, Mod: l.Index, At: c.At}
	l.acknowledge(planVersionID(next.Version, hash), c.At, next.Version)
	if request != "" {
		l.acknowledge(planRequestID(request, hash), c.At, next.Version)
	}
	return next, Result{}, false
}

// adoptPlan puts a plan in force whose document is whole.
func (l *Ledger) adoptPlan(next Plan) {
	for i := range l.Plans {
		l.Plans[i].Doc = nil
		if next.Patch == nil {
			l.Plans[i].Patch = nil // nobody goes on from it by changes
		}
	}
	l.Plans, l.patched = append(l.Plans, next), nil
	l.put(DocItem, l.Index, next.Doc)
	l.prunePlans()
}

// prunePlans drops the oldest plans beyond those that are kept. One on whose document
// others build stays for as long as they do.
func (l *Ledger) prunePlans() {
	for next := 1; next <= len(l.Plans)-KeepPlans; next++ {
		if l.Plans[next].Base != 0 {
			continue
		}
		for _, old := range l.Plans[:next] {
			l.drop(DocItem, old.Mod)
		}
		l.Plans = append([]Plan(nil), l.Plans[next:]...)
		next = 0
	}
}

// recallPlan answers a put that was taken before, and one whose request id was
// used for another plan. A put that names its version is that version's with the
// same document; one that does not is known by its request id.
func (l *Ledger) recallPlan(p PutPlan, hash string) (Result, bool) {
	if old, kept := l.keptPlan(p, hash); kept {
		l.OrderCounts.Repeated++
		return good(old), true
	}
	id := planVersionID(p.Version, hash)
	if p.Version == 0 {
		id = planRequestID(p.Request, hash)
	}
	known, version := l.recall(id)
	switch {
	case known == repeated:
		return good(Plan{Version: version, Request: p.Request, Hash: hash}), true
	case known == changed && p.Version == 0:
		return planRequestUsed.atVersion(version), true
	}
	return Result{}, false
}

// recallPlanPut is recallPlan for a put as it came.
func (l *Ledger) recallPlanPut(p PutPlan) (Result, bool) {
	return l.recallPlan(p, Hash(p.Doc))
}

// keptPlan finds a put among the plans that are kept: these are known for longer
// than any receipt.
func (l *Ledger) keptPlan(p PutPlan, hash string) (Plan, bool) {
	for _, old := range l.Plans {
		same := old.Version == p.Version
		if p.Version == 0 {
			same = p.Request != "" && old.Request == p.Request
		}
		if same && old.Hash == hash {
			old.Doc, old.Patch = nil, nil
			return old, true
		}
	}
	return Plan{}, false
}
