package sim

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/coord"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/invariant"
	"fernlink/core/node"
	"fernlink/core/sorted"
	"fernlink/shell/disk"
)

const tick = 20 * time.Millisecond

// Host is one machine with one process of fernlink on it.
type Host struct {
	w       *World
	Config  node.Config
	Name    string
	Disk    *Disk // nil without one
	Node    *node.Node
	log     *disk.Log
	Up      bool
	Froze   bool
	Retired bool // its machine is gone for good
	closed  bool // its process stops and takes no more calls
	life    int  // counts starts, so that news of a past life is dropped

	inbox  []flow.Event
	turned time.Duration // when it last took a turn
	due    bool
	origin time.Duration
	rate   float64 // how fast its clock runs
	calls  map[uint64]func(flow.Reply)
	callID uint64
	sends  map[uint64]func() // cuts
	mute   map[uint64]bool   // sends whose connection lost bytes
	Notes  []string
	starts int64
	Jump   time.Duration // how far its wall clock is off
	saves  []flow.Save   // what waits for the disk
	blobs  []flow.BlobChange
	fetch  []flow.Fetch
	hear   func(flow.Line) // somebody who is no node of the fleet
	batch  uint64
	busy   bool

	diskSince time.Duration // when its disk was last blank
}

// AddHost puts a machine into the world, not yet started.
func (w *World) AddHost(name string, p node.Config, withDisk bool) *Host {
	h := &Host{w: w, Config: p, Name: name, rate: 0.995 + w.Rand.Float64()*0.01, origin: time.Duration(w.Rand.Int63n(int64(time.Hour)))}
	if withDisk {
		h.Disk, h.diskSince = NewDisk(w.Rand), w.Now
	}
	w.Hosts = append(w.Hosts, h)
	w.at[p.Addr] = h
	w.web[p.Web] = h
	return h
}

// clock is the host's own elapsed time, which also counts frozen time.
func (h *Host) clock() flow.Time { return h.origin + time.Duration(float64(h.w.Now)*h.rate) }

func (h *Host) wall() int64 { return 1_700_000_000_000 + (h.w.Now + h.Jump).Milliseconds() }

// Start runs the process from what its disk holds.
func (h *Host) Start() {
	if h.Up || h.Retired {
		return
	}
	h.starts++
	h.life++
	p := h.Config
	p.Inc = h.wall() + h.starts
	p.Seed = h.w.Rand.Int63()
	p.Invariants = invariant.NewMonitor()
	if h.Config.ID == "" {
		p.ID = fmt.Sprintf("%s-%d-%x", h.Name, h.starts, h.w.Rand.Uint32())
	}
	if h.Disk != nil {
		if !h.load(&p) {
			if h.Disk.Dead {
				// The power went while it started: it tries again.
				h.Disk.Lose()
				h.w.After(time.Second, h.Start)
			}
			return
		}
	}
	n, err := node.New(h.clock(), p)
	if err != nil {
		h.Notes = append(h.Notes, err.Error())
		return
	}
	h.Node, h.Up, h.Froze, h.closed = n, true, false, false
	h.inbox, h.due = nil, false
	h.saves, h.blobs, h.fetch, h.busy = nil, nil, nil, false
	h.calls, h.sends = map[uint64]func(flow.Reply){}, map[uint64]func(){}
	h.mute = map[uint64]bool{}
	life := h.life
	h.w.Every(tick, func() bool {
		if !h.Up || h.life != life {
			return false
		}
		if h.w.Now-h.turned >= h.Node.Pause() {
			h.turn()
		}
		return true
	})
}

func (h *Host) load(p *node.Config) bool {
	id, err := disk.Identify(h.Disk, p.ID, p.Inc)
	if err == nil {
		p.ID, p.Inc, p.Data = id.ID, id.Inc, true
		h.log, p.Disk, err = disk.Open(h.Disk)
	}
	if err != nil {
		h.Notes = append(h.Notes, "start: "+err.Error())
		h.w.trace(h.Name, "does not start", err.Error())
		return false
	}
	p.Checkpoint, _ = h.Disk.Read(coord.File)
	if b, err := h.Disk.Read("known.json"); err == nil {
		if json.Unmarshal(b, &p.Known) != nil {
			p.Known = gossip.Known{}
		}
	}
	return true
}

// ID is who the running process is.
func (h *Host) ID() string {
	if h.Node == nil {
		return ""
	}
	return h.Node.Stats(h.clock()).ID
}

// offer puts an event into the process's queue.
func (h *Host) offer(life int, e flow.Event) {
	if !h.Up || h.life != life || len(h.inbox) > 4096 {
		return
	}
	h.inbox = append(h.inbox, e)
	if h.due {
		return
	}
	h.due = true
	h.w.After(h.w.between(20*time.Microsecond, 200*time.Microsecond), func() {
		if h.life == life {
			h.due = false
			h.turn()
		}
	})
}

func (h *Host) turn() {
	if !h.Up || h.Froze {
		return
	}
	in := h.inbox
	h.inbox, h.turned = nil, h.w.Now
	out := h.Node.Advance(h.clock(), h.wall(), in)
	if len(out.Save) > 0 {
		h.batch, h.saves = out.Batch, append(h.saves, out.Save...)
	}
	h.blobs, h.fetch = append(h.blobs, out.Blobs...), append(h.fetch, out.Fetch...)
	h.save()
	h.emit(out)
	if out.Done && !h.closed {
		h.closed = true // the shell takes no more calls, and says so
		h.offer(h.life, flow.Event{Closed: true})
	}
	if out.Over {
		h.w.trace(h.Name, "stopped")
		h.Kill()
		return
	}
	if out.Halt != "" {
		h.w.Wrong("%s halted: %s", h.Name, out.Halt)
		h.Kill()
	}
}

// save is the disk's task: one chore at a time, what gathers is the next.
func (h *Host) save() {
	if h.busy || len(h.saves)+len(h.blobs)+len(h.fetch) == 0 {
		return
	}
	h.busy = true
	life := h.life
	h.w.After(h.Disk.Slow+h.w.between(0, 2*time.Millisecond), func() {
		if h.life != life {
			return
		}
		h.busy = false
		err := h.log.Save(h.blobs, h.saves)
		if errors.Is(err, disk.ErrFull) {
			h.offer(life, flow.Event{Full: true})
			h.w.After(500*time.Millisecond, func() {
				if h.life == life {
					h.save()
				}
			})
			return
		}
		if err != nil {
			h.Notes = append(h.Notes, "save: "+err.Error())
			h.Lose(false)
			return
		}
		fetch := h.fetch
		saved := len(h.saves) > 0
		h.saves, h.blobs, h.fetch = nil, nil, nil
		if saved {
			h.offer(life, flow.Event{Saved: h.batch})
		}
		for _, f := range fetch {
			got, err := h.log.Fetch(f)
			if err != nil {
				h.Notes = append(h.Notes, "fetch: "+err.Error())
				h.Lose(false)
				return
			}
			h.offer(life, flow.Event{Blobs: &got})
		}
	})
}

// checkInvariant makes a promise that the process found broken a finding.
func (h *Host) checkInvariant(note flow.Note) {
	if note.Text == invariant.Text {
		h.w.Wrong("%s %s: %v %v", h.Name, invariant.Text, note.Args[1], note.Args[2:])
	}
}

// toldAtOnceMost is how many bytes of lines a process makes in one turn, in copies of its own:
// what many are told at once is shared.
const toldAtOnceMost = 2 << 20

// checkTold finds a turn in which a process copies much for each peer that is told of it.
func (h *Host) checkTold(lines []flow.Line) {
	own := 0
	for _, l := range lines {
		own += len(l.Body)
	}
	if own > toldAtOnceMost {
		h.w.Wrong("%s makes %d bytes of lines at once", h.Name, own)
	}
}

func (h *Host) emit(out flow.Outbox) {
	life := h.life
	h.checkTold(out.Lines)
	for _, n := range out.Notes {
		h.checkInvariant(n)
		h.Notes = append(h.Notes, fmt.Sprint(h.w.Now, " ", n.Part, ": ", n.Text, " ", n.Args))
	}
	for _, l := range out.Lines {
		l = l.Joined()
		to := h.w.at[l.To]
		if to == nil {
			continue
		}
		h.w.trace(h.Name, l.Kind, l.To, len(l.Body))
		if h.w.Net.Count != nil {
			h.w.Net.Count(l.Kind, len(l.Body))
		}
		if to.hear != nil {
			l.Cluster, l.From, l.Addr = h.Node.Cluster(), h.Name, h.Config.Addr
			h.w.Net.Send(h.Name, to.Name, func() { to.hear(l) })
			continue
		}
		if h.w.Net.Damage != nil {
			l = h.w.Net.Damage(l)
		}
		h.w.Net.Line(h.Name, to.Name, l, func() { to.offer(to.life, flow.Event{Line: &l}) })
	}
	for _, r := range out.Replies {
		f := h.calls[r.ID]
		if f == nil {
			continue
		}
		if !r.More {
			delete(h.calls, r.ID)
		}
		h.w.Net.Flow(h.Name, "outside", func() { f(r) })
	}
	for _, id := range out.Cuts {
		if f := h.sends[id]; f != nil {
			delete(h.sends, id)
			h.w.Out.conns.ended(h, life, id, false)
			f()
		}
	}
	for _, s := range out.Sends {
		h.w.Out.send(h, life, s)
	}
	for _, f := range out.Files {
		if h.Disk != nil {
			_ = disk.PutFile(h.Disk, f.Name, f.Body)
		}
	}
}

// Call makes a request of this host from outside. The answer may never come.
func (h *Host) Call(c flow.Call, f func(flow.Reply)) {
	h.w.Net.Flow("outside", h.Name, func() {
		if !h.Up {
			h.w.Net.Flow(h.Name, "outside", func() { f(flow.Reply{Code: 0}) })
			return
		}
		if h.closed {
			h.w.Net.Flow(h.Name, "outside", func() { f(stopReply) })
			return
		}
		h.callID++
		c.ID = h.callID
		h.calls[c.ID] = f
		h.offer(h.life, flow.Event{Call: &c})
	})
}

// stopReply is what a process answers that takes no more calls.
var stopReply = flow.Reply{ID: 1, Code: 503, Head: map[string]string{"Retry-After": "0.05"}}

// Stop asks the process to end cleanly (design 5.5).
func (h *Host) Stop() { h.offer(h.life, flow.Event{Stop: true}) }

// Kill ends the process; the machine and its disk go on.
func (h *Host) Kill() {
	if !h.Up {
		return
	}
	h.Up, h.Froze = false, false
	h.life++
	for _, id := range sorted.Keys(h.sends) {
		h.sends[id]()
	}
	calls := h.calls
	h.sends, h.calls, h.Node = map[uint64]func(){}, map[uint64]func(flow.Reply){}, nil
	for _, id := range sorted.Keys(calls) {
		f := calls[id]
		h.w.Net.Flow(h.Name, "outside", func() { f(flow.Reply{Code: 0}) }) // the connection broke
	}
}

// Lose is a loss of power; with disk, the disk is gone too.
func (h *Host) Lose(withDisk bool) {
	h.Kill()
	if h.Disk == nil {
		return
	}
	if withDisk {
		h.Disk, h.diskSince = NewDisk(h.w.Rand), h.w.Now
		return
	}
	h.Disk.Lose()
}

// Freeze stops the machine for a while; what comes in waits.
func (h *Host) Freeze(d time.Duration) {
	if !h.Up {
		return
	}
	h.Froze = true
	life := h.life
	h.w.After(d, func() {
		if h.life == life {
			// Tasks that wrote before go on before the loop does, or after.
			h.Froze = false
			h.w.After(h.w.between(0, 20*time.Millisecond), h.turn)
		}
	})
}

// Has says whether the host runs a role.
func (h *Host) Has(role string) bool {
	return strings.Contains(strings.Join(h.Config.Roles, ","), role)
}
