package disp

import (
	"sort"
	"strconv"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/prefix"
	"fernlink/core/sorted"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

// step is an open step as this dispatcher works on it.
type step struct {
	doc    ledger.StepDoc
	opened flow.Time
	late   flow.Time // its deadline
	groups map[string]*group
	gens   []*gen // those this dispatcher owns, in order
	done   map[string]bool
	given  map[string]Handed // partials that a stopping peer handed on
	times  []flow.Time       // how long whole generations took
	ending bool
	shared int // the roster that its groups were shared out by
}

// group is one prompt.
type group struct {
	doc    ledger.Group
	step   *step
	blocks []string
	mine   bool
	asked  bool // the index was asked
	till   flow.Time
	hint   map[string]int // blocks by engine, by the index's advice
	first  *run           // the run that is in prefill, if any
}

// gen is one sample to be generated.
type gen struct {
	step   *step
	group  *group
	sample int
	state  string // held, sent, judging, listing, over
	runs   []*run
	kept   []piece // the partial that a next run goes on from
	tokens int
	tries  int
	shy    *engine // failed it last
	since  flow.Time
	again  flow.Time
	judge  uint64
	whole  ledger.Entry
}

// piece is text made under one revision.
type piece struct {
	text string
	rev  int
}

func sampleKey(group string, n int) string { return group + "#" + strconv.Itoa(n) }

func (d *Disp) addStep(doc ledger.StepDoc, age flow.Time) {
	s := &step{doc: doc, opened: d.now - age, groups: map[string]*group{}, done: map[string]bool{}, given: map[string]Handed{}}
	s.late = s.opened + flow.Time(doc.DeadlineMS)*1e6
	for _, g := range doc.Groups {
		s.groups[g.ID] = &group{doc: g, step: s, blocks: prefix.Blocks(g.Prompt)}
	}
	d.steps[doc.ID] = s
}

func (d *Disp) dropStep(id string) {
	s := d.steps[id]
	delete(d.steps, id)
	delete(d.lists, id)
	for _, g := range s.gens {
		g.stop(d)
		if g.judge != 0 {
			d.cut(g.judge)
		}
		g.state = over
	}
	for id, g := range d.lookups {
		if g.step == s {
			delete(d.lookups, id)
		}
	}
}

func (s *step) listed(d *Disp, group string, sample int) {
	s.done[sampleKey(group, sample)] = true
	for i, g := range s.gens {
		if g.group.doc.ID == group && g.sample == sample {
			g.stop(d)
			if g.judge != 0 {
				d.cut(g.judge)
			}
			g.state = over
			s.gens = append(s.gens[:i:i], s.gens[i+1:]...)
			return
		}
	}
}

// own takes the groups that fall to this dispatcher by the leader's roster,
// and gives up those that fall to others (design 8.1).
func (d *Disp) own() {
	if !d.fresh() {
		return
	}
	for _, id := range sorted.Keys(d.steps) {
		s := d.steps[id]
		if s.shared == d.rosters {
			continue // nothing changed since its groups were shared out
		}
		s.shared = d.rosters
		moved := false
		for _, doc := range s.doc.Groups {
			g := s.groups[doc.ID]
			mine := owner(d.roster, prefix.Name(id, doc.ID, 0)) == d.p.ID
			if mine != g.mine {
				g.mine, moved = mine, true
			}
		}
		if moved {
			s.claim(d)
		}
	}
}

func owner(roster []string, name string) string {
	best := ""
	for _, id := range roster {
		if best == "" || prefix.Weight(name, id) > prefix.Weight(name, best) {
			best = id
		}
	}
	return best
}

func (s *step) claim(d *Disp) {
	have := map[string]*gen{}
	for _, g := range s.gens {
		if g.group.mine {
			have[sampleKey(g.group.doc.ID, g.sample)] = g
			continue
		}
		g.stop(d)
		if g.judge != 0 {
			d.cut(g.judge)
		}
		g.state = over
	}
	s.gens = nil
	for _, doc := range s.doc.Groups {
		g := s.groups[doc.ID]
		if !g.mine {
			continue
		}
		for n := 0; n < doc.Samples; n++ {
			k := sampleKey(doc.ID, n)
			if s.done[k] {
				continue
			}
			x := have[k]
			if x == nil {
				x = &gen{step: s, group: g, sample: n, state: held}
				x.take(s.given[k])
			}
			s.gens = append(s.gens, x)
		}
	}
}

// allows says whether weights may be used in the step at all.
func (s *step) allows(rev int) bool {
	return rev >= s.doc.Revision-s.doc.Lag && rev <= s.doc.Revision
}

// mixes says whether one text may be made under two revisions.
func (s *step) mixes() bool { return s.doc.Lag > 0 && !s.doc.OneVersion }

// endLate ends steps whose deadline is well past and that nobody ended.
func (d *Disp) endLate() {
	if !d.fresh() {
		return
	}
	for _, id := range sorted.Keys(d.steps) {
		s := d.steps[id]
		if s.ending || d.now < s.late+budget.Heal {
			continue
		}
		s.ending = true
		d.p.Asker.Ask(d.now, budget.AskTimeout, ledger.EndStep(id), func(now flow.Time, a ask.Answer) {
			s.ending = a.Code != ledger.Unanswered
		})
	}
}

// middle is the median time that whole generations of the step took.
func (s *step) middle() flow.Time {
	if len(s.times) == 0 {
		return 0
	}
	t := append([]flow.Time(nil), s.times...)
	sort.Slice(t, func(a, b int) bool { return t[a] < t[b] })
	return t[len(t)/2]
}
