package store

import (
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// Why an ask is not taken (design 4.3, 5.2).
var (
	unknownAsk     = ledger.Refusal{Outcome: ledger.Invalid, Reason: "no such ask"}
	leadersOwn     = ledger.Refusal{Outcome: ledger.Invalid, Reason: "only the leader says this"}
	retiredJustNow = ledger.Refusal{Outcome: ledger.Retired, Reason: "this was retired just now"}
	largeUnderWay  = ledger.Refusal{Outcome: ledger.Unavailable, Reason: "another large order is under way"}
	answersUnheard = ledger.Refusal{Outcome: ledger.Unavailable, Reason: "earlier answers were not heard"}
)

// Why a change of membership is not made (design 4.4, 4.8).
var (
	memberWithoutAddress = ledger.Refusal{Outcome: ledger.Invalid, Reason: "a store machine needs an address"}
	nobodyThere          = ledger.Refusal{Outcome: ledger.NotFound, Reason: "no process is heard at that address"}
	noSuchMember         = ledger.Refusal{Outcome: ledger.NotFound, Reason: "no such store machine"}
	changeUnderWay       = ledger.Refusal{Outcome: ledger.Unavailable, Reason: "a change of membership is under way; say the same again"}
	learnerBehind        = ledger.Refusal{Outcome: ledger.Conflict, Reason: "the learner has not caught up"}
	lastReadyLearner     = ledger.Refusal{Outcome: ledger.Conflict, Reason: "too few store machines would remain: it stands ready for a voter that is lost"}
	lastCopy             = ledger.Refusal{Outcome: ledger.Conflict, Reason: "this is the last copy"}
	noSuccessor          = ledger.Refusal{Outcome: ledger.Conflict, Reason: "no store machine stands ready to take its place"}
)

// machineWithoutID refuses a question about a machine that it does not name
// (design 12.8).
var machineWithoutID = ledger.Refusal{Outcome: ledger.Invalid, Reason: "a machine needs an id"}

// notProposed refuses what Raft does not take, in its own words.
func notProposed(err error) ledger.Refusal {
	switch err {
	case flow.ErrTooDeep:
		return ledger.TooDeep
	case flow.ErrTooLarge:
		return ledger.TooLarge
	}
	return ledger.Refusal{Outcome: ledger.Conflict, Reason: err.Error()}
}
