package gossip

import (
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"
)

// Given an entry as earlier builds sent it, when it is read and written again,
// then the zone is kept under the same name.
func TestEntryKeepsTheWireNameOfItsZone(t *testing.T) {
	const record = `{"id":"a","inc":1,"beat":2,"addr":"10.0.0.1:7400","web":"10.0.0.1:8080","area":"north","roles":["store"]}`
	var entry Entry
	if err := json.Unmarshal([]byte(record), &entry); err != nil {
		t.Fatal(err)
	}
	if entry.Zone != "north" {
		t.Errorf("zone %q", entry.Zone)
	}
	written, err := json.Marshal(entry)
	if err != nil || !strings.Contains(string(written), `"area":"north"`) {
		t.Errorf("written as %s: %v", written, err)
	}
}
