package ledger

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// What testdata/earlier-build holds was written by the build of commit b3c6411:
// every kind of command, taken, refused and with bodies that do not fit, in
// bytes as they stood in its log, with its results and answers in bytes as they
// went to those who asked.
const earlierBuild = "testdata/earlier-build"

// recordedCommand is a committed command and what it came to.
type recordedCommand struct {
	Index   uint64          `json:"index"`
	Command json.RawMessage `json:"command"`
	Result  json.RawMessage `json:"result"`
}

// recordedAnswer is a question, asked after the last command, and its answer.
type recordedAnswer struct {
	Kind   Kind            `json:"kind"`
	Body   json.RawMessage `json:"body"`
	Result json.RawMessage `json:"result"`
}

// keptBlobs keeps what the ledger puts on the blob store.
type keptBlobs map[flow.Ref][]byte

// settle takes what the ledger has put and completes a result from it.
func (b keptBlobs) settle(l *Ledger, r Result) Result {
	change, _ := l.Box()
	for _, item := range change.Put {
		b[item.Ref] = item.Body
	}
	if len(r.Need) == 0 {
		return r
	}
	var items [][]byte
	for _, ref := range r.Need {
		items = append(items, b[ref])
	}
	return r.With(items)
}

// readLines reads a file of JSON lines.
func readLines[Line any](t *testing.T, name string) []Line {
	t.Helper()
	file, err := os.Open(filepath.Join(earlierBuild, name))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var lines []Line
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	return lines
}

func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(earlierBuild, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func sameAnswers(t *testing.T, l *Ledger, blobs keptBlobs) {
	t.Helper()
	for _, q := range readLines[recordedAnswer](t, "answers.jsonl") {
		got, want := raw(blobs.settle(l, l.Query(q.Kind, q.Body))), []byte(q.Result)
		if q.Kind == KindLotItems { // since b372248 its fields are written in another order
			got, want = fieldOrder(t, got), fieldOrder(t, want)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s %s:\n%s\nwas\n%s", q.Kind, q.Body, got, want)
		}
	}
}

// fieldOrder gives a text with its fields in the order of their names.
func fieldOrder(t *testing.T, text []byte) []byte {
	t.Helper()
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		t.Fatal(err)
	}
	ordered, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return ordered
}

// Given the log of an earlier build, when it is applied, then each result, the
// snapshot at the end and the answers to questions are the same bytes.
func TestCommandsOfAnEarlierBuild(t *testing.T) {
	l, blobs, kinds := New(), keptBlobs{}, map[Kind]bool{}
	for _, c := range readLines[recordedCommand](t, "commands.jsonl") {
		if got := raw(blobs.settle(l, l.Apply(c.Index, c.Command))); !bytes.Equal(got, c.Result) {
			t.Errorf("%s:\n%s\nwas\n%s", c.Command, got, c.Result)
		}
		kinds[l.Last] = true
		if c.Index == 57 {
			if got := l.Snapshot(); !bytes.Equal(got, readRecorded(t, "snapshot-at-57.json")) {
				t.Errorf("the snapshot at 57 differs:\n%s", got)
			}
			blobs.settle(l, Result{})
		}
	}
	for kind := range commands {
		if kinds[kind] == (kind == KindPlanPatch || kind == KindLotPart) { // these came after that build
			t.Errorf("%s among the commands: %v", kind, kinds[kind])
		}
	}
	if got := l.Snapshot(); !bytes.Equal(got, readRecorded(t, "snapshot-at-end.json")) {
		t.Errorf("the snapshot at the end differs:\n%s", got)
	}
	sameAnswers(t, l, blobs)
}

// Given a snapshot of an earlier build, when it is loaded and the rest of that
// build's log is applied, then its state is the one that build had.
func TestSnapshotOfAnEarlierBuild(t *testing.T) {
	before, blobs := New(), keptBlobs{}
	lines := readLines[recordedCommand](t, "commands.jsonl")
	for _, c := range lines[:57] {
		blobs.settle(before, before.Apply(c.Index, c.Command))
	}
	before.Snapshot()
	blobs.settle(before, Result{})
	l, err := Load(readRecorded(t, "snapshot-at-57.json"), blobs)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range lines[57:] {
		if got := raw(blobs.settle(l, l.Apply(c.Index, c.Command))); !bytes.Equal(got, c.Result) {
			t.Errorf("%s:\n%s\nwas\n%s", c.Command, got, c.Result)
		}
	}
	if got := l.Snapshot(); !bytes.Equal(got, readRecorded(t, "snapshot-at-end.json")) {
		t.Errorf("the snapshot at the end differs:\n%s", got)
	}
	sameAnswers(t, l, blobs)
}
