package raft

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Guards against an entry that no follower can be sent: all later ones would wait behind it.
//
// Given a leader, when what a peer or a disk can't read is proposed, then it is refused, and
// what is proposed next is committed on all.
func TestWhatFollowersCannotReadIsNotProposed(t *testing.T) {
	trio := newTrio(5)
	trio.run(3 * time.Second)
	node := trio.leader()
	for text, want := range map[string]error{
		`"` + strings.Repeat("a", flow.BytesMost) + `"`:                               flow.ErrTooLarge,
		strings.Repeat("[", flow.DepthMost+1) + strings.Repeat("]", flow.DepthMost+1): flow.ErrTooDeep,
	} {
		if _, _, err := node.Propose("cmd", json.RawMessage(text)); !errors.Is(err, want) {
			t.Errorf("%d bytes: %v, want %v", len(text), err, want)
		}
	}
	before := len(trio.done["a"])
	if _, _, err := node.Propose("cmd", json.RawMessage(`"next"`)); err != nil {
		t.Fatal(err)
	}
	trio.run(time.Second)
	for _, id := range []string{"a", "b", "c"} {
		if len(trio.done[id]) != before+1 {
			t.Errorf("%s applied %d entries, not %d", id, len(trio.done[id]), before+1)
		}
	}
}
