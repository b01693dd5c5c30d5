package sim

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"fernlink/core/budget"
	"fernlink/core/flow"
)

// cutFor20 is how long a control machine is away in these stories.
const cutFor20 = 20 * time.Second

// controlRoles pick the control machine that is to be away.
var controlRoles = map[string]func(*testing.T, *Site) *Host{
	"leader":      func(_ *testing.T, s *Site) *Host { return s.w.Leader() },
	"coordinator": func(t *testing.T, s *Site) *Host { return s.leading(t) },
	"follower": func(t *testing.T, s *Site) *Host {
		acting, leader := s.leading(t), s.w.Leader()
		core := s.Core()
		return core[slices.IndexFunc(core, func(h *Host) bool { return h != acting && h != leader })]
	},
}

// changesElsewhere has configurations made at other machines, two of them racing
// each time, until a moment.
func (s *Site) changesElsewhere(h *Host, pause, until time.Duration) {
	s.w.Every(pause, func() bool {
		others := slices.DeleteFunc(s.up(s.Dispatchers()), func(x *Host) bool { return x == h })
		if newest := s.Newest(); newest != nil && len(others) > 0 {
			for range 2 {
				s.configureAt(others[s.w.Rand.Intn(len(others))], newest.Rev, s.change(s.w.Rand), s.Bounds.Ack, nil)
			}
		}
		return s.w.Now < until && !s.off
	})
}

// oneWinner fails where two changes on top of one version were acknowledged.
func (s *Site) oneWinner(t *testing.T) {
	t.Helper()
	winner := map[int]int{}
	for _, c := range s.Configs {
		if c.State != cfgTaken {
			continue
		}
		if w, found := winner[c.Base]; found {
			t.Errorf("versions %d and %d on top of %d are both acknowledged", w, c.Rev, c.Base)
		}
		winner[c.Base] = c.Rev
	}
}

// controlFigures are what a story measured at the machine that was away.
type controlFigures struct {
	first    time.Duration // from the first call after the trouble's start to its 503
	slowest  time.Duration // of all answers in that time
	unleased time.Duration // the slowest to a call that came later than a lease after the start
	lastGood time.Duration // the last answer but a 503, after the start
	back     time.Duration // from the trouble's end to the first configuration read
	refused  int           // answers 503
}

func (s *Site) figures(h *Host, from, to time.Duration) controlFigures {
	f := controlFigures{first: -1, back: -1}
	for _, a := range s.witness.answers {
		switch {
		case a.host != h || a.sent < from:
		case a.sent < to:
			f.slowest = max(f.slowest, a.came-a.sent)
			if a.sent-from > budget.LeaseDuration+contactSlack {
				f.unleased = max(f.unleased, a.came-a.sent)
			}
			if a.code == 503 {
				f.refused++
				if f.first < 0 {
					f.first = a.came - a.sent
				}
			} else if a.came < to {
				f.lastGood = max(f.lastGood, a.came-from)
			}
		case a.code == 200 && a.path == "/config" && a.verb == "GET" && f.back < 0:
			f.back = a.came - to
		}
	}
	return f
}

func (f controlFigures) String() string {
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	return fmt.Sprintf("first 503 after %d ms, slowest answer %d ms, %d answers 503, last other answer %d ms after the start, serving %d ms after the end",
		ms(f.first), ms(f.slowest), f.refused, ms(f.lastGood), ms(f.back))
}

// givenHammered is a site with operators at one control machine, changes beside
// it, and a restart of a machine that hears of it first, from now until a while
// after some trouble.
func givenHammered(t *testing.T, seed int64, role string) (*Site, *Host) {
	t.Helper()
	s := site(t, seed, LittleSite)
	h := controlRoles[role](t, s)
	s.w.Run(time.Second)
	s.witness.keep = true
	until := s.w.Now + cutFor20 + 6*time.Second
	s.Hammer(h, until)
	s.changesElsewhere(h, 2500*time.Millisecond, until)
	s.w.After(8*time.Second, func() { s.restartSeededBy(s.edge(), h) })
	s.w.Run(time.Second)
	return s, h
}

// edge is a machine without a disk.
func (s *Site) edge() *Host {
	all := s.Dispatchers()
	return all[slices.IndexFunc(all, func(h *Host) bool { return !h.Has("store") })]
}

// thenContact lets the trouble pass and checks what the machine answered.
func (s *Site) thenContact(t *testing.T, h *Host, from time.Duration) {
	t.Helper()
	s.w.Run(cutFor20)
	to := s.w.Now
	s.w.Run(8 * time.Second)
	f := s.figures(h, from, to)
	t.Log(f)
	if f.first < 0 || f.first >= operatorPatience || f.slowest >= operatorPatience {
		t.Errorf("an operator has to wait for over %v", operatorPatience)
	}
	if f.unleased > contactSlack {
		t.Errorf("without a lease it takes %v to say so", f.unleased)
	}
	if f.lastGood > budget.LeaseDuration+contactSlack {
		t.Errorf("it answered for longer than a lease: %v", f.lastGood)
	}
	if f.back < 0 || f.back > budget.Heal/2 {
		t.Errorf("it serves operators again %v after the trouble", f.back)
	}
	s.oneWinner(t)
	s.over(t)
}

// allCuts, where it is set, has each role cut off in each manner and direction;
// else each role meets each manner once, and all directions.
const allCuts = "CONTROL_CUTS"

// Given operators at a control machine, when it is cut off from the core for
// 20 s, in each manner and direction, then from one lease after its last
// contact on it answers each of them 503 within a second, and nothing else.
func TestControlCutOff(t *testing.T) {
	t.Parallel()
	seed := int64(700)
	for roleAt, role := range []string{"leader", "follower", "coordinator"} {
		for mannerAt, manner := range Manners {
			for wayAt, way := range directions {
				seed++
				if os.Getenv(allCuts) == "" && wayAt != (roleAt+mannerAt)%3 {
					continue
				}
				t.Run(fmt.Sprint(role, " ", manner, " ", way), func(t *testing.T) {
					t.Parallel()
					s, h := givenHammered(t, seed, role)
					from := s.w.Now
					s.cutOff(h, manner, way, cutFor20)
					s.thenContact(t, h, from)
				})
			}
		}
	}
}

// Given operators at a control machine, when it is frozen for 20 s, or its disk
// stalls, or its clock is stepped, then no call waits for over a second while it
// runs, and nothing that it held before is given as new.
func TestControlInOtherTrouble(t *testing.T) {
	t.Parallel()
	troubles := map[string]func(s *Site, h *Host){
		"frozen": func(s *Site, h *Host) { s.Freeze(h, cutFor20) },
		"disk stalled": func(s *Site, h *Host) {
			s.troubled[h], h.Disk.Slow = true, cutFor20
			s.w.After(cutFor20, func() { h.Disk.Slow = 0; delete(s.troubled, h); s.Touch(h) })
		},
		"clock stepped": func(s *Site, h *Host) {
			h.Jump = 26 * time.Hour
			s.w.After(cutFor20/2, func() { h.Jump = -26 * time.Hour })
		},
	}
	seed := int64(760)
	for _, role := range []string{"leader", "follower", "coordinator"} {
		for _, trouble := range []string{"frozen", "disk stalled", "clock stepped"} {
			seed++
			t.Run(role+" "+trouble, func(t *testing.T) {
				t.Parallel()
				s, h := givenHammered(t, seed, role)
				troubles[trouble](s, h)
				s.w.Run(cutFor20)
				to := s.w.Now
				s.w.Run(8 * time.Second)
				f := s.figures(h, to-cutFor20, to)
				t.Log(f)
				if f.back < 0 || f.back > budget.Heal/2 {
					t.Errorf("it serves operators again %v after the trouble", f.back)
				}
				s.oneWinner(t)
				s.over(t)
			})
		}
	}
}

// Given a machine without a disk that hears no leader, when a plan changes
// meanwhile, then it goes on with its own for plain requests, says 503 to
// operators and on paths it knows no route for, is not ready after a while, and
// has the newer plan within a lease once it hears a leader.
func TestAPlanWithoutALeader(t *testing.T) {
	t.Parallel()
	s := site(t, 785, LittleSite)
	s.witness.keep = true
	h := s.edge()
	s.Cut([]*Host{h}, s.others(h), true, cutFor20)
	from, had := s.w.Now, h.plan()
	s.Hammer(h, from+cutFor20)
	s.changesElsewhere(h, 4*time.Second, from+12*time.Second)
	s.w.Run(budget.Engine + budget.LeaseDuration + contactSlack) // the lease has to end first
	codes := map[int]int{}
	for s.w.Now < from+cutFor20-time.Second {
		known, unknown := s.try(&siteAsk{zone: "a", route: s.baseRoutes()[0], late: s.w.Now + time.Second}, h), &siteAsk{zone: "a", late: s.w.Now + time.Second}
		unknown.route = siteRoute{"none", siteName, "/" + s.name("none") + "/", "idempotent", nil, false}
		none := s.try(unknown, h)
		ready := 0
		s.Listener(h, "ready", "GET", "/ready", "", nil, nil, func(r flow.Reply) { ready = r.Code })
		s.w.Run(600 * time.Millisecond)
		codes[known.code]++
		if none.code != 503 || ready != 503 {
			t.Errorf("a path without a route gets %d, and ready says %d", none.code, ready)
		}
		if h.plan() != had {
			t.Fatalf("its plan is %d, it was %d", h.plan(), had)
		}
	}
	if codes[200] == 0 {
		t.Errorf("it serves nothing by the plan it has: %v", codes)
	}
	s.w.Run(from + cutFor20 - s.w.Now)
	healed := s.w.Now
	if !s.w.Until(budget.Heal, func() bool { return int(h.plan()) >= s.newestAt(healed) }) {
		t.Error("it never heard of the newer plan")
	}
	t.Logf("%s; the newer plan %d ms after the heal, codes of a known route %v", s.figures(h, from, healed), (s.w.Now - healed).Milliseconds(), codes)
	if s.w.Now-healed > budget.LeaseDuration {
		t.Errorf("it took %v to hear of the newer plan", s.w.Now-healed)
	}
	s.w.Run(2 * time.Second)
	s.over(t)
}
