package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/raft"
)

// Given a trainer and callers at work, when the store's leader is killed,
// then another leads, and results and bookings go on within the bound.
func TestLeaderKilled(t *testing.T) {
	t.Parallel()
	s := given(t, 11)
	s.train("one")
	s.a.Consume(100 * time.Millisecond)
	s.w.Run(4 * time.Second)
	old := s.w.Leader()
	old.Kill()
	heal, ok := s.a.Healed(2 * budget.Heal)
	s.then(ok && heal <= budget.Heal, "service is back in time: %v", heal)
	s.then(s.w.Leader() != old, "another leads")
	old.Start()
	s.w.Run(3 * time.Second)
	s.end()
}

// Given a roll-out under way, when the acting coordinator is killed, then
// results go on meanwhile, the standby takes over under a higher term, and
// the engines end up at the step's weights.
func TestCoordinatorKilled(t *testing.T) {
	t.Parallel()
	s := given(t, 12)
	s.train("one")
	s.w.Run(3 * time.Second)
	old := s.w.Acting()
	term := old.Node.Stats(old.clock()).Coord.Term
	had := s.a.Listed
	old.Kill()
	s.then(s.w.Until(budget.Heal, func() bool {
		h := s.w.Acting()
		return h != nil && h.Node.Stats(h.clock()).Coord.Term > term
	}), "the standby acts under a higher term")
	s.then(s.w.Until(budget.Heal, func() bool { return s.a.Done >= 3 && s.a.Listed > had+12 }), "steps with new weights get done: %d", s.a.Done)
	s.end()
}

// Given no coordinator at all, when a step is open at weights that engines
// have, then its results all come: the index is only advice.
func TestServesWithoutCoordinator(t *testing.T) {
	t.Parallel()
	s := given(t, 13)
	x := s.open(doc(s.a, "s1", 1, 4, 32))
	s.then(s.w.Until(budget.Heal, func() bool { return len(x.list) == x.doc.Wanted() }), "the first step is done")
	for _, h := range s.w.By("coordinator") {
		h.Kill()
	}
	y := s.open(doc(s.a, "s2", 1, 4, 32))
	s.then(s.w.Until(budget.Heal, func() bool { return len(y.list) == y.doc.Wanted() }), "a step is done without a coordinator")
	s.end()
}

// Given callers at work, when a dispatcher is cut off from every peer,
// then it refuses at once with Retry-After, no plan slips back on it, and it
// serves again when the cut ends.
func TestDispatcherCutOff(t *testing.T) {
	t.Parallel()
	s := given(t, 15)
	s.a.Operate(700 * time.Millisecond)
	s.a.Consume(100 * time.Millisecond)
	s.w.Run(2 * time.Second)
	cut := s.disp(0)
	var sibs []string
	for _, h := range s.w.Hosts {
		if h != cut {
			sibs = append(sibs, h.Name)
		}
	}
	s.w.Net.Split([]string{cut.Name}, sibs)
	s.w.Run(budget.LeaseDuration + 200*time.Millisecond)
	began := s.w.Now
	r := s.ask(cut, Web("POST", "/book/x", map[string]string{"id": "late"}, ""))
	s.then(r.Code == 503 && r.Head["Retry-After"] != "", "it refuses with Retry-After: %d", r.Code)
	s.then(s.w.Now-began < 100*time.Millisecond, "at once: %v", s.w.Now-began)
	s.w.Run(3 * time.Second)
	s.w.Net.Heal()
	s.then(s.w.Until(budget.Heal, s.w.Serving), "it serves again")
	s.end()
}

// Given two operators who both read version 1, when both put a plan, then one
// is acknowledged, the other told the present version, and only the first is
// ever in force.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := given(t, 17)
	var got []*attempt
	for _, id := range []string{"left", "right"} {
		s.a.Plan(id, 1, true, func(x *attempt) { got = append(got, x) })
	}
	s.then(s.w.Until(5*time.Second, func() bool { return len(got) == 2 }), "both are answered")
	won, lost := got[0], got[1]
	if won.state != "acked" {
		won, lost = lost, won
	}
	s.then(won.state == "acked" && won.version == 2 && lost.state == "lost" && lost.version == 2, "one wins and one is told version 2: %+v %+v", won, lost)
	for i := 0; i < 40; i++ {
		s.a.probe(won)
		s.a.probe(lost)
		s.w.Run(100 * time.Millisecond)
	}
	s.end()
}

// Given a plan with several faults, when it is put, then all are told by
// their JSON pointers and nothing changes.
func TestInvalidPlan(t *testing.T) {
	t.Parallel()
	s := given(t, 18)
	c := Call("plan.put", nil, nil)
	c.Body = []byte(`{"read":1,"request":"r","plan":{"pools":[{"name":"p","kind":"oven"}],"routes":[{"name":"a","path":"no","pool":"p","extra":1}]}}`)
	r := s.ask(s.disp(0), c)
	for _, at := range []string{"/plan/pools/0/kind", "/plan/routes/0/path", "/plan/routes/0/extra"} {
		s.then(r.Code == 400 && strings.Contains(string(r.Body), `"`+at+`"`), "%s is told, and 400 for the field that is not known: %d %s", at, r.Code, r.Body)
	}
	c.Body = []byte(`{"read":1,"request":"r","plan":{"pools":[{"name":"p","kind":"oven"}],"routes":[]}}`)
	s.then(s.ask(s.disp(0), c).Code == 422, "a wrong value alone is 422")
	c.Body = []byte(`{"read":1,"request":"r","plan":{"pools":[{"name":"p","kind":"app"}],"routes":[{"name":"a","path":"/x","pool":"q"},{"name":"a","path":"/x","pool":"p"},{"name":"c","path":"/v1/x","pool":"p"}],"placement":"best"}}`)
	r = s.ask(s.disp(0), c)
	for _, at := range []string{"/plan/routes/0/pool", "/plan/routes/1/name", "/plan/routes/1", "/plan/routes/2/path", "/plan/placement"} {
		s.then(r.Code == 422 && strings.Contains(string(r.Body), `"`+at+`"`), "%s is told: %d %s", at, r.Code, r.Body)
	}
	c.Body = []byte(`{"read":`)
	s.then(s.ask(s.disp(0), c).Code == 400, "what is not JSON is 400")
	r = s.ask(s.disp(1), Call("plan.get", nil, nil))
	s.then(r.Code == 200 && strings.Contains(string(r.Body), `"version":1`), "version 1 stands: %s", r.Body)
	for call, vars := range map[string]map[string]string{"step.get": {"id": "none"}, "step.results": {"id": "none"}, "engine.get": {"id": "none"}, "plan.version": {"version": "9"}} {
		r := s.ask(s.disp(0), Call(call, vars, nil))
		s.then(r.Code == 404, "%s of what is unknown is 404: %d", call, r.Code)
	}
	s.end()
}

// Given a coordinator frozen in mid-roll-out, when another takes over and the
// first wakes, then no engine hears an order of the old term after the new.
func TestFrozenCoordinatorWakes(t *testing.T) {
	t.Parallel()
	for seed := int64(30); seed < 34; seed++ {
		s := given(t, seed)
		s.train("one")
		s.w.Run(time.Duration(seed-29) * 700 * time.Millisecond)
		old := s.w.Acting()
		s.then(old != nil, "one acts")
		old.Freeze(8 * time.Second)
		s.w.Run(10 * time.Second)
		s.then(s.w.Acting() != nil && s.w.Acting() != old, "another acts")
		s.end()
	}
}

// Given a result and a plan that were acknowledged, when every store loses
// power at that moment, then both are there after the restart.
func TestPowerLossEverywhere(t *testing.T) {
	t.Parallel()
	s := given(t, 21)
	x := s.open(doc(s.a, "s1", 1, 4, 24))
	s.then(s.w.Until(budget.Heal, func() bool { return len(x.list) == x.doc.Wanted() }), "the step is done")
	done := false
	s.a.Plan("second", 1, true, func(p *attempt) {
		done = p.state == "acked"
		for _, h := range s.w.By("store") {
			h.Lose(false)
		}
	})
	s.then(s.w.Until(5*time.Second, func() bool { return done }), "the plan is acknowledged")
	s.w.Run(time.Second)
	for _, h := range s.w.By("store") {
		h.Start()
	}
	s.then(s.w.Until(budget.Heal, s.w.Serving), "the fleet serves again")
	s.end()
}

// Given a dispatcher cut from the coordinator for so long that batches are
// lost, when the cut ends, then its slices are found stale and sent whole.
func TestStaleSliceIsSentWhole(t *testing.T) {
	t.Parallel()
	s := given(t, 24)
	s.train("one")
	s.w.Run(3 * time.Second)
	c := s.w.Acting()
	s.w.Net.Split([]string{s.disp(0).Name}, []string{c.Name})
	s.w.Run(15 * time.Second)
	s.w.Net.Heal()
	s.then(s.w.Until(5*time.Second, func() bool { return c.Node.Stats(c.clock()).Coord.Gate["gap"] > 0 }), "the gap is seen")
	s.then(s.w.Until(5*time.Second, func() bool { return c.Node.Stats(c.clock()).Coord.Stale == 0 }), "and mended")
	s.end()
}

// Given a checkpoint that is damaged, when its coordinator takes the lease
// again, then it starts cold, says so, and the index fills anew.
func TestCorruptCheckpoint(t *testing.T) {
	t.Parallel()
	s := given(t, 25)
	x := s.open(doc(s.a, "s1", 1, 6, 32))
	s.then(s.w.Until(budget.Heal, func() bool { return len(x.list) == x.doc.Wanted() }), "a step is done")
	s.w.Run(budget.CheckpointInterval + 2*time.Second)
	c := s.w.Acting()
	b, err := c.Disk.Read("index.ckpt")
	s.then(err == nil && len(b) > 100, "a checkpoint was written")
	whole := c.Node.Stats(c.clock()).Coord.Blocks
	s.then(whole > 0, "the index holds blocks")
	for _, h := range s.w.By("coordinator") {
		h.Kill()
	}
	// Still JSON, so that only the checksum can tell.
	b = []byte(strings.Replace(string(b), `"size":64`, `"size":65`, 1))
	_ = c.Disk.Write("index.ckpt", b)
	c.Start()
	s.then(s.w.Until(budget.Heal, func() bool { return s.w.Acting() == c }), "it acts again")
	st := c.Node.Stats(c.clock()).Coord
	s.then(st.Cold, "it started cold")
	s.then(s.w.Until(10*time.Second, func() bool { return c.Node.Stats(c.clock()).Coord.Blocks > 0 }), "the index fills anew")
	s.end()
}

// Given a store cut off with its log ahead, when it comes back, then what it
// had alone is gone and nobody saw it.
func TestLeaderCutOffAlone(t *testing.T) {
	t.Parallel()
	s := given(t, 29)
	old := s.w.Leader()
	var rest []string
	for _, h := range s.w.Hosts {
		if h != old && !h.Has("dispatcher") {
			rest = append(rest, h.Name)
		}
	}
	s.w.Net.Split([]string{old.Name}, rest)
	s.a.Plan("alone", 1, true, nil)
	s.a.Consume(100 * time.Millisecond)
	s.w.Run(5 * time.Second)
	s.then(old.Node.Stats(old.clock()).Store.Role != raft.Leader, "it stepped down")
	s.w.Net.Heal()
	s.w.Run(3 * time.Second)
	s.end()
}

// Given a coordinator that freezes between making a weight order and writing
// it, when another has taken over and ordered the same engine, then the old
// order never reaches the engine.
func TestOrderFrozenBetweenCheckAndSend(t *testing.T) {
	t.Parallel()
	// On waking, the write and the timer that ends it race: several seeds.
	for seed := int64(150); seed < 158; seed++ {
		s := given(t, seed)
		var froze *Host
		s.w.Out.OnSend = func(h *Host, x flow.Send) {
			if froze == nil && strings.HasSuffix(x.URL, "/weights") {
				froze = h
				h.Freeze(14 * time.Second)
			}
		}
		s.train("one")
		s.then(s.w.Until(budget.Heal, func() bool { return froze != nil }), "a coordinator froze over an order")
		s.w.Run(18 * time.Second)
		s.then(s.a.Listed > 0, "the other one rolled the weights out")
		s.end()
	}
}

// Given a calm fleet, when time passes, then the lease stays where it is.
func TestCalmHandover(t *testing.T) {
	t.Parallel()
	s := given(t, 42)
	c := s.w.Acting()
	s.w.Run(20 * time.Second)
	s.then(s.w.Acting() == c && c.Node.Stats(c.clock()).Coord.Term == 1, "the first coordinator still acts under its first term")
	s.end()
}

// Given a plug-in that watches one slice, when it comes back with its cursor,
// it gets what it missed and nothing else; with a cursor of another term, or
// one that is too old, it gets a reset mark and the full state.
func TestWatchWithCursor(t *testing.T) {
	t.Parallel()
	s := given(t, 62)
	c := s.w.Acting()
	var lines []string // of the watches since the last look
	turn := 0
	watch := func(h *Host, slice, cursor string) {
		call, mine := Call("watch", map[string]string{"slice": slice}, nil), turn
		if cursor != "" {
			call.Query["cursor"] = cursor
		}
		h.Call(call, func(r flow.Reply) {
			if mine == turn {
				lines = append(lines, strings.Split(strings.TrimSpace(string(r.Body)), "\n")...)
			}
		})
	}
	type line struct {
		Cursor, Slice, Key, End string
		Reset                   bool
	}
	parse := func(raw string) (l line) { _ = json.Unmarshal([]byte(raw), &l); return }
	watch(c, "engines", "")
	s.w.Run(time.Second)
	s.then(len(lines) == 7 && parse(lines[0]).Reset, "a reset and six engines come first: %q", lines)
	s.train("one")
	s.then(s.w.Until(10*time.Second, func() bool { return len(lines) > 12 }), "changes follow")
	for _, m := range s.w.Out.Models() {
		s.then(strings.Contains(strings.Join(lines[7:], " "), `"key":"`+m.Name+`"`), "each engine's new weights are told")
	}
	for _, l := range lines {
		s.then(parse(l).Slice == "engines", "only of the slice asked for: %s", l)
	}
	at := parse(lines[len(lines)-3]).Cursor
	missed := lines[len(lines)-2:]
	lines, turn = nil, turn+1
	watch(c, "engines", at)
	s.w.Run(20 * time.Millisecond)
	s.then(len(lines) >= 2 && lines[0] == missed[0] && lines[1] == missed[1], "what was missed comes: %q, not %q", lines, missed)
	lines, turn = nil, turn+1
	watch(c, "engines", "9-1")
	s.w.Run(20 * time.Millisecond)
	s.then(len(lines) > 0 && parse(lines[0]).Reset, "another term's cursor is reset: %q", lines)
	lines, turn = nil, turn+1
	watch(s.disp(0), "engines", "")
	watch(c, "nothing", "")
	s.w.Run(100 * time.Millisecond)
	s.then(len(lines) == 2 && strings.Contains(lines[0]+lines[1], "the coordinator serves this") && strings.Contains(lines[0]+lines[1], "no such slice"), "others point to the coordinator: %q", lines)
	s.end()
}

// Given plans that grow to thousands of routes, when each is acknowledged,
// then it is in force at every dispatcher within the bound, and the last of
// its routes serves.
func TestPlanGrows(t *testing.T) {
	t.Parallel()
	s := given(t, 63)
	version := uint64(1)
	for i, n := range []int{100, 1000, 10000} {
		p := PlanDoc("grown")
		for j := len(p.Routes); j < n; j++ {
			p.Routes = append(p.Routes, api.Route{Name: fmt.Sprintf("r%d-%d", n, j), Path: fmt.Sprintf("/grown-%d/%d", n, j), Verbs: []string{"GET"}, Pool: AppPool})
		}
		far, still := s.disp(i%2), s.disp((i+1)%2)
		bytes := map[string]int{}
		s.w.Net.Count = func(kind string, n int) { bytes[kind] += n }
		c := Call("plan.put", nil, map[string]any{"read": version, "request": fmt.Sprint("grow", n), "plan": slim(p)})
		r := s.ask(s.disp(0), c)
		s.then(r.Code == 200, "a plan of %d routes is taken: %d %.200s", n, r.Code, r.Body)
		version++
		if n == 10000 {
			// One is cut off and one freezes just now: neither may serve by the
			// plan before once the bound is over.
			s.w.cutFor([]string{far.Name}, s.w.others(far.Name), 3*time.Second, true)
			still.Freeze(3 * time.Second)
			s.w.Run(budget.Plan)
			far.Call(Web("GET", "/grown-1000/999", nil, ""), func(r flow.Reply) { s.then(r.Code != 200, "%s serves the plan before: %d", far.Name, r.Code) })
			s.w.Run(2 * time.Second)
		}
		s.w.Run(budget.Plan)
		t.Logf("%d routes: %d bytes of the plan, %d in answers to %d renewals' worth of time", n, len(c.Body), bytes["told"], int(budget.Plan/budget.RenewInterval))
		// One that was cut off has up to five renewals open, each of which brings it.
		s.then(bytes["told"] < 9*len(c.Body)+200000, "the plan goes out to who needs it: %d bytes for a plan of %d", bytes["told"], len(c.Body))
		bytes = map[string]int{}
		s.w.Run(budget.Plan)
		s.then(bytes["told"] < 100000, "renewals then carry what changed only: %d bytes", bytes["told"])
		s.w.Net.Count = nil
		for _, h := range s.w.By("dispatcher") {
			s.then(h.Node.Stats(h.clock()).Disp.Plan == version, "%s has it", h.Name)
			r := s.ask(h, Web("GET", fmt.Sprintf("/grown-%d/%d", n, n-1), nil, ""))
			s.then(r.Code == 200, "its last route serves at %s: %d", h.Name, r.Code)
		}
	}
	s.end()
}

// Given a leader that dies around the moment of a plan's acknowledgement, when
// the operator says the same again, then the plan is there once, and a plan
// that was acknowledged never goes.
func TestLeaderDiesAroundTheAcknowledgement(t *testing.T) {
	t.Parallel()
	for i := 0; i < 12; i++ {
		s := given(t, int64(80+i))
		x := s.a.Plan("around", 1, true, nil)
		// The put takes a few milliseconds: the leader dies in each part of it.
		s.w.Run(time.Duration(i) * 700 * time.Microsecond)
		l := s.w.Leader()
		l.Lose(false)
		s.w.After(3*time.Second, l.Start)
		s.then(s.w.Until(budget.Heal, func() bool { return x.state == "acked" }), "it is acknowledged in the end: %+v", x)
		s.then(x.version == 2, "as version 2: %+v", x)
		s.end()
	}
}

// Given a roll-out of weights, when the store's leader dies at each point of
// it, then the roll-out still comes to its end, and no engine hears of two
// orderers.
func TestLeaderDiesAtEachPointOfARollOut(t *testing.T) {
	t.Parallel()
	for i := 0; i < 8; i++ {
		s := given(t, int64(130+i))
		x := s.open(doc(s.a, "s1", 1, 4, 24))
		s.w.Run(time.Duration(i) * 90 * time.Millisecond)
		l := s.w.Leader()
		l.Kill()
		s.w.After(3*time.Second, l.Start)
		s.then(s.w.Until(budget.Heal, func() bool { return len(x.list) == x.doc.Wanted() }), "the step is done: %d", len(x.list))
		s.end()
	}
}
