package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"

	"fernlink/cmd/fernlink/timeline"
)

// bindTimeline adds `fernlink timeline`. It ends with 0 when there was something
// to show, 1 when there was nothing, 2 when a log could not be read.
func bindTimeline() tool {
	sub := flaggy.NewSubcommand("timeline")
	sub.Description = "print what became of a request, a lot or an engine, from nodes' logs; a summary without a name"
	var filter timeline.Filter
	var logs []string
	sub.StringSlice(&logs, "l", "log", "log file, - for standard input (the usual); may be given again for each node")
	sub.String(&filter.Request, "", "request", "a request's id")
	sub.String(&filter.Lot, "", "lot", "a lot's id")
	sub.String(&filter.Item, "", "item", "an item's id")
	sub.String(&filter.Engine, "", "engine", "an engine's id")
	sub.String(&filter.Node, "", "node", "a node's name")
	flaggy.AttachSubcommand(sub, 1)
	return tool{sub, func() int { return lines(os.Stdin, os.Stdout, os.Stderr, logs, filter) }}
}

func lines(in io.Reader, output, failures io.Writer, logs []string, filter timeline.Filter) int {
	if len(logs) == 0 {
		logs = []string{"-"}
	}
	var l timeline.Log
	for _, name := range logs {
		if err := one(&l, in, name, filter); err != nil {
			fmt.Fprintln(failures, "fernlink:", err)
			return 2
		}
	}
	if !l.Write(output, filter) {
		return 1
	}
	return 0
}

// one reads a log; a node that its lines don't name is named by the file.
func one(log *timeline.Log, in io.Reader, name string, filter timeline.Filter) error {
	if name == "-" {
		return log.Read(in, "", filter)
	}
	h, err := os.Open(name)
	if err != nil {
		return err
	}
	defer h.Close()
	return log.Read(h, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), filter)
}
