// Package timeline reads the logs of nodes and prints what became of a request,
// a lot or an engine, or where the time went. It reads whole lines of key=value
// and skips what is none, so a log with other text around it may be given.
package timeline

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// Field is one key and value of a line.
type Field struct{ Key, Value string }

// Event is one line: At is in seconds, of the prefix's clock where a line has
// one, else of its own time stamp.
type Event struct {
	At     float64
	Node   string
	Part   string
	Text   string
	Fields []Field // all others, in their order
}

// Get gives the value of a field, or "".
func (e Event) Get(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Bounds on what is read: lines kept, and bytes of one line.
const (
	EventsMost = 1 << 21
	LineMost   = 1 << 20
)

// ErrMany says that more lines match than are kept.
var ErrMany = errors.New("timeline: more lines than can be sorted; name a request, a lot or an engine, or give less")

// Log is what was read.
type Log struct {
	Events  []Event
	Lines   int // that were read
	Skipped int // that are no log lines

	bare int // lines without a prefix's clock
}

// Filter picks events; empty fields let all through. All that are given must
// hold.
type Filter struct{ Request, Lot, Item, Engine, Node string }

// none says that nothing is asked for by name.
func (f Filter) none() bool { return f == Filter{} }

func (f Filter) takes(e Event) bool {
	for _, x := range []struct{ want, got string }{{f.Request, e.Get("request")}, {f.Lot, e.Get("lot")}, {f.Item, e.Get("item")}, {f.Engine, e.Get("engine")}, {f.Node, e.Node}} {
		if x.want != "" && x.want != x.got {
			return false
		}
	}
	return true
}

// Read adds the lines of one log. Where they don't name their node, name does.
func (l *Log) Read(in io.Reader, name string, filter Filter) error {
	r := bufio.NewReaderSize(in, 64<<10)
	for {
		line, err := readLine(r)
		if len(line) > 0 {
			l.Lines++
			if parsed, ok := parse(line, name); !ok {
				l.Skipped++
			} else if filter.takes(parsed.Event) {
				if len(l.Events) >= EventsMost {
					return ErrMany
				}
				if parsed.bare {
					l.bare++
				}
				l.Events = append(l.Events, parsed.Event)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "timeline: read")
		}
	}
}

// readLine gives one line; what is beyond LineMost is let go.
func readLine(r *bufio.Reader) ([]byte, error) {
	var out []byte
	for {
		piece, more, err := r.ReadLine()
		if len(out)+len(piece) <= LineMost {
			out = append(out, piece...)
		}
		if err != nil || !more {
			return out, err
		}
	}
}

type parsed struct {
	Event
	bare bool
}

// parse reads one line. Words before the first key=value are a prefix: a time in
// seconds and a node's name.
func parse(line []byte, name string) (parsed, bool) {
	event := parsed{Event: Event{Node: name}, bare: true}
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	if !decoder.ScanRecord() {
		return event, false
	}
	began := false
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		if decoder.Value() == nil && !began {
			if s, err := strconv.ParseFloat(strings.TrimSuffix(strings.Trim(key, "[]"), "s"), 64); err == nil && !math.IsNaN(s) && !math.IsInf(s, 0) {
				event.At, event.bare = s, false
			} else {
				event.Node = strings.TrimRight(key, ":")
			}
			continue
		}
		began = true
		switch key {
		case "ts":
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return event, false
			}
			if event.bare {
				event.At = float64(t.UnixMicro()) / 1e6
			}
		case "part":
			event.Part = value
		case "msg":
			event.Text = value
		case "level":
		default:
			event.Fields = append(event.Fields, Field{key, value})
		}
	}
	return event, decoder.Err() == nil && event.Text != ""
}

// sort orders events by time; those of one moment stay as they were read.
func (l *Log) sort() {
	slices.SortStableFunc(l.Events, func(a, b Event) int {
		return cmp.Compare(a.At, b.At)
	})
}

// Write prints the timeline of what the filter lets through, or the summary
// where it names nothing. It says whether there was anything.
func (l *Log) Write(output io.Writer, filter Filter) bool {
	l.sort()
	if l.bare > 0 && l.bare < len(l.Events) {
		fmt.Fprintln(output, "some lines have a prefix with a time and some have none: their order is not known")
	}
	if filter.none() {
		l.summary(output)
	} else {
		l.lines(output, filter)
	}
	return len(l.Events) > 0
}

func (l *Log) lines(out io.Writer, filter Filter) {
	if len(l.Events) == 0 {
		fmt.Fprintf(out, "nothing of it in %d lines\n", l.Lines)
		return
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	first, last := l.Events[0].At, l.Events[0].At
	fmt.Fprintf(table, "TIME\tAFTER\tSINCE LAST\tNODE\tPART\tEVENT\n")
	for _, event := range l.Events {
		var rest []string
		for _, field := range event.Fields {
			if field.Value != "" && !filter.fixes(field.Key) {
				rest = append(rest, field.Key+"="+quoted(field.Value))
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", clock(event.At), span(event.At-first), span(event.At-last), event.Node, event.Part, strings.TrimSpace(event.Text+"  "+strings.Join(rest, " ")))
		last = event.At
	}
	_ = table.Flush()
}

// fixes says whether all lines that the filter lets through have one value of a field.
func (f Filter) fixes(key string) bool {
	switch key {
	case "request":
		return f.Request != ""
	case "lot":
		return f.Lot != ""
	case "engine":
		return f.Engine != ""
	}
	return false
}

func quoted(v string) string {
	if strings.ContainsAny(v, " \t\n\"=") {
		return strconv.Quote(v)
	}
	return v
}

// clock writes a moment: seconds of a run, or a date and time.
func clock(at float64) string {
	if math.Abs(at) < 1e8 {
		return strconv.FormatFloat(at, 'f', 4, 64)
	}
	return time.UnixMicro(int64(math.Round(at * 1e6))).UTC().Format("2006-01-02T15:04:05.000Z")
}

func span(s float64) string { return strconv.FormatFloat(s*1000, 'f', 1, 64) + "ms" }

// stage is a stretch of the life of something between two events.
type stage struct {
	name, part string
	from, to   []string
	key        []string // whose life it is
}

// stages are what the summary times. Events are those of the serving side
// (design 12).
var stages = []stage{
	{"request: accepted to sent", "requests", []string{"accepted"}, []string{"sent"}, []string{"request"}},
	{"request: sent to first token", "requests", []string{"sent"}, []string{"first token"}, []string{"request"}},
	{"request: sent to answered", "requests", []string{"sent"}, []string{"answered"}, []string{"request", "engine"}},
	{"request: accepted to its end", "requests", []string{"accepted"}, []string{"passed", "refused", "late", "unknown", "broken", "caller gone"}, []string{"request"}},
	{"lot: accepted to ended", "lots", []string{"accepted"}, []string{"ended"}, []string{"lot"}},
	{"item: sent to first token", "lots", []string{"sent"}, []string{"first token"}, []string{"lot", "item", "engine"}},
	{"item: first token to finished", "lots", []string{"first token"}, []string{"finished"}, []string{"lot", "item"}},
	{"item: finished to listed", "lots", []string{"finished"}, []string{"listed"}, []string{"lot", "item"}},
	{"weights: ordered to over", "rollout", []string{"ordered"}, []string{"order over"}, []string{"engine", "model"}},
}

// id names whose stage an event is of.
func (s stage) id(event Event) string {
	var values []string
	for _, key := range s.key {
		values = append(values, event.Get(key))
	}
	return strings.Join(values, " ")
}

// stretch is one stage that ended: how long it took in seconds, of what and where.
type stretch struct {
	time float64
	id   string
	node string
}

// times gives every stretch of a stage, the longest first, and how many have not
// ended.
func (l *Log) times(timed stage) (ended []stretch, open int) {
	began := map[string]float64{}
	for _, event := range l.Events {
		if event.Part != timed.part {
			continue
		}
		id := timed.id(event)
		if slices.Contains(timed.from, event.Text) {
			if _, ok := began[id]; !ok {
				began[id] = event.At
			}
			continue
		}
		if at, ok := began[id]; ok && slices.Contains(timed.to, event.Text) {
			ended = append(ended, stretch{event.At - at, id, event.Node})
			delete(began, id)
		}
	}
	slices.SortStableFunc(ended, func(a, b stretch) int { return cmp.Compare(b.time, a.time) })
	return ended, len(began)
}

// rank is the value at a part of a list with the longest first.
func rank(ended []stretch, part float64) float64 {
	return ended[int(float64(len(ended)-1)*(1-part))].time
}

// summary tells what there is of each event and how long each stage took.
func (l *Log) summary(output io.Writer) {
	fmt.Fprintf(output, "%d lines, %d of them no log lines\n", l.Lines, l.Skipped)
	if len(l.Events) == 0 {
		return
	}
	nodes := map[string]bool{}
	for _, event := range l.Events {
		nodes[event.Node] = true
	}
	first, last := l.Events[0].At, l.Events[len(l.Events)-1].At
	fmt.Fprintf(output, "%d nodes, from %s to %s (%s s)\n\n", len(nodes), clock(first), clock(last), strconv.FormatFloat(last-first, 'f', 3, 64))
	l.writeCounts(output)
	fmt.Fprintln(output)
	l.writeStages(output)
}

// eventKind is what the summary counts events by.
type eventKind struct{ part, text, why string }

// writeCounts prints how often each event came, the most frequent first.
func (l *Log) writeCounts(output io.Writer) {
	counts := map[eventKind]int{}
	for _, event := range l.Events {
		counts[eventKind{event.Part, event.Text, event.Get("why")}]++
	}
	kinds := make([]eventKind, 0, len(counts))
	for kind := range counts {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b eventKind) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.part, b.part), cmp.Compare(a.text, b.text), cmp.Compare(a.why, b.why))
	})
	table := tabwriter.NewWriter(output, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "COUNT\tPART\tEVENT\tWHY\n")
	for _, kind := range kinds {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", counts[kind], kind.part, kind.text, kind.why)
	}
	_ = table.Flush()
}

// writeStages prints how long each stage took.
func (l *Log) writeStages(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "STAGE\tENDED\tOPEN\tMEDIAN\t95 OF 100\tSLOWEST\tOF\tAT\n")
	for _, stage := range stages {
		ended, open := l.times(stage)
		if len(ended) > 0 {
			slowest := ended[0]
			fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n", stage.name, len(ended), open,
				span(rank(ended, 0.5)), span(rank(ended, 0.95)), span(slowest.time), slowest.id, slowest.node)
		} else if open > 0 {
			fmt.Fprintf(table, "%s\t0\t%d\t\t\t\t\t\n", stage.name, open)
		}
	}
	_ = table.Flush()
}
