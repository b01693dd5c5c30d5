// Package disk keeps a store's data folder: the segmented log, the snapshots beside it
// (design 4.6) and the blob store (4.9). One frame holds one Save batch and is synced
// before anything that depends on it leaves, so only the last frame can be torn.
// shell/run's disk goroutine is the one writer; cmd/fernlink reads a folder with Inspect.
package disk

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/store"
)

// Failures of this layer.
var (
	ErrCorrupt = errors.New("disk: the log is damaged before its tail")
	ErrUnread  = errors.New("disk: a frame of the log is whole and does not parse")
	ErrSync    = errors.New("disk: a write or sync failed")
	ErrFull    = errors.New("disk: no room; nothing of the save counts, and it may be tried again")
)

// NoRoom says that something failed for want of room on the disk: it may be tried again.
func NoRoom(err error) bool {
	for _, want := range []error{ErrFull, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

// diskError gives a failure of the folder this layer's own name.
func diskError(err error) error {
	if err == nil {
		return nil
	}
	if NoRoom(err) {
		return errors.Wrap(ErrFull, err.Error())
	}
	return errors.Wrap(ErrSync, err.Error())
}

// FS is the data folder: real in a daemon, virtual in the simulator.
type FS interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Write(name string, b []byte) error // replaces; not synced
	Append(name string, b []byte) error
	Truncate(name string, size int64) error
	Sync(name string) error
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
	ReadAt(name string, at int64, n int) ([]byte, error)
}

// SegmentMost is when a new segment is started.
const SegmentMost = 4 << 20

// Log is the open log.
type Log struct {
	fs      FS
	segment uint64 // the one that is appended to
	size    int64  // its bytes
	hard    flow.Hard
	tail    []flow.Entry // entries after the snapshot, for rewriting on a snapshot
	base    uint64       // index of the snapshot

	damage tailDamage
	marks  markState
	Blobs  *BlobStore
}

// record is one frame of a segment.
type record struct {
	Saves []flow.Save `json:"saves,omitempty"`
	Mark  *tailMark   `json:"mark,omitempty"`
}

// snapshotFile is a snapshot as it lies on disk. One that came from a leader ends
// the log before it: entries in segments up to Seg that go past it are void,
// also if the power went before the next segment was started.
type snapshotFile struct {
	Snapshot flow.Snapshot `json:"digest"`
	Ends     bool          `json:"ends,omitempty"`
	Seg      uint64        `json:"seg"`
}

func segmentName(n uint64) string  { return fmt.Sprintf("log-%016d.seg", n) }
func snapshotName(n uint64) string { return fmt.Sprintf("digest-%016d.json", n) }

func number(name, head, tail string) (uint64, bool) {
	if !strings.HasPrefix(name, head) || !strings.HasSuffix(name, tail) {
		return 0, false
	}
	n, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(name, head), tail), 10, 64)
	return n, err == nil
}

// logFiles gives the numbers of segments, oldest first, and snapshots, newest first.
func logFiles(names []string) (segments, snapshots []uint64) {
	for _, name := range names {
		if n, ok := number(name, "log-", ".seg"); ok {
			segments = append(segments, n)
		}
		if n, ok := number(name, "digest-", ".json"); ok {
			snapshots = append(snapshots, n)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	slices.Reverse(snapshots)
	return segments, snapshots
}

// Open reads what is there. A torn last frame is cut off; anything else that
// does not read is a stop.
func Open(files FS) (*Log, store.Disk, error) {
	log := &Log{fs: files}
	var disk store.Disk
	names, err := files.List()
	if err != nil {
		return nil, disk, errors.Wrap(err, "disk: list")
	}
	segments, snapshots := logFiles(names)
	file, err := log.readSnapshot(snapshots)
	if err != nil {
		return nil, disk, err
	}
	if file != nil {
		disk.Snapshot = &file.Snapshot
	}
	if log.Blobs, err = openBlobStore(files, names); err != nil {
		return nil, disk, err
	}
	if disk.Items, err = log.needs(disk.Snapshot); err != nil {
		return nil, disk, err
	}
	if err := log.replayAll(segments, file); err != nil {
		return nil, disk, err
	}
	log.hard = log.damage.applyTo(log.hard)
	disk.Hard, disk.Entries = log.hard, append([]flow.Entry(nil), log.tail...)
	if err := log.start(); err != nil {
		return nil, disk, err
	}
	return log, disk, markLogged(files)
}

// readSnapshot reads the newest snapshot; nil if there is none.
func (l *Log) readSnapshot(snapshots []uint64) (*snapshotFile, error) {
	if len(snapshots) == 0 {
		return nil, nil
	}
	name := snapshotName(snapshots[0])
	raw, err := l.fs.Read(name)
	if err != nil {
		return nil, errors.Wrap(err, "disk: snapshot")
	}
	var file snapshotFile
	if _, ok := unframe(raw, &file); !ok {
		return nil, errors.Wrap(ErrCorrupt, name)
	}
	l.base = file.Snapshot.Index
	return &file, nil
}

// replayAll folds all segments and leaves the entries after the snapshot.
func (l *Log) replayAll(segments []uint64, file *snapshotFile) error {
	for i, segment := range segments {
		if err := l.replay(segment, i == len(segments)-1); err != nil {
			return err
		}
		l.segment = segment
		if file != nil && file.Ends && segment <= file.Seg {
			l.tail = nil
		}
	}
	// Entries that the snapshot stands for are not needed any more.
	for len(l.tail) > 0 && l.tail[0].Index <= l.base {
		l.tail = l.tail[1:]
	}
	if len(l.tail) > 0 && l.tail[0].Index != l.base+1 {
		return errors.Wrapf(ErrCorrupt, "entries start at %d after a snapshot at %d", l.tail[0].Index, l.base)
	}
	return nil
}

// needs reads the items without which the snapshot can't be loaded.
func (l *Log) needs(snapshot *flow.Snapshot) (map[flow.Ref][]byte, error) {
	if snapshot == nil {
		return nil, nil
	}
	refs, err := ledger.Needs(snapshot.State)
	if err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	got, err := l.Blobs.fetch(flow.Fetch{Refs: refs})
	if err != nil {
		return nil, err
	}
	if len(got.Missing) > 0 {
		return nil, errors.Wrapf(ErrMissing, "%s %d", got.Missing[0].Kind, got.Missing[0].ID)
	}
	items := map[flow.Ref][]byte{}
	for _, part := range got.Parts {
		items[part.Ref] = part.Body
	}
	return items, nil
}

func (l *Log) replay(seg uint64, last bool) error {
	name := segmentName(seg)
	raw, err := l.fs.Read(name)
	if err != nil {
		return errors.Wrap(err, "disk: segment")
	}
	_, at := l.frames(raw)
	if at == 0 {
		// A segment is put there whole with its first frame: this is no torn tail, and
		// without that frame the member would not know what it voted for.
		return errors.Wrapf(ErrCorrupt, "%s has no whole frame", name)
	}
	if at == len(raw) {
		return nil
	}
	damage := l.tailOf(raw, at)
	if damage.kind == damageUnread {
		return errors.Wrapf(ErrUnread, "%s at byte %d", name, at)
	}
	if !last || damage.kind == damageBeforeTail {
		return errors.Wrapf(ErrCorrupt, "%s at byte %d", name, at)
	}
	l.damage = damage
	if err := l.fs.Truncate(name, int64(at)); err != nil {
		return errors.Wrap(ErrSync, err.Error())
	}
	return errors.Wrap(l.fs.Sync(name), "disk: cut the torn tail")
}

// frames folds the frames of a segment up to the first that does not read, and
// gives how many saves there are and where they end.
func (l *Log) frames(b []byte) (n, at int) {
	l.marks = markState{}
	for at < len(b) {
		var read record
		size, ok := unframe(b[at:], &read)
		if !ok {
			break
		}
		for _, s := range read.Saves {
			l.fold(s)
		}
		l.marks.note(read)
		if at += size; read.Mark == nil {
			n++
		}
	}
	return n, at
}

// ended tells a damaged last frame from a torn one, which has no end mark: what
// was whole once may have been acknowledged (design 4.6).
func ended(b []byte) bool { return b[len(b)-1] == '\n' }

// whole says whether a readable frame comes after the first line of b.
func whole(raw []byte) bool {
	for {
		i := bytes.IndexByte(raw, '\n')
		if i < 0 {
			return false
		}
		raw = raw[i+1:]
		var r record
		if _, ok := unframe(raw, &r); ok {
			return true
		}
	}
}

func (l *Log) fold(save flow.Save) {
	if save.Hard != nil {
		l.hard = *save.Hard
	}
	if save.Snapshot != nil && save.Snapshot.Index > l.base {
		l.base = save.Snapshot.Index
		i := 0
		for i < len(l.tail) && l.tail[i].Index <= l.base {
			i++
		}
		l.tail = append([]flow.Entry(nil), l.tail[i:]...)
	}
	if save.Cut > 0 {
		i := len(l.tail)
		for i > 0 && l.tail[i-1].Index >= save.Cut {
			i--
		}
		l.tail = l.tail[:i]
	}
	for _, e := range save.Add {
		if n := len(l.tail); n > 0 && l.tail[n-1].Index >= e.Index {
			continue
		}
		l.tail = append(l.tail, e)
	}
}

// start opens a new segment that holds all that the older ones held. It may
// be tried again after a failure: nothing counts until it is through.
func (l *Log) start() error {
	if err := l.open(record{Saves: []flow.Save{{Hard: &l.hard, Add: l.tail}}}); err != nil {
		return err
	}
	names, err := l.fs.List()
	if err != nil {
		return diskError(err)
	}
	for _, n := range names {
		if x, ok := number(n, "log-", ".seg"); ok && x < l.segment {
			if err := l.fs.Remove(n); err != nil {
				return diskError(err)
			}
		}
		if x, ok := number(n, "digest-", ".json"); ok && x < l.base {
			if err := l.fs.Remove(n); err != nil {
				return diskError(err)
			}
		}
	}
	return nil
}

// open puts the next segment beside the others.
func (l *Log) open(r record) error {
	b := frameOf(r)
	if err := l.put(segmentName(l.segment+1), b); err != nil {
		return err
	}
	l.segment++
	l.size = int64(len(b))
	return nil
}

// put writes a whole file so that it is there entirely or not at all.
func (l *Log) put(name string, b []byte) error {
	for _, f := range []func() error{
		func() error { return l.fs.Write("new", b) },
		func() error { return l.fs.Sync("new") },
		func() error { return l.fs.Rename("new", name) },
		func() error { return l.fs.SyncDir() },
	} {
		if err := f(); err != nil {
			_ = l.fs.Remove("new") // room for others, should there be none
			return diskError(err)
		}
	}
	return nil
}

// Save writes and syncs. After ErrFull the same saves may be given again; after
// any other failure nothing of this log may be trusted, and the role stops.
func (l *Log) Save(blobs []flow.BlobChange, saves []flow.Save) error {
	if err := l.Blobs.apply(blobs); err != nil {
		return err
	}
	var rest []flow.Save
	for _, save := range saves {
		if save.Snapshot != nil {
			// What was saved before the snapshot goes first.
			if err := l.append(rest); err != nil {
				return err
			}
			rest = nil
			if err := l.snapshot(save); err != nil {
				return err
			}
			continue
		}
		rest = append(rest, save)
	}
	return l.append(rest)
}

// Fetch reads from the blob store.
func (l *Log) Fetch(f flow.Fetch) (flow.Fetched, error) { return l.Blobs.fetch(f) }

func (l *Log) snapshot(save flow.Save) error {
	if err := l.Blobs.sync(); err != nil {
		return err
	}
	if err := l.put(snapshotName(save.Snapshot.Index), frame(snapshotFile{*save.Snapshot, save.Cut > 0, l.segment})); err != nil {
		return err
	}
	l.fold(save)
	if err := l.start(); err != nil {
		return err
	}
	return l.Blobs.settle(save.Snapshot.Index)
}

func (l *Log) append(saves []flow.Save) error {
	if len(saves) == 0 {
		return nil
	}
	if l.size > SegmentMost {
		// The segments before it stay until a snapshot stands for them.
		if err := l.open(record{Saves: []flow.Save{{Hard: &l.hard}}}); err != nil {
			return err
		}
	}
	frames := append(frameOf(record{Saves: saves}), frame(record{Mark: markOf(l.hard, saves)})...)
	name := segmentName(l.segment)
	if err := l.fs.Append(name, frames); err != nil {
		if e := diskError(err); !errors.Is(e, ErrFull) {
			return e
		}
		// A part may have got there: without it the log is as it was.
		if e := l.fs.Truncate(name, l.size); e != nil {
			return errors.Wrap(ErrSync, e.Error())
		}
		return diskError(err)
	}
	if err := l.fs.Sync(name); err != nil {
		return errors.Wrap(ErrSync, err.Error())
	}
	l.size += int64(len(frames))
	for _, s := range saves {
		l.fold(s)
	}
	return nil
}

// PutFile replaces one small file beside the log.
func PutFile(files FS, name string, b []byte) error {
	tmp := name + ".new"
	if err := files.Write(tmp, b); err != nil {
		return errors.Wrap(err, "disk: file")
	}
	if err := files.Sync(tmp); err != nil {
		return errors.Wrap(err, "disk: file")
	}
	if err := files.Rename(tmp, name); err != nil {
		return errors.Wrap(err, "disk: file")
	}
	return errors.Wrap(files.SyncDir(), "disk: file")
}
