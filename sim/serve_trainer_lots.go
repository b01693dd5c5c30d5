package sim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// page reads the results from a position on and checks them; listed is below
// zero where none came.
func (l *siteLot) page(h *Host, from, wait int, then func(listed int)) {
	s := l.s
	sent, done := s.w.Now, false
	var fields []flow.Field
	if wait > 0 {
		fields = []flow.Field{{Name: "Wait-Ms", Value: strconv.Itoa(wait)}}
	}
	gone := s.Listener(h, "front", "GET", fmt.Sprintf("/lots/%s?SinceToken=%d", l.id, from), siteName, fields, nil, func(r flow.Reply) {
		if done {
			return
		}
		done = true
		then(l.got(h, sent, from, r))
	})
	s.w.After(time.Duration(wait)*time.Millisecond+1500*time.Millisecond, func() {
		if !done {
			done = true
			gone()
			then(-1)
		}
	})
}

func (l *siteLot) got(h *Host, sent time.Duration, from int, r flow.Reply) int {
	s := l.s
	touch := s.InTouch(h, sent)
	s.Count[fmt.Sprint("lot read ", r.Code)]++
	if r.Code == 404 || r.Code == 410 {
		if touch && l.accepted > 0 && sent > l.accepted+s.Bounds.Settle {
			s.wrong("LOST", "%s answers %d for lot %s, accepted at %v", h.Name, r.Code, l.id, l.accepted)
		}
		return -1
	}
	if r.Code != 200 {
		return -1
	}
	var p sitePage
	if json.Unmarshal(r.Body, &p) != nil || p.Total == nil || p.NextToken == nil || *p.Total != len(l.items) || *p.NextToken != from+len(p.Outputs) {
		s.wrong("MIXED", "lot %s of %d items read from %d: %.200s", l.id, len(l.items), from, r.Body)
		return -1
	}
	if len(p.Outputs) == 0 && from < len(l.seen) && touch && sent > l.readAt[from]+s.Bounds.Settle {
		s.wrong("LOST", "%s has nothing at %d of lot %s", h.Name, from, l.id)
	}
	for n, o := range p.Outputs {
		at := from + n
		if at < len(l.seen) {
			if fmt.Sprint(l.seen[at]) != fmt.Sprint(o) {
				s.wrong("TWICE", "position %d of lot %s holds %v, and %v before", at, l.id, o, l.seen[at])
			}
			continue
		}
		l.seen = append(l.seen, o)
		l.readAt[at] = s.w.Now
		l.check(at, o)
	}
	return len(p.Outputs)
}

// check holds one new result against what engines made.
func (l *siteLot) check(at int, o siteOutput) {
	s := l.s
	s.Count["results "+o.State]++
	i := s.items[o.InstanceId]
	if i == nil || !slices.Contains(l.items, i) {
		s.wrong("MIXED", "lot %s lists %q, which is none of its items", l.id, o.InstanceId)
		return
	}
	if p, twice := l.place[i.id]; twice {
		s.wrong("TWICE", "lot %s holds item %s at %d and %d", l.id, i.id, p, at)
	}
	l.place[i.id] = at
	if o.State == "abandoned" {
		if s.alwaysSince(l.since, siteName, l.path) && !i.never && l.ended == 0 && !l.closed && s.w.Now < l.sent+40*time.Second && s.fails[i.id] < 3 && !s.rewards.spent(s, i) {
			s.wrong("MIXED", "lot %s abandons %s early", l.id, i.id)
		}
		return
	}
	lines := strings.Split(o.Message, "\n")
	if o.State != "complete" || len(lines) != i.out {
		s.wrong("MIXED", "lot %s lists %s as %s with %d of %d events", l.id, i.id, o.State, len(lines), i.out)
		return
	}
	made := map[int]bool{}
	for n, d := range lines {
		s.joins(i.id, n, d, lines[:n+1], true)
		if p := strings.Split(d, ":"); len(p) == 4 {
			v, _ := strconv.Atoi(p[2])
			made[v] = true
		}
	}
	said := slices.Clone(o.WeightVersions)
	slices.Sort(said)
	if !slices.Equal(said, sorted.Keys(made)) {
		s.wrong("VERSION", "lot %s says %v of %s, made under %v", l.id, o.WeightVersions, i.id, sorted.Keys(made))
	}
	for _, v := range said {
		if v < l.least {
			s.wrong("VERSION", "lot %s allows %d, and %s was made under %d", l.id, l.least, i.id, v)
		}
	}
	s.checkScore(l, i, o, lines)
	if s.Shape.Single && len(said) != 1 {
		s.wrong("VERSION", "%s of lot %s was made under %v", i.id, l.id, said)
	}
}

// always says whether all configurations that may have been in force have a
// route for a path.
func (s *Site) always(host, path string) bool { return s.alwaysSince(0, host, path) }

// alwaysSince says so of a version and those after it.
func (s *Site) alwaysSince(rev int, host, path string) bool {
	for _, c := range s.Configs {
		if c.Rev >= rev && c.State != cfgRefused && c.find(host, path) == nil {
			return false
		}
	}
	return true
}

// itemRan checks an item, or its reward call, that an engine begins to work on for a path.
func (s *Site) itemRan(i *siteItem, path string, j *siteJob, e *SiteEngine) {
	open, taken, ever := false, false, false
	var late time.Duration
	for _, l := range i.lots {
		open = open || l.ended == 0 || s.w.Now <= l.ended+s.Bounds.Cancel
		late = max(late, l.ended)
		taken = taken || !l.promised || l.answers == 0
	}
	if !open && s.InTouch(j.h, late) {
		s.wrong("UNASKED", "%s sends item %s %v after its lot was ended", j.h.Name, i.id, s.w.Now-late)
	}
	for _, c := range s.Configs {
		ever = ever || c.allows(siteName, path, e.Pool)
	}
	least, allowed := 0, false
	if s.InTouch(j.h, s.w.Now-s.Bounds.Apply) {
		for _, c := range s.Configs {
			if c.State == cfgTaken && c.Acked <= j.came-s.Bounds.Apply {
				least = max(least, c.Rev)
			}
		}
	}
	for _, c := range s.Configs {
		allowed = allowed || c.State != cfgRefused && c.Rev >= least && c.allows(siteName, path, e.Pool)
	}
	if ever && !allowed {
		s.wrong("CONFIG", "%s sends item %s to %s, as only versions under %d allow", j.h.Name, i.id, e.Pool, least)
	}
	if !ever {
		s.wrong("ROUTE", "item %s was run by %s", i.id, e.Pool)
	}
}

// spoil has an engine say that an item can never be done, where that is so.
func (i *siteItem) spoil(j *siteJob, e *SiteEngine) {
	if i.never {
		e.drop(j)
		e.back(j.h, j.life, flow.Back{ID: j.send.ID, End: true, Code: 422, Fields: e.head(j)})
	}
}

// final checks what was promised of all lots.
func (s *Site) final() {
	hosts := s.w.By("dispatcher")
	for _, l := range s.lots {
		if l.promised && l.answers > 0 && l.accepted == 0 {
			for _, i := range l.items {
				for _, r := range s.runs[i.id] {
					if len(i.lots) == 1 {
						s.wrong("REFUSED", "lot %s was refused %d times, and item %s ran at %v", l.id, l.answers, i.id, r.at)
					}
				}
			}
		}
	}
	from := max(0, len(s.lots)-12)
	for n, l := range s.lots[from:] {
		if l.accepted == 0 {
			continue
		}
		most, good := len(l.seen), false
		for tries := 0; tries < 20 && !good; tries++ {
			done := false
			l.page(hosts[(n+tries)%len(hosts)], 0, 0, func(listed int) { done, good = true, listed >= most })
			s.w.Until(3*time.Second, func() bool { return done })
		}
		if !good {
			s.wrong("LOST", "lot %s can't be read at the end up to %d", l.id, most)
		}
		if l.ended > 0 || l.closed {
			continue
		}
		for _, i := range l.items {
			if _, listed := l.place[i.id]; !listed {
				s.finalItem(l, i, hosts)
				break
			}
		}
	}
}

func (s *Site) finalItem(l *siteLot, i *siteItem, hosts []*Host) {
	for tries := 0; tries < 10; tries++ {
		code, body, done := 0, "", false
		s.Listener(hosts[tries%len(hosts)], "front", "GET", "/items/"+l.id+"?InstanceId="+i.id, siteName, nil, nil, func(r flow.Reply) { code, body, done = r.Code, string(r.Body), true })
		s.w.Until(1500*time.Millisecond, func() bool { return done })
		if code == 200 {
			if body != i.body {
				s.wrong("MIXED", "item %s of lot %s gives %q", i.id, l.id, body)
			}
			return
		}
		l.page(hosts[tries%len(hosts)], 0, 0, func(int) {}) // perhaps it is listed by now
		s.w.Run(time.Second)
		if _, listed := l.place[i.id]; listed {
			return
		}
	}
	s.wrong("LOST", "item %s of lot %s does not give its body", i.id, l.id)
}
