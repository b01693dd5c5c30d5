package ledger

import (
	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/docpatch"
	"fernlink/core/flow"
)

// Changes of the plan (design 6.3): they are agreed on, kept and told as what changed. Every
// patchesMost of them the document is kept whole, so that none builds on more than so many.

// patchesMost is how many changes may build on one whole document: half of what is kept.
const patchesMost = KeepPlans / 2

// PatchPlan changes named items of the plan that stands at version Read (design 6.3).
// Version and Request are as in PutPlan. Whoever proposes it has checked the plan that it
// makes. patchPlan applies it; TestAChangedPlanIsTheSameAsAWholeOne.
type PatchPlan struct {
	Version uint64          `json:"version,omitempty"`
	Read    uint64          `json:"read"`
	Request string          `json:"request"`
	Patch   json.RawMessage `json:"patch"` // a docpatch.Patch
}

// Kind names the command.
func (PatchPlan) Kind() Kind { return KindPlanPatch }

// asPut is the put that stands for a change where only its name matters.
func (p PatchPlan) asPut() PutPlan {
	return PutPlan{Version: p.Version, Read: p.Read, Request: p.Request, Doc: p.Patch}
}

// recallPlanPatch is recallPlan for a change as it came.
func (l *Ledger) recallPlanPatch(p PatchPlan) (Result, bool) {
	return l.recallPlan(p.asPut(), Hash(p.Patch))
}

// patchPlan takes a change if it was made from the plan in force. A repeat of one that was
// taken is told its version, as that of a whole plan is.
func (l *Ledger) patchPlan(p PatchPlan, c Command) Result {
	hash := Hash(p.Patch)
	if answer, done := l.recallPlan(p.asPut(), hash); done {
		return answer
	}
	var patch docpatch.Patch
	if json.Unmarshal(p.Patch, &patch) != nil || patch.Check() != nil {
		return badPlan.Result()
	}
	if p.Read == 0 {
		return planMoved.atVersion(l.Plan().Version)
	}
	next, why, refused := l.nextPlan(p.asPut(), hash, c)
	if refused {
		return why
	}
	next.Doc, next.Patch, next.Read, next.Base = nil, p.Patch, p.Read, l.baseOfPlan()
	if l.patchesOnBase() >= patchesMost {
		next.Doc, next.Base = patch.Apply(l.PlanDoc()), 0
		l.adoptPlan(next)
	} else {
		l.Plans, l.patched = append(l.Plans, next), nil
		l.put(DocItem, l.Index, next.Patch)
		l.prunePlans()
	}
	next.Doc, next.Patch = nil, nil
	return good(next)
}

// baseOfPlan is the plan whose document is whole and on which the one in force builds.
func (l *Ledger) baseOfPlan() uint64 {
	now := l.Plan()
	if now.Base != 0 {
		return now.Base
	}
	return now.Mod
}

// patchesOnBase counts the changes since the newest whole document.
func (l *Ledger) patchesOnBase() (n int) {
	for at := len(l.Plans) - 1; at >= 0 && l.Plans[at].Base != 0; at-- {
		n++
	}
	return n
}

// PlanDoc is the whole document of the plan in force, nil where there is none. It is made
// when it is first asked for after a change.
func (l *Ledger) PlanDoc() json.RawMessage {
	at := len(l.Plans) - 1 - l.patchesOnBase()
	if at < 0 {
		return nil
	}
	if at == len(l.Plans)-1 {
		return l.Plans[at].Doc
	}
	if l.patched == nil {
		l.patched = patched(l.Plans[at].Doc, l.patchesAfter(at))
	}
	return l.patched
}

func (l *Ledger) patchesAfter(at int) (patches []json.RawMessage) {
	for _, p := range l.Plans[at+1:] {
		patches = append(patches, p.Patch)
	}
	return patches
}

// patched applies changes that were checked when they were taken.
func patched(doc json.RawMessage, patches []json.RawMessage) json.RawMessage {
	for _, text := range patches {
		var patch docpatch.Patch
		if json.Unmarshal(text, &patch) == nil {
			doc = patch.Apply(doc)
		}
	}
	return doc
}

// planSince adds to a delta how the plan has changed after an index: by its changes where
// all of them are at hand, else whole.
func (l *Ledger) planSince(have uint64, d *Delta) {
	now := l.Plan()
	if now.Version == 0 || now.Mod <= have {
		return
	}
	for at := len(l.Plans) - 1; at >= 0; at-- {
		if l.Plans[at].Mod <= have {
			for _, p := range l.Plans[at+1:] {
				p.Doc = nil
				d.Changes = append(d.Changes, p)
			}
			return
		}
		if l.Plans[at].Patch == nil {
			break
		}
	}
	now.Doc, now.Patch = l.PlanDoc(), nil
	d.Plan = &now
}

// planRefs names what lies on the blob store of a plan's document: the whole one that it
// builds on, then the changes up to it.
func (l *Ledger) planRefs(at int) []flow.Ref {
	from := at
	for from > 0 && l.Plans[from].Base != 0 {
		from--
	}
	var refs []flow.Ref
	for _, p := range l.Plans[from : at+1] {
		refs = append(refs, flow.Ref{Kind: DocItem, ID: p.Mod})
	}
	return refs
}

// planAt answers with a kept plan and its whole document.
func (l *Ledger) planAt(at int) Result {
	p := l.Plans[at]
	p.Patch = nil
	return Result{Code: Accepted, Need: l.planRefs(at), With: func(items [][]byte) Result {
		patches := make([]json.RawMessage, 0, len(items))
		for _, item := range items[1:] {
			patches = append(patches, item)
		}
		p.Doc = patched(items[0], patches)
		return good(p)
	}}
}

// loadPlan reads the document of the plan in force, and the changes that it builds on.
func (l *Ledger) loadPlan(_ snapshot, items map[flow.Ref][]byte) error {
	if len(l.Plans) == 0 {
		return nil
	}
	refs := l.planRefs(len(l.Plans) - 1)
	from := len(l.Plans) - len(refs)
	for i, ref := range refs {
		text := items[ref]
		if text == nil {
			return errors.Wrap(ErrSnapshot, "the plan's document is missing")
		}
		if i == 0 {
			l.Plans[from].Doc = text
		} else {
			l.Plans[from+i].Patch = text
		}
	}
	return nil
}
