package ask

import (
	"testing"
	"time"

	"fernlink/core/budget"
	"fernlink/core/flow"
)

// Given a question that was asked before its process was frozen, when the answer
// that waited meanwhile is read after the question's time, then it is given up:
// the answer is not taken as new.
func TestAnAnswerFromBeforeAFreeze(t *testing.T) {
	const asked, thawed = time.Second, 21 * time.Second
	asker := New(0)
	var got []Answer
	asker.Put(asked, budget.OperatorReplyTimeout, "plan.get", 0, func(_ flow.Time, a Answer) { got = append(got, a) })
	var out flow.Outbox
	asker.Advance(asked, []string{"store"}, &out)
	asker.Take(thawed, "store", Told{ID: 1, Code: 200, Body: []byte(`{}`)})
	if len(got) != 1 || got[0].Code != 0 {
		t.Errorf("an answer that is 20 s late is taken: %+v", got)
	}
	if asker.Open() != 0 {
		t.Errorf("%d asks are open", asker.Open())
	}
}
