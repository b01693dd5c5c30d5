package sim

import (
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/sorted"
	"fernlink/shell/disk"
)

var (
	errPower  = errors.New("sim: the power is gone")
	errBroken = errors.New("sim: the sync failed")
)

// Disk is a virtual data folder: what is not synced may be gone, torn or kept
// after a loss of power; names need their own sync.
type Disk struct {
	rand  *rand.Rand
	names map[string]*inode
	safe  map[string]*inode
	After int // operations until the power goes, when above zero
	Dead  bool
	Syncs int
	Slow  time.Duration // what each chore takes more
	Full  bool          // nothing more fits
	Break bool          // the next sync fails
}

type inode struct{ data, safe []byte }

// NewDisk is a blank disk.
func NewDisk(r *rand.Rand) *Disk {
	return &Disk{rand: r, names: map[string]*inode{}, safe: map[string]*inode{}}
}

// Copy is the disk as it is now, for one that is put back later.
func (d *Disk) Copy() *Disk {
	c := NewDisk(d.rand)
	copies := map[*inode]*inode{}
	copied := func(i *inode) *inode {
		if copies[i] == nil {
			copies[i] = &inode{slices.Clone(i.data), slices.Clone(i.safe)}
		}
		return copies[i]
	}
	for _, name := range sorted.Keys(d.names) {
		c.names[name] = copied(d.names[name])
	}
	for _, name := range sorted.Keys(d.safe) {
		c.safe[name] = copied(d.safe[name])
	}
	return c
}

func (d *Disk) step() error {
	if d.Dead {
		return errPower
	}
	if d.After > 0 {
		d.After--
		if d.After == 0 {
			d.Dead = true
			return errPower
		}
	}
	return nil
}

// Lose is a loss of power: each unsynced tail is cut at a random byte, and
// each unsynced name is there or not.
func (d *Disk) Lose() {
	all := map[string]bool{}
	for n := range d.names {
		all[n] = true
	}
	for n := range d.safe {
		all[n] = true
	}
	list := sorted.Keys(all)
	left := map[string]*inode{}
	for _, n := range list {
		x := d.safe[n]
		if d.names[n] != x && d.rand.Intn(2) == 0 {
			x = d.names[n]
		}
		if x == nil {
			continue
		}
		b := append([]byte(nil), x.safe...)
		if tail := len(x.data) - len(x.safe); tail > 0 && string(x.data[:len(x.safe)]) == string(x.safe) {
			b = append([]byte(nil), x.data[:len(x.safe)+d.rand.Intn(tail+1)]...)
		}
		left[n] = &inode{b, append([]byte(nil), b...)}
	}
	d.names, d.safe = left, map[string]*inode{}
	for n, x := range left {
		d.safe[n] = x
	}
	d.After, d.Dead = 0, false
}

// prime gives a blank disk what a store of a cluster would have on it.
func (d *Disk) prime(id, cluster string, blobs []flow.BlobChange, g flow.Snapshot) {
	b, _ := json.Marshal(disk.Identity{ID: id})
	_ = disk.PutFile(d, "identity", []byte(fmt.Sprintf("%08x %d %s\n", crc32.ChecksumIEEE(b), len(b), b)))
	l, _, err := disk.Open(d)
	if err == nil {
		err = l.Save(blobs, []flow.Save{{Hard: &flow.Hard{Cluster: cluster, Term: 1}}, {Snapshot: &g}})
	}
	if err != nil {
		panic(err) // a disk that nothing happened to
	}
}

// Damage changes one byte near the end of the last file of a kind, and says
// how far from the end.
func (d *Disk) Damage(kind string) int {
	last := ""
	for _, n := range sorted.Keys(d.names) {
		if strings.HasPrefix(n, kind) {
			last = n
		}
	}
	x := d.names[last]
	if x == nil || len(x.data) == 0 {
		return 0
	}
	at := 1 + d.rand.Intn(min(len(x.data), 360)) // the last save, or the mark behind it
	x.data = append([]byte(nil), x.data...)
	x.data[len(x.data)-at] ^= 1
	x.safe = append([]byte(nil), x.data...)
	return at
}

// List names the files.
func (d *Disk) List() ([]string, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	return sorted.Keys(d.names), nil
}

// Read gives a whole file.
func (d *Disk) Read(name string) ([]byte, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	x := d.names[name]
	if x == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), x.data...), nil
}

// ReadAt gives a part of a file.
func (d *Disk) ReadAt(name string, at int64, n int) ([]byte, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	x := d.names[name]
	if x == nil || at+int64(n) > int64(len(x.data)) {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), x.data[at:at+int64(n)]...), nil
}

// Write replaces a file, unsynced.
func (d *Disk) Write(name string, b []byte) error {
	if err := d.step(); err != nil {
		return err
	}
	if d.Full {
		d.names[name] = &inode{data: append([]byte(nil), b[:len(b)/2]...)}
		return syscall.ENOSPC
	}
	d.names[name] = &inode{data: append([]byte(nil), b...)}
	return nil
}

// Append adds to a file, unsynced.
func (d *Disk) Append(name string, b []byte) error {
	x := d.names[name]
	if x == nil {
		return os.ErrNotExist
	}
	err := d.step()
	if err != nil && !d.Dead {
		return err
	}
	if d.Full {
		x.data = append(x.data, b[:len(b)/2]...)
		return syscall.ENOSPC
	}
	x.data = append(x.data, b...) // on the last operation it may have got there
	return err
}

// Truncate cuts a file.
func (d *Disk) Truncate(name string, n int64) error {
	if err := d.step(); err != nil {
		return err
	}
	x := d.names[name]
	if x == nil {
		return os.ErrNotExist
	}
	x.data = append([]byte(nil), x.data[:n]...)
	if int64(len(x.safe)) > n {
		x.safe = append([]byte(nil), x.data...)
	}
	return nil
}

// Sync brings a file to disk.
func (d *Disk) Sync(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	if d.Break {
		d.Break = false
		return errBroken
	}
	d.Syncs++
	x := d.names[name]
	if x == nil {
		return os.ErrNotExist
	}
	x.safe = x.data[:len(x.data):len(x.data)] // files are only added to, or made anew
	return nil
}

// Rename moves a file over another.
func (d *Disk) Rename(a, b string) error {
	if err := d.step(); err != nil {
		return err
	}
	x := d.names[a]
	if x == nil {
		return os.ErrNotExist
	}
	delete(d.names, a)
	d.names[b] = x
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

// SyncDir brings the names to disk.
func (d *Disk) SyncDir() error {
	if err := d.step(); err != nil {
		return err
	}
	d.safe = map[string]*inode{}
	for n, x := range d.names {
		d.safe[n] = x
	}
	return nil
}

// bytes gives the size of all files.
func (d *Disk) bytes() (n int) {
	for _, x := range d.names {
		n += len(x.data)
	}
	return n
}
