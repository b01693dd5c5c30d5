package lots

import (
	"strings"

	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/prefix"
	"fernlink/core/serve/policy"
	"fernlink/core/sorted"
)

// slotsEach is how many slots of engines one core of an owner can serve; a pool
// that has more is shared out by model. An owner of 270 slots was seen to need 0.21 of a
// core on days of high load (docs/decisions.md): half of a core is left for the hours
// between, and for what else its process does.
const slotsEach = 600

// ownerOf picks who runs a new lot: whoever ran the last one of its kind, unless
// that one also runs another kind that a free process could take, else this node
// itself or one by rendezvous (design 12.5). It gives "" where no process has room for so
// many bytes of items in its memory.
func (t *Table) ownerOf(pool, model string, memory int64) string {
	if !t.env.Policies.On(policy.SharedOwner) {
		return t.env.Me
	}
	all := gossip.LotOwners(t.live())
	able := t.withMemory(all, memory)
	if len(able) == 0 && len(all) > 0 {
		return ""
	}
	key := t.ownerKey(pool, model, able)
	busy := t.busyOwners(key)
	last, ownLast := t.last[key], false
	idle := false
	for _, e := range able {
		ownLast = ownLast || e.Start() == last
		idle = idle || !busy[e.Start()]
	}
	if ownLast && (!idle || !t.yields(key, last)) {
		return last
	}
	next, best := "", gossip.Fitness{}
	for _, e := range able {
		id := e.Start()
		if id == t.env.Me && key == pool && (!idle || !busy[id]) {
			return id // it has the items already
		}
		fitness := gossip.Fitness{Roomy: true, Idle: !busy[id], Free: !e.Member, Weight: prefix.Weight(key, id)}
		if next == "" || fitness.Beats(best) {
			next, best = id, fitness
		}
	}
	if next == "" {
		return t.env.Me
	}
	return next
}

// withMemory gives the processes that have room for so many bytes of items beside the open
// lots that they own.
func (t *Table) withMemory(entries []gossip.Entry, memory int64) []gossip.Entry {
	held := map[string]int64{}
	for _, lot := range t.open {
		held[lot.owner] += lot.bytes
	}
	var able []gossip.Entry
	for _, e := range entries {
		if e.HoldsLots(held[e.Start()] + memory) {
			able = append(able, e)
		}
	}
	return able
}

// ownerKey names the lots that one owner runs together: those of a pool, or of
// one model where the pool has more slots than one machine can serve.
func (t *Table) ownerKey(pool, model string, able []gossip.Entry) string {
	slots, most := 0, 0
	for _, e := range t.engines.Pool(pool) {
		slots += e.Slots
	}
	for _, e := range able {
		most = max(most, e.Cpu)
	}
	if most > 0 && slots*1000 > most*slotsEach {
		return pool + modelSeparator + model
	}
	return pool
}

// modelSeparator stands between pool and model in the key of an owner.
const modelSeparator = "/"

// samePool says whether two keys share a pool's name, so that one is part of the
// other.
func samePool(a, b string) bool {
	return a == b || strings.HasPrefix(a, b+modelSeparator) || strings.HasPrefix(b, a+modelSeparator)
}

// busyOwners gives the owners of lots of other kinds.
func (t *Table) busyOwners(key string) map[string]bool {
	busy := map[string]bool{}
	for other, owner := range t.last {
		if !samePool(key, other) {
			busy[owner] = true
		}
	}
	return busy
}

// yields says whether an owner runs lots of another kind too, and this kind is
// the one that goes elsewhere: all nodes come to the same answer.
func (t *Table) yields(key, owner string) bool {
	for other, x := range t.last {
		if x == owner && other < key && !samePool(key, other) {
			return true
		}
	}
	return false
}

// addr is where a process that runs lots, is alive and does not stop is, or "".
func (t *Table) addr(owner string) string {
	for _, e := range t.live() {
		if !e.Left && e.RunsLots() && e.Start() == owner {
			return e.Addr
		}
	}
	return ""
}

// heardOwner keeps who owns an open lot, and who owned the newest of its kind. Rows come in
// no order of time: a node that starts hears of all lots at once, most of them over, whose
// owners may be gone.
func (t *Table) heardOwner(r ledger.LotRow) {
	if r.Pool != "" {
		for _, key := range []string{r.Pool, r.Pool + modelSeparator + r.Model} {
			if t.last[key] == "" || !r.Ended {
				t.last[key] = r.Owner
			}
		}
	}
	if r.Ended {
		t.heardEnd(r.ID)
		return
	}
	t.open[r.ID] = openLot{owner: r.Owner, heard: t.env.Now, bytes: r.Bytes}
	forgetOldest(t.open, func(x openLot) flow.Time { return x.heard })
}

// heardEnd keeps that a lot is over.
func (t *Table) heardEnd(id string) {
	delete(t.open, id)
	t.over[id] = t.env.Now
	forgetOldest(t.over, func(at flow.Time) flow.Time { return at })
}

// openLot is who owns a lot that has not ended, when that was heard, and how large it is.
type openLot struct {
	owner string
	heard flow.Time
	bytes int64 // of its requests
}

// forgetOldest keeps no more lots than the ledger has open ones, of which some ran
// out of time and are not told as ended.
func forgetOldest[V any](lots map[string]V, heard func(V) flow.Time) {
	if len(lots) <= ledger.OpenLots {
		return
	}
	oldest := ""
	for _, id := range sorted.Keys(lots) {
		if oldest == "" || heard(lots[id]) < heard(lots[oldest]) {
			oldest = id
		}
	}
	delete(lots, oldest)
}
