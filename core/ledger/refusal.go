package ledger

import "fernlink/core/flow"

// Refusal is why a command or a question is not taken: its outcome, and the reason
// in words for whoever asked.
type Refusal struct {
	Outcome Outcome
	Reason  string
}

// problem is how a refusal is told.
type problem struct {
	Error   string `json:"error"`
	Version uint64 `json:"version,omitempty"`
}

// Result tells a refusal.
func (r Refusal) Result() Result {
	return Result{Code: r.Outcome, Body: raw(problem{Error: r.Reason})}
}

// atVersion tells the version that stands, too.
func (r Refusal) atVersion(version uint64) Result {
	return Result{Code: r.Outcome, Body: raw(problem{Error: r.Reason, Version: version})}
}

// What does not parse.
var (
	badCommand     = Refusal{Invalid, "command does not parse"}
	unknownCommand = Refusal{Invalid, "no such command"}
	badQuestion    = Refusal{Invalid, "the question does not parse"}
	badPlan        = Refusal{Invalid, "plan does not parse"}
	badStep        = Refusal{Invalid, "step does not parse"}
	badEntry       = Refusal{Invalid, "result does not parse"}
	badClaim       = Refusal{Invalid, "claim does not parse"}
	badBounds      = Refusal{Invalid, "bounds do not parse"}
	badLot         = Refusal{Invalid, "lot does not parse"}
	badLotResults  = Refusal{Invalid, "results do not parse"}
)

// What no layer could carry (flow.CheckCarried).
var (
	TooDeep  = Refusal{Rejected, flow.ErrTooDeep.Error()}
	TooLarge = Refusal{Oversized, flow.ErrTooLarge.Error()}
)

// Plans (design 6.2).
var (
	noPlan          = Refusal{NotFound, "no plan yet"}
	noSuchPlan      = Refusal{NotFound, "no such plan version is kept"}
	planMoved       = Refusal{Conflict, "the plan has moved on"}
	planNotAbove    = Refusal{Rejected, "a plan's version must be above the one in force"}
	planRequestUsed = Refusal{Rejected, "this request id was used for another plan"}
)

// Receipts of orders (design 4.7).
var (
	receiptsFull = Refusal{Unavailable, "too many orders are remembered (keys_most)"} // it can't be remembered, and so is not taken
	requestUsed  = Refusal{Rejected, "this request id was used for another order"}
	unknownOrder = Refusal{NotFound, "no such order was acknowledged"}
)

// Run-once claims (design 7.2).
var (
	keysFull    = Refusal{Unavailable, "too many run-once keys and step ids are remembered (keys_most)"}
	notTheOwner = Refusal{Conflict, "not the owner of this claim"}
	noSuchClaim = Refusal{Conflict, "no such claim"}
)

// Steps and their results (design 8.3).
var (
	noSuchStep    = Refusal{NotFound, "no such step"}
	stepTooLarge  = Refusal{Invalid, "more groups or samples than a step may have"}
	otherStep     = Refusal{Conflict, "a step of this id exists with other content"}
	stepIDUsed    = Refusal{Retired, "a step of this id has ended and was retired"}
	stepTooOld    = Refusal{Conflict, "the pool has gone on to newer weights than this step allows"}
	trainerFull   = Refusal{Full, "too many open steps of this trainer (open_steps)"}
	stepsFull     = Refusal{Full, "too many open steps"}
	stepEnded     = Refusal{Conflict, "the step has ended"}
	stepRetired   = Refusal{Retired, "the step has ended and its results were retired"}
	cursorPastEnd = Refusal{Invalid, "the cursor is past the end of the list"}
)

// Results that must never be listed (design 8.3).
var (
	noSuchSample    = Refusal{Rejected, "no such sample in the step"}
	textCut         = Refusal{Rejected, "the text is not whole"}
	otherVerdict    = Refusal{Rejected, "the verdict is not of this text"}
	spansIncomplete = Refusal{Rejected, "the weights do not cover the text"}
	otherWeights    = Refusal{Rejected, "made under weights that the step does not allow"}
	mixedWeights    = Refusal{Rejected, "the step requires one version of the weights"}
)

// The coordinator's lease, weights and drains (design 8.5).
var (
	leaseMoved       = Refusal{Conflict, "the lease has moved on"}
	orderLeasePassed = Refusal{Conflict, "the order's lease has passed"}
	orderOvertaken   = Refusal{Conflict, "the engine was ordered to newer weights"}
	otherOrder       = Refusal{Conflict, "not the order that stands"}
	weightsBackward  = Refusal{Conflict, "weights only go forward"}
	drainsFull       = Refusal{Full, "too many drained engines are remembered"}
)

// Lots (design 8.7).
var (
	otherLot        = Refusal{Conflict, "a lot of this id exists with other content"}
	lotTooLarge     = Refusal{Invalid, "more items than a lot may have"}
	itemWithoutID   = Refusal{Invalid, "an item of the lot has no id"}
	openLotsFull    = Refusal{Full, "too many open lots"}
	lotsKeptFull    = Refusal{Full, "too many lots or items of lots are kept"}
	lotBytesFull    = Refusal{Full, "lots hold as much as the disk may (lot_bytes)"}
	partsMissing    = Refusal{Unavailable, "a part of the lot is missing"}
	noSuchLot       = Refusal{NotFound, "no such lot"}
	lotMoved        = Refusal{Conflict, "the lot has ended or moved on"}
	noSuchItem      = Refusal{NotFound, "no such item is open"}
	itemInFragments = Refusal{Oversized, "the item is told in fragments"}
	lotUnreadable   = Refusal{Failed, "a lot's requests do not parse"}
)

// itemTwice refuses a lot in which an id stands twice.
func itemTwice(id string) Refusal { return Refusal{Invalid, "item " + id + " stands twice in the lot"} }
