package node

import (
	"testing"
	"time"

	"fernlink/core/flow"
)

func TestBytesThatWaitForTheDiskAreBounded(t *testing.T) {
	// Given a store whose disk does not answer.
	n, err := New(time.Hour, Config{ID: "s", Addr: "s:1", Roles: []string{"store"}})
	if err != nil {
		t.Fatal(err)
	}
	n.given = 1
	// When large answers wait for it.
	var out flow.Outbox
	for range 20 {
		n.box.Lines = []flow.Line{{Kind: "told", Body: make([]byte, 1<<20)}}
		n.release(&out)
	}
	// Then the store hears no more, though only a few batches wait.
	if !n.choked() || len(n.held) != 20 {
		t.Errorf("%d batches of %d bytes", len(n.held), n.heldBytes)
	}
	// And once the disk has answered all of it leaves, and the store hears again.
	n.synced(1, &out)
	if n.choked() || len(out.Lines) != 20 || n.heldBytes != 0 {
		t.Errorf("%d lines, %d bytes held", len(out.Lines), n.heldBytes)
	}
}
