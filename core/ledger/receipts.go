// Receipts: an order that was acknowledged is known when it is sent again, also
// after later orders, and then changes nothing (design 4.7).

package ledger

import (
	"strconv"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ledger/keys"
	"fernlink/core/sorted"
)

// ReceiptItem is a page of receipts on the blob store.
const ReceiptItem = "receipt"

// orderKind is what an order is about. Names of different kinds never clash.
type orderKind string

const (
	planVersion    orderKind = "plan version"
	planRequest    orderKind = "plan request"
	weightsVersion orderKind = "weights version"
	namedRequest   orderKind = "request"
	lotOrder       orderKind = "lot"
)

// orderID is how an order is told from all others. A repeat has the same kind,
// name and content; the same name with other content is another order, which is
// refused.
type orderID struct {
	kind    orderKind
	name    string
	content string
}

func (o orderID) key() [16]byte { return keys.Name(string(o.kind), o.name) }

// recollection is what the receipts say of an order.
type recollection int

const (
	firstTime recollection = iota
	repeated               // it was acknowledged
	changed                // another order was acknowledged under its name
)

// OrderCounts counts the repeats that this process has applied. It is no part of
// the replicated state.
type OrderCounts struct {
	Repeated int // acknowledged again
	Changed  int // refused: other content under a known name
}

// recall looks an order up. The number is what was recorded with its receipt.
func (l *Ledger) recall(o orderID) (recollection, uint64) {
	row, ok := l.Receipts.Find(o.key())
	if !ok {
		return firstTime, 0
	}
	r := l.Receipts.Row(row)
	if r.Hash != keys.Short(o.content) {
		l.OrderCounts.Changed++
		return changed, r.Item
	}
	l.OrderCounts.Repeated++
	return repeated, r.Item
}

// receiptsOf counts the receipts of an order that is known by its version, and by
// its request id where it has one.
func receiptsOf(request string) int {
	if request == "" {
		return 1
	}
	return 2
}

// roomForReceipts drops receipts that are old enough and says whether so many
// more have room. None is dropped early.
func (l *Ledger) roomForReceipts(now int64, more int) bool {
	for l.Receipts.Len()+more > l.Bounds.Keys {
		page, _, ok := l.Receipts.Expire(stamp(now), stamp(l.Bounds.KeyAge))
		if !ok {
			return false
		}
		l.drop(ReceiptItem, page)
	}
	return true
}

// acknowledge records an order that was taken, with a number that its repeats are
// answered by. Its name must not be known.
func (l *Ledger) acknowledge(o orderID, now int64, number uint64) {
	l.Receipts.Add(keys.Row{Key: o.key(), Hash: keys.Short(o.content), Item: number, At: stamp(now), State: keys.Done})
}

// acknowledgeOnce is acknowledge for an order that may be known by this name.
func (l *Ledger) acknowledgeOnce(o orderID, now int64, number uint64) {
	if _, known := l.Receipts.Find(o.key()); !known {
		l.acknowledge(o, now, number)
	}
}

// seedReceipts makes the receipts of what a snapshot without any still holds.
func (l *Ledger) seedReceipts() {
	for _, p := range l.Plans {
		l.acknowledgeOnce(planVersionID(p.Version, p.Hash), p.At, p.Version)
		if p.Request != "" {
			l.acknowledgeOnce(planRequestID(p.Request, p.Hash), p.At, p.Version)
		}
	}
	for _, pool := range sorted.Keys(l.Targets) {
		t := l.Targets[pool]
		l.acknowledgeOnce(weightsVersionID(t.Pool, t.Revision), l.Clock, 0)
	}
	for _, id := range sorted.Keys(l.Lots) {
		t := l.Lots[id]
		l.acknowledgeOnce(lotID(t.Doc.ID, t.Hash), l.Clock, uint64(len(t.IDs)))
	}
}

func planVersionID(version uint64, docHash string) orderID {
	return orderID{planVersion, strconv.FormatUint(version, 10), docHash}
}

func planRequestID(request, docHash string) orderID {
	return orderID{planRequest, request, docHash}
}

func weightsVersionID(pool string, revision int) orderID {
	return orderID{weightsVersion, pool + "\x00" + strconv.Itoa(revision), ""}
}

func lotID(id, content string) orderID { return orderID{lotOrder, id, content} }

// requestID names an order by its caller's own id. What the order says is its
// content, whatever it is about: one id stands for one order.
func requestID(request string, order any) orderID {
	return orderID{namedRequest, request, string(raw(order))}
}

// KnownOrder asks whether an order was acknowledged, without giving it (design 4.7).
// Whoever would refuse an order before it reaches the ledger asks this first.
// Its test is sim's TestRepeatsAreNotRefusedBeforehand.
type KnownOrder struct {
	Order Kind            `json:"kind"`
	Body  json.RawMessage `json:"body"`
}

// Kind names the question.
func (KnownOrder) Kind() Kind { return KindOrderKnown }

// IsKnown makes the question about an order.
func IsKnown(order Body) KnownOrder { return KnownOrder{Order: order.Kind(), Body: encodeBody(order)} }

// knownOrders answer for the kinds of orders that may be refused elsewhere.
var knownOrders = map[Kind]func(*Ledger, json.RawMessage) (Result, bool){
	KindPlanPatch: recalled((*Ledger).recallPlanPatch),
	KindStepOpen:  (*Ledger).knownStep,
	KindTargetPut: recalled((*Ledger).recallTarget),
	KindDrainPut:  recalled((*Ledger).recallDrain),
}

// recalls answer for the kinds of orders that are sent again until they are
// acknowledged, by what an order of the same text would be answered. Lots have a
// way of their own (lot_name.go), which reads nothing of their requests.
var recalls = map[Kind]func(*Ledger, json.RawMessage) (Result, bool){
	KindPlanPut:   recalled((*Ledger).recallPlanPut),
	KindPlanPatch: recalled((*Ledger).recallPlanPatch),
	KindTargetPut: recalled((*Ledger).recallTarget),
}

// Recalls says whether Known answers for a kind of order.
func Recalls(kind Kind) bool { return recalls[kind] != nil }

// Known answers an order that was taken before as its repeat would be answered. It
// changes nothing (design 4.7). Its test is core/store's
// TestAnAcknowledgedOrderIsProvedAndNotWritten.
func (l *Ledger) Known(kind Kind, body json.RawMessage) (Result, bool) {
	return recalls[kind](l, body)
}

// recalled decodes an order, as far as it parses, and looks it up.
func recalled[Order Body](recall func(*Ledger, Order) (Result, bool)) func(*Ledger, json.RawMessage) (Result, bool) {
	return func(l *Ledger, body json.RawMessage) (Result, bool) {
		var order Order
		_ = json.Unmarshal(body, &order)
		return recall(l, order)
	}
}

func (l *Ledger) knownOrder(q KnownOrder) Result {
	answer, asked := knownOrders[q.Order]
	if !asked {
		return badQuestion.Result()
	}
	if known, is := answer(l, q.Body); is {
		return known
	}
	return unknownOrder.Result()
}
