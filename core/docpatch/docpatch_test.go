package docpatch

import (
	"errors"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"
)

func item(text string) json.RawMessage { return json.RawMessage(text) }

// list changes items of the list "r", which are known by "n".
func list(upsert []json.RawMessage, remove ...string) Patch {
	return Patch{Lists: []List{{Path: []string{"r"}, Name: "n", Upsert: upsert, Remove: remove}}}
}

// Guards against a change that loses all that stands behind a name which stands twice, or
// behind a text that is no sound Unicode: both are acknowledged in a whole document.
//
// Given documents that a reader takes and a strict one refuses, when items are changed, then
// only they change, and of names that stand twice the last counts, as for whoever reads the whole.
func TestOddDocumentsAreChangedAsTheyAreRead(t *testing.T) {
	half := `"\ud800x"`
	for name, c := range map[string]struct{ document, want string }{
		"a name twice":            {`{"a":1,"a":2,"r":[{"n":"x"}],"z":3}`, `{"a":1,"a":2,"r":[{"n":"x","v":1},{"n":"y"}],"z":3}`},
		"the list twice":          {`{"r":[{"n":"x"}],"r":[{"n":"w"}],"z":3}`, `{"r":[{"n":"x"}],"r":[{"n":"w"},{"n":"x","v":1},{"n":"y"}],"z":3}`},
		"half a pair":             {`{"a":` + half + `,"r":[{"n":"x"}]}`, `{"a":` + half + `,"r":[{"n":"x","v":1},{"n":"y"}]}`},
		"half a pair as a name":   {`{` + half + `:1,"r":[{"n":"x"}]}`, `{` + half + `:1,"r":[{"n":"x","v":1},{"n":"y"}]}`},
		"a name twice in an item": {`{"r":[{"n":"w","n":"x"},{"n":"x","n":"w"}]}`, `{"r":[{"n":"x","v":1},{"n":"x","n":"w"},{"n":"y"}]}`},
		"an escaped name":         {`{"a\/b":1,"\u0072":[{"\u006e":"x"}]}`, `{"a\/b":1,"\u0072":[{"n":"x","v":1},{"n":"y"}]}`},
		"a half pair in an item":  {`{"r":[{"n":"w","k":` + half + `}]}`, `{"r":[{"n":"w","k":` + half + `},{"n":"x","v":1},{"n":"y"}]}`},
		"numbers of any size":     {`{"a":1e999,"b":-0,"r":[]}`, `{"a":1e999,"b":-0,"r":[{"n":"x","v":1},{"n":"y"}]}`},
		"the list missing":        {`{"a":1}`, `{"a":1,"r":[{"n":"x","v":1},{"n":"y"}]}`},
		"no list there":           {`{"r":7}`, `{"r":[{"n":"x","v":1},{"n":"y"}]}`},
	} {
		got := string(list([]json.RawMessage{item(`{"n":"x","v":1}`), item(`{"n":"y"}`)}).Apply(json.RawMessage(c.document)))
		if got != c.want {
			t.Errorf("%s:\n%s\nwant\n%s", name, got, c.want)
		}
	}
}

// Given a document that stands as a text, when it is changed by a patch that is one, then it
// stays a text whatever it holds, and one that stands there as it is stays so.
func TestATextIsChangedAsADocument(t *testing.T) {
	deep := strings.Repeat("[", 9_990) + strings.Repeat("]", 9_990)
	inner := `{"k":` + deep + `,"k":"<\ud800>","r":[{"n":"x"}]}`
	change := list([]json.RawMessage{item(`{"n":"y","k":` + deep + `}`)}, "x")
	text, _ := json.Marshal(change)
	patch := Patch{Texts: []Text{{Path: []string{"s"}, Patch: string(text)}}}
	if err := patch.Check(); err != nil {
		t.Fatal(err)
	}
	want := `{"k":` + deep + `,"k":"<\ud800>","r":[{"n":"y","k":` + deep + `}]}`
	quoted, _ := json.Marshal(inner)
	after := patch.Apply(json.RawMessage(`{"a":1,"s":` + string(quoted) + `}`))
	var got struct{ S string }
	if err := json.Unmarshal(after, &got); err != nil || got.S != want {
		t.Errorf("%v: %.80s ... %.40s", err, got.S, got.S[max(0, len(got.S)-40):])
	}
	if after := string(patch.Apply(json.RawMessage(`{"s":{"r":[{"n":"x"}]}}`))); after != `{"s":{"r":[{"n":"y","k":`+deep+`}]}}` {
		t.Errorf("%.80s", after)
	}
}

// Given patches that make no sense, when they are checked, then each is refused.
func TestPatchesThatMakeNoSense(t *testing.T) {
	inner, _ := json.Marshal(list([]json.RawMessage{item(`{"n":"x"}`), item(`{"n":"x"}`)}))
	for name, patch := range map[string]Patch{
		"an item without a name":    list([]json.RawMessage{item(`{"m":"x"}`)}),
		"a name that is no text":    list([]json.RawMessage{item(`{"n":7}`)}),
		"no object":                 list([]json.RawMessage{item(`[]`)}),
		"nothing":                   list([]json.RawMessage{nil}),
		"a name twice":              list([]json.RawMessage{item(`{"n":"x"}`), item(`{"n":"x"}`)}),
		"a name twice, once hidden": list([]json.RawMessage{item(`{"n":"w","n":"x"}`), item(`{"n":"x"}`)}),
		"in both lists":             list([]json.RawMessage{item(`{"n":"x"}`)}, "x"),
		"a text that is no patch":   {Texts: []Text{{Path: []string{"s"}, Patch: "{"}}},
		"a text with a name twice":  {Texts: []Text{{Path: []string{"s"}, Patch: string(inner)}}},
	} {
		if err := patch.Check(); !errors.Is(err, ErrPatch) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
