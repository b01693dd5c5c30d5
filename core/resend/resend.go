// Package resend decides whether a call may be sent again, from what its sends have
// shown (design 7.4). It is the only place that does: callers' requests, steps, lots,
// weight orders, the judge and the platform's list all ask it. It holds no state but
// what a Call gathers, and does no I/O.
//
// A send leaves Evidence. Evidence tells the Fate of the call at its receiver, and
// Fate with the Kind of the call tells the Decision.
package resend

import (
	"net/http"
	"slices"

	"fernlink/core/flow"
)

// Evidence is what one send has shown.
type Evidence uint8

// The kinds of evidence.
const (
	Unsent        Evidence = iota // no byte left this process
	NotRun                        // the receiver says that it did not run the call
	WrongInstance                 // another instance has the address, and did not run it
	Silent                        // the time was over before a whole answer came
	Reset                         // the connection ended before any byte of an answer
	Incomplete                    // it ended within the answer
	Malformed                     // what came forms no answer
	Unnamed                       // an answer came that names no call
	Surplus                       // only answers to other calls came
	Promise                       // a status that promises that it did not run, without the word that proves it
	Failed                        // a whole answer by which the receiver says that it failed
	Answered                      // any other whole answer
)

// Evidences counts the kinds of evidence.
const Evidences = int(Answered) + 1

var evidenceNames = [Evidences]string{"unsent", "not run", "wrong instance", "silent", "reset", "incomplete", "malformed",
	"unnamed", "surplus", "promise", "failed", "answered"}

// String names the evidence in logs and tests.
func (e Evidence) String() string { return evidenceNames[e] }

// Fate is what became of a call at its receiver; a higher one outweighs a lower.
type Fate uint8

// The fates of a call.
const (
	DidNotRun Fate = iota
	MayHaveRun
	Ran
)

// Fate tells what the evidence proves. All that is not proven may have happened.
func (e Evidence) Fate() Fate {
	switch e {
	case Unsent, NotRun, WrongInstance:
		return DidNotRun
	case Failed, Answered:
		return Ran
	}
	return MayHaveRun
}

// Settled says that the call is not on its way any more: its receiver has answered it whole, or
// it never left. After all else it may still arrive.
func (e Evidence) Settled() bool {
	switch e {
	case Unsent, NotRun, WrongInstance, Promise, Failed, Answered:
		return true
	}
	return false
}

// Protocol is how a receiver says that it did not run a call.
type Protocol struct {
	Word     string // a header that says so, "" where there is none
	Statuses []int  // statuses that say so without that header
}

// Misdirected is the status of an instance that is not the one a call names.
const Misdirected = http.StatusMisdirectedRequest

// promises are the statuses that tell a caller that its request did not run.
var promises = []int{http.StatusRequestTimeout, Misdirected, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// failures maps what the transport reports to evidence.
var failures = map[flow.Failure]Evidence{
	flow.Unsent:     Unsent,
	flow.TimedOut:   Silent,
	flow.Reset:      Reset,
	flow.Incomplete: Incomplete,
	flow.Malformed:  Malformed,
	flow.Unnamed:    Unnamed,
	flow.Surplus:    Surplus,
}

// Observe reads the evidence from the end of a send.
func (p Protocol) Observe(b flow.Back) Evidence {
	if e, failed := failures[b.Failure]; failed {
		return e
	}
	if b.Failure != flow.None || b.Err != "" {
		return Reset // a failure without a name proves nothing
	}
	declined := slices.Contains(p.Statuses, b.Code) || p.Word != "" && flow.Get(b.Fields, p.Word) != ""
	switch {
	case declined && b.Code == Misdirected:
		return WrongInstance
	case declined:
		return NotRun
	case p.speaks() && slices.Contains(promises, b.Code):
		return Promise
	case b.Code >= http.StatusInternalServerError:
		return Failed
	}
	return Answered
}

// speaks says whether the protocol has any way to say that a call did not run.
func (p Protocol) speaks() bool { return p.Word != "" || len(p.Statuses) > 0 }

// Kind is what a call is, as far as its repetition goes.
type Kind uint8

// The kinds of calls.
const (
	RunOnce         Kind = iota // a request or stream that runs at most once
	Repeatable                  // a request that may run more than once
	ResumableStream             // a stream that another engine may go on with
	LotItem                     // an item of a lot: only its listing is once
	Generation                  // a text of a step: only its listing is once
	WeightOrder                 // an order under a fence, whose effect can be read
	Judgement                   // a text shown to the judge
	Read                        // the platform's list, a report: nothing changes
)

// Kinds counts the kinds of calls.
const Kinds = int(Read) + 1

var kindNames = [Kinds]string{"run once", "repeatable", "resumable stream", "lot item", "generation", "weight order", "judgement", "read"}

// String names the kind in logs and tests.
func (k Kind) String() string { return kindNames[k] }

// Decision is what to do after a send.
type Decision uint8

// The decisions. None but Resend allows another send of the same call.
const (
	Accept  Decision = iota // the answer is the call's own: it stands
	Resend                  // it may be sent again, within the bounds of its kind
	Confirm                 // its effect is read before it is sent again
	Unknown                 // it may have run and is never sent again
)

var decisionNames = [...]string{"accept", "resend", "confirm", "unknown"}

// String names the decision in logs and tests.
func (d Decision) String() string { return decisionNames[d] }

// Decide gives the decision after the only send of a call.
func Decide(k Kind, e Evidence) Decision {
	if e == Answered {
		return Accept
	}
	if e.Fate() == DidNotRun {
		return Resend
	}
	switch k {
	case RunOnce:
		if e == Failed {
			return Accept
		}
		return Unknown
	case WeightOrder:
		return Confirm
	}
	return Resend
}

// Call gathers what the sends of one call have shown.
type Call struct {
	Kind Kind
	fate Fate
}

// Saw takes the evidence of one more send and decides on the call. What may have run
// once is not sent again because a later send certainly did not run.
func (c *Call) Saw(e Evidence) Decision {
	c.fate = max(c.fate, e.Fate())
	d := Decide(c.Kind, e)
	if d == Resend && !c.MayResend() {
		return Unknown
	}
	return d
}

// MayResend says whether the call may be sent again after all that was seen.
func (c *Call) MayResend() bool { return c.Kind != RunOnce || c.fate == DidNotRun }

// DidNotRun says that the call certainly ran nowhere: only then may its caller be
// told that it was refused.
func (c *Call) DidNotRun() bool { return c.fate == DidNotRun }
