// Package policy names the mechanisms by which the serving side decides (design 12.11). Each
// can be left out by `fernlink serve --without`, so that a measurement can tell what it is
// worth (scripts/ablate); no plan and no setting of a deployment does so. The package keeps
// no state, and core/serve and its packages ask Set.On where they decide.
package policy

import (
	"slices"

	"github.com/pkg/errors"
)

// Name is one mechanism, as it stands on the command line and in tables of results.
type Name string

// The mechanisms. Each comment says what is done without it.
const (
	// GroupAffinity: items go to the engine with the most room, wherever their group's
	// prompt was read.
	GroupAffinity Name = "group-affinity"
	// PrefixIndex: a lot's new owner does not ask which engines hold its prompts.
	PrefixIndex Name = "prefix-index"
	// SecondRuns: an item that hangs or lags behind has no second run.
	SecondRuns Name = "second-runs"
	// ResumedTexts: a text that broke off is made again from its beginning.
	ResumedTexts Name = "resumed-texts"
	// CarriedTexts: texts of a lot that has ended are not kept for a later one.
	CarriedTexts Name = "carried-texts"
	// KeptTexts: texts that wait for their scores are not kept for a later owner.
	KeptTexts Name = "kept-texts"
	// SharedOwner: each node runs the lots that it takes.
	SharedOwner Name = "shared-owner"
	// SlotSpread: lots use all slots of engines, whatever they need.
	SlotSpread Name = "slot-spread"
	// EngineRest: engines are used at once again after failures.
	EngineRest Name = "engine-rest"
	// EarlyRefusal: requests that no engine can take wait until their time is over.
	EarlyRefusal Name = "early-refusal"
	// Hedging: a slow engine's request goes to no second one.
	Hedging Name = "hedging"
	// ToldLoad: what engines tell of their load is not heeded.
	ToldLoad Name = "told-load"
	// CallersSlots: reward calls fill engines.
	CallersSlots Name = "callers-slots"
)

// Names are all mechanisms.
var Names = []Name{GroupAffinity, PrefixIndex, SecondRuns, ResumedTexts, CarriedTexts, KeptTexts, SharedOwner, SlotSpread,
	EngineRest, EarlyRefusal, Hedging, ToldLoad, CallersSlots}

// ErrUnknown says that a name is none of Names.
var ErrUnknown = errors.New("policy: no such mechanism")

// Set is the mechanisms that are left out; none in its zero value.
type Set struct{ out []Name }

// Without leaves mechanisms out. It gives ErrUnknown for a name that is none.
func Without(names []string) (Set, error) {
	var set Set
	for _, name := range names {
		if !slices.Contains(Names, Name(name)) {
			return Set{}, errors.Wrapf(ErrUnknown, "%q", name)
		}
		set.out = append(set.out, Name(name))
	}
	return set, nil
}

// On says whether a mechanism is at work.
func (s Set) On(name Name) bool { return !slices.Contains(s.out, name) }
