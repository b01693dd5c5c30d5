package disk

import (
	"bytes"
	"errors"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

func entries(from, to uint64) []flow.Entry {
	var out []flow.Entry
	for i := from; i <= to; i++ {
		out = append(out, flow.Entry{Index: i, Term: 1, Kind: "cmd", Data: json.RawMessage(`{"n":1}`)})
	}
	return out
}

func open(t *testing.T, dir string) (*Log, uint64, error) {
	t.Helper()
	f := past(t, dir)
	log, disk, err := Open(f)
	if err != nil {
		return nil, 0, err
	}
	last := uint64(0)
	if disk.Snapshot != nil {
		last = disk.Snapshot.Index
	}
	if n := len(disk.Entries); n > 0 {
		last = disk.Entries[n-1].Index
	}
	return log, last, nil
}

func segment(t *testing.T, dir string) string {
	t.Helper()
	m, _ := filepath.Glob(filepath.Join(dir, "log-*.seg"))
	if len(m) != 1 {
		t.Fatalf("segments: %v", m)
	}
	return m[0]
}

// Given a log whose last frame is torn at each byte, when it is opened, then
// what was synced before is there and the torn frame is cut off.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	log, _, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Save(nil, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: entries(1, 5)}}); err != nil {
		t.Fatal(err)
	}
	seg := segment(t, dir)
	before, _ := os.ReadFile(seg)
	if err := log.Save(nil, []flow.Save{{Add: entries(6, 7)}}); err != nil {
		t.Fatal(err)
	}
	after, _ := os.ReadFile(seg)
	saved := len(before) + bytes.IndexByte(after[len(before):], '\n')
	for cut := len(before); cut <= len(after); cut++ {
		other := t.TempDir()
		if err := os.WriteFile(filepath.Join(other, filepath.Base(seg)), after[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		l, last, err := open(t, other)
		want := uint64(5)
		if cut >= saved {
			want = 7 // all of the save got there, but perhaps its end mark
		}
		if err != nil || last != want || l.hard.Unsure {
			t.Fatalf("cut at %d: last %d, unsure %v, %v", cut, last, l.hard.Unsure, err)
		}
	}
}

// Given a log with any one byte of its last frame damaged, when it is opened,
// then either nothing is lost or the member says that it is unsure of its tail.
func TestDamagedTail(t *testing.T) {
	dir := t.TempDir()
	l, _, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Save(nil, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: entries(1, 5)}})
	seg := segment(t, dir)
	before, _ := os.ReadFile(seg)
	_ = l.Save(nil, []flow.Save{{Add: entries(6, 7)}})
	after, _ := os.ReadFile(seg)
	for at := len(before); at < len(after); at++ {
		b := append([]byte(nil), after...)
		b[at] ^= 1
		other := t.TempDir()
		_ = os.WriteFile(filepath.Join(other, filepath.Base(seg)), b, 0o644)
		for _, when := range []string{"opened", "opened again"} {
			f := past(t, other)
			_, d, err := Open(f)
			if err != nil || len(d.Entries) < 5 || len(d.Entries) < 7 && !d.Hard.Unsure {
				t.Fatalf("byte %d, %s: %v, %d entries, unsure %v", at, when, err, len(d.Entries), d.Hard.Unsure)
			}
			if d.Hard.Unsure && (d.Hard.LostIndex != 7 || d.Hard.LostTerm != 1) {
				t.Fatalf("byte %d, %s: its mark says where the log ended: %+v", at, when, d.Hard)
			}
		}
	}
}

// Given a log whose last save is damaged, when its mark is damaged too, then nothing
// is known of what is gone; when the save only had a vote, then the mark restores it.
func TestDamagedTailAndMark(t *testing.T) {
	vote := flow.Hard{Cluster: "c", Term: 2, Vote: "me"}
	for _, c := range []struct {
		name   string
		save   flow.Save
		spoil  []int // bytes from the end of the segment
		unsure bool
		vote   string
	}{
		{"the save and its mark", flow.Save{Add: entries(6, 7)}, []int{10, 150}, true, ""},
		{"a vote", flow.Save{Hard: &vote}, []int{110}, false, "me"},
	} {
		dir := t.TempDir()
		l, _, err := open(t, dir)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Save(nil, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: entries(1, 5)}})
		_ = l.Save(nil, []flow.Save{c.save})
		seg := segment(t, dir)
		b, _ := os.ReadFile(seg)
		for _, at := range c.spoil {
			b[len(b)-at] ^= 1
		}
		_ = os.WriteFile(seg, b, 0o644)
		f := past(t, dir)
		_, d, err := Open(f)
		if err != nil || len(d.Entries) != 5 || d.Hard.Unsure != c.unsure || d.Hard.LostIndex != 0 || d.Hard.Vote != c.vote {
			t.Errorf("%s: %v, %d entries, %+v", c.name, err, len(d.Entries), d.Hard)
		}
	}
}

// Given a log that is damaged before its tail, when it is opened, then that
// is a stop, not a shorter log.
func TestCorruptionBeforeTail(t *testing.T) {
	dir := t.TempDir()
	log, _, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	_ = log.Save(nil, []flow.Save{{Add: entries(1, 5)}})
	seg := segment(t, dir)
	b, _ := os.ReadFile(seg)
	at := len(b) - 20
	_ = log.Save(nil, []flow.Save{{Add: entries(6, 7)}})
	b, _ = os.ReadFile(seg)
	b[at] ^= 1
	_ = os.WriteFile(seg, b, 0o644)
	if _, _, err := open(t, dir); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("a damaged log opened: %v", err)
	}
}

// Guards against an acknowledged entry that is cut off as a torn tail since no reader takes it.
//
// Given a log whose last save is whole and nested deeper than can be read, when it is opened,
// then that is a stop with a reason of its own, and nothing of it is cut off.
func TestAWholeFrameThatDoesNotParseIsNoTornTail(t *testing.T) {
	dir := t.TempDir()
	log, _, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	deep := json.RawMessage(strings.Repeat("[", 9_999) + strings.Repeat("]", 9_999))
	_ = log.Save(nil, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: entries(1, 5)}})
	_ = log.Save(nil, []flow.Save{{Add: []flow.Entry{{Index: 6, Term: 1, Kind: "cmd", Data: deep}}}})
	before, _ := os.ReadFile(segment(t, dir))
	if _, _, err := open(t, dir); !errors.Is(err, ErrUnread) {
		t.Fatalf("it opened: %v", err)
	}
	if after, _ := os.ReadFile(segment(t, dir)); !bytes.Equal(before, after) {
		t.Errorf("%d bytes of the segment are left of %d", len(after), len(before))
	}
}

// Given a snapshot, when the log is opened, then entries before it are gone,
// those after it are there, and a damaged snapshot is a stop.
func TestSnapshot(t *testing.T) {
	dir := t.TempDir()
	l, _, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Save(nil, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: entries(1, 9)}})
	_ = l.Save(nil, []flow.Save{{Snapshot: &flow.Snapshot{Index: 6, Term: 1, Conf: json.RawMessage(`{}`), State: json.RawMessage(`{}`)}}, {Add: entries(10, 11)}})
	f := past(t, dir)
	_, d, err := Open(f)
	if err != nil || d.Snapshot.Index != 6 || len(d.Entries) != 5 || d.Entries[0].Index != 7 || d.Hard.Cluster != "c" {
		t.Fatalf("%v %+v", err, d)
	}
	m, _ := filepath.Glob(filepath.Join(dir, "digest-*.json"))
	b, _ := os.ReadFile(m[0])
	b[len(b)/2] ^= 1
	_ = os.WriteFile(m[0], b, 0o644)
	if _, _, err := open(t, dir); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("a damaged snapshot opened: %v", err)
	}
}

// Given a blank folder, when it is opened twice, then it has one identity and
// a growing incarnation; a log without its identity is damaged.
func TestIdentity(t *testing.T) {
	f := past(t, t.TempDir())
	a, err := Identify(f, "fresh", 10)
	b, err2 := Identify(f, "other", 5)
	if err != nil || err2 != nil || a.ID != "fresh" || b.ID != "fresh" || b.Inc <= a.Inc {
		t.Fatalf("%+v %+v %v %v", a, b, err, err2)
	}
	g := past(t, t.TempDir())
	_ = g.Write(segmentName(1), nil)
	if _, err := Identify(g, "x", 1); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("a log without an identity: %v", err)
	}
}

// Given a folder whose log is gone and whose identity is still there, when it is
// opened, then it is somebody new: the old voter's votes and entries are forgotten,
// and nobody may count on them. One that never had a log keeps its identity.
func TestIdentityThatLostItsLog(t *testing.T) {
	folder := past(t, t.TempDir())
	old, err := Identify(folder, "voter", 10)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(folder); err != nil {
		t.Fatal(err)
	}
	if kept, err := Identify(folder, "other", 5); err != nil || kept.ID != "voter" {
		t.Fatalf("with its log: %+v %v", kept, err)
	}
	names, _ := folder.List()
	for _, name := range names {
		if name != identityFile {
			_ = folder.Remove(name)
		}
	}
	blank, err := Identify(folder, "new", 5)
	if err != nil || blank.ID != "new" || blank.Inc <= old.Inc {
		t.Fatalf("without its log: %+v %v", blank, err)
	}
	again, err := Identify(folder, "newer", 5)
	if err != nil || again.ID != "new" {
		t.Fatalf("and from then on: %+v %v", again, err)
	}
}

// Given a member whose log goes on past where a leader's snapshot ends, when it
// takes the snapshot and starts again, then nothing of that old log stands after
// it: it could hand a vote to somebody who lacks what is committed.
func TestSnapshotFromLeaderEndsTheOldLog(t *testing.T) {
	dir := t.TempDir()
	log, _, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	old := entries(1, 9)
	if err := log.Save(nil, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: old}}); err != nil {
		t.Fatal(err)
	}
	r := raft.New(0, raft.Config{ID: "a", Rand: rand.New(rand.NewSource(1)), HeartbeatInterval: time.Second, ElectionTimeout: time.Hour, Hard: flow.Hard{Cluster: "c", Term: 1}, Entries: old})
	r.Step(raft.Message{Kind: raft.MessageSnapshotOffer, From: "b", ToID: "a", Term: 3, Index: 6, LogTerm: 3})
	r.Install(&flow.Snapshot{Index: 6, Term: 3, Conf: json.RawMessage(`{}`), State: json.RawMessage(`{}`)})
	before := segment(t, dir)
	kept, _ := os.ReadFile(before)
	if err := log.Save(nil, r.Advance(0).Saves); err != nil {
		t.Fatal(err)
	}
	look := func(when string) {
		t.Helper()
		f := past(t, dir)
		_, d, err := Open(f)
		if err != nil || d.Snapshot == nil || d.Snapshot.Index != 6 || len(d.Entries) != 0 {
			t.Fatalf("%s: %v: snapshot %v, entries left: %v", when, err, d.Snapshot != nil, d.Entries)
		}
	}
	// The power goes after the snapshot is there and before the next segment is.
	next := segment(t, dir)
	_ = os.Remove(next)
	_ = os.WriteFile(before, kept, 0o644)
	look("power lost midway")
	look("started again")
}

// Given items that a killed process put on the blob store unsynced, when the next
// process makes a snapshot that names them, then it syncs their segment first.
func TestKilledThenPowerLost(t *testing.T) {
	fs := &counted{FS: past(t, t.TempDir())}
	log, _, err := Open(fs)
	if err != nil {
		t.Fatal(err)
	}
	put := []flow.BlobChange{{Put: []flow.Item{{Ref: flow.Ref{Kind: "text", ID: 3}, Body: []byte("abc")}}}}
	if err := log.Save(put, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: entries(1, 5)}}); err != nil {
		t.Fatal(err)
	}
	// The process is killed here; its segment was never synced.
	if log, _, err = Open(fs); err != nil {
		t.Fatal(err)
	}
	fs.synced = nil
	_ = log.Save(put, []flow.Save{{Snapshot: &flow.Snapshot{Index: 5, Term: 1, Conf: json.RawMessage(`{}`), State: json.RawMessage(`{}`)}}})
	if len(fs.synced) == 0 || fs.synced[0] != blobSegmentName("text", 1) {
		t.Errorf("synced with the snapshot: %v", fs.synced)
	}
	got, err := log.Fetch(flow.Fetch{Refs: []flow.Ref{{Kind: "text", ID: 3}, {Kind: "text", ID: 4}}})
	if err != nil || len(got.Parts) != 1 || string(got.Parts[0].Body) != "abc" || len(got.Missing) != 1 {
		t.Errorf("%+v %v", got, err)
	}
}

type counted struct {
	FS
	synced []string
}

func (c *counted) Sync(n string) error { c.synced = append(c.synced, n); return c.FS.Sync(n) }

// Given a log that holds more than a segment since its last snapshot, when more
// is saved, then what is there already is not written again, and all of it is
// read back. (Found by a simulated day: each save wrote the whole log anew.)
func TestLargeLogIsNotRewritten(t *testing.T) {
	dir := t.TempDir()
	log, _, err := open(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	big, _ := json.Marshal(string(make([]byte, 100<<10)))
	save := func(i uint64) {
		if err := log.Save(nil, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 1}, Add: []flow.Entry{{Index: i, Term: 1, Kind: "cmd", Data: big}}}}); err != nil {
			t.Fatal(err)
		}
	}
	for i := uint64(1); i <= 30; i++ {
		save(i)
	}
	was := log.segment
	for i := uint64(31); i <= 40; i++ {
		save(i)
	}
	if log.segment > was+2 {
		t.Errorf("ten saves began %d segments", log.segment-was)
	}
	if _, last, err := open(t, dir); err != nil || last != 40 {
		t.Errorf("read back to %d: %v", last, err)
	}
}

// aged is a snapshot at an index.
func aged(index uint64) flow.Save {
	return flow.Save{Snapshot: &flow.Snapshot{Index: index, Term: 1, Conf: json.RawMessage(`{}`), State: json.RawMessage(`{}`)}}
}

func textItem(id uint64) flow.Item {
	return flow.Item{Ref: flow.Ref{Kind: "text", ID: id}, Body: []byte("abc")}
}

func lacks(t *testing.T, l *Log, id uint64) bool {
	t.Helper()
	got, err := l.Fetch(flow.Fetch{Refs: []flow.Ref{{Kind: "text", ID: id}}, Check: true})
	if err != nil {
		t.Fatal(err)
	}
	return len(got.Missing) > 0
}
