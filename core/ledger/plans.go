// Service plans and their versions (design 6.2).

package ledger

import (
	"encoding/json"
)

// Plan gives the plan in force.
func (l *Ledger) Plan() Plan {
	if n := len(l.Plans); n > 0 {
		return l.Plans[n-1]
	}
	return Plan{}
}

func (l *Ledger) putPlan(c Command) Result {
	var p PutPlan
	if json.Unmarshal(c.Body, &p) != nil {
		return fail(400, "plan does not parse")
	}
	for _, old := range l.Plans {
		if p.Version != 0 && old.Version == p.Version && old.Hash == Hash(p.Doc) {
			old.Doc = nil
			return good(old) // a repeat, whichever node it came through
		}
		if p.Version == 0 && p.Request != "" && old.Request == p.Request {
			if old.Hash != Hash(p.Doc) {
				return Result{Code: 422, Body: raw(problem{Error: "this request id was used for another plan", Version: old.Version})}
			}
			old.Doc = nil
			return good(old)
		}
	}
	now := l.Plan()
	if p.Read != now.Version {
		return Result{Code: 409, Body: raw(problem{Error: "the plan has moved on", Version: now.Version})}
	}
	if p.Version != 0 && p.Version <= now.Version {
		return Result{Code: 422, Body: raw(problem{Error: "a plan's version must be above the one in force", Version: now.Version})}
	}
	next := Plan{Version: max(p.Version, now.Version+1), Request: p.Request, Hash: Hash(p.Doc), Doc: p.Doc, Mod: l.Index, At: c.At}
	if n := len(l.Plans); n > 0 {
		l.Plans[n-1].Doc = nil
	}
	l.Plans = append(l.Plans, next)
	l.put(DocItem, l.Index, p.Doc)
	for len(l.Plans) > KeepPlans {
		l.drop(DocItem, l.Plans[0].Mod)
		l.Plans = append([]Plan(nil), l.Plans[1:]...)
	}
	next.Doc = nil
	return good(next)
}
