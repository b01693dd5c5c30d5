// Package env is what the packages of the serving side share: the time, the outbox,
// sends and questions to the store (design 12.1). It owns none of their tables.
package env

import (
	"math/rand"
	"net/http"

	"fernlink/core/ask"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/inflight"
	"fernlink/core/invariant"
	"fernlink/core/ledger"
	"fernlink/core/resend"
	"fernlink/core/serve/policy"
)

// Env is one process's shared part. Now and Out are set anew each turn.
type Env struct {
	Now    flow.Time
	Out    *flow.Outbox
	Me     string // names this very start of the process
	Zone   string
	Asker  *ask.Asker
	Rand   *rand.Rand
	Codec  dialect.Codec
	IDs    func() uint64
	Counts map[string]int64
	Debug  bool             // trace notes are wanted; without it nothing of them is made
	Fresh  func() bool      // the view of the ledger is under a lease (design 5.2)
	ViewAt func() flow.Time // up to when that view has all that was committed

	Orders     *inflight.Orders // weight orders that may be on their way
	Invariants *invariant.Monitor
	Policies   policy.Set // the mechanisms that decide here

	sends map[uint64]func(flow.Back)
}

// Turn sets the moment and where what is wanted goes.
func (e *Env) Turn(now flow.Time, out *flow.Outbox) { e.Now, e.Out = now, out }

// Trace adds a note at the debug level. Callers look at Debug first, so that
// one that is off costs nothing.
func (e *Env) Trace(part, text string, args ...any) {
	flow.Debug.Note(e.Out, part, text, args...)
}

// Send starts a send; f hears all news of it, the last with End.
func (e *Env) Send(s flow.Send, f func(flow.Back)) uint64 {
	if e.sends == nil {
		e.sends = map[uint64]func(flow.Back){}
	}
	s.ID = e.IDs()
	e.sends[s.ID] = f
	e.Out.Sends = append(e.Out.Sends, s)
	return s.ID
}

// Cut ends a send; nothing more is heard of it.
func (e *Env) Cut(id uint64) {
	if _, ok := e.sends[id]; ok {
		delete(e.sends, id)
		e.Out.Cuts = append(e.Out.Cuts, id)
	}
}

// Back takes news of a send.
func (e *Env) Back(b flow.Back) {
	f := e.sends[b.ID]
	if f == nil {
		return
	}
	if b.End {
		delete(e.sends, b.ID)
	}
	f(b)
}

// notTaken are the statuses by which an engine says that it did not take an order.
var notTaken = []int{http.StatusBadRequest, resend.Misdirected, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Observe reads what a request's send has shown (design 7.4).
func (e *Env) Observe(b flow.Back) resend.Evidence {
	return resend.Protocol{Word: e.Codec.NotRun, Statuses: []int{resend.Misdirected}}.Observe(b)
}

// ObserveOrder reads what a weight order's send has shown.
func (e *Env) ObserveOrder(b flow.Back) resend.Evidence {
	return resend.Protocol{Word: e.Codec.NotRun, Statuses: notTaken}.Observe(b)
}

// Sends counts those that are under way.
func (e *Env) Sends() int { return len(e.sends) }

// Ask puts a question to the store's leader; f runs in a turn of its own.
func (e *Env) Ask(limit flow.Time, question ledger.Body, f func(ask.Answer)) {
	e.Asker.Ask(e.Now, limit, question, func(now flow.Time, a ask.Answer) {
		e.Now = now
		f(a)
	})
}
