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

// blobKind are the segments of one kind of items, oldest first.
type blobKind struct {
	name     string
	segments []*blobSegment
	next     uint64
}

// blobSegment is one file. Its three lists have an element for each item in it.
type blobSegment struct {
	name     string
	ids      []uint64
	offsets  []uint32
	dead     []bool
	released int
	size     int64
	dirty    bool
	full     bool
}

const blobHeadBytes = 8 + 1 + 10 + 1 + 20 + 1 // checksum, size, number

// encodeBlob gives an item as it lies in a segment: checksum, size and number, then the
// body.
func encodeBlob(id uint64, body []byte) []byte {
	sum := crc32.Update(crc32.ChecksumIEEE([]byte(fmt.Sprintf("%020d", id))), crc32.IEEETable, body)
	b := make([]byte, 0, blobHeadBytes+len(body)+1)
	b = append(b, fmt.Sprintf("%08x %010d %020d\n", sum, len(body), id)...)
	return append(append(b, body...), '\n')
}

// decodeBlob reads one item and gives its number, its body and its size on disk.
func decodeBlob(raw []byte) (id uint64, body []byte, n int, ok bool) {
	if len(raw) < blobHeadBytes+1 || raw[8] != ' ' || raw[19] != ' ' || raw[blobHeadBytes-1] != '\n' {
		return
	}
	sum, e1 := strconv.ParseUint(string(raw[:8]), 16, 32)
	size, e2 := strconv.ParseUint(string(raw[9:19]), 10, 32)
	id, e3 := strconv.ParseUint(string(raw[20:40]), 10, 64)
	if e1 != nil || e2 != nil || e3 != nil || uint64(len(raw)) < blobHeadBytes+size+1 || raw[blobHeadBytes+size] != '\n' {
		return
	}
	body = raw[blobHeadBytes : blobHeadBytes+size]
	if uint64(crc32.Update(crc32.ChecksumIEEE(raw[20:40]), crc32.IEEETable, body)) != sum {
		return
	}
	return id, body, blobHeadBytes + int(size) + 1, true
}

func blobSegmentName(kind string, n uint64) string { return fmt.Sprintf("shelf-%s-%012d.seg", kind, n) }

// openBlobStore reads every segment. What is torn at the end of a kind's last segment was
// never synced, and its items still stand in the log.
func openBlobStore(fs FS, names []string) (*BlobStore, error) {
	blobs := &BlobStore{fs: fs, kinds: map[string]*blobKind{}, release: newRelease()}
	blobs.listSegments(names)
	for _, kind := range blobs.kinds {
		for i, segment := range kind.segments {
			if err := blobs.scan(segment, i == len(kind.segments)-1); err != nil {
				return nil, err
			}
		}
	}
	return blobs, nil
}

// listSegments puts the segments of a folder to their kinds, unread.
func (s *BlobStore) listSegments(names []string) {
	sort.Strings(names)
	for _, name := range names {
		rest, ok := strings.CutPrefix(name, "shelf-")
		kind, num, ok2 := strings.Cut(strings.TrimSuffix(rest, ".seg"), "-")
		n, err := strconv.ParseUint(num, 10, 64)
		if !ok || !ok2 || err != nil || !strings.HasSuffix(name, ".seg") {
			continue
		}
		entry := s.kindOf(kind)
		entry.segments = append(entry.segments, &blobSegment{name: name})
		entry.next = n + 1
	}
}

func (s *BlobStore) scan(segment *blobSegment, last bool) error {
	b, err := s.fs.Read(segment.name)
	if err != nil {
		return errors.Wrap(err, "disk: blobSegment")
	}
	for at := 0; at < len(b); {
		id, _, size, ok := decodeBlob(b[at:])
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
		at += size
		segment.size = int64(at)
	}
	segment.full = !last || segment.size > BlobSegmentMost
	segment.dirty = last // an earlier process may have left it unsynced
	return nil
}

func (t *blobSegment) add(id uint64, at int) {
	t.ids, t.offsets, t.dead = append(t.ids, id), append(t.offsets, uint32(at)), append(t.dead, false)
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

func (s *BlobStore) kindOf(name string) *blobKind {
	kind := s.kinds[name]
	if kind == nil {
		kind = &blobKind{name: name, next: 1}
		s.kinds[name] = kind
	}
	return kind
}

func (s *BlobStore) find(ref flow.Ref) (*blobSegment, int) {
	segments := s.kindOf(ref.Kind).segments
	for i := len(segments) - 1; i >= 0; i-- {
		if at := segments[i].find(ref.ID); at >= 0 && !segments[i].dead[at] {
			return segments[i], at
		}
	}
	return nil, 0
}

// apply makes changes. It may be tried again after ErrFull.
func (s *BlobStore) apply(ops []flow.BlobChange) error {
	for _, change := range ops {
		if change.Only != nil {
			if err := s.only(change); err != nil {
				return err
			}
		}
		s.release.put(change)
		if err := s.put(change.Put); err != nil {
			return err
		}
		s.release.drop(change)
	}
	return nil
}

// put writes items that are not there yet, in runs of one kind with growing numbers.
func (s *BlobStore) put(items []flow.Item) error {
	var kind *blobKind
	var run []byte
	var ids []uint64
	var offsets []int
	for i, item := range items {
		if segment, _ := s.find(item.Ref); segment != nil {
			continue
		}
		kind = s.kindOf(item.Kind)
		offsets, ids = append(offsets, len(run)), append(ids, item.ID)
		run = append(run, encodeBlob(item.ID, item.Body)...)
		more := i+1 < len(items) && items[i+1].Kind == item.Kind && items[i+1].ID > item.ID
		if more && len(run) < BlobSegmentMost {
			continue
		}
		if err := s.append(kind, run, ids, offsets); err != nil {
			return err
		}
		run, ids, offsets = nil, nil, nil
	}
	if len(ids) == 0 {
		return nil
	}
	return s.append(kind, run, ids, offsets)
}

// append writes items behind a kind's last segment, or to a new one.
func (s *BlobStore) append(kind *blobKind, items []byte, ids []uint64, offsets []int) error {
	segment, err := s.segmentFor(kind, ids[0])
	if err != nil {
		return err
	}
	if err := s.fs.Append(segment.name, items); err != nil {
		failure := diskError(err)
		if errors.Is(failure, ErrFull) {
			if err := s.fs.Truncate(segment.name, segment.size); err != nil {
				return diskError(err)
			}
		}
		return failure
	}
	for i, id := range ids {
		segment.add(id, int(segment.size)+offsets[i])
	}
	segment.size += int64(len(items))
	segment.dirty = true
	return nil
}

// segmentFor gives the segment that an item with this number goes to. Numbers in one
// segment only grow.
func (s *BlobStore) segmentFor(kind *blobKind, id uint64) (*blobSegment, error) {
	var last *blobSegment
	if n := len(kind.segments); n > 0 {
		last = kind.segments[n-1]
	}
	if last != nil && last.takes(id) {
		return last, nil
	}
	if last != nil && last.dirty {
		if err := s.fs.Sync(last.name); err != nil {
			return nil, diskError(err)
		}
		last.dirty = false
	}
	next := &blobSegment{name: blobSegmentName(kind.name, kind.next)}
	if err := s.fs.Write(next.name, nil); err != nil {
		return nil, diskError(err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return nil, diskError(err)
	}
	if last != nil {
		last.full = true
	}
	kind.segments = append(kind.segments, next)
	kind.next++
	return next, nil
}

// takes says whether an item with this number may go into the segment.
func (t *blobSegment) takes(id uint64) bool {
	if t.full || t.size > BlobSegmentMost {
		return false
	}
	return len(t.ids) == 0 || t.ids[len(t.ids)-1] < id
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
	for _, kind := range s.kinds {
		left := kind.segments[:0:0]
		for _, t := range kind.segments {
			if t.released < len(t.ids) {
				left = append(left, t)
				continue
			}
			if err := s.fs.Remove(t.name); err != nil {
				return diskError(err)
			}
		}
		kind.segments = left
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
		sent += len(part.Body) + blobHeadBytes
		fetched.Parts = append(fetched.Parts, part)
	}
	return fetched, nil
}

func (s *BlobStore) read(segment *blobSegment, i int) ([]byte, error) {
	end := segment.size
	if i+1 < len(segment.offsets) {
		end = int64(segment.offsets[i+1])
	}
	b, err := s.fs.ReadAt(segment.name, int64(segment.offsets[i]), int(end-int64(segment.offsets[i])))
	if err != nil {
		return nil, errors.Wrap(err, "disk: blobSegment")
	}
	id, body, _, ok := decodeBlob(b)
	if !ok || id != segment.ids[i] {
		return nil, errors.Wrapf(ErrCorrupt, "%s at byte %d", segment.name, segment.offsets[i])
	}
	return body, nil
}

// Stats counts items and bytes of each kind.
func (s *BlobStore) Stats() (items, bytes map[string]int64) {
	items, bytes = map[string]int64{}, map[string]int64{}
	for k, r := range s.kinds {
		for _, t := range r.segments {
			items[k] += int64(len(t.ids) - t.released)
			bytes[k] += t.size
		}
	}
	return
}
