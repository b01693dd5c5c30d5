package disk

import (
	"fmt"
	"hash/crc32"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// ErrMissing says that the blob store lacks what the snapshot names.
var ErrMissing = errors.New("disk: the blob store lacks an item")

// BlobSegmentMost is when a new segment is started.
const BlobSegmentMost = 4 << 20

// BlobStore keeps items in segments, files of one kind that are only appended to and
// go when nothing in them is needed (design 4.9). Memory has each item's number
// and offset. A segment is synced when the next is started, and with each snapshot.
type BlobStore struct {
	fs      FS
	kinds   map[string]*blobKind
	release release
}

type blobKind struct {
	kind     string
	segments []*blobSegment
	next     uint64
}

type blobSegment struct {
	name  string
	ids   []uint64
	at    []uint32
	dead  []bool
	gone  int
	size  int64
	dirty bool
	full  bool
}

const headBytes = 8 + 1 + 10 + 1 + 20 + 1 // checksum, size, number

func cover(id uint64, body []byte) []byte {
	sum := crc32.Update(crc32.ChecksumIEEE([]byte(fmt.Sprintf("%020d", id))), crc32.IEEETable, body)
	b := make([]byte, 0, headBytes+len(body)+1)
	b = append(b, fmt.Sprintf("%08x %010d %020d\n", sum, len(body), id)...)
	return append(append(b, body...), '\n')
}

// uncover reads one item and gives its number, its body and its size on disk.
func uncover(b []byte) (id uint64, body []byte, n int, ok bool) {
	if len(b) < headBytes+1 || b[8] != ' ' || b[19] != ' ' || b[headBytes-1] != '\n' {
		return
	}
	sum, e1 := strconv.ParseUint(string(b[:8]), 16, 32)
	size, e2 := strconv.ParseUint(string(b[9:19]), 10, 32)
	id, e3 := strconv.ParseUint(string(b[20:40]), 10, 64)
	if e1 != nil || e2 != nil || e3 != nil || uint64(len(b)) < headBytes+size+1 || b[headBytes+size] != '\n' {
		return
	}
	body = b[headBytes : headBytes+size]
	if uint64(crc32.Update(crc32.ChecksumIEEE(b[20:40]), crc32.IEEETable, body)) != sum {
		return
	}
	return id, body, headBytes + int(size) + 1, true
}

func blobSegmentName(kind string, n uint64) string { return fmt.Sprintf("shelf-%s-%012d.seg", kind, n) }

// openBlobStore reads every segment. What is torn at the end of a kind's last segment was
// never synced, and its items still stand in the log.
func openBlobStore(fs FS, names []string) (*BlobStore, error) {
	blobs := &BlobStore{fs: fs, kinds: map[string]*blobKind{}, release: newRelease()}
	blobs.fill(names)
	for _, r := range blobs.kinds {
		for i, t := range r.segments {
			if err := blobs.scan(t, i == len(r.segments)-1); err != nil {
				return nil, err
			}
		}
	}
	return blobs, nil
}

// fill puts the segments of a folder into their racks, unread.
func (s *BlobStore) fill(names []string) {
	sort.Strings(names)
	for _, name := range names {
		rest, ok := strings.CutPrefix(name, "shelf-")
		kind, num, ok2 := strings.Cut(strings.TrimSuffix(rest, ".seg"), "-")
		n, err := strconv.ParseUint(num, 10, 64)
		if !ok || !ok2 || err != nil || !strings.HasSuffix(name, ".seg") {
			continue
		}
		r := s.rack(kind)
		r.segments, r.next = append(r.segments, &blobSegment{name: name}), n+1
	}
}

func (s *BlobStore) scan(segment *blobSegment, last bool) error {
	b, err := s.fs.Read(segment.name)
	if err != nil {
		return errors.Wrap(err, "disk: blobSegment")
	}
	for at := 0; at < len(b); {
		id, _, n, ok := uncover(b[at:])
		if !ok {
			if !last {
				return errors.Wrapf(ErrCorrupt, "%s at byte %d", segment.name, at)
			}
			if err := s.fs.Truncate(segment.name, int64(at)); err != nil {
				return diskError(err)
			}
			break
		}
		segment.add(id, at)
		at += n
		segment.size = int64(at)
	}
	segment.full = !last || segment.size > BlobSegmentMost
	segment.dirty = last // an earlier process may have left it unsynced
	return nil
}

func (t *blobSegment) add(id uint64, at int) {
	t.ids, t.at, t.dead = append(t.ids, id), append(t.at, uint32(at)), append(t.dead, false)
}

// find gives an item's place, or -1. Numbers in one segment only grow.
func (t *blobSegment) find(id uint64) int {
	if n := len(t.ids); n == 0 || id < t.ids[0] || id > t.ids[n-1] {
		return -1
	}
	if i, ok := slices.BinarySearch(t.ids, id); ok {
		return i
	}
	return -1
}

func (s *BlobStore) rack(kind string) *blobKind {
	r := s.kinds[kind]
	if r == nil {
		r = &blobKind{kind: kind, next: 1}
		s.kinds[kind] = r
	}
	return r
}

func (s *BlobStore) find(ref flow.Ref) (*blobSegment, int) {
	r := s.rack(ref.Kind)
	for i := len(r.segments) - 1; i >= 0; i-- {
		if at := r.segments[i].find(ref.ID); at >= 0 && !r.segments[i].dead[at] {
			return r.segments[i], at
		}
	}
	return nil, 0
}

// do makes changes. It may be tried again after ErrFull.
func (s *BlobStore) do(ops []flow.BlobChange) error {
	for _, change := range ops {
		if change.Only != nil {
			if err := s.only(change); err != nil {
				return err
			}
		}
		s.release.put(change)
		var r *blobKind
		var b []byte
		var ids []uint64
		var at []int
		for i, it := range change.Put {
			if t, _ := s.find(it.Ref); t != nil {
				continue
			}
			r = s.rack(it.Kind)
			at, ids = append(at, len(b)), append(ids, it.ID)
			b = append(b, cover(it.ID, it.Body)...)
			if i+1 < len(change.Put) && change.Put[i+1].Kind == it.Kind && change.Put[i+1].ID > it.ID && len(b) < BlobSegmentMost {
				continue
			}
			if err := s.append(r, b, ids, at); err != nil {
				return err
			}
			b, ids, at = nil, nil, nil
		}
		if len(ids) > 0 {
			if err := s.append(r, b, ids, at); err != nil {
				return err
			}
		}
		s.release.drop(change)
	}
	return nil
}

func (s *BlobStore) append(r *blobKind, b []byte, ids []uint64, at []int) error {
	var segment *blobSegment
	if n := len(r.segments); n > 0 {
		segment = r.segments[n-1]
	}
	if segment == nil || segment.full || segment.size > BlobSegmentMost || len(segment.ids) > 0 && segment.ids[len(segment.ids)-1] >= ids[0] {
		if segment != nil && segment.dirty {
			if err := s.fs.Sync(segment.name); err != nil {
				return diskError(err)
			}
			segment.dirty = false
		}
		n := &blobSegment{name: blobSegmentName(r.kind, r.next)}
		if err := s.fs.Write(n.name, nil); err != nil {
			return diskError(err)
		}
		if err := s.fs.SyncDir(); err != nil {
			return diskError(err)
		}
		if segment != nil {
			segment.full = true
		}
		segment = n
		r.segments, r.next = append(r.segments, n), r.next+1
	}
	if err := s.fs.Append(segment.name, b); err != nil {
		e := diskError(err)
		if errors.Is(e, ErrFull) {
			if e2 := s.fs.Truncate(segment.name, segment.size); e2 != nil {
				return diskError(e2)
			}
		}
		return e
	}
	for i, id := range ids {
		segment.add(id, int(segment.size)+at[i])
	}
	segment.size += int64(len(b))
	segment.dirty = true
	return nil
}

// sync brings all to disk, before a snapshot that names it.
func (s *BlobStore) sync() error {
	for _, r := range s.kinds {
		for _, t := range r.segments {
			if t.dirty {
				if err := s.fs.Sync(t.name); err != nil {
					return diskError(err)
				}
				t.dirty = false
			}
		}
	}
	return nil
}

func (s *BlobStore) sweep() error {
	for _, r := range s.kinds {
		left := r.segments[:0:0]
		for _, t := range r.segments {
			if t.gone < len(t.ids) {
				left = append(left, t)
				continue
			}
			if err := s.fs.Remove(t.name); err != nil {
				return diskError(err)
			}
		}
		r.segments = left
	}
	return nil
}

// fetch reads items.
func (s *BlobStore) fetch(fetch flow.Fetch) (flow.Fetched, error) {
	fetched := flow.Fetched{ID: fetch.ID}
	sent := 0
	for i, ref := range fetch.Refs {
		segment, at := s.find(ref)
		if segment == nil {
			fetched.Missing = append(fetched.Missing, ref)
			continue
		}
		if fetch.Check {
			continue
		}
		if fetch.Most > 0 && sent >= fetch.Most {
			break
		}
		body, err := s.read(segment, at)
		if err != nil {
			return fetched, err
		}
		part := flow.Part{Ref: ref, Size: len(body), Body: body}
		if i == 0 && fetch.At > 0 {
			part.At = min(fetch.At, len(body))
			part.Body = body[part.At:]
		}
		if fetch.Most > 0 && len(part.Body) > fetch.Most-sent {
			part.Body = part.Body[:fetch.Most-sent]
		}
		sent += len(part.Body) + headBytes
		fetched.Parts = append(fetched.Parts, part)
	}
	return fetched, nil
}

func (s *BlobStore) read(segment *blobSegment, i int) ([]byte, error) {
	end := segment.size
	if i+1 < len(segment.at) {
		end = int64(segment.at[i+1])
	}
	b, err := s.fs.ReadAt(segment.name, int64(segment.at[i]), int(end-int64(segment.at[i])))
	if err != nil {
		return nil, errors.Wrap(err, "disk: blobSegment")
	}
	id, body, _, ok := uncover(b)
	if !ok || id != segment.ids[i] {
		return nil, errors.Wrapf(ErrCorrupt, "%s at byte %d", segment.name, segment.at[i])
	}
	return body, nil
}

// Stats counts items and bytes of each kind.
func (s *BlobStore) Stats() (items, bytes map[string]int64) {
	items, bytes = map[string]int64{}, map[string]int64{}
	for k, r := range s.kinds {
		for _, t := range r.segments {
			items[k] += int64(len(t.ids) - t.gone)
			bytes[k] += t.size
		}
	}
	return
}
