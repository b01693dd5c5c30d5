// Package node wires the cores of one process together (design 3.1): the same
// wiring runs in the daemon and in the simulator. It owns the parts that the process's
// roles ask for and holds back what must not leave before a save is on disk. shell/run
// and sim call Advance, one call at a time.
package node

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math/rand"
	"slices"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/coord"
	"fernlink/core/dialect"
	"fernlink/core/disp"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/inflight"
	"fernlink/core/invariant"
	"fernlink/core/ledger"
	"fernlink/core/serve"
	"fernlink/core/serve/policy"
	"fernlink/core/store"
)

// Config are the options of a node.
type Config struct {
	ID         string
	Name       string // the machine's, by which operators call it
	Cpu        int    // thousandths of a core that the machine gives, 0 where unknown
	LinkMbps   int    // width of the machine's link, 0 where unknown
	DiskMB     int    // size of its disk, 0 where unknown
	MemoryMB   int    // size of its memory, 0 where unknown
	Inc        int64
	Addr       string
	Web        string
	Zone       string
	Roles      []string
	Seeds      []string
	Form       []string
	Platform   string
	Seed       int64
	Keep       int
	Bounds     ledger.Bounds
	BlocksMost int
	Off        []string
	Data       bool // there is a data folder
	Stop       flow.Time
	Disk       store.Disk
	Checkpoint []byte
	Known      gossip.Known
	First      bool           // the first start of all, with empty disks
	Want       int            // voters wanted, 0 for as many as formed
	Codec      *dialect.Codec // how a platform speaks; nil where none is served
	Debug      bool           // notes at the debug level are wanted
	LotKeep    flow.Time      // for how long a lot's results stay readable
	Invariants *invariant.Monitor
	Policies   policy.Set // for measurements: mechanisms of the serving side that are left out
}

// Node is one process.
type Node struct {
	p         Config
	gossip    *gossip.Gossip
	asker     *ask.Asker
	store     *store.Store
	disp      *disp.Disp
	coord     *coord.Coord
	serve     *serve.Serve
	ids       uint64
	counts    map[string]int64
	burst     map[string]flow.Time
	known     gossip.Known
	began     flow.Time
	now       flow.Time
	box       flow.Outbox // what the store wants done, until it is released
	held      []batch     // what waits for saves that are under way
	heldBytes int         // of the lines among it
	given     uint64      // the newest batch of saves given out
	saved     uint64      // the newest that is on disk
	full      bool        // the disk has no room
	unsaved   bool        // the disk has failed, and this process ends
	stop      flow.Time   // when a clean stop is over at the latest
	closed    bool        // no more calls come
	announce  flow.Time   // when the store's leader hears next that this member stops
	lease     leaseHealth
}

// batch is what may leave once the saves up to its number are on disk.
type batch struct {
	number uint64
	out    flow.Outbox
	bytes  int // of its lines
}

// heldMost and heldBytes bound what waits for the disk; beyond them the store hears
// nothing new, and peers say it again.
const (
	heldMost  = 512
	heldBytes = 16 << 20
)

func bytesOf(lines []flow.Line) int {
	sum := 0
	for _, line := range lines {
		sum += line.Size()
	}
	return sum
}

// New starts a node.
func New(now flow.Time, p Config) (*Node, error) {
	n := &Node{p: p, counts: map[string]int64{}, burst: map[string]flow.Time{}, began: now, known: p.Known}
	r := func() *rand.Rand { p.Seed++; return rand.New(rand.NewSource(p.Seed * 7919)) }
	self := gossip.Entry{ID: p.ID, Name: p.Name, Cpu: p.Cpu, Link: p.LinkMbps, Disk: p.DiskMB, Memory: p.MemoryMB, Format: ledger.FormatNewest, Inc: p.Inc, Addr: p.Addr, Web: p.Web, Zone: p.Zone, Roles: p.Roles}
	n.gossip = gossip.New(gossip.Config{Self: self, Known: p.Known, Seeds: p.Seeds, Rand: r()})
	n.asker = ask.New(firstAsk(p))
	if n.runs("store") {
		s, err := store.New(now, store.Config{ID: p.ID, Addr: p.Addr, Zone: p.Zone, Form: p.Form, Keep: p.Keep, Bounds: p.Bounds, Rand: r(), Disk: p.Disk, First: p.First, Want: p.Want, Invariants: p.Invariants})
		if err != nil {
			return nil, err
		}
		n.store = s
	}
	me := self.Start()
	orders := inflight.New()
	var heard func(flow.Time, ledger.Delta, uint64, *api.Plan)
	if self.RunsLots() && p.Codec != nil {
		n.serve = serve.New(serve.Config{Debug: p.Debug, ID: me, Zone: p.Zone, Codec: *p.Codec, Asker: n.asker, Rand: r(), IDs: n.idsOf("serve"), Keep: p.LotKeep, Orders: orders, Invariants: p.Invariants, Policies: p.Policies,
			Fresh:  func() bool { return n.disp.Fresh(n.now) },
			ViewAt: func() flow.Time { return n.disp.ViewAt() },
			Acting: func() (uint64, flow.Time, bool) {
				if n.coord == nil {
					return 0, 0, false
				}
				return n.coord.Lease(n.now)
			}})
		heard = n.serve.Heard
	}
	if self.RunsLots() {
		// A start is somebody of its own: what an earlier one claimed or
		// numbered is not this one's, though the identity on disk is.
		n.disp = disp.New(disp.Config{ID: me, Addr: p.Addr, Zone: p.Zone, Platform: p.Platform, Rand: r(), Asker: n.asker,
			IDs: n.idsOf("disp"), BlocksMost: p.BlocksMost, Heard: heard, Invariants: p.Invariants})
	}
	if n.runs("coordinator") {
		n.coord = coord.New(coord.Config{ID: p.ID, Addr: p.Addr, Asker: n.asker, IDs: n.idsOf("coord"), File: p.Checkpoint, Off: p.Off, Keeps: p.Data, Orders: orders})
	}
	return n, nil
}

// firstAsk is where a start's asks count from: far from those of each other start at
// its address, whatever the clock said, so that no late answer fits (design 5.2).
func firstAsk(p Config) uint64 {
	hash := sha256.Sum256(fmt.Appendf(nil, "%s %d %d", p.ID, p.Inc, p.Seed))
	return binary.BigEndian.Uint64(hash[:8]) >> 2 // leaves room to count
}

func (n *Node) runs(role string) bool { return slices.Contains(n.p.Roles, role) }

// parts own sends; an id's rest names its part, so that no table has to.
var parts = []string{"disp", "coord", "serve"}

func (n *Node) idsOf(part string) func() uint64 {
	at := uint64(slices.Index(parts, part))
	return func() uint64 {
		n.ids++
		return n.ids*uint64(len(parts)) + at
	}
}

// Cluster is the id of the cluster this node belongs to, if it knows.
func (n *Node) Cluster() string { return n.gossip.Known().Cluster }

// Known is what should outlive a restart where there is a data folder.
func (n *Node) Known() gossip.Known { return n.gossip.Known() }

// Advance takes what happened and gives what is to be done.
func (n *Node) Advance(now flow.Time, wall int64, in []flow.Event) flow.Outbox {
	var out flow.Outbox
	n.now = now
	if n.disp != nil {
		n.disp.Bind(now, &out)
	}
	if n.coord != nil {
		n.coord.Bind(now, &out)
	}
	if n.serve != nil {
		n.serve.Bind(now, &out)
	}
	for _, e := range in {
		n.event(now, wall, e, &out)
	}
	n.tick(now, wall, &out)
	// Lines to oneself take no socket; a few rounds are enough.
	for i := 0; i < 4; i++ {
		mine := n.local(&out)
		if len(mine) == 0 {
			break
		}
		for _, l := range mine {
			n.line(now, wall, l, &out)
		}
		n.tick(now, wall, &out)
	}
	n.leaving(now, &out)
	n.noteViolations(&out)
	for i := range out.Lines {
		out.Lines[i].Cluster, out.Lines[i].From, out.Lines[i].Addr = n.Cluster(), n.p.ID, n.p.Addr
	}
	return out
}

// noteViolations logs the promises that were found broken in this turn or by a shell.
func (n *Node) noteViolations(out *flow.Outbox) {
	for _, found := range n.p.Invariants.Pending() {
		flow.Error.Note(out, "invariant", invariant.Text, append([]any{"name", found.Name}, found.Trace...)...)
	}
}

// Multiples of budget.TickInterval that a node rests for at most while nothing happens: a
// follower's shortest deadline is an election, that of a node without a store and
// without work a renewal.
const (
	followerTicks = 2
	idleTicks     = 5
)

// Pause tells for how long the node may rest where no event comes. Whatever is due
// meanwhile is late by that, so a node with work under way rests for a tick only.
func (n *Node) Pause() flow.Time {
	switch {
	case n.busy():
		return budget.TickInterval
	case n.store != nil && !n.outside():
		return followerTicks * budget.TickInterval
	default:
		return idleTicks * budget.TickInterval
	}
}

// busy says whether any part has deadlines that are short.
func (n *Node) busy() bool {
	return n.stop != 0 || len(n.held) > 0 ||
		n.store != nil && !n.outside() && !n.store.Resting() ||
		n.coord != nil && n.coord.Acting(n.now) ||
		n.disp != nil && !n.disp.Idle(n.now) ||
		n.serve != nil && !n.serve.Idle()
}

// outside says that this node's store has no part in the cluster, as far as is known.
func (n *Node) outside() bool { return n.store.Outside(n.gossip.Known()) }

func (n *Node) local(out *flow.Outbox) []flow.Line {
	var mine, rest []flow.Line
	for _, l := range out.Lines {
		if l.To == n.p.Addr {
			l.Cluster, l.From, l.Addr = n.Cluster(), n.p.ID, n.p.Addr
			mine = append(mine, l.Joined())
		} else {
			rest = append(rest, l)
		}
	}
	out.Lines = rest
	return mine
}

func (n *Node) tick(now flow.Time, wall int64, out *flow.Outbox) {
	live := n.gossip.Live(now)
	if n.store != nil {
		n.store.Advance(now, wall, live, n.gossip.Self(), &n.box)
		n.release(out)
		n.gossip.Announce(n.store.Forming(), n.store.Leads(), n.store.Known())
	}
	n.asker.Advance(now, n.gossip.Known().Stores, out)
	if n.disp != nil {
		n.disp.Advance(now, live, out)
	}
	if n.coord != nil {
		n.coord.Advance(now, n.Cluster(), out)
	}
	if n.serve != nil {
		n.serve.Advance(now, n.gossip.Everyone(now), out)
	}
	n.gossip.Advance(now, out)
	n.watchLease(now, out)
}

// release gives the store's saves to the disk's task, and keeps what depends on
// them until they are synced; all that the store says keeps its order. Other
// parts of this node do not wait (design 4.2).
func (n *Node) release(out *flow.Outbox) {
	box := n.box
	n.box = flow.Outbox{}
	out.Notes, box.Notes = append(out.Notes, box.Notes...), nil
	out.Blobs, box.Blobs = append(out.Blobs, box.Blobs...), nil // nothing waits for it
	if len(box.Save) > 0 {
		n.given++
		out.Save, out.Batch = append(out.Save, box.Save...), n.given
		n.store.Mark(n.given)
		box.Save = nil
	}
	if n.given > n.saved {
		size := bytesOf(box.Lines)
		n.held = append(n.held, batch{n.given, box, size})
		n.heldBytes += size
		return
	}
	out.Join(box)
}

// synced lets go what waited for saves that are on disk now.
func (n *Node) synced(number uint64, out *flow.Outbox) {
	if number > n.given || number <= n.saved {
		n.p.Invariants.Violated(invariant.SaveOutOfOrder, "batch", number, "given", n.given, "saved", n.saved)
	}
	n.saved, n.full = max(n.saved, number), false
	if n.store != nil {
		n.store.Synced(number)
	}
	for len(n.held) > 0 && n.held[0].number <= n.saved {
		out.Join(n.held[0].out)
		n.heldBytes -= n.held[0].bytes
		n.held = n.held[1:]
	}
}

// choked says that the disk is so far behind that the store hears no more.
func (n *Node) choked() bool {
	if len(n.held) < heldMost && n.heldBytes < heldBytes {
		return false
	}
	n.counts["dropped_for_disk"]++
	return true
}

// leave begins a clean stop (design 5.5).
func (n *Node) leave(now flow.Time, out *flow.Outbox) {
	if n.stop != 0 {
		return
	}
	n.stop = now + n.p.Stop
	if n.p.Stop == 0 {
		n.stop = now + budget.StopTimeout
	}
	out.Note("node", "stopping")
	if n.disp != nil {
		n.disp.Leave(now, out)
	}
	if n.coord != nil {
		n.coord.Leave()
	}
	if n.serve != nil {
		n.serve.Leave(now, n.stop, out)
	}
}

// leaving goes on with it, and says when it is over. Others hear of it once nothing is owed
// to them any more. Callers are taken until the shell says that no more come; only then is it
// known that none of them waits, and whoever does at the stop's last moment is answered.
func (n *Node) leaving(now flow.Time, out *flow.Outbox) {
	if n.stop == 0 {
		return
	}
	out.Done = n.left(now) || now >= n.stop
	if out.Over = out.Done && n.closed; out.Over {
		n.close(now, out)
	}
}

// left says that all that a clean stop waits for is over.
func (n *Node) left(now flow.Time) bool {
	done := (n.serve == nil || n.serve.Left()) && (n.disp == nil || n.disp.Left())
	if n.unsaved { // its store is silent for good: nothing of it is waited for
		return done
	}
	done = done && (n.coord == nil || n.coord.Left(now))
	if n.store != nil {
		n.store.Leave(now)
		n.announceStop(now)
		done = done && n.store.Left(now)
	}
	if done && !n.gossip.Self().Left {
		n.gossip.Leave(now)
		return false // with the next turn, so that the word gets out
	}
	return done && len(n.held) == 0
}

// close answers all callers that still wait.
func (n *Node) close(now flow.Time, out *flow.Outbox) {
	if n.serve != nil {
		n.serve.Close(now, out)
	}
	if n.disp != nil {
		n.disp.Close(now, out)
	}
}

// announceStop tells the store's leader, again and again, that this member stops,
// so that another has its vote before it is gone.
func (n *Node) announceStop(now flow.Time) {
	notice, needed := n.store.StopNotice()
	if !needed || now < n.announce {
		return
	}
	n.announce = now + budget.ElectionTimeout/2
	n.asker.Ask(now, budget.ElectionTimeout, notice, func(flow.Time, ask.Answer) {})
}

func (n *Node) event(now flow.Time, wall int64, e flow.Event, out *flow.Outbox) {
	if e.Stop {
		n.leave(now, out)
	}
	n.closed = n.closed || e.Closed
	if len(e.Seeds) > 0 {
		n.gossip.Reseed(e.Seeds)
	}
	if e.Saved != 0 {
		n.synced(e.Saved, out)
	}
	if e.Blobs != nil && n.store != nil {
		n.store.Fetched(now, *e.Blobs, &n.box)
	}
	n.unsaved = n.unsaved || e.Unsaved
	if e.Full && !n.full {
		n.full = true
		flow.Warn.Note(out, "node", "the disk has no room; what was to be saved is tried again")
	}
	if e.Line != nil {
		n.line(now, wall, *e.Line, out)
	}
	if e.Call != nil {
		n.call(now, *e.Call, out)
	}
	if e.Unlogged > 0 {
		n.counts["unlogged_lines"] += e.Unlogged
	}
	if e.Stray != "" {
		n.counts["closed_connections"]++
	}
	if e.Gone != 0 {
		if n.disp != nil {
			n.disp.Gone(now, e.Gone, out)
		}
		if n.coord != nil {
			n.coord.Gone(e.Gone)
		}
		if n.serve != nil {
			n.serve.Gone(now, e.Gone, out)
		}
	}
	if e.Back != nil {
		backs[parts[e.Back.ID%uint64(len(parts))]](n, now, *e.Back, out)
	}
}

var backs = map[string]func(*Node, flow.Time, flow.Back, *flow.Outbox){
	"disp":  func(n *Node, now flow.Time, b flow.Back, out *flow.Outbox) { n.disp.Back(now, b, out) },
	"coord": func(n *Node, now flow.Time, b flow.Back, out *flow.Outbox) { n.coord.Back(now, b, out) },
	"serve": func(n *Node, now flow.Time, b flow.Back, out *flow.Outbox) { n.serve.Back(now, b, out) },
}
