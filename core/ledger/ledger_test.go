package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func do(l *Ledger, kind string, body any) Result {
	b, _ := json.Marshal(body)
	c, _ := json.Marshal(Command{Kind: kind, At: 1000, Body: b})
	return l.Apply(l.Index+1, c)
}

func stepDoc(id string, rev, lag int, one bool) StepDoc {
	return StepDoc{ID: id, Trainer: "t", Pool: "p", Revision: rev, Lag: lag, OneVersion: one, DeadlineMS: 1000,
		Groups: []Group{{ID: "g", Prompt: "x", Samples: 4, Tokens: 8}}}
}

func entry(sample int, text string, spans ...Span) Entry {
	return Entry{Group: "g", Sample: sample, Text: text, Finish: "stop", Spans: spans, Verdict: Verdict{State: "none", Hash: Hash([]byte(text))}}
}

// Given the tenure at term 2, when orders of other terms come, then they are
// refused and leave nothing.
func TestOldTermOrdersNothing(t *testing.T) {
	l := New()
	do(l, "coord.grant", GrantCoord{Term: 0, ID: "a"})
	do(l, "coord.grant", GrantCoord{Term: 1, ID: "b"})
	if r := do(l, "coord.grant", GrantCoord{Term: 1, ID: "c"}); r.Code != 409 {
		t.Fatalf("a grant over a term that moved on: %d", r.Code)
	}
	for _, term := range []uint64{1, 3} {
		if r := do(l, "order.put", Order{Engine: "e", Inc: "1", Revision: 5, Term: term}); r.Code != 409 || len(l.Orders) != 0 {
			t.Fatalf("an order of term %d: %d %v", term, r.Code, l.Orders)
		}
	}
	if r := do(l, "order.put", Order{Engine: "e", Inc: "1", Revision: 5, Term: 2}); r.Code != 200 {
		t.Fatalf("an order of the term in force: %d %s", r.Code, r.Body)
	}
	if r := do(l, "order.put", Order{Engine: "e", Inc: "1", Revision: 4, Term: 2}); r.Code != 409 {
		t.Fatalf("an order back to older weights: %d", r.Code)
	}
}

// Given an open step, when results that must never be listed come, then each
// is refused for what is wrong with it.
func TestNeverListed(t *testing.T) {
	l := New()
	do(l, "step.open", stepDoc("s", 5, 1, false))
	do(l, "step.open", stepDoc("one", 5, 1, true))
	good := entry(0, "abcd", Span{0, 4, 5})
	bad := map[string]Entry{
		"not whole":   func() Entry { e := good; e.Finish = "abort"; return e }(),
		"not of this": func() Entry { e := good; e.Verdict.Hash = "0"; return e }(),
		"no such":     entry(9, "abcd", Span{0, 4, 5}),
		"not allow":   entry(0, "abcd", Span{0, 4, 3}),
		"cover":       entry(0, "abcd", Span{0, 3, 5}),
	}
	for why, e := range bad {
		if r := do(l, "result.add", AddEntry{"s", e}); r.Code != 422 || !strings.Contains(string(r.Body), why) {
			t.Errorf("%s: %d %s", why, r.Code, r.Body)
		}
	}
	mixed := entry(0, "abcd", Span{0, 2, 4}, Span{2, 4, 5})
	if r := do(l, "result.add", AddEntry{"one", mixed}); r.Code != 422 {
		t.Errorf("two versions where one is required: %d", r.Code)
	}
	if r := do(l, "result.add", AddEntry{"s", mixed}); r.Code != 200 {
		t.Errorf("two versions where that is allowed: %d %s", r.Code, r.Body)
	}
	do(l, "step.end", "s")
	if r := do(l, "result.add", AddEntry{"s", entry(1, "abcd", Span{0, 4, 5})}); r.Code != 409 {
		t.Errorf("into an ended step: %d", r.Code)
	}
}

// Given any order of results, repeats among them, when they are listed, then
// none moves, changes or stands twice, and a digest keeps them all.
func TestListNeverMoves(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(99)
	p.MinSuccessfulTests = 60
	props := gopter.NewProperties(p)
	props.Property("the list only grows", prop.ForAll(func(samples []int) bool {
		l := New()
		do(l, "step.open", stepDoc("s", 1, 0, true))
		var before []string
		for i, n := range samples {
			text := fmt.Sprint("text", i)
			do(l, "result.add", AddEntry{"s", entry(n%4, text, Span{0, len(text), 1})})
			if i%3 == 2 {
				var err error
				if l, err = Load(l.Digest()); err != nil {
					return false
				}
			}
			var now []string
			seen := map[int]bool{}
			for j, e := range l.Steps["s"].List {
				if seen[e.Sample] || e.Seq != j+1 {
					return false
				}
				seen[e.Sample] = true
				now = append(now, e.Text)
			}
			for j := range before {
				if before[j] != now[j] {
					return false
				}
			}
			before = now
		}
		return true
	}, gen.SliceOfN(12, gen.IntRange(0, 7))))
	props.TestingRun(t)
}

// Given many steps, plans and keys, when more come, then what is kept stays
// within its bounds, and a retired step's id is not taken again.
func TestKeptWithinBounds(t *testing.T) {
	l := New()
	for i := 0; i < 3*KeepEnded; i++ {
		id := fmt.Sprint("s", i)
		do(l, "step.open", stepDoc(id, i+1, 0, true))
		do(l, "step.end", id)
	}
	if len(l.Steps) > KeepEnded {
		t.Errorf("%d ended steps are kept", len(l.Steps))
	}
	if r := do(l, "step.open", stepDoc("s0", 1, 0, true)); r.Code != 410 {
		t.Errorf("a retired id: %d", r.Code)
	}
	for i := 0; i < 2*KeepPlans; i++ {
		do(l, "plan.put", PutPlan{Read: uint64(i), Request: fmt.Sprint("r", i), Doc: json.RawMessage(`{}`)})
	}
	if len(l.Plans) != KeepPlans || l.Plan().Version != 2*KeepPlans {
		t.Errorf("%d plans, version %d", len(l.Plans), l.Plan().Version)
	}
	for i := 0; i < KeepOpen+1; i++ {
		r := do(l, "step.open", stepDoc(fmt.Sprint("o", i), 1000, 0, true))
		if (r.Code == 429) != (i == KeepOpen) {
			t.Errorf("open step %d: %d", i, r.Code)
		}
	}
}
