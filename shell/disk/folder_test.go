package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
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
