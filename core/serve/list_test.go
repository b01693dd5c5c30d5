package serve

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/serve/fleet"
)

// Given a list that can't be read for a while, when it is read again, then each
// is said once, and the list's age tells it meanwhile.
func TestAListThatCanNotBeReadIsSaidOnce(t *testing.T) {
	w := newWorld(t)
	var told []string
	broken := false
	run := func(d flow.Time) {
		for ; d > 0; d -= 10 * time.Millisecond {
			w.now += 10 * time.Millisecond
			var out flow.Outbox
			w.s.Advance(w.now, []gossip.Entry{{Addr: "me", Roles: []string{"dispatcher"}}}, &out)
			for _, x := range out.Sends {
				b, _ := json.Marshal(w.seats)
				news := flow.Back{ID: x.ID, End: true, Code: 200, Body: b}
				if broken {
					news = flow.Back{ID: x.ID, End: true, Err: "refused", Failure: flow.Unsent}
				}
				w.s.Back(w.now, news, &out)
			}
			for _, n := range out.Notes {
				if n.Level == flow.Warn {
					told = append(told, n.Text)
				}
			}
		}
	}
	w.seats = nil
	run(5 * time.Second)
	if a := w.s.Stats().ListAge; len(told) > 0 || a < 0 || a > 5 {
		t.Errorf("well: %q, age %v", told, a)
	}
	broken = true
	run(10 * time.Second)
	if a := w.s.Stats().ListAge; len(told) != 1 || !strings.Contains(told[0], "can't be read") || a < 9 {
		t.Errorf("broken: %q, age %v", told, a)
	}
	broken = false
	run(5 * time.Second)
	if len(told) != 2 || !strings.Contains(told[1], "read again") {
		t.Errorf("again: %q", told)
	}
}

// platform answers reads of a list in pages of two, and takes only so many calls
// a second from all nodes together; more than one second's are never saved up.
type platform struct {
	now    flow.Time
	rate   float64
	left   float64
	filled flow.Time
	seats  []dialect.Seat
}

func (p *platform) answer(x flow.Send) flow.Back {
	p.left = min(p.rate/4, p.left+p.rate*(p.now-p.filled).Seconds())
	p.filled = p.now
	if p.left < 1 {
		return flow.Back{ID: x.ID, End: true, Code: 429}
	}
	p.left--
	from, _ := strconv.Atoi(x.URL[strings.LastIndex(x.URL, "/")+1:])
	to := min(from+2, len(p.seats))
	page := listPage{Seats: p.seats[from:to]}
	if to < len(p.seats) {
		page.Next = strconv.Itoa(to)
	}
	b, _ := json.Marshal(page)
	return flow.Back{ID: x.ID, End: true, Code: 200, Body: b}
}

type listPage struct {
	Seats []dialect.Seat
	Next  string
}

// readers are nodes that share a platform, of which one may act.
func readers(n int, p *platform, acts func(i int) bool) (nodes []*Serve, run func(flow.Time)) {
	words := words()
	words.ListQuery = func(page string) string { return "/" + page }
	words.ReadList = func(b []byte) ([]dialect.Seat, string, error) {
		var x listPage
		err := json.Unmarshal(b, &x)
		return x.Seats, x.Next, err
	}
	var live []gossip.Entry
	for i := range n {
		ids := uint64(0)
		nodes = append(nodes, New(Config{ID: strconv.Itoa(i), Zone: "a", Codec: words, Asker: ask.New(uint64(i) << 40), Rand: rand.New(rand.NewSource(int64(i))), Keep: time.Minute,
			IDs: func() uint64 { ids++; return ids }, Fresh: func() bool { return true },
			Acting: func() (uint64, flow.Time, bool) { return 7, p.now + time.Second, acts(i) }}))
		live = append(live, gossip.Entry{Addr: strconv.Itoa(i), Roles: []string{"dispatcher"}})
	}
	return nodes, func(d flow.Time) {
		for ; d > 0; d -= 10 * time.Millisecond {
			p.now += 10 * time.Millisecond
			for i, s := range nodes {
				var out flow.Outbox
				s.Advance(p.now, live, &out)
				for len(out.Sends) > 0 {
					x := out.Sends[0]
					out.Sends = out.Sends[1:]
					s.Back(p.now, p.answer(x), &out)
				}
				for _, l := range out.Lines {
					to, err := strconv.Atoi(l.To)
					if err != nil || to == i {
						continue
					}
					l.Addr = strconv.Itoa(i)
					var back flow.Outbox
					nodes[to].Line(p.now, l, &back)
					for _, b := range back.Lines {
						b.Addr = l.To
						s.Line(p.now, b, &out)
					}
				}
			}
		}
	}
}

func twelve() (seats []dialect.Seat) {
	for i := range 12 {
		seats = append(seats, dialect.Seat{ID: fmt.Sprint("e", i), Addr: "h:1", Pool: "p", Slots: 1})
	}
	return seats
}

// Given a list of many pages and a platform that takes few calls, when all nodes
// start at once and none acts, then each has the list in time; when one acts, then
// all have it soon, and the rest call no more.
func TestAListOfManyPagesUnderAFewCalls(t *testing.T) {
	acting := false
	p := &platform{rate: 8, seats: twelve()}
	nodes, run := readers(9, p, func(i int) bool { return acting && i == 0 })
	run(4 * time.Second)
	acting = true
	run(3 * time.Second)
	for i, s := range nodes {
		if x := s.Stats(); x.List != 12 || x.ListAge < 0 || x.ListAge > 2 {
			t.Errorf("node %d has %d engines, %.1f s old", i, x.List, x.ListAge)
		}
	}
	before := make([]int64, len(nodes))
	for i, s := range nodes {
		before[i] = s.env.Counts["list_calls"]
	}
	run(10 * time.Second)
	for i, s := range nodes {
		if n := s.env.Counts["list_calls"] - before[i]; i > 0 && n > 0 || s.Stats().ListAge > 2 {
			t.Errorf("node %d called %d times, its list is %.1f s old", i, n, s.Stats().ListAge)
		}
	}
	acting = false
	// Nine lists of six pages are 54 calls, 6.75 s of the platform's; two rounds.
	run(20 * time.Second)
	for i, s := range nodes {
		if x := s.Stats(); x.ListAge > 13.5 {
			t.Errorf("alone, node %d has a list %.1f s old", i, x.ListAge)
		}
	}
}

// Given a node that has heard a list, when an older one of the same reader comes late, then the
// engines that came since are not gone; a new reader's list counts from its own beginning.
func TestAnOlderListIsNotTaken(t *testing.T) {
	w := newWorld(t)
	older, newer := []dialect.Seat{seat("e1", "10.0.0.1:1", "app", 4)}, []dialect.Seat{seat("e1", "10.0.0.1:1", "app", 4), seat("e2", "10.0.0.2:1", "app", 4)}
	w.line("fleet", fleet.News{Term: 9, Seq: 3, Seats: newer, Whole: true})
	w.line("fleet", fleet.News{Term: 9, Seq: 2, Seats: older, Whole: true})
	w.want(len(w.s.engines.Pool("app")) == 2, "%d engines after an older list", len(w.s.engines.Pool("app")))
	w.line("fleet", fleet.News{Term: 10, Seq: 1, Seats: older, Whole: true})
	w.want(len(w.s.engines.Pool("app")) == 1, "%d engines after a new reader's list", len(w.s.engines.Pool("app")))
}

// Given a node that reads the list, when it asks for a page, then it does so on a connection that
// carried nothing before: no answer names its page, and a late one would have engines appear gone.
func TestTheListIsReadAlone(t *testing.T) {
	w := newWorld(t)
	var out flow.Outbox
	w.now += 10 * time.Second
	w.s.Advance(w.now, nil, &out)
	read := 0
	for _, x := range out.Sends {
		if strings.HasPrefix(x.URL, "http://list") {
			read++
			w.want(!x.Keep || x.Alone, "a kept connection carries it: %+v", x)
		}
	}
	w.want(read == 1, "%d pages are read", read)
}
