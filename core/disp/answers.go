package disp

import (
	"net/http"

	"fernlink/core/ledger"
)

// fate is what came of a request, as its caller is told.
type fate string

const (
	fateRefused    fate = refused       // it never runs
	fateUnknown    fate = "unknown"     // whether it ran is not known
	fateDone       fate = "done"        // it ran
	fateInProgress fate = "in progress" // another call with its key is under way
)

// answer is the body of an answer of the dispatcher's own.
type answer struct {
	Error string `json:"error"`
	Fate  fate   `json:"outcome,omitempty"`
}

// faults is the body of an answer that says what is wrong with an input.
type faults struct {
	Error  string         `json:"error"`
	Faults []ledger.Fault `json:"faults"`
}

// ownAnswer is an answer of the dispatcher's own: its HTTP status, its body, and
// whether the caller is told to come again.
type ownAnswer struct {
	status int
	body   any
	again  bool
}

// head gives the fields that go with an answer.
func (a ownAnswer) head() map[string]string {
	if a.again {
		return again()
	}
	return nil
}

func again() map[string]string { return map[string]string{"Retry-After": "1"} }

// answerOwn answers a call at once.
func (d *Disp) answerOwn(call uint64, a ownAnswer) { d.out.Answer(call, a.status, a.body, a.head()) }

// granted answers what was asked for.
func granted(body any) ownAnswer { return ownAnswer{http.StatusOK, body, false} }

// What any call may be answered (design 5.2, 5.5).
var (
	stopping      = ownAnswer{http.StatusServiceUnavailable, answer{"this node is stopping", fateRefused}, true}
	storeUnheard  = ownAnswer{http.StatusServiceUnavailable, answer{Error: "the store is not heard just now"}, true}
	storeSilent   = ownAnswer{http.StatusServiceUnavailable, answer{"the store did not answer in time; say the same again to learn the outcome", fateUnknown}, true}
	notJSON       = ownAnswer{http.StatusBadRequest, answer{Error: "not JSON"}, false}
	noSuchVersion = ownAnswer{http.StatusNotFound, answer{Error: "no such plan version"}, false}
	noSuchEngine  = ownAnswer{http.StatusNotFound, answer{Error: "no such engine"}, false}
	noSuchModel   = ownAnswer{http.StatusNotFound, answer{Error: "no such model pool or model in the plan in force"}, false}
	noStoreThere  = ownAnswer{http.StatusConflict, answer{Error: "the process there runs no store"}, false}
)

// What callers' requests are answered (design 7.1, 7.2).
var (
	notServing = ownAnswer{http.StatusServiceUnavailable, answer{"not serving just now", fateRefused}, true}
	noRoute    = ownAnswer{http.StatusNotFound, answer{Error: "no route for this in the plan in force"}, false}
	routeFull  = ownAnswer{http.StatusTooManyRequests, answer{"too many requests of this route are under way", fateRefused}, true}
	otherUse   = ownAnswer{http.StatusUnprocessableEntity, answer{Error: "this key was used with another request"}, false}
	ranUnkept  = ownAnswer{http.StatusConflict, answer{"this request ran; its answer was too large to keep", fateDone}, false}
	keyRefused = ownAnswer{http.StatusConflict, answer{"this key was refused and stays so; use a new one", fateRefused}, false}
	inProgress = ownAnswer{http.StatusConflict, answer{"this request is in progress", fateInProgress}, true}
	mayHaveRun = ownAnswer{http.StatusBadGateway, answer{"whether this request ran is not known", fateUnknown}, false}
	unanswered = ownAnswer{http.StatusGatewayTimeout, answer{Error: "no engine answered in time"}, true}
)

// refusedFor answers a request that never runs.
func refusedFor(why refusalReason) ownAnswer {
	return ownAnswer{http.StatusServiceUnavailable, answer{string(why), fateRefused}, true}
}

// refusalReason is why a request that was held never runs.
type refusalReason string

const (
	nodeStops     refusalReason = "this node is stopping"
	givenUp       refusalReason = "given up before it was sent"
	noEngine      refusalReason = "no usable engine"
	noEngineTook  refusalReason = "no engine took it"
	keyUnrecorded refusalReason = "the run-once key could not be recorded: " // and why
)

// misfit answers an input that does not fit the schema. A field that this version
// does not know may change the meaning of all, and is no matter of values.
func misfit(bad []ledger.Fault, unknownField bool) ownAnswer {
	status := http.StatusUnprocessableEntity
	if unknownField {
		status = http.StatusBadRequest
	}
	return ownAnswer{status, faults{"does not fit the schema", bad}, false}
}

// senseless answers an input that fits the schema and can't be meant.
func senseless(bad []ledger.Fault) ownAnswer {
	return ownAnswer{http.StatusUnprocessableEntity, faults{"does not make sense", bad}, false}
}

// planMoved answers a change of a plan that is not the one in force any more.
func planMoved(version uint64) ownAnswer {
	return ownAnswer{http.StatusConflict, movedPlan{"the plan has moved on", version}, false}
}

// movedPlan is its body.
type movedPlan struct {
	Error   string `json:"error"`
	Version uint64 `json:"version"`
}

// notANumber answers a query whose value is none.
func notANumber(name string) ownAnswer {
	return ownAnswer{http.StatusBadRequest, answer{Error: name + " is not a number"}, false}
}

// lastReady answers who would drain the last ready engine of a pool.
func lastReady(pool string) ownAnswer {
	return ownAnswer{http.StatusConflict, answer{Error: "this would drain the last ready engine of pool " + pool}, false}
}
