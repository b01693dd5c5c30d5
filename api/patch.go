package api

import (
	"slices"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/docpatch"
	"fernlink/core/ledger"
)

// PlanPatch changes named items of the plan that stands at version Read: those of Upsert
// replace the item of their name or are added, those of Remove are taken out. Source changes
// what the plan was made from, as docpatch has it, and SourceText says the same as a text,
// which may be nested as deep as can be read. Version is as in PlanPut.
type PlanPatch struct {
	Version uint64          `json:"version,omitempty"`
	Read    uint64          `json:"read"`
	Request string          `json:"request"`
	Upsert  ItemLists       `json:"upsert"`
	Remove  NameLists       `json:"remove"`
	Limits  json.RawMessage `json:"limits,omitempty"`
	Source  *docpatch.Patch `json:"source,omitempty"`

	SourceText string `json:"source_text,omitempty"`
}

// ItemLists are items of a plan's lists, each as it stands in the plan.
type ItemLists struct {
	Pools  []json.RawMessage `json:"pools,omitempty"`
	Routes []json.RawMessage `json:"routes,omitempty"`
}

// NameLists are names of items of a plan's lists.
type NameLists struct {
	Pools  []string `json:"pools,omitempty"`
	Routes []string `json:"routes,omitempty"`
}

// The fields of a plan that a patch changes.
const (
	poolsField  = "pools"
	routesField = "routes"
	limitsField = "limits"
	sourceField = "source"
	nameField   = "name"
)

// Document is the patch of the plan's document. What can't be meant is a fault.
func (p PlanPatch) Document() (docpatch.Patch, []ledger.Fault) {
	patch := docpatch.Patch{}
	for _, list := range []docpatch.List{
		{Path: []string{poolsField}, Name: nameField, Upsert: p.Upsert.Pools, Remove: p.Remove.Pools},
		{Path: []string{routesField}, Name: nameField, Upsert: p.Upsert.Routes, Remove: p.Remove.Routes},
	} {
		if len(list.Upsert)+len(list.Remove) > 0 {
			patch.Lists = append(patch.Lists, list)
		}
	}
	if len(p.Limits) > 0 {
		patch.Fields = append(patch.Fields, docpatch.Field{Path: []string{limitsField}, Value: p.Limits})
	}
	if p.Source != nil {
		for _, field := range p.Source.Fields {
			field.Path = slices.Concat([]string{sourceField}, field.Path)
			patch.Fields = append(patch.Fields, field)
		}
		for _, list := range p.Source.Lists {
			list.Path = slices.Concat([]string{sourceField}, list.Path)
			patch.Lists = append(patch.Lists, list)
		}
	}
	if p.SourceText != "" {
		patch.Texts = append(patch.Texts, docpatch.Text{Path: []string{sourceField}, Patch: p.SourceText})
	}
	if err := patch.Check(); err != nil {
		return patch, []ledger.Fault{{Text: err.Error()}}
	}
	return patch, nil
}

// Patched gives the plan as it is after a patch of its document. What the plan was made from
// is left out; nobody reads it from a plan in use. It fails where an item does not parse.
func (p *Plan) Patched(patch docpatch.Patch) (*Plan, error) {
	next := *p
	next.Source, next.byPath = nil, nil
	for _, field := range patch.Fields {
		if !slices.Equal(field.Path, []string{limitsField}) {
			continue
		}
		next.Limits = nil
		if err := json.Unmarshal(field.Value, &next.Limits); err != nil {
			return nil, err
		}
	}
	for _, list := range patch.Lists {
		var err error
		switch {
		case slices.Equal(list.Path, []string{poolsField}):
			next.Pools, err = merged(next.Pools, list, func(x Pool) string { return x.Name })
		case slices.Equal(list.Path, []string{routesField}):
			next.Routes, err = merged(next.Routes, list, func(x Route) string { return x.Name })
		}
		if err != nil {
			return nil, err
		}
	}
	next.Index()
	return &next, nil
}

// merged gives items of a plan after a change of their list.
func merged[Item any](items []Item, list docpatch.List, name func(Item) string) ([]Item, error) {
	added := make([]Item, len(list.Upsert))
	for i, text := range list.Upsert {
		if err := json.Unmarshal(text, &added[i]); err != nil {
			return nil, err
		}
	}
	names := func(items []Item) []string {
		out := make([]string, len(items))
		for i, item := range items {
			out[i] = name(item)
		}
		return out
	}
	return docpatch.Merge(items, names(items), added, names(added), list.Remove), nil
}

// Follow gives the newest plan of a view of the ledger, where version and plan are those
// known so far: whole, or by its changes. It gives false where nothing is new, or where the
// changes are of a plan that is not known here.
func Follow(version uint64, plan *Plan, whole *ledger.Plan, changes []ledger.Plan) (uint64, *Plan, bool) {
	if whole != nil {
		var next Plan
		if whole.Version <= version || json.Unmarshal(whole.Doc, &next) != nil {
			return version, plan, false
		}
		next.Source = nil
		next.Index()
		return whole.Version, &next, true
	}
	from := version
	for _, change := range changes {
		var patch docpatch.Patch
		if change.Version <= version {
			continue
		}
		if plan == nil || change.Read != version || json.Unmarshal(change.Patch, &patch) != nil {
			return version, plan, false
		}
		next, err := plan.Patched(patch)
		if err != nil {
			return version, plan, false
		}
		version, plan = change.Version, next
	}
	return version, plan, version > from
}

// Behind says whether changes are of a plan that is not known at this version.
func Behind(version uint64, changes []ledger.Plan) bool {
	for _, change := range changes {
		if change.Version > version {
			return true
		}
	}
	return false
}
