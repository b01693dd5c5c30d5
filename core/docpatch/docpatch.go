// Package docpatch changes named items of the lists of a JSON document (design 6.3), so that
// a change of a large document can be agreed on and told as what changed. It knows nothing
// of what a document means. core/ledger applies patches to the plan, core/disp checks them
// and shows what they name to api, which applies the same patch to a plan in memory.
package docpatch

import (
	"bytes"

	jsonv2 "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"
)

// ErrPatch says that a patch does not make sense, whatever document it is for.
var ErrPatch = errors.New("docpatch: the patch does not make sense")

// Patch is what changes in a document. Fields are set first, then lists are changed, then
// texts, each in their order.
type Patch struct {
	Fields []Field `json:"fields,omitempty"`
	Lists  []List  `json:"lists,omitempty"`
	Texts  []Text  `json:"texts,omitempty"`
}

// Field replaces the value at a path of field names, or adds it.
type Field struct {
	Path  []string        `json:"path"`
	Value json.RawMessage `json:"value"`
}

// List changes items of the list at a path of field names. Name is the field by which an
// item is known.
type List struct {
	Path   []string          `json:"path"`
	Name   string            `json:"name"`
	Upsert []json.RawMessage `json:"upsert,omitempty"` // each replaces the item of its name, or goes to the end
	Remove []string          `json:"remove,omitempty"` // names that are not there are passed over
}

// Text changes a document that stands at a path of field names as a text. Both it and its
// patch are texts, so that the layers that carry them never read them: however deep they
// are nested, they nest what they stand in no deeper.
type Text struct {
	Path  []string `json:"path"`
	Patch string   `json:"patch"` // a Patch as JSON
}

// Check gives ErrPatch where an item has no name, or a name stands twice in one list.
func (p Patch) Check() error {
	for _, list := range p.Lists {
		seen := map[string]bool{}
		names, err := namesOf(list.Upsert, list.Name)
		if err != nil {
			return err
		}
		for _, name := range append(names, list.Remove...) {
			if seen[name] {
				return errors.Wrapf(ErrPatch, "%q is named twice", name)
			}
			seen[name] = true
		}
	}
	for _, text := range p.Texts {
		inner, err := text.inner()
		if err != nil {
			return err
		}
		if err := inner.Check(); err != nil {
			return err
		}
	}
	return nil
}

// inner reads the patch of a text.
func (t Text) inner() (patch Patch, err error) {
	if err := json.Unmarshal([]byte(t.Patch), &patch); err != nil {
		return patch, errors.Wrap(ErrPatch, err.Error())
	}
	return patch, nil
}

// apply gives the document after the change, as a text where it was one.
func (t Text) apply(document json.RawMessage) json.RawMessage {
	patch, err := t.inner()
	if err != nil {
		return document // Check refuses it
	}
	text, isText := TextOf(document)
	if !isText {
		return patch.Apply(document)
	}
	encoded, _ := json.Marshal(string(patch.Apply(text))) // a text always marshals
	return encoded
}

// TextOf gives the document that a JSON text holds, and whether it is a text.
func TextOf(value []byte) (document []byte, isText bool) {
	var text string
	if len(value) == 0 || value[0] != '"' || json.Unmarshal(value, &text) != nil {
		return nil, false
	}
	return []byte(text), true
}

// Apply gives the document as it is after the patch. What stands at a path and is no object
// or list, as the path wants it, counts as if it were not there; all that the patch does not
// name is copied as it stands. document must be valid JSON.
func (p Patch) Apply(document json.RawMessage) json.RawMessage {
	for _, field := range p.Fields {
		document = at(document, field.Path, func(json.RawMessage) json.RawMessage { return field.Value })
	}
	for _, list := range p.Lists {
		document = at(document, list.Path, list.apply)
	}
	for _, text := range p.Texts {
		document = at(document, text.Path, text.apply)
	}
	return document
}

// at changes the value at a path. A value that is not there is changed as nil. Of a name that
// stands several times the last counts, as for whoever reads the document whole.
func at(document json.RawMessage, path []string, change func(json.RawMessage) json.RawMessage) json.RawMessage {
	if len(path) == 0 {
		return change(document)
	}
	members := membersOf(document)
	place := -1
	for i, m := range members {
		if m.name == path[0] {
			place = i
		}
	}
	if place < 0 {
		place = len(members)
		name, _ := json.Marshal(path[0]) // a text always marshals
		members = append(members, member{name: path[0], text: name})
	}
	members[place].value = at(members[place].value, path[1:], change)
	return join(members)
}

// member is one field of an object. Its text is its name as it stands there.
type member struct {
	name  string
	text  []byte
	value json.RawMessage
}

// asItStands are the rules by which a document is taken apart: whatever a reader of the whole
// takes stands in it, also names that stand twice and texts that are no sound Unicode.
var asItStands = jsonv2.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))

// membersOf takes an object apart, in its order. What is no object has no members.
func membersOf(object json.RawMessage) []member {
	in := jsontext.NewDecoder(bytes.NewReader(object), asItStands)
	if token, err := in.ReadToken(); err != nil || token.Kind() != '{' {
		return nil
	}
	var members []member
	for in.PeekKind() == '"' {
		text, err := in.ReadValue()
		if err != nil {
			return members
		}
		m := member{text: bytes.Clone(text)}
		_ = json.Unmarshal(text, &m.name) // it was read as a text
		value, err := in.ReadValue()
		if err != nil {
			return members
		}
		m.value = json.RawMessage(value.Clone())
		members = append(members, m)
	}
	return members
}

// join writes an object of its members.
func join(members []member) json.RawMessage {
	size := 2
	for _, m := range members {
		size += len(m.text) + len(m.value) + 2
	}
	text := append(make([]byte, 0, size), '{')
	for i, m := range members {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(append(append(text, m.text...), ':'), m.value...)
	}
	return append(text, '}')
}

// apply gives a list after the change. An item without a name is like no other.
func (l List) apply(list json.RawMessage) json.RawMessage {
	var items []json.RawMessage
	if json.Unmarshal(list, &items) != nil {
		items = nil
	}
	names := make([]string, len(items))
	for i, item := range items {
		names[i], _ = nameOf(item, l.Name)
	}
	added := make([]string, len(l.Upsert))
	for i, item := range l.Upsert {
		added[i], _ = nameOf(item, l.Name)
	}
	items = Merge(items, names, l.Upsert, added, l.Remove)
	text := append(make([]byte, 0, len(list)), '[')
	for i, item := range items {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, item...)
	}
	return append(text, ']')
}

// Merge gives items after a change: those added replace the first item of their name or go
// to the end, in their order, and those removed are left out. names and addedNames have the
// name of each item and of each added one.
func Merge[Item any](items []Item, names []string, added []Item, addedNames, removed []string) []Item {
	gone := make(map[string]bool, len(removed))
	for _, name := range removed {
		gone[name] = true
	}
	replaced := make(map[string]int, len(added))
	for i, name := range addedNames {
		replaced[name] = i
	}
	out := make([]Item, 0, len(items)+len(added))
	for i, item := range items {
		at, again := replaced[names[i]]
		switch {
		case again && at >= 0:
			out = append(out, added[at])
			replaced[names[i]] = -1 // a second item of this name is dropped
		case !again && !gone[names[i]]:
			out = append(out, item)
		}
	}
	for i, name := range addedNames {
		if replaced[name] == i {
			out = append(out, added[i])
		}
	}
	return out
}

// namesOf reads the names of items.
func namesOf(items []json.RawMessage, field string) ([]string, error) {
	names := make([]string, 0, len(items))
	for _, item := range items {
		name, err := nameOf(item, field)
		if err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// nameOf reads the name of an item. Of several fields of that name the last counts.
func nameOf(item json.RawMessage, field string) (name string, err error) {
	in := jsontext.NewDecoder(bytes.NewBuffer(item), asItStands)
	if token, err := in.ReadToken(); err != nil || token.Kind() != '{' {
		return "", errors.Wrap(ErrPatch, "an item is no object")
	}
	isNamed := false
	for in.PeekKind() == '"' {
		token, err := in.ReadToken()
		if err != nil {
			break
		}
		if token.String() != field {
			if in.SkipValue() != nil {
				break
			}
			continue
		}
		if isNamed = in.PeekKind() == '"'; !isNamed {
			_ = in.SkipValue()
			continue
		}
		if token, err = in.ReadToken(); err != nil {
			break
		}
		name = token.String()
	}
	if !isNamed {
		return "", errors.Wrapf(ErrPatch, "an item has no %q", field)
	}
	return name, nil
}
