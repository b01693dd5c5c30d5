package store

import (
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

// Guards against review/10: each member's copy of a large entry was encoded by itself.
//
// Given a large entry that goes to several members, when their messages are sent, then they share
// its text, and each is the message as it is encoded by itself; once it is applied nothing of it is
// kept.
func TestLargeEntriesAreEncodedOnceForAllMembers(t *testing.T) {
	data, _ := json.Marshal(strings.Repeat("x", 2*sharedFrom))
	message := raft.Message{Kind: raft.MessageAppend, From: "me", Term: 3, Index: 7, Entries: []flow.Entry{{Index: 8, Term: 3, Kind: commandEntry, Data: data}}}
	s := &Store{}
	var out flow.Outbox
	for _, to := range []string{"a", "b", "c"} {
		message.ToID = to
		s.sendRaft(raft.Envelope{Addr: to, Message: message}, &out)
	}
	for i, line := range out.Lines {
		message.ToID = line.To
		whole, err := message.Encode()
		if err != nil || line.Kind != flow.Entries || string(line.Joined().Body) != string(whole) {
			t.Fatalf("%s: %.80s", line.To, line.Joined().Body)
		}
		if &line.Shared[0] != &out.Lines[0].Shared[0] {
			t.Errorf("line %d has a copy", i)
		}
	}
	if s.entries.forget(7); s.entries.text == nil {
		t.Error("it is forgotten before it is applied")
	}
	if s.entries.forget(8); s.entries.text != nil {
		t.Error("it is kept though it is applied")
	}
}

// Given entries that replace others of the same indexes, when they are sent, then they are encoded
// anew.
func TestEntriesOfAnotherTermAreEncodedAnew(t *testing.T) {
	var e sharedEntries
	first := e.of([]flow.Entry{{Index: 8, Term: 3, Kind: "a"}})
	if second := e.of([]flow.Entry{{Index: 8, Term: 4, Kind: "b"}}); string(first) == string(second) {
		t.Errorf("%s", second)
	}
	if again := e.of([]flow.Entry{{Index: 8, Term: 4, Kind: "b"}}); !strings.Contains(string(again), `"b"`) {
		t.Errorf("%s", again)
	}
}
