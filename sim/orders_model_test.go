package sim

import (
	"slices"

	"github.com/anishathalye/porcupine"
)

// orderKind is what an order in a history is about.
type orderKind int

const (
	planKind orderKind = iota
	weightsKind
	drainKind
	lotKind
	lotEndKind
)

// orderIn is one sending of an order, or a look at what stands where look is set.
// Name and content tell the order from others: a repeat has both.
type orderIn struct {
	object  string // what it changes; objects are independent
	look    bool
	kind    orderKind
	name    string
	content string
	base    uint64 // of a plan: the version that it was made from
	number  uint64
	flag    bool // paused, or drained
	flagged bool // the order says what flag is to be
	place   int  // among the orders on the object (numbered)
	rivals  orderSet
	closing bool // no order: from here on nobody sees the object (closed)
}

// id is what the history remembers of an order that was taken.
func (in orderIn) id() string { return in.name + "=" + in.content + ";" }

// standing is what an object is at a moment.
type standing struct {
	exists bool
	number uint64
	name   string // of the plan in force
	flag   bool   // paused, drained or ended
}

type outcome string

const (
	acknowledged outcome = "acknowledged"
	refused      outcome = "refused"
	unclear      outcome = "unclear"
)

// orderOut is what came of it; of a look, what was seen to stand.
type orderOut struct {
	outcome outcome
	gone    bool // refused, as there is no such object
	seen    standing
}

// orderSet is a set of the orders on one object, by their place among them.
type orderSet [orderSetWords]uint64

const (
	orderSetWords = 8
	wordBits      = 64
)

func (s *orderSet) add(n int) { s[n/wordBits] |= 1 << (n % wordBits) }

func (s orderSet) has(n int) bool { return s[n/wordBits]&(1<<(n%wordBits)) != 0 }

func (s orderSet) meets(o orderSet) bool {
	for i := range s {
		if s[i]&o[i] != 0 {
			return true
		}
	}
	return false
}

// orderState is an object and the orders on it that were taken.
type orderState struct {
	now    standing
	taken  orderSet
	closed bool // nobody sees it any more
}

func (s orderState) knows(in orderIn) bool { return s.taken.has(in.place) }

// usedOtherwise says whether another order was taken under the same name.
func (s orderState) usedOtherwise(in orderIn) bool { return s.taken.meets(in.rivals) }

func (s orderState) with(in orderIn, now standing) orderState {
	s.taken.add(in.place)
	s.now = now
	return s
}

// numbered gives each order its place among those on its object, and the set of
// those that have its name and say something else.
func numbered(history []porcupine.Operation) []porcupine.Operation {
	orders := map[string][]orderIn{} // by object
	place := map[string]int{}
	for _, op := range history {
		in := op.Input.(orderIn)
		if _, known := place[in.object+" "+in.id()]; !in.look && !known {
			place[in.object+" "+in.id()] = len(orders[in.object])
			orders[in.object] = append(orders[in.object], in)
		}
	}
	out := slices.Clone(history)
	for i, op := range out {
		in := op.Input.(orderIn)
		in.place, in.rivals = place[in.object+" "+in.id()], orderSet{}
		for n, other := range orders[in.object] {
			if !in.look && other.name == in.name && other.content != in.content {
				in.rivals.add(n)
			}
		}
		out[i].Input = in
	}
	return out
}

// effect gives what an order that is not known makes of an object, or says that
// it must be refused.
func (s orderState) effect(in orderIn) (standing, bool) {
	next := s.now
	if s.usedOtherwise(in) {
		return next, false
	}
	switch in.kind {
	case planKind:
		return standing{exists: true, number: in.number, name: in.name + in.content}, in.base == s.now.number
	case weightsKind:
		if in.number > next.number {
			next.flag = false
		}
		next.number = max(next.number, in.number)
		if in.flagged {
			next.flag = in.flag
		}
		return next, in.number >= s.now.number
	case drainKind:
		next.flag = in.flag
	case lotKind:
		next.exists = true
	case lotEndKind:
		next.flag = true
		return next, s.now.exists
	}
	return next, true
}

// step says whether an answer fits a state, and which state follows.
func (s orderState) step(in orderIn, out orderOut) (bool, orderState) {
	switch {
	case in.closing:
		return true, orderState{closed: true}
	case s.closed:
		return true, s // a sending without an answer that changed nothing, or nothing that was seen
	case in.look:
		return out.seen == s.now, s
	}
	next, allowed := s.effect(in)
	takes := !s.knows(in) && allowed
	after := s
	if takes {
		after = s.with(in, next)
	}
	switch out.outcome {
	case acknowledged:
		return s.knows(in) || allowed, after
	case refused:
		// A dispatcher also refuses to drain the last ready engine, and knows no
		// engine that is gone.
		byDispatcher := in.kind == drainKind && (in.flag || out.gone)
		return !s.knows(in) && (!allowed || byDispatcher), s
	}
	return takes, after // it may have been taken; otherwise it stands after the closing
}

// ordersModel takes all orders together: each object by itself, since an order
// changes one.
var ordersModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		var objects []string
		for _, op := range history {
			object := op.Input.(orderIn).object
			if by[object] == nil {
				objects = append(objects, object)
			}
			by[object] = append(by[object], op)
		}
		var parts [][]porcupine.Operation
		for _, object := range objects {
			parts = append(parts, by[object])
		}
		return parts
	},
	Init: func() any { return orderState{} },
	Step: func(state, input, output any) (bool, any) {
		return state.(orderState).step(input.(orderIn), output.(orderOut))
	},
	Equal: func(a, b any) bool { return a == b },
}
