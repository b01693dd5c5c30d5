package raft

import (
	"reflect"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

func TestMessagesAreEncodedAsTheirFieldsSay(t *testing.T) {
	for _, message := range []Message{
		{},
		{Kind: MessageAppend, From: "a", ToID: "b", Term: 3, Index: 7, LogTerm: 2, Commit: 6, Round: 9},
		{Kind: MessageAppend, From: "a\"<", ToID: "b", Entries: []flow.Entry{{Index: 1, Term: 1, Kind: "cmd", Data: json.RawMessage(`{"k":"x","b":["\u003c",1.5,null]}`)}}},
		{Kind: MessageAppendResponse, OK: true, Hint: 4, UncertainTail: true, LeaderTransfer: true,
			Entries: []flow.Entry{{Index: 1, Term: 1, Kind: "conf \"x\""}, {Index: 1<<64 - 1, Term: 2, Kind: "cmd", Data: json.RawMessage(`"text"`)}}},
	} {
		// Given a message, when it is encoded, then it reads as what it was.
		raw, err := message.Encode()
		if err != nil {
			t.Fatal(err)
		}
		var got Message
		if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, message) {
			t.Errorf("%s: %+v, %v; not %+v", raw, got, err, message)
		}
		// And it has the same fields as the general encoder writes.
		general, _ := json.Marshal(message)
		var a, b map[string]any
		if json.Unmarshal(raw, &a) != nil || json.Unmarshal(general, &b) != nil || !reflect.DeepEqual(a, b) {
			t.Errorf("%s, not %s", raw, general)
		}
	}
}
