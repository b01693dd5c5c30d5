package disk

import (
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

// filled is a folder whose snapshot has a plan and two lots, one of them ended,
// and whose log goes on with a result.
func filled(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	f := past(t, dir)
	if _, err := Identify(f, "me", 7); err != nil {
		t.Fatal(err)
	}
	log, _, err := Open(f)
	if err != nil {
		t.Fatal(err)
	}
	led := ledger.New()
	var blobs []flow.BlobChange
	index := uint64(0)
	do := func(kind ledger.Kind, body any) flow.Entry {
		b, _ := json.Marshal(body)
		c, _ := json.Marshal(ledger.Command{Kind: kind, At: 1000, Body: b})
		index++
		if r := led.Apply(index, c); r.Code != 200 {
			t.Fatalf("%s: %d %s", kind, r.Code, r.Body)
		}
		if x, any := led.Box(); any {
			blobs = append(blobs, x)
		}
		return flow.Entry{Index: index, Term: 2, Kind: "cmd", Data: c}
	}
	lot := func(id string) ledger.LotDoc {
		stretch := make([]byte, ledger.LotPartBytes) // each request is an item of its own on the blob store
		return ledger.LotDoc{ID: id, Owner: "d1", KeepMS: 60_000, DueMS: 1000, Items: []ledger.LotItem{{ID: "a", Body: stretch}, {ID: "b", Body: stretch}}}
	}
	add := []flow.Entry{
		do("plan.put", ledger.PutPlan{Version: 5, Request: "r", Doc: json.RawMessage(`{}`)}),
		do("lot.put", lot("l2")), do("lot.end", "l2"), do("lot.put", lot("l1")),
	}
	if err := log.Save(blobs, []flow.Save{{Hard: &flow.Hard{Cluster: "c", Term: 2, Vote: "me"}, Add: add}}); err != nil {
		t.Fatal(err)
	}
	conf, _ := json.Marshal(raft.Conf{Members: []raft.Member{{ID: "me", Voter: true}}})
	state := led.Snapshot()
	blobs = nil
	if x, any := led.Box(); any {
		blobs = append(blobs, x)
	}
	if err := log.Save(blobs, []flow.Save{{Snapshot: &flow.Snapshot{Index: index, Term: 2, Conf: conf, State: state}}}); err != nil {
		t.Fatal(err)
	}
	blobs = nil
	e := do("lot.list", ledger.ListLot{Lot: "l1", Results: []ledger.LotResult{{Item: "a", State: ledger.LotComplete, Text: "t"}}})
	if err := log.Save(blobs, []flow.Save{{Add: []flow.Entry{e}}}); err != nil {
		t.Fatal(err)
	}
	return dir
}

// content is every file of a folder, to show that nothing was changed.
func content(t *testing.T, dir string) string {
	t.Helper()
	var text strings.Builder
	es, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range es {
		b, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(e.Name() + "\x00" + string(b) + "\x00")
	}
	return text.String()
}

func partSegment(t *testing.T, dir string) string {
	t.Helper()
	m, _ := filepath.Glob(filepath.Join(dir, "shelf-part-*.seg"))
	if len(m) != 1 {
		t.Fatalf("segments: %v", m)
	}
	return m[0]
}

// Given a folder that was written well, when it is looked at, then all it holds
// is told, it is whole, and it is as it was.
func TestInspectWhole(t *testing.T) {
	dir := filled(t)
	before := content(t, dir)
	report, err := Inspect(&Folder{Path: dir})
	if err != nil || !report.Whole() {
		t.Fatalf("%v %q", err, report.Findings)
	}
	if report.Identity == nil || report.Identity.ID != "me" || report.Cluster != "c" || report.Term != 2 || report.Vote != "me" || report.Unsure {
		t.Errorf("who: %+v", report)
	}
	if s := report.Snapshot; s == nil || s.Index != 4 || s.Term != 2 || s.Voters != 1 {
		t.Errorf("snapshot: %+v", s)
	}
	if report.Entries != 1 || report.First != 5 || report.Last != 5 || report.Plan != 5 || report.Needs == 0 || len(report.Missing) != 0 || report.LotsEnded != 1 {
		t.Errorf("state: %+v", report)
	}
	if len(report.Lots) != 1 || report.Lots[0] != (LotState{"l1", "d1", 1, 2}) {
		t.Errorf("lots: %+v", report.Lots)
	}
	if len(report.Segments) != 1 || report.Segments[0].Frames != 2 || report.Segments[0].Tail != "whole" {
		t.Errorf("segments: %+v", report.Segments)
	}
	if content(t, dir) != before {
		t.Error("the folder was changed")
	}
}

// Given a folder that was broken in each way, when it is looked at, then that is
// said, nothing is changed, and what only a crash leaves is no damage.
func TestInspectBroken(t *testing.T) {
	cut := func(name func(*testing.T, string) string, n int) func(*testing.T, string) {
		return func(t *testing.T, dir string) {
			b, _ := os.ReadFile(name(t, dir))
			_ = os.WriteFile(name(t, dir), b[:len(b)-n], 0o644)
		}
	}
	flip := func(name func(*testing.T, string) string, at int) func(*testing.T, string) {
		return func(t *testing.T, dir string) {
			b, _ := os.ReadFile(name(t, dir))
			b[(at+len(b))%len(b)] ^= 1
			_ = os.WriteFile(name(t, dir), b, 0o644)
		}
	}
	file := func(name string) func(*testing.T, string) string {
		return func(_ *testing.T, dir string) string { return filepath.Join(dir, name) }
	}
	gone := func(name func(*testing.T, string) string) func(*testing.T, string) {
		return func(t *testing.T, dir string) { _ = os.Remove(name(t, dir)) }
	}
	for name, x := range map[string]struct {
		do    func(*testing.T, string)
		whole bool
		say   string
	}{
		"torn tail":          {cut(segment, 5), true, "is torn at byte"},
		"damaged last frame": {flip(segment, -10), false, "may have been acknowledged"},
		"damaged before":     {flip(segment, 20), false, "before its tail"},
		"no segment":         {func(t *testing.T, d string) { _ = os.Remove(segment(t, d)) }, false, "a snapshot or a blob store without a log"},
		"only a blob store": {func(t *testing.T, d string) {
			for _, n := range []string{segment(t, d), filepath.Join(d, snapshotName(4)), filepath.Join(d, "identity")} {
				_ = os.Remove(n)
			}
		}, false, "a blob store without a log"},
		"snapshot":           {flip(file(snapshotName(4)), 40), false, "digest-0000000000000004.json is damaged"},
		"no snapshot":        {gone(file(snapshotName(4))), false, "entries start at 5 after a snapshot at 0"},
		"no identity":        {gone(file("identity")), false, "a log without an identity"},
		"identity":           {flip(file("identity"), 20), false, "the identity is damaged"},
		"a lost blobSegment": {gone(partSegment), false, "the blob store lacks 2 items"},
		"a damaged item":     {flip(partSegment, -2), false, "the blob store lacks 1 items"},
		"unfinished":         {func(_ *testing.T, d string) { _ = os.WriteFile(filepath.Join(d, "new"), []byte("x"), 0o644) }, true, "new was not finished"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := filled(t)
			x.do(t, dir)
			before := content(t, dir)
			r, err := Inspect(&Folder{Path: dir})
			if err != nil || r.Whole() != x.whole {
				t.Errorf("%v %q %q", err, r.Findings, r.Notes)
			}
			if all := strings.Join(append(r.Findings, r.Notes...), "\n"); !strings.Contains(all, x.say) {
				t.Errorf("no %q in %q", x.say, all)
			}
			if content(t, dir) != before {
				t.Error("the folder was changed")
			}
		})
	}
}

// Given a folder that is blank or not there, when it is looked at, then neither
// is taken for whole.
func TestInspectNothing(t *testing.T) {
	r, err := Inspect(&Folder{Path: t.TempDir()})
	if err != nil || r.Whole() {
		t.Errorf("blank: %v %+v", err, r)
	}
	if _, err := Inspect(&Folder{Path: filepath.Join(t.TempDir(), "none")}); !errors.Is(err, ErrUnreadable) {
		t.Errorf("absent: %v", err)
	}
}

// moving is a folder in which a file goes away while it is read, as where its
// node runs.
type moving struct {
	FS
	once bool
	dir  string
}

func (m *moving) Read(name string) ([]byte, error) {
	if !m.once && strings.HasPrefix(name, "digest-") {
		m.once = true
		_ = os.Remove(filepath.Join(m.dir, "index.ckpt"))
		return nil, os.ErrNotExist
	}
	return m.FS.Read(name)
}

// Given a node that puts a new snapshot in place of the old, when its folder is
// looked at, then the look is made again and finds it whole.
func TestInspectLive(t *testing.T) {
	dir := filled(t)
	if err := os.WriteFile(filepath.Join(dir, "index.ckpt"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	r, err := Inspect(&moving{FS: &Folder{Path: dir}, dir: dir})
	if err != nil || !r.Whole() || r.Plan != 5 {
		t.Errorf("%v %+v", err, r)
	}
}

// Given a folder with any one damage, when it is looked at, then it is only said
// to be whole where a start would take it, with all that the snapshot names and
// all entries but those of a torn last frame.
func TestInspectAgreesWithTheStart(t *testing.T) {
	from := filled(t)
	entries, err := os.ReadDir(from)
	if err != nil {
		t.Fatal(err)
	}
	whole, broken := 0, 0
	for seed := range int64(250) {
		random := rand.New(rand.NewSource(seed))
		dir := t.TempDir()
		hit := random.Intn(len(entries))
		for i, entry := range entries {
			b, err := os.ReadFile(filepath.Join(from, entry.Name()))
			if err != nil {
				t.Fatal(err)
			}
			if i == hit && len(b) > 0 {
				at := random.Intn(len(b))
				switch random.Intn(3) {
				case 0:
					b[at] ^= byte(1 + random.Intn(255))
				case 1:
					b = b[:at]
				case 2:
					clear(b[at:])
				}
			}
			if err := os.WriteFile(filepath.Join(dir, entry.Name()), b, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		rep, err := Inspect(&Folder{Path: dir})
		if err != nil {
			t.Fatal(err)
		}
		folder := &Folder{Path: dir}
		_, idErr := Identify(folder, "fresh", 1)
		_, disk, openErr := Open(folder)
		if !rep.Whole() {
			broken++
			continue
		}
		whole++
		if idErr != nil || openErr != nil || len(disk.Entries) != rep.Entries || disk.Hard.Unsure {
			t.Errorf("seed %d: %s is said to be whole: %v %v, %d entries of %d", seed, entries[hit].Name(), idErr, openErr, len(disk.Entries), rep.Entries)
		}
		if disk.Snapshot != nil {
			led, err := ledger.Load(disk.Snapshot.State, disk.Items)
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
				continue
			}
			l, _, err := Open(folder)
			if err != nil || l.Blobs.only(flow.BlobChange{Only: led.Items()}) != nil {
				t.Errorf("seed %d: the blob store lacks something: %v", seed, err)
			}
		}
	}
	if whole < 10 || broken < 10 {
		t.Errorf("%d whole, %d broken", whole, broken)
	}
}
