package lots

import (
	"slices"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// partials keeps the texts of items that were not whole when their lot ended: their
// groups may come again in a later lot under the same ids (design 12.5). It is
// bounded in rows and in time, and losing it costs tokens only.
type partials map[string]kept

type kept struct {
	text  text
	whole *ledger.LotResult // the text without its score, where only that is missing
	at    flow.Time
}

// Bounds of what is kept of such texts.
const (
	keptMost = 4096
	keptFor  = 5 * budget.Heal
)

func (s partials) put(id string, t text, now flow.Time) {
	if len(t.events) > 0 {
		s.add(id, kept{text: t, at: now}, now)
	}
}

// putWhole keeps a text that waits for its score.
func (s partials) putWhole(r ledger.LotResult, now flow.Time) {
	s.add(r.Item, kept{text: text{last: -1}, whole: &r, at: now}, now)
}

func (s partials) add(id string, row kept, now flow.Time) {
	if len(s) >= keptMost {
		for k, x := range s {
			if now-x.at > keptFor {
				delete(s, k)
			}
		}
	}
	if len(s) < keptMost {
		s[id] = row
	}
}

// take gives an item's text where the lot allows all versions that made it.
func (s partials) take(id string, d *ledger.LotDoc) text {
	x, ok := s[id]
	if x.whole != nil {
		return text{last: -1}
	}
	delete(s, id)
	if !ok || len(x.text.versions) == 0 || slices.Min(x.text.versions) < d.Least || d.Single && len(x.text.versions) > 1 {
		return text{last: -1}
	}
	return x.text
}

// takeWhole gives an item's text that waits for its score, where the lot allows all versions
// that made it.
func (s partials) takeWhole(id string, d *ledger.LotDoc) (ledger.LotResult, bool) {
	x, ok := s[id]
	if !ok || x.whole == nil {
		return ledger.LotResult{}, false
	}
	delete(s, id)
	v := x.whole.Versions
	return *x.whole, len(v) > 0 && slices.Min(v) >= d.Least && (!d.Single || len(v) == 1)
}
