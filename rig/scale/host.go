package scale

import (
	"bytes"
	"fmt"
	"time"

	"github.com/go-json-experiment/json/v1"
	"golang.org/x/sys/unix"

	"fernlink/core/flow"
	"fernlink/core/node"
	"fernlink/core/raft"
	"fernlink/shell/link"
)

// Spent is what one host spent and said since the counts were cleared.
type Spent struct {
	CPU           time.Duration
	Out, In       int64 // lines
	Sent, Heard   int64 // bytes, as the link writes them
	Kinds         map[string]int64
	Sends, Reads  int64 // calls of engines and of the list, and bytes of their answers
	KindsIn       map[string]int64
	Calls         int64
	Writes, Bytes int64         // saves to disk, and their bytes
	Turn          time.Duration // processor time of its longest turn
}

// Host is one hollow machine: a real node without a socket or a disk.
type Host struct {
	Name, Addr string
	Region     int
	Zone       int
	Roles      []string
	Node       *node.Node
	Up         bool
	Spent      Spent
	Plan       uint64 // the version that is in force here
	Serving    bool   // it has had a lease since its start

	at     int
	world  *World
	starts int64
	queue  [ahead][]flow.Event
	in     []flow.Event
	out    flow.Outbox
	blobs  map[flow.Ref][]byte
	calls  map[uint64]func(flow.Reply)
	callID uint64
	idle   int
}

// Start starts a host with an empty disk.
func (h *Host) Start() {
	h.starts++
	p := h.world.codec()
	p.ID = fmt.Sprintf("%s-%d", h.Name, h.starts)
	p.Name, p.Addr, p.Web, p.Zone, p.Roles = h.Name, h.Addr, h.Addr+"1", zoneOf(h.Zone), h.Roles
	p.Inc, p.Seed = 1_700_000_000_000+h.world.Now.Milliseconds()+h.starts, int64(h.at)*1009+h.starts
	if h.Has("store") && h.starts > 1 {
		p.Form, p.First = nil, false
	}
	n, err := node.New(h.clock(), p)
	if err != nil {
		panic(err) // a blank disk can't be wrong
	}
	h.Node, h.Up, h.queue, h.calls, h.blobs = n, true, [ahead][]flow.Event{}, map[uint64]func(flow.Reply){}, map[flow.Ref][]byte{}
	h.clear()
}

// Kill ends a host.
func (h *Host) Kill() {
	h.Up, h.Node, h.blobs, h.Plan, h.Serving = false, nil, nil, 0, false
	if h.world.lead == h {
		h.world.lead = nil
	}
	if h.world.acts == h {
		h.world.acts = nil
	}
}

// Has says whether a host runs a role.
func (h *Host) Has(role string) bool {
	for _, r := range h.Roles {
		if r == role {
			return true
		}
	}
	return false
}

func (h *Host) clear() { h.Spent = Spent{Kinds: map[string]int64{}, KindsIn: map[string]int64{}} }

// clock is a host's own elapsed time.
func (h *Host) clock() flow.Time {
	return time.Hour + time.Duration(h.at)*time.Millisecond + h.world.Now
}

func (h *Host) offer(rounds int, e flow.Event) {
	if h.Up {
		k := (h.world.round + min(max(rounds, 1), ahead-1)) % ahead
		h.queue[k] = append(h.queue[k], e)
	}
}

// bulk gives the bytes of large lines that a host is about to read.
func (h *Host) bulk() (n int) {
	for _, e := range h.queue[h.world.round%ahead] {
		if e.Line != nil && len(e.Line.Body) >= large {
			n += len(e.Line.Body)
		}
	}
	return n
}

func threadTime() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

// wireSize is how many bytes the link writes for a line.
func wireSize(x flow.Line) int64 {
	body := x.Body
	x.Body = json.RawMessage("0")
	b, _ := link.Pack(nil, x)
	return int64(len(b) - 1 + len(body))
}

// emit carries out what the node wants, and counts it.
func (h *Host) emit() {
	outbox := h.out
	h.out = flow.Outbox{}
	for _, note := range outbox.Notes {
		h.note(note)
	}
	h.store(&outbox)
	h.sendLines(outbox.Lines)
	for _, reply := range outbox.Replies {
		if answer := h.calls[reply.ID]; answer != nil {
			if !reply.More {
				delete(h.calls, reply.ID)
			}
			answer(reply)
		}
	}
	for _, send := range outbox.Sends {
		h.Spent.Sends++
		h.world.Out.send(h, send)
	}
	if outbox.Halt != "" {
		panic("scale: " + h.Name + " halted: " + outbox.Halt)
	}
}

// store does what is for the disk.
func (h *Host) store(outbox *flow.Outbox) {
	if len(outbox.Save) > 0 {
		h.Spent.Writes++
		for _, save := range outbox.Save {
			for _, entry := range save.Add {
				h.Spent.Bytes += int64(len(entry.Data))
			}
		}
		h.offer(1, flow.Event{Saved: outbox.Batch})
	}
	for _, change := range outbox.Blobs {
		for _, item := range change.Put {
			h.blobs[item.Ref] = item.Body
		}
		for _, ref := range change.Drop {
			delete(h.blobs, ref)
		}
	}
	for _, fetch := range outbox.Fetch {
		h.fetched(fetch)
	}
}

// sendLines brings lines to their hosts. A large line to many is kept once.
func (h *Host) sendLines(lines []flow.Line) {
	world := h.world
	var shared json.RawMessage
	for i := range lines {
		line := &lines[i]
		*line = line.Joined()
		if len(line.Body) >= large {
			world.said += len(line.Body)
			if bytes.Equal(line.Body, shared) {
				line.Body = shared
			}
			shared = line.Body
		}
		size := wireSize(*line)
		h.Spent.Out++
		h.Spent.Sent += size
		h.Spent.Kinds[line.Kind] += size
		if line.To == operator {
			world.heard(*line)
			continue
		}
		if to := world.byAddr[line.To]; to != nil && to.Up {
			to.Spent.In++
			to.Spent.Heard += size
			to.Spent.KindsIn[line.Kind] += size
			to.offer(world.rounds(h, to), flow.Event{Line: line})
		}
	}
}

func (h *Host) fetched(fetch flow.Fetch) {
	got := flow.Fetched{ID: fetch.ID}
	for _, r := range fetch.Refs {
		b, ok := h.blobs[r]
		if !ok {
			got.Missing = append(got.Missing, r)
			continue
		}
		if !fetch.Check {
			got.Parts = append(got.Parts, flow.Part{Ref: r, Size: len(b), Body: b})
		}
	}
	h.offer(1, flow.Event{Blobs: &got})
}

// Call makes a request of a host from outside.
func (h *Host) Call(call flow.Call, answer func(flow.Reply)) {
	if !h.Up {
		return
	}
	h.callID++
	h.Spent.Calls++
	call.ID = h.callID
	if answer == nil {
		answer = func(flow.Reply) {}
	}
	h.calls[call.ID] = answer
	h.offer(1, flow.Event{Call: &call})
}

// notes are what the hollow fleet hears of its nodes' own logs.
var notes = map[string]func(*World, *Host, map[string]any){
	"role changed": func(w *World, h *Host, a map[string]any) {
		if a["role"] == raft.Leader {
			w.lead = h
		} else if w.lead == h {
			w.lead = nil
		}
	},
	"took the lease": func(w *World, h *Host, _ map[string]any) { w.acts = h },
	"stood down": func(w *World, h *Host, _ map[string]any) {
		if w.acts == h {
			w.acts = nil
		}
	},
	"plan in force":    func(w *World, h *Host, a map[string]any) { h.Plan, _ = a["version"].(uint64) },
	"took out a voter": func(w *World, _ *Host, a map[string]any) { w.out++ },
	"took up serving":  func(w *World, h *Host, _ map[string]any) { h.Serving = true },
}

func (h *Host) note(n flow.Note) {
	handle := notes[n.Text]
	if handle == nil {
		return
	}
	args := map[string]any{}
	for i := 0; i+1 < len(n.Args); i += 2 {
		args[fmt.Sprint(n.Args[i])] = n.Args[i+1]
	}
	handle(h.world, h, args)
}
