// Package disk keeps the segmented log and the snapshots beside it (design
// 4.6). One frame holds one Save batch and is synced before anything that
// depends on it leaves, so only the last frame can be torn.
package disk

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"sort"
	"strconv"
	"strings"
	"syscall"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/store"
)

// Failures of this layer.
var (
	ErrCorrupt = errors.New("disk: the log is damaged before its tail")
	ErrSync    = errors.New("disk: a write or sync failed")
	ErrFull    = errors.New("disk: no room; nothing of the save counts, and it may be tried again")
)

// turned gives a failure of the folder this layer's own name.
func turned(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
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
	fs   FS
	seg  uint64
	size int64
	hard flow.Hard
	tail []flow.Entry // entries after the snapshot, for rewriting on a snapshot
	base uint64

	damage tailDamage
	marks  markState
	Blobs  *BlobStore
}

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

func segName(n uint64) string { return fmt.Sprintf("log-%016d.seg", n) }
func digName(n uint64) string { return fmt.Sprintf("digest-%016d.json", n) }

func number(name, head, tail string) (uint64, bool) {
	if !strings.HasPrefix(name, head) || !strings.HasSuffix(name, tail) {
		return 0, false
	}
	n, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(name, head), tail), 10, 64)
	return n, err == nil
}

// parts gives the numbers of segments, oldest first, and snapshots, newest first.
func parts(names []string) (segs, digs []uint64) {
	for _, n := range names {
		if x, ok := number(n, "log-", ".seg"); ok {
			segs = append(segs, x)
		}
		if x, ok := number(n, "digest-", ".json"); ok {
			digs = append(digs, x)
		}
	}
	sort.Slice(segs, func(a, b int) bool { return segs[a] < segs[b] })
	sort.Slice(digs, func(a, b int) bool { return digs[a] > digs[b] })
	return segs, digs
}

func frame(v any) []byte {
	return framed(encoded(v))
}

// headRoom is the most that the head of a frame takes: checksum, size and two spaces.
const headRoom = 8 + 1 + 20 + 1

// framed covers an encoded text.
func framed(text []byte) []byte {
	b := make([]byte, headRoom, headRoom+len(text)+1)
	return sealed(append(b, text...))
}

// sealed makes a frame of a text that has room for a head before it.
func sealed(b []byte) []byte {
	text := b[headRoom:]
	head := fmt.Sprintf("%08x %d ", crc32.ChecksumIEEE(text), len(text))
	start := headRoom - len(head)
	copy(b[start:], head)
	return append(b, '\n')[start:]
}

// frameOf gives the frame of a record, whose entries are copied as they stand. It has
// room behind it for the frame of a mark.
func frameOf(r record) []byte {
	if r.Mark != nil {
		return frame(r)
	}
	size := headRoom + saveOverhead
	for _, s := range r.Saves {
		size += flow.EncodedSize(s.Add) + saveOverhead
	}
	text := append(make([]byte, headRoom, size), `{"saves":[`...)
	for i, s := range r.Saves {
		if i > 0 {
			text = append(text, ',')
		}
		text = appendSave(text, s)
	}
	return sealed(append(text, `]}`...))
}

// saveOverhead is about what a save without entries takes, or a mark, in bytes.
const saveOverhead = 256

// appendSave adds a save to a text as its fields are encoded.
func appendSave(text []byte, s flow.Save) []byte {
	text = append(append(text, `{"Hard":`...), encoded(s.Hard)...)
	text = strconv.AppendUint(append(text, `,"Cut":`...), s.Cut, 10)
	text = append(text, `,"Add":`...)
	if s.Add == nil {
		text = append(text, `null`...)
	} else {
		text = flow.AppendEntries(text, s.Add)
	}
	return append(append(append(text, `,"Snapshot":`...), encoded(s.Snapshot)...), '}')
}

func encoded(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain structs come here
	}
	return b
}

// unframe reads one frame and gives its size, or false where it is not whole.
func unframe(b []byte, into any) (int, bool) {
	at := bytes.IndexByte(b, ' ')
	if at != 8 {
		return 0, false
	}
	end := bytes.IndexByte(b[9:min(len(b), 30)], ' ')
	if end < 0 {
		return 0, false
	}
	sum, err1 := strconv.ParseUint(string(b[:8]), 16, 32)
	n, err2 := strconv.Atoi(string(b[9 : 9+end]))
	from := 9 + end + 1
	if err1 != nil || err2 != nil || n < 0 || from+n > len(b) {
		return 0, false
	}
	body := b[from : from+n]
	if uint64(crc32.ChecksumIEEE(body)) != sum || json.Unmarshal(body, into) != nil {
		return 0, false
	}
	return min(from+n+1, len(b)), true // its end mark need not have got there
}

// Open reads what is there. A torn last frame is cut off; anything else that
// does not read is a stop.
func Open(fs FS) (*Log, store.Disk, error) {
	l := &Log{fs: fs}
	var d store.Disk
	var file snapshotFile
	names, err := fs.List()
	if err != nil {
		return nil, d, errors.Wrap(err, "disk: list")
	}
	segs, digs := parts(names)
	if len(digs) > 0 {
		b, err := fs.Read(digName(digs[0]))
		if err != nil {
			return nil, d, errors.Wrap(err, "disk: snapshot")
		}
		if _, ok := unframe(b, &file); !ok {
			return nil, d, errors.Wrap(ErrCorrupt, digName(digs[0]))
		}
		d.Snapshot, l.base = &file.Snapshot, file.Snapshot.Index
	}
	if l.Blobs, err = openBlobStore(fs, names); err != nil {
		return nil, d, err
	}
	if d.Items, err = l.needs(d.Snapshot); err != nil {
		return nil, d, err
	}
	for i, s := range segs {
		if err := l.replay(s, i == len(segs)-1); err != nil {
			return nil, d, err
		}
		l.seg = s
		if file.Ends && s <= file.Seg {
			l.tail = nil
		}
	}
	// Entries that the snapshot stands for are not needed any more.
	for len(l.tail) > 0 && l.tail[0].Index <= l.base {
		l.tail = l.tail[1:]
	}
	if len(l.tail) > 0 && l.tail[0].Index != l.base+1 {
		return nil, d, errors.Wrapf(ErrCorrupt, "entries start at %d after a snapshot at %d", l.tail[0].Index, l.base)
	}
	l.hard = l.damage.applyTo(l.hard)
	d.Hard, d.Entries = l.hard, append([]flow.Entry(nil), l.tail...)
	if err := l.start(); err != nil {
		return nil, d, err
	}
	return l, d, markLogged(fs)
}

// needs reads the items without which the snapshot can't be loaded.
func (l *Log) needs(g *flow.Snapshot) (map[flow.Ref][]byte, error) {
	if g == nil {
		return nil, nil
	}
	refs, err := ledger.Needs(g.State)
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
	out := map[flow.Ref][]byte{}
	for _, p := range got.Parts {
		out[p.Ref] = p.Body
	}
	return out, nil
}

func (l *Log) replay(seg uint64, last bool) error {
	name := segName(seg)
	b, err := l.fs.Read(name)
	if err != nil {
		return errors.Wrap(err, "disk: segment")
	}
	_, at := l.frames(b)
	if at == len(b) {
		return nil
	}
	damage := l.tailOf(b, at)
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
		var r record
		size, ok := unframe(b[at:], &r)
		if !ok {
			break
		}
		for _, s := range r.Saves {
			l.fold(s)
		}
		l.marks.note(r)
		if at += size; r.Mark == nil {
			n++
		}
	}
	return n, at
}

// ended tells a damaged last frame from a torn one, which has no end mark: what
// was whole once may have been acknowledged (design 4.6).
func ended(b []byte) bool { return b[len(b)-1] == '\n' }

// whole says whether a readable frame comes after the first line of b.
func whole(b []byte) bool {
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			return false
		}
		b = b[i+1:]
		var r record
		if _, ok := unframe(b, &r); ok {
			return true
		}
	}
}

func (l *Log) fold(s flow.Save) {
	if s.Hard != nil {
		l.hard = *s.Hard
	}
	if s.Snapshot != nil && s.Snapshot.Index > l.base {
		l.base = s.Snapshot.Index
		i := 0
		for i < len(l.tail) && l.tail[i].Index <= l.base {
			i++
		}
		l.tail = append([]flow.Entry(nil), l.tail[i:]...)
	}
	if s.Cut > 0 {
		i := len(l.tail)
		for i > 0 && l.tail[i-1].Index >= s.Cut {
			i--
		}
		l.tail = l.tail[:i]
	}
	for _, e := range s.Add {
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
		return turned(err)
	}
	for _, n := range names {
		if x, ok := number(n, "log-", ".seg"); ok && x < l.seg {
			if err := l.fs.Remove(n); err != nil {
				return turned(err)
			}
		}
		if x, ok := number(n, "digest-", ".json"); ok && x < l.base {
			if err := l.fs.Remove(n); err != nil {
				return turned(err)
			}
		}
	}
	return nil
}

// open puts the next segment beside the others.
func (l *Log) open(r record) error {
	b := frameOf(r)
	if err := l.put(segName(l.seg+1), b); err != nil {
		return err
	}
	l.seg++
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
			return turned(err)
		}
	}
	return nil
}

// Save writes and syncs. After ErrFull the same saves may be given again; after
// any other failure nothing of this log may be trusted, and the role stops.
func (l *Log) Save(blobs []flow.BlobChange, saves []flow.Save) error {
	if err := l.Blobs.do(blobs); err != nil {
		return err
	}
	var rest []flow.Save
	for _, s := range saves {
		if s.Snapshot != nil {
			// What was saved before the snapshot goes first.
			if err := l.append(rest); err != nil {
				return err
			}
			rest = nil
			if err := l.snapshot(s); err != nil {
				return err
			}
			continue
		}
		rest = append(rest, s)
	}
	return l.append(rest)
}

// Fetch reads from the blob store.
func (l *Log) Fetch(f flow.Fetch) (flow.Fetched, error) { return l.Blobs.fetch(f) }

func (l *Log) snapshot(s flow.Save) error {
	if err := l.Blobs.sync(); err != nil {
		return err
	}
	if err := l.put(digName(s.Snapshot.Index), frame(snapshotFile{*s.Snapshot, s.Cut > 0, l.seg})); err != nil {
		return err
	}
	l.fold(s)
	if err := l.start(); err != nil {
		return err
	}
	return l.Blobs.settle(s.Snapshot.Index)
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
	b := append(frameOf(record{Saves: saves}), frame(record{Mark: markOf(l.hard, saves)})...)
	name := segName(l.seg)
	if err := l.fs.Append(name, b); err != nil {
		if e := turned(err); !errors.Is(e, ErrFull) {
			return e
		}
		// A part may have got there: without it the log is as it was.
		if e := l.fs.Truncate(name, l.size); e != nil {
			return errors.Wrap(ErrSync, e.Error())
		}
		return turned(err)
	}
	if err := l.fs.Sync(name); err != nil {
		return errors.Wrap(ErrSync, err.Error())
	}
	l.size += int64(len(b))
	for _, s := range saves {
		l.fold(s)
	}
	return nil
}

// PutFile replaces one small file beside the log.
func PutFile(fs FS, name string, b []byte) error {
	tmp := name + ".new"
	if err := fs.Write(tmp, b); err != nil {
		return errors.Wrap(err, "disk: file")
	}
	if err := fs.Sync(tmp); err != nil {
		return errors.Wrap(err, "disk: file")
	}
	if err := fs.Rename(tmp, name); err != nil {
		return errors.Wrap(err, "disk: file")
	}
	return errors.Wrap(fs.SyncDir(), "disk: file")
}
