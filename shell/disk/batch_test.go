package disk

import (
	"slices"
	"testing"

	"fernlink/core/flow"
)

// Given a slow disk on which one batch gathers a snapshot and, from a command
// after it, the drop of an item that the snapshot names, when the batch is saved,
// then the item stays until a snapshot at or after that command is there: else
// the member would not start again.
func TestDropAfterASnapshotInOneBatch(t *testing.T) {
	log, _, err := open(t, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Save([]flow.BlobChange{{Put: []flow.Item{textItem(3)}, At: 3}}, []flow.Save{{Add: entries(1, 5)}}); err != nil {
		t.Fatal(err)
	}
	if err := log.Save([]flow.BlobChange{{Drop: []flow.Ref{textItem(3).Ref}, At: 6}}, []flow.Save{aged(5)}); err != nil {
		t.Fatal(err)
	}
	if lacks(t, log, 3) {
		t.Error("the snapshot at 5 names an item that is gone")
	}
	if err := log.Save(nil, []flow.Save{aged(6)}); err != nil {
		t.Fatal(err)
	}
	if !lacks(t, log, 3) {
		t.Error("the item stays although no snapshot names it")
	}
}

// Given a slow disk on which one batch gathers a leader's snapshot and an item
// of a command after it, when the batch is saved, then the item is there, and
// what the snapshot does not name is gone.
func TestItemAfterALeadersSnapshotInOneBatch(t *testing.T) {
	log, _, err := open(t, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Save([]flow.BlobChange{{Put: []flow.Item{textItem(2)}, At: 2}}, nil); err != nil {
		t.Fatal(err)
	}
	changes := []flow.BlobChange{
		{Only: map[string][]uint64{}, At: 5},
		{Put: []flow.Item{textItem(7)}, At: 7},
	}
	if err := log.Save(changes, []flow.Save{aged(5)}); err != nil {
		t.Fatal(err)
	}
	if lacks(t, log, 7) {
		t.Error("an item of a command after the snapshot is gone")
	}
	if !lacks(t, log, 2) {
		t.Error("an item that the snapshot does not name stays")
	}
}

// Given an own snapshot and a leader's later one in one batch, when the first is
// on disk, then nothing that it names is let go for the second.
func TestTwoSnapshotsInOneBatch(t *testing.T) {
	fs := &watched{FS: past(t, t.TempDir())}
	log, _, err := Open(fs)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Save([]flow.BlobChange{{Put: []flow.Item{textItem(2)}, At: 2}}, nil); err != nil {
		t.Fatal(err)
	}
	later := aged(9)
	later.Cut = 10
	if err := log.Save([]flow.BlobChange{{Only: map[string][]uint64{}, At: 9}}, []flow.Save{aged(5), later}); err != nil {
		t.Fatal(err)
	}
	segment, snapshot := fs.place("remove "+blobSegmentName("text", 1)), fs.place("rename "+snapshotName(9))
	if segment < 0 || segment < snapshot {
		t.Errorf("the segment went at %d, before the snapshot that lets it go was there at %d", segment, snapshot)
	}
}

// Given a member with an old snapshot amid its fetch of a newer one, when it starts
// again, then the items that it fetched are there until its next snapshot.
func TestFetchedItemsStayOverAStart(t *testing.T) {
	dir := t.TempDir()
	log, _, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Save([]flow.BlobChange{{Put: []flow.Item{textItem(3)}, At: 3}}, []flow.Save{{Add: entries(1, 5)}, aged(5)}); err != nil {
		t.Fatal(err)
	}
	if err := log.Save([]flow.BlobChange{{Put: []flow.Item{textItem(8)}, At: 9}}, nil); err != nil {
		t.Fatal(err)
	}
	if log, _, err = Open(past(t, dir)); err != nil {
		t.Fatal(err)
	}
	named := map[string][]uint64{"text": {3}}
	if err := log.Save([]flow.BlobChange{{Only: named, At: 5}}, nil); err != nil {
		t.Fatal(err)
	}
	if lacks(t, log, 8) {
		t.Error("an item that was fetched before the start is gone")
	}
	if err := log.Save(nil, []flow.Save{aged(6)}); err != nil {
		t.Fatal(err)
	}
	if lacks(t, log, 3) || !lacks(t, log, 8) {
		t.Error("the next snapshot does not let go of just what is not named")
	}
}

// watched notes the order of what is done to a folder.
type watched struct {
	FS
	done []string
}

func (w *watched) Remove(name string) error {
	w.done = append(w.done, "remove "+name)
	return w.FS.Remove(name)
}

func (w *watched) Rename(from, to string) error {
	w.done = append(w.done, "rename "+to)
	return w.FS.Rename(from, to)
}

func (w *watched) place(what string) int { return slices.Index(w.done, what) }
