package resend

import (
	"testing"

	"fernlink/core/flow"
)

// platform is a protocol with a word and a status of its own.
var platform = Protocol{Word: "Not-Run", Statuses: []int{Misdirected}}

// fates is what each evidence proves.
var fates = [Evidences]Fate{
	Unsent: DidNotRun, NotRun: DidNotRun, WrongInstance: DidNotRun,
	Silent: MayHaveRun, Reset: MayHaveRun, Incomplete: MayHaveRun, Malformed: MayHaveRun, Unnamed: MayHaveRun, Surplus: MayHaveRun, Promise: MayHaveRun,
	Failed: Ran, Answered: Ran,
}

// Given each kind of evidence, when its fate is asked, then only what is proven is told.
func TestFates(t *testing.T) {
	for i, want := range fates {
		if e := Evidence(i); e.Fate() != want {
			t.Errorf("%s: %d, want %d", e, e.Fate(), want)
		}
	}
}

// The rows of the table of decisions, in the order of the evidence: unsent, not run,
// wrong instance, silent, reset, incomplete, malformed, unnamed, surplus, promise, failed, answered.
var decisions = [Kinds][Evidences]Decision{
	RunOnce:         {Resend, Resend, Resend, Unknown, Unknown, Unknown, Unknown, Unknown, Unknown, Unknown, Accept, Accept},
	Repeatable:      {Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Accept},
	ResumableStream: {Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Accept},
	LotItem:         {Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Accept},
	Generation:      {Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Accept},
	WeightOrder:     {Resend, Resend, Resend, Confirm, Confirm, Confirm, Confirm, Confirm, Confirm, Confirm, Confirm, Accept},
	Judgement:       {Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Accept},
	Read:            {Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Resend, Accept},
}

// Given each kind of call and each evidence, when it is decided on, then the table
// stands, and a call that runs once is sent again only if it certainly did not run.
func TestDecisions(t *testing.T) {
	for k := range Kinds {
		for i := range Evidences {
			kind, e := Kind(k), Evidence(i)
			got := Decide(kind, e)
			if want := decisions[kind][e]; got != want {
				t.Errorf("%s, %s: %s, want %s", kind, e, got, want)
			}
			if call := (Call{Kind: kind}); call.Saw(e) != got {
				t.Errorf("%s, %s: a call's first send is decided otherwise", kind, e)
			}
			if kind == RunOnce && got == Resend && e.Fate() != DidNotRun {
				t.Errorf("%s is sent again after %s", kind, e)
			}
		}
	}
}

// Given each series of three sends of a call, when one of them may have run, then a call
// that runs once is never sent again, and its caller is never told that it did not run.
func TestDoubtIsNeverForgotten(t *testing.T) {
	for k := range Kinds {
		for i := range Evidences * Evidences * Evidences {
			series := []Evidence{Evidence(i % Evidences), Evidence(i / Evidences % Evidences), Evidence(i / Evidences / Evidences)}
			call, doubt := Call{Kind: Kind(k)}, false
			for _, e := range series {
				d := call.Saw(e)
				doubt = doubt || e.Fate() != DidNotRun
				if call.DidNotRun() == doubt {
					t.Fatalf("%s %s: did not run %v", call.Kind, series, call.DidNotRun())
				}
				if call.Kind == RunOnce && doubt && (d == Resend || call.MayResend()) {
					t.Fatalf("%s %s: %s", call.Kind, series, d)
				}
			}
		}
	}
}

// Given each failure of the transport and each status with and without the word, when
// it is observed, then only the word, the status agreed upon and an unsent call prove
// that it did not run.
func TestObserve(t *testing.T) {
	for failure := flow.None; failure <= flow.Surplus; failure++ {
		for code := 0; code < 600; code++ {
			for _, word := range []bool{false, true} {
				b := flow.Back{End: true, Code: code, Failure: failure}
				if word {
					b.Fields = []flow.Field{{Name: "Not-Run", Value: "1"}}
				}
				got := platform.Observe(b)
				proven := failure == flow.Unsent || failure == flow.None && (word || code == Misdirected)
				if (got.Fate() == DidNotRun) != proven {
					t.Fatalf("%d, failure %d, word %v: %s", code, failure, word, got)
				}
				if got == Answered && (failure != flow.None || code >= 500 || code == 408 || code == 429) {
					t.Fatalf("%d, failure %d, word %v: %s", code, failure, word, got)
				}
				if plain := (Protocol{}).Observe(b); plain.Fate() == DidNotRun && failure != flow.Unsent {
					t.Fatalf("%d, failure %d: a protocol without a word proves that it did not run", code, failure)
				}
			}
		}
	}
	if e := platform.Observe(flow.Back{Err: "of no kind"}); e.Fate() != MayHaveRun {
		t.Errorf("a failure without a kind: %s", e)
	}
}
