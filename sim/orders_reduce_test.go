package sim

import (
	"cmp"
	"slices"

	"github.com/anishathalye/porcupine"

	"fernlink/core/sorted"
)

// The search for one order of events grows with the sendings that may stand at many
// places. What follows takes such sendings away, or says less about where they may
// stand, only where the verdict stays the same for each history whatsoever; each
// function says why. TestReducedHistoriesGetTheSameVerdict compares.

// checkOrders says whether a history of orders fits one order of events. Its verdict
// depends on nothing but the history.
func checkOrders(history []porcupine.Operation) porcupine.CheckResult {
	return verdict(ordersModel, reduced(history))
}

// reduced is a history that gets the same verdict with less work.
func reduced(history []porcupine.Operation) []porcupine.Operation {
	kept := withoutImplied(withoutRepeats(settled(history)))
	return readsFirst(closed(numbered(kept)))
}

// settled is the history without sendings that have no clear answer and can't have
// done anything that an earlier one did not: where the same order was sent before
// without a clear answer, that one may have been taken whenever this one may; where it
// was acknowledged before, this one changed nothing. One that is refused later had not
// been taken by then, so it is only looked for from there on.
func settled(history []porcupine.Operation) []porcupine.Operation {
	refusedLast := map[orderKey]int64{}
	earlier := map[orderKey]int64{} // from when on a further sending tells nothing
	note := func(key orderKey, at int64) {
		if was, ok := earlier[key]; !ok || at < was {
			earlier[key] = at
		}
	}
	for _, op := range history {
		in, answer := op.Input.(orderIn), op.Output.(orderOut)
		switch {
		case in.look:
		case answer.outcome == unclear:
			note(keyOf(in), op.Call)
		case answer.outcome == acknowledged:
			note(keyOf(in), op.Return)
		default:
			key := keyOf(in)
			refusedLast[key] = max(refusedLast[key], op.Call)
		}
	}
	out := slices.Clone(history)
	for i, op := range out {
		if in := op.Input.(orderIn); !in.look && op.Output.(orderOut).outcome == unclear {
			out[i].Call = max(op.Call, refusedLast[keyOf(in)])
		}
	}
	return slices.DeleteFunc(out, func(op porcupine.Operation) bool {
		in, answer := op.Input.(orderIn), op.Output.(orderOut)
		return !in.look && answer.outcome == unclear && op.Call > max(earlier[keyOf(in)], refusedLast[keyOf(in)])
	})
}

// orderKey names one order, whoever sends it and how often.
type orderKey struct{ object, id string }

func keyOf(in orderIn) orderKey { return orderKey{in.object, in.id()} }

// withoutRepeats drops sendings that were acknowledged and began after the same order
// had been acknowledged before: in each order of events that one stands first, so the
// repeat finds the order known, which fits its answer and changes nothing.
func withoutRepeats(history []porcupine.Operation) []porcupine.Operation {
	taken := map[orderKey]int64{} // when the first acknowledgement had come
	repeat := func(op porcupine.Operation) bool {
		at, known := taken[keyOf(op.Input.(orderIn))]
		return known && op.Call > at
	}
	for _, op := range history {
		in := op.Input.(orderIn)
		if in.look || op.Output.(orderOut).outcome != acknowledged {
			continue
		}
		if at, known := taken[keyOf(in)]; !known || op.Return < at {
			taken[keyOf(in)] = op.Return
		}
	}
	return slices.DeleteFunc(slices.Clone(history), func(op porcupine.Operation) bool {
		in := op.Input.(orderIn)
		return !in.look && op.Output.(orderOut).outcome == acknowledged && repeat(op)
	})
}

// observation is what a look or a refusal tells of an object; either changes nothing.
type observation struct {
	orderKey // without an id for a look
	look     bool
	out      orderOut
}

// withoutImplied drops a look or a refusal where another that tells the same began no
// earlier and ended no later: where that one fits, this one fits right beside it.
func withoutImplied(history []porcupine.Operation) []porcupine.Operation {
	kept := map[observation][]porcupine.Operation{}
	byWindow := slices.Clone(history)
	slices.SortStableFunc(byWindow, func(a, b porcupine.Operation) int {
		return cmp.Compare(a.Return-a.Call, b.Return-b.Call)
	})
	return slices.DeleteFunc(byWindow, func(op porcupine.Operation) bool {
		in, out := op.Input.(orderIn), op.Output.(orderOut)
		if !in.look && out.outcome != refused {
			return false
		}
		what := observation{orderKey: orderKey{object: in.object}, look: in.look, out: out}
		if !in.look {
			what.orderKey = keyOf(in)
		}
		for _, other := range kept[what] {
			if op.Call <= other.Call && other.Return <= op.Return {
				return true
			}
		}
		kept[what] = append(kept[what], op)
		return false
	})
}

// closed adds to each object an event after all answers, from which on its state
// counts no more. A sending without a clear answer may have changed nothing, which
// the model then places there (orderState.step).
func closed(history []porcupine.Operation) []porcupine.Operation {
	last := map[string]int64{}
	for _, op := range history {
		object := op.Input.(orderIn).object
		last[object] = max(last[object], op.Call)
		if op.Output.(orderOut).outcome != unclear {
			last[object] = max(last[object], op.Return)
		}
	}
	for _, object := range sorted.Keys(last) {
		at := last[object]
		history = append(history, porcupine.Operation{Input: orderIn{object: object, closing: true}, Output: orderOut{}, Call: at + 1, Return: at + 2})
	}
	return history
}

// readsFirst has the search try sendings that change nothing before others. The
// sendings that begin between two answers may do so in any order: all of them began
// before the second answer and after the first, and only that is compared.
func readsFirst(history []porcupine.Operation) []porcupine.Operation {
	var answers []int64
	for _, op := range history {
		answers = append(answers, op.Return)
	}
	slices.Sort(answers)
	out := slices.Clone(history)
	for i, op := range out {
		next, _ := slices.BinarySearch(answers, op.Call)
		out[i].Call = int64(next)*rankSpan + rank(op)
		at, _ := slices.BinarySearch(answers, op.Return)
		out[i].Return = int64(at)*rankSpan + rankSpan - 1
	}
	return out
}

// rankSpan is the place for ranks between two answers.
const rankSpan = 8

// rank is when among sendings that may begin in any order one is tried.
func rank(op porcupine.Operation) int64 {
	in, out := op.Input.(orderIn), op.Output.(orderOut)
	switch {
	case in.look:
		return 0
	case out.outcome == refused:
		return 1
	case out.outcome == acknowledged:
		return 2
	}
	return 3
}
