package disk

import (
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Given records, when they are framed, then each byte is as the general encoder writes
// it.
func TestRecordsAreFramedAsTheirFieldsSay(t *testing.T) {
	hard := &flow.Hard{Cluster: "c", Term: 3, Vote: "v", Unsure: true}
	for name, r := range map[string]record{
		"hard state":  {Saves: []flow.Save{{Hard: hard}}},
		"no entries":  {Saves: []flow.Save{{Cut: 7, Add: []flow.Entry{}}}},
		"entries":     {Saves: []flow.Save{{Hard: hard, Add: entries(1, 3)}, {Cut: 3, Add: entries(3, 9)}}},
		"odd entries": {Saves: []flow.Save{{Add: []flow.Entry{{Index: 1<<64 - 1, Kind: `"k"`}, {Kind: "cmd", Data: json.RawMessage(`"\u003c"`)}}}}},
		"a line end":  {Saves: []flow.Save{{Add: []flow.Entry{{Kind: "cmd", Data: json.RawMessage("{\n\"a\": 1}")}}}}},
		"snapshot":    {Saves: []flow.Save{{Snapshot: &flow.Snapshot{Index: 3, Term: 1, Conf: json.RawMessage(`{}`), State: json.RawMessage(`[1]`)}}}},
		"mark":        {Mark: &tailMark{Hard: *hard, Term: 1, Index: 2}},
	} {
		if got, want := string(frameOf(r)), string(frame(r)); got != want {
			t.Errorf("%s: %s, not %s", name, got, want)
		}
	}
}
