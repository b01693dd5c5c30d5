package ledger

import "github.com/go-json-experiment/json/v1"

// The questions to the ledger. Each has a type for its body, which may be null.
const (
	KindOrderKnown Kind = "order.known" // KnownOrder
	KindPlanGet    Kind = "plan.get"    // GetPlan
	KindPlanList   Kind = "plan.list"   // ListPlans
	KindStepGet    Kind = "step.get"    // GetStep
	KindStepList   Kind = "step.list"   // ListSteps
	KindResultPage Kind = "result.page" // Page
	KindRollGet    Kind = "roll.get"    // GetRoll
	KindLotRead    Kind = "lot.read"    // ReadLot
	KindLotItems   Kind = "lot.items"   // GetLotItems
	KindLotItem    Kind = "lot.item"    // FindItem
	KindLotParts   Kind = "lot.parts"   // KnownParts
	KindLotPage    Kind = "lot.page"    // ReadRequests
	KindLotTexts   Kind = "lot.texts"   // ReadTexts

	KindLotFragment Kind = "lot.fragment" // FindFragment
)

// questions has all questions, by the kinds of their bodies.
var questions = questionTable(
	strictQuestion((*Ledger).knownOrder),
	lenientQuestion((*Ledger).getPlan),
	lenientQuestion((*Ledger).listPlans),
	lenientQuestion((*Ledger).getStep),
	lenientQuestion((*Ledger).listSteps),
	lenientQuestion((*Ledger).page),
	lenientQuestion((*Ledger).getRoll),
	strictQuestion((*Ledger).readLot),
	lenientQuestion((*Ledger).lotItems),
	lenientQuestion((*Ledger).lotItem),
	strictQuestion((*Ledger).knownParts),
	strictQuestion((*Ledger).lotPage),
	strictQuestion((*Ledger).lotTexts),
	strictQuestion((*Ledger).lotFragment),
)

// NoBody is embedded by questions that say nothing but their kind.
type NoBody struct{}

// MarshalJSON encodes it as null, as it always was.
func (NoBody) MarshalJSON() ([]byte, error) { return []byte("null"), nil }

// question is how one kind of question is decoded and answered.
type question struct {
	kind   Kind
	answer func(*Ledger, json.RawMessage) Result
}

func questionTable(all ...question) map[Kind]question {
	table := map[Kind]question{}
	for _, q := range all {
		table[q.kind] = q
	}
	return table
}

// strictQuestion is one that is refused where it does not parse.
func strictQuestion[B Body](answer func(*Ledger, B) Result) question {
	var body B
	return question{body.Kind(), func(l *Ledger, text json.RawMessage) Result {
		var body B
		if json.Unmarshal(text, &body) != nil {
			return badQuestion.Result()
		}
		return answer(l, body)
	}}
}

// lenientQuestion is one that is taken as far as it parses.
func lenientQuestion[B Body](answer func(*Ledger, B) Result) question {
	var body B
	return question{body.Kind(), func(l *Ledger, text json.RawMessage) Result {
		var body B
		_ = json.Unmarshal(text, &body)
		return answer(l, body)
	}}
}

// Asks says whether a question kind exists.
func Asks(kind Kind) bool { _, ok := questions[kind]; return ok }

// Query answers one read.
func (l *Ledger) Query(kind Kind, body json.RawMessage) Result {
	return questions[kind].answer(l, body)
}
