package link

import (
	"reflect"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Given a line, when it is packed behind another, then it reads back as it was.
func TestPackUnpack(t *testing.T) {
	line := flow.Line{Ver: flow.Version, Cluster: "c", Kind: "k", From: "f", Addr: "a", Body: json.RawMessage(`{"x":[1,"y"]}`)}
	first, err := Pack(nil, line)
	if err != nil {
		t.Fatal(err)
	}
	both, err := Pack(first, line)
	if err != nil || len(both) != 2*len(first) {
		t.Fatalf("%d bytes after %d: %v", len(both), len(first), err)
	}
	got, err := Unpack(both[len(first) : len(both)-1])
	if err != nil || !reflect.DeepEqual(got, line) {
		t.Errorf("%+v, %v", got, err)
	}
}
