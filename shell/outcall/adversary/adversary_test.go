// Package adversary sets the real transport and the real decisions on repetition
// against engines that do all that a network and a failing process may do to an answer
// (design 7.3, 7.4).
package adversary

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/core/resend"
	"fernlink/shell/clock"
	"fernlink/shell/outcall"
)

const (
	triesMost = 3                      // sends of one call
	atOnce    = 96                     // calls under way
	patience  = 300 * time.Millisecond // for a call whose engine may hold it
	enough    = 30 * time.Second       // for all others: a hang guard
)

// protocol is how the engines say that they did not run a call.
var protocol = resend.Protocol{Word: "Not-Run", Statuses: []int{resend.Misdirected}}

// arena is one caller among adversaries.
type arena struct {
	t       *testing.T
	caller  *outcall.Caller
	engines []*engine
	ids     atomic.Uint64
	mu      sync.Mutex
	waits   map[uint64]chan flow.Back
	seen    map[string]int // outcomes, so that a test knows what it has brought about
}

func newArena(t *testing.T) *arena {
	a := &arena{t: t, waits: map[uint64]chan flow.Back{}, seen: map[string]int{}}
	for i := range triesMost {
		a.engines = append(a.engines, startEngine(t, fmt.Sprintf("engine-%d", i)))
	}
	a.caller = outcall.New(a.hear)
	t.Cleanup(a.caller.Close)
	return a
}

func (a *arena) hear(e flow.Event) {
	a.mu.Lock()
	wait := a.waits[e.Back.ID]
	if e.Back.End {
		delete(a.waits, e.Back.ID)
	}
	a.mu.Unlock()
	wait <- *e.Back
}

func (a *arena) count(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen[what]++
}

// call is one call and what its engines do with its sends, in turn.
type call struct {
	id      string
	kind    resend.Kind
	size    int // bytes of its body
	scripts [triesMost]script
}

// result is what a caller is told.
type result struct {
	decision resend.Decision
	refused  bool // it certainly did not run
	back     flow.Back
	events   []string
	last     script
	sends    int
}

// spoils says that an engine may have changed a byte of the answer that was taken.
func (r result) spoils() bool { return r.last.act == actSpoil }

// run makes a call, and sends it again where that is allowed.
func (a *arena) run(c call) result {
	var r result
	known := resend.Call{Kind: c.kind}
	for r.sends < triesMost {
		r.last = c.scripts[r.sends]
		e := a.engines[r.sends]
		r.sends++
		r.back, r.events = a.send(c, e, r.last)
		evidence := protocol.Observe(r.back)
		a.count(evidence.String())
		r.decision = known.Saw(evidence)
		if r.decision != resend.Resend {
			break
		}
	}
	r.refused = known.DidNotRun()
	return r
}

func (a *arena) send(c call, e *engine, s script) (flow.Back, []string) {
	limit := enough
	switch s.act {
	case actHold, actSpoil, actSwap, actSilent:
		limit = patience
	}
	wait := make(chan flow.Back, 16)
	id := a.ids.Add(1)
	a.mu.Lock()
	a.waits[id] = wait
	a.mu.Unlock()
	until := clock.Now() + limit
	a.caller.Start(flow.Send{ID: id, Verb: "POST", URL: "http://" + e.address() + "/", Body: make([]byte, c.size), Until: until, Limit: until,
		Once: c.kind == resend.RunOnce, Keep: c.kind != resend.RunOnce, Raw: true, Stream: true, Name: "Attempt-Id", Match: c.id,
		Fields: []flow.Field{{Name: "Attempt-Id", Value: c.id}, {Name: "Expect-Instance", Value: e.first()}, {Name: "Script", Value: s.header()}}})
	var events []string
	for {
		select {
		case b := <-wait:
			if b.End {
				return b, events
			}
			if !b.Open {
				events = append(events, string(b.Event))
			}
		case <-time.After(2 * enough): // a hang guard
			a.t.Errorf("%s hangs: %+v", c.id, s)
			return flow.Back{Failure: flow.TimedOut, Err: "hangs"}, events
		}
	}
}

// check holds a result against what the engines know.
func (a *arena) check(c call, r result) {
	runs := 0
	for _, e := range a.engines {
		runs += e.runsOf(c.id)
	}
	bad := func(format string, args ...any) {
		a.t.Errorf("%s (%s, %v): %s; %d runs, %d sends, %s, %+v", c.id, c.kind, c.scripts, fmt.Sprintf(format, args...), runs, r.sends, r.decision, r.back)
	}
	if c.kind == resend.RunOnce && runs > 1 {
		bad("ran twice")
	}
	if runs > r.sends {
		bad("ran more often than it was sent")
	}
	if r.refused && runs > 0 {
		bad("refused, and it ran")
	}
	if r.decision != resend.Accept {
		return
	}
	if runs == 0 {
		bad("answered without a run")
	}
	if flow.Get(r.back.Fields, "Attempt-Id") != c.id {
		bad("another call's answer")
	}
	if !r.spoils() {
		a.checkWhole(c, r, bad)
	}
}

// checkWhole holds an answer of which no byte was changed against the true one.
func (a *arena) checkWhole(c call, r result, bad func(string, ...any)) {
	if r.last.format != formatStream {
		if string(r.back.Body) != body(c.id) {
			bad("the body is %q", r.back.Body)
		}
		return
	}
	var want []string
	for n := range eventsEach {
		want = append(want, event(c.id, n))
	}
	if strings.Join(r.events, "|") != strings.Join(want, "|") {
		bad("the events are %q", r.events)
	}
}

// checkBegun holds the events of a stream that broke off against the true ones.
func (a *arena) checkBegun(c call, r result) {
	if r.spoils() {
		return
	}
	for n, got := range r.events {
		if n >= eventsEach || got != event(c.id, n) {
			a.t.Errorf("%s: event %d is %q", c.id, n, got)
		}
	}
}

// all runs calls, so many at once, and checks each.
func (a *arena) all(calls []call) {
	room := make(chan bool, atOnce)
	var running sync.WaitGroup
	for _, c := range calls {
		room <- true
		running.Add(1)
		go func() {
			defer running.Done()
			r := a.run(c)
			a.check(c, r)
			a.checkBegun(c, r)
			<-room
		}()
	}
	running.Wait()
}

var kinds = []resend.Kind{resend.RunOnce, resend.Repeatable}

// good is a script without any trouble.
func good(f format) script { return script{act: actNone, format: f} }

// Given an engine that closes, resets, holds or changes a byte at each offset of its
// answer, in each format, when calls that run once and calls that may be repeated meet
// it, then each answer that is taken is whole and its caller's own, and a call that runs
// once runs at most once.
func TestEachByteOfAnAnswer(t *testing.T) {
	arena := newArena(t)
	var calls []call
	for _, kind := range kinds {
		for _, f := range formats {
			id := func(i int) string { return fmt.Sprintf("%c%c-%04d", kind.String()[0], f[0], i) }
			size := len(answer(id(0), f))
			for _, how := range offsetActs {
				for offset := range size {
					c := call{id: id(len(calls)), kind: kind}
					c.scripts = [triesMost]script{{how, f, offset, 1 << (offset % 8)}, good(f), good(f)}
					calls = append(calls, c)
				}
			}
		}
	}
	arena.all(calls)
	for _, want := range []string{"answered", "reset", "incomplete", "malformed", "silent"} {
		if arena.seen[want] == 0 {
			t.Errorf("no send was %s: %v", want, arena.seen)
		}
	}
	t.Logf("%d calls: %v", len(calls), arena.seen)
}

// Given an engine that ends connections at each moment of a request, when calls meet it
// over new and over kept connections, then none runs more often than it may.
func TestEachMomentOfARequest(t *testing.T) {
	arena := newArena(t)
	var calls []call
	for round := range 12 {
		for _, kind := range kinds {
			for _, f := range formats {
				for _, first := range momentActs {
					for _, second := range []act{actNone, actAway, actForget} {
						c := call{id: fmt.Sprintf("m%02d-%05d", round, len(calls)), kind: kind, size: round * 4000}
						c.scripts = [triesMost]script{{act: first, format: f}, {act: second, format: f}, good(f)}
						calls = append(calls, c)
					}
				}
			}
		}
	}
	rand.New(rand.NewSource(1)).Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
	arena.all(calls)
	t.Logf("%d calls: %v", len(calls), arena.seen)
}

// Given engines in all kinds of trouble, and addresses that go to other instances, when
// thousands of calls share their connections, then each gets its own answer or none.
func TestAnyTroubleAndAddressesThatChangeHands(t *testing.T) {
	for _, seed := range []int64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			arena := newArena(t)
			r := rand.New(rand.NewSource(seed))
			for part := range 4 {
				var calls []call
				for n := range 500 {
					c := call{id: fmt.Sprintf("r%d-%d-%04d", seed, part, n), kind: kinds[r.Intn(len(kinds))], size: r.Intn(2) * r.Intn(40_000)}
					for i := range c.scripts {
						c.scripts[i] = arena.anyScript(r, c.id)
					}
					calls = append(calls, c)
				}
				arena.all(calls)
				if part == 2 {
					arena.engines[part].handOver("another instance")
				}
			}
			if arena.seen["wrong instance"] == 0 || arena.seen["answered"] == 0 {
				t.Errorf("%v", arena.seen)
			}
			t.Logf("%v", arena.seen)
		})
	}
}

// anyScript is a script of which half do no harm to the answer.
func (a *arena) anyScript(r *rand.Rand, id string) script {
	s := script{act: actNone, format: formats[r.Intn(len(formats))], flip: 1 << r.Intn(8)}
	switch r.Intn(4) {
	case 0:
		s.act, s.offset = offsetActs[r.Intn(len(offsetActs))], r.Intn(len(answer(id, s.format)))
	case 1, 2:
		s.act = momentActs[r.Intn(len(momentActs))]
	}
	return s
}
