package sim

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// siteItem is one item of a lot, and of a later lot that it came back in.
type siteItem struct {
	id, path, body, group string
	out                   int
	never                 bool // engines say that it can never be done
	reward                *siteReward
	lots                  []*siteLot
}

// siteLot is one lot that a trainer handed in.
type siteLot struct {
	s          *Site
	id, zone   string
	step       int
	least      int
	desired    int
	path       string
	since      int // the version of the configuration that added its route, 0 for the first
	items      []*siteItem
	body       []byte
	sent, due  time.Duration
	accepted   time.Duration // 0 while no 202 came
	taker      *Host
	lastCode   int
	promised   bool // every answer so far was a promise
	ended      time.Duration
	ender      *Host
	seen       []siteOutput
	place      map[string]int
	readAt     map[int]time.Duration // when a position was first read
	MetGroups  int
	closed     bool
	answers    int
	Unanswered int
}

type siteOutput struct {
	InstanceId, State, Message string
	Score                      string
	WeightVersions             []int
}

type sitePage struct {
	Total, NextToken *int
	Outputs          []siteOutput
}

// Trainer asks for step after step.
type Trainer struct {
	s             *Site
	Zone          string
	Groups, Size  int
	Desired       int
	Every, Due    time.Duration
	Step          int
	Lots          []*siteLot
	carry         [][]*siteItem
	Steps, Missed int
	shared        string
	Rewards       bool   // its items carry reward calls
	prefix        string // of its paths
	since         int    // the version of the configuration that added its route, 0 for the first
	single        bool   // it asks for one step only
}

// AddTrainer starts a trainer: a lot each so often, of groups of items.
func (s *Site) AddTrainer(zone string, groups, size, desired int, every, due time.Duration) *Trainer {
	t := &Trainer{s: s, Zone: zone, Groups: groups, Size: size, Desired: desired, Every: every, Due: due, shared: s.name("5a"), prefix: syncPath}
	t.open()
	return t
}

// syncPath is the prefix of the route that the usual trainers use.
const syncPath = "/sync/"

// handInOnce has a trainer hand in one lot by a route that a configuration has added.
func (s *Site) handInOnce(zone string, route siteRoute, since int) {
	t := &Trainer{s: s, Zone: zone, Groups: 2, Size: 3, Desired: 2, Due: 8 * time.Second, shared: s.name("5a"), prefix: route.Path, since: since, single: true}
	t.open()
}

func (t *Trainer) open() {
	s := t.s
	if s.off {
		return
	}
	l := &siteLot{s: s, id: s.name("l"), zone: t.Zone, step: t.Step, least: max(t.Step, 1), desired: t.Desired, sent: s.w.Now, due: s.w.Now + t.Due, place: map[string]int{}, readAt: map[int]time.Duration{}, promised: true}
	l.path, l.since = t.prefix+l.id, t.since
	groups := t.carry
	if len(groups) > t.Desired/2 {
		groups = groups[:t.Desired/2]
	}
	t.carry = nil
	for len(groups) < t.Groups {
		var g []*siteItem
		name := s.name("g")
		for range t.Size {
			i := &siteItem{id: s.name("i"), group: name, out: 6 + s.w.Rand.Intn(14), never: s.w.Rand.Intn(400) == 0}
			i.path, i.body = t.prefix+strconv.Itoa(t.Step)+"/"+i.id, "body of "+i.id
			s.items[i.id] = i
			if t.Rewards {
				s.addReward(i)
			}
			g = append(g, i)
		}
		groups = append(groups, g)
	}
	reqs := []any{}
	for _, g := range groups {
		for _, i := range g {
			i.lots = append(i.lots, l)
			l.items = append(l.items, i)
			request := map[string]any{"InstanceId": i.id, "Path": i.path, "Body": base64.StdEncoding.EncodeToString([]byte(i.body)), "Tokens": 516 + i.out, "GroupId": i.group,
				"Headers": map[string]string{"Model": siteModel, "Token-Counts": fmt.Sprintf("516,%d", i.out), "Prompt-Prefix": fmt.Sprintf("%s:400,%s:100,%s:16", t.shared, i.group, i.id)}}
			if i.reward != nil {
				request["Scorer"] = i.reward.request()
			}
			reqs = append(reqs, request)
		}
	}
	l.body, _ = json.Marshal(map[string]any{"TrainStep": t.Step, "Model": siteModel, "MinVersion": l.least, "Desired": t.Desired, "Requests": reqs})
	t.Lots = append(t.Lots, l)
	s.lots = append(s.lots, l)
	s.Count["lots"]++
	l.put(100 * time.Millisecond)
	l.read(0)
	t.wait(l)
}

// wait looks whether the trainer has what it waits for, or gives up.
func (t *Trainer) wait(l *siteLot) {
	s := t.s
	whole, broken := l.whole()
	if s.off {
		return
	}
	if len(whole) < t.Desired && s.w.Now < l.due {
		s.w.After(50*time.Millisecond, func() { t.wait(l) })
		return
	}
	l.MetGroups = len(whole)
	t.Steps++
	s.Count["groups wanted"] += t.Desired
	s.Count["groups met"] += min(len(whole), t.Desired)
	if len(whole) < t.Desired {
		t.Missed++
		s.Count["steps missed"]++
	}
	l.closed = true
	if l.accepted > 0 {
		l.end(50 * time.Millisecond)
		t.carry = broken
	}
	t.Step++
	if t.single {
		return
	}
	s.w.After(500*time.Millisecond, func() { // it trains
		s.Name(t.Step+1, nil)
		s.w.After(max(0, t.Every-(s.w.Now-l.sent)), t.open)
	})
}

// whole gives the groups of which all items are listed, and the others.
func (l *siteLot) whole() (whole, broken [][]*siteItem) {
	by := map[string][]*siteItem{}
	var order []string
	for _, i := range l.items {
		if by[i.group] == nil {
			order = append(order, i.group)
		}
		by[i.group] = append(by[i.group], i)
	}
	for _, g := range order {
		ok := true
		for _, i := range by[g] {
			p, listed := l.place[i.id]
			ok = ok && listed && l.seen[p].State == "complete"
		}
		if ok {
			whole = append(whole, by[g])
		} else {
			broken = append(broken, by[g])
		}
	}
	return whole, broken
}

// Name names the next version of the weights, until it is noted.
func (s *Site) Name(v int, then func()) {
	if v > s.named[siteModel]+1 || s.off {
		return
	}
	s.named[siteModel] = max(s.named[siteModel], v)
	body, _ := json.Marshal(map[string]any{"Model": siteModel, "Revision": v})
	hosts := s.w.By("dispatcher")
	done := false
	end := func(code int) {
		if done {
			return
		}
		done = true
		if code/100 == 2 {
			s.noted = append(s.noted, v)
			if then != nil {
				then()
			}
			return
		}
		s.w.After(200*time.Millisecond, func() { s.Name(v, then) })
	}
	s.Listener(hosts[s.w.Rand.Intn(len(hosts))], "control", "POST", "/version-put", "", nil, body, func(r flow.Reply) { end(r.Code) })
	s.w.After(time.Second, func() { end(0) })
}

// NameAgain names a version once more that was noted before.
func (s *Site) NameAgain(v int) {
	body, _ := json.Marshal(map[string]any{"Model": siteModel, "Revision": v})
	hosts := s.w.By("dispatcher")
	h := hosts[s.w.Rand.Intn(len(hosts))]
	s.Listener(h, "control", "POST", "/version-put", "", nil, body, func(r flow.Reply) {
		s.Count[fmt.Sprint("versions again ", r.Code)]++
		if refusedClearly(r.Code) {
			s.wrong("ACK", "version %d of the weights was noted, and is refused with %d when it is named again at %s", v, r.Code, h.Name)
		}
	})
}

// again hands an accepted lot in once more, and ends it once more if it was ended.
func (l *siteLot) again() {
	s := l.s
	h := s.Enter(l.zone)
	answered := func(what string) func(flow.Reply) {
		return func(r flow.Reply) {
			s.Count[fmt.Sprint("lot ", what, " again ", r.Code)]++
			if refusedClearly(r.Code) && (r.Code != 404 || s.always(siteName, l.path)) {
				s.wrong("ACK", "the %s of lot %s was acknowledged, and is refused with %d when it is sent again to %s", what, l.id, r.Code, h.Name)
			}
		}
	}
	fields := []flow.Field{{Name: "Attempt-Id", Value: l.id}, {Name: "Content-Type", Value: "application/json"}}
	s.Listener(h, "front", "POST", l.path, siteName, fields, l.body, answered("put"))
	if l.ended > 0 {
		s.Listener(h, "front", "DELETE", "/lots/"+l.id, siteName, nil, nil, answered("end"))
	}
}

// RepeatOrders sends an acknowledged order of each kind again, each so often.
func (s *Site) RepeatOrders(every time.Duration) {
	s.w.Every(every, func() bool {
		if s.off {
			return false
		}
		if c := s.Configs[s.w.Rand.Intn(len(s.Configs))]; c.State == cfgTaken {
			s.Again(c)
		}
		if n := len(s.noted); n > 0 {
			s.NameAgain(s.noted[s.w.Rand.Intn(n)])
		}
		if n := len(s.lots); n > 0 {
			if l := s.lots[s.w.Rand.Intn(n)]; l.accepted > 0 {
				l.again()
			}
		}
		return true
	})
}

// put hands the lot in, to one machine after the other.
func (l *siteLot) put(pause time.Duration) {
	s := l.s
	if l.accepted > 0 || l.closed || s.w.Now > l.due {
		return
	}
	h := s.Enter(l.zone)
	done := false
	var gone func()
	end := func(r flow.Reply) {
		if done {
			return
		}
		done = true
		l.lastCode = r.Code
		l.answers++
		s.Count[fmt.Sprint("lot put ", r.Code)]++
		if r.Code == 202 {
			l.accepted, l.taker, l.promised = s.w.Now, h, false
			return
		}
		if !slices.Contains([]int{429, 503, 408, 421}, r.Code) {
			l.promised = false
		}
		if r.Code == 404 && !s.always(siteName, l.path) {
			return
		}
		if r.Code/100 == 4 && r.Code != 429 && r.Code != 408 && r.Code != 421 {
			s.wrong("DENIED", "lot %s was denied with %d %s by %s", l.id, r.Code, r.Body, h.Name)
			return
		}
		wait := pause
		if v, err := strconv.ParseFloat(r.Head["Retry-After"], 64); err == nil {
			wait = min(max(wait, time.Duration(v*1e9)), (l.due-s.w.Now)/3)
		}
		s.w.After(wait, func() { l.put(min(2*pause, time.Second)) })
	}
	gone = s.Listener(h, "front", "POST", l.path, siteName, []flow.Field{{Name: "Attempt-Id", Value: l.id}, {Name: "Content-Type", Value: "application/json"}}, l.body, end)
	s.w.After(1500*time.Millisecond, func() {
		if !done {
			gone()
			l.promised = false
			end(flow.Reply{})
		}
	})
}

// read reads what is new, or now and then what is old, until the lot is closed.
func (l *siteLot) read(pos int) {
	s := l.s
	if l.closed || s.off {
		return
	}
	if l.accepted == 0 {
		s.w.After(100*time.Millisecond, func() { l.read(0) })
		return
	}
	from := len(l.seen)
	if s.w.Rand.Intn(6) == 0 {
		from = s.w.Rand.Intn(from + 1)
	}
	wait := 0
	if s.w.Rand.Intn(2) == 0 {
		wait = 1000
	}
	l.page(s.Enter(l.zone), from, wait, func(int) { s.w.After(400*time.Millisecond, func() { l.read(0) }) })
}

// end ends the lot, until that is acknowledged.
func (l *siteLot) end(pause time.Duration) {
	s := l.s
	if l.ended > 0 {
		return
	}
	h := s.Enter(l.zone)
	done := false
	end := func(code int) {
		if done {
			return
		}
		done = true
		if code == 200 {
			if l.ended == 0 {
				l.ended, l.ender = s.w.Now, h
			}
			return
		}
		s.w.After(pause, func() { l.end(min(2*pause, time.Second)) })
	}
	s.Listener(h, "front", "DELETE", "/lots/"+l.id, siteName, nil, nil, func(r flow.Reply) { end(r.Code) })
	s.w.After(1500*time.Millisecond, func() { end(0) })
}
