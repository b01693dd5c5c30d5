// Judging and listing of whole texts (design 8.3).

package disp

import (
	"net/http"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/resend"
	"fernlink/core/sorted"
)

// judgeAll sends whole texts to the judge, and again while it does not give
// a verdict on this very text (design 8.3).
func (d *Disp) judgeAll() {
	for _, id := range sorted.Keys(d.steps) {
		s := d.steps[id]
		for _, g := range s.gens {
			if g.state != "judging" || g.judge != 0 || d.now < g.again {
				continue
			}
			hash := ledger.Hash([]byte(g.whole.Text))
			if s.doc.Judge == "" {
				g.verdict(ledger.Verdict{State: "none", Why: "the step names no judge", Hash: hash})
				continue
			}
			if d.now >= s.late {
				g.verdict(ledger.Verdict{State: "none", Why: "the judge gave none by the deadline", Hash: hash})
				continue
			}
			if d.fresh() {
				d.judge(s, g, hash)
			}
		}
	}
}

func (g *gen) verdict(v ledger.Verdict) {
	g.whole.Verdict = v
	g.state, g.again = "listing", 0
}

func (d *Disp) judge(s *step, g *gen, hash string) {
	body, _ := json.Marshal(dialect.JudgeAsk{Step: s.doc.ID, Group: g.group.doc.ID, Sample: g.sample, Text: g.whole.Text, Hash: hash})
	g.judge = d.send(flow.Send{Verb: "POST", URL: s.doc.Judge, Head: map[string]string{"Content-Type": "application/json"},
		Body: body, Until: min(d.till, s.late), Limit: min(s.late, d.now+budget.Heal/2)}, func(b flow.Back) {
		g.judge = 0
		var v dialect.JudgeBack
		if resend.Decide(resend.Judgement, resend.Protocol{}.Observe(b)) == resend.Accept && b.Code == http.StatusOK && json.Unmarshal(b.Body, &v) == nil && v.Hash == hash && len(v.Score) > 0 && string(v.Score) != "null" {
			g.verdict(ledger.Verdict{State: "given", Hash: hash, Score: v.Score})
			return
		}
		d.counts["judge_failures"]++
		g.tries++
		g.again = d.now + budget.HeartbeatInterval*flow.Time(min(g.tries*2, 20))
	})
}

// listAll lists whole results, until the ledger has said what it kept.
func (d *Disp) listAll() {
	for _, id := range sorted.Keys(d.steps) {
		s := d.steps[id]
		for _, g := range s.gens {
			if g.state != "listing" || d.now < g.again {
				continue
			}
			g.again = d.now + budget.AskTimeout + budget.AskRetryInterval
			d.p.Asker.Ask(d.now, budget.AskTimeout, ledger.AddEntry{Step: id, Entry: g.whole}, func(now flow.Time, a ask.Answer) {
				d.now = now
				if a.Code == ledger.Unanswered {
					g.again = now // not known: ask again, the ledger lists it once
					return
				}
				if a.Code == ledger.Rejected {
					// The ledger's own check: never listed, made anew.
					flow.Warn.Note(d.out, "disp", "a result was not listed", "step", id, "group", g.group.doc.ID, "why", string(a.Body))
					d.counts["unlisted"]++
					g.whole, g.state, g.again, g.tries = ledger.Entry{}, held, now+budget.Listed, 0
					return
				}
				if a.Code == ledger.Accepted {
					d.counts["listed"]++
					d.counts["prompt_tokens"] += int64(g.whole.Prompt)
					d.counts["cached_tokens"] += int64(g.whole.Cached)
				}
				if d.steps[id] == s {
					s.listed(d, g.group.doc.ID, g.sample)
				}
			})
		}
	}
}
