package ledger

import (
	standard "encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// oddTexts are documents on which libraries like to differ. Members of two builds fold
// the same log, and files of the earlier ones are still read, so the library in use
// has to read and write as the standard one does.
var oddTexts = []string{
	`{"id":"a","items":[{"id":"i","p":"/x","b":"aGk=","h":[{"n":"A","v":"b"}],"t":3}],"step":7}`,
	`{"ID":"a","Items":[{"Id":"i","P":"/x","B":"aGk="}]}`,
	`{"id":"a","id":"b","items":[{"id":"i"}],"items":[{"p":"/x"}]}`,
	`{"id":"a","unknown":{"x":[1,{"y":null}]},"step":null,"items":null}`,
	`{"id":"<&>\u2028\u2029\u00e9\ud83d\ude00\u0000\u007f"}`,
	`{"id":"\ud800 alone","host":"\udc00"}`,
	"{\"id\":\"bytes \xff\xfe that are no text\"}",
	`{"id":"a","items":[{"id":"i","b":"aGk=\n"}]}`,
	`{"id":"a","items":[{"id":"i","b":"a*b="}]}`,
	`{"id":"a","items":[{"id":"i","b":"aGk"}]}`,
	`{"id":"a","items":[{"id":"i","b":[1,2]}]}`,
	`{"id":"a","step":1.5}`, `{"id":"a","step":1e2}`, `{"id":"a","step":"7"}`, `{"id":"a","step":99999999999999999999}`,
	`{"id":7,"host":"h"}`, `{"id":"a","single":1}`, `{"id":"a","items":{}}`, `{"id":"a","items":[1]}`, `{"id":"a","items":[null]}`,
	`{"id":"a","step":01}`, `{"id":"a",}`, `{"id":"a"} x`, `{"id":"a"`, `{id:"a"}`, ` {"id" : "a" } `, `null`, `[]`, `"a"`, ``,
	`{"id":"a\x"}`, "{\"id\":\"a\nb\"}", `{"id":"` + strings.Repeat("x", 1<<16) + `"}`,
	strings.Repeat("[", 10001) + strings.Repeat("]", 10001), `{"kind":"lot.put","at":5,"body":{"a": [1 , "<\u003c"]}}`,
	`{"kind":"lot.put","at":5,"body":null}`, `{"kind":"x","body":"\ud800"}`,
	`{"lot":"l","results":[{"i":"a","s":"complete","t":"<b>\u2028","v":[]},{"i":"b","s":"abandoned","v":[1,2]}]}`,
}

// readAndWritten reads a text by both libraries and writes again what they read.
func readAndWritten[T any](t *testing.T, text string) {
	t.Helper()
	var mine, theirs T
	gotErr, wantErr := json.Unmarshal([]byte(text), &mine), standard.Unmarshal([]byte(text), &theirs)
	if (gotErr == nil) != (wantErr == nil) {
		t.Errorf("%T %.99s: %v, not %v", mine, text, gotErr, wantErr)
		return
	}
	if gotErr != nil {
		return
	}
	if !reflect.DeepEqual(mine, theirs) {
		t.Errorf("%T %.99s: %+v, not %+v", mine, text, mine, theirs)
	}
	got, gotErr := json.Marshal(mine)
	want, wantErr := standard.Marshal(theirs)
	if gotErr != nil || wantErr != nil || string(got) != string(want) {
		t.Errorf("%T %.99s: written as %.200s (%v), not %.200s (%v)", mine, text, got, gotErr, want, wantErr)
	}
}

// decodedInOnePass reads a text in one pass and by the standard library.
func decodedInOnePass[T any](t *testing.T, text string) {
	t.Helper()
	var mine, theirs T
	gotErr, wantErr := flow.Decode([]byte(text), &mine), standard.Unmarshal([]byte(text), &theirs)
	if (gotErr == nil) != (wantErr == nil) {
		t.Errorf("%T %.99s: %v, not %v", mine, text, gotErr, wantErr)
	} else if gotErr == nil && !reflect.DeepEqual(mine, theirs) {
		t.Errorf("%T %.99s: %+v, not %+v", mine, text, mine, theirs)
	}
}

// Given odd texts, when they are read and written, then all is as by the standard
// library: what is refused, what is read, and each byte of what is written.
func TestJSONIsReadAndWrittenAsByTheStandardLibrary(t *testing.T) {
	for _, text := range oddTexts {
		readAndWritten[LotDoc](t, text)
		readAndWritten[Command](t, text)
		readAndWritten[ListLot](t, text)
		readAndWritten[Plan](t, text)
		readAndWritten[Delta](t, text)
		readAndWritten[string](t, text)
		readAndWritten[map[string]any](t, text)
		decodedInOnePass[LotDoc](t, text)
		decodedInOnePass[Command](t, text)
		decodedInOnePass[ListLot](t, text)
		decodedInOnePass[map[string]any](t, text)
		if got, want := json.Valid([]byte(text)), standard.Valid([]byte(text)); got != want {
			t.Errorf("%.99s: valid %v, not %v", text, got, want)
		}
	}
}

func FuzzJSONIsReadAndWrittenAsByTheStandardLibrary(f *testing.F) {
	for _, text := range oddTexts {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		readAndWritten[LotDoc](t, text)
		readAndWritten[Command](t, text)
		readAndWritten[ListLot](t, text)
		decodedInOnePass[LotDoc](t, text)
		decodedInOnePass[Command](t, text)
		decodedInOnePass[ListLot](t, text)
	})
}
