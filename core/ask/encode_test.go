package ask

import (
	"reflect"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ledger"
)

func TestAnswersAreEncodedAsTheirFieldsSay(t *testing.T) {
	for _, told := range []Told{
		{},
		{ID: 7, Code: 200, Body: json.RawMessage(`{"results":["a\u003c",1,null]}`)},
		{ID: 1<<64 - 1, Retry: true, Leader: "10.0.0.1:7300"},
		{ID: 1, Code: 409, Body: json.RawMessage(`"x"`)},
	} {
		// Given an answer, when it is encoded, then it reads as what it was.
		raw, err := told.Encode()
		if err != nil {
			t.Fatal(err)
		}
		var got Told
		if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, told) {
			t.Errorf("%s: %+v, %v; not %+v", raw, got, err, told)
		}
	}
}

func TestQuestionsAreEncodedAsTheirFieldsSay(t *testing.T) {
	for _, question := range []Ask{
		{ID: 7, Kind: "lot.put", Body: json.RawMessage(`{"id":"a\u003c","items":[1,null]}`)},
		{ID: 1<<64 - 1, Kind: `odd "kind" <`, Body: json.RawMessage(`"x"`)},
	} {
		// Given a question, when it is encoded, then it has each byte that the general
		// encoder writes.
		got, err := question.Encode()
		want, _ := json.Marshal(question)
		if err != nil || string(got) != string(want) {
			t.Errorf("%s, %v; not %s", got, err, want)
		}
	}
}

// Given questions as they are sent and as others may write them, when they are read,
// then each reads as what it was; only of the kinds that say so is a body taken as it
// stands.
func TestQuestionsAreReadAsTheyWereSent(t *testing.T) {
	bulk := func(kind ledger.Kind) bool { return kind == "lot.put" }
	for _, question := range []Ask{
		{ID: 7, Kind: "lot.put", Body: json.RawMessage(`{"id":"a","items":[1,null]}`)},
		{ID: 1<<64 - 1, Kind: "renew", Body: json.RawMessage(`{"kind":"lot.put","body":1}`)},
		{ID: 1, Kind: `odd "kind" <`, Body: json.RawMessage(`"x"`)},
	} {
		text, _ := question.Encode()
		if got, err := Decode(text, bulk); err != nil || !reflect.DeepEqual(got, question) {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
	for _, text := range []string{`{"kind":"lot.put","id":7,"body":"b"}`, `{"id":7,"kind":"lot.put", "body":"b"}`, ` {"id":7,"kind":"lot.put","body":"b"} `, `{"id":7,"kind":"renew","body":"b","more":1}`} {
		got, err := Decode(json.RawMessage(text), bulk)
		if err != nil || got.ID != 7 || string(got.Body) != `"b"` {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
	for _, text := range []string{``, `[]`, `{"id":7,"kind":"renew","body":"b"`, `{"id":-7,"kind":"renew","body":"b"}`} {
		if got, err := Decode(json.RawMessage(text), bulk); err == nil {
			t.Errorf("%s: %+v", text, got)
		}
	}
}
