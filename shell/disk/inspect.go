package disk

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
	"fernlink/core/sorted"
)

// Report is what a data folder holds, and whether it is whole. Sizes are in
// bytes.
type Report struct {
	Identity   *Identity  `json:"identity,omitempty"`
	Cluster    string     `json:"cluster,omitempty"`
	Term       uint64     `json:"term"`
	Vote       string     `json:"vote,omitempty"`
	Unsure     bool       `json:"unsure"` // entries that it acknowledged may be gone
	Segments   []Segment  `json:"segments"`
	Snapshot   *Snapshot  `json:"snapshot,omitempty"`
	Entries    int        `json:"entries"` // after the snapshot
	First      uint64     `json:"first,omitempty"`
	Last       uint64     `json:"last,omitempty"`
	Blobs      []Kind     `json:"blobs"`
	Needs      int        `json:"needs"` // items that the snapshot names
	Missing    []flow.Ref `json:"missing,omitempty"`
	Plan       uint64     `json:"plan_version"`
	Steps      int        `json:"steps_open"`
	Lots       []LotState `json:"lots_open"`
	LotsEnded  int        `json:"lots_ended"`
	Other      []string   `json:"other_files,omitempty"`
	Notes      []string   `json:"notes,omitempty"`    // worth knowing, and no damage
	Findings   []string   `json:"findings,omitempty"` // damage or doubt
	unreadable bool
}

// Segment is one file of the log.
type Segment struct {
	Name   string `json:"name"`
	Bytes  int    `json:"bytes"`
	Frames int    `json:"frames"`
	Tail   string `json:"tail"` // whole, torn or damaged
	At     int    `json:"at,omitempty"`
}

// Snapshot is the newest snapshot of the ledger.
type Snapshot struct {
	Name    string `json:"name"`
	Bytes   int    `json:"bytes"`
	Index   uint64 `json:"index"`
	Term    uint64 `json:"term"`
	Voters  int    `json:"voters"`
	Members int    `json:"members"`
}

// Kind is one row of segments on the blob store.
type Kind struct {
	Name     string `json:"kind"`
	Segments int    `json:"segments"`
	Items    int    `json:"items"`
	Bytes    int64  `json:"bytes"`
}

// LotState is an open lot as the folder knows it.
type LotState struct {
	ID     string `json:"id"`
	Owner  string `json:"owner"`
	Listed int    `json:"listed"`
	Total  int    `json:"total"`
}

// Whole says that nothing is damaged and nothing in doubt.
func (r Report) Whole() bool { return len(r.Findings) == 0 }

func (r *Report) find(text string, a ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(text, a...))
}
func (r *Report) note(text string, a ...any) { r.Notes = append(r.Notes, fmt.Sprintf(text, a...)) }

// ErrUnreadable says that a folder can't be read.
var ErrUnreadable = errors.New("disk: the folder can't be read")

// still looks at a folder and changes nothing: what would be cut off stays.
type still struct{ FS }

func (still) Truncate(string, int64) error { return nil }
func (still) Sync(string) error            { return nil }

// looks is how often a folder is read that changes while it is read.
const looks = 5

// Inspect reads a data folder without changing it (design 4.6, 4.9, 4.10). Its
// node may be running: a look that finds something amiss while files came or
// went is made again.
func Inspect(files FS) (Report, error) {
	for looked := 1; ; looked++ {
		before, err := files.List()
		if err != nil {
			return Report{}, errors.Wrap(ErrUnreadable, err.Error())
		}
		report := look(still{files}, slices.Clone(before))
		if report.Whole() && !report.unreadable {
			return report, nil
		}
		after, err := files.List()
		if err != nil {
			return Report{}, errors.Wrap(ErrUnreadable, err.Error())
		}
		if slices.Equal(before, after) || looked == looks {
			if report.unreadable {
				return report, errors.Wrap(ErrUnreadable, strings.Join(report.Findings, "; "))
			}
			return report, nil
		}
	}
}

func look(fs FS, names []string) Report {
	report := Report{Segments: []Segment{}, Blobs: []Kind{}, Lots: []LotState{}}
	segments, snapshots := logFiles(names)
	report.identity(fs, names, len(segments) > 0)
	log := &Log{fs: fs}
	file := report.snapshot(log, snapshots)
	blobs := report.blobs(fs, names)
	for i, s := range segments {
		report.segment(log, s, i == len(segments)-1)
		if file != nil && file.Ends && s <= file.Seg {
			log.tail = nil
		}
	}
	for len(log.tail) > 0 && log.tail[0].Index <= log.base {
		log.tail = log.tail[1:]
	}
	report.entries(log)
	if len(segments) == 0 && len(snapshots)+len(report.Blobs) > 0 {
		report.find("a snapshot or a blob store without a log")
	}
	report.state(file, blobs, log.tail)
	for _, n := range names {
		_, seg := number(n, "log-", ".seg")
		_, dig := number(n, "digest-", ".json")
		if !seg && !dig && n != "identity" && !strings.HasPrefix(n, "shelf-") {
			report.Other = append(report.Other, n)
		}
		if n == "new" || strings.HasSuffix(n, ".new") {
			report.note("%s was not finished; it counts for nothing", n)
		}
	}
	if len(names) == 0 {
		report.find("the folder is blank: a new one and one that was emptied look alike")
	}
	return report
}

// read reads a file. One that is there and can't be read makes the look void.
func (r *Report) read(fs FS, name string) ([]byte, bool) {
	b, err := fs.Read(name)
	if err != nil {
		r.unreadable = true
		r.find("%s can't be read: %v", name, err)
	}
	return b, err == nil
}

func (r *Report) identity(fs FS, names []string, log bool) {
	if !slices.Contains(names, "identity") {
		if log {
			r.find("a log without an identity")
		}
		return
	}
	b, ok := r.read(fs, "identity")
	if !ok {
		return
	}
	var id Identity
	if _, ok := unframe(b, &id); !ok || id.ID == "" {
		r.find("the identity is damaged")
		return
	}
	r.Identity = &id
}

func (r *Report) snapshot(log *Log, snapshots []uint64) *snapshotFile {
	if len(snapshots) == 0 {
		return nil
	}
	name := snapshotName(snapshots[0])
	raw, ok := r.read(log.fs, name)
	if !ok {
		return nil
	}
	var file snapshotFile
	if _, ok := unframe(raw, &file); !ok {
		r.find("%s is damaged", name)
		return nil
	}
	r.Snapshot = &Snapshot{Name: name, Bytes: len(raw), Index: file.Snapshot.Index, Term: file.Snapshot.Term}
	var c raft.Conf
	if json.Unmarshal(file.Snapshot.Conf, &c) == nil {
		r.Snapshot.Voters, r.Snapshot.Members = c.Voters(), len(c.Members)
	}
	if file.Snapshot.Index != snapshots[0] {
		r.find("%s holds the snapshot of %d", name, file.Snapshot.Index)
	}
	log.base = file.Snapshot.Index
	return &file
}

func (r *Report) segment(log *Log, n uint64, last bool) {
	segment := Segment{Name: segmentName(n), Tail: "whole"}
	raw, ok := r.read(log.fs, segment.Name)
	if !ok {
		return
	}
	segment.Bytes = len(raw)
	segment.Frames, segment.At = log.frames(raw)
	damage := tailDamage{}
	if segment.At < len(raw) {
		damage = log.tailOf(raw, segment.At)
	}
	switch {
	case len(raw) == 0 || segment.At == 0 && last && damage.kind != damageBeforeTail:
		segment.Tail = "damaged"
		r.find("%s has no whole frame: it was put there with one", segment.Name)
	case segment.At == len(raw):
		segment.At = 0
	case damage.kind == damageUnread:
		segment.Tail = "damaged"
		r.find("%s holds a frame at byte %d that is whole and does not parse", segment.Name, segment.At)
	case !last || damage.kind == damageBeforeTail:
		segment.Tail = "damaged"
		r.find("%s is damaged at byte %d, before its tail", segment.Name, segment.At)
	case damage.kind == damageOfMark:
		segment.Tail = "damaged"
		r.note("%s is damaged at byte %d: the mark behind its last save, which is whole", segment.Name, segment.At)
	case damage.kind == damageMarked:
		segment.Tail = "damaged"
		r.find("%s is damaged at byte %d: its last save was whole once; its mark says that the log ended at %d of term %d", segment.Name, segment.At, damage.mark.Index, damage.mark.Term)
	case damage.kind == damageUnknown:
		segment.Tail = "damaged"
		r.find("%s is damaged at byte %d: its last frame was whole once and may have been acknowledged", segment.Name, segment.At)
	default:
		segment.Tail = "torn"
		r.note("%s is torn at byte %d: the frame was never acknowledged, or is being written", segment.Name, segment.At)
	}
	r.Segments = append(r.Segments, segment)
}

func (r *Report) entries(log *Log) {
	h := log.hard
	r.Cluster, r.Term, r.Vote, r.Unsure = h.Cluster, h.Term, h.Vote, h.Unsure
	if h.Unsure {
		r.find("this member is unsure of its tail: entries that it acknowledged may be gone")
	}
	if r.Entries = len(log.tail); r.Entries == 0 {
		return
	}
	r.First, r.Last = log.tail[0].Index, log.tail[r.Entries-1].Index
	if r.First != log.base+1 {
		r.find("entries start at %d after a snapshot at %d", r.First, log.base)
	}
	if uint64(r.Entries) != r.Last-r.First+1 {
		r.find("entries %d to %d are %d in number", r.First, r.Last, r.Entries)
	}
}

func (r *Report) blobs(fs FS, names []string) *BlobStore {
	blobs := &BlobStore{fs: fs, kinds: map[string]*blobKind{}}
	blobs.listSegments(slices.Clone(names))
	for _, k := range sorted.Keys(blobs.kinds) {
		kind := Kind{Name: k}
		for i, segment := range blobs.kinds[k].segments {
			raw, ok := r.read(fs, segment.name)
			if !ok {
				continue
			}
			last := i == len(blobs.kinds[k].segments)-1
			if err := blobs.scan(segment, last); err != nil {
				r.find("%v", err)
				continue
			}
			if int64(len(raw)) > segment.size && last {
				r.note("%s has %d bytes behind byte %d that do not read: never synced, or being written", segment.name, int64(len(raw))-segment.size, segment.size)
			}
			kind.Segments, kind.Items, kind.Bytes = kind.Segments+1, kind.Items+len(segment.ids), kind.Bytes+segment.size
		}
		r.Blobs = append(r.Blobs, kind)
	}
	return blobs
}

// state folds what the folder has and checks the blob store against the snapshot.
func (r *Report) state(file *snapshotFile, blobs *BlobStore, tail []flow.Entry) {
	folded := ledger.New()
	if file != nil {
		var ok bool
		if folded, ok = r.loadSnapshot(file, blobs); !ok {
			return
		}
	}
	if file == nil && len(tail) > 0 && tail[0].Index > 1 {
		return // said already: what came before is not here
	}
	for _, entry := range tail {
		if entry.Kind == "cmd" {
			folded.Apply(entry.Index, entry.Data)
			folded.Box() // what it wants of the blob store is the node's to do
		}
	}
	if len(tail) > 0 {
		r.note("plan, steps and lots are as of entry %d, which need not have committed", tail[len(tail)-1].Index)
	}
	r.contents(folded)
}

// loadSnapshot loads the snapshot's state with its items, and says whether it could.
func (r *Report) loadSnapshot(file *snapshotFile, blobs *BlobStore) (*ledger.Ledger, bool) {
	refs, err := ledger.Needs(file.Snapshot.State)
	if err != nil {
		r.find("the snapshot does not read: %v", err)
		return nil, false
	}
	items := map[flow.Ref][]byte{}
	if got, err := blobs.fetch(flow.Fetch{Refs: refs}); err == nil {
		r.Missing = got.Missing
		for _, part := range got.Parts {
			items[part.Ref] = part.Body
		}
	} else {
		r.find("%v", err)
	}
	loaded, err := ledger.Load(file.Snapshot.State, items)
	if err != nil {
		r.Needs = len(refs)
		r.find("the snapshot does not load, %d items are missing: %v", len(r.Missing), err)
		return nil, false
	}
	r.findMissing(loaded.Items(), blobs)
	return loaded, true
}

// findMissing looks for every item that the snapshot names.
func (r *Report) findMissing(named map[string][]uint64, blobs *BlobStore) {
	r.Missing = nil
	for _, kind := range sorted.Keys(named) {
		for _, id := range named[kind] {
			r.Needs++
			if segment, _ := blobs.find(flow.Ref{Kind: kind, ID: id}); segment == nil {
				r.Missing = append(r.Missing, flow.Ref{Kind: kind, ID: id})
			}
		}
	}
	if n := len(r.Missing); n > 0 {
		r.find("the blob store lacks %d items that the snapshot names, first %s %d", n, r.Missing[0].Kind, r.Missing[0].ID)
	}
}

// contents tells what plan, steps and lots there are.
func (r *Report) contents(folded *ledger.Ledger) {
	r.Plan = folded.Plan().Version
	for _, id := range sorted.Keys(folded.Steps) {
		if folded.Steps[id].State == "open" {
			r.Steps++
		}
	}
	for _, id := range sorted.Keys(folded.Lots) {
		lot := folded.Lots[id]
		if lot.Ended {
			r.LotsEnded++
			continue
		}
		r.Lots = append(r.Lots, LotState{id, lot.Doc.Owner, len(lot.List), len(lot.IDs)})
	}
}
