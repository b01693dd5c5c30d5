package disk

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"fernlink/core/flow"
)

// past gives a folder as a process had it that is gone since: another may have it.
func past(t testing.TB, path string) *Folder {
	t.Helper()
	folder, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := folder.Close(); err != nil {
		t.Fatal(err)
	}
	return folder
}

// Given a folder that a process has, when it is opened again, then that fails and says
// why, and changes nothing; once the first let go of it, it is had again.
func TestAFolderHasOneOwner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	first, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Write("file", []byte("text")); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(path); !errors.Is(err, ErrInUse) {
		t.Fatalf("opened twice: %v", err)
	}
	if names, err := first.List(); err != nil || len(names) != 1 {
		t.Errorf("%v: %v", names, err)
	}
	if _, err := Inspect(&Folder{Path: path}); err != nil {
		t.Errorf("a folder that is in use can't be looked at: %v", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := OpenFolder(path)
	if err != nil {
		t.Fatalf("not had again: %v", err)
	}
	_ = again.Close()
}

// Given a path at which no folder can be, when it is opened, then it is said.
func TestAFolderThatCanNotBe(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(file); err == nil {
		t.Error("no error")
	}
}

// Given a log whose segment is cut off within its first frame, as a copy that broke off
// leaves it and no loss of power can, when it is opened, then that is refused: the member
// would have forgotten its vote and all that it acknowledged, and keep its name.
func TestASegmentCutInItsFirstFrame(t *testing.T) {
	path := t.TempDir()
	folder := past(t, path)
	if _, err := Identify(folder, "id", 1); err != nil {
		t.Fatal(err)
	}
	log, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Save(nil, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 3, Vote: "b"}, Add: entries(1, 5)}}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(folder); err != nil { // a start puts all into the first frame
		t.Fatal(err)
	}
	name := segment(t, path)
	raw, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	first := bytes.IndexByte(raw, '\n')
	for cut := 0; cut < first; cut += 1 + first/40 {
		if err := os.WriteFile(name, raw[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, disk, err := Open(past(t, path)); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut at %d of %d: term %d, %d entries, %v", cut, first, disk.Hard.Term, len(disk.Entries), err)
		}
	}
}
