package keepalive

import (
	"fmt"
	"testing"
)

// Given a connection, when it carries names, then each is known for as long as it may carry
// more, and a request without a name is none.
func TestNames(t *testing.T) {
	var names Names
	for n := range namesMost {
		name := fmt.Sprint("name ", n)
		if names.Full() || names.Has(name) || names.Has("") {
			t.Fatalf("%d: full %v, known before %v, empty %v", n, names.Full(), names.Has(name), names.Has(""))
		}
		names.Add(name)
		names.Add("")
	}
	if !names.Full() || !names.Has("name 0") || names.Has("another") {
		t.Errorf("full %v, first known %v, another known %v", names.Full(), names.Has("name 0"), names.Has("another"))
	}
}
