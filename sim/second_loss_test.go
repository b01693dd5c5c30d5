package sim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"fernlink/api"
	"fernlink/core/budget"
	"fernlink/core/flow"
)

// A second machine in trouble at each instant of a change of the store's members
// (design 4.8). A machine counts as lost while it is away, and for syncTime once it
// is back or new: the least of what deployments give.
const (
	syncTime    = 4200 * time.Millisecond
	secondAway  = 3 * time.Second
	ordersBound = 4 * time.Second // from a loss that must be borne to the next acknowledged order
)

// lossShape is a small fleet whose state takes several snapshots to build.
var lossShape = Shape{Zones: []string{"a", "b", "c"}, Stores: 3, Coords: 1, Dispatchers: 2, Models: 1, Apps: 1, Keep: 64}

// lossStory is one fleet under orders, with one store machine that changes.
type lossStory struct {
	*story
	changing *Host // the member whose place changes
	version  uint64
}

// memberChange is one way in which the members of the store change.
type memberChange struct {
	name  string
	begin func(*lossStory)
	// borneFrom is the time from the beginning on at which one more machine may be
	// lost with all promises kept.
	borneFrom time.Duration
	from, to  time.Duration // the instants of interest
	shape     *Shape        // of the fleet, where it is not the usual one
}

const backAfter = 300 * time.Millisecond

var memberChanges = []memberChange{
	{"a wiped voter is back at its address", func(s *lossStory) {
		s.changing.Lose(true)
		s.w.After(backAfter, s.changing.Start)
	}, backAfter + syncTime, 0, 6 * time.Second, nil},
	{"an empty machine elsewhere replaces a lost voter", func(s *lossStory) {
		s.changing.Lose(true)
		s.changing.Retired = true
		s.w.After(backAfter, func() { s.successor() })
	}, backAfter + syncTime, 0, 6 * time.Second, nil},
	{"a follower is replaced as planned", (*lossStory).replaceAsPlanned, 0, syncTime, syncTime + 3*time.Second, nil},
	{"the leader is replaced as planned", func(s *lossStory) {
		s.changing = s.w.Leader()
		s.replaceAsPlanned()
	}, 0, syncTime, syncTime + 3*time.Second, nil},
	{"a machine is added", func(s *lossStory) { s.successor() }, 0, 0, 2 * time.Second, nil},
	{"an operator removes a member", (*lossStory).removeByOperator, 0, 0, 4 * time.Second, nil},
	{"the votes move to machines that carry more", (*lossStory).addWide, 0, 0, 800 * time.Millisecond, &moveShape},
}

// moveShape has three machines that carry more than the voters; they start late.
var moveShape = Shape{Zones: lossShape.Zones, Stores: 3, Coords: 1, Dispatchers: 2, Models: 1, Apps: 1, Keep: 64, Wide: 3}

// addWide starts the machines that carry more than the voters.
func (s *lossStory) addWide() {
	for _, h := range s.w.Hosts {
		if h.isWide() {
			h.Start()
		}
	}
}

// isWide says that a machine carries more than those of the usual fleet.
func (h *Host) isWide() bool { return h.Config.LinkMbps == wideLink }

// successor starts an empty machine in the zone of the one that changes.
func (s *lossStory) successor() { s.fresh("successor", 1, s.changing.Config.Zone) }

// replaceAsPlanned adds the successor, and stops the other for good once the
// successor counts.
func (s *lossStory) replaceAsPlanned() {
	s.successor()
	s.w.After(syncTime, func() {
		leaving := s.changing
		leaving.Stop()
		s.w.Every(20*time.Millisecond, func() bool {
			if leaving.Up {
				return true
			}
			leaving.Lose(true)
			leaving.Retired = true
			return false
		})
	})
}

// removeByOperator adds a machine and has a member taken out, whose machine goes as
// soon as the store says that it holds nothing.
func (s *lossStory) removeByOperator() {
	s.successor()
	leaving, id := s.changing, s.changing.ID()
	s.w.Every(300*time.Millisecond, func() bool {
		r, ok := s.w.Host("disp-1"), false
		r.Call(Call("store.remove", map[string]string{"id": id}, nil), func(x flow.Reply) {
			ok = x.Code == 200 && string(x.Body) == fmt.Sprintf(`{"id":%q,"state":"removed"}`, id)
			if ok && !leaving.Retired {
				leaving.Lose(true)
				leaving.Retired = true
			}
		})
		return !leaving.Retired && !s.a.Stop
	})
}

// secondTrouble is what a further machine meets.
type secondTrouble struct {
	name  string
	wipes bool
	do    func(*World, *Host)
}

var secondTroubles = []secondTrouble{
	{"killed", false, func(w *World, h *Host) { w.killFor(h, secondAway) }},
	{"without power", false, func(w *World, h *Host) { h.Lose(false); w.After(secondAway, h.Start) }},
	{"wiped", true, func(w *World, h *Host) { h.Lose(true); w.After(secondAway, h.Start) }},
	{"frozen", false, func(_ *World, h *Host) { h.Freeze(secondAway) }},
	{"cut off", false, func(w *World, h *Host) { w.cutFor([]string{h.Name}, w.others(h.Name), secondAway, true) }},
}

// secondLoss is one run: a change, a trouble, the instant between them, and whether
// the leader or another voter meets it.
type secondLoss struct {
	change  memberChange
	trouble secondTrouble
	at      time.Duration
	leader  bool
	seed    int64
}

func (l secondLoss) String() string {
	return fmt.Sprintf("%s, another is %s %v later (leader %v, seed %d)", l.change.name, l.trouble.name, l.at, l.leader, l.seed)
}

// borne says whether promises are kept throughout, also by the platform's count.
func (l secondLoss) borne() bool { return l.at >= l.change.borneFrom }

// bulk puts large plans, so that the state is not had by a few entries.
func (s *lossStory) bulk(count int) {
	s.version = 1
	for i := range count {
		id, from := fmt.Sprintf("bulk%d", i), s.w.Now
		p := PlanDoc(id)
		for n := range 3000 {
			p.Routes = append(p.Routes, api.Route{Name: fmt.Sprintf("r%d-%d", i, n), Path: fmt.Sprintf("/bulk-%d/%d", i, n), Verbs: []string{"GET"}, Pool: AppPool})
		}
		r := s.ask(s.disp(0), Call("plan.put", nil, map[string]any{"read": s.version, "request": "req-" + id, "plan": slim(p)}))
		s.then(r.Code == 200, "a large plan is taken: %d %.200s", r.Code, r.Body)
		s.a.Attempts = append(s.a.Attempts, &attempt{id: id, read: s.version, state: "acked", version: s.version + 1, sent: from, acked: s.w.Now})
		s.version++
	}
}

// write keeps putting plans, one after the other, and looks at them.
func (s *lossStory) write() {
	n := 0
	var next func()
	next = func() {
		if s.a.Stop {
			return
		}
		n++
		s.a.Plan(fmt.Sprintf("w%d", n), s.version, true, func(x *attempt) {
			s.version = max(s.version, x.version)
			s.w.After(50*time.Millisecond, next)
		})
	}
	next()
	s.w.Every(200*time.Millisecond, func() bool { s.a.lookAtPlan(); return !s.a.Stop })
}

// victim is the second machine: a counted voter that is not the one that changes.
func (s *lossStory) victim(leader bool) *Host {
	members := s.members()
	var other *Host
	for _, h := range s.w.By("store") {
		if !h.Up || h == s.changing || !members[h.ID()].Voter {
			continue
		}
		if leader && h == s.w.Leader() {
			return h
		}
		if h != s.w.Leader() {
			other = h
		}
	}
	return other
}

// ordersBack runs until an order that was sent from now on is acknowledged.
func (s *lossStory) ordersBack(most time.Duration) (time.Duration, bool) {
	from, seen := s.w.Now, len(s.a.Attempts)
	ok := s.w.Until(most, func() bool {
		for _, x := range s.a.Attempts[max(seen-1, 0):] {
			if x.state == "acked" && x.acked > from+20*time.Millisecond {
				return true
			}
		}
		return false
	})
	return s.w.Now - from, ok
}

// run plays it and gives how long orders stood still.
func (l secondLoss) run(t *testing.T) time.Duration {
	shape := lossShape
	if l.change.shape != nil {
		shape = *l.change.shape
	}
	s := &lossStory{story: givenWithoutWide(t, l.seed, shape)}
	s.bulk(2)
	s.write()
	s.w.Run(time.Second)
	s.changing = s.follower()
	l.change.begin(s)
	s.w.Run(l.at)
	victim := s.victim(l.leader)
	if victim == nil {
		s.w.Until(budget.Heal, func() bool { victim = s.victim(false); return victim != nil })
	}
	s.then(victim != nil, "%v: a second voter stands", l)
	l.trouble.do(s.w, victim)
	if !l.borne() {
		s.w.Run(secondAway) // orders may stand still until it is back
	}
	stood, ok := s.ordersBack(2 * budget.Heal)
	s.then(ok, "%v: orders are taken again: %v", l, s.members())
	if stood > ordersBound {
		t.Errorf("%v: orders stood still for %v", l, stood)
	}
	s.then(s.w.Until(3*budget.Heal, func() bool { return s.voters() == 3 && s.settled() && s.w.Repaired() }), "%v: all is whole again: %v", l, s.members())
	s.end()
	if r := verdict(planModel, s.a.planHistory()); r != porcupine.Ok {
		t.Errorf("%v: the history is %s", l, r)
	}
	return stood
}

// lossGrid gives the runs: a few instants of each pair, or every instant of
// SECOND_LOSS_STEP (a duration) where that is set.
func lossGrid() (grid []secondLoss) {
	step, _ := time.ParseDuration(os.Getenv("SECOND_LOSS_STEP"))
	for i, change := range memberChanges {
		for j, trouble := range secondTroubles {
			for k, at := range instants(change, i+j, step) {
				l := secondLoss{change, trouble, at, (i+j+k)%2 == 0, int64(5000 + 100*i + 10*j + k%10)}
				if trouble.wipes && !l.borne() {
					continue // two disks at once: more than may be lost
				}
				grid = append(grid, l)
			}
		}
	}
	return grid
}

// instants gives two instants of a change, other ones for each turn, or all of them
// a step apart.
func instants(c memberChange, turn int, step time.Duration) (list []time.Duration) {
	if step == 0 {
		step = (c.to - c.from) / 2
		first := c.from + step*time.Duration(turn%5+1)/6
		return []time.Duration{first, first + step}
	}
	for at := c.from + step; at <= c.to; at += step {
		list = append(list, at)
	}
	return list
}

// Given a change of the store's members, when one more counted machine is killed,
// wiped, frozen, cut off or loses its power at any instant of it, then nothing
// acknowledged is lost, orders are taken again within the bound once no more is
// lost than a deployment may lose, and three voters stand in the end.
func TestSecondLossDuringChange(t *testing.T) {
	t.Parallel()
	for _, l := range lossGrid() {
		t.Run(l.String(), func(t *testing.T) {
			t.Parallel()
			t.Logf("orders stood still for %v", l.run(t))
		})
	}
}
