package raft

import (
	"testing"

	"github.com/go-json-experiment/json/v1"
)

// Given a membership record as earlier builds wrote it, when it is read and
// written again, then the zone is kept under the same name.
func TestMemberKeepsItsWireNames(t *testing.T) {
	const record = `{"id":"s1","addr":"10.0.0.1:7400","area":"north","voter":true}`
	var member Member
	if err := json.Unmarshal([]byte(record), &member); err != nil {
		t.Fatal(err)
	}
	if member.Zone != "north" {
		t.Errorf("zone %q", member.Zone)
	}
	written, err := json.Marshal(member)
	if err != nil || string(written) != record {
		t.Errorf("written as %s: %v", written, err)
	}
}
