package disk

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Folder is a data folder on a real disk.
type Folder struct{ Path string }

// OpenFolder makes the folder if need be, durably.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Wrap(err, "disk: folder")
	}
	folder := &Folder{path}
	if up, err := os.Open(filepath.Dir(path)); err == nil {
		err = up.Sync()
		_ = up.Close()
		if err != nil {
			return nil, errors.Wrap(err, "disk: folder")
		}
	}
	return folder, nil
}

func (f *Folder) at(name string) string { return filepath.Join(f.Path, name) }

// List names the files.
func (f *Folder) List() ([]string, error) {
	es, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, err
	}
	out := make([]string, 0, len(es))
	for _, e := range es {
		out = append(out, e.Name())
	}
	return out, nil
}

// Read gives a whole file.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.at(name)) }

// ReadAt gives a part of a file.
func (f *Folder) ReadAt(name string, at int64, n int) ([]byte, error) {
	h, err := os.Open(f.at(name))
	if err != nil {
		return nil, err
	}
	defer h.Close()
	b := make([]byte, n)
	_, err = h.ReadAt(b, at)
	return b, err
}

// Write replaces a file, unsynced.
func (f *Folder) Write(name string, b []byte) error { return os.WriteFile(f.at(name), b, 0o644) }

// Append adds to a file, unsynced.
func (f *Folder) Append(name string, b []byte) error {
	h, err := os.OpenFile(f.at(name), os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	_, err = h.Write(b)
	if e := h.Close(); err == nil {
		err = e
	}
	return err
}

// Truncate cuts a file.
func (f *Folder) Truncate(name string, n int64) error { return os.Truncate(f.at(name), n) }

// Sync brings a file to disk.
func (f *Folder) Sync(name string) error {
	h, err := os.OpenFile(f.at(name), os.O_RDWR, 0o644)
	if err != nil {
		return err
	}
	err = h.Sync()
	if e := h.Close(); err == nil {
		err = e
	}
	return err
}

// Rename moves a file over another.
func (f *Folder) Rename(a, b string) error { return os.Rename(f.at(a), f.at(b)) }

// Remove deletes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.at(name)) }

// SyncDir brings the folder's entries to disk.
func (f *Folder) SyncDir() error {
	h, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	err = h.Sync()
	if e := h.Close(); err == nil {
		err = e
	}
	return err
}
