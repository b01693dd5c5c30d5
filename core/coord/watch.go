package coord

import (
	"fmt"
	"hash/crc32"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/index/gate"
	"fernlink/core/index/view"
	"fernlink/core/sorted"
)

const keepFeed = 1024 // changes kept for a watcher that comes back

// feed is the recent changes of one slice (design 10.2).
type feed struct {
	next  uint64
	lines []change
}

type change struct {
	at   uint64
	line []byte
}

type watcher struct {
	slice string
	at    uint64
}

// mark is one line of a watch.
type mark struct {
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

var slices = map[string]slice{
	"engines": {
		func(v *view.Views) []string { return v.IDs() },
		func(v *view.Views, k string) (any, bool) { r, ok := v.Registry[k]; return r, ok },
	},
	"prefixes": {
		func(v *view.Views) []string { return sorted.Keys(v.Directory) },
		func(v *view.Views, k string) (any, bool) {
			d, ok := v.Directory[k]
			revs := map[int]int{}
			for _, b := range d {
				revs[b.Rev]++
			}
			return map[string]any{"blocks": len(d), "bytes": v.Engines[k], "by_revision": revs}, ok
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

func (c *Coord) feedOf(slice string) *feed {
	f := c.feeds[slice]
	if f == nil {
		f = &feed{next: 1}
		c.feeds[slice] = f
	}
	return f
}

func (c *Coord) line(m mark) []byte {
	b, err := json.Marshal(m)
	if err != nil {
		return []byte("{}\n")
	}
	return append(b, '\n')
}

// feed turns what changed in the views into lines, and gives them out.
func (c *Coord) feed() {
	for _, slice := range sorted.Keys(slices) {
		f := c.feedOf(slice)
		for _, k := range c.views.Changed(slice) {
			v, ok := slices[slice].get(c.views, k)
			f.lines = append(f.lines, change{f.next, c.line(mark{Cursor: c.cursor(f.next), Slice: slice, Key: k, Gone: !ok, Value: value(v, ok)})})
			f.next++
		}
		if n := len(f.lines); n > keepFeed {
			f.lines = append([]change(nil), f.lines[n-keepFeed:]...)
		}
	}
	for _, id := range sorted.Keys(c.watchers) {
		w := c.watchers[id]
		f := c.feedOf(w.slice)
		var body []byte
		for _, l := range f.lines {
			if l.at > w.at {
				body = append(body, l.line...)
			}
		}
		w.at = f.next - 1
		if len(body) > 0 {
			c.out.Replies = append(c.out.Replies, flow.Reply{ID: id, Code: http.StatusOK, Body: body, More: true})
		}
	}
}

func value(v any, ok bool) any {
	if !ok {
		return nil
	}
	return v
}

// Watch opens a subscription to one slice. A cursor that is too old, or of
// another term, is answered with a reset mark and the full state.
func (c *Coord) Watch(now flow.Time, call flow.Call, out *flow.Outbox) {
	c.now, c.out = now, out
	slice := call.Vars["slice"]
	if _, ok := slices[slice]; !ok {
		out.Answer(call.ID, http.StatusNotFound, map[string]string{"error": "no such slice; there are engines, prefixes and usage"}, nil)
		return
	}
	c.feed()
	f := c.feedOf(slice)
	w := &watcher{slice: slice, at: f.next - 1}
	c.watchers[call.ID] = w
	var body []byte
	term, at := cut(call.Query["cursor"])
	oldest := f.next
	if len(f.lines) > 0 {
		oldest = f.lines[0].at
	}
	if call.Query["cursor"] != "" && term == c.term && at+1 >= oldest && at < f.next {
		for _, l := range f.lines {
			if l.at > at {
				body = append(body, l.line...)
			}
		}
	} else {
		body = c.line(mark{Cursor: c.cursor(w.at), Reset: true, Slice: slice})
		for _, k := range slices[slice].keys(c.views) {
			v, _ := slices[slice].get(c.views, k)
			body = append(body, c.line(mark{Cursor: c.cursor(w.at), Slice: slice, Key: k, Value: v})...)
		}
	}
	out.Replies = append(out.Replies, flow.Reply{ID: call.ID, Code: http.StatusOK, Head: map[string]string{"Content-Type": "application/x-ndjson"}, Body: body, More: true})
}

// Usage answers with the usage view as it is now.
func (c *Coord) Usage(_ flow.Time, call flow.Call, out *flow.Outbox) {
	out.Answer(call.ID, http.StatusOK, map[string]any{"term": c.term, "bytes_by_trainer": c.views.Trainers, "bytes_by_engine": c.views.Engines}, nil)
}

func cut(s string) (uint64, uint64) {
	a, b, _ := strings.Cut(s, "-")
	t, _ := strconv.ParseUint(a, 10, 64)
	n, _ := strconv.ParseUint(b, 10, 64)
	return t, n
}

// Gone forgets a watcher.
func (c *Coord) Gone(id uint64) { delete(c.watchers, id) }

func (c *Coord) closeWatch(id uint64, why string) {
	delete(c.watchers, id)
	c.out.Replies = append(c.out.Replies, flow.Reply{ID: id, Code: http.StatusOK, Body: c.line(mark{End: why})})
}

// saved is the checkpoint: views, order of use, cursors and offset together.
type saved struct {
	Cluster string      `json:"cluster"`
	Term    uint64      `json:"term"`
	Offset  uint64      `json:"offset"`
	Gate    *gate.Gate  `json:"gate"`
	Views   *view.Views `json:"views"`
}

// File is the checkpoint's name in the data folder.
const File = "index.ckpt"

func (c *Coord) checkpoint() {
	b, err := json.Marshal(saved{c.cluster, c.term, c.journal.Offset, c.gate, c.views})
	if err != nil {
		flow.Warn.Note(c.out, "coord", "checkpoint failed", "failure", err.Error())
		return
	}
	head := fmt.Sprintf("%08x %d\n", crc32.ChecksumIEEE(b), len(b))
	c.p.File = append([]byte(head), b...)
	c.out.Files = append(c.out.Files, flow.File{Name: File, Body: c.p.File})
	c.saved = c.now
	c.passed["checkpoint"] = c.now
}

// restore reads the checkpoint; a corrupt or foreign one is a cold start.
func (c *Coord) restore() {
	c.cold = true
	if len(c.p.File) == 0 {
		return
	}
	head, body, ok := strings.Cut(string(c.p.File), "\n")
	var sum uint32
	var n int
	if _, err := fmt.Sscanf(head, "%08x %d", &sum, &n); err != nil || !ok || n != len(body) || crc32.ChecksumIEEE([]byte(body)) != sum {
		flow.Warn.Note(c.out, "coord", "checkpoint is corrupt, starting cold")
		return
	}
	s := saved{Gate: gate.New(), Views: view.New()}
	if json.Unmarshal([]byte(body), &s) != nil || s.Cluster != c.cluster || s.Gate == nil || s.Views == nil {
		flow.Warn.Note(c.out, "coord", "checkpoint is of another cluster or form, starting cold")
		return
	}
	c.gate, c.views = s.Gate, s.Views
	c.journal.Offset = s.Offset
	for _, r := range c.views.Registry {
		r.At = c.now
	}
	c.cold = false
}
