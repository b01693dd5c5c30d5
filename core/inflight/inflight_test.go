package inflight

import (
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/core/resend"
)

// Given an order that was sent, when its send ends with each kind of evidence, then the order is
// on its way no more where its engine answered or nothing left, and for as long as a lapsed
// lease covers it where not.
func TestAnOrderIsOnItsWayUntilItsEngineAnswers(t *testing.T) {
	settled := map[resend.Evidence]bool{resend.Unsent: true, resend.NotRun: true, resend.WrongInstance: true, resend.Promise: true, resend.Failed: true, resend.Answered: true}
	const sent = 5 * time.Second
	for e := resend.Evidence(0); int(e) < resend.Evidences; e++ {
		orders := New()
		orders.Sent(sent, 1)
		orders.Sent(sent, 2)
		if orders.None(sent + time.Minute) {
			t.Errorf("%s: an order whose send is open is forgotten", e)
		}
		orders.Ended(2, resend.Answered)
		orders.Ended(1, e)
		if got := orders.None(sent); got != settled[e] {
			t.Errorf("%s: none is on its way: %v", e, got)
		}
		if orders.None(sent+onItsWay-1) != settled[e] || !orders.None(sent+onItsWay) {
			t.Errorf("%s: it is not on its way for %v", e, onItsWay)
		}
	}
}

// Given an order whose answer nobody waits for any more, then it may still arrive; and one that
// was never heard of changes nothing.
func TestAnOrderThatIsCutMayArrive(t *testing.T) {
	orders := New()
	orders.Sent(0, 1)
	orders.Cut(1)
	orders.Cut(7)
	orders.Ended(8, resend.Silent)
	if orders.None(onItsWay-1) || !orders.None(onItsWay) || len(orders.rows) != 0 {
		t.Errorf("%+v", orders.rows)
	}
	var none *Orders
	none.Sent(0, 1)
	none.Cut(1)
	none.Ended(1, resend.Silent)
	if !none.None(flow.Time(0)) {
		t.Error("nobody's orders are on their way")
	}
}
