package disk

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrInUse says that another process has the data folder.
var ErrInUse = errors.New("disk: the data folder is in use by another process")

// Folder is a data folder on a real disk. One that OpenFolder gave is this process's
// alone until Close; a literal one may only be read.
type Folder struct {
	Path string
	lock *os.File // the folder itself, under an exclusive lock
}

// OpenFolder makes the folder if need be, durably, and takes it for this process
// (design 4.6). Nothing in it was read or changed when it fails; the failure is ErrInUse
// where another process has it.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, errors.Wrap(err, "disk: folder")
	}
	lock, err := lockFolder(path)
	if err != nil {
		return nil, err
	}
	folder := &Folder{path, lock}
	if err := folder.syncParent(); err != nil {
		_ = folder.Close()
		return nil, err
	}
	return folder, nil
}

// lockFolder locks the folder itself, so that there is no file that somebody may delete.
// The kernel lets go of the lock when the process is gone, however it ends, and never
// while it is only stopped.
func lockFolder(path string) (*os.File, error) {
	folder, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "disk: folder")
	}
	err = unix.Flock(int(folder.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return folder, nil
	}
	_ = folder.Close()
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, errors.Wrap(ErrInUse, path)
	}
	return nil, errors.Wrap(err, "disk: lock the folder")
}

// Close lets another process have the folder.
func (f *Folder) Close() error { return errors.Wrap(f.lock.Close(), "disk: folder") }

// syncParent makes the folder's own name durable.
func (f *Folder) syncParent() error {
	up, err := os.Open(filepath.Dir(f.Path))
	if err != nil {
		return nil // a parent that can't be read needs no sync of ours
	}
	defer up.Close()
	return errors.Wrap(up.Sync(), "disk: folder")
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
