// Package ask carries questions and commands to the store's leader (design 5.2). Each
// is tried again elsewhere until it is answered or its time is over. Every command is
// idempotent in the ledger, so a second try is safe. An Asker owns one node's open asks;
// core/node owns the one Asker, and core/disp, core/coord and core/serve ask by it.
package ask

import (
	"bytes"
	"strconv"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/sorted"
)

// Ask is a question to the leader; Told is its answer.
type Ask struct {
	ID   uint64          `json:"id"`
	Kind ledger.Kind     `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// The kinds of lines that carry asks. Those about leases go by a kind of their own,
// so that a node under load hears them before others (design 3.1).
const (
	Line      = "ask"
	LeaseLine = "lease"
)

func lineOf(kind ledger.Kind) string {
	if ofLeases[kind] {
		return LeaseLine
	}
	return Line
}

// Encode gives a question as JSON. Its body is valid JSON already, a lot as often as
// not, and is copied as it stands.
func (a Ask) Encode() (json.RawMessage, error) {
	head, err := json.Marshal(struct {
		ID   uint64      `json:"id"`
		Kind ledger.Kind `json:"kind"`
	}{a.ID, a.Kind})
	if err != nil {
		return nil, err
	}
	return flow.WithField(head, "body", a.Body), nil
}

// Decode reads a question. Where readsWhole says so of its kind, its body is taken as it
// stands, and whoever reads the body has to refuse one that is no single value.
func Decode(text json.RawMessage, readsWhole func(ledger.Kind) bool) (Ask, error) {
	if a, ok := split(text); ok && readsWhole(a.Kind) {
		return a, nil
	}
	var a Ask
	err := flow.Decode(text, &a)
	return a, err
}

// split takes a question apart as Encode wrote it.
func split(text json.RawMessage) (Ask, bool) {
	rest, isAsk := bytes.CutPrefix(text, []byte(`{"id":`))
	digits, rest, hasKind := bytes.Cut(rest, []byte(`,"kind":"`))
	kind, body, hasBody := bytes.Cut(rest, []byte(`","body":`))
	id, err := strconv.ParseUint(string(digits), 10, 64)
	if !isAsk || !hasKind || !hasBody || err != nil || len(body) < 2 || body[len(body)-1] != '}' {
		return Ask{}, false
	}
	return Ask{ID: id, Kind: ledger.Kind(kind), Body: json.RawMessage(body[:len(body)-1])}, true
}

// Told answers one Ask. Retry says to ask again, at Leader if that is known.
type Told struct {
	ID     uint64          `json:"id"`
	Retry  bool            `json:"retry,omitempty"`
	Leader string          `json:"leader,omitempty"`
	Code   ledger.Outcome  `json:"code"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Encode gives an answer as JSON. Its body is valid JSON already, a page of results
// as often as not, and is copied as it stands.
func (t Told) Encode() (json.RawMessage, error) {
	body := t.Body
	t.Body = nil
	head, err := json.Marshal(t)
	if err != nil || len(body) == 0 {
		return head, err
	}
	return flow.WithField(head, ToldBody, body), nil
}

// ToldBody is the last field of an encoded answer.
const ToldBody = "body"

// Answer is what comes back to the asker. It is ledger.Unanswered where the ask was
// given up: whether the command took effect is not known.
type Answer struct {
	Code ledger.Outcome
	Body json.RawMessage
	Sent flow.Time // when the answered try was sent
}

type open struct {
	line  string          // the kind of the line that carries it
	text  json.RawMessage // as it is sent, at each try
	done  func(flow.Time, Answer)
	limit flow.Time
	again flow.Time
	sent  flow.Time
	to    string // where the last try went
}

// perByte is what a large question may need on its way before it is asked again.
const perByte = budget.AskRetryInterval / (512 << 10)

// Carry is what a question of so many bytes may need on its way.
func Carry(bytes int) flow.Time { return flow.Time(bytes) * perByte }

// Asker holds one node's open asks.
type Asker struct {
	next   uint64
	open   map[uint64]*open
	leader string
	turn   int
}

// New starts an asker; base keeps the ids of two incarnations apart.
func New(base uint64) *Asker { return &Asker{next: base, open: map[uint64]*open{}} }

// Ask opens an ask.
func (a *Asker) Ask(now, limit flow.Time, question ledger.Body, done func(flow.Time, Answer)) {
	if own, ok := question.(ledger.SelfEncoded); ok {
		a.Put(now, limit, own.Kind(), own.Encode(), done)
		return
	}
	a.Put(now, limit, question.Kind(), question, done)
}

// uncarried are the refusals of questions that no store could read or keep.
var uncarried = map[error]ledger.Refusal{flow.ErrTooDeep: ledger.TooDeep, flow.ErrTooLarge: ledger.TooLarge}

// Put opens an ask whose kind is told apart from its body. A body that is a
// json.RawMessage was encoded by this program and is not read again. One that can't be
// carried is refused at once: it would reach nobody.
func (a *Asker) Put(now, limit flow.Time, kind ledger.Kind, body any, done func(flow.Time, Answer)) {
	text, err := encode(Ask{ID: a.next + 1, Kind: kind}, body)
	if err != nil {
		done(now, Answer{Code: ledger.Failed})
		return
	}
	if err := flow.CheckCarried(text); err != nil {
		done(now, Answer{Code: uncarried[err].Outcome, Body: uncarried[err].Result().Body})
		return
	}
	a.next++
	a.open[a.next] = &open{line: lineOf(kind), text: text, done: done, limit: now + limit, again: now, sent: -1}
}

func encode(question Ask, body any) (text json.RawMessage, err error) {
	encoded := false
	if question.Body, encoded = body.(json.RawMessage); !encoded {
		if question.Body, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	return question.Encode()
}

// Open counts the asks that wait for an answer.
func (a *Asker) Open() int { return len(a.open) }

// Take folds an answer. A try that was sent again counts from its first
// sending, since either may be the one answered. An answer that is heard after
// the ask's limit is none: it may have waited in a buffer while this process was
// frozen or cut off.
func (a *Asker) Take(now flow.Time, from string, t Told) {
	o := a.open[t.ID]
	if o == nil {
		return
	}
	if now >= o.limit {
		a.giveUp(now, t.ID)
		return
	}
	if t.Retry {
		if t.Leader != "" && t.Leader != a.leader {
			a.learn(now, t.Leader)
		} else {
			a.leader = ""
			o.again = min(o.again, now+budget.AskRetryInterval/8)
		}
		return
	}
	a.learn(now, from)
	delete(a.open, t.ID)
	o.done(now, Answer{t.Code, t.Body, o.sent})
}

// Asked is where the oldest open ask was last sent, "" where none is open.
func (a *Asker) Asked() string {
	for _, id := range sorted.Keys(a.open) {
		return a.open[id].to
	}
	return ""
}

// giveUp ends an ask whose outcome is not known.
func (a *Asker) giveUp(now flow.Time, id uint64) {
	o := a.open[id]
	delete(a.open, id)
	o.done(now, Answer{})
}

// learn takes somebody for the leader. What waits for another's answer is asked
// there at once: that other may be gone.
func (a *Asker) learn(now flow.Time, leader string) {
	if a.leader == leader {
		return
	}
	a.leader = leader
	for _, o := range a.open {
		if o.to != leader {
			o.again = now
		}
	}
}

// Advance sends what is due and gives up what is late.
func (a *Asker) Advance(now flow.Time, stores []string, out *flow.Outbox) {
	for _, id := range sorted.Keys(a.open) {
		o := a.open[id]
		if now >= o.limit {
			a.giveUp(now, id)
			continue
		}
		if now < o.again || len(stores) == 0 {
			continue
		}
		if o.to != "" && o.to == a.leader {
			a.leader = "" // it did not answer
		}
		to := a.leader
		if to == "" {
			a.turn++
			to = stores[a.turn%len(stores)]
		}
		if o.sent < 0 {
			o.sent = now
		}
		o.again, o.to = now+budget.AskRetryInterval+Carry(len(o.text)), to
		out.EncodedLine(to, o.line, o.text, nil)
	}
}
