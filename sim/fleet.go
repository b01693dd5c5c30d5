package sim

import (
	"cmp"
	"fmt"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/node"
	"fernlink/core/raft"
)

// Shape is the size of a virtual fleet.
type Shape struct {
	Zones                       []string
	Stores, Coords, Dispatchers int
	Models, Apps                int
	Keep                        int  // log entries before a snapshot
	Merged                      bool // the stores run every role, and there is nobody else
	Bounds                      ledger.Bounds
	Spare                       int  // further machines with a disk: learners that stand ready
	Mixed                       bool // the machines with disks run coordinators too
	Wide                        int  // machines with a disk that carry the state better than all others
}

// Links and disks of fleets that have wide machines.
const (
	narrowLink, narrowDisk = 100, 64
	wideLink, wideDisk     = 600, 440
)

// Small keeps stories quick; the two deployments are the users' own, fourteen
// machines each, of which three and four have a disk.
var (
	Small     = Shape{Zones: []string{"a", "b", "c"}, Stores: 3, Coords: 2, Dispatchers: 2, Models: 4, Apps: 2, Keep: 256}
	Merged    = Shape{Zones: []string{"a", "b", "c"}, Stores: 3, Models: 4, Apps: 2, Keep: 256, Merged: true}
	FibrArmor = Shape{Zones: []string{"brest", "rennes", "vannes"}, Stores: 3, Mixed: true, Dispatchers: 11, Models: 11, Apps: 3, Keep: 256}
	Waterland = Shape{Zones: []string{"edam", "hoorn", "monnickendam", "purmerend"}, Stores: 3, Spare: 1, Mixed: true, Dispatchers: 10, Models: 9, Apps: 4, Keep: 256}
)

// Pools of every virtual fleet.
const (
	ModelPool = "model"
	AppPool   = "app"
)

// Build makes a fleet and starts it.
func Build(seed int64, s Shape) *World {
	w := Prepare(seed, s)
	for _, h := range w.Hosts {
		h.Start()
	}
	return w
}

// Prepare makes a fleet that is not started.
func Prepare(seed int64, s Shape) *World {
	w := New(seed)
	w.Out = newOutside(w)
	zone := func(i int) string { return s.Zones[i%len(s.Zones)] }
	for i := 0; i < s.Models; i++ {
		w.Out.AddModel(fmt.Sprintf("model-%d", i+1), ModelPool, zone(i), 0)
	}
	for i := 0; i < s.Apps; i++ {
		w.Out.AddApp(fmt.Sprintf("app-%d", i+1), AppPool, zone(i))
	}
	disks := s.Stores + s.Spare
	n := disks + s.Coords + s.Dispatchers
	addr := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }
	var form []string
	for i := 0; i < s.Stores; i++ {
		form = append(form, addr(i))
	}
	seeds := []string{addr(0), addr(min(disks, n-1)), addr(n - 1)}
	for i := 0; i < n; i++ {
		p := node.Config{Addr: addr(i), Web: fmt.Sprintf("10.0.0.%d:2", i+1), Zone: zone(i), Seeds: seeds, Keep: s.Keep, Bounds: s.Bounds, BlocksMost: 65536}
		name := ""
		if i < disks {
			name, p.Roles, p.Form = fmt.Sprintf("store-%d", i+1), []string{"store"}, form
			if i >= s.Stores {
				p.Form = nil
			}
			if s.Mixed {
				p.Roles = append(p.Roles, "coordinator")
			}
			if s.Merged {
				p.Roles, p.Platform = []string{"store", "coordinator", "dispatcher"}, "http://10.3.0.2:80/engines"
			}
		} else if i < disks+s.Coords {
			name, p.Roles = fmt.Sprintf("coord-%d", i-disks+1), []string{"coordinator"}
		} else {
			name, p.Roles = fmt.Sprintf("disp-%d", i-disks-s.Coords+1), []string{"dispatcher"}
			p.Platform = "http://10.3.0.2:80/engines"
		}
		if s.Wide > 0 {
			p.LinkMbps, p.DiskMB = narrowLink, narrowDisk
		}
		w.AddHost(name, p, i < disks+s.Coords)
	}
	for i := range s.Wide {
		p := node.Config{Addr: addr(n + i), Web: fmt.Sprintf("10.0.0.%d:2", n+i+1), Zone: zone(i), Seeds: seeds, Keep: s.Keep, Bounds: s.Bounds, BlocksMost: 65536,
			Roles: []string{"store"}, LinkMbps: wideLink, DiskMB: wideDisk}
		w.AddHost(fmt.Sprintf("wide-%d", i+1), p, true)
	}
	return w
}

// By gives the hosts of a role.
func (w *World) By(role string) []*Host {
	var out []*Host
	for _, h := range w.Hosts {
		if h.Has(role) && !h.Retired {
			out = append(out, h)
		}
	}
	return out
}

// Host gives a host by name.
func (w *World) Host(name string) *Host {
	for _, h := range w.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// Leader gives the store that leads, if one says so; of two, the newer.
func (w *World) Leader() *Host {
	var best *Host
	var term uint64
	for _, h := range w.By("store") {
		if !h.Up {
			continue
		}
		if s := h.Node.Stats(h.clock()).Store; s.Role == raft.Leader && s.Term >= term {
			best, term = h, s.Term
		}
	}
	return best
}

// Acting gives the coordinator that acts, if one does.
func (w *World) Acting() *Host {
	for _, h := range w.By("coordinator") {
		if h.Up && h.Node.Stats(h.clock()).Coord.Acting {
			return h
		}
	}
	return nil
}

// usualVoters is how many voters a fleet wants where nothing else is said.
const usualVoters = 3

// Repaired says whether as many voters stand as are wanted, all of them up.
func (w *World) Repaired() bool {
	l := w.Leader()
	if l == nil {
		return false
	}
	stats := l.Node.Stats(l.clock()).Store
	if stats.Changing {
		return false // the leader alone may have the change: it is lost with it
	}
	n := 0
	for _, m := range stats.Members {
		if !m.Voter {
			continue
		}
		n++
		if h := w.hostOf(m.ID); h == nil || h.Froze {
			return false
		}
	}
	return n == cmp.Or(w.Voters, usualVoters)
}

// Serving says whether every running dispatcher serves with its engines.
func (w *World) Serving() bool {
	for _, h := range w.By("dispatcher") {
		if !h.Up || h.Froze {
			return false
		}
		if s := h.Node.Stats(h.clock()).Disp; !s.Serving || s.Engines == 0 {
			return false
		}
	}
	return true
}

// Ask makes one request and waits for its answer in virtual time.
func (w *World) Ask(h *Host, c flow.Call, most time.Duration) (flow.Reply, bool) {
	var got flow.Reply
	done := false
	h.Call(c, func(r flow.Reply) { got, done = r, true })
	w.Until(most, func() bool { return done })
	return got, done
}

// Call is a request with a JSON body.
func Call(name string, vars map[string]string, body any) flow.Call {
	c := flow.Call{Name: name, Vars: vars, Query: map[string]string{}, Head: map[string]string{}}
	if body != nil {
		c.Body, _ = json.Marshal(body)
	}
	return c
}

// Web is an application request.
func Web(verb, path string, body any, key string) flow.Call {
	c := Call("app", nil, body)
	c.Verb, c.Path = verb, path
	if key != "" {
		c.Head["Idempotency-Key"] = key
	}
	return c
}

func jsonInto(b []byte, v any) error { return json.Unmarshal(b, v) }
