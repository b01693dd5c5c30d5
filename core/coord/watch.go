package coord

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/index/view"
	"fernlink/core/sorted"
)

// feedCapacity is how many changes a feed keeps for a watcher that comes back.
const feedCapacity = 1024

// feed is the recent changes of one slice (design 10.2).
type feed struct {
	next  uint64 // the place of the next change; the first is 1
	lines []change
}

// change is one line of a feed.
type change struct {
	at   uint64
	line []byte
}

// since gives the lines after a place.
func (f *feed) since(at uint64) []byte {
	var body []byte
	for _, change := range f.lines {
		if change.at > at {
			body = append(body, change.line...)
		}
	}
	return body
}

// covers says whether the feed still has every change after a place.
func (f *feed) covers(at uint64) bool {
	oldest := f.next
	if len(f.lines) > 0 {
		oldest = f.lines[0].at
	}
	return at+1 >= oldest && at < f.next
}

// watcher is one open subscription: it has all changes of its slice up to at.
type watcher struct {
	slice string
	at    uint64
}

// watchMark is one line of a watch.
type watchMark struct {
	Cursor string `json:"cursor"`
	Reset  bool   `json:"reset,omitempty"`
	Slice  string `json:"slice"`
	Key    string `json:"key,omitempty"`
	Gone   bool   `json:"gone,omitempty"`
	Value  any    `json:"value,omitempty"`
	End    string `json:"end,omitempty"`
}

// slice is one part of the live state that a plug-in may subscribe to.
type slice struct {
	keys func(*view.Views) []string
	get  func(*view.Views, string) (any, bool)
}

var watchSlices = map[string]slice{
	"engines": {
		func(v *view.Views) []string { return v.IDs() },
		func(v *view.Views, k string) (any, bool) { r, ok := v.Registry[k]; return r, ok },
	},
	"prefixes": {
		func(v *view.Views) []string { return sorted.Keys(v.Directory) },
		func(v *view.Views, k string) (any, bool) {
			blocks, ok := v.Directory[k]
			revisions := map[int]int{}
			for _, block := range blocks {
				revisions[block.Rev]++
			}
			return map[string]any{"blocks": len(blocks), "bytes": v.Engines[k], "by_revision": revisions}, ok
		},
	},
	"usage": {
		func(v *view.Views) []string { return sorted.Keys(v.Trainers) },
		func(v *view.Views, k string) (any, bool) {
			n, ok := v.Trainers[k]
			return map[string]any{"bytes": n}, ok
		},
	},
}

func (c *Coord) cursor(at uint64) string { return fmt.Sprintf("%d-%d", c.term, at) }

func (c *Coord) feedOf(name string) *feed {
	if c.feeds[name] == nil {
		c.feeds[name] = &feed{next: 1}
	}
	return c.feeds[name]
}

func watchLine(mark watchMark) []byte {
	b, err := json.Marshal(mark)
	if err != nil {
		return []byte("{}\n")
	}
	return append(b, '\n')
}

// publishChanges appends what changed in the views to the feeds and writes to each
// watcher what is new to it.
func (c *Coord) publishChanges() {
	for _, name := range sorted.Keys(watchSlices) {
		c.extendFeed(name)
	}
	for _, id := range sorted.Keys(c.watchers) {
		watcher := c.watchers[id]
		feed := c.feedOf(watcher.slice)
		body := feed.since(watcher.at)
		watcher.at = feed.next - 1
		if len(body) > 0 {
			c.outbox.Replies = append(c.outbox.Replies, flow.Reply{ID: id, Code: http.StatusOK, Body: body, More: true})
		}
	}
}

// extendFeed appends the changes of one slice to its feed and drops the oldest lines.
func (c *Coord) extendFeed(name string) {
	feed := c.feedOf(name)
	for _, key := range c.views.Changed(name) {
		value, found := watchSlices[name].get(c.views, key)
		mark := watchMark{Cursor: c.cursor(feed.next), Slice: name, Key: key, Gone: !found}
		if found {
			mark.Value = value
		}
		feed.lines = append(feed.lines, change{feed.next, watchLine(mark)})
		feed.next++
	}
	if n := len(feed.lines); n > feedCapacity {
		feed.lines = append([]change(nil), feed.lines[n-feedCapacity:]...)
	}
}

// Watch opens a subscription to one slice. A cursor that is too old, or of
// another term, is answered with a reset mark and the full state.
func (c *Coord) Watch(now flow.Time, call flow.Call, outbox *flow.Outbox) {
	c.now, c.outbox = now, outbox
	name := call.Vars["slice"]
	if _, ok := watchSlices[name]; !ok {
		outbox.Answer(call.ID, http.StatusNotFound, map[string]string{"error": "no such slice; there are engines, prefixes and usage"}, nil)
		return
	}
	c.publishChanges()
	feed := c.feedOf(name)
	c.watchers[call.ID] = &watcher{slice: name, at: feed.next - 1}
	var body []byte
	term, at := parseCursor(call.Query["cursor"])
	if call.Query["cursor"] != "" && term == c.term && feed.covers(at) {
		body = feed.since(at)
	} else {
		body = c.fullState(name, feed.next-1)
	}
	outbox.Replies = append(outbox.Replies, flow.Reply{ID: call.ID, Code: http.StatusOK, Head: map[string]string{"Content-Type": "application/x-ndjson"}, Body: body, More: true})
}

// fullState is a slice as it is now: a reset mark, then a line for each key.
func (c *Coord) fullState(name string, at uint64) []byte {
	body := watchLine(watchMark{Cursor: c.cursor(at), Reset: true, Slice: name})
	for _, key := range watchSlices[name].keys(c.views) {
		value, _ := watchSlices[name].get(c.views, key)
		body = append(body, watchLine(watchMark{Cursor: c.cursor(at), Slice: name, Key: key, Value: value})...)
	}
	return body
}

// Usage answers with the usage view as it is now.
func (c *Coord) Usage(_ flow.Time, call flow.Call, outbox *flow.Outbox) {
	outbox.Answer(call.ID, http.StatusOK, map[string]any{"term": c.term, "bytes_by_trainer": c.views.Trainers, "bytes_by_engine": c.views.Engines}, nil)
}

// parseCursor reads a cursor's term and place; what can't be read is 0.
func parseCursor(cursor string) (term, at uint64) {
	first, second, _ := strings.Cut(cursor, "-")
	term, _ = strconv.ParseUint(first, 10, 64)
	at, _ = strconv.ParseUint(second, 10, 64)
	return term, at
}

// Gone forgets a watcher.
func (c *Coord) Gone(id uint64) { delete(c.watchers, id) }

func (c *Coord) closeWatch(id uint64, why string) {
	delete(c.watchers, id)
	c.outbox.Replies = append(c.outbox.Replies, flow.Reply{ID: id, Code: http.StatusOK, Body: watchLine(watchMark{End: why})})
}
