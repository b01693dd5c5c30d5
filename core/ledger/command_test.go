package ledger

import (
	"reflect"
	"testing"

	"github.com/go-json-experiment/json/v1"
)

// Given commands, when they are encoded, then each byte is as the general encoder
// writes it, and they read as what they were.
func TestCommandsAreEncodedAsTheirFieldsSay(t *testing.T) {
	for _, c := range []Command{
		{Kind: "lot.put", At: 1_700_000_000_000, Body: raw(lotDoc("a", 3))},
		{Kind: "lot.list", At: -5, Body: raw(ListLot{Lot: "a", Results: []LotResult{done("i0", 1)}})},
		{Kind: `odd "kind"`, Body: json.RawMessage(`null`)},
		{Kind: "lot.end", At: 7, Body: json.RawMessage(`"a,\"body\":"`)},
	} {
		got, want := c.Encode(), raw(c)
		if string(got) != string(want) {
			t.Errorf("%s, not %s", got, want)
		}
		if x, err := decodeCommand(got); err != nil || !reflect.DeepEqual(x, c) {
			t.Errorf("%s: %+v, %v", got, x, err)
		}
	}
}

// Given commands of bulk that are not as Encode writes them, when they are read, then
// they are read as any others.
func TestCommandsOfOtherWritersAreRead(t *testing.T) {
	want := Command{Kind: "lot.end", At: 5, Body: json.RawMessage(`"a"`)}
	for _, text := range []string{
		`{"at":5,"kind":"lot.end","body":"a"}`,
		`{"kind":"lot.end", "at":5, "body":"a"}`,
		`{"kind":"lot.end","at":5,"body":"a","more":1}`,
		` {"kind":"lot.end","at":5,"body":"a"} `,
	} {
		if got, err := decodeCommand(json.RawMessage(text)); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
}

// Given commands of bulk whose body is no single value, when they are applied, then
// they are refused and leave nothing.
func TestBulkThatIsNoSingleValueIsRefused(t *testing.T) {
	for _, body := range []string{`{"id":"a","items":[{"id":"i"}]},"kind":"x"`, `{"id":"a"`, `{"id":"a"}]`, ``, `1,2`, `{"id":"a"} {"id":"b"}`} {
		for _, kind := range []string{"lot.put", "lot.list"} {
			l := New()
			r := l.Apply(1, json.RawMessage(`{"kind":"`+kind+`","at":5,"body":`+body+`}`))
			if _, any := l.Box(); r.Code != 400 || len(l.Lots) != 0 || any {
				t.Errorf("%s %s: %d %s", kind, body, r.Code, r.Body)
			}
		}
	}
}
