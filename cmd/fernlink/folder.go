package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/go-json-experiment/json/v1"
	"github.com/integrii/flaggy"

	"fernlink/shell/disk"
)

// bindFolder adds `fernlink folder`. It ends with 0 when the folder is whole, 1
// when it is damaged or unsure, 2 when it can't be read.
func bindFolder() tool {
	sub := flaggy.NewSubcommand("folder")
	sub.Description = "read a data folder without changing it and say what is whole"
	dir, form := "", "text"
	sub.AddPositionalValue(&dir, "dir", 1, true, "data folder; its node may be running")
	sub.String(&form, "o", "output", "text or json")
	flaggy.AttachSubcommand(sub, 1)
	return tool{sub, func() int { return folder(os.Stdout, os.Stderr, dir, form) }}
}

func folder(output, failures io.Writer, dir, form string) int {
	if form != "text" && form != "json" {
		fmt.Fprintln(failures, "fernlink: --output is text or json")
		return 2
	}
	report, err := disk.Inspect(&disk.Folder{Path: dir})
	if err != nil {
		fmt.Fprintln(failures, "fernlink:", err)
		return 2
	}
	if form == "json" {
		b, _ := json.MarshalIndent(report, "", "  ")
		fmt.Fprintln(output, string(b))
	} else {
		writeFolder(output, report)
	}
	if !report.Whole() {
		return 1
	}
	return 0
}

// writeFolder prints a report as a table of names and texts.
func writeFolder(output io.Writer, report disk.Report) {
	table := folderTable{tabwriter.NewWriter(output, 0, 8, 2, ' ', 0)}
	table.log(report)
	table.state(report)
	for _, name := range report.Other {
		table.row("beside", "%s", name)
	}
	for _, note := range report.Notes {
		table.row("note", "%s", note)
	}
	for _, finding := range report.Findings {
		table.row("FINDING", "%s", finding)
	}
	whole := "no"
	if report.Whole() {
		whole = "yes"
	}
	table.row("whole", "%s", whole)
	_ = table.Flush()
}

type folderTable struct{ *tabwriter.Writer }

func (t folderTable) row(name, text string, args ...any) {
	fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(text, args...))
}

// log prints identity, log, snapshot and blob store.
func (t folderTable) log(report disk.Report) {
	if id := report.Identity; id != nil {
		t.row("identity", "%s, start %d", id.ID, id.Inc)
	}
	if report.Cluster != "" {
		t.row("cluster", "%s, term %d, vote %q", report.Cluster, report.Term, report.Vote)
	}
	for _, segment := range report.Segments {
		t.row("segment", "%s: %d frames, %d bytes, tail %s", segment.Name, segment.Frames, segment.Bytes, segment.Tail)
	}
	if snapshot := report.Snapshot; snapshot != nil {
		t.row("snapshot", "index %d, term %d, %d bytes, %d members (%d voters)", snapshot.Index, snapshot.Term, snapshot.Bytes, snapshot.Members, snapshot.Voters)
	}
	if report.Entries > 0 {
		t.row("entries", "%d to %d", report.First, report.Last)
	}
	for _, kind := range report.Blobs {
		t.row("blobs", "%s: %d items, %d segments, %d bytes", kind.Name, kind.Items, kind.Segments, kind.Bytes)
	}
}

// state prints what the log and the snapshot fold to.
func (t folderTable) state(report disk.Report) {
	if report.Snapshot != nil {
		t.row("needs", "%d items, %d missing", report.Needs, len(report.Missing))
	}
	if report.Cluster != "" {
		t.row("plan", "version %d", report.Plan)
		t.row("open", "%d steps, %d lots; %d lots ended", report.Steps, len(report.Lots), report.LotsEnded)
	}
	for _, lot := range report.Lots {
		t.row("lot", "%s: %d of %d listed, owner %s", lot.ID, lot.Listed, lot.Total, lot.Owner)
	}
}
