package gossip

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/budget"
	"fernlink/core/flow"
)

// fleet is a set of tables whose lines arrive with the next round.
type fleet struct {
	tables map[string]*Gossip
	addrs  []string
	now    flow.Time
	bytes  int
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7300", i/250, 1+i%250) }

func newFleet(n int) *fleet {
	f := &fleet{tables: map[string]*Gossip{}, now: time.Hour}
	for i := range n {
		f.start(i, 1_700_000_000_000)
	}
	return f
}

func (f *fleet) start(i int, inc int64) {
	addr := addrOf(i)
	if f.tables[addr] == nil {
		f.addrs = append(f.addrs, addr)
	}
	f.tables[addr] = New(Config{Self: Entry{ID: fmt.Sprint("node-", i), Name: fmt.Sprint("edge-", i), Inc: inc, Addr: addr, Web: addr, Zone: "a", Roles: []string{"dispatcher"}},
		Seeds: []string{addrOf(0), addrOf(1), addrOf(2)}, Rand: rand.New(rand.NewSource(int64(i) + inc))})
}

func (f *fleet) run(t *testing.T, d flow.Time) {
	t.Helper()
	type heard struct {
		from string
		line flow.Line
	}
	var lines []heard
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for _, l := range lines {
			var b Body
			if err := json.Unmarshal(l.line.Body, &b); err != nil {
				t.Fatal(err)
			}
			if g := f.tables[l.line.To]; g != nil {
				g.Take(f.now, l.from, b)
			}
		}
		lines = nil
		for _, addr := range f.addrs {
			if f.tables[addr] == nil {
				continue
			}
			var out flow.Outbox
			f.tables[addr].Advance(f.now, &out)
			for _, l := range out.Lines {
				f.bytes += len(l.Body)
				lines = append(lines, heard{addr, l})
			}
		}
	}
}

func TestEveryoneStaysAliveAtABoundedCost(t *testing.T) {
	// Given a fleet of 78 processes that know three seeds, and have met.
	fleet := newFleet(78)
	fleet.run(t, 5*time.Second)
	fleet.bytes = 0
	// When they gossip on.
	for range 8 {
		fleet.run(t, 500*time.Millisecond)
		// Then each sees all others alive at every moment.
		for _, addr := range fleet.addrs {
			if n := len(fleet.tables[addr].Live(fleet.now)); n != 77 {
				t.Fatalf("%s sees %d peers", addr, n)
			}
		}
	}
	// And a node sends less than 35 kB a second.
	if each := fleet.bytes / 4 / 78; each > 35_000 {
		t.Errorf("%d bytes a second from each node", each)
	}
}

func TestASilentPeerIsLost(t *testing.T) {
	// Given a fleet whose lists are in use.
	fleet := newFleet(12)
	fleet.run(t, 4*time.Second)
	for _, g := range fleet.tables {
		g.Live(fleet.now)
	}
	// When one of them ends.
	delete(fleet.tables, addrOf(7))
	fleet.run(t, budget.FailureTimeout+2*time.Second)
	// Then nobody counts it as alive.
	for addr, g := range fleet.tables {
		for _, e := range g.Live(fleet.now) {
			if e.Addr == addrOf(7) {
				t.Errorf("%s counts it as alive", addr)
			}
		}
	}
}

func TestARestartIsHeardEverywhere(t *testing.T) {
	// Given a fleet.
	f := newFleet(30)
	f.run(t, 4*time.Second)
	// When a process starts anew.
	f.start(9, 1_700_000_009_000)
	f.run(t, 2*time.Second)
	// Then all know its new start.
	for addr, g := range f.tables {
		if e, _ := g.entry(addrOf(9)); e.Inc != 1_700_000_009_000 {
			t.Errorf("%s knows start %d", addr, e.Inc)
		}
	}
}

func TestAnUnknownHeartbeatIsAskedFor(t *testing.T) {
	// Given a table that hears the heartbeat of a process it does not know.
	g := New(Config{Self: Entry{ID: "a", Inc: 1, Addr: "a:1"}, Rand: rand.New(rand.NewSource(1))})
	g.Take(time.Hour, "b:1", Body{Beats: Heartbeats{{"c:1", 7, 1, 3}}})
	// When its next round comes.
	var out flow.Outbox
	g.Advance(time.Hour, &out)
	// Then it asks the one who spoke of it.
	var b Body
	if len(out.Lines) != 1 || out.Lines[0].To != "b:1" || json.Unmarshal(out.Lines[0].Body, &b) != nil || !reflect.DeepEqual(b.Want, []string{"c:1"}) {
		t.Fatalf("%v", out.Lines)
	}
}

func TestALaterBeatDoesNotBringAnEarlierContentBack(t *testing.T) {
	// Given a table that knows that a process has changed.
	table := New(Config{Self: Entry{ID: "a", Inc: 1, Addr: "a:1"}, Rand: rand.New(rand.NewSource(1))})
	table.Take(time.Hour, "b:1", Body{Entries: []Entry{{ID: "c", Inc: 1, Beat: 5, Changed: 5, Addr: "c:1", Cluster: "new"}}})
	// When another tells its earlier content with a later beat.
	table.Take(time.Hour, "d:1", Body{Entries: []Entry{{ID: "c", Inc: 1, Beat: 9, Changed: 1, Addr: "c:1"}}})
	// Then the change stands, and the beat has grown.
	if e, _ := table.entry("c:1"); e.Cluster != "new" || e.Beat != 9 {
		t.Errorf("%+v", e)
	}
	// And a heartbeat after a further change has it asked for.
	table.Take(time.Hour, "d:1", Body{Beats: Heartbeats{{"c:1", 1, 10, 11}}})
	if table.missing["c:1"] != "d:1" {
		t.Errorf("not asked for: %v", table.missing)
	}
}

func TestAStoreThatStaysBlankChangesNobodysEntry(t *testing.T) {
	// Given a process that is no blank store, and hears one.
	g := New(Config{Self: Entry{ID: "a", Inc: 1, Addr: "a:1"}, Rand: rand.New(rand.NewSource(1))})
	g.Take(time.Hour, "b:1", Body{Entries: []Entry{{ID: "b", Inc: 1, Beat: 1, Changed: 1, Addr: "b:1", Blank: true}}})
	// When its next round comes.
	var out flow.Outbox
	g.Advance(time.Hour, &out)
	// Then its own entry does not say so: this only matters among those who form a cluster.
	if len(g.Self().Sees) != 0 {
		t.Errorf("%v", g.Self().Sees)
	}
}

func TestLiveListIsKeptWhileNothingChanges(t *testing.T) {
	// Given a table whose list was made.
	table := New(Config{Self: Entry{ID: "a", Inc: 1, Addr: "a:1"}, Rand: rand.New(rand.NewSource(1))})
	table.Take(time.Hour, "b:1", Body{Entries: []Entry{{ID: "b", Inc: 1, Beat: 1, Changed: 1, Addr: "b:1"}}})
	first := table.Live(time.Hour)
	// When only the beat grows.
	table.Take(time.Hour+time.Second, "b:1", Body{Beats: Heartbeats{{"b:1", 1, 1, 2}}})
	// Then the same list stands, and costs nothing.
	if cost := testing.AllocsPerRun(10, func() { table.Live(time.Hour + time.Second) }); cost != 0 || &first[0] != &table.Live(time.Hour + time.Second)[0] {
		t.Errorf("made anew: %v allocations", cost)
	}
	// And when the peer stops, it is not alive from the same moment on.
	table.Take(time.Hour+time.Second, "b:1", Body{Entries: []Entry{{ID: "b", Inc: 1, Beat: 3, Changed: 3, Addr: "b:1", Left: true}}})
	if live := table.Live(time.Hour + time.Second); len(live) != 0 {
		t.Errorf("%v", live)
	}
}

func TestHeartbeatsAreReadAsTheyWereWritten(t *testing.T) {
	for _, h := range []Heartbeats{{}, {{"10.0.0.1:7300", 1_700_000_000_000, 3, 12}}, {{"a:1", -1, 0, 0}, {"b:2", 1 << 62, 0, 1<<64 - 1}}} {
		raw, err := json.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		var got Heartbeats
		if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, h) {
			t.Errorf("%s: %v, %v", raw, got, err)
		}
	}
}

func TestMalformedHeartbeatsAreRefused(t *testing.T) {
	for _, raw := range []string{`[]`, `7`, `{}`, `"a"`, `"a 1"`, `"a 1 2"`, `"a 1 1 -1"`, `"a 1 1 2,"`, `" 1 1 2"`, `"a 1 1 2 3"`, `"\u0061 1 1 2"`} {
		var got Heartbeats
		if json.Unmarshal([]byte(raw), &got) == nil {
			t.Errorf("%s was taken: %v", raw, got)
		}
	}
}

// Given a machine that said that it is retired, when its process starts again and
// knows nothing of that, then its peers go on counting it as retired, and tell it.
func TestARetiredMachineStaysRetiredAfterARestart(t *testing.T) {
	entry := Entry{ID: "w", Addr: "w", Inc: 1, Beat: 3, Roles: []string{RoleWorker}, Retired: true}
	peer := New(Config{Self: Entry{ID: "p", Addr: "p"}, Rand: rand.New(rand.NewSource(1))})
	peer.Take(time.Second, "w", Body{Entries: []Entry{entry}})

	restarted := New(Config{Self: Entry{ID: "w", Addr: "w", Inc: 2, Roles: []string{RoleWorker}}, Seeds: []string{"p"}, Rand: rand.New(rand.NewSource(2))})
	peer.Take(2*time.Second, "w", Body{Entries: []Entry{restarted.Self()}})
	if live := peer.Live(2 * time.Second); len(live) != 1 || !live[0].Retired {
		t.Fatalf("its peer has %+v", live)
	}
	var out flow.Outbox
	peer.Advance(2*time.Second, &out)
	for _, l := range out.Lines {
		var b Body
		if l.To == "w" && json.Unmarshal(l.Body, &b) == nil {
			restarted.Take(2*time.Second, "p", b)
		}
	}
	if !restarted.Self().Retired {
		t.Fatal("the new process was not told")
	}
}

// Given a machine with many live peers, when it is told that it is retired, then all
// of them hear so in its next turn, whatever the round of gossip, and only once.
func TestARetirementIsToldToAllAtOnce(t *testing.T) {
	const peers = 40
	machine := New(Config{Self: Entry{ID: "w", Addr: "w", Inc: 1, Roles: []string{RoleWorker}}, Rand: rand.New(rand.NewSource(1))})
	for i := range peers {
		addr := fmt.Sprint("p", i)
		machine.Take(time.Second, addr, Body{Entries: []Entry{{ID: addr, Addr: addr, Inc: 1, Beat: 1}}})
	}
	var round flow.Outbox
	machine.Advance(time.Second, &round)

	told := func(now flow.Time) map[string]bool {
		var out flow.Outbox
		machine.Retire()
		machine.Advance(now, &out)
		heard := map[string]bool{}
		for _, line := range out.Lines {
			peer := New(Config{Self: Entry{ID: line.To, Addr: line.To}, Rand: rand.New(rand.NewSource(2))})
			var body Body
			if json.Unmarshal(line.Body, &body) != nil {
				t.Fatalf("%s", line.Body)
			}
			peer.Take(now, "w", body)
			if live := peer.Live(now); len(live) == 1 && live[0].Retired {
				heard[line.To] = true
			}
		}
		return heard
	}
	soon := time.Second + budget.HeartbeatInterval
	if heard := told(soon); len(heard) != peers {
		t.Errorf("%d of %d peers heard of it at once", len(heard), peers)
	}
	if heard := told(soon + budget.TickInterval); len(heard) > 0 {
		t.Errorf("%d peers were told again at once", len(heard))
	}
}
