package sim

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
)

// wholeModel takes a history as it is: an order without a clear answer may stand
// anywhere after it was sent, and is then taken where that is allowed.
var wholeModel = porcupine.Model{
	Partition: ordersModel.Partition,
	Init:      ordersModel.Init,
	Equal:     ordersModel.Equal,
	Step: func(state, input, output any) (bool, any) {
		fits, next := ordersModel.Step(state, input, output)
		return fits || output.(orderOut).outcome == unclear, next
	},
}

// randomOrder makes an order or a look on one object, out of so few that repeats
// and second uses of a name are common.
func randomOrder(r *rand.Rand, object string) orderIn {
	name, number, flag := fmt.Sprint("n", r.Intn(3)), uint64(1+r.Intn(3)), r.Intn(2) == 0
	in := orderIn{object: object, look: r.Intn(3) == 0, name: name}
	switch object {
	case "plan":
		in.kind, in.number, in.base = planKind, number, number-1
		in.content = fmt.Sprint(number)
	case "weights":
		in.kind, in.number, in.flagged = weightsKind, number, r.Intn(2) == 0
		in.flag = in.flagged && flag
		in.content = fmt.Sprint(number, in.flagged, in.flag)
	case "engine":
		in.kind, in.flag, in.content = drainKind, flag, fmt.Sprint(flag)
	default:
		in.kind, in.content = lotKind, fmt.Sprint(number)
		if r.Intn(3) == 0 {
			in.kind, in.name, in.content = lotEndKind, "end", ""
		}
	}
	if in.look {
		in.name, in.content = "", ""
	}
	return in
}

// randomHistory plays a few overlapping orders on one object in some order.
func randomHistory(r *rand.Rand) []porcupine.Operation {
	object := []string{"plan", "weights", "engine", "lot"}[r.Intn(4)]
	const most, length = 10, 30
	type event struct {
		at int64
		op porcupine.Operation
	}
	var events []event
	for i := range 4 + r.Intn(most-3) {
		call := r.Int63n(length)
		took := r.Int63n(length / 2)
		op := porcupine.Operation{ClientId: i, Input: randomOrder(r, object), Call: call, Return: call + took}
		events = append(events, event{call + r.Int63n(took+1), op})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	history := make([]porcupine.Operation, 0, len(events))
	for _, e := range events {
		history = append(history, e.op)
	}
	history = numbered(history)
	state := orderState{}
	for i := range history {
		state = answerRandomly(r, &history[i], state)
	}
	return history
}

// answerRandomly has an order meet a state, and gives the state that follows.
func answerRandomly(r *rand.Rand, op *porcupine.Operation, state orderState) orderState {
	in := op.Input.(orderIn)
	if in.look {
		op.Output = orderOut{outcome: acknowledged, seen: state.now}
		return state
	}
	next, allowed := state.effect(in)
	fits, after := state.knows(in) || allowed, state
	if !state.knows(in) && allowed {
		after = state.with(in, next)
	}
	switch {
	case r.Intn(3) == 0:
		op.Output, op.Return = orderOut{outcome: unclear}, math.MaxInt64
		if r.Intn(2) == 0 {
			return state // it got lost
		}
	case fits:
		op.Output = orderOut{outcome: acknowledged}
	default:
		op.Output = orderOut{outcome: refused}
	}
	return after
}

// spoil changes one answer of a history.
func spoil(r *rand.Rand, history []porcupine.Operation) {
	op := &history[r.Intn(len(history))]
	out := op.Output.(orderOut)
	switch {
	case op.Input.(orderIn).look:
		switch r.Intn(3) {
		case 0:
			out.seen.number = uint64(r.Intn(4))
		case 1:
			out.seen.flag = !out.seen.flag
		default:
			out.seen.exists = !out.seen.exists
		}
	case out.outcome == acknowledged:
		out.outcome = refused
	case out.outcome == refused:
		out.outcome = acknowledged
	}
	op.Output = out
}

// Given small random histories, true ones and ones with spoilt answers, when they are
// reduced, then each gets the verdict that it gets as a whole.
func TestReducedHistoriesGetTheSameVerdict(t *testing.T) {
	t.Parallel()
	const histories = 20000
	r := rand.New(rand.NewSource(1))
	verdicts, fewer := map[bool]int{}, 0
	for n := range histories {
		history := randomHistory(r)
		for range r.Intn(3) {
			spoil(r, history)
		}
		whole := porcupine.CheckOperations(wholeModel, numbered(history))
		verdicts[whole]++
		if len(reduced(history)) < len(history)+1 { // the closing is one more
			fewer++
		}
		if got := checkOrders(history) == porcupine.Ok; got != whole {
			t.Fatalf("history %d fits: %v as a whole, %v reduced:\n%v", n, whole, got, history)
		}
	}
	t.Logf("verdicts %v, %d histories got smaller", verdicts, fewer)
	if verdicts[true] < histories/4 || verdicts[false] < histories/4 || fewer < histories/4 {
		t.Errorf("too little was compared: verdicts %v, %d histories got smaller", verdicts, fewer)
	}
}
