package ledger

import (
	"testing"

	"github.com/go-json-experiment/json/v1"
)

// Given bodies of hand-ins, when their names are read, then only a packed lot has one,
// whatever stands in its requests.
func TestNameOfLot(t *testing.T) {
	p := PackLot(largeLot("a <\"b\">"))
	if name, ok := NameOfLot(p.Encode()); !ok || name != (LotName{p.Doc.ID, p.Hash}) {
		t.Errorf("%+v %v", name, ok)
	}
	if name, ok := NameOfLot(json.RawMessage(`{"packed":{"hash":"h","doc":{"id":"a"},"requests":[{`)); !ok || name != (LotName{"a", "h"}) {
		t.Errorf("in another order: %+v %v", name, ok)
	}
	for _, text := range []string{
		``, `null`, `[]`, `{}`, string(raw(largeLot("a"))), `{"packed":null}`, `{"packed":{}}`, `{"packed":{"doc":{"id":"a"}}}`,
		`{"packed":{"hash":"h","doc":{"id":""}}}`, `{"packed":{"hash":7,"doc":{"id":"a"}}}`, `{"packed":{"hash":"h","doc":{"id":7}}}`,
		`{"packed":{"hash":"h","requests":[],"doc":{"id":"a"}}}`, `{"x":{"hash":"h","doc":{"id":"a"}}}`, `{"packed":{"hash":"h","doc":{"id":"a"`,
	} {
		if name, ok := NameOfLot(json.RawMessage(text)); ok {
			t.Errorf("%.99s: %+v", text, name)
		}
	}
}
