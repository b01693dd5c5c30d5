package ledger

import (
	"reflect"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Given listings, when they are read, then each is refused or read as the whole form
// is, and what lies on the blob store is what the general encoder writes of it.
func TestListingsAreReadAsTheWholeForm(t *testing.T) {
	result := func(fields string) string { return `{"lot":"a","results":[{"i":"i0",` + fields + `}]}` }
	for _, text := range []string{
		string(raw(ListLot{Lot: "a", Results: []LotResult{done("i0", 1, 2), {Item: "i1", State: LotAbandoned}, {Item: "<i2>\u2028", Text: "\"<\n", State: "other"}}})),
		string(raw(ListLot{Lot: "a", Results: nil})), `{}`, `null`, `{"lot":"a","results":[null]}`, `{"lot":"a","results":[1]}`, `{"lot":"a","results":{}}`, `{"lot":7}`,
		result(`"s":"complete","t":7`), result(`"s":"complete","t":null`), result(`"s":"complete","t":["x"]`), result(`"s":"complete","t":{"x":1}`),
		result(`"s":"complete","t":true`), result(`"s":7`), result(`"s":"complete","v":["x"]`), result(`"s":"complete","v":null`), result(`"S":"complete","T":"x"`),
		result(`"s":"complete","t":"x"`) + `]`, `{"lot":"a","results":[{"i":"i0"}`, ``,
	} {
		var want ListLot
		wantErr := json.Unmarshal([]byte(text), &want)
		got, gotErr := decodeListing(json.RawMessage(text))
		if (gotErr == nil) != (wantErr == nil) {
			t.Errorf("%s: %v, not %v", text, gotErr, wantErr)
			continue
		}
		if gotErr != nil {
			continue
		}
		if got.lot != want.Lot || len(got.results) != len(want.Results) || len(got.texts) != len(want.Results) {
			t.Errorf("%s: %+v", text, got)
			continue
		}
		for i, r := range want.Results {
			var whole LotResult
			if json.Unmarshal(got.texts[i], &whole) != nil || !reflect.DeepEqual(whole, r) {
				t.Errorf("%s: kept as %s", text, got.texts[i])
			}
			r.Text = ""
			if !reflect.DeepEqual(got.results[i], r) {
				t.Errorf("%s: %+v, not %+v", text, got.results[i], r)
			}
		}
	}
}

// Given results as owners list them, when they are folded, then the blob store gets
// each byte as the general encoder writes it, and a page reads as its fields say.
func TestListedResultsAreKeptAsTheyCame(t *testing.T) {
	l := New()
	do(l, "lot.put", lotDoc("a", 3))
	l.Box()
	results := []LotResult{done("i0", 1), {Item: "i1", State: LotAbandoned}, {Item: "i2", State: LotComplete, Text: "<\u2028>\n\"", Versions: []int{1, 1}}}
	do(l, "lot.list", ListLot{Lot: "a", Results: results})
	change, _ := l.Box()
	for i, r := range results {
		if got := string(change.Put[i].Body); got != string(raw(r)) {
			t.Errorf("%s, not %s", got, raw(r))
		}
	}
	page := l.Query("lot.read", raw(ReadLot{Lot: "a", From: 1}))
	var got LotRead
	if err := flow.Decode(page.Body, &got); err != nil || !reflect.DeepEqual(got, LotRead{Total: 3, Next: 3, Listed: 3, Results: results[1:]}) {
		t.Errorf("%v %s", err, page.Body)
	}
	if want := raw(LotRead{Total: 3, Next: 3, Listed: 3, Results: results[1:]}); string(page.Body) != string(want) {
		t.Errorf("%s, not %s", page.Body, want)
	}
	if none := l.Query("lot.read", raw(ReadLot{Lot: "a", From: 3})); string(none.Body) != `{"total":3,"next":3,"listed":3,"results":[]}` {
		t.Errorf("%s", none.Body)
	}
}
