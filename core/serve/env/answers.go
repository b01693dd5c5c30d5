package env

import (
	"net/http"

	"fernlink/core/flow"
)

// Reason is why a call is refused, or not carried out, in words for its caller.
type Reason string

// Reasons of refusals. What is refused has not run and never will, and its caller
// is told when to come back.
const (
	TooMuch         Reason = "too much at once"
	NoEngine        Reason = "no engine can take this just now"
	MayBeBehind     Reason = "this node may be behind"
	Stopping        Reason = "this process stops"
	StoreUnheard    Reason = "the store is not heard just now"
	LotsUnderWay    Reason = "other lots are on their way to the store"
	OpenLotsFull    Reason = "too many open lots"
	NoMemory        Reason = "no process has the memory to run this lot beside those that are open"
	TooLargeToKeep  Reason = "the lot is larger than the store takes at once"
	StoreSilent     Reason = "the store did not answer in time"
	StoreSilentSame Reason = "the store did not answer in time; say the same again"
	MachineUnknown  Reason = "the store did not say what the machine holds"
)

// Answer is another answer of this node's own.
type Answer struct {
	Status int
	Reason Reason
}

// Answers that go without a promise to come back.
var (
	NoRoute        = Answer{http.StatusNotFound, "no route serves this"}
	NoSuchMachine  = Answer{http.StatusNotFound, "no such machine stands by for data"}
	BadLot         = Answer{http.StatusBadRequest, "the lot can't be read"}
	BadPosition    = Answer{http.StatusBadRequest, "the position can't be read"}
	MayHaveRun     = Answer{http.StatusBadGateway, "whether this request ran is not known"}
	NoEngineInTime = Answer{http.StatusGatewayTimeout, "no engine answered in time"}
	LotMayBeTaken  = Answer{http.StatusGatewayTimeout, StoreSilent} // whether the store took the lot is not known
)

// Statuses of what the store or this node has done.
const (
	StatusDone     = http.StatusOK
	StatusLotTaken = http.StatusAccepted
	StatusNotReady = http.StatusServiceUnavailable
)

// Problem is the body of an answer of this node's own.
type Problem struct {
	Error string `json:"error"`
}

// Answer answers a call with one of this node's own answers.
func (e *Env) Answer(call uint64, a Answer) {
	e.Out.Answer(call, a.Status, Problem{string(a.Reason)}, nil)
}

// Refuse answers a call that has not run and never will, and when to come back.
func (e *Env) Refuse(call uint64, why Reason, again flow.Time) {
	e.Counts["refused"]++
	e.Out.Answer(call, http.StatusServiceUnavailable, Problem{string(why)}, e.After(again))
}

// After is the head that says when to come back.
func (e *Env) After(again flow.Time) map[string]string {
	return map[string]string{"Retry-After": seconds(again)}
}
