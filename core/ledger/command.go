package ledger

import (
	"bytes"
	"strconv"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Kind names a command of the log, or a question. The names stand in logs and in
// the lines between nodes, and never change.
type Kind string

// The commands of the log. Each has a type of its name for its body, whose comment
// says where it is applied and tested.
const (
	KindPlanPut    Kind = "plan.put"    // PutPlan
	KindPlanPatch  Kind = "plan.patch"  // PatchPlan
	KindStepOpen   Kind = "step.open"   // OpenStep
	KindStepEnd    Kind = "step.end"    // EndStep
	KindResultAdd  Kind = "result.add"  // AddEntry
	KindClaimTake  Kind = "claim.take"  // TakeClaim
	KindClaimDone  Kind = "claim.done"  // DoneClaim
	KindClaimLost  Kind = "claim.lost"  // LostClaim
	KindBoundsPut  Kind = "bounds.put"  // PutBounds
	KindCoordGrant Kind = "coord.grant" // GrantCoord
	KindOrderPut   Kind = "order.put"   // PutOrder
	KindOrderState Kind = "order.state" // StateOrder
	KindTargetPut  Kind = "target.put"  // PutTarget
	KindDrainPut   Kind = "drain.put"   // PutDrain
	KindLotPut     Kind = "lot.put"     // PutLot
	KindLotPart    Kind = "lot.part"    // LotPart
	KindLotList    Kind = "lot.list"    // ListLot
	KindLotEnd     Kind = "lot.end"     // EndLot
	KindLotOwn     Kind = "lot.own"     // OwnLot
)

// commands has all commands, by the kinds of their bodies.
var commands = commandTable(
	strict((*Ledger).putPlan, badPlan),
	strict((*Ledger).patchPlan, badPlan),
	strict((*Ledger).openStep, badStep),
	lenient((*Ledger).endStep),
	strict((*Ledger).addEntry, badEntry),
	strict((*Ledger).takeClaim, badClaim),
	strict((*Ledger).doneClaim, badClaim),
	lenient((*Ledger).lostClaim),
	strict((*Ledger).putBounds, badBounds),
	lenient((*Ledger).grantCoord),
	lenient((*Ledger).putOrder),
	lenient((*Ledger).stateOrder),
	lenient((*Ledger).putTarget),
	lenient((*Ledger).putDrain),
	bulk((*Ledger).putLot, badLot).onLots(),
	bulk((*Ledger).putLotPart, badLot).onLots(),
	bulkAs(KindLotList, decodeListing, (*Ledger).listLot, badLotResults).onLots(),
	lenient((*Ledger).endLot).onLots(),
	lenient((*Ledger).ownLot).onLots(),
)

// Body is the body of a command or a question.
type Body interface{ Kind() Kind }

// Command is one change asked of the ledger. At is the ledger's own time in
// milliseconds (design 4.7), stamped once, so that every member sees the same.
type Command struct {
	Kind Kind            `json:"kind"`
	At   int64           `json:"at"`
	Body json.RawMessage `json:"body"`
}

// Encode gives a command as it stands in the log. Its body is valid JSON already, and
// is copied as it stands.
func (c Command) Encode() json.RawMessage {
	head := raw(struct {
		Kind Kind  `json:"kind"`
		At   int64 `json:"at"`
	}{c.Kind, c.At})
	return flow.WithField(head, "body", c.Body)
}

// NewCommand makes a command of a body.
func NewCommand(at int64, body Body) Command {
	return Command{Kind: body.Kind(), At: at, Body: encodeBody(body)}
}

// SelfEncoded is a body that encodes itself: its fields alone do not say how.
type SelfEncoded interface {
	Body
	Encode() json.RawMessage
}

func encodeBody(body Body) json.RawMessage {
	if own, ok := body.(SelfEncoded); ok {
		return own.Encode()
	}
	return raw(body)
}

// command is how one kind of command is decoded and applied.
type command struct {
	kind  Kind
	apply func(*Ledger, Command) Result
	bulk  bool // its function reads the whole body and refuses one that is not a single value
}

func commandTable(all ...command) map[Kind]command {
	table := map[Kind]command{}
	for _, c := range all {
		table[c.kind] = c
	}
	return table
}

// strict is a command that is refused where its body does not parse.
func strict[B Body](apply func(*Ledger, B, Command) Result, bad Refusal) command {
	var body B
	return command{kind: body.Kind(), apply: func(l *Ledger, c Command) Result {
		var body B
		if json.Unmarshal(c.Body, &body) != nil {
			return bad.Result()
		}
		return apply(l, body, c)
	}}
}

// bulk is a command whose body is large: it is read in one pass, and refused where it
// does not parse.
func bulk[B Body](apply func(*Ledger, B, Command) Result, bad Refusal) command {
	var body B
	return command{kind: body.Kind(), bulk: true, apply: func(l *Ledger, c Command) Result {
		var body B
		if flow.Decode(c.Body, &body) != nil {
			return bad.Result()
		}
		return apply(l, body, c)
	}}
}

// bulkAs is a command of bulk whose body is decoded by a function of its own.
func bulkAs[B any](kind Kind, decode func(json.RawMessage) (B, error), apply func(*Ledger, B, Command) Result, bad Refusal) command {
	return command{kind: kind, bulk: true, apply: func(l *Ledger, c Command) Result {
		body, err := decode(c.Body)
		if err != nil {
			return bad.Result()
		}
		return apply(l, body, c)
	}}
}

// lenient is a command whose body is taken as far as it parses. Earlier builds
// applied it so, and every build must come to the same state.
func lenient[B Body](apply func(*Ledger, B, Command) Result) command {
	var body B
	return command{kind: body.Kind(), apply: func(l *Ledger, c Command) Result {
		var body B
		_ = json.Unmarshal(c.Body, &body)
		return apply(l, body, c)
	}}
}

// onLots retires the lots whose time is over before the command is looked at.
func (x command) onLots() command {
	apply := x.apply
	x.apply = func(l *Ledger, c Command) Result {
		l.retireLots()
		return apply(l, c)
	}
	return x
}

// Knows says whether a command kind exists.
func Knows(kind Kind) bool { _, ok := commands[kind]; return ok }

// Apply folds one committed command.
func (l *Ledger) Apply(index uint64, data json.RawMessage) Result {
	l.Index = index
	c, err := decodeCommand(data)
	if err != nil {
		return badCommand.Result()
	}
	known, ok := commands[c.Kind]
	if !ok {
		return unknownCommand.Result()
	}
	l.Clock, l.Last = max(l.Clock, c.At), c.Kind
	c.At = l.Clock
	return known.apply(l, c)
}

// ReadsWholeBody says whether a command's body need not be read through to find where
// it ends.
func ReadsWholeBody(kind Kind) bool { return commands[kind].bulk }

// decodeCommand reads a command. Those of bulk are taken apart where they were written
// by Encode; nothing else writes them into the log.
func decodeCommand(data json.RawMessage) (Command, error) {
	if c, ok := splitCommand(data); ok {
		return c, nil
	}
	var c Command
	err := json.Unmarshal(data, &c)
	return c, err
}

// splitCommand takes a command of bulk apart as Encode wrote it.
func splitCommand(data json.RawMessage) (Command, bool) {
	rest, isCommand := bytes.CutPrefix(data, []byte(`{"kind":"`))
	kind, rest, hasTime := bytes.Cut(rest, []byte(`","at":`))
	if !isCommand || !hasTime || !ReadsWholeBody(Kind(kind)) {
		return Command{}, false
	}
	digits, body, hasBody := bytes.Cut(rest, []byte(`,"body":`))
	at, err := strconv.ParseInt(string(digits), 10, 64)
	if !hasBody || err != nil || len(body) < 2 || body[len(body)-1] != '}' {
		return Command{}, false
	}
	return Command{Kind: Kind(kind), At: at, Body: json.RawMessage(body[:len(body)-1])}, true
}
