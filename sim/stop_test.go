package sim

import (
	"fmt"
	"testing"
	"time"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// Given a dispatcher in the midst of long generations and a booking, when it is
// asked to stop, then it refuses what is new at once, sees the booking to its
// end, hands its partials on, and is gone within the bound; none of the tokens
// are made twice (design 5.5).
func TestCleanStopOfADispatcher(t *testing.T) {
	t.Parallel()
	s := given(t, 230)
	for _, a := range s.w.Out.Apps() {
		a.Slow = 900 * time.Millisecond
	}
	for _, m := range s.w.Out.Models() {
		m.Slow = 10
	}
	d := doc(s.a, "long", 1, 6, 400)
	x := s.open(d)
	s.then(s.w.Until(6*time.Second, func() bool {
		return s.sum(func(m *Model) int { return m.Load().Running }) >= 8
	}), "generations run")
	s.w.Run(time.Second)
	h := s.disp(0)
	booked := 0
	h.Call(Web("POST", "/book/x", map[string]string{"id": "x"}, "k1"), func(r flow.Reply) { booked = r.Code })
	s.w.Run(300 * time.Millisecond)
	h.Stop()
	s.w.Run(50 * time.Millisecond)
	r := s.ask(h, Web("POST", "/book/x", map[string]string{"id": "y"}, "k2"))
	s.then(r.Code == 503 && r.Head["Retry-After"] != "", "what is new is refused: %d %s", r.Code, r.Body)
	began := s.w.Now
	s.then(s.w.Until(budget.StopTimeout+time.Second, func() bool { return !h.Up }), "it is gone")
	s.then(booked == 200, "the booking was answered: %d", booked)
	s.then(s.w.Now-began < budget.StopTimeout, "within the bound: %v", s.w.Now-began)
	s.then(s.count("taken_over") > 0, "partials were taken over")
	s.then(s.w.Until(20*time.Second, func() bool { return len(x.list) == d.Wanted() }), "the step gets all its results: %d", len(x.list))
	s.then(s.count("resumed") > 0, "partials were gone on from")
	h.Start()
	s.then(s.w.Until(budget.Heal, s.w.Serving), "it comes back")
	s.end()
}

// Given the store's leader or the acting coordinator, when it is asked to stop,
// then the next one is there well before a silence would have been noticed.
func TestCleanStopOfTheLeader(t *testing.T) {
	t.Parallel()
	s := given(t, 231)
	s.train("one")
	s.a.Consume(100 * time.Millisecond)
	s.w.Run(2 * time.Second)
	l := s.w.Leader()
	l.Stop()
	s.then(s.w.Until(budget.ElectionTimeout, func() bool { x := s.w.Leader(); return x != nil && x != l && !l.Up }), "another leads and it is gone")
	l.Start()
	s.w.Run(2 * time.Second)
	c := s.w.Acting()
	c.Stop()
	s.then(s.w.Until(budget.LeaseTakeoverTimeout, func() bool { x := s.w.Acting(); return x != nil && x != c }), "another acts")
	s.then(s.w.Until(budget.StopTimeout, func() bool { return !c.Up }), "it is gone")
	c.Start()
	s.end()
}

// Given a whole fleet under load, when a release stops and starts its nodes one
// by one, then no step is lost, and no booking is refused but by a node that is
// stopping, at once (design 5.5).
func TestReleaseOfTheFleet(t *testing.T) {
	t.Parallel()
	s := givenShape(t, 232, FibrArmor)
	s.train("one")
	s.a.Consume(80 * time.Millisecond)
	s.w.Run(2 * time.Second)
	steps := s.a.Done
	for _, h := range append([]*Host(nil), s.w.Hosts...) {
		h.Stop()
		s.then(s.w.Until(budget.StopTimeout+time.Second, func() bool { return !h.Up }), "%s stops", h.Name)
		s.w.Run(300 * time.Millisecond)
		h.Start()
		s.then(s.w.Until(budget.Heal, func() bool { return s.w.Serving() && s.w.Leader() != nil }), "%s is back", h.Name)
		s.w.Run(2 * time.Second)
	}
	for i, id := range s.a.Order {
		if x := s.a.Steps[id]; i < len(s.a.Order)-1 {
			s.then(len(x.list) == x.doc.Wanted(), "step %s has all its results: %d of %d", id, len(x.list), x.doc.Wanted())
		}
	}
	refused, asked := 0, 0
	for _, b := range s.a.Bookings {
		asked++
		if b.refused > 0 {
			refused++
		}
	}
	t.Logf("%d steps, %d bookings, %d met a refusal, over %v", s.a.Done-steps, asked, refused, s.w.Now)
	s.then(s.a.Done > steps+10, "steps went on")
	s.then(refused*20 <= asked, "at most one booking in twenty meets a refusal: %d of %d", refused, asked)
	s.end()
}

// Given an engine that is told to go at short notice, when its runs will not be
// done by then, then they go on elsewhere from where they are, before it goes.
func TestEngineLeavesAtShortNotice(t *testing.T) {
	t.Parallel()
	s := given(t, 233)
	for _, m := range s.w.Out.Models() {
		m.Slow = 15
	}
	d := doc(s.a, "long", 1, 6, 160)
	x := s.open(d)
	busiest := func() (best *Model) {
		for _, m := range s.w.Out.Models() {
			if best == nil || m.Load().Running > best.Load().Running {
				best = m
			}
		}
		return
	}
	s.then(s.w.Until(6*time.Second, func() bool { return busiest().Load().Running >= 3 }), "generations run")
	s.w.Run(500 * time.Millisecond)
	m := busiest()
	m.Draining, m.Gone = true, s.w.Now+3*time.Second
	s.w.Run(2900 * time.Millisecond)
	left := m.Load().Running
	s.w.Out.Crash(m, 0)
	s.then(left == 0, "nothing runs there any more: %d", left)
	s.then(s.count("moved_off") > 0 && s.count("broken_streams") == 0, "all moved off in time")
	s.then(s.w.Until(30*time.Second, func() bool { return len(x.list) == d.Wanted() }), "the step gets all its results: %d", len(x.list))
	s.end()
}

// Given a trainer that waits for results instead of asking again and again, when
// each is listed, then it has it within the bound, and its calls are few; a step
// that ends or a node that stops lets it go.
func TestResultsAsTheyCome(t *testing.T) {
	t.Parallel()
	s := given(t, 234)
	for _, m := range s.w.Out.Models() {
		m.Slow = 6
	}
	d := doc(s.a, "wait", 1, 6, 60)
	x := s.open(d) // which polls beside, and tells when each was there to be read
	seen := map[int]time.Duration{}
	calls, at := 0, 0
	var read func(*Host)
	read = func(h *Host) {
		c := Call("step.results", map[string]string{"id": "wait"}, nil)
		c.Query["after"], c.Query["wait_ms"] = fmt.Sprint(at), "20000"
		calls++
		h.Call(c, func(r flow.Reply) {
			var p ledger.Pages
			s.then(r.Code == 200 && jsonInto(r.Body, &p) == nil, "a reader is answered: %d %s", r.Code, r.Body)
			for _, e := range p.Results {
				at++
				s.then(e.Seq == at, "in order: %d at %d", e.Seq, at)
				seen[at] = s.w.Now
			}
			if p.Step.State == "open" && at < d.Wanted() {
				read(h)
			}
		})
	}
	read(s.disp(1))
	polled := 0
	for polled < d.Wanted() {
		s.w.Run(50 * time.Millisecond)
		for ; polled < len(x.list); polled++ {
			s.then(seen[polled+1] != 0 || s.w.Until(budget.Listed, func() bool { return seen[polled+1] != 0 }), "result %d reached the reader in time", polled+1)
		}
		s.then(s.w.Now < time.Minute, "the step comes to its end: %d", polled)
	}
	s.then(calls <= d.Wanted()+2, "it asked %d times for %d results", calls, d.Wanted())
	// One that waits for what will not come is let go when the step ends.
	done := false
	c := Call("step.results", map[string]string{"id": "wait"}, nil)
	c.Query["after"], c.Query["wait_ms"] = fmt.Sprint(d.Wanted()), "60000"
	s.disp(0).Call(c, func(r flow.Reply) { done = r.Code == 200 })
	s.w.Run(time.Second)
	s.then(!done, "it waits")
	s.ask(s.disp(1), Call("step.end", map[string]string{"id": "wait"}, nil))
	s.then(s.w.Until(budget.Plan, func() bool { return done }), "the end of the step lets it go")
	s.end()
}

// Given a roll-out that an operator pauses midway, when its progress is asked
// for, then it says which engines are there and which wait, and after the resume
// that all are.
func TestRollOutProgress(t *testing.T) {
	t.Parallel()
	s := given(t, 235)
	put := func(rev int, paused bool) {
		r := s.ask(s.disp(0), Call("weights.put", map[string]string{"pool": ModelPool}, map[string]any{"revision": rev, "paused": paused, "request": fmt.Sprintf("roll-%d-%t", rev, paused)}))
		s.then(r.Code == 200, "revision %d, paused %v: %d %s", rev, paused, r.Code, r.Body)
	}
	type progress struct {
		Paused     bool
		Revision   int
		Engines    int
		AtRevision int `json:"at_revision"`
		Ordered    []string
		Waiting    []string
	}
	look := func() progress {
		var x struct{ Progress []progress }
		r := s.ask(s.disp(1), Call("roll.get", nil, nil))
		s.then(r.Code == 200 && jsonInto(r.Body, &x) == nil && len(x.Progress) == 1, "progress is told: %d %s", r.Code, r.Body)
		return x.Progress[0]
	}
	put(3, true)
	s.w.Run(4 * time.Second)
	p := look()
	s.then(p.Paused && p.Revision == 3 && p.Engines == 4 && p.AtRevision == 0 && len(p.Waiting) == 4, "paused, all wait: %+v", p)
	put(3, false)
	s.then(s.w.Until(budget.Heal, func() bool { p = look(); return p.AtRevision == 4 }), "all get there: %+v", p)
	s.then(!p.Paused && len(p.Waiting)+len(p.Ordered) == 0, "and nothing is left: %+v", p)
	s.end()
}

// Given the only store of a small fleet, when it is asked to stop, then it does
// not wait for another to take over, for there is none.
func TestCleanStopOfTheOnlyStore(t *testing.T) {
	t.Parallel()
	s := givenShape(t, 232, Shape{Zones: []string{"a"}, Stores: 1, Merged: true, Models: 2, Apps: 1, Keep: 256})
	h := s.w.Leader()
	from := s.w.Now
	h.Stop()
	s.then(s.w.Until(2*budget.StopTimeout, func() bool { return !h.Up }), "it is gone")
	s.then(s.w.Now-from < budget.StopTimeout/2, "soon: %v", s.w.Now-from)
	h.Start()
	s.then(s.w.Until(budget.Heal, func() bool { return s.w.Serving() && s.w.Acting() != nil }), "it comes back")
	s.end()
}
