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

func writeFolder(out io.Writer, report disk.Report) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(name, text string, a ...any) { fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(text, a...)) }
	if id := report.Identity; id != nil {
		row("identity", "%s, start %d", id.ID, id.Inc)
	}
	if report.Cluster != "" {
		row("cluster", "%s, term %d, vote %q", report.Cluster, report.Term, report.Vote)
	}
	for _, s := range report.Segments {
		row("segment", "%s: %d frames, %d bytes, tail %s", s.Name, s.Frames, s.Bytes, s.Tail)
	}
	if s := report.Snapshot; s != nil {
		row("snapshot", "index %d, term %d, %d bytes, %d members (%d voters)", s.Index, s.Term, s.Bytes, s.Members, s.Voters)
	}
	if report.Entries > 0 {
		row("entries", "%d to %d", report.First, report.Last)
	}
	for _, k := range report.Blobs {
		row("blobs", "%s: %d items, %d segments, %d bytes", k.Name, k.Items, k.Segments, k.Bytes)
	}
	if report.Snapshot != nil {
		row("needs", "%d items, %d missing", report.Needs, len(report.Missing))
	}
	if report.Cluster != "" {
		row("plan", "version %d", report.Plan)
		row("open", "%d steps, %d lots; %d lots ended", report.Steps, len(report.Lots), report.LotsEnded)
	}
	for _, l := range report.Lots {
		row("lot", "%s: %d of %d listed, owner %s", l.ID, l.Listed, l.Total, l.Owner)
	}
	for _, n := range report.Other {
		row("beside", "%s", n)
	}
	for _, n := range report.Notes {
		row("note", "%s", n)
	}
	for _, f := range report.Findings {
		row("FINDING", "%s", f)
	}
	if report.Whole() {
		row("whole", "yes")
	} else {
		row("whole", "no")
	}
	_ = table.Flush()
}
