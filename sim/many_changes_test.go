package sim

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
	"fernlink/core/store"
)

// Of the changes that operators make here.
const (
	changePause  = 100 * time.Millisecond // ten a second
	changeRoutes = 100                    // in each configuration
	manyChanges  = 500
)

// operator puts full configurations one after the other, at a steady rate, and
// reads all the while: no answer may be older than what was acknowledged before
// it was asked for.
type operator struct {
	*story
	left   int    // changes still to be made
	made   int    // changes acknowledged
	newest uint64 // the newest version that was acknowledged
	base   uint64 // the version that the next change is made from
	busy   bool
	fresh  int // machines that took another's place
	reads  int
	over   bool
}

func (s *story) operator() *operator {
	o := &operator{story: s, newest: 1, base: 1}
	s.w.Every(changePause, func() bool { o.change(); return !o.over })
	s.w.Every(changePause/2, func() bool { o.read(); return !o.over })
	return o
}

// largeConfig is a configuration of a hundred routes, some 25 KB of JSON.
func largeConfig(n int) json.RawMessage {
	plan := slim(PlanDoc(fmt.Sprint("change-", n)))
	routes := plan["routes"].([]any)
	for i := len(routes); i < changeRoutes; i++ {
		path := fmt.Sprintf("/service-%03d/of-a-department-with-a-long-name/resource-collection/%06d/and-what-belongs-to-it/in-each-of-its-parts/%03d", i, n, i)
		name := fmt.Sprintf("route-%03d-to-the-service-of-a-department", i)
		routes = append(routes, map[string]any{"name": name, "path": path, "verbs": []string{"GET"}, "pool": AppPool, "once": false})
	}
	plan["routes"] = routes
	b, _ := json.Marshal(plan)
	return b
}

func (o *operator) change() {
	if o.busy || o.left == 0 {
		return
	}
	o.busy = true
	o.left--
	n := o.made + o.left*10000
	body, _ := json.Marshal(map[string]any{"read": o.base, "request": fmt.Sprint("change-", n, "-", o.w.Now), "plan": largeConfig(n)})
	o.put(body, 0)
}

// put says a change until its outcome is known.
func (o *operator) put(body []byte, try int) {
	c := Call("plan.put", nil, nil)
	c.Body = body
	answered := false
	end := func(r flow.Reply) {
		if answered || o.over {
			return
		}
		answered = true
		var p ledger.Plan
		_ = json.Unmarshal(r.Body, &p)
		switch r.Code {
		case 200:
			o.made++
			o.newest = max(o.newest, p.Version)
			o.base, o.busy = p.Version, false
		case 409:
			o.base, o.busy = p.Version, false
		default:
			o.w.After(changePause/2, func() { o.put(body, try+1) })
		}
	}
	hosts := o.w.By("dispatcher")
	hosts[try%len(hosts)].Call(c, end)
	o.w.After(time.Second, func() { end(flow.Reply{}) })
}

func (o *operator) read() {
	least, asked := o.newest, o.w.Now
	hosts := o.w.By("dispatcher")
	hosts[o.w.Rand.Intn(len(hosts))].Call(Call("plan.get", nil, nil), func(r flow.Reply) {
		if r.Code != 200 {
			return
		}
		o.reads++
		var p ledger.Plan
		_ = json.Unmarshal(r.Body, &p)
		if p.Version < least {
			o.w.Wrong("a read that was asked for at %v gave version %d; %d was acknowledged before", asked, p.Version, least)
		}
	})
}

// through makes so many changes and waits until they are made.
func (o *operator) through(n int, most time.Duration) {
	o.Helper()
	o.left = n
	o.then(o.w.Until(most, func() bool { return o.left == 0 && !o.busy }), "%d changes are made in %v: %d are left", n, most, o.left)
}

// applied is how far a member has applied.
func (s *story) applied(h *Host) uint64 {
	if !h.Up {
		return 0
	}
	return s.stats(h).Applied
}

// near says whether a member is at most so many entries behind the leader.
func (s *story) near(h *Host, entries uint64) bool {
	l := s.w.Leader()
	return l != nil && h.Up && !s.stats(h).Pulling && s.applied(h)+entries >= s.stats(l).Commit
}

// replaced puts an empty machine at a new address in a follower's place.
func (o *operator) replaced() *Host {
	dead := o.follower()
	dead.Lose(true)
	dead.Retired = true
	o.fresh++
	return o.story.fresh(fmt.Sprint("new-", o.fresh), o.fresh, dead.Config.Zone)
}

// few is how many entries a member that keeps pace may be behind.
const few = 20

// thinnestUse is a link that carries a little more than the changes: 10 a second of
// some 23 KB each.
const thinnestUse = 280_000

// Given full configurations ten times a second, when an empty machine joins over
// a link that carries a little more than they are, then it has caught up in
// bounded time while they go on.
func TestThinLinkIsNotOutrun(t *testing.T) {
	t.Parallel()
	for seed, rate := range map[int64]int{600: 400_000, 601: 320_000, 602: thinnestUse} {
		s := given(t, seed)
		o := s.operator()
		o.through(100, 20*time.Second)
		o.left = manyChanges
		h := s.fresh("thin", 1, s.follower().Config.Zone)
		s.w.Net.Thin(h.Name, rate)
		h.Disk.Slow = slowDisk
		from := s.w.Now
		caught := s.w.Until(40*time.Second, func() bool { return s.near(h, few) })
		t.Logf("%d bytes a second: %v after %v, %d changes meanwhile, %d pieces, %d strays", rate, caught, s.w.Now-from, manyChanges-o.left, s.stats(h).Pulled, s.stats(h).Strays)
		if !caught {
			t.Errorf("over %d bytes a second it does not catch up while changes go on", rate)
		}
		o.end()
	}
}

// largeState is a fleet whose state takes a thin link longer than the leader takes
// to make its next snapshot.
func largeState(t *testing.T, seed int64) *story {
	t.Helper()
	const steps, idBytes = 300, 9000
	l := ledger.New()
	var blobs []flow.BlobChange
	do := func(kind ledger.Kind, body any) {
		b, _ := json.Marshal(body)
		c, _ := json.Marshal(ledger.Command{Kind: kind, At: 1_700_000_000_000, Body: b})
		l.Apply(l.Index+1, c)
		if x, any := l.Box(); any {
			blobs = append(blobs, x)
		}
	}
	for i := range steps {
		id := fmt.Sprintf("step-%0*d", idBytes, i)
		do("step.open", ledger.StepDoc{ID: id, Trainer: "early", Pool: "old", Revision: 1, Groups: []ledger.Group{{ID: "g", Prompt: "p", Samples: 1}}})
		do("step.end", id)
	}
	state := l.Snapshot()
	if x, any := l.Box(); any {
		blobs = append(blobs, x)
	}
	shape := Small
	shape.Coords = 0 // they would read all of it with each renewal
	w := Prepare(seed, shape)
	conf := raft.Conf{Cluster: "c-large", Want: 3}
	for i, h := range w.By("store") {
		conf = conf.With(raft.Member{ID: fmt.Sprint("s", i), Addr: h.Config.Addr, Zone: h.Config.Zone, Voter: true})
	}
	raw, _ := json.Marshal(conf)
	for i, h := range w.By("store") {
		h.Disk.prime(fmt.Sprint("s", i), conf.Cluster, blobs, flow.Snapshot{Index: l.Index, Term: 1, Conf: raw, State: state})
	}
	for _, h := range w.Hosts {
		h.Start()
	}
	s := &story{t, w, NewActors(w)}
	s.then(w.Until(budget.Heal, func() bool { return w.Leader() != nil }), "a store leads")
	done := false
	s.a.Plan("first", 0, true, func(x *attempt) { done = x.state == "acked" })
	s.then(w.Until(budget.Heal, func() bool { return done }), "the first plan is acknowledged")
	return s
}

// Given a state that takes a thin link longer than the leader takes for its next
// snapshot, when an empty machine fetches it, then it has caught up in bounded time
// while changes go on: the snapshot stays as long as it is fetched.
func TestLargeStateOverAThinLink(t *testing.T) {
	t.Parallel()
	const rate = 400_000
	s := largeState(t, 606)
	o := s.operator()
	o.through(100, 20*time.Second)
	o.left = manyChanges
	h := s.fresh("thin", 1, s.follower().Config.Zone)
	s.w.Net.Thin(h.Name, rate)
	from, entries := s.w.Now, 0
	s.then(s.w.Until(40*time.Second, func() bool {
		entries = max(entries, s.stats(s.w.Leader()).Log)
		return s.near(h, few)
	}), "it catches up: %d pieces, %d of the changes are left", s.stats(h).Pulled, o.left)
	t.Logf("a state of %d bytes over %d bytes a second: %v, at most %d entries on the leader", s.stats(s.w.Leader()).Snapshot, rate, s.w.Now-from, entries)
	o.end()
}

// fetches counts how often a machine's process began with a snapshot anew.
func fetches(h *Host) (n int) {
	for _, note := range h.Notes {
		if strings.Contains(note, "fetching a snapshot") {
			n++
		}
	}
	return n
}

// Given a voter amid its fetch, when it does not hear the leader for longer than
// an election takes, then it goes on where it was.
func TestSilentLeaderAmidAFetch(t *testing.T) {
	t.Parallel()
	s := given(t, 607)
	o := s.operator()
	h := s.follower()
	h.Kill()
	o.through(300, 60*time.Second)
	s.w.Net.Thin(h.Name, 100_000)
	h.Start()
	s.then(s.w.Until(4*time.Second, func() bool { return s.stats(h).Pulled > 2 }), "it fetches a snapshot")
	began := fetches(h)
	l := s.w.Leader()
	s.w.Net.Split([]string{h.Name}, []string{l.Name})
	s.w.Run(4 * budget.ElectionTimeout)
	s.w.Net.Join(h.Name, l.Name)
	s.w.Net.Join(l.Name, h.Name)
	s.then(s.w.Until(catchUpMost, func() bool { return s.near(h, few) }), "it catches up")
	s.then(s.w.Leader() == l, "the leader kept its office")
	s.then(fetches(h) == began, "it went on where it was: %d fetches, %d before", fetches(h), began)
	o.end()
}

// Given a link that carries less than the changes, when these end, then the
// member has caught up once the link carried what the leader kept for it.
func TestThinnerLinkCatchesUpAfterwards(t *testing.T) {
	t.Parallel()
	const rate = 120_000
	s := given(t, 605)
	o := s.operator()
	h := s.fresh("thinner", 1, s.follower().Config.Zone)
	s.w.Net.Thin(h.Name, rate)
	o.through(manyChanges, 70*time.Second)
	from := s.w.Now
	most := time.Duration(store.RetainBytes+store.KeepBytes) * time.Second / rate
	s.then(s.w.Until(most, func() bool { return s.near(h, 0) }), "it catches up within %v", most)
	t.Logf("%d bytes a second: %v after the changes ended", rate, s.w.Now-from)
	o.end()
}

// end mends the links and disks and checks all that was seen.
func (o *operator) end() {
	o.Helper()
	o.over = true
	o.w.Net.Heal()
	for _, h := range o.w.By("store") {
		h.Disk.Slow = 0
	}
	o.w.Run(budget.Heal)
	o.then(o.reads > 0, "something was read")
	o.story.end()
}

// memberTrouble is one trouble of a member; it gives the machine that is to catch up.
type memberTrouble struct {
	name string
	do   func(*operator) *Host
}

// pause is how long a machine is away.
func (o *operator) pause() time.Duration { return o.w.between(200*time.Millisecond, 8*time.Second) }

// restart takes a machine's power and starts it again.
func (o *operator) restart(h *Host, away time.Duration) *Host {
	h.Lose(false)
	o.w.Run(away)
	h.Start()
	o.then(h.Up, "%s starts: %q", h.Name, h.Notes)
	return h
}

// wipe takes a machine's disk and starts it empty.
func (o *operator) wipe(h *Host, away time.Duration) *Host {
	h.Lose(true)
	o.w.Run(away)
	h.Start()
	return h
}

// slow gives a machine a slow disk and a thin link until it has caught up.
func (o *operator) slow(h *Host) *Host {
	o.w.slowDown(h)
	return h
}

// amidFetch waits until a machine fetches a snapshot, if it ever does.
func (o *operator) amidFetch(h *Host) *Host {
	o.w.Until(4*time.Second, func() bool { return h.Up && o.stats(h).Pulling })
	o.w.Run(o.w.between(0, 300*time.Millisecond))
	return h
}

var memberTroubles = []memberTrouble{
	{"killed", func(o *operator) *Host {
		h := o.follower()
		h.Kill()
		o.w.Run(o.pause())
		h.Start()
		return h
	}},
	{"the leader without power", func(o *operator) *Host { return o.restart(o.w.Leader(), o.pause()) }},
	{"wiped", func(o *operator) *Host { return o.wipe(o.follower(), o.pause()) }},
	{"replaced", func(o *operator) *Host { return o.replaced() }},
	{"slow", func(o *operator) *Host {
		h := o.slow(o.follower())
		o.w.Run(o.pause())
		return h
	}},
	{"restarted twice", func(o *operator) *Host {
		h := o.restart(o.follower(), o.pause())
		o.w.Run(o.w.between(0, 500*time.Millisecond))
		return o.restart(h, o.w.between(0, time.Second))
	}},
	{"wiped while slow", func(o *operator) *Host { return o.slow(o.wipe(o.follower(), o.pause())) }},
	{"restarted amid its fetch", func(o *operator) *Host {
		h := o.amidFetch(o.slow(o.wipe(o.follower(), o.pause())))
		return o.slow(o.restart(h, o.w.between(0, time.Second)))
	}},
	{"wiped amid its fetch", func(o *operator) *Host {
		h := o.amidFetch(o.slow(o.wipe(o.follower(), o.pause())))
		return o.wipe(h, o.w.between(0, time.Second))
	}},
	{"the leader killed amid a fetch", func(o *operator) *Host {
		h := o.amidFetch(o.slow(o.wipe(o.follower(), o.pause())))
		if l := o.w.Leader(); l != nil && l != h {
			l.Kill()
			o.w.After(time.Second, l.Start)
		}
		return h
	}},
}

// catchUpMost is how long a member may take to keep pace again, with a slow disk
// and a thin link, while changes go on.
const catchUpMost = 2 * budget.Heal

// trouble brings one trouble about and gives how long it took to catch up.
func (o *operator) trouble(kind memberTrouble) time.Duration {
	o.Helper()
	h := kind.do(o)
	from := o.w.Now
	caught := o.w.Until(catchUpMost, func() bool { return o.near(h, few) })
	took := o.w.Now - from
	o.then(caught, "a member that was %s catches up in %v: %q", kind.name, catchUpMost, h.Notes[max(0, len(h.Notes)-3):])
	o.w.speedUp(h)
	o.then(o.w.Until(catchUpMost, o.w.Repaired), "three voters stand again after one was %s: %v", kind.name, o.members())
	return took
}

// Given full configurations ten times a second, when members meet troubles at
// random instants, also amid their fetches, then each catches up while changes go
// on, no read is older than what was acknowledged, and after a restart of all at
// once service is back within the bound. MANY_FROM and MANY_TO run other seeds.
func TestManyChanges(t *testing.T) {
	t.Parallel()
	from, to := int64(1), int64(2)
	if s := os.Getenv("MANY_FROM"); s != "" {
		from, _ = strconv.ParseInt(s, 10, 64)
		to, _ = strconv.ParseInt(os.Getenv("MANY_TO"), 10, 64)
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { t.Parallel(); manyChangesDay(t, seed) })
	}
}

func manyChangesDay(t *testing.T, seed int64) {
	s := given(t, 610+seed)
	o := s.operator()
	o.left = manyChanges
	s.w.Run(s.w.between(time.Second, 4*time.Second))
	var slowest time.Duration
	met := 0
	for _, n := range s.w.Rand.Perm(len(memberTroubles)) {
		if o.left == 0 {
			break
		}
		kind := memberTroubles[n]
		took := o.trouble(kind)
		t.Logf("%v: %s, caught up after %v; %d changes are made", s.w.Now, kind.name, took, o.made)
		slowest = max(slowest, took)
		met++
	}
	o.through(o.left, 2*time.Minute)
	o.restartAll()
	t.Logf("%d troubles amid %d changes, the slowest catch-up %v", met, o.made, slowest)
	o.end()
}

// restartAll takes the power of all machines at once, and shows that they are
// back in time.
func (o *operator) restartAll() {
	o.Helper()
	for _, h := range o.w.Hosts {
		if !h.Retired {
			h.Lose(false)
		}
	}
	o.w.Run(time.Second)
	for _, h := range o.w.Hosts {
		h.Start()
	}
	from, made := o.w.Now, o.made
	o.left = 1
	back := func() bool { return o.made > made && o.w.Serving() }
	o.then(o.w.Until(budget.Heal, back), "after a restart of all a change is made within %v", budget.Heal)
	o.Logf("a change is made %v after a restart of all", o.w.Now-from)
}
