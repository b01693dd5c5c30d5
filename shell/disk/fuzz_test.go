package disk

import (
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/ledger/keys"
)

// Given any bytes on the disk, when a data folder is opened, then it opens or is
// a stop with a reason; what does not read is never taken for the state.
func FuzzFolder(f *testing.F) {
	seg := frame(record{Saves: []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: entries(1, 3)}}})
	dig := frame(snapshotFile{Snapshot: flow.Snapshot{Index: 2, Term: 1, Conf: json.RawMessage(`{}`), State: ledger.New().Snapshot()}})
	item := encodeBlob(3, []byte("abc"))
	f.Add(seg, dig, item)
	f.Add(seg[:len(seg)-3], []byte{}, item[:20])
	f.Add([]byte("00000000 99999999999 {}\n"), dig[:9], []byte("x"))
	f.Fuzz(func(t *testing.T, a, b, c []byte) {
		dir := past(t, t.TempDir())
		_ = dir.Write(segmentName(1), a)
		if len(b) > 0 {
			_ = dir.Write(snapshotName(2), b)
		}
		_ = dir.Write(blobSegmentName("text", 1), c)
		l, d, err := Open(dir)
		if err != nil {
			return
		}
		if d.Snapshot != nil {
			_, _ = ledger.Load(d.Snapshot.State, d.Items)
		}
		if err := l.Save(nil, []flow.Save{{Add: []flow.Entry{{Index: 100, Term: 9, Kind: "cmd"}}}}); err != nil {
			t.Errorf("it opened and can't be saved to: %v", err)
		}
	})
}

// Given any bytes as a page of keys, when it is loaded, then it reads or not.
func FuzzPage(f *testing.F) {
	f.Add([]byte{}, uint64(0), uint64(1))
	f.Add(make([]byte, 8+39), uint64(1024), uint64(1))
	f.Fuzz(func(t *testing.T, b []byte, first, pages uint64) {
		if tab, err := keys.Load(keys.Snapshot{First: first, Pages: pages % 64}, func(uint64) []byte { return b }); err == nil {
			_ = tab.Len()
			tab.Open()
		}
	})
}

// Given any bytes on the disk, when a folder is looked at, then nothing is
// changed, and one that is said to be whole opens.
func FuzzInspect(f *testing.F) {
	seg := frame(record{Saves: []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: entries(1, 3)}}})
	dig := frame(snapshotFile{Snapshot: flow.Snapshot{Index: 2, Term: 1, Conf: json.RawMessage(`{}`), State: ledger.New().Snapshot()}})
	id := frame(Identity{ID: "me", Inc: 1})
	f.Add(seg, dig, encodeBlob(3, []byte("abc")), id)
	f.Add(seg, []byte{}, []byte{}, id)
	f.Add(seg[:len(seg)-3], []byte{}, encodeBlob(3, []byte("abc"))[:20], id)
	f.Add(append(append([]byte{}, seg...), "00000000 2 {}\n"...), dig, []byte{}, id[:9])
	f.Fuzz(func(t *testing.T, a, b, c, d []byte) {
		dir := past(t, t.TempDir())
		for name, x := range map[string][]byte{segmentName(1): a, snapshotName(2): b, blobSegmentName("text", 1): c, "identity": d} {
			if len(x) > 0 {
				_ = dir.Write(name, x)
			}
		}
		before := content(t, dir.Path)
		r, err := Inspect(dir)
		if err != nil {
			t.Fatal(err)
		}
		if content(t, dir.Path) != before {
			t.Fatal("the folder was changed")
		}
		if !r.Whole() {
			return
		}
		if _, err := Identify(dir, "fresh", 1); err != nil {
			t.Fatalf("it is said to be whole: %v", err)
		}
		if _, _, err := Open(dir); err != nil {
			t.Fatalf("it is said to be whole: %v", err)
		}
	})
}
