package disk

import (
	"bufio"
	"bytes"
	"os"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// Given the data folder of a store of an earlier build (commit b3c6411), with
// plans, weights, steps, lots, receipts and claims in its snapshot and its log,
// when it is opened, then it is whole and its state answers as that build did.
func TestFolderOfAnEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/folder-of-earlier-build")); err != nil {
		t.Fatal(err)
	}
	if report, err := Inspect(&Folder{Path: dir}); err != nil || !report.Whole() {
		t.Fatalf("%v %q", err, report.Findings)
	}
	log, found, err := Open(&Folder{Path: dir})
	if err != nil {
		t.Fatal(err)
	}
	if found.Snapshot == nil || found.Snapshot.Index != 57 || len(found.Entries) == 0 || found.Hard.Term != 2 {
		t.Fatalf("found: %+v", found)
	}
	state, err := ledger.Load(found.Snapshot.State, found.Items)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range found.Entries {
		state.Apply(e.Index, e.Data)
	}
	file, err := os.Open("../../core/ledger/testdata/earlier-build/answers.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var q struct {
			Kind         ledger.Kind
			Body, Result json.RawMessage
		}
		if err := json.Unmarshal(scanner.Bytes(), &q); err != nil {
			t.Fatal(err)
		}
		got, want := answerFrom(t, log, state.Query(q.Kind, q.Body)), []byte(q.Result)
		if q.Kind == ledger.KindLotItems { // since b372248 its fields are written in another order
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

// answerFrom completes an answer with what the blob store has.
func answerFrom(t *testing.T, log *Log, r ledger.Result) []byte {
	t.Helper()
	if len(r.Need) > 0 {
		got, err := log.Fetch(flow.Fetch{ID: 1, Refs: r.Need})
		if err != nil || len(got.Missing) > 0 {
			t.Fatalf("%v, missing %v", err, got.Missing)
		}
		var items [][]byte
		for _, item := range got.Parts {
			items = append(items, item.Body)
		}
		r = r.With(items)
	}
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
