package sim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"fernlink/core/flow"
)

// siteTry is one try of a client.
type siteTry struct {
	id, host, path, verb, body string
	kind                       string
	resumable                  bool
	at                         *Host
	life                       string // the machine and its start
	sent, late                 time.Duration
	code                       int // its answer, 0 while there is none
	own                        bool
	refused                    bool // a promise that it does not run
	events                     []string
	probe                      bool
	over                       bool
	after                      int
	total                      int
	work                       *siteAsk
}

// repeats says whether a request may run more than once.
func (t *siteTry) repeats() bool {
	return t.kind == "idempotent" || t.kind == "streaming" && t.resumable
}

// siteAsk is what a client wants, over all of its tries.
type siteAsk struct {
	zone   string
	route  siteRoute
	began  time.Duration
	late   time.Duration
	left   int // further tries
	Served bool
	over   bool
	events []string // of a stream that may be resumed, over its tries
	fields []flow.Field
	total  int
}

// Ask has a client ask for something on a route.
func (s *Site) Ask(zone string, r siteRoute, deadline time.Duration, tries int) *siteAsk {
	a := &siteAsk{zone: zone, route: r, began: s.w.Now, late: s.w.Now + deadline, left: tries}
	if r.Kind == "streaming" {
		a.total = 5 + s.w.Rand.Intn(20)
		in := 60 + s.w.Rand.Intn(400)
		own := s.name("p")
		a.fields = []flow.Field{{Name: "Model", Value: siteModel}, {Name: "Token-Counts", Value: fmt.Sprintf("%d,%d", in+300, a.total)},
			{Name: "Prompt-Prefix", Value: fmt.Sprintf("5ba3e%d:300,%s:%d", s.w.Rand.Intn(3), own, in)}}
	}
	s.Count["asked"]++
	s.try(a, s.Enter(zone))
	return a
}

// again is a further try, on a new connection.
func (s *Site) again(a *siteAsk, pause time.Duration) {
	if a.left == 0 || s.w.Now+pause >= a.late {
		a.over = true
		return
	}
	a.left--
	s.w.After(pause, func() { s.try(a, s.Enter(a.zone)) })
}

func (s *Site) try(a *siteAsk, h *Host) *siteTry {
	t := &siteTry{id: s.name("t"), host: a.route.Host, path: a.route.Path + s.name("x") + "?q=1", verb: "POST", kind: a.route.Kind, resumable: a.route.Resumable, at: h,
		life: fmt.Sprint(h.Name, "/", h.life), sent: s.w.Now, late: a.late, work: a, total: a.total}
	t.body = "body of " + t.id
	s.tries[t.id] = t
	s.order = append(s.order, t)
	fields := append([]flow.Field{{Name: "Attempt-Id", Value: t.id}, {Name: "Time-Left-Ms", Value: strconv.FormatInt((a.late - s.w.Now).Milliseconds(), 10)}}, a.fields...)
	if n := len(a.events); n > 0 {
		t.after = n
		fields = append(fields, flow.Field{Name: "Last-Event-Id", Value: strconv.Itoa(n - 1)})
	}
	began, last := false, s.w.Now
	gone := s.Listener(h, "front", t.verb, t.path, t.host, fields, []byte(t.body), func(r flow.Reply) {
		last = s.w.Now
		if t.over {
			return
		}
		if r.More || began && r.ID != 0 && !r.Cut {
			if !began {
				began = true
				t.code = r.Code
				s.head(t, r)
				return
			}
			if r.More {
				s.piece(t, string(r.Body))
				return
			}
			t.over = true
			s.whole(t)
			return
		}
		t.over = true
		s.answer(t, r, began)
	})
	if h.Froze && t.repeats() {
		s.w.After(min(time.Second, (a.late-s.w.Now)/3), func() {
			if !t.over && !began {
				t.over = true
				gone()
				s.again(a, 0)
			}
		})
	}
	var watch func()
	watch = func() {
		if t.over {
			return
		}
		if s.w.Now >= t.late || t.kind == "streaming" && s.w.Now-last >= 2*time.Second {
			t.over = true
			s.Count["given up by clients"]++
			gone()
			a.events = append(a.events, t.events...)
			if t.resumable && t.kind == "streaming" {
				s.again(a, 0)
			} else {
				a.over = true
			}
			return
		}
		s.w.After(50*time.Millisecond, watch)
	}
	s.w.After(50*time.Millisecond, watch)
	return t
}

// calm says that a machine met nothing unplanned since a moment.
func (s *Site) calm(h *Host, from time.Duration) bool {
	last := s.hurt[h]
	return last == 0 || from-last > s.Bounds.Contact
}

// answer takes what ends a try that was no stream, or no whole one.
func (s *Site) answer(t *siteTry, r flow.Reply, began bool) {
	a := t.work
	t.code = r.Code
	seal := flow.Get(r.Fields, "Engine-Seal")
	t.own = seal == ""
	if r.ID == 0 || r.Cut {
		_, refused := r.Head[unread]
		if refused {
			s.Count["connections refused"]++
			s.again(a, 20*time.Millisecond)
			return
		}
		s.Count["broken off"]++
		s.checkBrokenOff(t, began)
		if at, planned := s.planned[t.at]; planned && s.w.Now-at < 9*time.Second && s.calm(t.at, t.sent) && s.w.Now-at < Grace/2 && s.w.Now < t.late && len(s.runs[t.id]) <= 1 && !s.cutByEngine(t) {
			s.wrong("LOST", "%s was cut by %s, which was told to stop %v before", t.id, t.at.Name, s.w.Now-at)
		}
		a.events = append(a.events, t.events...)
		if t.repeats() {
			s.again(a, 0)
		} else {
			a.over = true
		}
		return
	}
	if r.Code/100 == 2 {
		x, known := s.seals[seal]
		switch {
		case t.own:
			s.wrong("MIXED", "%s got %d without a stamp", t.id, r.Code)
		case !known || x.id != t.id:
			s.wrong("MIXED", "%s got an answer that belongs to %q", t.id, x.id)
		case x.body != string(r.Body) || x.code != r.Code:
			s.wrong("MIXED", "%s got %d %q, the engine said %d %q", t.id, r.Code, r.Body, x.code, x.body)
		}
		s.serve(a)
		return
	}
	if t.own {
		s.Count[fmt.Sprint("own ", r.Code)]++
	}
	if t.own && r.Code == 404 {
		s.handled(t, "")
	}
	t.refused = r.Code == 429 || r.Code == 503 || r.Code == 408 || r.Code == 421
	if t.refused && !t.repeats() && len(s.runs[t.id]) > 0 {
		s.wrong("REFUSED", "%s ran and was refused with %d", t.id, r.Code)
	}
	if t.own && r.Code >= 300 && r.Code < 500 && !t.refused && !t.probe && s.InTouch(t.at, t.sent) && s.proper(t) {
		s.Count["denied"]++
	}
	pause := time.Duration(0)
	if v, err := strconv.ParseFloat(r.Head["Retry-After"], 64); err == nil {
		pause = min(time.Duration(v*1e9), (a.late-s.w.Now)/3)
	}
	if r.Code == 400 || r.Code == 404 || r.Code == 413 || r.Code == 431 || !t.repeats() && !t.refused {
		a.over = true
		return
	}
	s.again(a, pause)
}

// checkBrokenOff finds a stream that its machine broke off though an engine was at work on it,
// and had not broken off: an engine's silence is no reason to end an answer.
func (s *Site) checkBrokenOff(t *siteTry, began bool) {
	at, stopped := s.planned[t.at]
	if !began || t.kind != "streaming" || !t.resumable || !t.at.Up || !s.calm(t.at, t.sent) || s.w.Now >= t.late || stopped && s.w.Now-at < Grace || s.cutByEngine(t) {
		return
	}
	for _, run := range s.runs[t.id] {
		if !run.engine.Up || run.engine.Leaving {
			return
		}
	}
	s.wrong("LOST", "the stream %s was broken off by %s after %d events; none of its %d engines had ended it", t.id, t.at.Name, len(t.events), len(s.runs[t.id]))
}

func (s *Site) cutByEngine(t *siteTry) bool {
	for _, r := range s.runs[t.id] {
		if r.broke || r.engine.Dark {
			return true
		}
	}
	return false
}

func (s *Site) serve(a *siteAsk) {
	a.Served, a.over = true, true
	s.Count["served"]++
	if s.closed > 0 && a.began > s.closed+s.Bounds.Recover {
		s.Count["served after the end of a closing fault"]++
	}
}

// head takes the head of a stream.
func (s *Site) head(t *siteTry, r flow.Reply) {
	seal := flow.Get(r.Fields, "Engine-Seal")
	if x, known := s.seals[seal]; r.Code == 200 && (!known || x.id != t.id) {
		s.wrong("MIXED", "the stream of %s has the stamp %q", t.id, seal)
	}
}

// piece takes one event of a stream.
func (s *Site) piece(t *siteTry, block string) {
	data, ok := "", false
	for _, l := range strings.Split(block, "\n") {
		if d, is := strings.CutPrefix(l, "data: "); is {
			data, ok = d, true
		}
	}
	if !ok || !strings.HasSuffix(block, "\n\n") {
		s.wrong("MIXED", "the stream of %s has a piece %q", t.id, block)
		return
	}
	t.events = append(t.events, data)
	s.joins(t.id, t.after+len(t.events)-1, data, t.events, t.repeats())
}

// joins checks one event against those before it. Its id may only be another
// run's where that run was asked to go on there.
func (s *Site) joins(id string, at int, data string, all []string, may bool) {
	var n, v, run int
	p := strings.Split(data, ":")
	if len(p) == 4 {
		n, _ = strconv.Atoi(p[1])
		v, _ = strconv.Atoi(p[2])
		run, _ = strconv.Atoi(p[3])
	}
	if len(p) != 4 || p[0] != id || v == 0 || s.byRun[run] == nil {
		s.wrong("MIXED", "the text of %s holds %q", id, data)
		return
	}
	if n != at {
		s.wrong("ORDER", "the text of %s has event %d in the place of %d", id, n, at)
		return
	}
	if len(all) < 2 {
		return
	}
	if q := strings.Split(all[len(all)-2], ":"); q[len(q)-1] != p[3] && (!may || s.byRun[run].from != n) {
		s.wrong("ORDER", "the text of %s goes on at event %d with a run that began at %d", id, n, s.byRun[run].from)
	}
}

// whole takes the end of a stream that looks complete.
func (s *Site) whole(t *siteTry) {
	if t.after+len(t.events) != t.total {
		s.wrong("ORDER", "the stream of %s ends as complete after %d of %d events", t.id, t.after+len(t.events), t.total)
		return
	}
	s.serve(t.work)
}

// Probe asks one machine on a path once, to see which configuration it has.
func (s *Site) Probe(h *Host, host, path string) {
	a := &siteAsk{zone: h.Config.Zone, route: siteRoute{"probe", host, path, "idempotent", nil, false}, began: s.w.Now, late: s.w.Now + time.Second}
	if s.ready[h] < 2 {
		s.try(a, h).probe = true
	}
}

// arrived checks a request that reached an engine.
func (s *Site) arrived(e *SiteEngine, h *Host, id, path string, x flow.Send) {
	t, i, reward := s.tries[id], s.items[id], s.rewards.by[id]
	if i != nil {
		s.sentBy(i, h)
	}
	_, query, _ := strings.Cut(strings.TrimPrefix(x.URL, "http://"), "?")
	if query != "" {
		path += "?" + query
	}
	switch {
	case t == nil && i == nil && reward == nil:
		s.wrong("UNASKED", "%s got the request %q, which no client sent", e.ID, id)
	case t != nil && (t.path != path || t.verb != x.Verb || t.body != string(x.Body) || t.host != x.Host):
		s.wrong("UNASKED", "%s got %s as %s %s%s", e.ID, id, x.Verb, x.Host, path)
	case i != nil && (i.path != path || x.Verb != "POST" || i.body != string(x.Body) || siteName != x.Host):
		s.wrong("UNASKED", "%s got item %s as %s %s%s", e.ID, id, x.Verb, x.Host, path)
	case reward != nil && (reward.path != path || x.Verb != "POST" || reward.body != string(x.Body) || siteName != x.Host):
		s.wrong("UNASKED", "%s got reward call %s as %s %s%s", e.ID, id, x.Verb, x.Host, path)
	}
	if e.gone > 0 && s.listedSince(e.gone) > s.Bounds.Drain && s.InTouch(h, e.gone) && !s.Dark {
		s.wrong("DRAIN", "%s got %s from %s %v after the list showed it gone", e.ID, id, h.Name, s.w.Now-e.gone)
	}
}

// ran checks what an engine began to work on.
func (s *Site) ran(j *siteJob, e *SiteEngine) {
	if t := s.tries[j.id]; t != nil {
		if n := len(s.runs[j.id]); n > 1 && !t.repeats() {
			s.wrong("TWICE", "%s %s runs for the %d. time, at %s", t.kind, t.id, n, e.ID)
		}
		if t.refused && !t.repeats() {
			s.wrong("REFUSED", "%s was refused with %d and runs", t.id, t.code)
		}
		s.handled(t, e.Pool)
	}
	if i := s.items[j.id]; i != nil {
		s.itemRan(i, i.lots[0].path, j, e)
		i.spoil(j, e)
	}
	if reward := s.rewards.by[j.id]; reward != nil {
		s.itemRan(reward.item, reward.path, j, e)
	}
}
